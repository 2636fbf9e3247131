//! Recovery of a ledger from its stream: the newest checkpoint, if any, and the records after it.

use crate::{
    budget::ledger::Ledger,
    budget::ledger_records::{LedgerBatch, LedgerEntry},
    error::{Category, Error, Result},
    id::Offset,
    stream::follower::Follower,
    stream::ledger_checkpoint::LoggedCheckpoint,
    stream::log_client::LogClient,
};
use prost::Message;

/// Number of offsets at the end of the stream that are searched first for a checkpoint.
const FIRST_WINDOW_OFFSETS: u64 = 4096;
/// Maximum number of attempts when the log service drops records during an attempt.
const MAX_ATTEMPTS: u32 = 5;

/// Replays a ledger stream to its end and returns its state with a follower positioned after it.
///
/// # Errors
///
/// Returns [`Category::Gone`] if the stream keeps neither its first record nor a usable checkpoint,
/// [`Category::Protocol`] if offsets are missing, and the errors of [`LogClient::read`].
pub(crate) async fn load_ledger(log: &LogClient, stream: &str) -> Result<(Ledger, Follower)> {
    let mut attempt = 1;
    loop {
        match try_load(log, stream).await {
            // The log service dropped records between two reads.
            Err(error) if error.bounds().is_some() && attempt < MAX_ATTEMPTS => attempt += 1,
            loaded => return loaded,
        }
    }
}

async fn try_load(log: &LogClient, stream: &str) -> Result<(Ledger, Follower)> {
    let mut ledger = find_start(log, stream).await?;
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

/// Searches for a checkpoint in windows at the end of the stream, each twice as large as the last.
///
/// The largest window starts at the oldest record kept.
async fn find_start(log: &LogClient, stream: &str) -> Result<Ledger> {
    let (first, next) = log.bounds(stream).await?;
    let mut window = FIRST_WINDOW_OFFSETS;
    loop {
        let from = Offset(next.0.saturating_sub(window).max(first.0));
        let found = read_checkpoints(log, stream, from).await?;
        match Ledger::from_checkpoints(first, &found) {
            Ok(ledger) if from == first || ledger.next() > Offset(0) => return Ok(ledger),
            Err(error) if from == first => return Err(gone_error(stream, first).with_source(error)),
            _ => window *= 2,
        }
    }
}

/// Returns the checkpoints at the offset `from` and after it.
async fn read_checkpoints(
    log: &LogClient,
    stream: &str,
    from: Offset,
) -> Result<Vec<LoggedCheckpoint>> {
    let mut found = Vec::new();
    let mut follower = Follower::new(log.clone(), stream, from);
    let search = follower.catch_up(|record| {
        let batch = LedgerBatch::decode(record.data).unwrap_or_default();
        for entry in batch.records {
            if let Some(LedgerEntry::Checkpoint(checkpoint)) = entry.entry {
                found.push(LoggedCheckpoint {
                    offset: record.offset,
                    checkpoint,
                });
            }
        }
    });
    search.await?;
    Ok(found)
}

#[cold]
fn gone_error(stream: &str, first: Offset) -> Error {
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
