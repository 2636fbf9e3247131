//! Applies the registrations of backend servers from the store.

use super::{
    follow_topic::{TopicUpdate, follow_topic},
    gateway::Gateway,
    store::{Store, StoreRecord, Topic},
    watch::{Decoders, READ_WAIT_MS},
};
use crate::{placement::BackendEntry, quarantine::check_registration};
use mallowpath::BackendId;
use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

/// How long a backend server that has left is remembered, in case a restored store lists it again.
const DEPARTURE_MEMORY: Duration = Duration::from_mins(2);

/// Applies the registrations of backend servers as they are read.
#[derive(Debug)]
struct BackendWatcher {
    gateway: Arc<Gateway>,
    decoders: Decoders,
    /// Backend servers without a registration, with the times at which they are removed.
    pending_removals: HashMap<BackendId, Instant>,
    /// The time of the last failed read.
    read_failed_at: Option<Instant>,
    /// Incarnations that were draining or removed lately.
    departed: HashMap<BackendId, Departure>,
}

/// The incarnation of a backend server that is draining or was removed.
#[derive(Debug, Clone, Copy)]
struct Departure {
    started_at_ms: Option<u64>,
    at: Instant,
}

/// Applies the registrations of backend servers from the store; never returns.
pub(crate) async fn watch_backends(gateway: Arc<Gateway>, store: Store, decoders: Decoders) {
    let mut watcher = BackendWatcher {
        gateway,
        decoders,
        pending_removals: HashMap::new(),
        read_failed_at: None,
        departed: HashMap::new(),
    };
    let reads = Arc::clone(&watcher.gateway.backends_reads);
    let apply = |update| watcher.apply(update);
    follow_topic(store, Topic::Backends, READ_WAIT_MS, &reads, apply).await;
}

impl BackendWatcher {
    fn apply(&mut self, update: TopicUpdate) {
        let may_have_changed = match &update {
            TopicUpdate::ReadFailed => false,
            TopicUpdate::Snapshot { .. } => true,
            TopicUpdate::Records(records) => !records.is_empty(),
        };
        match update {
            TopicUpdate::ReadFailed => self.read_failed_at = Some(Instant::now()),
            TopicUpdate::Snapshot {
                records,
                is_restored,
            } => {
                if is_restored {
                    // Backend servers write their registrations again.
                    self.read_failed_at = Some(Instant::now());
                }
                let mut listed = HashSet::new();
                for record in records {
                    if let Ok(id) = record.key.parse::<BackendId>() {
                        listed.insert(id);
                    }
                    self.apply_record(record, is_restored);
                }
                for id in self.gateway.backends.ids() {
                    if !listed.contains(&id) {
                        self.schedule_removal(id);
                    }
                }
            }
            TopicUpdate::Records(records) => {
                for record in records {
                    self.apply_record(record, false);
                }
            }
        }
        self.remove_expired();
        if may_have_changed {
            self.gateway.update_relays();
        }
    }

    /// Applies a record, which may be older than the last one of its key if it `is_restored`.
    fn apply_record(&mut self, record: StoreRecord, is_restored: bool) {
        let Ok(id) = record.key.parse::<BackendId>() else {
            return;
        };
        let Some(value) = record.value else {
            self.schedule_removal(id);
            return;
        };
        match (self.decoders.backend)(&record.key, &value) {
            Ok(mut entry) => {
                if is_restored && self.has_departed(&entry) {
                    if !self.gateway.backends.contains(&id) {
                        // It has left since the copy was taken.
                        return;
                    }
                    entry.draining = true;
                }
                if entry.draining {
                    self.remember_departure(id.clone(), entry.started_at_ms);
                } else {
                    self.departed.remove(&id);
                }
                self.pending_removals.remove(&id);
                check_registration(&self.gateway, &entry);
                self.gateway.insert_backend(entry);
            }
            Err(error) => {
                log::warn!(
                    target: "backend",
                    "can't use the registration of {id}, removing the backend server: {error}",
                );
                self.remove(&id);
            }
        }
    }

    fn remove(&mut self, id: &BackendId) {
        if let Some(started_at_ms) = self.gateway.backends.started_at_ms(id) {
            self.remember_departure(id.clone(), started_at_ms);
        }
        self.gateway.remove_backend(id);
    }

    fn remember_departure(&mut self, id: BackendId, started_at_ms: Option<u64>) {
        let at = Instant::now();
        self.departed
            .retain(|_, departure| at < departure.at + DEPARTURE_MEMORY);
        let departure = Departure { started_at_ms, at };
        self.departed.insert(id, departure);
    }

    /// Returns whether this incarnation was draining or removed lately.
    fn has_departed(&self, entry: &BackendEntry) -> bool {
        let departure = self.departed.get(&entry.id);
        departure.is_some_and(|departure| departure.started_at_ms == entry.started_at_ms)
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
            _ => self.remove(&id),
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
            self.remove(&id);
        }
    }
}
