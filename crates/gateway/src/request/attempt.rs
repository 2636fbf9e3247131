//! One try of a request at one backend server.

use super::facts::{AnswerKind, BackendAnswer, BackendMarks};
use crate::{
    connection::{Sent, Upstream, open},
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

/// The largest body of an answer that is not a stream.
const BODY_MAX_BYTES: usize = 8 << 20;

/// What all tries of a request have in common.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Identifies the caller's attempt in answers.
    pub(crate) attempt: Option<Arc<str>>,
    pub(crate) workspace: Option<WorkspaceId>,
    /// When the caller and the route give the request up.
    pub(crate) deadline: Instant,
}

/// An answer that has started.
#[derive(Debug)]
pub(crate) struct StartedAnswer {
    pub(crate) head: response::Parts,
    pub(crate) facts: BackendAnswer,
    pub(crate) body: Incoming,
    pub(crate) upstream: Upstream,
    pub(crate) flight: InFlight,
}

impl StartedAnswer {
    /// Tells whether the answer is a stream of events that succeeded so far.
    pub(crate) fn is_stream(&self) -> bool {
        self.facts.kind == AnswerKind::Stream && self.head.status.is_success()
    }
}

/// How a try went.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The head of an answer to this request has come.
    StartedAnswer(Box<StartedAnswer>),
    /// The backend server was not reached; not a byte was sent.
    Unreached(String),
    /// It states that the request has not run.
    NotRun(StatusCode),
    /// No answer, or none to this request; it may have run.
    Lost(String),
}

/// What one try is about.
#[derive(Debug)]
pub(crate) struct Try {
    pub(crate) backend: Arc<Backend>,
    /// Prompt tokens that the backend server has to read.
    pub(crate) prefill_tokens: u64,
    /// The event to go on after.
    pub(crate) last_event: Option<u64>,
    /// When to stop waiting for the head of the answer.
    pub(crate) give_up: Instant,
}

/// Sends a request to a backend server and waits for the head of its answer.
pub(crate) async fn attempt(gateway: &Gateway, outgoing: &Outgoing, target: Try) -> Attempt {
    let Try {
        backend,
        prefill_tokens,
        last_event,
        give_up,
    } = target;
    let backend = &backend;
    let flight = backend.start(prefill_tokens);
    let mut may_reuse = true;
    let (sent, upstream) = loop {
        let mut upstream = match connection(backend, may_reuse).await {
            Ok(upstream) => upstream,
            Err(error) => return Attempt::Unreached(error),
        };
        let sending = upstream.send(request(gateway, outgoing, backend, last_event));
        let sent = tokio::time::timeout_at(give_up.into(), sending).await.ok();
        if !may_reuse || !matches!(sent, Some(Sent::Unsent(_))) {
            break (sent, upstream);
        }
        // A kept connection had ended; a new one shows whether the server is there.
        may_reuse = false;
    };
    match sent {
        None => Attempt::Lost("no answer in time".to_owned()),
        Some(Sent::Unsent(error)) => Attempt::Unreached(error.to_string()),
        Some(Sent::Broken(error)) => Attempt::Lost(error.to_string()),
        Some(Sent::Answered(response)) => judge(gateway, outgoing, response, upstream, flight),
    }
}

async fn connection(backend: &Backend, may_reuse: bool) -> Result<Upstream, String> {
    if may_reuse && let Some(upstream) = backend.pool.take() {
        return Ok(upstream);
    }
    metrics::counter!("gateway_backend_connections_total").increment(1);
    match open(backend.entry.address).await {
        Ok(upstream) => Ok(upstream),
        Err(error) => Err(format!("can't connect: {error}")),
    }
}

fn request(
    gateway: &Gateway,
    outgoing: &Outgoing,
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

/// Decides whether an answer is one to this request.
fn judge(
    gateway: &Gateway,
    outgoing: &Outgoing,
    response: Response<Incoming>,
    upstream: Upstream,
    flight: InFlight,
) -> Attempt {
    let (head, body) = response.into_parts();
    let facts = (gateway.head_codec.read_answer)(&head);
    let rejected = facts.not_run || head.status == StatusCode::MISDIRECTED_REQUEST;
    // A rejection may leave the identifier out, but a late one of another request bears its own.
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
        return Attempt::Lost("a body that is not the server's".to_owned());
    }
    Attempt::StartedAnswer(Box::new(StartedAnswer {
        head,
        facts,
        body,
        upstream,
        flight,
    }))
}

/// Reads the whole body of an answer and keeps its connection.
///
/// Returns `None` when the body did not come whole until `deadline`.
pub(crate) async fn read_whole(
    started: StartedAnswer,
    deadline: Instant,
) -> Option<(response::Parts, Bytes)> {
    let StartedAnswer {
        head,
        facts,
        mut body,
        upstream,
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
    flight.backend().pool.put(upstream, facts.idle_timeout_ms);
    Some((head, bytes.freeze()))
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
