//! The ledger of prepaid budgets: the tokens that each router was granted and has spent.
//!
//! The store keeps one account per router, the newest record of the router's key. To draw tokens, a
//! router appends its account with a higher grant and reads the ledger up to that record. It may
//! spend the new tokens only if the newest accounts, its own included, together do not exceed the
//! prepaid tokens; otherwise it appends its account again with a lower grant.
//!
//! A router thus never spends more than its newest account grants, and each increase that it uses
//! was checked together with all accounts before it. The sum of what routers may spend therefore
//! never exceeds the prepaid tokens, and routers that draw concurrently need no compare-and-append
//! at the end of the topic.
//!
//! A store that is restored from an older copy loses the records appended since. Accounts are
//! therefore ordered by the store's generation, then by epoch and sequence, and an account that is known
//! is never replaced by an older one. What a lost record may have granted to a router that has not
//! appended its account again is estimated from its demand and held back.

use super::epoch_claim::EpochClaim;
use crate::process::StoreGeneration;
use bytes::Bytes;
use mallowpath::{Category, Error, Offset, Result, WorkspaceId};
use prost::Message;
use std::{collections::BTreeMap, sync::Arc};

/// The time before a restore of which the store may have lost the records, in seconds.
const LOST_TIME_S: u64 = 10;

/// A router's part of one budget, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountLine {
    /// Tokens counted as spent by earlier incarnations of the router.
    pub spent_before: u64,
    /// Tokens granted to this incarnation, less those that it returned.
    pub granted: u64,
    /// Tokens that this incarnation had spent when it appended the record.
    pub spent: u64,
    /// The demand at that time, in tokens per second.
    pub tokens_per_s: u64,
}

/// A router's account: its part of every budget, as stored in one ledger record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Account {
    /// The fencing epoch, which increases with each incarnation of the router.
    pub epoch: u64,
    /// The number of the record within the epoch.
    pub sequence: u64,
    /// The generation of the store in which the record was appended.
    pub generation: StoreGeneration,
    /// Identifies the process that appended the record.
    pub incarnation: u64,
    /// The router's part of each budget, by workspace.
    pub lines: BTreeMap<WorkspaceId, AccountLine>,
}

/// The newest account of each router up to an offset of the ledger's topic.
#[derive(Debug, Clone, Default)]
pub struct AccountLedger {
    accounts: BTreeMap<Arc<str>, Account>,
    /// The claim of the highest epoch by each router.
    claims: BTreeMap<Arc<str>, EpochClaim>,
    end: Offset,
    /// The generation of the store when it was last read.
    generation: StoreGeneration,
}

#[derive(Clone, PartialEq, Message)]
struct AccountRecord {
    #[prost(uint64, tag = "1")]
    epoch: u64,
    #[prost(uint64, tag = "2")]
    sequence: u64,
    #[prost(message, repeated, tag = "3")]
    lines: Vec<LineRecord>,
    #[prost(uint64, tag = "4")]
    generation: u64,
    #[prost(fixed64, tag = "5")]
    incarnation: u64,
}

#[derive(Clone, PartialEq, Message)]
struct LineRecord {
    #[prost(string, tag = "1")]
    workspace: String,
    #[prost(uint64, tag = "2")]
    spent_before: u64,
    #[prost(uint64, tag = "3")]
    granted: u64,
    #[prost(uint64, tag = "4")]
    spent: u64,
    #[prost(uint64, tag = "5")]
    tokens_per_s: u64,
}

impl AccountLedger {
    /// Replaces the account of a router, unless the known one is newer.
    ///
    /// An incarnation that starts from a restored store may not know all tokens of earlier ones.
    /// Those that this ledger knows stay counted.
    pub fn set(&mut self, router: Arc<str>, mut account: Account) {
        if let Some(known) = self.accounts.get(&router) {
            if known.position() > account.position() {
                return;
            }
            account.keep_spent_before(known);
        }
        self.accounts.insert(router, account);
    }

