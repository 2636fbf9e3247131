//! Tasks that load and follow the configuration, from the log service or from peers.

use crate::{
    config::change::ConfigRecord,
    config::configuration::Configuration,
    config::replay::{ConfigLoader, ConfigState},
    error::{Category, Error, Result},
    id::Offset,
    membership::peer_selection::config_sources,
    peer::link::{Link, now_ms},
    peer::wire::{FetchConfig, FrameBody},
    process::router::Router,
    stream::follower::{Follower, sleep_backoff},
    stream::log_client::LogClient,
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Name of the log stream that holds the configuration changes.
pub const CONFIG_STREAM: &str = "config";
/// Timeout of a fetch from a peer, and upper bound of the random delay before a checkpoint.
const FETCH_TIMEOUT_MS: u64 = 2000;
/// Longest wait of a read of the log for a new record.
///
/// Each read that reaches the end of the log confirms the configuration, so this bounds the age of
/// the confirmation.
const LOG_POLL_TIMEOUT_MS: u64 = 500;
const LOAD_RETRY_DELAY_MS: u64 = 200;
/// Number of offsets between two checkpoints of the configuration stream.
const CHECKPOINT_INTERVAL_OFFSETS: u64 = 1024;

/// Reads the configuration stream to its end.
///
/// # Errors
///
/// Fails with [`Category::Gone`] if the stream holds neither its beginning nor a checkpoint;
/// otherwise returns the errors of the log service.
pub async fn load_config(log: &LogClient) -> Result<ConfigState> {
    let (first, _) = log.bounds(CONFIG_STREAM).await?;
    let mut loader = Some(ConfigLoader::new(first));
    let mut loaded = None;
    if first == Offset(0) {
        loaded = Some(ConfigState::default());
    } else {
        let mut follower = Follower::new(log.clone(), CONFIG_STREAM, first);
        let scan = follower.catch_up(|record| {
            let Some(loader) = &mut loader else { return };
            if let Some(state) = loader.push(&ConfigRecord::decode_or_void(&record.data)) {
                loaded = Some(state);
            }
        });
        scan.await?;
    }
    let mut state = match (loaded, loader.take()) {
        (Some(state), _) => state,
        (None, Some(loader)) => match loader.finish() {
            Ok(state) => state,
            Err(error) => return Err(replay_error(&error)),
        },
        (None, None) => ConfigState::default(),
    };
    let mut failure = None;
    let mut follower = Follower::new(log.clone(), CONFIG_STREAM, state.next());
    let replay = follower.catch_up(|record| {
        if let Err(error) = state.apply(record.offset, &ConfigRecord::decode_or_void(&record.data))
        {
            failure = Some(replay_error(&error));
        }
    });
    replay.await?;
    match failure {
        Some(error) => Err(error),
        None => Ok(state),
    }
}

#[cold]
fn replay_error(error: &impl std::fmt::Display) -> Error {
    Error::new(
        Category::Gone,
        "replay the configuration",
        CONFIG_STREAM,
        error,
    )
}

/// Loads the configuration when a router starts, from the log service or, failing that, from peers.
///
/// # Errors
///
/// Fails if neither the log service nor a router on the host list returns one within
/// `load_timeout_ms`.
pub(crate) async fn load(router: &Arc<Router>) -> Result<()> {
    let limit_ms = router.settings.tuning.load_timeout_ms;
    let deadline = Instant::now() + Duration::from_millis(limit_ms);
    loop {
        let asked_at_ms = now_ms();
        let error = match load_config(&router.log).await {
            Ok(state) => {
                let next = state.next();
                router.configuration.replace_state(state);
                router.configuration.record_log_end(next, asked_at_ms);
                return Ok(());
            }
            Err(error) => error,
        };
        log::warn!("no configuration from the log service: {error}");
        let (asked, answered) = load_from_peers(router).await;
        if answered > 0 {
            return Ok(());
        }
        log::warn!("no configuration from peers, {asked} asked");
        if Instant::now() >= deadline {
            return Err(load_timeout_error(asked, limit_ms).with_source(error));
        }
        tokio::time::sleep(Duration::from_millis(LOAD_RETRY_DELAY_MS)).await;
    }
}

#[cold]
fn load_timeout_error(asked: usize, limit_ms: u64) -> Error {
    let message = format!(
        "neither the log service nor any of {asked} routers on the host list gave a configuration \
         within {limit_ms} ms"
    );
    Error::new(
        Category::Refused,
        "load the configuration",
        CONFIG_STREAM,
        message,
    )
}

/// Fetches the configuration from several routers and keeps the newest.
///
/// Returns how many routers were asked and how many of them answered.
async fn load_from_peers(router: &Arc<Router>) -> (usize, usize) {
    let sources = config_sources(&router.settings.host, &router.hosts());
    let mut answered = 0;
    for address in &sources {
        let fetched = match router.dialer.link(*address).await {
            Ok(link) => fetch(&router.configuration, &link).await,
            Err(error) => Err(error),
        };
        match fetched {
            Ok(()) => answered += 1,
            Err(error) => log::warn!("no configuration from peer {address}: {error}"),
        }
    }
    (sources.len(), answered)
}

/// Follows the configuration stream until the process ends.
pub(crate) async fn follow(router: Arc<Router>) {
    tokio::spawn(fetch_from_peers(Arc::clone(&router)));
    let configuration = &router.configuration;
    let mut failures = 0;
    loop {
        let asked_at_ms = now_ms();
        let mut follower = Follower::new(router.log.clone(), CONFIG_STREAM, configuration.next());
        let step = follower.poll_for(LOG_POLL_TIMEOUT_MS, |record| {
            let checkpoint_is_due =
                record.offset.0 % CHECKPOINT_INTERVAL_OFFSETS == CHECKPOINT_INTERVAL_OFFSETS - 1;
            configuration.apply(record);
            if checkpoint_is_due {
                tokio::spawn(append_checkpoint(Arc::clone(&router)));
            }
        });
        let error = match step.await {
            Ok(end) => {
                failures = 0;
                configuration.record_log_end(end, asked_at_ms);
                continue;
            }
            Err(error) => error,
        };
        log::warn!("following the configuration stream failed, retrying after a delay: {error}");
        if error.category() == Category::Gone {
            // The log dropped records that this process has not read, so a checkpoint is needed.
            match load_config(&router.log).await {
                Ok(state) => configuration.replace_state(state),
                Err(error) => log::error!(
                    "reloading the configuration failed, retrying after a delay: {error}"
                ),
            }
        }
        failures += 1;
        sleep_backoff(failures).await;
    }
}

/// Fetches records from a peer each time one is found to hold newer ones.
async fn fetch_from_peers(router: Arc<Router>) {
    let configuration = &router.configuration;
    loop {
        configuration.peer_ahead.notified().await;
        let Some(link) = configuration.peer_to_fetch_from(rand::random()) else {
            continue;
        };
        if let Err(error) = fetch(configuration, &link).await {
            log::warn!(
                "fetching configuration records from a peer failed, retrying after the next \
                 heartbeat of a peer that is ahead: {error}"
            );
        }
    }
}

/// Fetches the records that a peer holds after the last local one, and applies them.
async fn fetch(configuration: &Configuration, link: &Arc<Link>) -> Result<()> {
    let from = configuration.next().0;
    let fetch = FrameBody::FetchConfig(FetchConfig { from });
    match link
        .call(fetch, Duration::from_millis(FETCH_TIMEOUT_MS))
        .await?
    {
        FrameBody::ConfigRecords(records) => {
            configuration.apply_fetched(records);
            Ok(())
        }
        other => {
            log::debug!("unexpected answer to a configuration fetch: {other:?}");
            let message = "the peer answered with a message that is not a configuration";
            Err(Error::new(
                Category::Protocol,
                "fetch the configuration",
                link.remote(),
                message,
            ))
        }
    }
}

/// Appends a checkpoint of the state to the stream, so that later readers need not replay it from
/// the beginning.
///
/// All routers reach this point at the same offset. Each waits for a random delay and does nothing
/// if the stream has advanced since, so that in most cases only one of them appends the checkpoint.
async fn append_checkpoint(router: Arc<Router>) {
    let before = router.configuration.next();
    tokio::time::sleep(Duration::from_millis(rand::random_range(
        0..FETCH_TIMEOUT_MS,
    )))
    .await;
    let (next, records) = router.configuration.checkpoint();
    if next != before {
        return;
    }
    for record in records {
        if let Err(error) = router.log.append(CONFIG_STREAM, record).await {
            log::warn!("appending a configuration checkpoint failed, skipping it: {error}");
            return;
        }
    }
}
