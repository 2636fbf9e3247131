//! Admission control: the checks that a request passes before a backend server is chosen.

use super::{
    attempt::millis,
    message_heads::{CallerRequest, TokenCount},
    rejection::Rejection,
    request_log::{Reason, RequestLog},
};
use crate::{
    budget::{Reservation, TokenWaiter},
    placement::RequestTimes,
    process::Gateway,
    version::{Configuration, Route, Workspace},
};
use bytes::Bytes;
use http::{StatusCode, request};
use hyper::body::Incoming;
use mallowpath::{BodyError, ServiceId};
use std::{
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
};

/// Maximum time for which a request waits until the router has drawn tokens of its budget.
const DRAW_WAIT_MAX: Duration = Duration::from_millis(400);

/// `Retry-After` when other routers hold the tokens of the budget.
const BUDGET_RETRY_AFTER_MS: u64 = 400;

/// `Retry-After` when no tokens can be drawn because the store is unreachable.
const STORE_OUTAGE_RETRY_AFTER_MS: u64 = 1_500;

/// `Retry-After` when the router has not read a configuration yet.
const NO_CONFIGURATION_RETRY_AFTER_MS: u64 = 500;

/// Range from which the `Retry-After` of an overload rejection is drawn, as a share of the caller's
/// remaining time.
///
/// A caller waits for at most a third of that time. The length of a burst is unknown, so the delay
/// is nearly as long as that allows, and random, so that retries are spread.
const OVERLOAD_RETRY_AFTER_SHARES: Range<f64> = 0.16..0.32;

/// Time before the caller's deadline at which the gateway answers by itself, so that its answer
/// arrives in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

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

/// Rejects a request for which the unspent rest of its budget is too small.
pub(super) fn admit_budget(
    gateway: &Gateway,
    workspace: Option<&Workspace>,
    tokens: Option<TokenCount>,
) -> Result<(), Rejection> {
    let (Some(workspace), Some(tokens)) = (workspace, tokens) else {
        return Ok(());
    };
    let Some(prepaid) = workspace.prepaid else {
        return Ok(());
    };
    if gateway.is_budget_spent(&workspace.id, prepaid, tokens.max_cost()) {
        return Err(Rejection::new(
            StatusCode::PAYMENT_REQUIRED,
            Reason::BudgetSpent,
        ));
    }
    Ok(())
}

/// Rejects a request that would be queued for too long at the backend servers.
pub(super) fn admit_load(
    gateway: &Gateway,
    service: &ServiceId,
    times: RequestTimes,
    log: &mut RequestLog,
) -> Result<(), Rejection> {
    let Err(overload) = gateway.backends.admit(service, times) else {
        return Ok(());
    };
    log.set_detail(&format!(
        "a wait of {} ms expected",
        overload.expected_wait_ms
    ));
    let share = rand::random_range(OVERLOAD_RETRY_AFTER_SHARES);
    let retry = Duration::from_millis(times.remaining_ms).mul_f64(share);
    Err(Rejection::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        Reason::Overloaded,
        millis(retry),
    ))
}

/// Reads a complete body of at most `max_bytes` before `deadline`.
pub(super) async fn read_body(
    body: Incoming,
    max_bytes: u64,
    deadline: Instant,
) -> Result<Bytes, Rejection> {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    match tokio::time::timeout_at(deadline.into(), mallowpath::read_body(body, max_bytes)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(Rejection::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BodyTooLarge,
        )),
        Ok(Err(BodyError::Interrupted(_))) => {
            Err(Rejection::new(StatusCode::BAD_REQUEST, Reason::BodyCutOff))
        }
        Err(_) => Err(Rejection::new(
            StatusCode::REQUEST_TIMEOUT,
            Reason::BodyCutOff,
        )),
    }
}

/// Reserves the maximum number of tokens that a request can cost.
///
/// Waits up to [`DRAW_WAIT_MAX`] for a draw if the router holds too few tokens. Returns `None` for
/// a request without a prepaid budget.
pub(super) async fn reserve(
    gateway: &Gateway,
    workspace: Option<&Workspace>,
    tokens: Option<TokenCount>,
    log: &mut RequestLog,
) -> Result<Option<Reservation>, Rejection> {
    let (Some(workspace), Some(tokens)) = (workspace, tokens) else {
        return Ok(None);
    };
    let Some(prepaid) = workspace.prepaid else {
        return Ok(None);
    };
    let started = Instant::now();
    let until = started + DRAW_WAIT_MAX;
    // Counted once, outside the loop: a waiting request tries again after each draw but needs its
    // tokens only once.
    gateway
        .local_budgets
        .count_demand(&workspace.id, tokens.max_cost(), started);
    let mut waiter: Option<TokenWaiter> = None;
    loop {
        let refilled = gateway.local_budgets.refill_notification();
        tokio::pin!(refilled);
        // Enabled before the reservation is tried, so that tokens drawn between its failure and the
        // wait end the wait.
        refilled.as_mut().enable();
        let now = Instant::now();
        let reserved = match &waiter {
            Some(waiter) => waiter.reserve(now),
            None => gateway
                .local_budgets
                .reserve(&workspace.id, tokens.max_cost(), now),
        };
        let available = match reserved {
            Ok(reservation) => return Ok(Some(reservation)),
            Err(error) => {
                log.set_detail(&format!("{} tokens held", error.available));
                error.available
            }
        };
        let waiter = waiter.get_or_insert_with(|| {
            let local_budgets = &gateway.local_budgets;
            local_budgets.register_waiter(&workspace.id, tokens.max_cost())
        });
        let rejection = match admit_wait(gateway, workspace, prepaid, tokens, available) {
            Ok(()) => {
                let waited = tokio::time::timeout_at(until.into(), refilled).await;
                waited
                    .is_err()
                    .then(|| Rejection::budget_short(BUDGET_RETRY_AFTER_MS))
            }
            Err(rejection) => Some(rejection),
        };
        let Some(rejection) = rejection else {
            continue;
        };
        // Not enough tokens for all waiting requests can be drawn in time. This request may
        // therefore use tokens that were kept for the others, if the router holds enough.
        return match waiter.reserve(Instant::now()) {
            Ok(reservation) => Ok(Some(reservation)),
            Err(_) => Err(rejection),
        };
    }
}

/// Rejects a request whose tokens can't be drawn within [`DRAW_WAIT_MAX`].
fn admit_wait(
    gateway: &Gateway,
    workspace: &Workspace,
    prepaid: u64,
    tokens: TokenCount,
    available: u64,
) -> Result<(), Rejection> {
    // Other requests may have spent the rest of the budget since this one was admitted.
    admit_budget(gateway, Some(workspace), Some(tokens))?;
    let undrawn = gateway.draw_task.ledger().undrawn(&workspace.id, prepaid);
    if undrawn.is_some_and(|undrawn| available.saturating_add(undrawn) < tokens.max_cost()) {
        return Err(Rejection::budget_short(BUDGET_RETRY_AFTER_MS));
    }
    match gateway.draw_task.expected_wait() {
        None => Err(Rejection::budget_short(STORE_OUTAGE_RETRY_AFTER_MS)),
        Some(wait) if wait > DRAW_WAIT_MAX => Err(Rejection::budget_short(
            BUDGET_RETRY_AFTER_MS + millis(wait),
        )),
        Some(_) => Ok(()),
    }
}
