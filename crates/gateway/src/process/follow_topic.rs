//! Reads a topic of the store continuously.

use super::{
    store::{Store, StorePage, StoreRecord, Topic},
    store_generation::{GenerationChange, GenerationTracker},
    topic_reads::{TopicRead, TopicReads},
};
use mallowpath::{Backoff, Category, Offset, Result};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// The delays after failed reads.
const READ_BACKOFF: Backoff = Backoff {
    min_ms: 100,
    max_ms: 800,
};

/// The delay after a read that failed, or was not what callers wait for, while they wait.
const ASKED_READ_DELAY: Duration = Duration::from_millis(50);

/// The result of a read of a topic.
#[derive(Debug)]
pub(crate) enum TopicUpdate {
    /// The newest record of each key; keys that are not included have no value.
    Snapshot {
        records: Vec<StoreRecord>,
        /// Whether the store was restored from an older copy, so that the records may be older than
        /// those of earlier updates.
        is_restored: bool,
    },
    /// The records after the previous update; empty if there was no new one within the wait.
    Records(Vec<StoreRecord>),
    /// The read failed.
    ReadFailed,
}

/// Passes the newest record of each key of `topic`, then every later record, to `apply`, and records the
/// reads in `reads`, from which callers ask for a read that begins at once.
///
/// A read at the end of the topic waits `wait_ms` for a record, which bounds the time after which an
/// unresponsive connection is detected. Retries failed reads and never returns.
pub(crate) async fn follow_topic(
    store: Store,
    topic: Topic,
    wait_ms: u64,
    reads: &TopicReads,
    mut apply: impl FnMut(TopicUpdate),
) {
    let mut failures = 0;
    let mut from = None;
    let mut generations = GenerationTracker::default();
    let mut is_restored = false;
    loop {
        let (began_at, is_asked, result) = match from {
            None => (Instant::now(), false, (store.newest)(topic).await),
            Some(offset) => read_on(&store, topic, offset, wait_ms, reads).await,
        };
        let page = match result {
            Ok(page) => page,
            // The store keeps the newest record of each key, so reading these again replaces the
            // dropped records.
            Err(error) if error.category() == Category::Gone => {
                from = None;
                continue;
            }
            Err(error) => {
                log::debug!(target: "store", "can't read topic {topic:?}, retrying: {error}");
                apply(TopicUpdate::ReadFailed);
                let delay_ms = READ_BACKOFF.delay_ms(failures, rand::random());
                failures += 1;
                let delay = Duration::from_millis(delay_ms);
                sleep(delay.min(ASKED_READ_DELAY)).await;
                // Ends early if callers wait.
                let _ = timeout(delay.saturating_sub(ASKED_READ_DELAY), reads.asked()).await;
                continue;
            }
        };
        failures = 0;
        match generations.observe(page.generation) {
            GenerationChange::Same => {}
            GenerationChange::Restored => {
                let generation = generations.current();
                log::warn!(
                    target: "store",
                    "{topic:?} was restored from an older copy, generation {generation}",
                );
                is_restored = true;
            }
            GenerationChange::Outdated => {
                log::warn!(target: "store", "discarding an outdated answer for {topic:?}");
                sleep(Duration::from_millis(READ_BACKOFF.min_ms)).await;
                continue;
            }
        }
        if is_restored && from.is_some() {
            // The offset belongs to another generation than the records of the page.
            from = None;
            continue;
        }
        let read = TopicRead {
            began_at,
            has_gap: from.is_none(),
            is_restored: std::mem::take(&mut is_restored),
            reaches_end: page.reaches_end,
        };
        let update = match from {
            None => TopicUpdate::Snapshot {
                records: page.records,
                is_restored: read.is_restored,
            },
            Some(_) => TopicUpdate::Records(page.records),
        };
        apply(update);
        let is_complete = reads.record(read);
        from = Some(page.next);
        if is_asked && !is_complete {
            sleep(ASKED_READ_DELAY).await;
        }
    }
}

/// Reads from `offset` on, and waits `wait_ms` for a record unless a caller waits for a read; returns when
/// the read began, and whether a caller waits for it.
async fn read_on(
    store: &Store,
    topic: Topic,
    offset: Offset,
    wait_ms: u64,
    reads: &TopicReads,
) -> (Instant, bool, Result<StorePage>) {
    let began_at = Instant::now();
    tokio::select! {
        biased;
        () = reads.asked() => {}
        result = async { (store.read)(topic, offset, wait_ms).await } => return (began_at, false, result),
    }
    (Instant::now(), true, (store.read)(topic, offset, 0).await)
}
