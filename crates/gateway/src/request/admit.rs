//! What a request has to pass before a backend server is chosen for it.

use super::{
    attempt::millis,
    facts::{CallerRequest, TokenCount},
    outcome::{Reason, RequestLog},
    refused::Refused,
};
use crate::{
    budget::{Reservation, Waiting},
    placement::RequestTimes,
    process::Gateway,
    version::{Catalogue, Route, Workspace},
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

/// How long a request waits for tokens of its budget that are being drawn.
const DRAW_WAIT: Duration = Duration::from_millis(400);

/// When a caller comes back for tokens of its budget that other routers hold.
const BUDGET_RETRY_MS: u64 = 400;

/// When a caller comes back for tokens of its budget while the store can't be reached.
const OUTAGE_RETRY_MS: u64 = 1_500;

/// When a caller comes back to a router that knows no configuration yet.
const START_RETRY_MS: u64 = 500;

/// The parts of the time left to a caller between which it is told to come back after overload; it
/// waits for a third at most. As late as it can, and spread, as nobody knows how long a burst lasts.
const OVERLOAD_RETRY_SHARES: Range<f64> = 0.16..0.32;

/// How long before the deadline of a request the gateway answers itself.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// The route and workspace of a request.
#[derive(Debug)]
pub(super) struct Admitted {
    pub(super) route: Arc<Route>,
    pub(super) workspace: Option<Arc<Workspace>>,
    pub(super) body_max_bytes: u64,
}

/// Finds the route and the workspace of a request.
pub(super) fn admit(
    catalogue: Option<&Catalogue>,
    head: &request::Parts,
    facts: &CallerRequest,
) -> Result<Admitted, Refused> {
    let Some(catalogue) = catalogue else {
        return Err(Refused::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            Reason::NoConfiguration,
            START_RETRY_MS,
        ));
    };
    let Some(route) = catalogue.route(&facts.host, head.uri.path()) else {
        return Err(Refused::new(StatusCode::NOT_FOUND, Reason::NoRoute));
    };
    let workspace = if route.public || !catalogue.has_workspaces() {
        None
    } else {
        let key = facts.api_key.as_deref();
        let Some(workspace) = key.and_then(|key| catalogue.workspace(key)) else {
            return Err(Refused::new(StatusCode::UNAUTHORIZED, Reason::UnknownKey));
        };
        Some(Arc::clone(workspace))
    };
    Ok(Admitted {
        route: Arc::clone(route),
        workspace,
        body_max_bytes: catalogue.limits.body_max_bytes,
    })
}

/// Returns when the caller or the route gives a request up, whichever is first.
pub(super) fn deadline(started: Instant, route: &Route, facts: &CallerRequest) -> Instant {
    let wait_ms = facts.deadline_ms.unwrap_or(route.timeout_ms);
    let wait = Duration::from_millis(wait_ms.min(route.timeout_ms));
    started + wait.saturating_sub(DEADLINE_MARGIN)
}

/// Returns the times that decide whether a request is worth taking.
pub(super) fn request_times(
    route: &Route,
    facts: &CallerRequest,
    deadline: Instant,
) -> RequestTimes {
    let wait_ms = facts.deadline_ms.unwrap_or(route.timeout_ms);
    RequestTimes {
        objective_ms: route.objective_ms,
        elapsed_ms: route.timeout_ms.saturating_sub(wait_ms),
        left_ms: millis(deadline.saturating_duration_since(Instant::now())),
    }
}

/// Refuses a request that its budget can't cover any more.
pub(super) fn admit_budget(
    gateway: &Gateway,
    workspace: Option<&Workspace>,
    tokens: Option<TokenCount>,
) -> Result<(), Refused> {
    let (Some(workspace), Some(tokens)) = (workspace, tokens) else {
        return Ok(());
    };
    let Some(prepaid) = workspace.prepaid else {
        return Ok(());
    };
    if gateway.is_spent(&workspace.id, prepaid, tokens.max()) {
        return Err(Refused::new(
            StatusCode::PAYMENT_REQUIRED,
            Reason::BudgetSpent,
        ));
    }
    Ok(())
}

