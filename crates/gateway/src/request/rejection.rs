//! Rejections of requests by the gateway itself.

use super::{
    answer::{AnswerBody, error_response},
    request_log::{Reason, RequestLog},
};
use http::{Response, StatusCode};

/// `Retry-After` when no backend server had capacity for the request.
pub(super) const NO_CAPACITY_RETRY_AFTER_MS: u64 = 250;

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

    /// Returns a rejection of a request that no backend server accepted.
    ///
    /// `pause_ms` is the time until a backend server accepts requests again, if it is known.
    pub(super) fn no_capacity(reason: Reason, pause_ms: Option<u64>) -> Self {
        Self::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            reason,
            pause_ms.unwrap_or_default().max(NO_CAPACITY_RETRY_AFTER_MS),
        )
    }

    /// Logs the reason as the outcome and returns the response.
    pub(super) fn into_response(self, log: &mut RequestLog) -> Response<AnswerBody> {
        log.set_outcome(self.reason, self.status.as_u16());
        error_response(self.status, self.reason, self.retry_after_ms)
    }
}
