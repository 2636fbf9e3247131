//! Reserves the tokens of a request from what this router holds, drawing more if needed.

use super::{draw_task::DrawTask, local_budgets::InsufficientTokens, reservation::Reservation};
use crate::request::millis;
use mallowpath::WorkspaceId;
use std::time::{Duration, Instant};

/// Maximum time for which a request waits until the router has drawn tokens of its budget.
pub(super) const DRAW_WAIT_MAX: Duration = Duration::from_millis(400);

/// Delay before a request is repeated when other routers hold the tokens of the budget.
const BUDGET_RETRY_AFTER_MS: u64 = 400;

/// Delay before a request is repeated when no tokens can be drawn because the store is unreachable.
const STORE_OUTAGE_RETRY_AFTER_MS: u64 = 1_500;

/// The tokens that a request needs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenRequest<'a> {
    /// The workspace whose budget pays.
    pub(crate) workspace: &'a WorkspaceId,
    /// Tokens that the workspace has paid for so far.
    pub(crate) prepaid: u64,
    /// The maximum number of tokens that the request can cost.
    pub(crate) tokens: u64,
    /// Whether the request takes up a stream that broke off.
    pub(crate) takes_up_stream: bool,
}

/// Why the tokens of a request were not reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReserveError {
    /// The unspent rest of the budget is too small.
    Spent,
    /// Too few tokens are held or free to draw at present.
    Short {
        /// Delay after which the request is worth repeating.
        retry_after_ms: u64,
        /// Tokens held that are neither spent nor reserved.
        held_tokens: u64,
    },
    /// Too few tokens are held, and none can be drawn because the store is unreachable.
    NoStore {
        /// Tokens held that are neither spent nor reserved.
        held_tokens: u64,
    },
}

impl ReserveError {
    /// Returns the delay after which the request is worth repeating; `None` if it never is.
    pub(crate) fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::Spent => None,
            Self::Short { retry_after_ms, .. } => Some(retry_after_ms),
            Self::NoStore { .. } => Some(STORE_OUTAGE_RETRY_AFTER_MS),
        }
    }

    /// Returns the tokens held that are neither spent nor reserved, if there are too few.
    pub(crate) fn held_tokens(self) -> Option<u64> {
        match self {
            Self::Spent => None,
            Self::Short { held_tokens, .. } | Self::NoStore { held_tokens } => Some(held_tokens),
        }
    }
}

/// Returns whether the unspent rest of a budget is known to be too small for a request.
pub(crate) fn is_spent(draw_task: &DrawTask, request: TokenRequest<'_>) -> bool {
    let spent = draw_task.known_spent(request.workspace);
    spent.saturating_add(request.tokens) > request.prepaid
}

/// Reserves the tokens of a new request without waiting, and counts them as demand.
pub(crate) fn reserve_held(
    draw_task: &DrawTask,
    request: TokenRequest<'_>,
) -> Result<Reservation, InsufficientTokens> {
    let now = Instant::now();
    let local_budgets = draw_task.local_budgets();
    // Counted once: a waiting request tries again after each draw but needs its tokens only once.
    local_budgets.count_demand(request.workspace, request.tokens, now);
    local_budgets.reserve(request.workspace, request.tokens, now)
}

/// Waits up to [`DRAW_WAIT_MAX`] for draws that cover a request for which [`reserve_held`] failed.
pub(crate) async fn reserve_drawn(
    draw_task: &DrawTask,
    request: TokenRequest<'_>,
) -> Result<Reservation, ReserveError> {
    let until = Instant::now() + DRAW_WAIT_MAX;
    let local_budgets = draw_task.local_budgets();
    let waiter = if request.takes_up_stream {
        local_budgets.register_take_up(request.workspace, request.tokens)
    } else {
        local_budgets.register_waiter(request.workspace, request.tokens)
    };
    loop {
        let refilled = local_budgets.refill_notification();
        tokio::pin!(refilled);
        // Enabled before the reservation is tried, so that tokens drawn between its failure and the
        // wait end the wait.
        refilled.as_mut().enable();
        let held_tokens = match waiter.reserve(Instant::now()) {
            Ok(reservation) => return Ok(reservation),
            Err(error) => error.available,
        };
        let error = match check_wait(draw_task, request, held_tokens) {
            Ok(()) => {
                let waited = tokio::time::timeout_at(until.into(), refilled).await;
                waited.is_err().then_some(ReserveError::Short {
                    retry_after_ms: BUDGET_RETRY_AFTER_MS,
                    held_tokens,
                })
            }
            Err(error) => Some(error),
        };
        let Some(error) = error else {
            continue;
        };
        // Not enough tokens for all waiting requests can be drawn in time. This request may
        // therefore use tokens that were kept for the others, if the router holds enough.
        return waiter.reserve(Instant::now()).or(Err(error));
    }
}

/// Returns whether a budget covers a request even if those in progress cost as much as they can.
///
/// If not, its caller would come back in vain, as what they leave is kept for streams that are taken up.
fn fits_beside_reserved(draw_task: &DrawTask, request: TokenRequest<'_>) -> bool {
    let spent = draw_task.known_spent(request.workspace);
    let reserved = draw_task.local_budgets().reserved(request.workspace);
    let taken = spent.saturating_add(reserved);
    taken.saturating_add(request.tokens) <= request.prepaid
}

/// Fails if the tokens of a request can't be drawn within [`DRAW_WAIT_MAX`].
fn check_wait(
    draw_task: &DrawTask,
    request: TokenRequest<'_>,
    held_tokens: u64,
) -> Result<(), ReserveError> {
    // Other requests may have spent the rest of the budget since this one was admitted.
    if is_spent(draw_task, request) {
        return Err(ReserveError::Spent);
    }
    let ledger = draw_task.ledger();
    let undrawn = ledger.undrawn(request.workspace, request.prepaid);
    let kept_tokens = if request.takes_up_stream {
        0
    } else {
        draw_task.local_budgets().kept_tokens(request.workspace)
    };
    let undrawn = undrawn.map(|undrawn| undrawn.saturating_sub(kept_tokens));
    if undrawn.is_some_and(|undrawn| held_tokens.saturating_add(undrawn) < request.tokens) {
        if kept_tokens > 0 && !fits_beside_reserved(draw_task, request) {
            return Err(ReserveError::Spent);
        }
        return Err(ReserveError::Short {
            retry_after_ms: BUDGET_RETRY_AFTER_MS,
            held_tokens,
        });
    }
    match draw_task.expected_wait() {
        None => Err(ReserveError::NoStore { held_tokens }),
        Some(wait) if wait > DRAW_WAIT_MAX => Err(ReserveError::Short {
            retry_after_ms: BUDGET_RETRY_AFTER_MS + millis(wait),
            held_tokens,
        }),
        Some(_) => Ok(()),
    }
}
