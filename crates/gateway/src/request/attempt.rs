//! One attempt to send a request to a backend server.

use super::{
    answer_owner::{AnswerOwner, is_rejection},
    message_heads::{AnswerKind, BackendAnswer, BackendRequestHead, Urgency},
    retry_after::requested_pause,
};
use crate::{
    connection::{BackendConnection, SendOutcome, connect},
    placement::{Backend, InFlight},
    process::Gateway,
};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use mallowpath::{
    Buffer, FrameBody, PartId, RateLimitNotice, SegmentedBody, Segments, WorkspaceId, is_framed,
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Size limit of an answer's body that is not a stream.
const BODY_MAX_BYTES: usize = 8 << 20;

/// The longest pause for which an answer counts that may be a copy of an earlier one.
const UNPROVEN_PAUSE_MAX: Duration = Duration::from_secs(1);

/// The parts of a request that are the same in all attempts.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    /// Identifies the request, and equal ones of the same caller.
    pub(crate) id: PartId,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: SegmentedBody,
    /// The caller's identifier of its attempt; an answer has to contain the same one.
    pub(crate) attempt_id: Option<Arc<str>>,
    pub(crate) workspace: Option<WorkspaceId>,
    /// How urgent the request is; `None` if that isn't stated or all requests of the service are equally
    /// urgent.
    pub(crate) urgency: Option<Urgency>,
    /// Time at which the caller or the route gives up the request.
    pub(crate) deadline: Instant,
}

/// An answer whose head was received and whose body was not read yet.
#[derive(Debug)]
pub(crate) struct StartedAnswer {
    pub(crate) head: response::Parts,
    /// The data read from `head`.
    pub(crate) backend_answer: BackendAnswer,
    pub(crate) body: Incoming,
    pub(crate) connection: BackendConnection,
    pub(crate) in_flight: InFlight,
}

impl StartedAnswer {
    /// Returns whether the answer is a stream of events with a success status.
    pub(crate) fn is_stream(&self) -> bool {
        self.backend_answer.kind == AnswerKind::Stream && self.head.status.is_success()
    }

    /// Returns whether the end of the body shows in the answer itself.
    pub(crate) fn is_framed(&self) -> bool {
        is_framed(&self.head.headers, &self.body)
    }
}

/// A complete answer, and the account of its memory.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    pub(crate) head: response::Parts,
    pub(crate) body: SegmentedBody,
    pub(crate) buffer: Buffer,
}

/// The outcome of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The head of an answer to this request was received.
    StartedAnswer(Box<StartedAnswer>),
    /// The backend server was not reached; no byte of the request was sent.
    Unreached(String),
    /// The backend server states that the request has not run.
    NotRun(StatusCode),
    /// A rejection was received that may be a copy of one of an earlier request; this one may have run.
    UnprovenRejection(StatusCode),
    /// The connection failed before the head of an answer; the request may have run.
    BrokenOff(String),
    /// No valid answer to this request was received; the request may have run.
    NoValidAnswer(String),
}

/// The parameters of one attempt.
#[derive(Debug)]
pub(crate) struct AttemptTarget {
    pub(crate) backend: Arc<Backend>,
    /// The number of prompt tokens that the backend server has to process.
    pub(crate) prefill_tokens: u64,
    /// The identifier of the event after which the backend server resumes the answer.
    pub(crate) last_event_id: Option<u64>,
    /// Time until which the attempt waits for the head of the answer.
    pub(crate) give_up_at: Instant,
}

/// Sends a request to a backend server and waits for the head of its answer.
pub(crate) async fn send_attempt(
    gateway: &Gateway,
    outgoing_request: &OutgoingRequest,
    target: AttemptTarget,
) -> AttemptOutcome {
    let AttemptTarget {
        backend,
        prefill_tokens,
        last_event_id,
        give_up_at,
    } = target;
    let backend = &backend;
    let in_flight = backend.start_request(prefill_tokens);
    let mut may_reuse = may_reuse_connection(gateway, outgoing_request, backend);
    let (sent, connection) = loop {
        let mut connection = match acquire_connection(gateway, backend, may_reuse).await {
            Ok(connection) => connection,
            Err(error) => return AttemptOutcome::Unreached(error),
        };
        let sending = connection.send(build_request(
            gateway,
            outgoing_request,
            backend,
            last_event_id,
        ));
        let sent = gateway.grace_period.run_until(give_up_at, sending).await;
        if !may_reuse || !matches!(sent, Some(SendOutcome::Unsent(_))) {
            break (sent, connection);
        }
        // The connection, usually a pooled one, was closed before the request was sent. A new
        // connection shows whether the backend server is reachable.
        may_reuse = false;
    };
    match sent {
        None => AttemptOutcome::NoValidAnswer("no answer in time".to_owned()),
        Some(SendOutcome::Unsent(error)) => AttemptOutcome::Unreached(error.to_string()),
        Some(SendOutcome::Broken(error)) => AttemptOutcome::BrokenOff(error.to_string()),
        Some(SendOutcome::Answered(response)) => {
            classify_answer(gateway, outgoing_request, response, connection, in_flight)
        }
    }
}

