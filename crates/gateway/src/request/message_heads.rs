//! Data that the gateway reads from and writes to message heads, independent of header names.

use http::{HeaderMap, request, response};
use mallowpath::{BackendId, WorkspaceId};
use std::{fmt, sync::Arc};

/// A part of a prompt that other requests may have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text; equal texts have equal identifiers.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u64,
}

/// The number of tokens that a caller declares for a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCount {
    /// The number of tokens of the prompt.
    pub prompt: u64,
    /// The maximum number of tokens of the answer.
    pub output_max: u64,
}

/// Data from the head of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct CallerRequest {
    /// Identifies this attempt of the caller; a retry by the caller has another identifier.
    pub attempt_id: Option<Arc<str>>,
    /// The virtual host, without a port.
    pub host: Arc<str>,
    /// The secret that identifies the workspace.
    pub api_key: Option<Arc<str>>,
    /// Time for which the caller waits for the answer.
    pub deadline_ms: Option<u64>,
    /// The declared number of tokens, for generations.
    pub tokens: Option<TokenCount>,
    /// The parts of the prompt in order.
    pub prompt: Vec<PromptPart>,
    /// The identifier of the last event that the caller received in an earlier answer.
    pub last_event_id: Option<u64>,
    /// The caller's attempt that brought the first event of the stream that this one continues.
    pub continued_attempt_id: Option<Arc<str>>,
}

impl CallerRequest {
    /// Returns whether the request goes on with a stream that broke off.
    pub(crate) fn takes_up_stream(&self) -> bool {
        self.last_event_id.is_some() || self.continued_attempt_id.is_some()
    }
}

/// How urgent a request is compared with others of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// More urgent than a request for which nothing is stated.
    Raised,
    /// As urgent as a request for which nothing is stated.
    Usual,
    /// Less urgent than a request for which nothing is stated.
    Lowered,
}

/// Data that the gateway sets in the head of a request to a backend server.
#[derive(Debug)]
pub struct BackendRequestHead<'a> {
    /// The incarnation of the backend server to which the request is addressed.
    pub backend: &'a BackendId,
    /// The workspace whose budget pays for the request.
    pub workspace: Option<&'a WorkspaceId>,
    /// Time that the backend server may take for the answer.
    pub deadline_ms: u64,
    /// The identifier of the last delivered event, if this backend server resumes the answer.
    pub last_event_id: Option<u64>,
    /// How urgent the request is; `None` if nothing is stated.
    pub urgency: Option<Urgency>,
}

/// The kind of an answer's body.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AnswerKind {
    /// A body that is forwarded once it is complete.
    #[default]
    Whole,
    /// A stream of events.
    Stream,
    /// A body of a kind that no backend server of the fleet sends.
    Unexpected,
}

/// Data from the head of a backend server's answer.
#[derive(Debug, Clone, Default)]
pub struct BackendAnswer {
    /// The identifier of the attempt that is answered.
    pub attempt_id: Option<Arc<str>>,
    /// Whether the backend server states that the request has not run and never will.
    pub not_run: bool,
    /// Whether the backend server states that it is shutting down.
    pub is_leaving: bool,
    /// The requests per second that the backend server takes from all routers together, if it states
    /// a limit.
    pub rate_limit_per_s: Option<f64>,
    /// Whether the answer has the backend server's signature.
    pub is_signed: bool,
    /// The kind of the body.
    pub kind: AnswerKind,
    /// Time for which the server keeps an idle connection open, if it states one.
    pub idle_timeout_ms: Option<u64>,
}

/// The functions that read and write the heads of HTTP messages.
///
/// They convert header names and formats and make no decisions.
#[derive(Clone, Copy)]
pub struct HeadCodec {
    /// Reads the head of a caller's request.
    pub read_request_head: fn(&request::Parts) -> CallerRequest,
    /// Sets the headers of a request to a backend server that only the gateway may set, and removes
    /// those that the caller sent.
    pub write_request_head: fn(&mut HeaderMap, &BackendRequestHead<'_>),
    /// Reads the head of a backend server's answer.
    pub read_answer_head: fn(&response::Parts) -> BackendAnswer,
}

impl fmt::Debug for HeadCodec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HeadCodec").finish_non_exhaustive()
    }
}

impl TokenCount {
    /// Returns the maximum number of tokens that the request can cost.
    pub fn max_cost(self) -> u64 {
        self.prompt.saturating_add(self.output_max)
    }
}
