//! Keeping the configuration in force up to date, from the log service or from peers.
//!
//! Every record is judged by replay in offset order, wherever it comes from, so a process never
//! goes back to an older version and never skips one.

use crate::{
    change::ConfigRecord,
    error::{Category, Error, Result},
    fleet::Fleet,
    follow::{Follower, back_off},
    id::{Offset, Version},
    link::{Link, now_ms},
    log_client::{LogClient, LogRecord},
    replay::{ConfigLoader, ConfigState, ConfigVerdict},
    router::Router,
    wire::{Body, ConfigRecords, FetchConfig, Heartbeat},
};
use bytes::Bytes;
use prost::Message;
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::Notify;

/// The stream of configuration changes.
pub const CONFIG_STREAM: &str = "config";
/// Records kept for peers that lag.
const KEPT_RECORDS: usize = 512;
const FETCH_MS: u64 = 2000;
/// Offsets between two checkpoints of the configuration stream.
const CHECKPOINT_OFFSETS: u64 = 1024;

/// The configuration in force and what is needed to follow it.
#[derive(Debug)]
pub(crate) struct Configuration {
    state: Mutex<State>,
    /// Told when a peer knows a newer version.
    lagging: Notify,
}

#[derive(Debug)]
struct State {
    replay: ConfigState,
    kept: VecDeque<(Offset, Bytes)>,
    /// When the version in force was known to be the newest.
    confirmed_at_ms: u64,
    /// The peer that told of the newest version.
    ahead: Option<(Version, Arc<Link>)>,
}

/// Reads the configuration stream to its end.
///
/// # Errors
///
/// Fails with [`Category::Gone`] when the stream holds neither its beginning nor a checkpoint, else
/// as the log service does.
pub async fn load_config(log: &LogClient) -> Result<ConfigState> {
    let (first, _) = log.bounds(CONFIG_STREAM).await?;
    let mut loader = Some(ConfigLoader::new(first));
    let mut loaded = None;
    if first == Offset(0) {
        loaded = Some(ConfigState::default());
    } else {
        let mut search = Follower::new(log.clone(), CONFIG_STREAM, first);
        let found = search.catch_up(|record| {
            let Some(loader) = &mut loader else { return };
            if let Some(state) = loader.push(&ConfigRecord::read(&record.data)) {
                loaded = Some(state);
            }
        });
        found.await?;
    }
    let mut state = match (loaded, loader.take()) {
        (Some(state), _) => state,
        (None, Some(loader)) => match loader.finish() {
            Ok(state) => state,
            Err(error) => return Err(unreadable(&error)),
        },
        (None, None) => ConfigState::default(),
    };
    let mut failure = None;
    let mut follower = Follower::new(log.clone(), CONFIG_STREAM, state.next());
    let replay = follower.catch_up(|record| {
        if let Err(error) = state.apply(record.offset, &ConfigRecord::read(&record.data)) {
            failure = Some(unreadable(&error));
        }
    });
    replay.await?;
    match failure {
        Some(error) => Err(error),
        None => Ok(state),
    }
}

#[cold]
fn unreadable(error: &impl std::fmt::Display) -> Error {
    Error::new(
        Category::Gone,
        "replay the configuration",
        CONFIG_STREAM,
        error,
    )
}

impl Configuration {
    /// Loads the configuration from the log service.
    ///
    /// # Errors
    ///
    /// As [`load_config`].
    pub(crate) async fn load(log: &LogClient) -> Result<Self> {
        let replay = load_config(log).await?;
        Ok(Self {
            state: Mutex::new(State {
                replay,
                kept: VecDeque::new(),
                confirmed_at_ms: now_ms(),
                ahead: None,
            }),
            lagging: Notify::new(),
        })
    }

    /// Returns the configuration in force.
    pub(crate) fn fleet(&self) -> Arc<Fleet> {
        Arc::clone(self.state().replay.fleet())
    }

    /// Returns the version in force.
    pub(crate) fn version(&self) -> Version {
        self.state().replay.version()
    }

    /// Returns how long ago the version in force was known to be the newest.
    pub(crate) fn age_ms(&self) -> u64 {
        now_ms().saturating_sub(self.state().confirmed_at_ms)
    }

    /// Takes in what another router says of its version.
    pub(crate) fn heard(&self, link: &Arc<Link>, heartbeat: &Heartbeat) {
        let theirs = Version(heartbeat.config_version);
        let mut state = self.state();
        if theirs == state.replay.version() {
            let at_ms = now_ms().saturating_sub(heartbeat.confirmed_age_ms);
            state.confirmed_at_ms = state.confirmed_at_ms.max(at_ms);
        }
        if theirs > state.replay.version() {
            state.ahead = Some((theirs, Arc::clone(link)));
            drop(state);
            self.lagging.notify_one();
        }
    }

