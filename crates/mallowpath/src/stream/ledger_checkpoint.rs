//! Checkpoints of a ledger: its replayed state, appended to its stream before old records expire.
//!
//! A checkpoint is a function of the records below `next_offset`, so every reader that replays up
//! to there creates the same checkpoint.

use crate::{
    Balance, BudgetId, Incarnation, Ledger, LedgerError, Offset, Tokens, Version,
    budget::ledger::{LastDraw, OpenGrant},
    budget::ledger_records::{CheckpointRecord, DrawRecord},
    budget::record_outcome::{DamagedCheckpointSnafu, NoStartSnafu},
    stream::record_id::RecordId,
};
use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

/// A checkpoint that was read from a stream.
#[derive(Debug, Clone)]
pub struct LoggedCheckpoint {
    /// The offset of the record that contains the checkpoint.
    pub offset: Offset,
    /// The checkpoint.
    pub checkpoint: CheckpointRecord,
}

impl Ledger {
    /// Returns the state from which to replay a stream.
    ///
    /// `first` is the oldest offset that the stream keeps, and `checkpoints` are those read from
    /// it. Replay continues at [`Ledger::next`], which the stream still keeps. Skips damaged
    /// checkpoints and those that claim to cover records after their own offset.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream keeps neither its first record nor a usable checkpoint: an
    /// empty state would count spent tokens as unspent.
    pub fn from_checkpoints(
        first: Offset,
        checkpoints: &[LoggedCheckpoint],
    ) -> Result<Self, LedgerError> {
        let mut start = (first == Offset(0)).then(Self::default);
        for LoggedCheckpoint { offset, checkpoint } in checkpoints {
            let replay_from = start.as_ref().map_or(first, Self::next);
            if checkpoint.next_offset < replay_from.0 || checkpoint.next_offset > offset.0 {
                continue;
            }
            if let Ok(ledger) = Self::restore(checkpoint) {
                start = Some(ledger);
            }
        }
        start.ok_or_else(|| NoStartSnafu { first }.build())
    }

    /// Returns a checkpoint of the state, which is the same at every reader with the same `next`.
    pub fn checkpoint(&self) -> CheckpointRecord {
        let state = self.to_state().encode_to_vec();
        let state_hash = xxh3_64(&state);
        CheckpointRecord {
            next_offset: self.next,
            state,
            state_hash,
        }
    }

    /// Returns a hash of the state; equal states have equal hashes.
    pub fn state_hash(&self) -> u64 {
        xxh3_64(&self.to_state().encode_to_vec())
    }

    /// Restores the state from a checkpoint; replay continues at its `next_offset`.
    ///
    /// # Errors
    ///
    /// Returns an error if the state doesn't match its hash, cannot be decoded or is inconsistent.
    pub fn restore(checkpoint: &CheckpointRecord) -> Result<Self, LedgerError> {
        let upto = Offset(checkpoint.next_offset);
        let damaged = || DamagedCheckpointSnafu { upto }.build();
        if xxh3_64(&checkpoint.state) != checkpoint.state_hash {
            return Err(damaged());
        }
        match LedgerState::decode(checkpoint.state.as_slice()) {
            Ok(state) if state.next == checkpoint.next_offset => {
                state.into_ledger().ok_or_else(damaged)
            }
            _ => Err(damaged()),
        }
    }

    fn to_state(&self) -> LedgerState {
        let mut state = LedgerState {
            next: self.next,
            ..LedgerState::default()
        };
        for (budget, balance) in &self.budgets {
            state.budgets.push(BudgetState {
                budget: budget.to_string(),
                limit: balance.limit.0,
                version: balance.version.0,
                top_ups: balance.top_ups.0,
                spent: balance.spent.0,
            });
        }
        for (id, grant) in &self.grants {
            let budget = grant.budget.to_string();
            state.grants.push(DrawRecord {
                budget,
                grant: (*id).into(),
                tokens: grant.tokens,
                members_seen: grant.members_seen,
            });
        }
        for (incarnation, last) in &self.last_draws {
            let id = RecordId {
                incarnation: incarnation.0,
                sequence: last.sequence,
            };
            state.last_draws.push(LastUseState {
                id,
                offset: last.offset,
            });
        }
        for (key, offset) in &self.top_ups {
            let id = RecordId {
                incarnation: *key,
                sequence: 0,
            };
            state.top_ups.push(LastUseState {
                id,
                offset: *offset,
            });
        }
        state
    }
}

/// Serialized state of a ledger; each list is in ascending order of its keys.
#[derive(Clone, PartialEq, prost::Message)]
struct LedgerState {
    #[prost(uint64, tag = "1")]
    next: u64,
    #[prost(message, repeated, tag = "2")]
    budgets: Vec<BudgetState>,
    #[prost(message, repeated, tag = "3")]
    grants: Vec<DrawRecord>,
    #[prost(message, repeated, tag = "4")]
    last_draws: Vec<LastUseState>,
    #[prost(message, repeated, tag = "5")]
    top_ups: Vec<LastUseState>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct BudgetState {
    #[prost(string, tag = "1")]
    budget: String,
    #[prost(uint64, tag = "2")]
    limit: u64,
    #[prost(uint64, tag = "3")]
    version: u64,
    #[prost(uint64, tag = "4")]
    top_ups: u64,
    #[prost(uint64, tag = "5")]
    spent: u64,
}

/// The offset at which an identifier was last used, kept to void repeated records.
#[derive(Clone, PartialEq, prost::Message)]
struct LastUseState {
    #[prost(message, required, tag = "1")]
    id: RecordId,
    #[prost(uint64, tag = "2")]
    offset: u64,
}

impl LedgerState {
    fn into_ledger(self) -> Option<Ledger> {
        let mut ledger = Ledger {
            next: self.next,
            ..Ledger::default()
        };
        for state in self.budgets {
            let balance = Balance {
                limit: Tokens(state.limit),
                version: Version(state.version),
                top_ups: Tokens(state.top_ups),
                spent: Tokens(state.spent),
                open: Tokens::ZERO,
            };
            ledger.budgets.insert(state.budget.parse().ok()?, balance);
        }
        for state in self.grants {
            // Clones the name from the table of budgets, so that both share one allocation.
            let name = state.budget.parse::<BudgetId>().ok()?;
            let budget = ledger.budgets.get_key_value(&name)?.0.clone();
            let balance = ledger.budgets.get_mut(&name)?;
            balance.open = balance.open.saturating_add(Tokens(state.tokens));
            ledger.grants.insert(
                state.grant.into(),
                OpenGrant {
                    budget,
                    tokens: state.tokens,
                    members_seen: state.members_seen,
                },
            );
        }
        for LastUseState { id, offset } in self.last_draws {
            let last = LastDraw {
                sequence: id.sequence,
                offset,
            };
            ledger.last_draws.insert(Incarnation(id.incarnation), last);
        }
        for LastUseState { id, offset } in self.top_ups {
            ledger.top_ups.insert(id.incarnation, offset);
        }
        Some(ledger)
    }
}
