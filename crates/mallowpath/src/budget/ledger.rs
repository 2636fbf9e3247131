//! The state of one shard of budgets, replayed from its ledger stream.
//!
//! Whether a record takes effect depends only on the records before it, so that all readers compute
//! the same state. Where identifiers have been forgotten, a rule may leave fewer tokens to spend
//! but never more.

use crate::{
    Balance, BudgetId, GrantId, Incarnation, LedgerError, Offset, RecordEffect, RecordOutcome,
    Tokens, Version, VoidReason,
    budget::ledger_records::{
        CloseRecord, DrawRecord, LedgerBatch, LedgerEntry, LimitRecord, TopUpRecord,
    },
    budget::record_outcome::GapSnafu,
};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The largest limit and the largest sum of top-ups of one budget, in tokens.
///
/// The sum of both fits into a signed 64-bit integer.
pub const MAX_BUDGET_TOKENS: u64 = 1 << 60;

/// The number of stream offsets for which an identifier is remembered after its last use.
pub const DEDUPE_WINDOW_OFFSETS: u64 = 1 << 16;

/// The number of stream offsets between two removals of expired identifiers.
const PRUNE_INTERVAL_OFFSETS: u64 = 1 << 10;

/// The replayed state of one shard.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ledger {
    /// The offset of the next record.
    pub(crate) next: u64,
    pub(crate) budgets: BTreeMap<BudgetId, Balance>,
    /// The open grants.
    pub(crate) grants: BTreeMap<GrantId, OpenGrant>,
    /// The last draw of each keeper.
    pub(crate) last_draws: BTreeMap<Incarnation, LastDraw>,
    /// The offsets of the remembered top-ups by the hash of budget and identifier.
    pub(crate) top_ups: BTreeMap<u64, u64>,
}

/// A grant that was neither returned nor reclaimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OpenGrant {
    pub(crate) budget: BudgetId,
    pub(crate) tokens: u64,
    /// The offset up to which the holder had read the `members` stream.
    pub(crate) members_seen: u64,
}

/// The sequence number and offset of a keeper's last draw.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LastDraw {
    pub(crate) sequence: u64,
    pub(crate) offset: u64,
}

/// The number of ledger streams; all processes of a fleet must agree on it.
pub const LEDGER_SHARDS: u32 = 16;

/// Returns the shard of a budget among `shards` shards.
pub fn shard_of(budget: &BudgetId, shards: u32) -> u32 {
    let hash = xxh3_64(budget.as_str().as_bytes());
    u32::try_from(hash % u64::from(shards.max(1))).unwrap_or_default()
}

impl Ledger {
    /// Returns the offset of the first record that the state doesn't contain.
    pub fn next(&self) -> Offset {
        Offset(self.next)
    }

    /// Returns the balance of a budget, or `None` if no limit was ever set for it.
    pub fn balance(&self, budget: &BudgetId) -> Option<Balance> {
        self.budgets.get(budget).copied()
    }

    /// Returns all budgets and their balances, ordered by name.
    pub fn balances(&self) -> impl Iterator<Item = (&BudgetId, &Balance)> {
        self.budgets.iter()
    }

    /// Returns the open grants of an incarnation, their budgets and their amounts.
    pub fn open_grants(&self, holder: Incarnation) -> Vec<(GrantId, BudgetId, Tokens)> {
        let first = GrantId {
            incarnation: holder,
            sequence: 0,
        };
        let last = GrantId {
            incarnation: holder,
            sequence: u64::MAX,
        };
        let mut open = Vec::new();
        for (id, grant) in self.grants.range(first..=last) {
            open.push((*id, grant.budget.clone(), Tokens(grant.tokens)));
        }
        open
    }

    /// Returns the offset up to which the holder of an open grant had read `members` at the draw.
    pub fn members_seen(&self, grant: GrantId) -> Option<Offset> {
        let open = self.grants.get(&grant)?;
        Some(Offset(open.members_seen))
    }

    /// Returns the incarnations that hold open grants.
    pub fn grant_holders(&self) -> BTreeSet<Incarnation> {
        self.grants.keys().map(|grant| grant.incarnation).collect()
    }

