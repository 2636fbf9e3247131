//! Whether a backend server rejects requests without stating which one it rejects.

use std::sync::atomic::{AtomicU64, Ordering};

/// Time for which a backend server is expected to go on rejecting requests without an identifier.
const MEMORY_MS: u64 = 10_000;

/// The rejections without an identifier from one backend server.
///
/// Times are in milliseconds of the router's own clock.
#[derive(Debug, Default)]
pub(crate) struct UnidentifiedRejections {
    expected_until_ms: AtomicU64,
}

impl UnidentifiedRejections {
    /// Records a rejection without an identifier.
    pub(crate) fn record(&self, now_ms: u64) {
        let until_ms = now_ms.saturating_add(MEMORY_MS);
        self.expected_until_ms
            .fetch_max(until_ms, Ordering::Relaxed);
    }

    /// Returns whether another one is to be expected.
    pub(crate) fn are_expected(&self, now_ms: u64) -> bool {
        now_ms < self.expected_until_ms.load(Ordering::Relaxed)
    }
}
