//! Decides when a silent stream is tried at another backend server.
//!
//! Silence alone does not show that a backend server has failed: one that runs out of memory pauses a
//! request in the middle of its stream and goes on with it later.

use std::time::{Duration, Instant};

/// Delay of an expired timer above which the process itself counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);

/// The silence of one stream, and the trials at other backend servers during it.
#[derive(Debug)]
pub struct SilenceWatch {
    /// The silence after which callers abandon the stream.
    silence_max: Duration,
    /// When the source ran out of complete events; `None` while it has some.
    ///
    /// Parts of an event don't end the silence, so that a server that sends a byte now and then counts
    /// as silent.
    since: Option<Instant>,
    /// When the next trial of this silence begins at the earliest, if there was one before.
    retry_at: Option<Instant>,
}

impl SilenceWatch {
    /// Returns the state of a stream whose callers bear `silence_max` without an event.
    pub fn new(silence_max: Duration) -> Self {
        Self {
            silence_max,
            since: None,
            retry_at: None,
        }
    }

    /// Records that the source has no complete event.
    pub fn record_wait(&mut self, now: Instant) {
        self.since.get_or_insert(now);
    }

    /// Records that the source has a complete event or was replaced.
    pub fn end(&mut self) {
        self.since = None;
        self.retry_at = None;
    }

    /// Starts the silence again if a timer that was to expire at `expired_at` is handled late.
    ///
    /// The process was stalled then, so it is unknown whether the source was silent.
    pub fn record_timer(&mut self, expired_at: Instant, now: Instant) {
        if now.saturating_duration_since(expired_at) > STALL_THRESHOLD {
            self.since = Some(now);
            self.retry_at = None;
        }
    }

    /// Returns when the stream is tried at another backend server if the silence goes on.
    ///
    /// The last quarter of what callers bear is left to that server: with four times the latency objective
    /// or more in total, it is at least the objective.
    pub fn trial_at(&self, now: Instant) -> Instant {
        let first = self.since.unwrap_or(now) + self.silence_max * 3 / 4;
        self.retry_at.map_or(first, |retry_at| first.max(retry_at))
    }

    /// Records that a trial was not possible or has failed.
    pub fn record_failed_trial(&mut self, now: Instant) {
        self.retry_at = Some(now + self.reserved() / 2);
    }

    /// Returns how long a trial that begins at `now` may take.
    pub fn trial_end(&self, now: Instant) -> Instant {
        self.bearable_until(now).max(now + self.reserved())
    }

    /// Returns until when callers bear the silence.
    pub fn bearable_until(&self, now: Instant) -> Instant {
        self.since.unwrap_or(now) + self.silence_max
    }

    /// Returns the time of the present silence.
    pub fn duration(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since.unwrap_or(now))
    }

    /// Returns the time that is left to another backend server.
    fn reserved(&self) -> Duration {
        self.silence_max / 4
    }
}
