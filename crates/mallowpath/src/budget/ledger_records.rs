//! Records of the `ledger-NN` streams.

use crate::{BudgetId, GrantId, Offset, RecordId, Tokens, Version};

/// The contents of one append to a ledger stream.
///
/// The author appends the batch again, unchanged, until it reads the batch back. All records of a
/// second copy are void.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LedgerBatch {
    /// The incarnation of the author.
    #[prost(fixed64, tag = "1")]
    pub author: u64,
    /// The number of the batch among those of its author, from 1.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The records, applied in order.
    #[prost(message, repeated, tag = "3")]
    pub records: Vec<LedgerRecord>,
}

/// One record of a batch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LedgerRecord {
    /// The contents; absent when a later version of the software wrote a kind of record that this
    /// version doesn't support.
    #[prost(oneof = "LedgerEntry", tags = "1, 2, 3, 4, 5, 6")]
    pub entry: Option<LedgerEntry>,
}

/// The contents of a ledger record.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum LedgerEntry {
    /// Sets the prepaid amount of a budget.
    #[prost(message, tag = "1")]
    Limit(LimitRecord),
    /// Adds prepaid tokens to a budget.
    #[prost(message, tag = "2")]
    TopUp(TopUpRecord),
    /// Opens a grant of a budget.
    #[prost(message, tag = "3")]
    Draw(DrawRecord),
    /// Closes a grant on behalf of its holder.
    #[prost(message, tag = "4")]
    Return(CloseRecord),
    /// Closes a grant of a fenced holder with the tokens that are proven unspent.
    #[prost(message, tag = "5")]
    Reclaim(CloseRecord),
    /// Contains the state of the shard, so that older records can leave the log.
    #[prost(message, tag = "6")]
    Checkpoint(CheckpointRecord),
}

/// Sets the prepaid amount of a budget.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitRecord {
    /// The name of the budget.
    #[prost(string, tag = "1")]
    pub budget: String,
    /// The version of the configuration; a record whose version isn't newer than the budget's is
    /// void.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The prepaid amount.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Adds prepaid tokens to a budget.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TopUpRecord {
    /// The name of the budget.
    #[prost(string, tag = "1")]
    pub budget: String,
    /// The identifier of the top-up; a repetition for the same budget is void.
    #[prost(string, tag = "2")]
    pub id: String,
    /// The amount added.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// The next offset of the stream when the top-up was issued; the record expires a fixed number
    /// of offsets later, so that readers needn't remember identifiers forever.
    #[prost(uint64, tag = "4")]
    pub issued_at: u64,
}

/// Opens a grant of a budget.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DrawRecord {
    /// The name of the budget.
    #[prost(string, tag = "1")]
    pub budget: String,
    /// The grant; its sequence number exceeds those of all earlier draws of the incarnation.
    #[prost(message, required, tag = "2")]
    pub grant: RecordId,
    /// The requested amount.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// The offset up to which the author had read the `members` stream.
    #[prost(uint64, tag = "4")]
    pub members_seen: u64,
}

/// Closes a grant.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CloseRecord {
    /// The grant.
    #[prost(message, required, tag = "1")]
    pub grant: RecordId,
    /// The tokens of the grant that were not spent.
    #[prost(uint64, tag = "2")]
    pub unspent: u64,
}

/// The state of a shard after all records below an offset.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CheckpointRecord {
    /// The offset of the first record that the state doesn't contain.
    #[prost(uint64, tag = "1")]
    pub next_offset: u64,
    /// The encoded state.
    #[prost(bytes = "vec", tag = "2")]
    pub state: Vec<u8>,
    /// The hash of the encoded state.
    #[prost(fixed64, tag = "3")]
    pub state_hash: u64,
}

impl From<CheckpointRecord> for LedgerRecord {
    fn from(checkpoint: CheckpointRecord) -> Self {
        Self {
            entry: Some(LedgerEntry::Checkpoint(checkpoint)),
        }
    }
}

impl LedgerRecord {
    /// Returns a record that sets the prepaid amount of a budget.
    pub fn limit(budget: &BudgetId, version: Version, tokens: Tokens) -> Self {
        let budget = budget.to_string();
        let record = LimitRecord {
            budget,
            version: version.0,
            tokens: tokens.0,
        };
        Self {
            entry: Some(LedgerEntry::Limit(record)),
        }
    }

    /// Returns a record that opens a grant of a budget.
    pub fn draw(budget: &BudgetId, grant: GrantId, tokens: Tokens) -> Self {
        let budget = budget.to_string();
        let record = DrawRecord {
            budget,
            grant: grant.into(),
            tokens: tokens.0,
            members_seen: 0,
        };
        Self {
            entry: Some(LedgerEntry::Draw(record)),
        }
    }

    /// Sets the offset up to which the author of a draw had read the `members` stream.
    ///
    /// Members that left before this offset can't hold tokens of the grant. A reclaim uses
    /// the offset to determine whose reports it needs.
    #[must_use]
    pub fn with_members_seen(mut self, members_seen: Offset) -> Self {
        if let Some(LedgerEntry::Draw(record)) = &mut self.entry {
            record.members_seen = members_seen.0;
        }
        self
    }

    /// Returns the grant that the record closes, if any.
    pub(crate) fn closed_grant(&self) -> Option<GrantId> {
        match &self.entry {
            Some(LedgerEntry::Return(record) | LedgerEntry::Reclaim(record)) => {
                Some(record.grant.into())
            }
            _ => None,
        }
    }

    /// Returns a record by which the holder of a grant closes it.
    pub fn close(grant: GrantId, unspent: Tokens) -> Self {
        let record = CloseRecord {
            grant: grant.into(),
            unspent: unspent.0,
        };
        Self {
            entry: Some(LedgerEntry::Return(record)),
        }
    }

    /// Returns a record that closes a grant of a fenced holder.
    pub fn reclaim(grant: GrantId, unspent: Tokens) -> Self {
        let record = CloseRecord {
            grant: grant.into(),
            unspent: unspent.0,
        };
        Self {
            entry: Some(LedgerEntry::Reclaim(record)),
        }
    }
}
