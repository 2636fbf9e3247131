//! The log line of a request, which states its outcome.

use super::message_heads::{CallerRequest, PromptPart};
use crate::placement::BackendEntry;
use mallowpath::{AnswerProgress, BackendVersion, PartId, WorkspaceId};
use serde::Serialize;
use std::{sync::Arc, time::Instant};

/// The reason for the outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Reason {
    /// A backend server's answer was delivered completely.
    Delivered,
    /// The router has not read a configuration yet.
    NoConfiguration,
    /// No route matches the request.
    NoRoute,
    /// The API key is missing or belongs to no workspace.
    UnknownKey,
    /// The request body exceeds the size limit.
    BodyTooLarge,
    /// There is no memory for the request body.
    MemoryShort,
    /// The request body ended early or was not received in time.
    BodyCutOff,
    /// The rest of the budget does not cover the request.
    BudgetSpent,
    /// The budget is not spent, but this router holds too few of its tokens at the moment.
    BudgetShort,
    /// The request would be queued for too long.
    Overloaded,
    /// The request or a part of its prompt is quarantined, because it ends backend servers.
    Quarantined,
    /// Backend servers of several versions serve, and it is unknown which began the stream.
    VersionUnknown,
    /// No backend server is available for the request.
    NoBackend,
    /// The router shuts down and might end before the request does.
    ShuttingDown,
    /// A backend server rejected the request without running it.
    Rejected,
    /// A backend server's answer was lost or unreadable; the request may have run.
    AnswerLost,
    /// The deadline of the request passed.
    Timeout,
    /// The stream broke off and could not be resumed.
    StreamBroken,
    /// The caller closed the connection.
    CallerLeft,
}

/// Collects the log line of a request and writes it when dropped.
#[derive(Debug)]
pub(crate) struct RequestLog {
    started: Instant,
    /// The attempt that failures are logged at.
    current: AttemptIndex,
    line: LogLine,
}

/// Time since the router's copies of the shared state were last known to be current.
#[derive(Debug, Clone, Copy, Default, Serialize)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub(crate) struct StateAges {
    pub(crate) configuration_ms: Option<u64>,
    pub(crate) backends_ms: Option<u64>,
    pub(crate) ledger_ms: Option<u64>,
}

/// How the version of the servers was found that may go on with a stream.
#[derive(Debug, Serialize)]
pub(crate) struct OriginLine {
    /// `memory` or `store` if the stream is known there, `one_version` if only one may have begun it,
    /// `unknown` or `no_store` if it is not found and rejected.
    pub(crate) found: &'static str,
    pub(crate) version: Option<BackendVersion>,
    /// The time since this router recorded or read the origin of the stream.
    pub(crate) age_ms: Option<u64>,
    /// What the decision rests on; `None` if the stream is known, whose origin doesn't change.
    #[serde(flatten)]
    pub(crate) reads: Option<TakeUpReads>,
}

/// When the reads began on which the decision on a stream taken up rests, in milliseconds after the arrival
/// of its caller; negative if before, `None` if there was none.
#[derive(Debug, Clone, Copy, Serialize)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub(crate) struct TakeUpReads {
    pub(crate) servers_read_ms: Option<i64>,
    pub(crate) configuration_read_ms: Option<i64>,
    pub(crate) origins_read_ms: Option<i64>,
}

impl TakeUpReads {
    /// Returns whether the servers or the configuration were last read before the caller arrived.
    fn is_stale(self) -> bool {
        let reads = [self.servers_read_ms, self.configuration_read_ms];
        reads.iter().any(|read_ms| read_ms.is_none_or(|ms| ms < 0))
    }
}

impl OriginLine {
    /// Returns an entry without a version.
    pub(crate) fn new(found: &'static str) -> Self {
        Self {
            found,
            version: None,
            age_ms: None,
            reads: None,
        }
    }
}

/// The log entry of one attempt at a backend server.
#[derive(Debug, Serialize)]
struct AttemptLine {
    backend: Arc<str>,
    /// The version of the backend server's software.
    version: Option<BackendVersion>,
    after_ms: u64,
    failure: Option<Arc<str>>,
    /// How far the answer had come when the attempt failed.
    progress: Option<AnswerProgress>,
}

/// The position of an attempt in the log entry of its request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptIndex(usize);

#[derive(Debug, Serialize)]
struct LogLine {
    request: Option<Arc<str>>,
    /// Identifies the request as a whole, and equal ones of the same caller, in hexadecimal.
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<String>,
    /// The caller's attempt that brought the first event of the stream that this one continues.
    #[serde(skip_serializing_if = "Option::is_none")]
    continues: Option<Arc<str>>,
    /// The last event that the caller had received before this attempt.
    #[serde(skip_serializing_if = "Option::is_none")]
    last_event_id: Option<u64>,
    /// How the version of the servers was found that may go on with a stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    origin: Option<OriginLine>,
    route: Option<Arc<str>>,
    workspace: Option<WorkspaceId>,
    version: u64,
    ages: StateAges,
    reason: Reason,
    status: u16,
    /// Explains the reason where it needs more than its name.
    detail: Option<Arc<str>>,
    #[serde(rename = "tries")]
    attempts: Vec<AttemptLine>,
    first_ms: Option<u64>,
    total_ms: u64,
    /// The maximum number of tokens that the request can cost.
    tokens: u64,
    /// The number of tokens that the request has cost.
    spent: u64,
    events: u64,
    resumed: u32,
    /// The parts of the prompt in hexadecimal, if an attempt failed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    prompt: Vec<String>,
}

