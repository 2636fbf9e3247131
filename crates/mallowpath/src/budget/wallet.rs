//! The state machine of a router's slices, from which requests reserve tokens.
//!
//! A request reserves its largest possible cost before it runs, and frees the unspent tokens when
//! it ends. The wallet requests slices before it runs out of tokens, and returns unused slices.

use crate::{
    BudgetId, GrantId, Incarnation, SliceId, Tokens,
    billing::bill::allocate_cost,
    budget::slice::{GrantSpent, KeeperReport, SliceAnswer, SliceReply, SliceRequest, SliceReturn},
    budget::wallet_account::{
        Demand, PendingRequest, RequestBackoff, SliceState, WalletAccount, account_mut,
    },
    request::reservation::{Reservation, ReserveOutcome, SlicePart},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

/// The settings by which a wallet requests and returns slices.
#[derive(Debug, Clone)]
pub struct WalletSettings {
    /// The time for which a request covers the expected use.
    pub horizon_ms: u64,
    /// The time without use after which the slices of a budget are returned.
    pub idle_ms: u64,
    /// The time after which a message without an answer is sent again.
    pub retry_ms: u64,
}

/// The slices of one router incarnation.
#[derive(Debug)]
pub struct Wallet {
    router: Incarnation,
    settings: WalletSettings,
    accounts: BTreeMap<BudgetId, WalletAccount>,
    pending: BTreeMap<u64, PendingRequest>,
    fenced_keepers: BTreeSet<Incarnation>,
    /// The tokens spent of each grant that isn't known to be closed.
    spent: BTreeMap<GrantId, Tokens>,
    /// The grants that closed since they were last taken.
    closed_grants: BTreeSet<GrantId>,
    last_request: u64,
    closing: bool,
    stopped: bool,
}

/// A request to send to a keeper.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// The incarnation of the keeper.
    pub keeper: Incarnation,
    /// The request.
    pub request: SliceRequest,
}

/// The tokens that a router holds of a budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WalletBalance {
    /// The tokens that can be reserved.
    pub free: Tokens,
    /// The tokens reserved for running requests.
    pub reserved: Tokens,
    /// The unreserved tokens in slices that are being returned to a keeper, or are frozen for the
    /// reclaim of a fenced one.
    pub closing: Tokens,
}

impl Wallet {
    /// Returns an empty wallet.
    pub fn new(router: Incarnation, settings: WalletSettings) -> Self {
        Self {
            router,
            settings,
            accounts: BTreeMap::new(),
            pending: BTreeMap::new(),
            fenced_keepers: BTreeSet::new(),
            spent: BTreeMap::new(),
            closed_grants: BTreeSet::new(),
            last_request: 0,
            closing: false,
            stopped: false,
        }
    }

    /// Reserves tokens out of one or several slices, or records the demand for a refill.
    pub fn reserve(&mut self, budget: &BudgetId, tokens: Tokens, now_ms: u64) -> ReserveOutcome {
        if self.stopped {
            return ReserveOutcome::Stopped;
        }
        let settings = &self.settings;
        let account = account_mut(&mut self.accounts, settings, budget, now_ms);
        account.last_used_ms = now_ms;
        let free = account.outstanding().free;
        if free < tokens {
            return account.record_shortage(tokens, free, settings, now_ms);
        }
        account.rate.add(tokens, now_ms);
        let parts = account.reserve(tokens);
        let expected = account.rate.expected(now_ms);
        if free.saturating_sub(tokens).0 < expected.0 / 2 && account.demand.is_none() {
            account.demand = Some(Demand {
                needed: Tokens(1),
                expected,
                reservation: Tokens(1),
            });
        }
        ReserveOutcome::Reserved(Reservation {
            budget: budget.clone(),
            parts,
        })
    }

