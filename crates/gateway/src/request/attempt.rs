//! One attempt to send a request to a backend server.

use super::facts::{AnswerKind, BackendAnswer, BackendMarks};
use crate::{
    connection::{BackendConnection, SendOutcome, open},
    placement::{Backend, InFlight},
    process::Gateway,
};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use mallowpath::WorkspaceId;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Size limit of an answer's body that is not a stream.
const BODY_MAX_BYTES: usize = 8 << 20;

/// The parts of a request that are the same in all attempts.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The caller's identifier of its attempt; an answer has to contain the same one.
    pub(crate) attempt: Option<Arc<str>>,
    pub(crate) workspace: Option<WorkspaceId>,
    /// Time at which the caller or the route gives up the request.
    pub(crate) deadline: Instant,
}

/// An answer whose head was received and whose body was not read yet.
#[derive(Debug)]
pub(crate) struct StartedAnswer {
    pub(crate) head: response::Parts,
    pub(crate) facts: BackendAnswer,
    pub(crate) body: Incoming,
    pub(crate) connection: BackendConnection,
    pub(crate) flight: InFlight,
}

impl StartedAnswer {
    /// Returns whether the answer is a stream of events with a success status.
    pub(crate) fn is_stream(&self) -> bool {
        self.facts.kind == AnswerKind::Stream && self.head.status.is_success()
    }
}

/// The outcome of an attempt.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The head of an answer to this request was received.
    StartedAnswer(Box<StartedAnswer>),
    /// The backend server was not reached; no byte of the request was sent.
    Unreached(String),
    /// The backend server states that the request has not run.
    NotRun(StatusCode),
    /// No valid answer to this request was received; the request may have run.
    Lost(String),
}

/// The parameters of one attempt.
#[derive(Debug)]
pub(crate) struct Try {
    pub(crate) backend: Arc<Backend>,
    /// The number of prompt tokens that the backend server has to process.
    pub(crate) prefill_tokens: u64,
    /// The event after which the backend server resumes the answer.
    pub(crate) last_event: Option<u64>,
    /// Time until which the attempt waits for the head of the answer.
    pub(crate) give_up: Instant,
}

/// Sends a request to a backend server and waits for the head of its answer.
pub(crate) async fn attempt(gateway: &Gateway, outgoing: &OutgoingRequest, target: Try) -> Attempt {
    let Try {
        backend,
        prefill_tokens,
        last_event,
        give_up,
    } = target;
    let backend = &backend;
    let flight = backend.start(prefill_tokens);
    let mut may_reuse = true;
    let (sent, connection) = loop {
        let mut connection = match acquire_connection(backend, may_reuse).await {
            Ok(connection) => connection,
            Err(error) => return Attempt::Unreached(error),
        };
        let sending = connection.send(build_request(gateway, outgoing, backend, last_event));
        let sent = tokio::time::timeout_at(give_up.into(), sending).await.ok();
        if !may_reuse || !matches!(sent, Some(SendOutcome::Unsent(_))) {
            break (sent, connection);
        }
        // The pooled connection was closed before the request was sent. A new connection shows
        // whether the backend server is reachable.
        may_reuse = false;
    };
    match sent {
        None => Attempt::Lost("no answer in time".to_owned()),
        Some(SendOutcome::Unsent(error)) => Attempt::Unreached(error.to_string()),
        Some(SendOutcome::Broken(error)) => Attempt::Lost(error.to_string()),
        Some(SendOutcome::Answered(response)) => {
            classify_answer(gateway, outgoing, response, connection, flight)
        }
    }
}

/// Returns a pooled connection if `may_reuse` is set and there is one; opens a new one otherwise.
async fn acquire_connection(
    backend: &Backend,
    may_reuse: bool,
) -> Result<BackendConnection, String> {
    if may_reuse && let Some(connection) = backend.pool.take() {
        return Ok(connection);
    }
    metrics::counter!("gateway_backend_connections_total").increment(1);
    match open(backend.entry.address).await {
        Ok(connection) => Ok(connection),
        Err(error) => Err(format!("can't connect: {error}")),
    }
}

/// Builds the request for `backend`, with the headers that only the gateway may set.
fn build_request(
    gateway: &Gateway,
    outgoing: &OutgoingRequest,
    backend: &Backend,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let left = outgoing.deadline.saturating_duration_since(Instant::now());
    let marks = BackendMarks {
        backend: &backend.entry.id,
        workspace: outgoing.workspace.as_ref(),
        deadline_ms: millis(left).max(1),
        last_event,
    };
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = outgoing.headers.clone();
    (gateway.head_codec.mark_request)(request.headers_mut(), &marks);
    request
}

/// Classifies an answer by whether it belongs to this request, is a rejection or is invalid.
fn classify_answer(
    gateway: &Gateway,
    outgoing: &OutgoingRequest,
    response: Response<Incoming>,
    connection: BackendConnection,
    flight: InFlight,
) -> Attempt {
    let (head, body) = response.into_parts();
    let facts = (gateway.head_codec.read_answer)(&head);
    let rejected = facts.not_run || head.status == StatusCode::MISDIRECTED_REQUEST;
    // A rejection may lack the identifier, but a late rejection of another request contains that
    // request's identifier.
    let is_foreign = facts.attempt != outgoing.attempt;
    if is_foreign && (facts.attempt.is_some() || !rejected) {
        return Attempt::Lost("an answer to another request".to_owned());
    }
    if rejected {
        return Attempt::NotRun(head.status);
    }
    if head.status.is_success() && !facts.signed {
        return Attempt::Lost("a success without a signature".to_owned());
    }
    if facts.kind == AnswerKind::Foreign {
        return Attempt::Lost("a body of a kind that no backend server sends".to_owned());
    }
    Attempt::StartedAnswer(Box::new(StartedAnswer {
        head,
        facts,
        body,
        connection,
        flight,
    }))
}

/// Reads the whole body of an answer and returns its connection to the pool.
///
/// Returns `None` when the body breaks off, exceeds [`BODY_MAX_BYTES`] or is not complete at
/// `deadline`.
pub(crate) async fn read_whole(
    started: StartedAnswer,
    deadline: Instant,
) -> Option<(response::Parts, Bytes)> {
    let StartedAnswer {
        head,
        facts,
        mut body,
        connection,
        mut flight,
    } = started;
    flight.answer_begun();
    let mut bytes = BytesMut::new();
    let read = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.ok()?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if bytes.len() + data.len() > BODY_MAX_BYTES {
                return None;
            }
            bytes.extend_from_slice(&data);
        }
        Some(())
    };
    let whole = tokio::time::timeout_at(deadline.into(), read).await;
    whole.ok()??;
    flight.backend().pool.put(connection, facts.idle_timeout_ms);
    Some((head, bytes.freeze()))
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
