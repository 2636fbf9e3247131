//! The slices and demand of a wallet for one budget.

use crate::{
    BudgetId, Incarnation, OutgoingRequest, ReserveOutcome, SliceId, SlicePart, Tokens,
    WalletBalance, WalletSettings,
    budget::rate_meter::RateMeter,
    budget::slice::{Slice, SliceRequest},
};
use std::collections::BTreeMap;

/// The state of a wallet for one budget.
#[derive(Debug)]
pub(crate) struct WalletAccount {
    pub(crate) slices: BTreeMap<SliceId, HeldSlice>,
    /// The demand that the next slice request covers.
    pub(crate) demand: Option<Demand>,
    pub(crate) backoff: Option<RequestBackoff>,
    pub(crate) rate: RateMeter,
    pub(crate) last_used_ms: u64,
    /// The sum of the tokens that requests wait for.
    pub(crate) waiting: Tokens,
}

/// A slice in the wallet.
#[derive(Debug)]
pub(crate) struct HeldSlice {
    pub(crate) slice: Slice,
    pub(crate) free: Tokens,
    pub(crate) reserved: Tokens,
    pub(crate) state: SliceState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SliceState {
    /// Tokens can be reserved.
    Spendable,
    /// The return was sent to the keeper at the given time and isn't acknowledged yet.
    Returning { sent_ms: u64 },
    /// The slice is kept for the reclaim of its fenced keeper and can't be spent.
    Frozen,
}

/// The tokens to request from the keeper.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    /// The minimum number of tokens that the answer must grant.
    pub(crate) needed: Tokens,
    /// The expected use until the next request.
    pub(crate) expected: Tokens,
    /// The whole reservation that lacks `needed` tokens; 1 for a refill in advance.
    pub(crate) reservation: Tokens,
}

/// The delay of the next request until `until_ms`, after a refusal of the keeper.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestBackoff {
    pub(crate) unknown_budget: bool,
    pub(crate) unspent: Tokens,
    pub(crate) until_ms: u64,
}

/// A request without an answer yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) keeper: Incarnation,
    pub(crate) request: SliceRequest,
    pub(crate) sent_ms: u64,
}

pub(crate) fn account_mut<'a>(
    accounts: &'a mut BTreeMap<BudgetId, WalletAccount>,
    settings: &WalletSettings,
    budget: &BudgetId,
    now_ms: u64,
) -> &'a mut WalletAccount {
    accounts
        .entry(budget.clone())
        .or_insert_with(|| WalletAccount {
            slices: BTreeMap::new(),
            demand: None,
            backoff: None,
            rate: RateMeter::new(settings.horizon_ms, now_ms),
            last_used_ms: now_ms,
            waiting: Tokens::ZERO,
        })
}

impl WalletAccount {
    pub(crate) fn outstanding(&self) -> WalletBalance {
        let mut sums = WalletBalance::default();
        for held in self.slices.values() {
            sums.reserved = sums.reserved.saturating_add(held.reserved);
            match held.state {
                SliceState::Spendable => sums.free = sums.free.saturating_add(held.free),
                _ => sums.closing = sums.closing.saturating_add(held.free),
            }
        }
        sums
    }

    /// Records the missing tokens for the next slice request, which covers all callers' shortages.
    pub(crate) fn record_shortage(
        &mut self,
        tokens: Tokens,
        free: Tokens,
        settings: &WalletSettings,
        now_ms: u64,
    ) -> ReserveOutcome {
        let backoff = self.backoff.filter(|backoff| now_ms < backoff.until_ms);
        if let Some(backoff) = backoff {
            if backoff.unknown_budget {
                return ReserveOutcome::UnknownBudget;
            }
            if tokens > backoff.unspent {
                return ReserveOutcome::Exhausted;
            }
        }
        let needed = tokens.saturating_sub(free);
        let expected_use = self.rate.expected(now_ms);
        let expected = needed.max(expected_use.saturating_add(self.waiting));
        let new_demand = Demand {
            needed,
            expected,
            reservation: tokens,
        };
        let demand = self.demand.get_or_insert(new_demand);
        demand.expected = demand.expected.max(expected);
        // The smallest reservation sets the least tokens that are of use. The demand of a refill in
        // advance is replaced.
        let is_prefetch = demand.reservation == Tokens(1);
        if is_prefetch || tokens < demand.reservation {
            demand.needed = needed;
            demand.reservation = tokens;
        }
        let wait_ms = backoff.map_or(settings.retry_ms, |backoff| backoff.until_ms - now_ms);
        ReserveOutcome::Insufficient {
            retry_after_ms: wait_ms,
        }
    }

    /// Reserves tokens from the oldest slices; the caller checks that enough are free.
    pub(crate) fn reserve(&mut self, tokens: Tokens) -> Vec<SlicePart> {
        let mut rest = tokens;
        let mut parts = Vec::new();
        for (id, held) in &mut self.slices {
            if held.state != SliceState::Spendable {
                continue;
            }
            let part = held.free.min(rest);
            if part == Tokens::ZERO {
                continue;
            }
            rest = rest.saturating_sub(part);
            held.free = held.free.saturating_sub(part);
            held.reserved = held.reserved.saturating_add(part);
            parts.push(SlicePart {
                slice: *id,
                grant: held.slice.grant,
                tokens: part,
            });
        }
        parts
    }

    pub(crate) fn insert_slices(&mut self, slices: &[Slice]) {
        for slice in slices {
            let held = HeldSlice {
                slice: *slice,
                free: slice.tokens,
                reserved: Tokens::ZERO,
                state: SliceState::Spendable,
            };
            self.slices.insert(slice.id, held);
        }
    }

    /// Returns whether the account can be dropped, to be created again at its next use.
    pub(crate) fn is_unused(&self, idle_ms: u64, now_ms: u64) -> bool {
        let idle = now_ms.saturating_sub(self.last_used_ms) >= idle_ms;
        idle && self.slices.is_empty()
    }
}

impl PendingRequest {
    pub(crate) fn to_outgoing(&self) -> OutgoingRequest {
        OutgoingRequest {
            keeper: self.keeper,
            request: self.request.clone(),
        }
    }
}
