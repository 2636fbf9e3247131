//! A token bucket rate limiter.

use tokio::time::Instant;

/// The burst size, as seconds of the configured rate.
const BURST_S: f64 = 0.2;

/// A token bucket whose rate is passed with each call, because settings change at run time.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    available_tokens: f64,
    last_refill: Instant,
}

impl TokenBucket {
    pub(crate) fn new(rate_per_s: u64) -> Self {
        Self {
            available_tokens: burst_tokens(rate_per_s),
            last_refill: Instant::now(),
        }
    }

    /// Admits one request, or returns the milliseconds after which to retry.
    pub(crate) fn admit(&mut self, rate_per_s: u64) -> Result<(), u64> {
        let now = Instant::now();
        let refill = (now - self.last_refill).as_secs_f64() * rate_per_s as f64;
        self.last_refill = now;
        self.available_tokens = (self.available_tokens + refill).min(burst_tokens(rate_per_s));
        if self.available_tokens < 1.0 {
            return Err(1000 / rate_per_s.max(1) + 1);
        }
        self.available_tokens -= 1.0;
        Ok(())
    }
}

/// Returns the bucket capacity, at least one token so that low rates admit requests at all.
fn burst_tokens(rate_per_s: u64) -> f64 {
    (rate_per_s as f64 * BURST_S).max(1.0)
}
