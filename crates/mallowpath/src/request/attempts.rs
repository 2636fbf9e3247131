//! The attempts of one request at backend servers, and whether another one follows.

use crate::{
    backend_host::backend_client::end_code,
    id::BackendId,
    peer::link::now_ms,
    peer::wire::AnswerEnd,
    process::router::Router,
    request::delivery::Delivery,
    request::refusal::Refusal,
    request::request_run::{Attempt, AttemptEnd, RequestRun, RunError},
    request::retry::{AttemptOutcome, FailedAttempt},
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
    Neutral,
}

/// A failed attempt that may be retried.
pub(crate) enum AttemptFailure {
    /// It certainly did not run.
    NotRun(Refusal),
    /// It ran and failed without a response.
    Ran(Attempt, AnswerEnd),
}

/// The attempts of one request so far.
#[derive(Default)]
pub(crate) struct Attempts {
    /// The backend servers of all attempts.
    pub(crate) backends: Vec<BackendId>,
    /// The number of attempts that reached a backend server.
    pub(crate) reached_count: u32,
    /// The number of attempts that reached no backend server.
    pub(crate) refused_count: u32,
    /// The last failure.
    pub(crate) last: Option<AttemptFailure>,
}

impl Attempts {
    /// Returns whether a backend server ended at the last attempt.
    pub(crate) fn ended_backend(&self) -> bool {
        matches!(&self.last, Some(AttemptFailure::Ran(_, end)) if end.backend_ended)
    }

    /// Ends the attempts with the last failure, or with `refusal` if there was none.
    pub(crate) fn give_up(self, refusal: Refusal) -> Result<(Attempt, AnswerEnd), RunError> {
        match self.last {
            Some(AttemptFailure::Ran(attempt, end)) => Ok((attempt, end)),
            Some(AttemptFailure::NotRun(last)) => Err(RunError::NotRun(last)),
            None => Err(RunError::NotRun(refusal)),
        }
    }
}

impl Router {
    /// Returns whether another backend server may be tried, after waiting for the backoff.
    ///
    /// An attempt that did not reach a backend server adds no load there, so the first
    /// [`MAX_FREE_REROUTES`] of them are not charged to the retry budget.
    pub(crate) async fn wait_for_retry(
        &self,
        run: &RequestRun,
        attempts: &Attempts,
        deadline: Instant,
    ) -> bool {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if attempts.reached_count == 0 && attempts.refused_count <= MAX_FREE_REROUTES {
            return !remaining.is_zero();
        }
        let outcome = match attempts.last {
            Some(AttemptFailure::Ran(..)) => AttemptOutcome::Unknown,
            Some(AttemptFailure::NotRun(_)) | None => AttemptOutcome::NotRun,
        };
        let failed = FailedAttempt {
            outcome,
            repeatable: run.repeatable,
            attempts: attempts.reached_count.max(1),
            deadline_ms: now_ms() + u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        };
        match self.admission.charge_retry(&run.service.id, &failed) {
            Ok(backoff_ms) => {
                metrics::counter!("mallowpath_retries_total").increment(1);
                tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
                true
            }
            Err(reason) => {
                log::debug!("request {} is not retried: {reason:?}", run.id);
                false
            }
        }
    }

    /// Records whether the backend server survived the request.
    pub(crate) fn record_survival(&self, run: &RequestRun, attempt: &Attempt, ended: &AttemptEnd) {
        let AttemptEnd::End(end) = ended else {
            return;
        };
        if end.backend_ended {
            log::warn!(
                "backend server {} ended at request {}",
                attempt.backend,
                run.id
            );
            self.quarantine
                .record_crash(&attempt.backend, run.suspect());
        } else if end.whole {
            let elapsed = Duration::from_millis(now_ms().saturating_sub(attempt.submitted_at_ms));
            if let Some(sent_at) = Instant::now().checked_sub(elapsed) {
                let parts = run.quarantine_parts();
                self.quarantine.record_completion(&parts, sent_at);
            }
        }
    }
}

/// Returns the result of an attempt for the health of its backend server.
pub(crate) fn attempt_result(ended: &AttemptEnd, delivery: &Delivery) -> AttemptResult {
    match ended {
        AttemptEnd::End(end) if end.whole && delivery.status < MIN_SERVER_ERROR_STATUS => {
            AttemptResult::Success
        }
        AttemptEnd::End(end) if end.code == end_code::STOPPED && delivery.caller_left => {
            AttemptResult::Neutral
        }
        AttemptEnd::End(end) if is_stopped_or_timed_out(end) && delivery.chunks > 0 => {
            AttemptResult::Neutral
        }
        AttemptEnd::End(_) | AttemptEnd::NotRun(_) | AttemptEnd::Lost => AttemptResult::Failure,
        AttemptEnd::Refused(_) => AttemptResult::Neutral,
    }
}

fn is_stopped_or_timed_out(end: &AnswerEnd) -> bool {
    end.code == end_code::STOPPED || end.code == end_code::DEADLINE
}
