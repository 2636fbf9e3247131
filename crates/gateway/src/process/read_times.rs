//! The time at which data was read from the store.

use std::{
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// The time of the last successful read.
#[derive(Debug, Default)]
pub(crate) struct ReadTimes {
    last: Mutex<Option<Instant>>,
}

impl ReadTimes {
    /// Records a read at the current time.
    pub(crate) fn record_now(&self) {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    /// Returns the time since the last read in milliseconds, or `None` before the first one.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        let last = *self.last.lock().unwrap_or_else(PoisonError::into_inner);
        Some(u64::try_from(last?.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}
