//! Effects of ledger records on budgets.

use crate::{BudgetId, GrantId, Offset, Tokens, Version};
use snafu::Snafu;

/// The result of applying a record to the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordOutcome {
    /// The budget that the record concerns, when known.
    pub budget: Option<BudgetId>,
    /// The grant that the record concerns, if any.
    pub grant: Option<GrantId>,
    /// The effect of the record.
    pub effect: RecordEffect,
}

/// The effect of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordEffect {
    /// The limit of the budget was set to this amount.
    Limited(Tokens),
    /// This amount was added to the budget.
    ToppedUp(Tokens),
    /// The grant was opened with this amount, which is at most what the draw requested.
    Granted(Tokens),
    /// The grant was closed by its holder with this amount unspent.
    Returned(Tokens),
    /// The grant of a fenced holder was closed with this amount proven unspent.
    Reclaimed(Tokens),
    /// The record carries a checkpoint and changes nothing.
    Checkpointed,
    /// The record changed nothing.
    Void(VoidReason),
}

/// Why a record changed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoidReason {
    /// A field is invalid, or the record is of an unknown kind.
    Malformed,
    /// The identifier or version was applied before, or is older than one that was.
    Duplicate,
    /// The top-up was appended too long after it was issued.
    Expired,
    /// No limit was ever set for the budget.
    UnknownBudget,
    /// No tokens are left for new grants of the budget.
    NothingLeft,
    /// The grant isn't open.
    NotOpen,
    /// The returned amount exceeds the grant, or the limit or the sum of top-ups is too large.
    TooLarge,
}

/// The sums of one budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Balance {
    /// The prepaid amount from the configuration.
    pub limit: Tokens,
    /// The version of the configuration that set the limit.
    pub version: Version,
    /// The sum of the top-ups.
    pub top_ups: Tokens,
    /// The tokens spent of closed grants.
    pub spent: Tokens,
    /// The tokens in open grants.
    pub open: Tokens,
}

/// An error that stops the replay of a ledger.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LedgerError {
    /// Records are missing between the state and the given record.
    #[snafu(display("ledger replay: expected offset {expected}, read {found}"))]
    Gap {
        /// The next offset that the state expects.
        expected: Offset,
        /// The offset of the given record.
        found: Offset,
    },
    /// The stream retains neither its beginning nor a checkpoint to start from.
    #[snafu(display(
        "ledger start: records below offset {first} are missing and no checkpoint covers them"
    ))]
    NoStart {
        /// The offset of the oldest retained record.
        first: Offset,
    },
    /// The state in a checkpoint doesn't match its hash or can't be decoded.
    #[snafu(display("ledger checkpoint up to offset {upto} is damaged"))]
    DamagedCheckpoint {
        /// The offset below which the checkpoint contains all records.
        upto: Offset,
    },
}

impl Balance {
    /// Returns the tokens left for new grants.
    ///
    /// The result is negative after the limit was lowered below the spent and granted tokens.
    pub fn available_signed(&self) -> i64 {
        let paid = self.limit.saturating_add(self.top_ups);
        let allocated = self.spent.saturating_add(self.open);
        paid.0
            .cast_signed()
            .saturating_sub(allocated.0.cast_signed())
    }

    /// Returns the tokens left for new grants, at least zero.
    pub fn available(&self) -> Tokens {
        Tokens(u64::try_from(self.available_signed()).unwrap_or_default())
    }

    /// Returns the tokens that aren't known to be spent: those left and those in open grants.
    pub fn unspent(&self) -> Tokens {
        self.limit
            .saturating_add(self.top_ups)
            .saturating_sub(self.spent)
    }
}