/// Returns whether a request may be sent on a connection that carried others.
///
/// It may not if no answer could be told from a copy of an earlier one: the request has no identifier, or
/// the backend server is expected to leave it out of a rejection.
fn may_reuse_connection(
    gateway: &Gateway,
    outgoing_request: &OutgoingRequest,
    backend: &Backend,
) -> bool {
    let rejections = &backend.unidentified_rejections;
    outgoing_request.attempt_id.is_some() && !rejections.are_expected(gateway.now_ms())
}

/// Returns a pooled connection if `may_reuse` is set and there is one; opens a new one otherwise.
///
/// The new one replaces a pooled one, so that the number of open connections stays the same.
async fn acquire_connection(
    gateway: &Gateway,
    backend: &Backend,
    may_reuse: bool,
) -> Result<BackendConnection, String> {
    let pooled = backend.pool.take();
    if may_reuse && let Some(connection) = pooled {
        return Ok(connection);
    }
    metrics::counter!("gateway_backend_connections_total").increment(1);
    match connect(backend.entry.address, gateway.host_load.link_meter()).await {
        Ok(connection) => Ok(connection),
        Err(error) => Err(format!("can't connect: {error}")),
    }
}

/// Builds the request for `backend`, with the headers that only the gateway may set.
fn build_request(
    gateway: &Gateway,
    outgoing_request: &OutgoingRequest,
    backend: &Backend,
    last_event_id: Option<u64>,
) -> Request<SegmentedBody> {
    let remaining = outgoing_request
        .deadline
        .saturating_duration_since(Instant::now());
    let request_head = BackendRequestHead {
        backend: &backend.entry.id,
        workspace: outgoing_request.workspace.as_ref(),
        deadline_ms: millis(remaining).max(1),
        last_event_id,
        urgency: urgency(outgoing_request, backend, last_event_id),
    };
    let mut request = Request::new(outgoing_request.body.clone());
    *request.method_mut() = outgoing_request.method.clone();
    *request.uri_mut() = outgoing_request.uri.clone();
    *request.headers_mut() = outgoing_request.headers.clone();
    (gateway.head_codec.write_request_head)(request.headers_mut(), &request_head);
    request
}

/// Returns the urgency to state in a request to `backend`.
///
/// A stream that goes on elsewhere is urgent: its caller holds a part of the answer and sees the pause.
fn urgency(
    outgoing_request: &OutgoingRequest,
    backend: &Backend,
    last_event_id: Option<u64>,
) -> Option<Urgency> {
    let urgency = outgoing_request
        .urgency
        .filter(|_| backend.entry.runs_model)?;
    if last_event_id.is_some() {
        return Some(Urgency::Raised);
    }
    Some(urgency)
}

/// Classifies an answer by whether it belongs to this request, is a rejection or is invalid.
fn classify_answer(
    gateway: &Gateway,
    outgoing_request: &OutgoingRequest,
    response: Response<Incoming>,
    connection: BackendConnection,
    in_flight: InFlight,
) -> AttemptOutcome {
    let (head, body) = response.into_parts();
    let backend_answer = (gateway.head_codec.read_answer_head)(&head);
    let is_rejected = is_rejection(&backend_answer, head.status);
    let backend = in_flight.backend();
    let lacks_id = outgoing_request.attempt_id.is_some() && backend_answer.attempt_id.is_none();
    if is_rejected && lacks_id {
        backend.unidentified_rejections.record(gateway.now_ms());
    }
    let owner = AnswerOwner::of(
        &backend_answer,
        head.status,
        outgoing_request.attempt_id.as_deref(),
        connection.is_first_request(),
    );
    match owner {
        AnswerOwner::ThisRequest => {}
        AnswerOwner::Unknown if is_rejected => {
            record_pause(gateway, backend, &head, UNPROVEN_PAUSE_MAX);
            metrics::counter!("gateway_unproven_rejections_total").increment(1);
            return AttemptOutcome::UnprovenRejection(head.status);
        }
        AnswerOwner::AnotherRequest | AnswerOwner::Unknown => {
            return AttemptOutcome::NoValidAnswer("an answer to another request".to_owned());
        }
    }
    record_availability(gateway, backend, &head, &backend_answer);
    record_rate_limit(gateway, &in_flight, &backend_answer);
    if is_rejected {
        return AttemptOutcome::NotRun(head.status);
    }
    if head.status.is_success() && !backend_answer.is_signed {
        return AttemptOutcome::NoValidAnswer("a success without a signature".to_owned());
    }
    if backend_answer.kind == AnswerKind::Unexpected {
        return AttemptOutcome::NoValidAnswer(
            "a body of a kind that no backend server sends".to_owned(),
        );
    }
    AttemptOutcome::StartedAnswer(Box::new(StartedAnswer {
        head,
        backend_answer,
        body,
        connection,
        in_flight,
    }))
}

