//! Resumes a stream at another backend server.

use super::{
    attempt::{AttemptOutcome, AttemptTarget, StartedAnswer, send_attempt},
    attempts::RequestAttempts,
    request_log::{AttemptIndex, RequestLog},
};
use crate::placement::Backend;
use futures_util::future::BoxFuture;
use mallowpath::AnswerProgress;
use std::{
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Interval between checks for a backend server that takes a broken stream.
const BACKEND_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A request that was sent to a backend server to resume a stream there.
pub(super) struct ResumeAttempt {
    backend: Arc<Backend>,
    index: AttemptIndex,
    sending: BoxFuture<'static, AttemptOutcome>,
}

impl ResumeAttempt {
    /// Chooses a backend server and sends the request there; `None` if no server takes it.
    pub(super) fn start(
        attempts: &mut RequestAttempts,
        log: &mut RequestLog,
        last_event_id: Option<u64>,
        give_up_at: Instant,
    ) -> Option<Self> {
        let (backend, prefill_tokens) = attempts.choose_backend(log)?;
        let target = AttemptTarget {
            backend: Arc::clone(&backend),
            prefill_tokens,
            last_event_id,
            give_up_at: give_up_at.min(attempts.attempt_deadline()),
        };
        let gateway = Arc::clone(&attempts.gateway);
        let request = Arc::clone(&attempts.outgoing_request);
        Some(Self {
            backend,
            index: log.current_attempt(),
            sending: Box::pin(async move { send_attempt(&gateway, &request, target).await }),
        })
    }

    /// Waits for the outcome.
    pub(super) fn poll_outcome(&mut self, cx: &mut Context<'_>) -> Poll<AttemptOutcome> {
        self.sending.as_mut().poll(cx)
    }

    /// Returns its position in the log entry of the request.
    pub(super) fn index(&self) -> AttemptIndex {
        self.index
    }

    /// Returns the backend server.
    pub(super) fn backend(&self) -> &Backend {
        &self.backend
    }

    /// Counts the outcome; returns the answer if it resumes the stream.
    pub(super) fn finish(
        &self,
        outcome: AttemptOutcome,
        attempts: &mut RequestAttempts,
        log: &mut RequestLog,
    ) -> Option<StartedAnswer> {
        log.select_attempt(self.index);
        if !matches!(outcome, AttemptOutcome::Unreached(_)) {
            attempts.count_sent();
        }
        let (detail, progress) = match outcome {
            AttemptOutcome::StartedAnswer(started) if started.is_stream() => return Some(*started),
            AttemptOutcome::StartedAnswer(_) => (
                "the answer to the resumption is not a stream".to_owned(),
                AnswerProgress::Head,
            ),
            AttemptOutcome::BrokenOff(detail) => {
                attempts.suspect_crash(&self.backend, AnswerProgress::Nothing);
                (detail, AnswerProgress::Nothing)
            }
            AttemptOutcome::Unreached(detail) | AttemptOutcome::NoValidAnswer(detail) => {
                (detail, AnswerProgress::Nothing)
            }
            AttemptOutcome::NotRun(status) | AttemptOutcome::UnprovenRejection(status) => {
                let status = status.as_u16();
                log.set_failure(&format!("rejected without a run, status {status}"));
                attempts.allow_after_pause(&self.backend);
                return None;
            }
        };
        attempts.record_failure(&self.backend, &detail, progress, log);
        None
    }

    /// Closes the connection, as the request is no longer needed.
    pub(super) fn abandon(self, attempts: &mut RequestAttempts, log: &mut RequestLog) {
        log.select_attempt(self.index);
        log.set_failure("given up, as the silent stream went on");
        attempts.count_sent();
    }
}

/// Sends the request to other backend servers until one resumes the stream after `last_event_id`.
///
/// Begins with `running` if that is given. Waits up to `bearable_until` for a server whose pause ends by
/// then.
pub(super) async fn resume(
    mut attempts: RequestAttempts,
    mut log: RequestLog,
    last_event_id: Option<u64>,
    mut running: Option<ResumeAttempt>,
    bearable_until: Instant,
) -> (RequestAttempts, RequestLog, Option<StartedAnswer>) {
    loop {
        let give_up_at = attempts.outgoing_request.deadline;
        let next = running
            .take()
            .or_else(|| ResumeAttempt::start(&mut attempts, &mut log, last_event_id, give_up_at));
        let Some(mut attempt) = next else {
            let wait_max = bearable_until.saturating_duration_since(Instant::now());
            if wait_max.is_zero() || !attempts.has_untried_backend_within(wait_max) {
                return (attempts, log, None);
            }
            sleep(BACKEND_CHECK_INTERVAL.min(wait_max)).await;
            continue;
        };
        let outcome = (&mut attempt.sending).await;
        if let Some(started) = attempt.finish(outcome, &mut attempts, &mut log) {
            return (attempts, log, Some(started));
        }
        if !attempts.acquire_retry() {
            return (attempts, log, None);
        }
    }
}
