//! Admits a caller's request and forwards it to a backend server.

use super::{
    admission::{admit, admit_budget, admit_load, deadline, read_body, request_times, reserve},
    answer::AnswerBody,
    attempt::OutgoingRequest,
    attempts::RequestAttempts,
    facts::{CallerRequest, TokenCount},
    headers::strip_connection_headers,
    outcome::{Reason, RequestLog},
    rejection::Rejection,
};
use crate::{process::Gateway, version::Workspace};
use bytes::Bytes;
use http::{Request, Response, header, request};
use hyper::body::Incoming;
use std::{sync::Arc, time::Instant};

/// Forwards a caller's request and returns the answer.
pub(crate) async fn forward(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let mut log = RequestLog::new(Instant::now());
    match prepare(gateway, request, &mut log).await {
        Ok((attempts, reservation)) => attempts.run(log, reservation).await,
        Err(rejection) => rejection.into_response(&mut log),
    }
}

/// Admits a request and prepares the attempts at backend servers.
async fn prepare(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    log: &mut RequestLog,
) -> Result<(RequestAttempts, Option<crate::budget::Reservation>), Rejection> {
    let started = Instant::now();
    let (head, body) = request.into_parts();
    let facts = (gateway.head_codec.read_request)(&head);
    let catalogue = gateway.catalogue();
    let version = catalogue.as_ref().map_or(0, |catalogue| catalogue.version);
    log.set_request(facts.attempt.as_ref(), version, gateway.ages());
    let admitted = admit(catalogue.as_deref(), &head, &facts)?;
    let route = admitted.route;
    let workspace = admitted.workspace;
    log.set_route(&route.name);
    if let Some(workspace) = &workspace {
        log.set_workspace(&workspace.id, facts.tokens.map_or(0, TokenCount::max));
    }
    let deadline = deadline(started, &route, &facts);
    let body = read_body(body, admitted.body_max_bytes, deadline).await?;
    let Some(service) = route.target(rand::random()).cloned() else {
        return Err(Rejection::no_capacity(Reason::NoBackend));
    };
    // The budget is checked first. The rejection for a spent budget is final and takes precedence
    // over one with `Retry-After`, and a request that its budget does not cover must not add to the
    // measured demand.
    admit_budget(&gateway, workspace.as_deref(), facts.tokens)?;
    let times = request_times(&route, &facts, deadline);
    admit_load(&gateway, &service, times, log)?;
    let reservation = reserve(&gateway, workspace.as_deref(), facts.tokens, log).await?;
    gateway.count_request(&service);
    let outgoing_request =
        build_outgoing_request(head, body, &facts, workspace.as_deref(), deadline);
    let attempts = RequestAttempts::new(gateway, route, service, facts, outgoing_request);
    Ok((attempts, reservation))
}

/// Returns the request to send, without hop-by-hop headers.
fn build_outgoing_request(
    head: request::Parts,
    body: Bytes,
    facts: &CallerRequest,
    workspace: Option<&Workspace>,
    deadline: Instant,
) -> OutgoingRequest {
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    OutgoingRequest {
        method: head.method,
        uri: head.uri,
        headers,
        body,
        attempt: facts.attempt.clone(),
        workspace: workspace.map(|workspace| workspace.id.clone()),
        deadline,
    }
}
