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

use bytes::Bytes;
use mallowpath::{Category, Error, Offset, Result, WorkspaceId};
use prost::Message;
use std::{collections::BTreeMap, sync::Arc};

/// A router's part of one budget, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountLine {
    /// Tokens counted as spent by earlier incarnations of the router.
    pub spent_before: u64,
    /// Tokens granted to this incarnation, less those that it returned.
    pub granted: u64,
    /// Tokens that this incarnation had spent when it appended the record.
    pub spent: u64,
}

/// A router's account: its part of every budget, as stored in one ledger record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Account {
    /// The fencing epoch, which increases with each incarnation of the router.
    pub epoch: u64,
    /// The number of the record within the epoch.
    pub sequence: u64,
    /// The router's part of each budget, by workspace.
    pub lines: BTreeMap<WorkspaceId, AccountLine>,
}

/// The newest account of each router up to an offset of the ledger's topic.
#[derive(Debug, Clone, Default)]
pub struct AccountLedger {
    accounts: BTreeMap<Arc<str>, Account>,
    end: Offset,
}

#[derive(Clone, PartialEq, Message)]
struct AccountRecord {
    #[prost(uint64, tag = "1")]
    epoch: u64,
    #[prost(uint64, tag = "2")]
    sequence: u64,
    #[prost(message, repeated, tag = "3")]
    lines: Vec<LineRecord>,
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
}

impl AccountLedger {
    /// Replaces the account of a router.
    pub fn set(&mut self, router: Arc<str>, account: Account) {
        self.accounts.insert(router, account);
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

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the tokens of a budget that routers have spent or hold.
    pub fn spent_or_held(&self, workspace: &WorkspaceId) -> u64 {
        self.sum(workspace, |line| {
            line.spent_before.saturating_add(line.granted)
        })
    }

    /// Returns the tokens of a budget that are known to be spent.
    ///
    /// Routers may have spent more of their grants since their newest records.
    pub fn known_spent(&self, workspace: &WorkspaceId) -> u64 {
        self.sum(workspace, |line| {
            line.spent_before.saturating_add(line.spent)
        })
    }

    fn sum(&self, workspace: &WorkspaceId, tokens: impl Fn(&AccountLine) -> u64) -> u64 {
        let mut sum: u64 = 0;
        for account in self.accounts.values() {
            let Some(line) = account.lines.get(workspace) else {
                continue;
            };
            sum = sum.saturating_add(tokens(line));
        }
        sum
    }
}

impl Account {
    /// Returns the account of the next incarnation, in which all tokens granted so far count as
    /// spent.
    ///
    /// The previous incarnation has ended, since a host runs one process of each role, but how many
    /// tokens it spent after its last record is unknown.
    #[must_use]
    pub fn successor(&self, epoch: u64) -> Self {
        let mut lines = BTreeMap::new();
        for (workspace, line) in &self.lines {
            let spent_before = line.spent_before.saturating_add(line.granted);
            let line = AccountLine {
                spent_before,
                ..AccountLine::default()
            };
            lines.insert(workspace.clone(), line);
        }
        Self {
            epoch,
            sequence: 0,
            lines,
        }
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
            });
        }
        let record = AccountRecord {
            epoch: self.epoch,
            sequence: self.sequence,
            lines,
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
            };
            lines.insert(workspace, line);
        }
        Ok(Self {
            epoch: record.epoch,
            sequence: record.sequence,
            lines,
        })
    }
}
