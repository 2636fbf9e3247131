//! The attempts of one request at backend servers, and whether another one follows.

use crate::{
    backend_host::backend_client::end_code,
    id::BackendId,
    peer::link::now_ms,
    peer::wire::AnswerEnd,
    process::router::Router,
    request::delivery::Delivery,
    request::job::{Attempt, Ended, Job, RunError},
    request::refusal::Refusal,
    request::retry::{FailedTry, TryOutcome},
};
use std::time::{Duration, Instant};

/// Further backend servers that may be tried without charging the retry budget, while none was
/// reached.
const MAX_FREE_REROUTES: u32 = 3;
/// The lowest HTTP status that counts as a failure of the backend server.
const MIN_SERVER_ERROR_STATUS: u32 = 500;

/// The result of an attempt for the health of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptResult {
    /// The backend server responded.
    Success,
    /// The backend server failed.
    Failure,
    /// The attempt says nothing about the backend server, such as after the caller disconnected or
    /// the sidecar refused.
    Neither,
}

/// A failed attempt that may be retried.
pub(crate) enum Failed {
    /// It certainly did not run.
    NotRun(Refusal),
    /// It ran and failed without a response.
    Ran(Attempt, AnswerEnd),
}

/// The attempts of one request so far.
#[derive(Default)]
pub(crate) struct Tries {
    /// The backend servers of all attempts.
    pub(crate) backends: Vec<BackendId>,
    /// The number of attempts that reached a backend server.
    pub(crate) reached: u32,
    /// The number of attempts that reached no backend server.
    pub(crate) refused: u32,
    /// The last failure.
    pub(crate) last: Option<Failed>,
}

impl Tries {
    /// Ends the attempts with the last failure, or with `refusal` if there was none.
    pub(crate) fn give_up(self, refusal: Refusal) -> Result<(Attempt, AnswerEnd), RunError> {
        match self.last {
            Some(Failed::Ran(attempt, end)) => Ok((attempt, end)),
            Some(Failed::NotRun(last)) => Err(RunError::NotRun(last)),
            None => Err(RunError::NotRun(refusal)),
        }
    }
}

impl Router {
    /// Returns whether another backend server may be tried, after waiting for the backoff.
    ///
    /// An attempt that did not reach a backend server adds no load there, so the first
    /// [`MAX_FREE_REROUTES`] of them are not charged to the retry budget.
    pub(crate) async fn wait_for_retry(&self, job: &Job, tries: &Tries, deadline: Instant) -> bool {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if tries.reached == 0 && tries.refused <= MAX_FREE_REROUTES {
            return !remaining.is_zero();
        }
        let outcome = match tries.last {
            Some(Failed::Ran(..)) => TryOutcome::Unknown,
            Some(Failed::NotRun(_)) | None => TryOutcome::NotRun,
        };
        let failed = FailedTry {
            outcome,
            repeatable: job.repeatable,
            tries: tries.reached.max(1),
            deadline_ms: now_ms() + u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        };
        match self.admissions.charge_retry(&job.service.id, &failed) {
            Ok(backoff_ms) => {
                metrics::counter!("mallowpath_retries_total").increment(1);
                tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
                true
            }
            Err(reason) => {
                log::debug!("request {} is not retried: {reason:?}", job.id);
                false
            }
        }
    }
}

/// Returns the result of an attempt for the health of its backend server.
pub(crate) fn attempt_result(ended: &Ended, delivery: &Delivery) -> AttemptResult {
    match ended {
        Ended::End(end) if end.whole && delivery.status < MIN_SERVER_ERROR_STATUS => {
            AttemptResult::Success
        }
        Ended::End(end) if end.code == end_code::STOPPED && delivery.caller_left => {
            AttemptResult::Neither
        }
        Ended::End(end) if is_stopped_or_timed_out(end) && delivery.chunks > 0 => {
            AttemptResult::Neither
        }
        Ended::End(_) | Ended::NotRun(_) | Ended::Lost => AttemptResult::Failure,
        Ended::Refused(_) => AttemptResult::Neither,
    }
}

fn is_stopped_or_timed_out(end: &AnswerEnd) -> bool {
    end.code == end_code::STOPPED || end.code == end_code::DEADLINE
}
