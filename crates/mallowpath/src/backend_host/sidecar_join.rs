//! Appends the join of a sidecar before it serves, and the leave of a process that has drained.

use crate::{
    error::Result,
    id::Incarnation,
    membership::members::{FenceTarget, Join, Leave, Members, MembersChange, MembersRecord},
    membership::members_follower::{MEMBERS_STREAM, decode_record, load_members},
    stream::apply_outcome::ApplyOutcome,
    stream::follower::{Follower, sleep_backoff},
    stream::log_client::LogClient,
};
use prost::Message;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How long an appended join may take to be read from the stream before it is appended again.
const JOIN_TIMEOUT_MS: u64 = 3000;
/// How long a process that ends tries to append its leave.
const LEAVE_TIMEOUT_MS: u64 = 2000;

/// Appends a join until one is valid, and returns the targets that were fenced before it.
///
/// Retries without limit while the log service is unavailable; the sidecar takes no work meanwhile.
pub(crate) async fn join(log: &LogClient, join: Join) -> Vec<FenceTarget> {
    let mut failures = 0;
    loop {
        match try_join(log, join.clone()).await {
            Ok(Some(fenced)) => return fenced,
            Ok(None) => log::warn!(
                "the join of {} was void or not read back in time, retrying",
                join.name
            ),
            Err(error) => log::warn!("joining the membership failed, retrying: {error}"),
        }
        failures += 1;
        sleep_backoff(failures).await;
    }
}

/// Appends a join; returns `None` when it is void or not read back in time.
async fn try_join(log: &LogClient, mut join: Join) -> Result<Option<Vec<FenceTarget>>> {
    let (members, follower) = load_members(log).await?;
    let incarnation = Incarnation(join.incarnation);
    if members.is_live(incarnation) {
        // An earlier append took effect and its answer was lost.
        return Ok(Some(members.fenced().collect()));
    }
    join.previous = members.latest_on(&join.name).0;
    let record = MembersRecord::from(MembersChange::Join(join));
    let appended = log.append(MEMBERS_STREAM, record.encode_to_vec().into());
    if let Err(error) = appended.await {
        // The append may have taken effect although it failed, so the stream is read anyway.
        log::warn!("appending a join failed, checking whether it took effect: {error}");
    }
    let outcome = timeout(
        Duration::from_millis(JOIN_TIMEOUT_MS),
        wait_for_join_outcome(members, follower, incarnation),
    );
    outcome.await.unwrap_or(Ok(None))
}

/// Replays the stream up to the first join of `incarnation`; returns `None` when that is void.
async fn wait_for_join_outcome(
    mut members: Members,
    mut follower: Follower,
    incarnation: Incarnation,
) -> Result<Option<Vec<FenceTarget>>> {
    loop {
        let mut join_outcome = None;
        let step = follower.poll(|record| {
            let decoded = decode_record(&record);
            let outcome = members.apply(record.offset, &decoded);
            let Some(MembersChange::Join(join)) = &decoded.change else {
                return;
            };
            if join.incarnation != incarnation.0 || join_outcome.is_some() {
                return;
            }
            join_outcome = Some(match outcome {
                ApplyOutcome::Valid => Some(members.fenced().collect()),
                ApplyOutcome::Void | ApplyOutcome::NotYetApplicable => None,
            });
        });
        step.await?;
        if let Some(fenced) = join_outcome {
            return Ok(fenced);
        }
    }
}

/// Appends the leave of a process, which runs nothing and never will again.
///
/// A failure is only logged.
pub(crate) async fn leave(log: &LogClient, process: Incarnation) {
    let leave = Leave {
        incarnation: process.0,
    };
    let record = MembersRecord::from(MembersChange::Leave(leave));
    let deadline = Instant::now() + Duration::from_millis(LEAVE_TIMEOUT_MS);
    let appended = log.append_until(MEMBERS_STREAM, record.encode_to_vec().into(), deadline);
    if let Err(error) = appended.await {
        log::warn!("appending the leave failed, ending without it: {error}");
    }
}