    /// Returns kept records from an offset on, for a peer that lags.
    pub(crate) fn records(&self, from: Offset) -> ConfigRecords {
        let state = self.state();
        let mut answer = ConfigRecords {
            from: from.0,
            ..ConfigRecords::default()
        };
        if state
            .kept
            .front()
            .is_some_and(|(offset, _)| *offset <= from)
        {
            for (offset, data) in &state.kept {
                if *offset >= from {
                    answer.records.push(data.clone());
                }
            }
            return answer;
        }
        answer.checkpoint = true;
        for part in state.replay.checkpoint() {
            answer
                .records
                .push(ConfigRecord::from(part).encode_to_vec().into());
        }
        answer
    }

    /// Replays one record; a record met before changes nothing.
    fn apply(&self, record: LogRecord) {
        let mut state = self.state();
        if record.offset < state.replay.next() {
            return;
        }
        match state
            .replay
            .apply(record.offset, &ConfigRecord::read(&record.data))
        {
            Ok(ConfigVerdict::Accepted(version)) => {
                log::info!(
                    "configuration {version} by {} is in force",
                    state.replay.author()
                );
            }
            Ok(verdict) => log::debug!("configuration record {}: {verdict:?}", record.offset),
            Err(error) => {
                log::error!("configuration record {}: {error}", record.offset);
                return;
            }
        }
        state.kept.push_back((record.offset, record.data));
        if state.kept.len() > KEPT_RECORDS {
            state.kept.pop_front();
        }
    }

    /// Takes over a checkpoint that a peer made, if it is ahead.
    fn restore(&self, records: &[Bytes]) {
        let mut loader = ConfigLoader::new(Offset(u64::MAX));
        for data in records {
            let Some(loaded) = loader.push(&ConfigRecord::read(data)) else {
                continue;
            };
            let mut state = self.state();
            if loaded.next() > state.replay.next() {
                state.replay = loaded;
                state.kept.clear();
            }
            return;
        }
    }

    fn confirm(&self) {
        self.state().confirmed_at_ms = now_ms();
    }

    fn take_ahead(&self) -> Option<(Offset, Arc<Link>)> {
        let mut state = self.state();
        let (version, link) = state.ahead.take()?;
        (version > state.replay.version()).then(|| (state.replay.next(), link))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Follows the configuration for the life of the process.
pub(crate) async fn follow(router: Arc<Router>) {
    tokio::spawn(fetch_from_peers(Arc::clone(&router)));
    let configuration = &router.configuration;
    let mut failures = 0;
    loop {
        let next = configuration.state().replay.next();
        let mut follower = Follower::new(router.log.clone(), CONFIG_STREAM, next);
        let step = follower.step(|record| {
            let due = record.offset.0 % CHECKPOINT_OFFSETS == CHECKPOINT_OFFSETS - 1;
            configuration.apply(record);
            if due {
                tokio::spawn(append_checkpoint(Arc::clone(&router)));
            }
        });
        match step.await {
            Ok(()) => {
                failures = 0;
                configuration.confirm();
            }
            Err(error) => {
                log::warn!("{error}");
                failures += 1;
                back_off(failures).await;
            }
        }
    }
}

async fn fetch_from_peers(router: Arc<Router>) {
    let configuration = &router.configuration;
    loop {
        configuration.lagging.notified().await;
        let Some((next, link)) = configuration.take_ahead() else {
            continue;
        };
        let fetch = Body::FetchConfig(FetchConfig { from: next.0 });
        match link.ask(fetch, Duration::from_millis(FETCH_MS)).await {
            Ok(Body::ConfigRecords(records)) if records.checkpoint => {
                configuration.restore(&records.records);
            }
            Ok(Body::ConfigRecords(records)) => {
                for (offset, data) in (records.from..).zip(records.records) {
                    configuration.apply(LogRecord {
                        offset: Offset(offset),
                        data,
                    });
                }
            }
            Ok(other) => log::warn!("{} answered with {other:?}", link.remote()),
            Err(error) => log::warn!("{error}"),
        }
    }
}

/// Writes the state into the stream, so that later readers need not find its beginning.
///
/// All routers reach this point; a random wait lets one of them do it for all.
async fn append_checkpoint(router: Arc<Router>) {
    let before = router.configuration.state().replay.next();
    tokio::time::sleep(Duration::from_millis(rand::random_range(0..FETCH_MS))).await;
    let (next, parts) = {
        let state = router.configuration.state();
        (state.replay.next(), state.replay.checkpoint())
    };
    if next != before {
        return;
    }
    for part in parts {
        let record = ConfigRecord::from(part).encode_to_vec();
        if let Err(error) = router.log.append(CONFIG_STREAM, record.into()).await {
            log::warn!("{error}");
            return;
        }
    }
}
