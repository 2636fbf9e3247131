//! Registers this router in the store and applies the registrations of the others.

use super::{
    follow_topic::{TopicUpdate, follow_topic},
    gateway::Gateway,
    router_directory::PeerRouter,
    store::{AppendId, AppendOutcome, Store, StoreRecord, Topic},
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
const EPOCH_STEP: u64 = 60_000;

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
            match peer_router(&record) {
                Ok(router) => gateway.directory.insert(router),
                Err(error) => log::warn!(target: "router", "ignoring a router: {error}"),
            }
        }
        gateway.directory.set_loaded();
        let own = Arc::clone(&gateway.settings.account);
        let routers = gateway.directory.names();
        gateway.backends.set_routers(own, routers);
    };
    follow_topic(store.clone(), Topic::Routers, READ_WAIT_MS, apply).await;
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
            Ok(AppendOutcome::Fenced | AppendOutcome::OutOfSequence) => epoch += EPOCH_STEP,
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
    let address = Bytes::from(gateway.settings.listen.peers.to_string());
    let page = (store.newest)(Topic::Routers).await?;
    for record in page.records {
        if record.key == *name && record.value.as_ref() == Some(&address) {
            return Ok(AppendOutcome::Appended {
                offset: page.next,
                generation: page.generation,
            });
        }
    }
    let record = StoreRecord {
        key: Arc::clone(name),
        value: Some(address),
    };
    let append_id = AppendId {
        writer: Arc::clone(name),
        epoch,
        sequence: 1,
    };
    (store.append)(Topic::Routers, record, append_id).await
}

/// Decodes the registration of a router.
fn peer_router(record: &StoreRecord) -> Result<PeerRouter> {
    let text = std::str::from_utf8(record.value.as_deref().unwrap_or_default());
    let address: Option<SocketAddr> = text.ok().and_then(|text| text.parse().ok());
    match address {
        Some(address) => Ok(PeerRouter {
            name: Arc::clone(&record.key),
            address,
        }),
        None => Err(Error::new(
            Category::Protocol,
            "decode the registration of a router",
            &record.key,
            "not an address",
        )),
    }
}