/// Refuses a request that would wait too long behind others.
pub(super) fn admit_load(
    gateway: &Gateway,
    service: &ServiceId,
    times: RequestTimes,
    log: &mut RequestLog,
) -> Result<(), Refused> {
    let Err(overload) = gateway.fleet.admit(service, times) else {
        return Ok(());
    };
    log.set_detail(&format!("a wait of {} ms expected", overload.expected_ms));
    let share = rand::random_range(OVERLOAD_RETRY_SHARES);
    let retry = Duration::from_millis(times.left_ms).mul_f64(share);
    Err(Refused::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        Reason::Overloaded,
        millis(retry),
    ))
}

/// Reads a whole body of at most `max_bytes`.
pub(super) async fn read_body(
    body: Incoming,
    max_bytes: u64,
    deadline: Instant,
) -> Result<Bytes, Refused> {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    match tokio::time::timeout_at(deadline.into(), mallowpath::read_body(body, max_bytes)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(Refused::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BodyTooLarge,
        )),
        Ok(Err(BodyError::BrokenOff(_))) => {
            Err(Refused::new(StatusCode::BAD_REQUEST, Reason::BodyCutOff))
        }
        Err(_) => Err(Refused::new(
            StatusCode::REQUEST_TIMEOUT,
            Reason::BodyCutOff,
        )),
    }
}

/// Sets aside the most tokens that a request can cost; waits for a draw that is under way.
pub(super) async fn reserve(
    gateway: &Gateway,
    workspace: Option<&Workspace>,
    tokens: Option<TokenCount>,
    log: &mut RequestLog,
) -> Result<Option<Reservation>, Refused> {
    let (Some(workspace), Some(tokens)) = (workspace, tokens) else {
        return Ok(None);
    };
    let Some(prepaid) = workspace.prepaid else {
        return Ok(None);
    };
    let started = Instant::now();
    let until = started + DRAW_WAIT;
    // A request that waits asks again after each draw, and still needs its tokens once only.
    gateway
        .local_budgets
        .count_demand(&workspace.id, tokens.max(), started);
    let mut waiting: Option<Waiting> = None;
    loop {
        let refilled = gateway.local_budgets.refilled();
        tokio::pin!(refilled);
        // Tokens that come between the failed try and the wait count as well.
        refilled.as_mut().enable();
        let now = Instant::now();
        let reserved = match &waiting {
            Some(waiting) => waiting.reserve(now),
            None => gateway
                .local_budgets
                .reserve(&workspace.id, tokens.max(), now),
        };
        let held = match reserved {
            Ok(reservation) => return Ok(Some(reservation)),
            Err(shortage) => {
                log.set_detail(&format!("{} tokens held", shortage.held));
                shortage.held
            }
        };
        let waiting = waiting.get_or_insert_with(|| {
            let local_budgets = &gateway.local_budgets;
            local_budgets.wait(&workspace.id, tokens.max())
        });
        let refused = match may_wait(gateway, workspace, prepaid, tokens, held) {
            Ok(()) => {
                let waited = tokio::time::timeout_at(until.into(), refilled).await;
                waited.is_err().then(|| Refused::short(BUDGET_RETRY_MS))
            }
            Err(refused) => Some(refused),
        };
        let Some(refused) = refused else {
            continue;
        };
        // Tokens may be here that are kept for others who wait; none come in time for all.
        return match waiting.reserve(Instant::now()) {
            Ok(reservation) => Ok(Some(reservation)),
            Err(_) => Err(refused),
        };
    }
}

/// Refuses a request for whose tokens it is no use to wait.
fn may_wait(
    gateway: &Gateway,
    workspace: &Workspace,
    prepaid: u64,
    tokens: TokenCount,
    held: u64,
) -> Result<(), Refused> {
    // Others may have spent the rest since it came.
    admit_budget(gateway, Some(workspace), Some(tokens))?;
    let left = gateway.draws.ledger().left(&workspace.id, prepaid);
    if left.is_some_and(|left| held.saturating_add(left) < tokens.max()) {
        return Err(Refused::short(BUDGET_RETRY_MS));
    }
    match gateway.draws.expected_wait() {
        None => Err(Refused::short(OUTAGE_RETRY_MS)),
        Some(wait) if wait > DRAW_WAIT => Err(Refused::short(BUDGET_RETRY_MS + millis(wait))),
        Some(_) => Ok(()),
    }
}