    /// Applies the batch at an offset and returns one outcome for each record.
    ///
    /// A batch below the next offset was applied before; it changes nothing and has no outcomes.
    ///
    /// # Errors
    ///
    /// Fails without a change when records are missing before `offset`.
    pub fn apply(
        &mut self,
        offset: Offset,
        batch: &LedgerBatch,
    ) -> Result<Vec<RecordOutcome>, LedgerError> {
        if offset.0 < self.next {
            return Ok(Vec::new());
        }
        if offset.0 > self.next {
            return GapSnafu {
                expected: self.next(),
                found: offset,
            }
            .fail();
        }
        let mut outcomes = Vec::with_capacity(batch.records.len());
        for record in &batch.records {
            outcomes.push(self.apply_entry(offset.0, record.entry.as_ref()));
        }
        self.next += 1;
        if self.next.is_multiple_of(PRUNE_INTERVAL_OFFSETS) {
            self.prune();
        }
        Ok(outcomes)
    }

    /// Applies the encoded batch at an offset; bytes that can't be decoded only advance the offset.
    ///
    /// # Errors
    ///
    /// Fails without a change when records are missing before `offset`.
    pub fn apply_bytes(
        &mut self,
        offset: Offset,
        bytes: &[u8],
    ) -> Result<Vec<RecordOutcome>, LedgerError> {
        let batch = LedgerBatch::decode(bytes).unwrap_or_default();
        self.apply(offset, &batch)
    }

    fn apply_entry(&mut self, offset: u64, entry: Option<&LedgerEntry>) -> RecordOutcome {
        match entry {
            Some(LedgerEntry::Limit(record)) => self.apply_limit(record),
            Some(LedgerEntry::TopUp(record)) => self.apply_top_up(offset, record),
            Some(LedgerEntry::Draw(record)) => self.apply_draw(offset, record),
            Some(LedgerEntry::Return(record)) => self.apply_close(record, RecordEffect::Returned),
            Some(LedgerEntry::Reclaim(record)) => self.apply_close(record, RecordEffect::Reclaimed),
            Some(LedgerEntry::Checkpoint(_)) => outcome(None, None, RecordEffect::Checkpointed),
            None => outcome(None, None, RecordEffect::Void(VoidReason::Malformed)),
        }
    }

    fn apply_limit(&mut self, record: &LimitRecord) -> RecordOutcome {
        let Ok(budget) = record.budget.parse::<BudgetId>() else {
            return outcome(None, None, RecordEffect::Void(VoidReason::Malformed));
        };
        if record.tokens > MAX_BUDGET_TOKENS {
            return outcome(Some(budget), None, RecordEffect::Void(VoidReason::TooLarge));
        }
        let balance = self.budgets.entry(budget.clone()).or_default();
        // Version 0 means that no limit was set, so only records with a later version count.
        if record.version <= balance.version.0 {
            let unset = balance.version.0 == 0;
            if unset {
                self.budgets.remove(&budget);
            }
            return outcome(
                Some(budget),
                None,
                RecordEffect::Void(VoidReason::Duplicate),
            );
        }
        balance.version = Version(record.version);
        balance.limit = Tokens(record.tokens);
        outcome(
            Some(budget),
            None,
            RecordEffect::Limited(Tokens(record.tokens)),
        )
    }

    fn apply_top_up(&mut self, offset: u64, record: &TopUpRecord) -> RecordOutcome {
        let Ok(budget) = record.budget.parse::<BudgetId>() else {
            return outcome(None, None, RecordEffect::Void(VoidReason::Malformed));
        };
        let effect = self.top_up(offset, &budget, record);
        outcome(Some(budget), None, effect)
    }

