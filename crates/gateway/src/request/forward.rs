//! Admits a caller's request and forwards it to a backend server.

use super::{
    admission::{
        admit, admit_budget, admit_in_grace_period, admit_load, admit_parts, deadline, read_body,
        record_refusal, request_times, reserve, token_claim,
    },
    answer::AnswerBody,
    attempt::OutgoingRequest,
    attempts::{RequestAttempts, RequestMemory},
    destination::choose_destination,
    headers::strip_connection_headers,
    message_heads::{CallerRequest, TokenCount, Urgency},
    rejection::Rejection,
    request_log::RequestLog,
};
use crate::{placement::LoadRequest, process::Gateway, quarantine::request_id, version::Workspace};
use http::{Request, Response, header, request};
use hyper::body::Incoming;
use mallowpath::{BufferKind, CallerId, ConnectionSlot, PartId, SegmentedBody, WorkspaceId};
use std::{net::IpAddr, sync::Arc, time::Instant};

/// The connection on which a request came.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    /// The address of the caller, or of a load balancer in front of it.
    pub(crate) peer: IpAddr,
    pub(crate) slot: Arc<ConnectionSlot>,
}

/// Forwards a caller's request and returns the answer.
pub(crate) async fn forward(
    gateway: Arc<Gateway>,
    caller: CallerConnection,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let mut log = RequestLog::new(Instant::now());
    match prepare(gateway, caller, request, &mut log).await {
        Ok((attempts, reservation)) => attempts.run(log, reservation).await,
        Err(rejection) => rejection.into_response(&mut log),
    }
}

/// Admits a request and prepares the attempts at backend servers.
async fn prepare(
    gateway: Arc<Gateway>,
    CallerConnection { peer, slot }: CallerConnection,
    request: Request<Incoming>,
    log: &mut RequestLog,
) -> Result<(RequestAttempts, Option<crate::budget::Reservation>), Rejection> {
    let started = Instant::now();
    let (head, body) = request.into_parts();
    let caller_request = (gateway.head_codec.read_request_head)(&head);
    gateway.wait_until_loaded().await;
    let configuration = gateway.configuration();
    let version = configuration
        .as_ref()
        .map_or(0, |configuration| configuration.version);
    log.set_request(&caller_request, version, gateway.state_ages());
    let admitted = admit(configuration.as_deref(), &head, &caller_request)?;
    let route = admitted.route;
    let workspace = admitted.workspace;
    log.set_route(&route.name);
    if let Some(workspace) = &workspace {
        log.set_workspace(
            &workspace.id,
            caller_request.tokens.map_or(0, TokenCount::max_cost),
        );
    }
    let deadline = deadline(started, &route, &caller_request);
    let caller = caller_id(workspace.as_deref(), peer);
    let buffer = gateway.buffers.open(caller, BufferKind::Arriving);
    let body_max_bytes = admitted.body_max_bytes;
    let body = read_body(&gateway, body, body_max_bytes, deadline, &buffer).await?;
    let memory = RequestMemory::new(buffer, slot);
    admit_in_grace_period(&gateway, &route, deadline)?;
    let workspace_id = workspace.as_ref().map(|workspace| &workspace.id);
    let id = request_id(&head, &caller_request, workspace_id, &body);
    log.set_content(id);
    let trial = admit_parts(&gateway, &caller_request, id, log)?;
    // The budget is checked first. The rejection for a spent budget is final and takes precedence
    // over one with `Retry-After`, and a request that its budget does not cover must not add to the
    // measured demand.
    let claim = token_claim(&route, workspace.as_deref(), &caller_request, deadline);
    admit_budget(&gateway, workspace.as_deref(), claim)?;
    let destination = choose_destination(
        &gateway,
        &route,
        head.uri.path(),
        &caller_request,
        workspace_id,
        deadline,
        log,
    )
    .await?;
    let priority = route.priority(workspace.as_deref());
    let rank = configuration.and_then(|configuration| {
        let service = &destination.service;
        configuration.rank(service, priority)
    });
    // A stream that is taken up is not refused for load: its caller has a part of the answer, which a
    // new request would have to generate again.
    let times = request_times(&route, &caller_request, deadline);
    if !caller_request.takes_up_stream() {
        let load_request = LoadRequest {
            times,
            rank,
            workspace: workspace_id,
            tokens: caller_request.tokens.map(TokenCount::max_cost),
        };
        let service = &destination.service;
        admit_load(&gateway, service, &load_request, priority, log)?;
    }
    let reservation = reserve(&gateway, workspace.as_deref(), claim, deadline, log)
        .await
        .inspect_err(|_| record_refusal(times.elapsed_ms))?;
    gateway.count_request(&destination.service);
    let mut outgoing_request =
        build_outgoing_request(id, head, body, &caller_request, workspace_id, deadline);
    let stated_rank = rank.filter(|_| gateway.settings.state_urgency);
    outgoing_request.urgency = stated_rank.map(|rank| {
        if caller_request.takes_up_stream() {
            Urgency::Raised
        } else {
            rank.urgency()
        }
    });
    let attempts = RequestAttempts::new(
        gateway,
        route,
        destination,
        caller_request,
        outgoing_request,
        trial,
        memory,
    );
    Ok((attempts, reservation))
}

/// Returns who holds the memory of a request: its workspace, or the host that sent it.
fn caller_id(workspace: Option<&Workspace>, peer: IpAddr) -> CallerId {
    match workspace {
        Some(workspace) => CallerId::of(workspace.id.as_str().as_bytes()),
        None => CallerId::of(peer.to_string().as_bytes()),
    }
}

/// Returns the request to send, without hop-by-hop headers.
fn build_outgoing_request(
    id: PartId,
    head: request::Parts,
    body: SegmentedBody,
    caller_request: &CallerRequest,
    workspace: Option<&WorkspaceId>,
    deadline: Instant,
) -> OutgoingRequest {
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    OutgoingRequest {
        id,
        method: head.method,
        uri: head.uri,
        headers,
        body,
        attempt_id: caller_request.attempt_id.clone(),
        workspace: workspace.cloned(),
        urgency: None,
        deadline,
    }
}