/// Records what an answer states about further requests to the backend server.
fn record_availability(
    gateway: &Gateway,
    backend: &Backend,
    head: &response::Parts,
    backend_answer: &BackendAnswer,
) {
    let id = &backend.entry.id;
    let availability = &backend.availability;
    if backend_answer.is_leaving && availability.set_leaving() {
        log::info!(target: "backend", "{id} states that it is shutting down; no new requests");
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        // Another incarnation has taken over the address.
        availability.set_draining(true);
    }
    record_pause(gateway, backend, head, Duration::MAX);
}

/// Records the pause that an answer asks for, or the first part of it up to `limit`.
fn record_pause(gateway: &Gateway, backend: &Backend, head: &response::Parts, limit: Duration) {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let id = &backend.entry.id;
    if let Some(pause) = requested_pause(&head.headers, id.as_str()) {
        let pause_ms = millis(pause.min(limit));
        let until_ms = gateway.now_ms().saturating_add(pause_ms);
        backend.availability.pause_until(until_ms);
        log::info!(
            target: "backend",
            "{id} asks for a pause of {} ms, pausing for {pause_ms} ms", millis(pause),
        );
    }
}

/// Records the limit on requests that an answer states, or that it states none.
fn record_rate_limit(gateway: &Gateway, in_flight: &InFlight, backend_answer: &BackendAnswer) {
    let backend = in_flight.backend();
    let rate_per_s = backend_answer.rate_limit_per_s;
    let now_ms = gateway.now_ms();
    let sent_at_ms = now_ms.saturating_sub(millis(in_flight.elapsed()));
    if !backend.with_rate_limit(|limit| limit.record(rate_per_s, sent_at_ms, now_ms)) {
        return;
    }
    let id = &backend.entry.id;
    match rate_per_s {
        Some(rate_per_s) => {
            log::info!(target: "backend", "{id} takes {rate_per_s} requests a second");
        }
        None => log::info!(target: "backend", "{id} no longer limits its requests"),
    }
    // The routers that have no share of the limit hardly hear of its end otherwise.
    let notice = RateLimitNotice {
        backend: id.to_string(),
        rate_per_s,
    };
    gateway
        .keeper_client
        .broadcast(&FrameBody::RateLimitNotice(notice));
}

/// Reads the whole body of an answer and returns its connection to the pool.
///
/// Waits for memory in `buffer` if there is none. Returns `None` when the body breaks off, exceeds
/// [`BODY_MAX_BYTES`] or is not complete at `deadline` or the end of the service, and for a success of
/// which only the end of the connection says that it has no body.
pub(crate) async fn read_whole(
    gateway: &Gateway,
    started: StartedAnswer,
    deadline: Instant,
    buffer: Buffer,
) -> Option<WholeAnswer> {
    let is_framed = started.is_framed();
    let StartedAnswer {
        head,
        backend_answer,
        body,
        connection,
        mut in_flight,
    } = started;
    in_flight.record_answer_start();
    let read = read_segments(body, &buffer);
    let body = gateway.grace_period.run_until(deadline, read).await??;
    if body.is_empty() && !is_framed && head.status.is_success() {
        return None;
    }
    in_flight
        .backend()
        .pool
        .put(connection, backend_answer.idle_timeout_ms);
    Some(WholeAnswer { head, body, buffer })
}

/// Reads the body of an answer; returns `None` when it breaks off or is too large.
async fn read_segments(mut body: Incoming, buffer: &Buffer) -> Option<SegmentedBody> {
    let announced_bytes = body.size_hint().exact();
    let announced_bytes = announced_bytes.and_then(|bytes| usize::try_from(bytes).ok());
    let mut segments = Segments::new(announced_bytes);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if segments.len() + data.len() > BODY_MAX_BYTES {
            return None;
        }
        segments.push_when_released(data, buffer).await;
    }
    Some(segments.finish())
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
