//! Messages between routers and keepers that transfer slices of grants.

use crate::{BudgetId, GrantId, Incarnation, SliceId, Tokens};

/// Tokens handed from a keeper to a router, out of one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slice {
    /// The identifier; its incarnation is the keeper's.
    pub id: SliceId,
    /// The grant that the tokens are part of.
    pub grant: GrantId,
    /// The number of tokens.
    pub tokens: Tokens,
}

/// A router's request for tokens of a budget.
///
/// The number acts as an idempotency key: a repeated request gets the same answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SliceRequest {
    /// The incarnation of the router.
    pub router: Incarnation,
    /// The number of the request, which increases with every new request of the router.
    pub number: u64,
    /// The budget.
    pub budget: BudgetId,
    /// The minimum number of tokens that the answer must grant.
    pub needed: Tokens,
    /// The tokens that the router expects to use before its next request.
    pub expected: Tokens,
    /// The whole reservation that lacks `needed` tokens; a budget with less unspent is exhausted.
    pub reservation: Tokens,
}

/// A keeper's answer to a [`SliceRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SliceReply {
    /// The number of the request.
    pub number: u64,
    /// All grants of the keeper with a lower sequence number are closed.
    pub oldest_open_grant: u64,
    /// The tokens of the budget that are not known to be spent: at present, no larger reservation
    /// can succeed.
    pub unspent: Tokens,
    /// The answer.
    pub answer: SliceAnswer,
}

/// The outcome of a [`SliceRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SliceAnswer {
    /// The router may spend these slices.
    Granted(Vec<Slice>),
    /// Not enough at present; a later request may succeed.
    Short {
        /// The time to wait before the next request.
        retry_after_ms: u64,
    },
    /// The budget can't cover the request unless its limit rises or it is topped up.
    Exhausted,
    /// The ledger contains no such budget.
    UnknownBudget,
    /// The request is older than another one of the same router, or the router is fenced.
    Stale,
}

/// A router's return of a slice to its keeper; tokens that are not returned count as spent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SliceReturn {
    /// The budget.
    pub budget: BudgetId,
    /// The slice.
    pub slice: Slice,
    /// The tokens of the slice that were not spent.
    pub unspent: Tokens,
}

/// A router's report of what it spent of a fenced keeper's grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeeperReport {
    /// The router that reports.
    pub router: Incarnation,
    /// The fenced keeper, whose slices the router no longer accepts.
    pub keeper: Incarnation,
    /// Whether all of the router's requests that reserved slices of the keeper have ended.
    pub settled: bool,
    /// The tokens spent of each grant that isn't known to be closed.
    pub grants: Vec<GrantSpent>,
}

/// The tokens that a router spent of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantSpent {
    /// The grant.
    pub grant: GrantId,
    /// The tokens spent.
    pub spent: Tokens,
}
