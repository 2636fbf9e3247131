//! Publishing a configuration to the log service.

use crate::{
    change::{Change, ChangeId, ConfigEntry, ConfigRecord, diff},
    config_task::{CONFIG_STREAM, load_config},
    error::{Category, Error, Result},
    follow::Follower,
    id::Version,
    log_client::LogClient,
    logging::wall_clock_ms,
    replay::{ConfigState, ConfigVerdict, ConfigVoid},
    section::Sections,
};
use prost::Message;
use std::time::Duration;
use tokio::time::Instant;

/// How long a publisher tries to have its change appended.
const APPEND_MS: u64 = 10_000;

/// What became of a publish.
#[derive(Debug)]
pub enum Published {
    /// The configuration is this version now.
    Accepted(Version),
    /// Nothing differs from the version in force.
    Unchanged(Version),
    /// Another operator's change came first.
    Lost {
        /// The version in force.
        version: Version,
        /// Who made it.
        author: String,
        /// Why the change is void.
        reason: ConfigVoid,
    },
}

/// Publishes `sections` as the whole configuration, on behalf of `author`.
///
/// The change builds on the version that is in force when it starts; if another one is accepted
/// in the meantime, that one wins.
///
/// # Errors
///
/// Fails when the log service can't be read or does not take the change in time; with
/// [`Category::Unknown`] the change may yet come into force.
pub async fn publish(log: &LogClient, sections: &Sections, author: &str) -> Result<Published> {
    let state = load_config(log).await?;
    let delta = diff(state.sections(), sections);
    if delta.is_empty() {
        return Ok(Published::Unchanged(state.version()));
    }
    let id = ChangeId::random();
    let change = Change::new(id, state.version(), author, wall_clock_ms(), &delta);
    let record = ConfigRecord {
        entry: Some(ConfigEntry::Change(change)),
    };
    let give_up = Instant::now() + Duration::from_millis(APPEND_MS);
    let offset = log
        .append_until(CONFIG_STREAM, record.encode_to_vec().into(), give_up)
        .await?;
    judge(log, state, offset.0).await
}

/// Replays up to the change and returns how it was judged.
async fn judge(log: &LogClient, mut state: ConfigState, offset: u64) -> Result<Published> {
    let mut verdict = None;
    let mut failure = None;
    let mut follower = Follower::new(log.clone(), CONFIG_STREAM, state.next());
    let replay = follower.catch_up(|record| {
        if record.offset.0 > offset || failure.is_some() {
            return;
        }
        match state.apply(record.offset, &ConfigRecord::read(&record.data)) {
            Ok(judged) => verdict = Some(judged),
            Err(error) => failure = Some(error),
        }
    });
    replay.await?;
    if let Some(error) = failure {
        return Err(not_seen().with_source(error));
    }
    match verdict {
        Some(ConfigVerdict::Accepted(version) | ConfigVerdict::Duplicate(Some(version))) => {
            Ok(Published::Accepted(version))
        }
        Some(ConfigVerdict::Void {
            reason,
            author,
            version,
        }) => Ok(Published::Lost {
            version,
            author: author.to_string(),
            reason,
        }),
        _ => Err(not_seen()),
    }
}

#[cold]
fn not_seen() -> Error {
    let message = "the change was appended but can't be read back";
    Error::new(
        Category::Unknown,
        "publish a configuration",
        CONFIG_STREAM,
        message,
    )
}