    /// Records that a process of `router` has claimed an epoch.
    pub fn set_claim(&mut self, router: Arc<str>, claim: EpochClaim) {
        let known = self.claims.get(&router);
        if known.is_none_or(|known| known.epoch <= claim.epoch) {
            self.claims.insert(router, claim);
        }
    }

    /// Returns the claim of the highest epoch that a process of `router` has claimed.
    pub fn claim(&self, router: &str) -> Option<EpochClaim> {
        self.claims.get(router).copied()
    }

    /// Returns the highest epoch of `router` that is known; 0 if there is none.
    pub fn highest_epoch(&self, router: &str) -> u64 {
        let claimed = self.claim(router).map_or(0, |claim| claim.epoch);
        let appended = self.account(router).map_or(0, |account| account.epoch);
        claimed.max(appended)
    }

    /// Sets the generation of the store, which never falls.
    pub fn set_generation(&mut self, generation: StoreGeneration) {
        self.generation = self.generation.max(generation);
    }

    /// Returns the generation of the store when it was last read.
    pub fn generation(&self) -> StoreGeneration {
        self.generation
    }

    /// Sets the offset of the first record that has not been read.
    pub fn set_end(&mut self, end: Offset) {
        self.end = end;
    }

    /// Returns the offset of the first record that has not been read.
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Returns the account of a router, if it has one.
    pub fn account(&self, router: &str) -> Option<&Account> {
        self.accounts.get(router)
    }

    /// Returns the number of routers that hold tokens of any budget.
    pub fn holder_count(&self) -> usize {
        let holders = self.accounts.values();
        holders.filter(|account| account.holds_tokens()).count()
    }

    /// Returns the number of routers that hold tokens of the budget.
    pub fn holders_of(&self, workspace: &WorkspaceId) -> usize {
        let lines = self
            .accounts
            .values()
            .filter_map(|account| account.lines.get(workspace));
        lines.filter(|line| line.holds_tokens()).count()
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the tokens of a budget that routers have spent or hold.
    ///
    /// For an account of an earlier generation, this includes the tokens that a lost record may have
    /// granted.
    pub fn spent_or_held(&self, workspace: &WorkspaceId) -> u64 {
        self.sum(workspace, |account, line| {
            let lost = if account.generation < self.generation {
                line.tokens_per_s.saturating_mul(LOST_TIME_S)
            } else {
                0
            };
            line.total().saturating_add(lost)
        })
    }

    /// Returns the tokens of a budget that are known to be spent.
    ///
    /// Routers may have spent more of their grants since their newest records.
    pub fn known_spent(&self, workspace: &WorkspaceId) -> u64 {
        self.sum(workspace, |_, line| {
            line.spent_before.saturating_add(line.spent)
        })
    }

    /// Returns the tokens of each budget that routers hold and had not spent as of their newest records.
    pub(super) fn unspent(&self) -> BTreeMap<WorkspaceId, u64> {
        let mut unspent = BTreeMap::new();
        for (workspace, line) in self.accounts.values().flat_map(|account| &account.lines) {
            let tokens = line.granted.saturating_sub(line.spent);
            if tokens > 0 {
                *unspent.entry(workspace.clone()).or_default() += tokens;
            }
        }
        unspent
    }

    fn sum(&self, workspace: &WorkspaceId, tokens: impl Fn(&Account, &AccountLine) -> u64) -> u64 {
        let mut sum: u64 = 0;
        for account in self.accounts.values() {
            let Some(line) = account.lines.get(workspace) else {
                continue;
            };
            sum = sum.saturating_add(tokens(account, line));
        }
        sum
    }
}

impl AccountLine {
    /// Returns whether tokens are granted that were not spent when the record was appended.
    fn holds_tokens(&self) -> bool {
        self.granted > self.spent
    }

    /// Returns the tokens that the router and its earlier incarnations may have spent.
    fn total(&self) -> u64 {
        self.spent_before.saturating_add(self.granted)
    }
}

impl Account {
    /// Returns whether the router held tokens of any budget when it appended the record.
    pub(super) fn holds_tokens(&self) -> bool {
        self.lines.values().any(AccountLine::holds_tokens)
    }

    /// Returns whether both are the same record of one process.
    pub fn is_record_of(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.position() == other.position()
    }

