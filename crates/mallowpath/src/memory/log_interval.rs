//! Bounds how often a decision that may come with each request is logged.

/// Time between log lines, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// When a line was logged last.
#[derive(Debug, Default)]
pub(crate) struct LogInterval {
    logged_at_ms: Option<u64>,
}

impl LogInterval {
    /// Returns whether a line may be logged now, and if so, counts it as logged.
    pub(crate) fn allows(&mut self, now_ms: u64) -> bool {
        let next_at_ms = self.logged_at_ms.map_or(0, |at_ms| at_ms + LOG_INTERVAL_MS);
        let is_allowed = now_ms >= next_at_ms;
        if is_allowed {
            self.logged_at_ms = Some(now_ms);
        }
        is_allowed
    }
}
