//! Admission control: the checks that a request passes before a backend server is chosen.

use super::{
    attempt::millis,
    message_heads::CallerRequest,
    rejection::Rejection,
    request_log::{Reason, RequestLog},
};
use crate::{
    budget::{
        KeeperAnswer, Reservation, ReserveError, TokenClaim, TokenRequest, TokenWait, is_spent,
        reserve_drawn, reserve_held,
    },
    placement::{LoadRequest, RefusalCause, RequestTimes},
    process::{BudgetKeeper, Gateway},
    quarantine::{Trial, request_parts},
    version::{Configuration, Route, Workspace},
};
use http::{StatusCode, request};
use hyper::body::Incoming;
use mallowpath::{BodyError, Buffer, BufferBudget, PartCheck, PartId, SegmentedBody, ServiceId};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Number of routers that a request asks for tokens before this router draws them itself.
const KEEPERS_TRIED_MAX: usize = 3;

/// The part of a route's latency objective, or of a caller's remaining time, that a request waits at most
/// until others return tokens, as a divisor.
///
/// The rest is for the backend server; a caller that waits longer is better off coming back.
const TOKEN_WAIT_DIVISOR: u64 = 8;

/// The share of a caller's remaining time after which it comes back at the latest, whatever
/// `Retry-After` says.
const RETRY_AFTER_SHARE_MAX: f64 = 0.32;

/// `Retry-After` when the router has not read a configuration yet.
const NO_CONFIGURATION_RETRY_AFTER_MS: u64 = 500;

/// Time before the caller's deadline at which the gateway answers by itself, so that its answer
/// arrives in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// Memory that a request occupies besides its body and the buffers of its connection: its head, the
/// connection to its backend server and the state of its attempts.
const REQUEST_BYTES: usize = 16 << 10;

/// The route, workspace and size limit of an admitted request.
#[derive(Debug)]
pub(super) struct AdmittedRequest {
    pub(super) route: Arc<Route>,
    pub(super) workspace: Option<Arc<Workspace>>,
    pub(super) body_max_bytes: u64,
}

/// Returns the route and the workspace of a request.
///
/// # Errors
///
/// Rejects a request without a route or, where the route needs a workspace, without a known API
/// key; and every request while the router has no configuration.
pub(super) fn admit(
    configuration: Option<&Configuration>,
    head: &request::Parts,
    caller_request: &CallerRequest,
) -> Result<AdmittedRequest, Rejection> {
    let Some(configuration) = configuration else {
        return Err(Rejection::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            Reason::NoConfiguration,
            NO_CONFIGURATION_RETRY_AFTER_MS,
        ));
    };
    let Some(route) = configuration.route(&caller_request.host, head.uri.path()) else {
        return Err(Rejection::new(StatusCode::NOT_FOUND, Reason::NoRoute));
    };
    let workspace = if route.public || !configuration.has_workspaces() {
        None
    } else {
        let key = caller_request.api_key.as_deref();
        let Some(workspace) = key.and_then(|key| configuration.workspace(key)) else {
            return Err(Rejection::new(StatusCode::UNAUTHORIZED, Reason::UnknownKey));
        };
        Some(Arc::clone(workspace))
    };
    Ok(AdmittedRequest {
        route: Arc::clone(route),
        workspace,
        body_max_bytes: configuration.limits.body_max_bytes,
    })
}

/// Returns the deadline of a request: the caller's or the route's timeout, whichever ends first,
/// less [`DEADLINE_MARGIN`].
pub(super) fn deadline(started: Instant, route: &Route, caller_request: &CallerRequest) -> Instant {
    let wait_ms = caller_request.deadline_ms.unwrap_or(route.timeout_ms);
    let wait = Duration::from_millis(wait_ms.min(route.timeout_ms));
    started + wait.saturating_sub(DEADLINE_MARGIN)
}

/// Returns the times on which the admission of a request under load depends.
pub(super) fn request_times(
    route: &Route,
    caller_request: &CallerRequest,
    deadline: Instant,
) -> RequestTimes {
    let wait_ms = caller_request.deadline_ms.unwrap_or(route.timeout_ms);
    RequestTimes {
        latency_objective_ms: route.latency_objective_ms,
        elapsed_ms: route.timeout_ms.saturating_sub(wait_ms),
        remaining_ms: millis(deadline.saturating_duration_since(Instant::now())),
    }
}

