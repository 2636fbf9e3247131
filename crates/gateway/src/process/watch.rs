//! Applies the configuration and the registrations of backend servers from the store.

use super::{
    follow_topic::{TopicUpdate, follow_topic},
    gateway::Gateway,
    relay::serve_relay,
    settings::SidecarSettings,
    store::{Store, StoreRecord, Topic},
    store_transport::StoreTransport,
};
use crate::{placement::BackendEntry, version::Configuration};
use mallowpath::{BackendId, Category, Error, Result, Zone};
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::net::TcpListener;

/// How long a read of configurations or registrations waits for a record.
const READ_WAIT_MS: u64 = 1_500;

/// The functions that decode records of operators and backend servers in the store.
#[derive(Debug, Clone, Copy)]
pub struct Decoders {
    /// The key of the record that holds the configuration.
    pub configuration_key: &'static str,
    /// The prefix of the keys whose records evacuate availability zones; the name of the zone
    /// follows it.
    pub evacuation_prefix: &'static str,
    /// Decodes a configuration.
    pub configuration: fn(&[u8]) -> Result<Configuration>,
    /// Decodes the registration of a backend server from its key and value; fails if it does not
    /// describe a usable one.
    pub backend: fn(&str, &[u8]) -> Result<BackendEntry>,
}

/// Applies every version of the configuration from the store; never returns.
pub(crate) async fn watch_configuration(gateway: Arc<Gateway>, store: Store, decoders: Decoders) {
    let apply = |update| {
        let records = match update {
            TopicUpdate::Snapshot(records) => {
                end_unlisted_evacuations(&gateway, &records, decoders.evacuation_prefix);
                records
            }
            TopicUpdate::Records(records) => records,
            TopicUpdate::ReadFailed => return,
        };
        gateway.configuration_read.record_now();
        for record in records {
            if let Some(zone) = record.key.strip_prefix(decoders.evacuation_prefix) {
                set_evacuated(&gateway, zone, record.value.is_some());
                continue;
            }
            if *record.key != *decoders.configuration_key {
                continue;
            }
            let Some(value) = record.value else {
                continue;
            };
            match (decoders.configuration)(&value) {
                Ok(configuration) => gateway.set_configuration(configuration),
                Err(error) => log::error!(
                    target: "configuration",
                    "can't decode the configuration, keeping the current one: {error}",
                ),
            }
        }
    };
    follow_topic(store, Topic::Configuration, READ_WAIT_MS, apply).await;
}

/// Starts or ends the evacuation of an availability zone, in which backend servers get no new
/// requests.
fn set_evacuated(gateway: &Gateway, zone: &str, is_evacuated: bool) {
    let zone = match zone.parse::<Zone>() {
        Ok(zone) => zone,
        Err(error) => {
            log::warn!(target: "backend", "ignoring the evacuation of {zone:?}: {error}");
            return;
        }
    };
    if gateway.backends.set_evacuated(&zone, is_evacuated) {
        let state = if is_evacuated {
            "evacuated"
        } else {
            "in use again"
        };
        log::info!(target: "backend", "availability zone {zone} is {state}");
    }
}

/// Ends the evacuations that a complete list of the operators' records no longer includes.
fn end_unlisted_evacuations(gateway: &Gateway, records: &[StoreRecord], prefix: &str) {
    for zone in gateway.backends.evacuated_zones() {
        let is_listed = records
            .iter()
            .any(|record| record.key.strip_prefix(prefix) == Some(zone.as_str()));
        if !is_listed {
            set_evacuated(gateway, zone.as_str(), false);
        }
    }
}

/// Applies the registrations of backend servers as they are read.
#[derive(Debug)]
struct BackendWatcher {
    gateway: Arc<Gateway>,
    decoders: Decoders,
    /// Backend servers without a registration, with the times at which they are removed.
    pending_removals: HashMap<BackendId, Instant>,
    /// The time of the last failed read.
    read_failed_at: Option<Instant>,
}

