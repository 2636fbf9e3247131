//! Publishes a configuration to the log service.

use crate::{
    config::change::{Change, ChangeId, ConfigEntry, ConfigRecord, Delta},
    config::change_split::split_changes,
    config::config_task::{CONFIG_STREAM, load_config},
    config::replay::{ConfigOutcome, ConfigState, RejectReason},
    config::section::Sections,
    error::{Category, Error, Result},
    id::{Offset, Version},
    process::logging::wall_clock_ms,
    stream::follower::Follower,
    stream::log_client::LogClient,
};
use prost::Message;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for appending one change, including retries.
const APPEND_TIMEOUT_MS: u64 = 10_000;
/// Largest size of the sections of one change; the log accepts records of up to 1 MiB.
const MAX_CHANGE_BYTES: usize = 1000 * 1024;

/// The result of publishing a configuration.
#[derive(Debug)]
pub enum PublishOutcome {
    /// The configuration is in force as this version.
    Accepted(Version),
    /// The configuration equals the version in force.
    Unchanged(Version),
    /// The change is rejected, in most cases because another operator's change was accepted first.
    Rejected {
        /// The version in force.
        version: Version,
        /// The author of that version.
        author: String,
        /// Why the change is rejected.
        reason: RejectReason,
        /// The last version created by earlier parts of a split change, if any.
        partial_version: Option<Version>,
    },
}

/// Publishes `sections` as the whole configuration, on behalf of `author`.
///
/// The change is based on the version that is in force when the call starts. If another change is
/// accepted in the meantime, this one is rejected. A change that is too large for one record of the
/// log is split into several, each of which results in a valid configuration.
///
/// # Errors
///
/// Fails with [`Category::Config`] if the change is too large and can't be split, and with the
/// error of the log service if the stream can't be read or the change is not appended in time.
/// After [`Category::Unknown`] the change may still come into force.
pub async fn publish(log: &LogClient, sections: &Sections, author: &str) -> Result<PublishOutcome> {
    let state = load_config(log).await?;
    publish_to_base(log, state, sections, author).await
}

/// Publishes `sections` as a change to `base`, the state that the operator has seen.
///
/// # Errors
///
/// Returns the same errors as [`publish`].
pub async fn publish_to_base(
    log: &LogClient,
    base: ConfigState,
    sections: &Sections,
    author: &str,
) -> Result<PublishOutcome> {
    let mut state = base;
    let plan = match split_changes(state.sections(), sections, MAX_CHANGE_BYTES) {
        Ok(plan) => plan,
        Err(error) => {
            return Err(Error::new(
                Category::Config,
                "split a configuration",
                CONFIG_STREAM,
                error,
            ));
        }
    };
    let mut partial_version = None;
    for delta in &plan {
        if delta.is_empty() {
            continue;
        }
        match publish_change(log, &mut state, delta, author).await? {
            PublishOutcome::Accepted(version) => partial_version = Some(version),
            PublishOutcome::Rejected {
                version,
                author,
                reason,
                ..
            } => {
                return Ok(PublishOutcome::Rejected {
                    version,
                    author,
                    reason,
                    partial_version,
                });
            }
            PublishOutcome::Unchanged(_) => {}
        }
    }
    Ok(match partial_version {
        Some(version) => PublishOutcome::Accepted(version),
        None => PublishOutcome::Unchanged(state.version()),
    })
}

async fn publish_change(
    log: &LogClient,
    state: &mut ConfigState,
    delta: &Delta,
    author: &str,
) -> Result<PublishOutcome> {
    let id = ChangeId::random();
    let change = Change::new(id, state.version(), author, wall_clock_ms(), delta);
    let record = ConfigRecord::from(change).encode_to_vec();
    let deadline = Instant::now() + Duration::from_millis(APPEND_TIMEOUT_MS);
    let offset = log
        .append_until(CONFIG_STREAM, record.into(), deadline)
        .await?;
    read_result(log, state, id, offset).await
}

/// Replays the stream up to `offset` and returns the result of the first record with `id`.
///
/// A retried append can leave several records with the same id.
async fn read_result(
    log: &LogClient,
    state: &mut ConfigState,
    id: ChangeId,
    offset: Offset,
) -> Result<PublishOutcome> {
    let mut outcome = None;
    let mut failure = None;
    let mut follower = Follower::new(log.clone(), CONFIG_STREAM, state.next());
    let replay = follower.catch_up(|record| {
        if record.offset > offset || failure.is_some() {
            return;
        }
        let entry = ConfigRecord::decode_or_void(&record.data);
        match state.apply(record.offset, &entry) {
            Ok(result) if outcome.is_none() && is_change(&entry, id) => outcome = Some(result),
            Ok(_) => {}
            Err(error) => failure = Some(error),
        }
    });
    replay.await?;
    if let Some(error) = failure {
        return Err(result_unknown().with_source(error));
    }
    match outcome {
        Some(ConfigOutcome::Accepted(version) | ConfigOutcome::Duplicate(Some(version))) => {
            Ok(PublishOutcome::Accepted(version))
        }
        Some(ConfigOutcome::Rejected {
            reason,
            author,
            version,
        }) => Ok(PublishOutcome::Rejected {
            version,
            author: author.to_string(),
            reason,
            partial_version: None,
        }),
        _ => Err(result_unknown()),
    }
}

fn is_change(record: &ConfigRecord, id: ChangeId) -> bool {
    matches!(&record.entry, Some(ConfigEntry::Change(change)) if change.id == id.0)
}

#[cold]
fn result_unknown() -> Error {
    let message = "the change was appended, but reading its result from the log failed";
    Error::new(
        Category::Unknown,
        "publish a configuration",
        CONFIG_STREAM,
        message,
    )
}
