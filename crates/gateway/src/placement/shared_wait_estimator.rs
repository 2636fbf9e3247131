//! The wait estimator and the overload order of one service, shared by all requests of the process.

use super::{
    overload_order::{LoadRefusal, LoadRequest, OverloadOrder, OverloadOrderSettings},
    wait_estimator::{WaitEstimator, WaitEstimatorSettings},
};
use crate::request::millis;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// [`WaitEstimator`] and [`OverloadOrder`] behind a mutex, with a clock.
#[derive(Debug)]
pub(crate) struct SharedWaitEstimator {
    started_at: Instant,
    /// No other lock is acquired while this one is held.
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    estimator: WaitEstimator,
    order: OverloadOrder,
}

impl SharedWaitEstimator {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            state: Mutex::new(State {
                estimator: WaitEstimator::new(WaitEstimatorSettings::default()),
                order: OverloadOrder::new(OverloadOrderSettings::default()),
            }),
        }
    }

    pub(crate) fn record_sent(&self) {
        self.lock().estimator.record_sent();
    }

    pub(crate) fn record_answer_start(&self, wait: Duration) {
        let now_ms = self.now_ms();
        self.lock()
            .estimator
            .record_answer_start(millis(wait), now_ms);
    }

    pub(crate) fn record_wait_end(&self) {
        self.lock().estimator.record_wait_end();
    }

    pub(crate) fn admit(&self, request: &LoadRequest<'_>) -> Result<(), LoadRefusal> {
        let now_ms = self.now_ms();
        let State { estimator, order } = &mut *self.lock();
        order.admit(estimator, request, now_ms)
    }

    fn now_ms(&self) -> u64 {
        millis(self.started_at.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