    /// Counts a request as waiting for tokens until [`Wallet::stop_waiting`], so that the next
    /// slice request covers all waiting requests.
    pub fn start_waiting(&mut self, budget: &BudgetId, tokens: Tokens) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.waiting = account.waiting.saturating_add(tokens);
        }
    }

    /// Stops counting a request as waiting for tokens.
    pub fn stop_waiting(&mut self, budget: &BudgetId, tokens: Tokens) {
        if let Some(account) = self.accounts.get_mut(budget) {
            account.waiting = account.waiting.saturating_sub(tokens);
        }
    }

    /// Frees the tokens that a request didn't spend and returns those spent of each slice.
    ///
    /// A request is charged at most what it reserved; the excess of a larger amount is dropped.
    pub fn settle(&mut self, reservation: Reservation, spent: Tokens) -> Vec<SlicePart> {
        let Reservation { budget, parts } = reservation;
        let Some(account) = self.accounts.get_mut(&budget) else {
            return Vec::new();
        };
        let charged = allocate_cost(&parts, spent);
        for part in parts {
            let Some(held) = account.slices.get_mut(&part.slice) else {
                continue;
            };
            held.reserved = held.reserved.saturating_sub(part.tokens);
            held.free = held.free.saturating_add(part.tokens);
        }
        for part in &charged {
            if let Some(held) = account.slices.get_mut(&part.slice) {
                held.free = held.free.saturating_sub(part.tokens);
            }
            let sum = self.spent.entry(part.grant).or_default();
            *sum = sum.saturating_add(part.tokens);
        }
        charged
    }

    /// Returns the requests to send now, given the keeper of each budget's shard.
    ///
    /// A request without an answer is sent again to the same keeper under the same number, so that
    /// a slice whose answer was lost doesn't stay unused.
    pub fn due_requests(
        &mut self,
        keeper_of: impl Fn(&BudgetId) -> Option<Incarnation>,
        now_ms: u64,
    ) -> Vec<OutgoingRequest> {
        let mut outgoing = Vec::new();
        for pending in self.pending.values_mut() {
            if now_ms.saturating_sub(pending.sent_ms) >= self.settings.retry_ms {
                pending.sent_ms = now_ms;
                outgoing.push(pending.to_outgoing());
            }
        }
        if self.stopped || self.closing {
            return outgoing;
        }
        let mut requested = BTreeSet::new();
        for pending in self.pending.values() {
            requested.insert((pending.request.budget.clone(), pending.keeper));
        }
        for (budget, account) in &mut self.accounts {
            let Some(keeper) = keeper_of(budget) else {
                continue;
            };
            let backing_off = account
                .backoff
                .is_some_and(|backoff| now_ms < backoff.until_ms);
            if backing_off
                || self.fenced_keepers.contains(&keeper)
                || requested.contains(&(budget.clone(), keeper))
            {
                continue;
            }
            let Some(demand) = account.demand.take() else {
                continue;
            };
            self.last_request += 1;
            let request = SliceRequest {
                router: self.router,
                number: self.last_request,
                budget: budget.clone(),
                needed: demand.needed,
                expected: demand.expected,
                reservation: demand.reservation,
            };
            let pending = PendingRequest {
                keeper,
                request,
                sent_ms: now_ms,
            };
            outgoing.push(pending.to_outgoing());
            self.pending.insert(self.last_request, pending);
        }
        outgoing
    }

    /// Applies a keeper's reply; returns whether it granted slices.
    ///
    /// Only the first reply to a request takes effect.
    pub fn apply_reply(&mut self, keeper: Incarnation, reply: &SliceReply, now_ms: u64) -> bool {
        let Some(pending) = self.pending.get(&reply.number) else {
            return false;
        };
        if pending.keeper != keeper {
            return false;
        }
        let Some(pending) = self.pending.remove(&reply.number) else {
            return false;
        };
        let request = pending.request;
        self.forget_closed(keeper, reply.oldest_open_grant);
        let account = account_mut(&mut self.accounts, &self.settings, &request.budget, now_ms);
        let wait_ms = match &reply.answer {
            SliceAnswer::Granted(slices) => {
                account.backoff = None;
                account.demand = None;
                account.insert_slices(slices);
                return true;
            }
            SliceAnswer::Short { retry_after_ms } => *retry_after_ms,
            _ => self.settings.retry_ms,
        };
        account.backoff = Some(RequestBackoff {
            unknown_budget: reply.answer == SliceAnswer::UnknownBudget,
            unspent: reply.unspent,
            until_ms: now_ms.saturating_add(wait_ms),
        });
        false
    }

    /// Returns the slices to send back now: those used up, idle, or not acknowledged in time.
    pub fn due_returns(&mut self, now_ms: u64) -> Vec<SliceReturn> {
        let mut returns = Vec::new();
        for (budget, account) in &mut self.accounts {
            let idle = now_ms.saturating_sub(account.last_used_ms) >= self.settings.idle_ms;
            for held in account.slices.values_mut() {
                let due = match held.state {
                    SliceState::Frozen => false,
                    SliceState::Spendable => idle || held.free == Tokens::ZERO,
                    SliceState::Returning { sent_ms } => {
                        now_ms.saturating_sub(sent_ms) >= self.settings.retry_ms
                    }
                };
                if !due || held.reserved > Tokens::ZERO {
                    continue;
                }
                held.state = SliceState::Returning { sent_ms: now_ms };
                let slice = held.slice;
                returns.push(SliceReturn {
                    budget: budget.clone(),
                    slice,
                    unspent: held.free,
                });
            }
        }
        let idle_ms = self.settings.idle_ms;
        self.accounts
            .retain(|_, account| !account.is_unused(idle_ms, now_ms));
        returns
    }

    /// Forgets a slice whose return the keeper has acknowledged.
    pub fn acknowledge_return(&mut self, budget: &BudgetId, slice: SliceId) {
        let Some(account) = self.accounts.get_mut(budget) else {
            return;
        };
        let Some(held) = account.slices.get(&slice) else {
            return;
        };
        if matches!(held.state, SliceState::Returning { .. }) {
            account.slices.remove(&slice);
        }
    }

    /// Returns each slice once none of its tokens are reserved, and requests no more.
    pub fn close(&mut self) {
        self.closing = true;
        self.settings.idle_ms = 0;
    }

    /// Returns whether the wallet holds no slices.
    pub fn is_empty(&self) -> bool {
        self.accounts
            .values()
            .all(|account| account.slices.is_empty())
    }

    /// Stops spending permanently, as this router incarnation was fenced.
    pub fn stop_permanently(&mut self) {
        self.stopped = true;
    }

    /// Accepts no more slices from a fenced keeper and freezes those that it granted.
    pub fn fence_keeper(&mut self, keeper: Incarnation) {
        self.fenced_keepers.insert(keeper);
        self.pending.retain(|_, pending| pending.keeper != keeper);
        for account in self.accounts.values_mut() {
            for (id, held) in &mut account.slices {
                if id.incarnation == keeper {
                    held.state = SliceState::Frozen;
                }
            }
        }
    }

    /// Returns the tokens spent of a fenced keeper's grants.
    ///
    /// Returns `None` for a keeper that wasn't fenced by [`Wallet::fence_keeper`].
    pub fn report_keeper(&self, keeper: Incarnation) -> Option<KeeperReport> {
        if !self.fenced_keepers.contains(&keeper) {
            return None;
        }
        let mut report = KeeperReport {
            router: self.router,
            keeper,
            settled: true,
            grants: Vec::new(),
        };
        for (grant, spent) in &self.spent {
            if grant.incarnation != keeper {
                continue;
            }
            report.grants.push(GrantSpent {
                grant: *grant,
                spent: *spent,
            });
        }
        for account in self.accounts.values() {
            for (id, held) in &account.slices {
                let running = held.reserved > Tokens::ZERO;
                if id.incarnation == keeper && running {
                    report.settled = false;
                }
            }
        }
        Some(report)
    }

    /// Forgets a fenced keeper whose grants are all closed.
    pub fn forget_keeper(&mut self, keeper: Incarnation) {
        for account in self.accounts.values_mut() {
            account
                .slices
                .retain(|id, held| id.incarnation != keeper || held.reserved > Tokens::ZERO);
        }
        self.forget_closed(keeper, u64::MAX);
    }

    fn forget_closed(&mut self, keeper: Incarnation, oldest_open: u64) {
        let first = GrantId {
            incarnation: keeper,
            sequence: 0,
        };
        let oldest = GrantId {
            incarnation: keeper,
            sequence: oldest_open,
        };
        let mut closed = Vec::new();
        for grant in self.spent.range(first..oldest).map(|(grant, _)| *grant) {
            closed.push(grant);
        }
        for grant in closed {
            self.spent.remove(&grant);
            self.closed_grants.insert(grant);
        }
    }

    /// Removes and returns the grants that closed since the last call, for sidecars to forget.
    pub fn take_closed_grants(&mut self) -> BTreeSet<GrantId> {
        mem::take(&mut self.closed_grants)
    }

    /// Returns the tokens that the wallet holds of each budget.
    pub fn outstanding(&self) -> BTreeMap<BudgetId, WalletBalance> {
        let mut sums = BTreeMap::new();
        for (budget, account) in &self.accounts {
            sums.insert(budget.clone(), account.outstanding());
        }
        sums
    }
}

impl Default for WalletSettings {
    fn default() -> Self {
        Self {
            horizon_ms: 2_000,
            idle_ms: 10_000,
            retry_ms: 200,
        }
    }
}
