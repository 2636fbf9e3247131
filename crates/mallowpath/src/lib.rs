//! Router fleet for prepaid token budgets.

mod checkpoint;
mod id;
mod keeper;
mod keeper_account;
mod ledger;
mod ledger_records;
mod outbox;
mod rate;
mod slice;
mod verdict;
mod wallet;
mod wallet_account;

pub use id::{
    BackendId, BudgetId, GrantId, HostId, Incarnation, Offset, ParseIdError, Region, RequestId,
    ServiceId, SliceId, Tokens, Version, WorkspaceId, Zone,
};
pub use keeper::{Keeper, KeeperSettings};
pub use ledger::{DEDUPE_WINDOW_OFFSETS, Ledger, MAX_BUDGET_TOKENS, shard_of};
pub use ledger_records::{
    CheckpointRecord, CloseRecord, DrawRecord, LedgerBatch, LedgerEntry, LedgerRecord, LimitRecord,
    RecordId, TopUpRecord,
};
pub use slice::{Slice, SliceAnswer, SliceReply, SliceRequest, SliceReturn};
pub use verdict::{Balance, Effect, LedgerError, Verdict, VoidReason};
pub use wallet::{
    GrantSpent, KeeperReport, OutgoingRequest, Outstanding, Reservation, ReserveOutcome, SlicePart,
    Wallet, WalletSettings,
};
