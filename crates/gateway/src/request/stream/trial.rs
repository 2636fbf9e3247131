//! Tries a silent stream at another backend server.
//!
//! The stream goes on at its own server if that sends an event first, or if no other server takes it.

use super::{ResumeAttempt, Source, Step, StreamAnswer};
use crate::request::{
    attempt::{AttemptOutcome, StartedAnswer, millis},
    request_log::Reason,
};
use std::{
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

impl StreamAnswer {
    /// Handles the expiry of the timer: the deadline of the request or the silence of the source.
    pub(super) fn handle_timer(&mut self) -> Step {
        let now = Instant::now();
        if now >= self.deadline {
            return self.break_off(Reason::Timeout, "the deadline of the request passed");
        }
        self.silence
            .record_timer(self.timer.deadline().into_std(), now);
        if self.trial.is_none() && now >= self.silence.trial_at(now) {
            self.start_trial(now);
        }
        self.reset_timer(now);
        Step::Again
    }

    /// Polls the trial, if there is one, and handles its outcome.
    pub(super) fn poll_trial(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(trial) = &mut self.trial else {
            return Poll::Pending;
        };
        let outcome = ready!(trial.poll_outcome(cx));
        self.finish_trial(outcome);
        Poll::Ready(())
    }

    /// Records that the source has an event or has ended, and gives up the trial.
    pub(super) fn end_silence(&mut self) {
        self.silence.end();
        let (Some(attempts), Some(log)) = (&mut self.attempts, &mut self.log) else {
            return;
        };
        let Some(trial) = self.trial.take() else {
            return;
        };
        let serving = log.current_attempt();
        trial.abandon(attempts, log);
        log.select_attempt(serving);
        count_trial("source_went_on");
        self.reset_timer(Instant::now());
    }

    /// Sends the request to another backend server, if the route, the service's retries and the other
    /// servers allow it.
    fn start_trial(&mut self, now: Instant) {
        self.silence.record_failed_trial(now);
        if !self.settings.resumable || !matches!(self.source, Source::Open(_)) {
            return;
        }
        let (Some(attempts), Some(log)) = (&mut self.attempts, &mut self.log) else {
            return;
        };
        if !attempts.has_untried_backend_within(Duration::ZERO) || !attempts.acquire_retry() {
            return;
        }
        let serving = log.current_attempt();
        let give_up_at = self.silence.trial_end(now);
        let last_event_id = self.splitter.last_id();
        self.trial = ResumeAttempt::start(attempts, log, last_event_id, give_up_at);
        log.select_attempt(serving);
    }

    /// Goes on with the answer of the other backend server, or with the silent source if there is none.
    fn finish_trial(&mut self, outcome: AttemptOutcome) {
        let now = Instant::now();
        let (Some(trial), Some(attempts), Some(log)) =
            (self.trial.take(), &mut self.attempts, &mut self.log)
        else {
            return;
        };
        let serving = log.current_attempt();
        let started = trial.finish(outcome, attempts, log);
        log.select_attempt(serving);
        if let Some(started) = started {
            self.record_silence(&trial, now);
            self.take_over(started);
        } else {
            self.silence.record_failed_trial(now);
            count_trial("not_taken");
        }
        self.reset_timer(now);
    }

    /// Records that another backend server goes on with the stream, as a failure of the silent one.
    fn record_silence(&mut self, trial: &ResumeAttempt, now: Instant) {
        let silent_ms = millis(self.silence.duration(now));
        let next = &trial.backend().entry.id;
        let (Source::Open(open), Some(attempts), Some(log)) =
            (&self.source, &self.attempts, &mut self.log)
        else {
            return;
        };
        let detail = format!("silent for {silent_ms} ms, {next} goes on");
        attempts.record_failure(open.in_flight.backend(), &detail, open.progress(), log);
        log.select_attempt(trial.index());
        log.add_resume();
        count_trial("taken");
    }

    /// Closes the connection to the silent backend server, and then goes on with the answer of another one.
    fn take_over(&mut self, started: StartedAnswer) {
        let (Some(attempts), Some(log)) = (self.attempts.take(), self.log.take()) else {
            return;
        };
        self.splitter.drop_partial();
        let source = std::mem::replace(&mut self.source, Source::Ended);
        self.source = Source::Resuming(Box::pin(async move {
            if let Source::Open(open) = source {
                open.close().await;
            }
            (attempts, log, Some(started))
        }));
    }

    /// Sets the timer to the deadline or the next trial.
    pub(super) fn reset_timer(&mut self, now: Instant) {
        let next_check = if self.trial.is_some() {
            self.deadline
        } else {
            self.silence.trial_at(now).min(self.deadline)
        };
        self.timer.as_mut().reset(next_check.into());
    }
}

/// Counts a trial by its result.
fn count_trial(result: &'static str) {
    metrics::counter!("gateway_stream_trials_total", "result" => result).increment(1);
}
