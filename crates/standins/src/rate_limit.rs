//! A token bucket.

use tokio::time::Instant;

/// The seconds of unused allowance that may be used up at once.
const BURST_S: f64 = 0.2;

/// The state of a rate limit; the rate itself may change between calls.
#[derive(Debug)]
pub(crate) struct RateLimit {
    allowance: f64,
    refilled: Instant,
}

impl RateLimit {
    pub(crate) fn new(rate_per_s: u64) -> Self {
        Self {
            allowance: burst(rate_per_s),
            refilled: Instant::now(),
        }
    }

    /// Admits one call, or returns the milliseconds until the next may come.
    pub(crate) fn admit(&mut self, rate_per_s: u64) -> Result<(), u64> {
        let now = Instant::now();
        let refill = (now - self.refilled).as_secs_f64() * rate_per_s as f64;
        self.refilled = now;
        self.allowance = (self.allowance + refill).min(burst(rate_per_s));
        if self.allowance < 1.0 {
            return Err(1000 / rate_per_s.max(1) + 1);
        }
        self.allowance -= 1.0;
        Ok(())
    }
}

fn burst(rate_per_s: u64) -> f64 {
    (rate_per_s as f64 * BURST_S).max(1.0)
}
