//! The prompt parts that a router has lately announced as harmless.

use mallowpath::PartId;
use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Time within which a part is not announced again.
const ANNOUNCEMENT_INTERVAL_MS: u64 = 200;

/// The announcements of this router and of others.
#[derive(Debug, Default)]
pub(crate) struct AnnouncedParts {
    /// The times of the announcements. No other lock is acquired while this one is held.
    announced_at_ms: Mutex<HashMap<PartId, u64>>,
}

impl AnnouncedParts {
    /// Records the announcement of another router.
    pub(super) fn record(&self, part: PartId, now_ms: u64) {
        let mut announced = self.lock();
        announced.retain(|_, at_ms| now_ms < *at_ms + ANNOUNCEMENT_INTERVAL_MS);
        announced.insert(part, now_ms);
    }

    /// Returns whether this router should announce the part, and records that it does.
    pub(super) fn try_announce(&self, part: PartId, now_ms: u64) -> bool {
        let at_ms = self.lock().get(&part).copied();
        if at_ms.is_some_and(|at_ms| now_ms < at_ms + ANNOUNCEMENT_INTERVAL_MS) {
            return false;
        }
        self.record(part, now_ms);
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<PartId, u64>> {
        self.announced_at_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
