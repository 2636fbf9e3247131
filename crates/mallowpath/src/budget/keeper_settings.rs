//! The settings of a keeper.

use crate::Tokens;

/// The settings by which a keeper sizes its grants and slices and paces its batches.
#[derive(Debug, Clone)]
pub struct KeeperSettings {
    /// The time for which a draw covers the expected use, and the window of the rate meter.
    pub horizon_ms: u64,
    /// A draw or slice takes at most the available tokens divided by this, unless a request needs
    /// more.
    pub share_divisor: u64,
    /// A draw takes at least the tokens left divided by this, so that rarely used budgets don't
    /// cost one record per request.
    pub floor_divisor: u64,
    /// The time without requests for a budget after which its grants are returned.
    pub idle_ms: u64,
    /// Replaces `idle_ms` while most of the unspent tokens are in grants.
    pub scarce_idle_ms: u64,
    /// The time after which a batch that wasn't read back is appended again.
    pub retry_ms: u64,
    /// The average time between two new batches.
    pub batch_interval_ms: u64,
    /// The number of batches that may be appended in a burst, so that a first request needn't wait.
    pub batch_burst: u64,
    /// The most records of one batch.
    pub max_batch_records: usize,
}

impl KeeperSettings {
    /// Returns the tokens to draw out of those left for an expected use.
    pub(crate) fn draw_size(&self, expected: Tokens, left: Tokens) -> Tokens {
        let max_tokens = Tokens(left.0 / self.share_divisor.max(1));
        let min_tokens = Tokens(left.0 / self.floor_divisor.max(1));
        expected.max(min_tokens).min(max_tokens)
    }
}

impl Default for KeeperSettings {
    fn default() -> Self {
        Self {
            horizon_ms: 2_000,
            share_divisor: 8,
            floor_divisor: 256,
            idle_ms: 600_000,
            scarce_idle_ms: 1_000,
            retry_ms: 500,
            batch_interval_ms: 1_000,
            batch_burst: 8,
            max_batch_records: 4_096,
        }
    }
}