impl RequestLog {
    pub(crate) fn new(started: Instant) -> Self {
        Self {
            started,
            current: AttemptIndex(0),
            line: LogLine {
                request: None,
                content: None,
                continues: None,
                last_event_id: None,
                origin: None,
                route: None,
                workspace: None,
                version: 0,
                ages: StateAges::default(),
                // Remains if the request is dropped before `set_outcome` is called.
                reason: Reason::CallerLeft,
                status: 0,
                detail: None,
                attempts: Vec::new(),
                first_ms: None,
                total_ms: 0,
                tokens: 0,
                spent: 0,
                events: 0,
                resumed: 0,
                prompt: Vec::new(),
            },
        }
    }

    pub(crate) fn set_request(
        &mut self,
        caller_request: &CallerRequest,
        version: u64,
        ages: StateAges,
    ) {
        self.line.request.clone_from(&caller_request.attempt_id);
        self.line
            .continues
            .clone_from(&caller_request.continued_attempt_id);
        self.line.last_event_id = caller_request.last_event_id;
        self.line.version = version;
        self.line.ages = ages;
    }

    /// Sets how the version of the servers was found that may go on with the stream.
    pub(crate) fn set_origin(&mut self, origin: OriginLine) {
        let knowledge = match origin.reads {
            None => "certain",
            Some(reads) if reads.is_stale() => "stale",
            Some(_) => "fresh",
        };
        metrics::counter!(
            "gateway_streams_taken_up_total",
            "origin" => origin.found,
            "knowledge" => knowledge,
        )
        .increment(1);
        self.line.origin = Some(origin);
    }

    /// Returns when the request arrived.
    pub(crate) fn started(&self) -> Instant {
        self.started
    }

    pub(crate) fn set_content(&mut self, id: PartId) {
        self.line.content = Some(id.to_string());
    }

    pub(crate) fn set_route(&mut self, route: &Arc<str>) {
        self.line.route = Some(Arc::clone(route));
    }

    pub(crate) fn set_workspace(&mut self, workspace: &WorkspaceId, tokens: u64) {
        self.line.workspace = Some(workspace.clone());
        self.line.tokens = tokens;
    }

    pub(crate) fn add_attempt(&mut self, backend: &BackendEntry) {
        self.current = AttemptIndex(self.line.attempts.len());
        self.line.attempts.push(AttemptLine {
            backend: Arc::from(backend.id.as_str()),
            version: backend.version.clone(),
            after_ms: millis_since(self.started),
            failure: None,
            progress: None,
        });
    }

    /// Returns the selected attempt, which is the one added last unless another was selected since.
    pub(crate) fn current_attempt(&self) -> AttemptIndex {
        self.current
    }

    /// Selects the attempt that [`Self::set_failure`] and [`Self::set_progress`] apply to.
    pub(crate) fn select_attempt(&mut self, index: AttemptIndex) {
        self.current = index;
    }

    /// Sets why the selected attempt failed.
    pub(crate) fn set_failure(&mut self, failure: &str) {
        if let Some(attempt) = self.line.attempts.get_mut(self.current.0) {
            attempt.failure = Some(Arc::from(failure));
        }
    }

    /// Sets how far the answer to the selected attempt had come when it failed, and the parts of the
    /// prompt.
    pub(crate) fn set_progress(&mut self, progress: AnswerProgress, prompt: &[PromptPart]) {
        if let Some(attempt) = self.line.attempts.get_mut(self.current.0) {
            attempt.progress = Some(progress);
        }
        if self.line.prompt.is_empty() {
            for part in prompt {
                self.line.prompt.push(format!("{:x}", part.id));
            }
        }
    }

    pub(crate) fn set_detail(&mut self, detail: &str) {
        self.line.detail = Some(Arc::from(detail));
    }

    pub(crate) fn set_first_byte(&mut self) {
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

    pub(crate) fn set_outcome(&mut self, reason: Reason, status: u16) {
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
            Err(error) => log::error!(
                "failed to serialize the log line of a request; it is not written: {error}"
            ),
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
        Reason::MemoryShort => "memory_short",
        Reason::BodyCutOff => "body_cut_off",
        Reason::BudgetSpent => "budget_spent",
        Reason::BudgetShort => "budget_short",
        Reason::Quarantined => "quarantined",
        Reason::VersionUnknown => "version_unknown",
        Reason::NoBackend => "no_backend",
        Reason::ShuttingDown => "shutting_down",
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
