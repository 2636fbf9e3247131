//! Decides when callers come back whose requests were refused because a budget lacked tokens.

use super::{
    return_forecast::{Forecast, ReturnForecast},
    token_queue::TokenClaim,
};
use std::time::{Duration, Instant};

/// `Retry-After` when it is unknown when tokens will be returned, or when draws are late.
pub(super) const DEFAULT_RETRY_AFTER_MS: u64 = 400;

/// The shortest `Retry-After`, about the time between two draws.
const RETRY_AFTER_MIN_MS: u64 = 100;

/// The time after which a caller that was expected back is no longer counted.
const LATENESS_MAX: Duration = Duration::from_millis(100);

/// The maximum number of callers that are counted as expected back.
const EXPECTED_MAX: usize = 256;

/// The callers that were told when to come back, for one budget.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    expected: Vec<ExpectedCaller>,
}

#[derive(Debug, Clone, Copy)]
struct ExpectedCaller {
    at: Instant,
    tokens: u64,
    priority: u8,
}

impl RetrySchedule {
    /// Returns the delay after which the caller of a refused request should come back.
    ///
    /// That is when `missing` tokens and those for the callers have been returned that are as urgent and
    /// were refused earlier, so that callers come back in their order.
    pub fn retry_after_ms(
        &mut self,
        claim: TokenClaim,
        missing: u64,
        forecast: &ReturnForecast,
        now: Instant,
    ) -> u64 {
        self.expected
            .retain(|caller| caller.at + LATENESS_MAX > now);
        let mut needed = missing;
        for caller in &self.expected {
            if caller.priority <= claim.priority {
                needed = needed.saturating_add(caller.tokens);
            }
        }
        let after_ms = match forecast.forecast(needed, now) {
            Forecast::Unknown => return DEFAULT_RETRY_AFTER_MS,
            // When the last request has ended, it is known whether the budget is spent.
            Forecast::AfterMs(after_ms)
            | Forecast::Never {
                last_end_ms: after_ms,
            } => after_ms,
        };
        let after_ms = after_ms.max(RETRY_AFTER_MIN_MS);
        if self.expected.len() < EXPECTED_MAX {
            self.expected.push(ExpectedCaller {
                at: now + Duration::from_millis(after_ms),
                tokens: claim.tokens,
                priority: claim.priority,
            });
        }
        after_ms
    }
}
