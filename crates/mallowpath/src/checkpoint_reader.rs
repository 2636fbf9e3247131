//! Finding the state of a stream: its beginning or its newest checkpoint, then the records behind.

use crate::{
    error::{Category, Error, Result},
    follow::Follower,
    id::Offset,
    ledger::Ledger,
    ledger_records::{CheckpointRecord, LedgerBatch, LedgerEntry},
    log_client::LogClient,
};
use prost::Message;

/// Offsets that are searched first for a checkpoint, counted back from the end of the stream.
const FIRST_WINDOW_OFFSETS: u64 = 4096;

/// Replays a ledger stream to its end and returns the state with a follower behind it.
///
/// # Errors
///
/// Fails with [`Category::Gone`] when the stream holds neither its beginning nor a checkpoint, else
/// as the log service does.
pub(crate) async fn load_ledger(log: &LogClient, stream: &str) -> Result<(Ledger, Follower)> {
    let (first, next) = log.bounds(stream).await?;
    let mut ledger = if next.0 <= FIRST_WINDOW_OFFSETS && first == Offset(0) {
        Ledger::default()
    } else {
        find_checkpoint(log, stream, first, next).await?
    };
    let mut follower = Follower::new(log.clone(), stream, ledger.next());
    let mut failure = None;
    let replay = follower.catch_up(|record| {
        let batch = LedgerBatch::decode(record.data).unwrap_or_default();
        if let Err(error) = ledger.apply(record.offset, &batch) {
            failure = Some(error);
        }
    });
    replay.await?;
    match failure {
        Some(error) => {
            Err(Error::new(Category::Protocol, "replay a ledger", stream, "gap").with_source(error))
        }
        None => Ok((ledger, follower)),
    }
}

/// Searches back from the end in windows that double, down to the oldest record kept.
async fn find_checkpoint(
    log: &LogClient,
    stream: &str,
    first: Offset,
    next: Offset,
) -> Result<Ledger> {
    let mut window = FIRST_WINDOW_OFFSETS;
    loop {
        let start = Offset(next.0.saturating_sub(window).max(first.0));
        if let Some(checkpoint) = newest_checkpoint(log, stream, start).await? {
            return restore(stream, first, &checkpoint);
        }
        if start == first {
            break;
        }
        window *= 2;
    }
    if first == Offset(0) {
        return Ok(Ledger::default());
    }
    Err(no_start(stream, first))
}

async fn newest_checkpoint(
    log: &LogClient,
    stream: &str,
    start: Offset,
) -> Result<Option<CheckpointRecord>> {
    let mut newest = None;
    let mut follower = Follower::new(log.clone(), stream, start);
    let search = follower.catch_up(|record| {
        let batch = LedgerBatch::decode(record.data).unwrap_or_default();
        for record in batch.records {
            if let Some(LedgerEntry::Checkpoint(checkpoint)) = record.entry {
                newest = Some(checkpoint);
            }
        }
    });
    search.await?;
    Ok(newest)
}

fn restore(stream: &str, first: Offset, checkpoint: &CheckpointRecord) -> Result<Ledger> {
    if checkpoint.upto < first.0 {
        return Err(no_start(stream, first));
    }
    match Ledger::restore(checkpoint) {
        Ok(ledger) => Ok(ledger),
        Err(error) => {
            let message = "the newest checkpoint is damaged";
            Err(
                Error::new(Category::Protocol, "restore a checkpoint", stream, message)
                    .with_source(error),
            )
        }
    }
}

#[cold]
fn no_start(stream: &str, first: Offset) -> Error {
    let message = format!(
        "records below {first} are gone and no checkpoint covers them; \
         refusing to start from an empty state"
    );
    Error::new(
        Category::Gone,
        "find the state of a stream",
        stream,
        message,
    )
}
