//! An adaptive concurrency limit that follows queueing delay.
//!
//! The limit follows additive increase, multiplicative decrease (AIMD) against a delay target. A
//! gradient against the minimum delay is not used: prompts differ too much in length for a common
//! minimum, and a standing queue raises the minimum itself. With AIMD, routers that share backend
//! servers and have the same target also converge to equal shares. Until its first decrease the
//! limit grows exponentially (slow start), so that a newly started router soon carries its share.

/// The settings of a [`ConcurrencyLimit`].
#[derive(Debug, Clone)]
pub struct ConcurrencySettings {
    /// The initial limit.
    pub initial: u32,
    /// The lowest limit.
    pub min: u32,
    /// The highest limit.
    pub max: u32,
    /// The accepted queueing delay at the backend servers.
    pub target_delay_ms: u64,
    /// The time between adjustments of the limit.
    pub window_ms: u64,
}

/// A concurrency limit of one service at one router.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    settings: ConcurrencySettings,
    limit: f64,
    window_end_ms: u64,
    delay_min_ms: Option<u64>,
    peak_in_flight: u32,
    /// Whether the limit has never been decreased.
    slow_start: bool,
}

/// The factor by which the limit grows before its first decrease.
const SLOW_START_FACTOR: f64 = 1.5;

/// The factor of a multiplicative decrease.
const DECREASE_FACTOR: f64 = 0.85;

/// The utilization of the limit from which it may grow.
const GROWTH_UTILIZATION: f64 = 0.9;

impl ConcurrencyLimit {
    /// Creates a limit at its initial value.
    pub fn new(settings: ConcurrencySettings) -> Self {
        let limit = f64::from(settings.initial);
        Self {
            settings,
            limit,
            window_end_ms: 0,
            delay_min_ms: None,
            peak_in_flight: 0,
            slow_start: true,
        }
    }

    /// Returns the limit, which may be fractional.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns whether one more request may run beside `in_flight` others.
    pub fn allows(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 <= self.limit
    }

    /// Records the queueing delay of a request that got its first token.
    ///
    /// `in_flight` is the number of running requests. The limit is adjusted by the minimum delay of
    /// a window, so that bursts that drain within the window do not count as overload.
    pub fn record(&mut self, delay_ms: u64, in_flight: u32, now_ms: u64) {
        self.delay_min_ms = Some(self.delay_min_ms.map_or(delay_ms, |min| min.min(delay_ms)));
        self.peak_in_flight = self.peak_in_flight.max(in_flight);
        if now_ms < self.window_end_ms {
            return;
        }
        self.adjust();
        self.window_end_ms = now_ms + self.settings.window_ms;
        self.delay_min_ms = None;
        self.peak_in_flight = 0;
    }

    fn adjust(&mut self) {
        if self
            .delay_min_ms
            .is_some_and(|min| min > self.settings.target_delay_ms)
        {
            self.limit *= DECREASE_FACTOR;
            self.slow_start = false;
        } else if f64::from(self.peak_in_flight) >= self.limit * GROWTH_UTILIZATION {
            let grown = if self.slow_start {
                self.limit * SLOW_START_FACTOR
            } else {
                0.0
            };
            self.limit = grown.max(self.limit + 1.0);
        }
        let (min, max) = (f64::from(self.settings.min), f64::from(self.settings.max));
        self.limit = self.limit.clamp(min, max);
    }
}

impl Default for ConcurrencySettings {
    fn default() -> Self {
        Self {
            initial: 32,
            min: 4,
            max: 4_096,
            target_delay_ms: 50,
            window_ms: 500,
        }
    }
}
