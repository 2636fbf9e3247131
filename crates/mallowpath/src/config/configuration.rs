//! The configuration in force in a router, and the time at which it was last confirmed as current.
//!
//! Records from the log and from peers are replayed in offset order alike, so a process never
//! reverts to an older version and never skips one.

use crate::{
    config::change::ConfigRecord,
    config::fleet::{FleetConfig, Workspace},
    config::propagation::Propagation,
    config::replay::{ConfigLoader, ConfigOutcome, ConfigState},
    id::{HostId, Offset, Version},
    peer::link::{Link, now_ms},
    peer::wire::{ConfigRecords, Heartbeat},
    stream::log_client::LogRecord,
};
use bytes::Bytes;
use metrics::gauge;
use prost::Message;
use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::sync::Notify;

/// Number of replayed records that are kept for peers that are behind.
const RETAINED_RECORDS: usize = 512;

/// The configuration in force, with the state that is needed to follow its stream.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    state: Mutex<State>,
    /// Notified when a peer holds records that this process does not hold.
    pub(crate) peer_ahead: Notify,
}

#[derive(Debug, Default)]
struct State {
    replay: ConfigState,
    retained: VecDeque<(Offset, Bytes)>,
    propagation: Propagation,
    /// The latest connection to each router that sends heartbeats.
    links: HashMap<HostId, Arc<Link>>,
}

/// Sets the gauges of the configuration; an unknown age leaves the age gauge unchanged.
pub(crate) fn set_config_gauges(version: Version, age_ms: Option<u64>) {
    gauge!("mallowpath_config_version").set(version.0 as f64);
    gauge!("mallowpath_config_confirmed").set(f64::from(u8::from(age_ms.is_some())));
    if let Some(age_ms) = age_ms {
        gauge!("mallowpath_config_age_ms").set(age_ms as f64);
    }
}

impl Configuration {
    /// Returns the configuration in force.
    pub(crate) fn fleet(&self) -> Arc<FleetConfig> {
        Arc::clone(self.state().replay.fleet())
    }

    /// Returns the version in force and its configuration.
    pub(crate) fn current(&self) -> (Version, Arc<FleetConfig>) {
        let state = self.state();
        (state.replay.version(), Arc::clone(state.replay.fleet()))
    }

    /// Returns the version in force.
    pub(crate) fn version(&self) -> Version {
        self.state().replay.version()
    }

    /// Returns the offset of the record to replay next.
    pub(crate) fn next(&self) -> Offset {
        self.state().replay.next()
    }

    /// Returns the author of the version in force.
    pub(crate) fn author(&self) -> Arc<str> {
        Arc::from(self.state().replay.author())
    }

    /// Returns the time since the configuration was last confirmed as current, if it ever was.
    pub(crate) fn confirmed_age_ms(&self) -> Option<u64> {
        self.state().propagation.confirmed_age_ms(now_ms())
    }

    /// Returns whether a workspace's requests may be served by the version in force.
    pub(crate) fn serves(&self, workspace: &Workspace) -> bool {
        let state = self.state();
        let rules = &state.replay.fleet().rules;
        state.propagation.serves(workspace, rules, now_ms())
    }

    /// Returns a heartbeat with a consistent snapshot of the configuration fields.
    pub(crate) fn heartbeat(&self) -> Heartbeat {
        let state = self.state();
        let config = state.propagation.heartbeat(now_ms());
        Heartbeat {
            config_version: state.replay.version().0,
            config_next: config.next,
            confirmed_age_ms: config.confirmed_age_ms,
            ..Heartbeat::default()
        }
    }

    /// Records the configuration fields of another router's heartbeat.
    pub(crate) fn record_heartbeat(&self, link: &Arc<Link>, heartbeat: &Heartbeat) {
        let Ok(host) = link.peer().host.parse::<HostId>() else {
            return;
        };
        let (answer, asked_at_ms) = heartbeat.configuration();
        let mut state = self.state();
        state
            .propagation
            .record_peer_heartbeat(&host, answer, asked_at_ms);
        state.links.insert(host, Arc::clone(link));
        if Offset(answer.next) > state.replay.next() {
            self.peer_ahead.notify_one();
        }
    }

