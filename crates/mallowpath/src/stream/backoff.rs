//! Exponential backoff with jitter.

/// Parameters of an exponential backoff with jitter.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    /// Upper bound of the delay after the first failed attempt, in milliseconds.
    pub min_ms: u64,
    /// Upper bound of the delay after any attempt, in milliseconds.
    pub max_ms: u64,
}

impl Backoff {
    /// Returns the delay after the failed attempt number `attempt`, counted from 0, in
    /// milliseconds.
    ///
    /// The upper bound doubles with each attempt, up to `max_ms`. `jitter`, a random number from 0
    /// to 1, selects the delay between half of the bound and the whole bound.
    pub fn delay_ms(&self, attempt: u32, jitter: f64) -> u64 {
        let bound_ms = self
            .min_ms
            .saturating_mul(1 << attempt.min(31))
            .min(self.max_ms);
        let half_ms = bound_ms / 2;
        half_ms + scale(bound_ms - half_ms, jitter)
    }
}

/// Returns `value` multiplied by `factor`, which is clamped to 0 to 1 and rounded down to 1/1024.
fn scale(value: u64, factor: f64) -> u64 {
    const STEPS: f64 = 1024.0;
    let steps = factor.clamp(0.0, 1.0) * STEPS;
    // The cast is lossless up to the fraction, as the number is between 0 and 1024.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped"
    )]
    let steps = steps as u64;
    value.saturating_mul(steps) / 1024
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            min_ms: 20,
            max_ms: 2_000,
        }
    }
}