/// Rejects a request that is quarantined, or has a quarantined prompt part, and would end its backend
/// server.
///
/// Returns the trial if the request may try what is quarantined.
pub(super) fn admit_parts(
    gateway: &Arc<Gateway>,
    caller_request: &CallerRequest,
    request: PartId,
    log: &mut RequestLog,
) -> Result<Option<Trial>, Rejection> {
    let parts = request_parts(&caller_request.prompt, request);
    match gateway.quarantine.check(gateway, &parts) {
        PartCheck::Free => Ok(None),
        PartCheck::Trial => {
            log.set_detail("tries what is quarantined");
            Ok(Some(Trial::new(Arc::clone(gateway), parts)))
        }
        PartCheck::Blocked {
            part,
            retry_after_ms,
        } => {
            let kind = if part.is_request() {
                "request"
            } else {
                "prompt part"
            };
            log.set_detail(&format!("{kind} {part}"));
            Err(Rejection::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                Reason::Quarantined,
                retry_after_ms,
            ))
        }
    }
}

/// Rejects a request that might not end before a router that shuts down.
pub(super) fn admit_in_grace_period(
    gateway: &Gateway,
    route: &Route,
    deadline: Instant,
) -> Result<(), Rejection> {
    if gateway.grace_period.allows(route, deadline) {
        Ok(())
    } else {
        Err(Rejection::shutting_down())
    }
}

/// Rejects a request for which the unspent rest of its budget is known to be too small.
pub(super) fn admit_budget(
    gateway: &Gateway,
    workspace: Option<&Workspace>,
    claim: Option<TokenClaim>,
) -> Result<(), Rejection> {
    match token_request(workspace, claim) {
        Some(request) if is_spent(gateway.budgets.task(request.workspace), request) => {
            Err(budget_rejection(ReserveError::Spent, Duration::ZERO))
        }
        _ => Ok(()),
    }
}

/// Rejects a request that would be queued for too long at the backend servers.
pub(super) fn admit_load(
    gateway: &Gateway,
    service: &ServiceId,
    request: &LoadRequest<'_>,
    priority: u8,
    log: &mut RequestLog,
) -> Result<(), Rejection> {
    let Err(refusal) = gateway.backends.admit(service, request) else {
        return Ok(());
    };
    let wait = format!(
        "a wait of {} ms expected",
        refusal.overload.expected_wait_ms
    );
    log.set_detail(&match refusal.cause {
        RefusalCause::Wait => wait,
        RefusalCause::Priority => format!("{wait}, too long for priority {priority}"),
        RefusalCause::WorkspaceShare => format!("{wait}, and the workspace got its fair share"),
    });
    metrics::counter!(
        "gateway_overload_refusals_total",
        "cause" => refusal.cause.label(),
        "priority" => priority.to_string(),
    )
    .increment(1);
    let remaining = Duration::from_millis(request.times.remaining_ms);
    Err(Rejection::no_capacity(Reason::Overloaded, remaining))
}

/// Reads a complete body of at most `max_bytes` before `deadline` and the end of the service.
///
/// `buffer` accounts for the memory of the body, and for what the request occupies besides.
pub(super) async fn read_body(
    gateway: &Gateway,
    body: Incoming,
    max_bytes: u64,
    deadline: Instant,
    buffer: &Buffer,
) -> Result<SegmentedBody, Rejection> {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let max_bytes = max_bytes.min(body_memory_bytes(&gateway.buffers));
    let read = async {
        if buffer.grow(REQUEST_BYTES).await.is_err() {
            return Err(BodyError::NoMemory);
        }
        mallowpath::read_body(body, max_bytes, buffer).await
    };
    match gateway.grace_period.run_until(deadline, read).await {
        Some(Ok(body)) => {
            buffer.set_whole();
            Ok(body)
        }
        Some(Err(BodyError::TooLarge)) => Err(Rejection::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BodyTooLarge,
        )),
        Some(Err(BodyError::NoMemory)) => {
            let remaining = deadline.saturating_duration_since(Instant::now());
            Err(Rejection::no_capacity(Reason::MemoryShort, remaining))
        }
        Some(Err(BodyError::Interrupted(_))) => {
            Err(Rejection::new(StatusCode::BAD_REQUEST, Reason::BodyCutOff))
        }
        None => Err(Rejection::new(
            StatusCode::REQUEST_TIMEOUT,
            Reason::BodyCutOff,
        )),
    }
}

/// Returns the size of the largest body for which there is memory.
pub(crate) fn body_memory_bytes(buffers: &BufferBudget) -> usize {
    buffers.max_bytes().saturating_sub(REQUEST_BYTES)
}

