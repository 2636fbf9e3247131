//! An exponentially weighted moving average of token use.

use crate::Tokens;

/// The weight of the previous average; the finished window has a weight of one.
const PAST_WEIGHT: u64 = 1;

/// The most windows that one update decays the average by; it is zero after 64 halvings.
const MAX_IDLE_WINDOWS: u64 = 64;

/// Averages the tokens of consecutive windows; each window weighs half as much as the next.
#[derive(Debug, Clone)]
pub struct RateMeter {
    window_ms: u64,
    /// The index of the current window since time 0.
    window: u64,
    /// The tokens of the current window.
    current: u64,
    average: u64,
}

impl RateMeter {
    /// Returns a meter of windows of `window_ms` without tokens.
    pub fn new(window_ms: u64, now_ms: u64) -> Self {
        let window_ms = window_ms.max(1);
        Self {
            window_ms,
            window: now_ms / window_ms,
            current: 0,
            average: 0,
        }
    }

    /// Counts tokens in the current window.
    pub fn add(&mut self, tokens: Tokens, now_ms: u64) {
        self.advance(now_ms);
        self.current = self.current.saturating_add(tokens.0);
    }

    /// Returns the tokens expected in the next window.
    ///
    /// The unfinished window counts as soon as it exceeds the average, so that a burst raises the
    /// estimate immediately.
    pub fn expected(&mut self, now_ms: u64) -> Tokens {
        self.advance(now_ms);
        Tokens(self.average.max(self.current))
    }

    fn advance(&mut self, now_ms: u64) {
        let window = now_ms / self.window_ms;
        let steps = window.saturating_sub(self.window).min(MAX_IDLE_WINDOWS);
        for _ in 0..steps {
            let past = self.average.saturating_mul(PAST_WEIGHT);
            self.average = past.saturating_add(self.current) / (PAST_WEIGHT + 1);
            self.current = 0;
        }
        self.window = self.window.max(window);
    }
}
