//! The wait estimator of one service, shared by all requests of the process.

use super::wait_estimator::{Overload, RequestTimes, WaitEstimator, WaitEstimatorSettings};
use crate::request::millis;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// [`WaitEstimator`] behind a mutex, with a clock.
#[derive(Debug)]
pub(crate) struct SharedWaitEstimator {
    started_at: Instant,
    /// No other lock is acquired while this one is held.
    estimator: Mutex<WaitEstimator>,
}

impl SharedWaitEstimator {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            estimator: Mutex::new(WaitEstimator::new(WaitEstimatorSettings::default())),
        }
    }

    pub(crate) fn record_sent(&self) {
        self.lock().record_sent();
    }

    pub(crate) fn record_answer_start(&self, wait: Duration) {
        let now_ms = self.now_ms();
        self.lock().record_answer_start(millis(wait), now_ms);
    }

    pub(crate) fn record_wait_end(&self) {
        self.lock().record_wait_end();
    }

    pub(crate) fn admit(&self, times: RequestTimes) -> Result<(), Overload> {
        let now_ms = self.now_ms();
        self.lock().admit(times, now_ms)
    }

    fn now_ms(&self) -> u64 {
        millis(self.started_at.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, WaitEstimator> {
        self.estimator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
