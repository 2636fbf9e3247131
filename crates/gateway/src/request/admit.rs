//! Admission control: the checks that a request passes before a backend server is chosen.

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

/// Maximum time for which a request waits until the router has drawn tokens of its budget.
const DRAW_WAIT_MAX: Duration = Duration::from_millis(400);

/// `Retry-After` when other routers hold the tokens of the budget.
const BUDGET_RETRY_AFTER_MS: u64 = 400;

/// `Retry-After` when no tokens can be drawn because the store is unreachable.
const STORE_OUTAGE_RETRY_AFTER_MS: u64 = 1_500;

/// `Retry-After` when the router has not read a configuration yet.
const NO_CONFIGURATION_RETRY_AFTER_MS: u64 = 500;

/// Range from which the `Retry-After` of an overload refusal is drawn, as a share of the caller's
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
pub(super) struct Admitted {
    pub(super) route: Arc<Route>,
    pub(super) workspace: Option<Arc<Workspace>>,
    pub(super) body_max_bytes: u64,
}

/// Returns the route and the workspace of a request.
///
/// # Errors
///
/// Refuses a request without a route or, where the route needs a workspace, without a known API
/// key; and every request while the router has no configuration.
pub(super) fn admit(
    catalogue: Option<&Catalogue>,
    head: &request::Parts,
    facts: &CallerRequest,
) -> Result<Admitted, Refused> {
    let Some(catalogue) = catalogue else {
        return Err(Refused::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            Reason::NoConfiguration,
            NO_CONFIGURATION_RETRY_AFTER_MS,
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

/// Returns the deadline of a request: the caller's or the route's timeout, whichever ends first,
/// less [`DEADLINE_MARGIN`].
pub(super) fn deadline(started: Instant, route: &Route, facts: &CallerRequest) -> Instant {
    let wait_ms = facts.deadline_ms.unwrap_or(route.timeout_ms);
    let wait = Duration::from_millis(wait_ms.min(route.timeout_ms));
    started + wait.saturating_sub(DEADLINE_MARGIN)
}

/// Returns the times on which the admission of a request under load depends.
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

/// Refuses a request for which the unspent rest of its budget is too small.
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

/// Refuses a request that would be queued for too long at the backend servers.
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
    let share = rand::random_range(OVERLOAD_RETRY_AFTER_SHARES);
    let retry = Duration::from_millis(times.left_ms).mul_f64(share);
    Err(Refused::not_run(
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
) -> Result<Bytes, Refused> {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    match tokio::time::timeout_at(deadline.into(), mallowpath::read_body(body, max_bytes)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(Refused::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BodyTooLarge,
        )),
        Ok(Err(BodyError::Interrupted(_))) => {
            Err(Refused::new(StatusCode::BAD_REQUEST, Reason::BodyCutOff))
        }
        Err(_) => Err(Refused::new(
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
) -> Result<Option<Reservation>, Refused> {
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
        .count_demand(&workspace.id, tokens.max(), started);
    let mut waiting: Option<Waiting> = None;
    loop {
        let refilled = gateway.local_budgets.refilled();
        tokio::pin!(refilled);
        // Enabled before the reservation is tried, so that tokens drawn between its failure and the
        // wait end the wait.
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
        let refused = match admit_wait(gateway, workspace, prepaid, tokens, held) {
            Ok(()) => {
                let waited = tokio::time::timeout_at(until.into(), refilled).await;
                waited
                    .is_err()
                    .then(|| Refused::short(BUDGET_RETRY_AFTER_MS))
            }
            Err(refused) => Some(refused),
        };
        let Some(refused) = refused else {
            continue;
        };
        // The router may hold tokens that are kept for waiting requests. Not enough for all of them
        // are drawn in time, so this request takes its tokens if the router holds as many.
        return match waiting.reserve(Instant::now()) {
            Ok(reservation) => Ok(Some(reservation)),
            Err(_) => Err(refused),
        };
    }
}

/// Refuses a request whose tokens can't be drawn within [`DRAW_WAIT_MAX`].
fn admit_wait(
    gateway: &Gateway,
    workspace: &Workspace,
    prepaid: u64,
    tokens: TokenCount,
    held: u64,
) -> Result<(), Refused> {
    // Other requests may have spent the rest of the budget since this one was admitted.
    admit_budget(gateway, Some(workspace), Some(tokens))?;
    let left = gateway.draws.ledger().left(&workspace.id, prepaid);
    if left.is_some_and(|left| held.saturating_add(left) < tokens.max()) {
        return Err(Refused::short(BUDGET_RETRY_AFTER_MS));
    }
    match gateway.draws.expected_wait() {
        None => Err(Refused::short(STORE_OUTAGE_RETRY_AFTER_MS)),
        Some(wait) if wait > DRAW_WAIT_MAX => {
            Err(Refused::short(BUDGET_RETRY_AFTER_MS + millis(wait)))
        }
        Some(_) => Ok(()),
    }
}
