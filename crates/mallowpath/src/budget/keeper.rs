//! The state machine of a keeper, which allocates the budgets of one shard to routers.
//!
//! The keeper draws grants from the ledger in advance and divides them into slices for routers.
//! While the log is unavailable, it serves requests from the grants that it holds. Several keepers
//! of one shard hold more unused tokens but can't overspend a budget, as the ledger checks every
//! draw.

use crate::{
    Balance, BudgetId, GrantId, Incarnation, Ledger, LedgerBatch, LedgerError, LedgerRecord,
    Offset, RecordEffect, SliceId, Tokens, Version,
    budget::keeper_account::{HeldGrant, KeeperAccount, StoredAnswer, account_mut},
    budget::keeper_settings::KeeperSettings,
    budget::outbox::Outbox,
    budget::slice::{Slice, SliceAnswer, SliceReply, SliceRequest, SliceReturn},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

/// The state of one keeper incarnation for one shard.
#[derive(Debug)]
pub struct Keeper {
    incarnation: Incarnation,
    settings: KeeperSettings,
    ledger: Ledger,
    accounts: BTreeMap<BudgetId, KeeperAccount>,
    fenced_routers: BTreeSet<Incarnation>,
    last_grant: u64,
    /// The sequence numbers of grants that were drawn and aren't known to be closed or void.
    open_grants: BTreeSet<u64>,
    last_slice: u64,
    outbox: Outbox,
    stopped: bool,
    members_seen: Offset,
    /// The versions of limits whose records are queued and not read back yet.
    queued_limits: BTreeMap<BudgetId, Version>,
    /// Whether this keeper is shutting down: it draws and grants nothing more.
    closing: bool,
}

impl Keeper {
    /// Returns a keeper that starts from a replayed state of its shard.
    pub fn new(incarnation: Incarnation, ledger: Ledger, settings: KeeperSettings) -> Self {
        Self {
            incarnation,
            settings,
            ledger,
            accounts: BTreeMap::new(),
            fenced_routers: BTreeSet::new(),
            last_grant: 0,
            open_grants: BTreeSet::new(),
            last_slice: 0,
            outbox: Outbox::new(incarnation),
            stopped: false,
            members_seen: Offset(0),
            queued_limits: BTreeMap::new(),
            closing: false,
        }
    }

    /// Returns the replayed state of the shard.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Applies a batch read from the ledger stream.
    ///
    /// # Errors
    ///
    /// Fails without a change when records are missing before `offset`.
    pub fn replay(
        &mut self,
        offset: Offset,
        batch: &LedgerBatch,
        now_ms: u64,
    ) -> Result<(), LedgerError> {
        let outcomes = self.ledger.apply(offset, batch)?;
        for outcome in outcomes {
            if let (Some(budget), RecordEffect::Limited(_)) = (&outcome.budget, outcome.effect) {
                self.queued_limits.remove(budget);
            }
            let Some(grant) = outcome.grant else { continue };
            let Some(budget) = outcome.budget else {
                continue;
            };
            if grant.incarnation == self.incarnation {
                self.apply_effect(&budget, grant, outcome.effect, now_ms);
            }
        }
        self.outbox.read_back(batch);
        Ok(())
    }

    fn apply_effect(
        &mut self,
        budget: &BudgetId,
        grant: GrantId,
        effect: RecordEffect,
        now_ms: u64,
    ) {
        let account = account_mut(&mut self.accounts, &self.settings, budget, now_ms);
        let drawn = account.draw == Some(grant.sequence);
        if drawn {
            account.draw = None;
        }
        match effect {
            RecordEffect::Granted(tokens) if drawn => {
                // Counts as use, so that the grant isn't returned as idle before the requests that
                // wait for it.
                account.last_used_ms = now_ms;
                let held = HeldGrant {
                    free: tokens,
                    open_slices: BTreeMap::new(),
                    closing: false,
                };
                account.grants.insert(grant.sequence, held);
            }
            // A copy of a draw, appended after the ledger forgot the first, opens a grant without a
            // holder, which is returned at once.
            RecordEffect::Granted(tokens) => self.outbox.push(LedgerRecord::close(grant, tokens)),
            RecordEffect::Returned(_) => {
                account.grants.remove(&grant.sequence);
                self.open_grants.remove(&grant.sequence);
            }
            RecordEffect::Reclaimed(_) => {
                // Other processes prove the unspent tokens of a grant only after its keeper was
                // fenced.
                account.grants.remove(&grant.sequence);
                self.open_grants.remove(&grant.sequence);
                self.stopped = true;
            }
            _ if drawn => {
                self.open_grants.remove(&grant.sequence);
            }
            _ => {}
        }
    }

    /// Answers a router's request for tokens with a final answer.
    pub fn answer_final(&mut self, request: &SliceRequest, now_ms: u64) -> SliceReply {
        let answer = self.answer(request, now_ms);
        if !matches!(answer, SliceAnswer::UnknownBudget | SliceAnswer::Stale) {
            // Refusals are stored too: a late copy of the request must not open a slice, as the
            // router has gone on to its next request by then.
            self.store_answer(request, &answer, now_ms);
        }
        self.reply(request, answer)
    }

    /// Answers a request like [`Keeper::answer_final`], except that a shortage is not final.
    ///
    /// Until a copy of the request is answered by [`Keeper::answer_final`], the caller may wait for
    /// the draw and try the request again.
    pub fn try_answer(&mut self, request: &SliceRequest, now_ms: u64) -> SliceReply {
        let answer = self.answer(request, now_ms);
        if matches!(answer, SliceAnswer::Granted(_) | SliceAnswer::Exhausted) {
            self.store_answer(request, &answer, now_ms);
        }
        self.reply(request, answer)
    }

    fn reply(&self, request: &SliceRequest, answer: SliceAnswer) -> SliceReply {
        SliceReply {
            number: request.number,
            oldest_open_grant: self.oldest_open_grant(),
            unspent: self
                .ledger
                .balance(&request.budget)
                .unwrap_or_default()
                .unspent(),
            answer,
        }
    }

    fn answer(&mut self, request: &SliceRequest, now_ms: u64) -> SliceAnswer {
        if self.stopped || self.fenced_routers.contains(&request.router) {
            return SliceAnswer::Stale;
        }
        let Some(balance) = self.ledger.balance(&request.budget) else {
            return SliceAnswer::UnknownBudget;
        };
        let account = account_mut(&mut self.accounts, &self.settings, &request.budget, now_ms);
        if let Some(stored) = account.stored_answers.get(&request.router) {
            if stored.number == request.number {
                return stored.answer.clone();
            }
            if stored.number > request.number {
                return SliceAnswer::Stale;
            }
        }
        self.allocate(request, balance, now_ms)
    }

    fn store_answer(&mut self, request: &SliceRequest, answer: &SliceAnswer, now_ms: u64) {
        let account = account_mut(&mut self.accounts, &self.settings, &request.budget, now_ms);
        let stored = StoredAnswer {
            number: request.number,
            answer: answer.clone(),
        };
        account.stored_answers.insert(request.router, stored);
    }

    fn allocate(&mut self, request: &SliceRequest, balance: Balance, now_ms: u64) -> SliceAnswer {
        let account = account_mut(&mut self.accounts, &self.settings, &request.budget, now_ms);
        account.last_used_ms = now_ms;
        let needed = Tokens(request.needed.0.max(1));
        let free = account.free();
        if free < needed || self.closing {
            if balance.unspent() < request.reservation.max(needed) {
                return SliceAnswer::Exhausted;
            }
            self.draw_for_request(request, free, now_ms);
            return SliceAnswer::Short {
                retry_after_ms: self.outbox.expected_wait_ms(&self.settings),
            };
        }
        let available = free.saturating_add(balance.available());
        let share = Tokens(available.0 / self.settings.share_divisor.max(1));
        let tokens = request.expected.min(share).max(needed).min(free);
        account.rate.add(tokens, now_ms);
        let slices = account.allocate_slices(
            request,
            tokens,
            self.incarnation,
            self.members_seen,
            &mut self.last_slice,
        );
        self.refill(&request.budget, now_ms);
        SliceAnswer::Granted(slices)
    }

    fn oldest_open_grant(&self) -> u64 {
        self.open_grants
            .first()
            .copied()
            .unwrap_or(self.last_grant + 1)
    }

    /// Queues a draw when less than half of the expected use of one horizon is free.
    fn refill(&mut self, budget: &BudgetId, now_ms: u64) {
        let Some(account) = self.accounts.get_mut(budget) else {
            return;
        };
        let expected = account.rate.expected(now_ms);
        if account.free().0 < expected.0 / 2 {
            self.draw(budget, Tokens::ZERO, expected, now_ms);
        }
    }

    /// Queues a draw for a request that the `free` tokens don't cover.
    fn draw_for_request(&mut self, request: &SliceRequest, free: Tokens, now_ms: u64) {
        let needed = Tokens(request.needed.0.max(1)).saturating_sub(free);
        let expected = request.expected.saturating_sub(free);
        self.draw(&request.budget, needed, expected, now_ms);
    }

    /// Queues a draw of the needed tokens, or of the expected use of one horizon if that is more
    /// and the share limit allows it.
    fn draw(&mut self, budget: &BudgetId, needed: Tokens, expected: Tokens, now_ms: u64) {
        let Some(balance) = self.ledger.balance(budget) else {
            return;
        };
        let account = account_mut(&mut self.accounts, &self.settings, budget, now_ms);
        if self.closing || account.draw.is_some() || balance.available() == Tokens::ZERO {
            return;
        }
        let expected = account.rate.expected(now_ms).max(expected);
        let tokens = self
            .settings
            .draw_size(expected, balance.available())
            .max(needed);
        if tokens == Tokens::ZERO {
            return;
        }
        self.last_grant += 1;
        self.open_grants.insert(self.last_grant);
        account.draw = Some(self.last_grant);
        let grant = GrantId {
            incarnation: self.incarnation,
            sequence: self.last_grant,
        };
        let draw = LedgerRecord::draw(budget, grant, tokens);
        self.outbox.push(draw.with_members_seen(self.members_seen));
    }

    /// Accepts a returned slice; a repeated return changes nothing.
    ///
    /// Returns whether the router can forget the slice. A return of more tokens than the slice
    /// holds is refused, and the slice stays open.
    pub fn return_slice(&mut self, returned: &SliceReturn) -> bool {
        let Some(account) = self.accounts.get_mut(&returned.budget) else {
            return true;
        };
        let Some(grant) = account.grants.get_mut(&returned.slice.grant.sequence) else {
            return true;
        };
        let sequence = returned.slice.id.sequence;
        let Some(open) = grant.open_slices.get(&sequence) else {
            return true;
        };
        if returned.unspent > open.tokens {
            return false;
        }
        grant.open_slices.remove(&sequence);
        grant.free = grant.free.saturating_add(returned.unspent);
        true
    }

    /// Refuses all later requests of a fenced router.
    pub fn fence_router(&mut self, router: Incarnation) {
        self.fenced_routers.insert(router);
    }

    /// Returns the open slices of a router and their budgets.
    pub fn open_slices(&self, router: Incarnation) -> Vec<(BudgetId, Slice)> {
        let mut slices = Vec::new();
        for (budget, account) in &self.accounts {
            for (grant, held) in &account.grants {
                for (sequence, open) in &held.open_slices {
                    if open.router != router {
                        continue;
                    }
                    let id = SliceId {
                        incarnation: self.incarnation,
                        sequence: *sequence,
                    };
                    let grant = GrantId {
                        incarnation: self.incarnation,
                        sequence: *grant,
                    };
                    slices.push((
                        budget.clone(),
                        Slice {
                            id,
                            grant,
                            tokens: open.tokens,
                        },
                    ));
                }
            }
        }
        slices
    }

    /// Sets the offset up to which `members` was read, for later draws and slices.
    pub fn set_members_seen(&mut self, seen: Offset) {
        self.members_seen = self.members_seen.max(seen);
    }

    /// Stops granting and drawing permanently, as this keeper's router was fenced.
    pub fn stop_permanently(&mut self) {
        self.stopped = true;
        self.closing = true;
    }

    /// Returns the open slices of a router of which the spent tokens can't be proven.
    ///
    /// A sidecar that left at `gone_at` may have billed tokens of them.
    pub fn unprovable_slices(
        &self,
        router: Incarnation,
        gone_at: Option<Offset>,
    ) -> BTreeSet<SliceId> {
        let mut slices = BTreeSet::new();
        for account in self.accounts.values() {
            for held in account.grants.values() {
                for (sequence, open) in &held.open_slices {
                    let unprovable = gone_at.is_some_and(|at| at >= open.members_seen);
                    if open.router == router && unprovable {
                        slices.insert(SliceId {
                            incarnation: self.incarnation,
                            sequence: *sequence,
                        });
                    }
                }
            }
        }
        slices
    }

    /// Queues a limit from the configuration unless the ledger has applied it or its record is
    /// queued.
    pub fn set_limit(&mut self, budget: &BudgetId, version: Version, tokens: Tokens) {
        let known = self.ledger.balance(budget).unwrap_or_default();
        let queued = self.queued_limits.get(budget).copied().unwrap_or_default();
        if version <= known.version || version <= queued {
            return;
        }
        self.queued_limits.insert(budget.clone(), version);
        self.outbox
            .push(LedgerRecord::limit(budget, version, tokens));
    }

    /// Returns each grant once it has no open slices, and draws no more.
    pub fn close(&mut self) {
        self.closing = true;
        self.settings.idle_ms = 0;
        self.settings.scarce_idle_ms = 0;
    }

    /// Returns whether no grant is held and no record is queued or in flight.
    pub fn is_settled(&self) -> bool {
        let held = self
            .accounts
            .values()
            .any(|account| !account.grants.is_empty());
        !held && self.outbox.is_empty()
    }

    /// Queues a record made elsewhere, such as a reclaim.
    pub fn queue_record(&mut self, record: LedgerRecord) {
        self.outbox.push(record);
    }

    /// Closes grants that are used up or idle, refills accounts and drops unused ones.
    pub fn tick(&mut self, now_ms: u64) {
        let budgets: Vec<BudgetId> = self.accounts.keys().cloned().collect();
        for budget in budgets {
            self.close_grants(&budget, now_ms);
            self.refill(&budget, now_ms);
        }
        let forget_ms = self.settings.idle_ms.saturating_mul(FORGET_IDLE_PERIODS);
        self.accounts.retain(|_, account| {
            let unused = now_ms.saturating_sub(account.last_used_ms) >= forget_ms;
            !unused || account.draw.is_some() || !account.grants.is_empty()
        });
    }

    fn close_grants(&mut self, budget: &BudgetId, now_ms: u64) {
        let balance = self.ledger.balance(budget).unwrap_or_default();
        let Some(account) = self.accounts.get_mut(budget) else {
            return;
        };
        let scarce =
            balance.available().0 <= balance.unspent().0 / self.settings.share_divisor.max(1);
        let idle_ms = if scarce {
            self.settings.scarce_idle_ms
        } else {
            self.settings.idle_ms
        };
        let idle = now_ms.saturating_sub(account.last_used_ms) >= idle_ms;
        for (sequence, grant) in &mut account.grants {
            let used_up = grant.free == Tokens::ZERO;
            if grant.closing || !grant.open_slices.is_empty() || !(used_up || idle) {
                continue;
            }
            grant.closing = true;
            let id = GrantId {
                incarnation: self.incarnation,
                sequence: *sequence,
            };
            self.outbox
                .push(LedgerRecord::close(id, mem::take(&mut grant.free)));
        }
    }

    /// Returns the batch to append now, if any.
    ///
    /// Only one batch is in flight at a time. It is returned again, unchanged, until it is read
    /// back.
    pub fn next_batch(&mut self, now_ms: u64) -> Option<LedgerBatch> {
        self.outbox.next_batch(&self.settings, now_ms)
    }
}

/// The idle periods after which an account without grants is dropped together with its answers.
///
/// A copy of a request that arrives even later can open a slice that stays unused until this
/// incarnation ends.
const FORGET_IDLE_PERIODS: u64 = 6;
