//! The age of data read from the store.

use std::{
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// The time of the last successful read.
#[derive(Debug, Default)]
pub(crate) struct LastRead(Mutex<Option<Instant>>);

impl LastRead {
    /// Records a read at the current time.
    pub(crate) fn record_now(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    /// Returns the time since the last read in milliseconds, or `None` before the first one.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        let read_at = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let age = read_at?.elapsed();
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }
}
