//! Registers this router in the store and applies the registrations of the others.

use super::{
    follow_topic::{TopicUpdate, follow_topic},
    gateway::Gateway,
    router_directory::{PeerRouter, RouterHost},
    store::{AppendId, AppendOutcome, Store, StoreRecord, Topic},
    topic_reads::TopicReads,
};
use bytes::Bytes;
use mallowpath::{Backoff, Category, Error, Result, wall_clock_ms};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::sleep;

/// Delays after a registration that failed.
const REGISTER_BACKOFF: Backoff = Backoff {
    min_ms: 100,
    max_ms: 2_000,
};

/// Added to the epoch of a registration that a later epoch has fenced, in milliseconds.
const EPOCH_STEP_MS: u64 = 60_000;

/// How long a read waits for new registrations; these are rare.
const READ_WAIT_MS: u64 = 10_000;

/// Registers this router, then applies registrations; never returns.
pub(crate) async fn watch_routers(gateway: Arc<Gateway>, store: Store) {
    register(Arc::clone(&gateway), store.clone()).await;
    let apply = |update| {
        let records = match update {
            TopicUpdate::Snapshot {
                records,
                is_restored,
            } => {
                if is_restored {
                    // The restored store may have lost the registration of this router.
                    tokio::spawn(register(Arc::clone(&gateway), store.clone()));
                }
                records
            }
            TopicUpdate::Records(records) => records,
            TopicUpdate::ReadFailed => return,
        };
        for record in records {
            match RouterRegistration::decode(&record) {
                Ok(RouterRegistration { router, host }) => {
                    gateway.directory.insert_on(router, host);
                }
                Err(error) => log::warn!(target: "router", "ignoring a router: {error}"),
            }
        }
        gateway.directory.set_loaded();
        let own = Arc::clone(&gateway.settings.account);
        let routers = gateway.directory.names();
        gateway.backends.set_routers(own, routers);
    };
    let reads = TopicReads::new(Duration::ZERO);
    follow_topic(store.clone(), Topic::Routers, READ_WAIT_MS, &reads, apply).await;
}

/// Registers this router unless the store has the same registration, retrying until that is
/// confirmed.
async fn register(gateway: Arc<Gateway>, store: Store) {
    // Later incarnations have later epochs, unless the clock was set back.
    let mut epoch = wall_clock_ms();
    let mut failures = 0;
    loop {
        match try_register(&gateway, &store, epoch).await {
            Ok(AppendOutcome::Appended { .. }) => return,
            Ok(AppendOutcome::Fenced | AppendOutcome::OutOfSequence) => epoch += EPOCH_STEP_MS,
            Err(error) => {
                log::warn!(target: "router", "registration failed, retrying: {error}");
                let delay_ms = REGISTER_BACKOFF.delay_ms(failures, rand::random());
                failures += 1;
                sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }
}

async fn try_register(gateway: &Gateway, store: &Store, epoch: u64) -> Result<AppendOutcome> {
    let name = &gateway.settings.account;
    let registration = RouterRegistration {
        router: PeerRouter {
            name: Arc::clone(name),
            address: gateway.settings.listen.peers,
        },
        host: RouterHost {
            zone: Some(gateway.settings.zone.clone()),
            link_rate: gateway.settings.link_rate,
            processor: gateway.settings.processor,
        },
    };
    let value = registration.encode();
    let page = (store.newest)(Topic::Routers).await?;
    for record in page.records {
        if record.key == *name && record.value.as_ref() == Some(&value) {
            return Ok(AppendOutcome::Appended {
                offset: page.next,
                generation: page.generation,
            });
        }
    }
    let record = StoreRecord {
        key: Arc::clone(name),
        value: Some(value),
    };
    let append_id = AppendId {
        writer: Arc::clone(name),
        epoch,
        sequence: 1,
    };
    (store.append)(Topic::Routers, record, append_id).await
}

/// Stands in a registration for a rate or share that the settings do not state.
const NOT_STATED: &str = "-";

/// The registration of a router: its address, its availability zone, the rate of its link and its share
/// of the processor, separated by spaces; all but the address may be missing.
#[derive(Debug)]
struct RouterRegistration {
    router: PeerRouter,
    host: RouterHost,
}

impl RouterRegistration {
    fn encode(&self) -> Bytes {
        let address = self.router.address;
        let RouterHost {
            zone,
            link_rate,
            processor,
        } = &self.host;
        let mut text = address.to_string();
        if let Some(zone) = zone {
            text = format!("{text} {zone}");
            match (link_rate, processor) {
                (Some(link_rate), Some(processor)) => {
                    text = format!("{text} {link_rate} {processor}");
                }
                (Some(link_rate), None) => text = format!("{text} {link_rate}"),
                (None, Some(processor)) => text = format!("{text} {NOT_STATED} {processor}"),
                (None, None) => {}
            }
        }
        Bytes::from(text)
    }

    fn decode(record: &StoreRecord) -> Result<Self> {
        let text = std::str::from_utf8(record.value.as_deref().unwrap_or_default());
        let mut words = text.unwrap_or_default().split(' ');
        let address: Option<SocketAddr> = words.next().and_then(|word| word.parse().ok());
        let Some(address) = address else {
            return Err(Error::new(
                Category::Protocol,
                "decode the registration of a router",
                &record.key,
                "not an address",
            ));
        };
        Ok(Self {
            router: PeerRouter {
                name: Arc::clone(&record.key),
                address,
            },
            host: RouterHost {
                zone: words.next().and_then(|word| word.parse().ok()),
                link_rate: words.next().and_then(|word| word.parse().ok()),
                processor: words.next().and_then(|word| word.parse().ok()),
            },
        })
    }
}
