//! Refusals: the errors that callers get in place of a complete response.

use http::StatusCode;
use serde::Serialize;
use std::fmt::{self, Display};

/// Whether a request ran, as far as the fleet knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request did not run and will not.
    NotRun,
    /// The request ran.
    Ran,
    /// No reachable process knows whether the request ran.
    Unknown,
}

/// Why a request gets no complete response; the names are stable error codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is not valid for its path.
    InvalidRequest,
    /// No workspace has this key.
    Unauthorized,
    /// The workspace may not call this service.
    Forbidden,
    /// No such model, service or path.
    NotFound,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The budget is exhausted.
    BudgetExhausted,
    /// The budget has tokens, but this router can't obtain any at the moment.
    BudgetUnavailable,
    /// The workspace or the service has more requests than it may run or queue.
    Overloaded,
    /// The prompt begins with a text at which backend servers end.
    Quarantined,
    /// No backend server of the service accepts work.
    NoBackend,
    /// The backend server did not accept the request.
    BackendRefused,
    /// The backend server or the connection to it failed during the request.
    BackendFailed,
    /// The response was not complete before the deadline of the request.
    DeadlineExceeded,
    /// The process is shutting down.
    ShuttingDown,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The idempotency key can't be checked at the moment.
    KeyUnavailable,
    /// The request ran before and its response is no longer stored.
    AnswerGone,
    /// The configuration can't be confirmed as current, and the workspace is set to refuse requests
    /// then.
    Unconfirmed,
    /// The bill did not become durable in time.
    BillUnsafe,
}

/// The reason why a request gets no complete response, with the details for the caller.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// The stable error code.
    pub code: Code,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The message for a person.
    pub message: String,
    /// The time after which a retry may succeed, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Creates a refusal of a request that may or may not have run.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Creates a refusal of a request that ran.
    pub fn ran(code: Code, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Ran,
            ..Self::not_run(code, message)
        }
    }

    /// Sets the time after which a retry may succeed, in milliseconds; 0 means none.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = (retry_after_ms > 0).then_some(retry_after_ms);
        self
    }

    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> StatusCode {
        match self.code {
            Code::InvalidRequest => StatusCode::BAD_REQUEST,
            Code::Unauthorized => StatusCode::UNAUTHORIZED,
            Code::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            Code::Forbidden => StatusCode::FORBIDDEN,
            Code::NotFound => StatusCode::NOT_FOUND,
            Code::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Code::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Code::AnswerGone => StatusCode::GONE,
            Code::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Code::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Code::BackendFailed => StatusCode::BAD_GATEWAY,
            Code::BudgetUnavailable
            | Code::Quarantined
            | Code::NoBackend
            | Code::BackendRefused
            | Code::ShuttingDown
            | Code::KeyUnavailable
            | Code::Unconfirmed
            | Code::BillUnsafe => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the JSON body of the response to the caller.
    ///
    /// # Panics
    ///
    /// Does not panic: text and numbers can always be serialized.
    pub fn to_json(&self, request: &str) -> String {
        let body = ErrorBody {
            error: ErrorDetails {
                message: &self.message,
                code: self.code,
                outcome: self.outcome,
                retry_after_ms: self.retry_after_ms,
                request_id: request,
            },
        };
        serde_json::to_string(&body).expect("a refusal holds only text and numbers")
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetails<'a>,
}

#[derive(Serialize)]
struct ErrorDetails<'a> {
    message: &'a str,
    code: Code,
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request_id: &'a str,
}

impl Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} ({:?}): {}", self.code, self.outcome, self.message)
    }
}
