//! The waits of one service's requests, shared by all requests of the process.

use super::waits::{Overload, RequestTimes, WaitSettings, Waits};
use crate::request::millis;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// [`Waits`] behind a mutex, with a clock.
#[derive(Debug)]
pub(crate) struct ServiceWaits {
    started_at: Instant,
    /// No other lock is acquired while this one is held.
    waits: Mutex<Waits>,
}

impl ServiceWaits {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            waits: Mutex::new(Waits::new(WaitSettings::default())),
        }
    }

    pub(crate) fn sent(&self) {
        self.lock().sent();
    }

    pub(crate) fn begun(&self, wait: Duration) {
        let now_ms = self.now_ms();
        self.lock().begun(millis(wait), now_ms);
    }

    pub(crate) fn ended(&self) {
        self.lock().ended();
    }

    pub(crate) fn admit(&self, times: RequestTimes) -> Result<(), Overload> {
        let now_ms = self.now_ms();
        self.lock().admit(times, now_ms)
    }

    fn now_ms(&self) -> u64 {
        millis(self.started_at.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, Waits> {
        self.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