/// Applies the registrations of backend servers from the store; never returns.
pub(crate) async fn watch_backends(gateway: Arc<Gateway>, store: Store, decoders: Decoders) {
    let mut watcher = BackendWatcher {
        gateway,
        decoders,
        pending_removals: HashMap::new(),
        read_failed_at: None,
    };
    let apply = |update| watcher.apply(update);
    follow_topic(store, Topic::Backends, READ_WAIT_MS, apply).await;
}

impl BackendWatcher {
    fn apply(&mut self, update: TopicUpdate) {
        let may_have_changed = match &update {
            TopicUpdate::ReadFailed => false,
            TopicUpdate::Snapshot(_) => true,
            TopicUpdate::Records(records) => !records.is_empty(),
        };
        match update {
            TopicUpdate::ReadFailed => self.read_failed_at = Some(Instant::now()),
            TopicUpdate::Snapshot(records) => {
                self.gateway.backends_read.record_now();
                let mut listed = HashSet::new();
                for record in records {
                    if let Ok(id) = record.key.parse::<BackendId>() {
                        listed.insert(id);
                    }
                    self.apply_record(record);
                }
                for id in self.gateway.backends.ids() {
                    if !listed.contains(&id) {
                        self.schedule_removal(id);
                    }
                }
            }
            TopicUpdate::Records(records) => {
                self.gateway.backends_read.record_now();
                for record in records {
                    self.apply_record(record);
                }
            }
        }
        self.remove_expired();
        if may_have_changed {
            self.gateway.update_relays();
        }
    }

    fn apply_record(&mut self, record: StoreRecord) {
        let Ok(id) = record.key.parse::<BackendId>() else {
            return;
        };
        let Some(value) = record.value else {
            self.schedule_removal(id);
            return;
        };
        match (self.decoders.backend)(&record.key, &value) {
            Ok(entry) => {
                self.pending_removals.remove(&id);
                self.gateway.insert_backend(entry);
            }
            Err(error) => {
                log::warn!(
                    target: "backend",
                    "can't use the registration of {id}, removing the backend server: {error}",
                );
                self.gateway.remove_backend(&id);
            }
        }
    }

    /// Removes a backend server at once, or after some time to register again if the store was
    /// recently unavailable.
    fn schedule_removal(&mut self, id: BackendId) {
        let reregistration_timeout =
            Duration::from_millis(self.gateway.settings.reregistration_timeout_ms);
        let now = Instant::now();
        // The last failed read marks the end of the outage, except for the backoff after it.
        match self.read_failed_at {
            Some(read_failed_at) if now < read_failed_at + reregistration_timeout => {
                self.pending_removals
                    .insert(id, read_failed_at + reregistration_timeout);
            }
            _ => self.gateway.remove_backend(&id),
        }
    }

    fn remove_expired(&mut self) {
        let now = Instant::now();
        let mut expired = Vec::new();
        for (id, remove_at) in &self.pending_removals {
            if *remove_at <= now {
                expired.push(id.clone());
            }
        }
        for id in expired {
            self.pending_removals.remove(&id);
            self.gateway.remove_backend(&id);
        }
    }
}

/// Runs the sidecar of a backend server, which relays calls of the store until the process ends.
///
/// # Errors
///
/// Fails with [`Category::Io`] if the address of the relay can't be bound.
pub async fn run_relay(settings: SidecarSettings, transport: Arc<StoreTransport>) -> Result<()> {
    let listener = listen(settings.relay).await?;
    log::info!(target: "process", "sidecar on {} started", settings.host);
    serve_relay(listener, transport).await;
    Ok(())
}

/// Returns a listener on `address`.
pub(crate) async fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Ok(listener),
        Err(error) => {
            Err(Error::new(Category::Io, "listen", address, "can't bind").with_source(error))
        }
    }
}