/// Returns what a request wants of its workspace's budget; `None` if it declares no tokens.
pub(super) fn token_claim(
    route: &Route,
    workspace: Option<&Workspace>,
    caller_request: &CallerRequest,
    deadline: Instant,
) -> Option<TokenClaim> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let wait_max_ms = route.latency_objective_ms.min(millis(remaining)) / TOKEN_WAIT_DIVISOR;
    Some(TokenClaim {
        tokens: caller_request.tokens?.max_cost(),
        priority: route.priority(workspace),
        takes_up_stream: caller_request.takes_up_stream(),
        wait_max_ms,
    })
}

/// Reserves the maximum number of tokens that a request can cost, at the router that keeps the
/// budget or, if it does not answer, at one that replaces it.
///
/// Returns `None` for a request without a prepaid budget.
pub(super) async fn reserve(
    gateway: &Gateway,
    workspace: Option<&Workspace>,
    claim: Option<TokenClaim>,
    deadline: Instant,
    log: &mut RequestLog,
) -> Result<Option<Reservation>, Rejection> {
    let Some(request) = token_request(workspace, claim) else {
        return Ok(None);
    };
    let mut no_store = None;
    for keeper in gateway
        .directory
        .keepers(request.workspace, KEEPERS_TRIED_MAX)
    {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let (name, answer) = match &keeper {
            BudgetKeeper::Own => {
                let (result, wait) = reserve_here(gateway, request).await;
                ("this router", KeeperAnswer::new(result, wait))
            }
            BudgetKeeper::Peer(peer) => {
                let answer = gateway.keeper_client.reserve(peer, request, remaining);
                (&*peer.name, answer.await)
            }
        };
        let (error, wait) = match answer {
            KeeperAnswer::Reserved(reservation, wait) => {
                if let Some(wait) = wait {
                    log.set_detail(&format!("tokens of {name}{wait}"));
                }
                return Ok(Some(reservation));
            }
            KeeperAnswer::Failed(error, wait) => (error, wait.unwrap_or_default()),
            KeeperAnswer::Unavailable => continue,
        };
        if let Some(held_tokens) = error.held_tokens() {
            log.set_detail(&format!("{held_tokens} tokens held by {name}{wait}"));
        }
        match error {
            // Another router may reach the store.
            ReserveError::NoStore { .. } => no_store = Some(error),
            error => return Err(budget_rejection(error, remaining)),
        }
    }
    let remaining = deadline.saturating_duration_since(Instant::now());
    if let Some(error) = no_store {
        return Err(budget_rejection(error, remaining));
    }
    // No router that keeps the budget answers.
    match reserve_here(gateway, request).await.0 {
        Ok(reservation) => Ok(Some(reservation)),
        Err(error) => Err(budget_rejection(error, remaining)),
    }
}

/// Counts a request that got no tokens `elapsed_ms` after its caller first sent it.
pub(super) fn record_refusal(elapsed_ms: u64) {
    let came_back = elapsed_ms > 0;
    metrics::counter!("gateway_budget_refusals_total", "came_back" => came_back.to_string())
        .increment(1);
    if came_back {
        metrics::histogram!("gateway_budget_refused_again_seconds")
            .record(elapsed_ms as f64 / 1_000.0);
    }
}

/// Reserves tokens that this router holds, draws or gets back, perhaps after a wait.
async fn reserve_here(
    gateway: &Gateway,
    request: TokenRequest<'_>,
) -> (Result<Reservation, ReserveError>, Option<TokenWait>) {
    let draw_task = gateway.budgets.task(request.workspace);
    if let Ok(reservation) = reserve_held(draw_task, request) {
        return (Ok(reservation), None);
    }
    let prepaid = || gateway.prepaid(request.workspace);
    let outcome = reserve_drawn(draw_task, request, prepaid).await;
    (outcome.result, Some(outcome.wait))
}

/// Returns the tokens that a request needs; `None` if it has no prepaid budget.
fn token_request(
    workspace: Option<&Workspace>,
    claim: Option<TokenClaim>,
) -> Option<TokenRequest<'_>> {
    let workspace = workspace?;
    Some(TokenRequest {
        workspace: &workspace.id,
        prepaid: workspace.prepaid?,
        claim: claim?,
    })
}

/// Returns the rejection of a request whose caller has `remaining` time left.
fn budget_rejection(error: ReserveError, remaining: Duration) -> Rejection {
    match error.retry_after_ms() {
        Some(retry_after_ms) => {
            let retry_after_max_ms = millis(remaining.mul_f64(RETRY_AFTER_SHARE_MAX));
            Rejection::budget_short(retry_after_ms.min(retry_after_max_ms))
        }
        None => Rejection::new(StatusCode::PAYMENT_REQUIRED, Reason::BudgetSpent),
    }
}
