//! Takes a caller's request in and passes it on to a backend server.

use super::{
    admit::{admit, admit_budget, admit_load, deadline, read_body, request_times, reserve},
    answer::AnswerBody,
    attempt::Outgoing,
    facts::{CallerRequest, TokenCount},
    headers::strip_connection_headers,
    outcome::{Reason, RequestLog},
    refused::Refused,
    tries::Tries,
};
use crate::{process::Gateway, version::Workspace};
use bytes::Bytes;
use http::{Request, Response, header, request};
use hyper::body::Incoming;
use std::{sync::Arc, time::Instant};

/// Answers a caller's request.
pub(crate) async fn forward(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let mut log = RequestLog::new(Instant::now());
    match try_forward(gateway, request, &mut log).await {
        Ok((tries, reservation)) => tries.run(log, reservation).await,
        Err(refused) => refused.answer(&mut log),
    }
}

/// Takes a request in, up to the choice of a backend server.
async fn try_forward(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    log: &mut RequestLog,
) -> Result<(Tries, Option<crate::budget::Reservation>), Refused> {
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
        return Err(Refused::busy(Reason::NoBackend));
    };
    // A refusal that is final goes before one that has the caller come back, and a request that can't
    // be paid for raises no measured demand.
    admit_budget(&gateway, workspace.as_deref(), facts.tokens)?;
    let times = request_times(&route, &facts, deadline);
    admit_load(&gateway, &service, times, log)?;
    let reservation = reserve(&gateway, workspace.as_deref(), facts.tokens, log).await?;
    gateway.count_request(&service);
    let outgoing = outgoing(head, body, &facts, workspace.as_deref(), deadline);
    let tries = Tries::new(gateway, route, service, facts, outgoing);
    Ok((tries, reservation))
}

fn outgoing(
    head: request::Parts,
    body: Bytes,
    facts: &CallerRequest,
    workspace: Option<&Workspace>,
    deadline: Instant,
) -> Outgoing {
    let mut headers = head.headers;
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    Outgoing {
        method: head.method,
        uri: head.uri,
        headers,
        body,
        attempt: facts.attempt.clone(),
        workspace: workspace.map(|workspace| workspace.id.clone()),
        deadline,
    }
}