    fn top_up(&mut self, offset: u64, budget: &BudgetId, record: &TopUpRecord) -> RecordEffect {
        let Some(balance) = self.budgets.get_mut(budget) else {
            return RecordEffect::Void(VoidReason::UnknownBudget);
        };
        if record.issued_at > offset || record.id.is_empty() {
            return RecordEffect::Void(VoidReason::Malformed);
        }
        if offset - record.issued_at > DEDUPE_WINDOW_OFFSETS {
            return RecordEffect::Void(VoidReason::Expired);
        }
        let id = top_up_key(budget, &record.id);
        if self.top_ups.contains_key(&id) {
            return RecordEffect::Void(VoidReason::Duplicate);
        }
        let sum = balance.top_ups.saturating_add(Tokens(record.tokens));
        if sum.0 > MAX_BUDGET_TOKENS {
            return RecordEffect::Void(VoidReason::TooLarge);
        }
        balance.top_ups = sum;
        self.top_ups.insert(id, offset);
        RecordEffect::ToppedUp(Tokens(record.tokens))
    }

    fn apply_draw(&mut self, offset: u64, record: &DrawRecord) -> RecordOutcome {
        let grant = GrantId::from(record.grant);
        let Ok(budget) = record.budget.parse::<BudgetId>() else {
            return outcome(None, Some(grant), RecordEffect::Void(VoidReason::Malformed));
        };
        let effect = self.draw(offset, &budget, grant, record);
        outcome(Some(budget), Some(grant), effect)
    }

    fn draw(
        &mut self,
        offset: u64,
        budget: &BudgetId,
        grant: GrantId,
        record: &DrawRecord,
    ) -> RecordEffect {
        let last = self.last_draws.get(&grant.incarnation);
        if last.is_some_and(|last| grant.sequence <= last.sequence) {
            return RecordEffect::Void(VoidReason::Duplicate);
        }
        if self.grants.contains_key(&grant) {
            return RecordEffect::Void(VoidReason::Duplicate);
        }
        // A void draw is remembered too, so that a second copy of it can't take effect.
        self.last_draws.insert(
            grant.incarnation,
            LastDraw {
                sequence: grant.sequence,
                offset,
            },
        );
        let Some(balance) = self.budgets.get_mut(budget) else {
            return RecordEffect::Void(VoidReason::UnknownBudget);
        };
        let granted = Tokens(record.tokens.min(balance.available().0));
        if granted == Tokens::ZERO {
            return RecordEffect::Void(VoidReason::NothingLeft);
        }
        balance.open = balance.open.saturating_add(granted);
        self.grants.insert(
            grant,
            OpenGrant {
                budget: budget.clone(),
                tokens: granted.0,
                members_seen: record.members_seen,
            },
        );
        RecordEffect::Granted(granted)
    }

    fn apply_close(
        &mut self,
        record: &CloseRecord,
        effect: fn(Tokens) -> RecordEffect,
    ) -> RecordOutcome {
        let grant = GrantId::from(record.grant);
        let Some(open) = self.grants.get(&grant) else {
            return outcome(None, Some(grant), RecordEffect::Void(VoidReason::NotOpen));
        };
        let (budget, tokens) = (open.budget.clone(), open.tokens);
        if record.unspent > tokens {
            return outcome(
                Some(budget),
                Some(grant),
                RecordEffect::Void(VoidReason::TooLarge),
            );
        }
        self.grants.remove(&grant);
        if let Some(balance) = self.budgets.get_mut(&budget) {
            balance.open = balance.open.saturating_sub(Tokens(tokens));
            balance.spent = balance
                .spent
                .saturating_add(Tokens(tokens - record.unspent));
        }
        outcome(Some(budget), Some(grant), effect(Tokens(record.unspent)))
    }

    /// Removes identifiers that weren't used within the dedupe window.
    ///
    /// A later copy of such a top-up has expired. A later copy of such a draw opens a grant without
    /// a holder, which leaves fewer tokens to spend, not more.
    fn prune(&mut self) {
        let oldest = self.next.saturating_sub(DEDUPE_WINDOW_OFFSETS + 1);
        self.top_ups.retain(|_, offset| *offset >= oldest);
        self.last_draws.retain(|_, last| last.offset >= oldest);
    }
}

fn outcome(
    budget: Option<BudgetId>,
    grant: Option<GrantId>,
    effect: RecordEffect,
) -> RecordOutcome {
    RecordOutcome {
        budget,
        grant,
        effect,
    }
}

fn top_up_key(budget: &BudgetId, id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), xxh3_64(budget.as_str().as_bytes()))
}
