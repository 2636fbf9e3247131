//! Reservations of tokens for one request at a router.

use crate::{BudgetId, GrantId, SliceId, Tokens};

/// The tokens reserved for one request.
///
/// A reservation must be settled exactly once, so it can't be cloned.
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The budget that is charged.
    pub budget: BudgetId,
    /// The slices from which the tokens are taken.
    pub parts: Vec<SlicePart>,
}

/// The tokens of a reservation that are taken from one slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlicePart {
    /// The slice.
    pub slice: SliceId,
    /// The grant that the slice is part of.
    pub grant: GrantId,
    /// The number of tokens.
    pub tokens: Tokens,
}

/// The result of an attempt to reserve tokens.
#[derive(Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Reserved(Reservation),
    /// The router has too few tokens at present; a refill is in progress or due after the wait.
    Insufficient {
        /// The time to wait before the next attempt, in milliseconds.
        retry_after_ms: u64,
    },
    /// The budget can't cover the tokens.
    Exhausted,
    /// The ledger knows no such budget.
    UnknownBudget,
    /// This incarnation is fenced and may not spend any more tokens.
    Stopped,
}
