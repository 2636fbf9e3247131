//! How a request ended, in one log line.

use mallowpath::WorkspaceId;
use serde::Serialize;
use std::{sync::Arc, time::Instant};

/// Why a request ended as it did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Reason {
    /// A backend server's answer was delivered whole.
    Delivered,
    /// No configuration is known yet.
    NoConfiguration,
    /// No route takes the request.
    NoRoute,
    /// The API key names no workspace.
    UnknownKey,
    /// The body is too large.
    BodyTooLarge,
    /// The body did not come whole.
    BodyCutOff,
    /// The budget is spent.
    BudgetSpent,
    /// The budget is not spent, but this router holds too little of it now.
    BudgetShort,
    /// The request would wait for too long behind others.
    Overloaded,
    /// No backend server can take the request.
    NoBackend,
    /// A backend server rejected the request without running it.
    Rejected,
    /// A backend server's answer was lost or unreadable; the request may have run.
    AnswerLost,
    /// The time for the request was up.
    Timeout,
    /// The stream broke and could not go on.
    StreamBroken,
    /// The caller left.
    CallerLeft,
}

/// The line that tells how a request ended; written when dropped.
#[derive(Debug)]
pub(crate) struct RequestLog {
    started: Instant,
    line: Line,
}

/// How long ago the router's beliefs were known to be the newest.
#[derive(Debug, Clone, Copy, Default, Serialize)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub(crate) struct Ages {
    pub(crate) configuration_ms: Option<u64>,
    pub(crate) backends_ms: Option<u64>,
    pub(crate) ledger_ms: Option<u64>,
}

/// One try at a backend server.
#[derive(Debug, Serialize)]
struct TryLine {
    backend: Arc<str>,
    after_ms: u64,
    failure: Option<Arc<str>>,
}

#[derive(Debug, Serialize)]
struct Line {
    request: Option<Arc<str>>,
    route: Option<Arc<str>>,
    workspace: Option<WorkspaceId>,
    version: u64,
    ages: Ages,
    reason: Reason,
    status: u16,
    /// What decided a refusal, where the reason does not say it all.
    detail: Option<Arc<str>>,
    tries: Vec<TryLine>,
    first_ms: Option<u64>,
    total_ms: u64,
    /// The most tokens that it can cost.
    tokens: u64,
    /// What it has cost.
    spent: u64,
    events: u64,
    resumed: u32,
}

impl RequestLog {
    pub(crate) fn new(started: Instant) -> Self {
        Self {
            started,
            line: Line {
                request: None,
                route: None,
                workspace: None,
                version: 0,
                ages: Ages::default(),
                // Holds unless the request gets to another end.
                reason: Reason::CallerLeft,
                status: 0,
                detail: None,
                tries: Vec::new(),
                first_ms: None,
                total_ms: 0,
                tokens: 0,
                spent: 0,
                events: 0,
                resumed: 0,
            },
        }
    }

    pub(crate) fn set_request(&mut self, request: Option<&Arc<str>>, version: u64, ages: Ages) {
        self.line.request = request.cloned();
        self.line.version = version;
        self.line.ages = ages;
    }

    pub(crate) fn set_route(&mut self, route: &Arc<str>) {
        self.line.route = Some(Arc::clone(route));
    }

    pub(crate) fn set_workspace(&mut self, workspace: &WorkspaceId, tokens: u64) {
        self.line.workspace = Some(workspace.clone());
        self.line.tokens = tokens;
    }

    pub(crate) fn add_try(&mut self, backend: &str) {
        self.line.tries.push(TryLine {
            backend: Arc::from(backend),
            after_ms: millis_since(self.started),
            failure: None,
        });
    }

    /// Tells why the last try failed.
    pub(crate) fn set_failure(&mut self, failure: &str) {
        if let Some(last) = self.line.tries.last_mut() {
            last.failure = Some(Arc::from(failure));
        }
    }

    pub(crate) fn set_detail(&mut self, detail: &str) {
        self.line.detail = Some(Arc::from(detail));
    }

    pub(crate) fn set_first(&mut self) {
        if self.line.first_ms.is_none() {
            self.line.first_ms = Some(millis_since(self.started));
        }
    }

    pub(crate) fn set_events(&mut self, events: u64) {
        self.line.events = events;
    }

    pub(crate) fn set_spent(&mut self, tokens: u64) {
        self.line.spent = tokens;
    }

    pub(crate) fn add_resume(&mut self) {
        self.line.resumed += 1;
    }

    pub(crate) fn end(&mut self, reason: Reason, status: u16) {
        self.line.reason = reason;
        self.line.status = status;
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        self.line.total_ms = millis_since(self.started);
        let reason = self.line.reason;
        metrics::counter!("gateway_requests_total", "reason" => reason_label(reason)).increment(1);
        if let Some(first_ms) = self.line.first_ms {
            metrics::histogram!("gateway_first_byte_seconds").record(first_ms as f64 / 1_000.0);
        }
        let is_success = reason == Reason::Delivered && self.line.status < 500;
        match serde_json::to_string(&self.line) {
            Ok(line) => crate::process::log_request(is_success, &line),
            Err(error) => log::error!("a log line can't be written: {error}"),
        }
    }
}

fn reason_label(reason: Reason) -> &'static str {
    match reason {
        Reason::Delivered => "delivered",
        Reason::NoConfiguration => "no_configuration",
        Reason::NoRoute => "no_route",
        Reason::UnknownKey => "unknown_key",
        Reason::BodyTooLarge => "body_too_large",
        Reason::BodyCutOff => "body_cut_off",
        Reason::BudgetSpent => "budget_spent",
        Reason::BudgetShort => "budget_short",
        Reason::NoBackend => "no_backend",
        Reason::Rejected => "rejected",
        Reason::AnswerLost => "answer_lost",
        Reason::Timeout => "timeout",
        Reason::StreamBroken => "stream_broken",
        Reason::Overloaded => "overloaded",
        Reason::CallerLeft => "caller_left",
    }
}

fn millis_since(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
