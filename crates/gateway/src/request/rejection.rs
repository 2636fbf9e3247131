//! Rejections of requests by the gateway itself.

use super::{
    answer::{AnswerBody, error_response},
    request_log::{Reason, RequestLog},
};
use crate::request::millis;
use http::{Response, StatusCode};
use std::{ops::Range, time::Duration};

/// Range from which the `Retry-After` of a request that no backend server can take now is drawn, as
/// a share of the caller's remaining time.
///
/// A caller waits for at most a third of that time, and few come back more than once. How long the
/// shortage lasts is unknown, so the delay is nearly as long as that allows, and random, so that
/// retries are spread.
const NO_CAPACITY_RETRY_AFTER_SHARES: Range<f64> = 0.16..0.32;

/// `Retry-After` of a request that another router can serve at once, in milliseconds.
const SHUTTING_DOWN_RETRY_AFTER_MS: u64 = 100;

/// An error response that the gateway sends in place of a backend server's answer.
#[derive(Debug)]
pub(super) struct Rejection {
    status: StatusCode,
    reason: Reason,
    retry_after_ms: Option<u64>,
}

impl Rejection {
    /// Returns a rejection without `Retry-After`.
    pub(super) fn new(status: StatusCode, reason: Reason) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
        }
    }

    /// Returns a rejection of a request that has not run and may be sent again after
    /// `retry_after_ms`.
    pub(super) fn not_run(status: StatusCode, reason: Reason, retry_after_ms: u64) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// Returns a rejection for a budget that is not spent but of which the router holds too few
    /// tokens.
    pub(super) fn budget_short(retry_after_ms: u64) -> Self {
        Self::not_run(
            StatusCode::TOO_MANY_REQUESTS,
            Reason::BudgetShort,
            retry_after_ms,
        )
    }

    /// Returns a rejection of a request that might not end before this router does.
    pub(super) fn shutting_down() -> Self {
        Self::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            Reason::ShuttingDown,
            SHUTTING_DOWN_RETRY_AFTER_MS,
        )
    }

    /// Returns a rejection of a request that no backend server accepted or would serve in time.
    ///
    /// `remaining` is the caller's remaining time.
    pub(super) fn no_capacity(reason: Reason, remaining: Duration) -> Self {
        let share = rand::random_range(NO_CAPACITY_RETRY_AFTER_SHARES);
        Self::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            reason,
            millis(remaining.mul_f64(share)),
        )
    }

    /// Raises `Retry-After` to the time until a backend server accepts requests again.
    pub(super) fn after_pause(mut self, pause_ms: Option<u64>) -> Self {
        self.retry_after_ms = self.retry_after_ms.max(pause_ms);
        self
    }

    /// Logs the reason as the outcome and returns the response.
    pub(super) fn into_response(self, log: &mut RequestLog) -> Response<AnswerBody> {
        log.set_outcome(self.reason, self.status.as_u16());
        error_response(self.status, self.reason, self.retry_after_ms)
    }
}
