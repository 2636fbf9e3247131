//! Router fleet for prepaid token budgets.

mod audit;
mod bill;
mod bill_book;
mod bill_shelf;
mod checkpoint;
mod id;
mod keeper;
mod keeper_account;
mod ledger;
mod ledger_records;
mod outbox;
mod rate;
mod reclaim;
mod reservation;
mod slice;
mod verdict;
mod wallet;
mod wallet_account;

pub use audit::{Audit, BillConflict, BillTotal};
pub use bill::{Bill, BillBatch, BillOutcome, BillRecord, PartRecord, charge, sum_parts};
pub use bill_book::{BillBook, BillCounts, BillSettings, BillState, BillWatermark, Recorded};
pub use bill_shelf::{BillShelf, SidecarConfirmation};
pub use checkpoint::LoggedCheckpoint;
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
pub use reclaim::{KeeperReclaim, MissingProof, RouterReclaim, SliceProof};
pub use reservation::{Reservation, ReserveOutcome, SlicePart};
pub use slice::{
    GrantSpent, KeeperReport, Slice, SliceAnswer, SliceReply, SliceRequest, SliceReturn,
};
pub use verdict::{Balance, Effect, LedgerError, Verdict, VoidReason};
pub use wallet::{OutgoingRequest, Outstanding, Wallet, WalletSettings};