    /// Removes a router after the connection that carried its latest heartbeat has ended.
    pub(crate) fn remove_peer(&self, link: &Arc<Link>) {
        let Ok(host) = link.peer().host.parse::<HostId>() else {
            return;
        };
        let mut state = self.state();
        if state
            .links
            .get(&host)
            .is_some_and(|latest| Arc::ptr_eq(latest, link))
        {
            state.links.remove(&host);
            state.propagation.remove_peer(&host);
        }
    }

    /// Chooses a peer that holds more records; `random` is a random number.
    pub(crate) fn peer_to_fetch_from(&self, random: u64) -> Option<Arc<Link>> {
        let state = self.state();
        let host = state.propagation.peer_to_fetch_from(random)?;
        state.links.get(host).map(Arc::clone)
    }

    /// Returns the records from an offset on, or a checkpoint if not all of them are retained.
    pub(crate) fn records_from(&self, from: Offset) -> ConfigRecords {
        let state = self.state();
        let mut answer = ConfigRecords {
            from: from.0,
            ..ConfigRecords::default()
        };
        if from > Offset(0) && from >= state.replay.next() {
            return answer;
        }
        if state
            .retained
            .front()
            .is_some_and(|(offset, _)| *offset <= from)
        {
            for (offset, data) in &state.retained {
                if *offset >= from {
                    answer.records.push(data.clone());
                }
            }
            return answer;
        }
        answer.checkpoint = true;
        for part in state.replay.checkpoint() {
            let record = ConfigRecord::from(part).encode_to_vec();
            answer.records.push(record.into());
        }
        answer
    }

    /// Returns the offset of the next record and the state as checkpoint records.
    pub(crate) fn checkpoint(&self) -> (Offset, Vec<Bytes>) {
        let state = self.state();
        let mut records = Vec::new();
        for part in state.replay.checkpoint() {
            records.push(ConfigRecord::from(part).encode_to_vec().into());
        }
        (state.replay.next(), records)
    }

    /// Replays one record; a record that was replayed before is ignored.
    pub(crate) fn apply(&self, record: LogRecord) {
        let mut state = self.state();
        if record.offset < state.replay.next() {
            return;
        }
        match state
            .replay
            .apply(record.offset, &ConfigRecord::decode_or_void(&record.data))
        {
            Ok(ConfigOutcome::Accepted(version)) => {
                log::info!(
                    "configuration {version} by {} is in force",
                    state.replay.author()
                );
            }
            Ok(outcome) => log::debug!(
                "configuration record at offset {} made no new version: {outcome:?}",
                record.offset
            ),
            Err(error) => {
                log::error!(
                    "replaying the configuration record at offset {} failed: {error}",
                    record.offset
                );
                return;
            }
        }
        state.retained.push_back((record.offset, record.data));
        if state.retained.len() > RETAINED_RECORDS {
            state.retained.pop_front();
        }
        let next = state.replay.next();
        state.propagation.advance_to(next);
    }

    /// Applies a peer's answer to a fetch.
    pub(crate) fn apply_fetched(&self, answer: ConfigRecords) {
        if !answer.checkpoint {
            for (offset, data) in (answer.from..).zip(answer.records) {
                let offset = Offset(offset);
                self.apply(LogRecord { offset, data });
            }
            return;
        }
        // The parts come from one peer in one answer, so a checkpoint at any offset is accepted.
        let mut loader = ConfigLoader::new(Offset(0));
        for data in &answer.records {
            if let Some(loaded) = loader.push(&ConfigRecord::decode_or_void(data)) {
                return self.replace_state(loaded);
            }
        }
        log::warn!(
            "a peer sent an incomplete or damaged checkpoint of the configuration, ignoring it"
        );
    }

    /// Replaces the state, unless the given one is older.
    pub(crate) fn replace_state(&self, loaded: ConfigState) {
        let mut state = self.state();
        if loaded.next() < state.replay.next() {
            return;
        }
        log::info!(
            "configuration {} by {} is in force",
            loaded.version(),
            loaded.author()
        );
        let next = loaded.next();
        state.replay = loaded;
        state.retained.clear();
        state.propagation.advance_to(next);
    }

    /// Records that a read of the log sent at `asked_at_ms` found its end at `end`.
    pub(crate) fn record_log_end(&self, end: Offset, asked_at_ms: u64) {
        self.state().propagation.record_log_end(end, asked_at_ms);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
