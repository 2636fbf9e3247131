//! Applies the operators' records from the store: the configuration and evacuated availability
//! zones.

use super::{
    follow_topic::{TopicUpdate, follow_topic},
    gateway::Gateway,
    store::{Store, StoreRecord, Topic},
};
use crate::{placement::BackendEntry, version::Configuration};
use mallowpath::{Result, Zone};
use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

/// How long a read of configurations or registrations waits for a record.
pub(super) const READ_WAIT_MS: u64 = 1_500;

/// How long operators may take to write again what a restored store has lost.
const REWRITE_TIMEOUT: Duration = Duration::from_secs(10);

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

/// Applies the operators' records as they are read.
#[derive(Debug)]
struct OperatorWatcher {
    gateway: Arc<Gateway>,
    decoders: Decoders,
    /// Evacuated zones that a restored store does not list, with the times at which their
    /// evacuations end unless the operators write them again.
    unlisted_evacuations: HashMap<Zone, Instant>,
}

/// Applies every record of the operators from the store; never returns.
pub(crate) async fn watch_configuration(gateway: Arc<Gateway>, store: Store, decoders: Decoders) {
    let mut watcher = OperatorWatcher {
        gateway,
        decoders,
        unlisted_evacuations: HashMap::new(),
    };
    let reads = Arc::clone(&watcher.gateway.configuration_reads);
    let apply = |update| watcher.apply(update);
    follow_topic(store, Topic::Configuration, READ_WAIT_MS, &reads, apply).await;
}

impl OperatorWatcher {
    fn apply(&mut self, update: TopicUpdate) {
        let records = match update {
            TopicUpdate::Snapshot {
                records,
                is_restored,
            } => {
                if is_restored {
                    self.gateway.budgets.check_for_restore();
                }
                self.end_unlisted_evacuations(&records, is_restored);
                records
            }
            TopicUpdate::Records(records) => records,
            TopicUpdate::ReadFailed => return,
        };
        for record in records {
            self.apply_record(&record);
        }
        self.end_expired_evacuations();
    }

    fn apply_record(&mut self, record: &StoreRecord) {
        if let Some(zone) = record.key.strip_prefix(self.decoders.evacuation_prefix) {
            self.set_evacuated(zone, record.value.is_some());
            return;
        }
        if *record.key != *self.decoders.configuration_key {
            return;
        }
        let Some(value) = &record.value else {
            return;
        };
        match (self.decoders.configuration)(value) {
            Ok(configuration) => self.gateway.set_configuration(configuration),
            Err(error) => log::error!(
                target: "configuration",
                "can't decode the configuration, keeping the current one: {error}",
            ),
        }
    }

    /// Starts or ends the evacuation of an availability zone, in which backend servers get no new
    /// requests.
    fn set_evacuated(&mut self, zone: &str, is_evacuated: bool) {
        let zone = match zone.parse::<Zone>() {
            Ok(zone) => zone,
            Err(error) => {
                log::warn!(target: "backend", "ignoring the evacuation of {zone:?}: {error}");
                return;
            }
        };
        self.unlisted_evacuations.remove(&zone);
        if self.gateway.backends.set_evacuated(&zone, is_evacuated) {
            let state = if is_evacuated {
                "evacuated"
            } else {
                "in use again"
            };
            log::info!(target: "backend", "availability zone {zone} is {state}");
        }
    }

    /// Ends the evacuations that a complete list of the operators' records does not include.
    ///
    /// If the store was restored, they end only when the operators have had time to write them
    /// again.
    fn end_unlisted_evacuations(&mut self, records: &[StoreRecord], is_restored: bool) {
        let prefix = self.decoders.evacuation_prefix;
        for zone in self.gateway.backends.evacuated_zones() {
            let is_listed = records
                .iter()
                .any(|record| record.key.strip_prefix(prefix) == Some(zone.as_str()));
            if is_listed {
                continue;
            }
            if is_restored {
                let ends_at = Instant::now() + REWRITE_TIMEOUT;
                self.unlisted_evacuations.insert(zone, ends_at);
            } else if !self.unlisted_evacuations.contains_key(&zone) {
                self.set_evacuated(zone.as_str(), false);
            }
        }
    }

    fn end_expired_evacuations(&mut self) {
        let now = Instant::now();
        let mut expired = Vec::new();
        for (zone, ends_at) in &self.unlisted_evacuations {
            if *ends_at <= now {
                expired.push(zone.clone());
            }
        }
        for zone in expired {
            self.set_evacuated(zone.as_str(), false);
        }
    }
}