    /// Returns the position of the record among those of its router.
    fn position(&self) -> (StoreGeneration, u64, u64) {
        (self.generation, self.epoch, self.sequence)
    }

    /// Raises the tokens of earlier incarnations to those that an older account of the router
    /// shows.
    fn keep_spent_before(&mut self, known: &Self) {
        let is_same = known.incarnation == self.incarnation;
        if !is_same && known.generation == self.generation {
            // This incarnation has read the last account of the one before.
            return;
        }
        for (workspace, known_line) in &known.lines {
            let spent_before = if is_same {
                known_line.spent_before
            } else {
                known_line.total()
            };
            let line = self.lines.entry(workspace.clone()).or_default();
            line.spent_before = line.spent_before.max(spent_before);
        }
    }

    /// Returns the account of the next incarnation, in which all tokens granted so far count as
    /// spent.
    ///
    /// The previous incarnation has ended, since a host runs one process of each role, but how many
    /// tokens it spent after its last record is unknown.
    #[must_use]
    pub fn successor(&self, epoch: u64) -> Self {
        let mut lines = BTreeMap::new();
        for (workspace, line) in &self.lines {
            let line = AccountLine {
                spent_before: line.total(),
                ..AccountLine::default()
            };
            lines.insert(workspace.clone(), line);
        }
        Self {
            epoch,
            lines,
            ..Self::default()
        }
    }

    /// Returns the account with no grant higher than in `base`.
    #[must_use]
    pub(super) fn without_raises(mut self, base: &Self) -> Self {
        for (workspace, line) in &mut self.lines {
            let current = base.lines.get(workspace).map_or(0, |line| line.granted);
            line.granted = line.granted.min(current);
        }
        self
    }

    /// Returns the account of a router that draws no more.
    #[must_use]
    pub(super) fn without_demand(mut self) -> Self {
        for line in self.lines.values_mut() {
            line.tokens_per_s = 0;
        }
        self
    }

    /// Returns whether all grants are those of `other`.
    pub(super) fn has_grants_of(&self, other: &Self) -> bool {
        for (workspace, line) in &self.lines {
            let granted = other.lines.get(workspace).map_or(0, |line| line.granted);
            if line.granted != granted {
                return false;
            }
        }
        true
    }

    /// Encodes the account as the value of a ledger record.
    pub fn encode(&self) -> Bytes {
        let mut lines = Vec::with_capacity(self.lines.len());
        for (workspace, line) in &self.lines {
            lines.push(LineRecord {
                workspace: workspace.to_string(),
                spent_before: line.spent_before,
                granted: line.granted,
                spent: line.spent,
                tokens_per_s: line.tokens_per_s,
            });
        }
        let record = AccountRecord {
            epoch: self.epoch,
            sequence: self.sequence,
            lines,
            generation: self.generation.0,
            incarnation: self.incarnation,
        };
        Bytes::from(record.encode_to_vec())
    }

    /// Decodes the value of a ledger record of `router`.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Protocol`] when the bytes are not an account, or a workspace's name
    /// is invalid.
    pub fn decode(router: &str, value: Bytes) -> Result<Self> {
        let invalid = || {
            Error::new(
                Category::Protocol,
                "decode a budget account",
                router,
                "the record is not a valid account",
            )
        };
        let record = match AccountRecord::decode(value) {
            Ok(record) => record,
            Err(error) => return Err(invalid().with_source(error)),
        };
        let mut lines = BTreeMap::new();
        for line in record.lines {
            let workspace: WorkspaceId = match line.workspace.parse() {
                Ok(workspace) => workspace,
                Err(error) => return Err(invalid().with_source(error)),
            };
            let line = AccountLine {
                spent_before: line.spent_before,
                granted: line.granted,
                spent: line.spent,
                tokens_per_s: line.tokens_per_s,
            };
            lines.insert(workspace, line);
        }
        Ok(Self {
            epoch: record.epoch,
            sequence: record.sequence,
            generation: StoreGeneration(record.generation),
            incarnation: record.incarnation,
            lines,
        })
    }
}
