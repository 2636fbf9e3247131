//! Exponentially weighted moving averages that decay to a prior.

/// An exponentially weighted moving average that decays to its prior while no samples arrive.
#[derive(Debug, Clone)]
pub struct Estimate {
    prior: f64,
    sample_weight: f64,
    mean: f64,
    updated_at_ms: u64,
}

/// The time in which an estimate without samples halves its distance from the prior.
const HALF_LIFE_MS: f64 = 30_000.0;

impl Estimate {
    /// Creates an estimate that equals `prior` until the first sample.
    ///
    /// `sample_weight` is the weight of each new sample in the mean, between 0 and 1.
    pub fn new(prior: f64, sample_weight: f64) -> Self {
        Self {
            prior,
            sample_weight,
            mean: prior,
            updated_at_ms: 0,
        }
    }

    /// Returns the estimate at `now_ms`.
    pub fn at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms);
        self.prior + (self.mean - self.prior) * decay_factor(age_ms, HALF_LIFE_MS)
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: f64, now_ms: u64) {
        let before = self.at(now_ms);
        self.mean = before + (sample - before) * self.sample_weight;
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
    }
}

/// Returns the factor by which a value with the given half-life has decayed after `age_ms`.
pub(crate) fn decay_factor(age_ms: u64, half_life_ms: f64) -> f64 {
    (-(age_ms as f64) / half_life_ms).exp2()
}
