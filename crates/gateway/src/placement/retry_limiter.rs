//! Limits the retries of a service at one router.
//!
//! Within a sliding window the fleet may retry a fixed ratio of all requests, plus a fixed number
//! of retries. Each router applies the ratio to its own requests and takes its share of the fixed
//! number, so routers need no coordination.

use std::collections::VecDeque;

/// Settings of a [`RetryLimiter`].
#[derive(Debug, Clone, PartialEq)]
pub struct RetryLimiterSettings {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Allowed retries per window in addition to `ratio`.
    pub slack: f64,
    /// Length of the sliding window.
    pub window_ms: u64,
}

/// A sliding-window limit on the retries of one service at one router.
#[derive(Debug)]
pub struct RetryLimiter {
    settings: RetryLimiterSettings,
    /// Times of the requests within the window, oldest first.
    requests: VecDeque<u64>,
    /// Times of the retries within the window, oldest first.
    retries: VecDeque<u64>,
}

impl RetryLimiterSettings {
    /// Returns the share of one router, given fleet-wide settings.
    ///
    /// The known number of routers may lag behind the actual one, so a higher number is assumed.
    #[must_use]
    pub fn router_share(&self, routers: usize) -> Self {
        /// The lowest number of routers assumed, since a small fleet may double at once.
        const ROUTERS_MIN: f64 = 12.0;
        /// The number of routers assumed for each known one.
        const ROUTERS_GROWTH: f64 = 1.25;
        /// The share of the ratio that a router uses; the rest is for requests that other routers
        /// count later.
        const RATIO_SHARE: f64 = 0.8;

        let routers = (routers as f64 * ROUTERS_GROWTH).max(ROUTERS_MIN);
        Self {
            ratio: self.ratio * RATIO_SHARE,
            slack: self.slack / routers,
            window_ms: self.window_ms,
        }
    }
}

impl RetryLimiter {
    /// Returns a limiter that has counted no requests or retries.
    pub fn new(settings: RetryLimiterSettings) -> Self {
        Self {
            settings,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Replaces the settings; requests and retries counted so far stay counted.
    pub fn set_settings(&mut self, settings: RetryLimiterSettings) {
        self.settings = settings;
    }

    /// Counts a request, which raises the number of allowed retries.
    pub fn count_request(&mut self, now_ms: u64) {
        self.remove_expired(now_ms);
        self.requests.push_back(now_ms);
    }

    /// Counts a retry if the limit allows one, and returns whether it does.
    pub fn try_retry(&mut self, now_ms: u64) -> bool {
        self.remove_expired(now_ms);
        let limit = self.requests.len() as f64 * self.settings.ratio + self.settings.slack;
        let is_allowed = (self.retries.len() + 1) as f64 <= limit;
        if is_allowed {
            self.retries.push_back(now_ms);
        }
        is_allowed
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let window_ms = self.settings.window_ms;
        let is_expired = |at_ms: u64| at_ms + window_ms <= now_ms;
        while self
            .requests
            .front()
            .is_some_and(|&at_ms| is_expired(at_ms))
        {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|&at_ms| is_expired(at_ms)) {
            self.retries.pop_front();
        }
    }
}

impl Default for RetryLimiterSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 2.0,
            window_ms: 10_000,
        }
    }
}
