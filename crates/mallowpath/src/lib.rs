//! Router fleet for prepaid token budgets.

mod backoff;
mod change;
mod claim_verdict;
mod error;
mod fleet;
mod fleet_read;
mod host_client;
mod http_call;
mod id;
mod ini;
mod issue;
mod key;
mod key_claim;
mod key_message;
mod key_replica;
mod key_table;
mod load_queue;
mod log_client;
mod members;
mod order;
mod replay;
mod run;
mod run_marks;
mod section;
mod settings;
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
mod slice;
mod verdict;
mod wallet;
mod wallet_account;

pub use backoff::Backoff;
pub use change::{
    Change, ChangeId, ConfigCheckpoint, ConfigEntry, ConfigRecord, Delta, JudgedChange,
    SectionNameRecord, SectionRecord, diff,
};
pub use claim_verdict::ClaimVerdict;
pub use error::{Category, Error, Result};
pub use fleet::{
    BackendMode, BackendRule, BearerHash, Budget, Fleet, FleetRules, Service, ServiceKind,
    Services, WhenUnconfirmed, Workspace,
};
pub use fleet_read::parse_tokens;
pub use host_client::{HostClient, HostClientSettings, HostEntry, HostList, HostRole, HostState};
mod backend;
mod baseline;
mod candidates;
mod estimate;
mod id;
mod prefix;
mod rendezvous;
mod route;

pub use backend::{Backend, BackendState, LoadReport};
pub use baseline::{least_outstanding, round_robin};
pub use estimate::Estimate;
pub use audit::{Audit, BillConflict, BillTotal};
pub use bill::{Bill, BillBatch, BillOutcome, BillRecord, PartRecord, charge, sum_parts};
pub use bill_book::{BillBook, BillCounts, BillSettings, BillState, BillWatermark, Recorded};
pub use bill_shelf::{BillShelf, SidecarConfirmation};
pub use id::{
    BackendId, BudgetId, GrantId, HostId, Incarnation, Offset, ParseIdError, Region, RequestId,
    ServiceId, SliceId, Tokens, Version, WorkspaceId, Zone,
};
pub use ini::{IniDocument, IniSection, IniValue};
pub use issue::{Issue, IssueReport, Place};
pub use key::{
    Claim, ClaimEvidence, ClaimsCheckpoint, KeyEntry, KeyHash, KeyLog, KeyPeer, KeyRecord,
    KeyShards, KeysChange, KeysRecord, key_shard, recover_keys,
};
pub use key_message::{KeyAck, KeyCopy, KeyCopyHeld, KeyDrop, KeyUpdate};
pub use key_replica::{CommitAnswer, KeyReplica, KeySettings};
pub use load_queue::{LoadOrder, LoadQueue, LoadSettings};
pub use log_client::{LogClient, LogClientSettings, LogPage, LogRecord};
pub use members::{
    Fence, FenceDone, FencedAt, Join, JoinedAt, Leave, Members, MembersChange, MembersCheckpoint,
    MembersRecord, confirmed_hash,
};
pub use order::{
    OrderAnswer, OrderClaim, OrderGate, OrderRight, OrderRightRecord, OrderSettings, Orders,
    OrdersChange, OrdersCheckpoint, OrdersRecord,
};
pub use replay::{ConfigLoader, ConfigState, ConfigVerdict, ConfigVoid, ReplayError};
pub use run::{AttachAnswer, RunEnd, RunKey, RunSettings, RunTable, Submit, SubmitAnswer};
pub use section::{Section, SectionName, Sections, sections_of};
pub use settings::{
    HostSettings, PeerTiming, RouterSettings, RouterTuning, SidecarSettings, SidecarTuning,
pub use keeper::{Keeper, KeeperSettings};
pub use ledger::{DEDUPE_WINDOW_OFFSETS, Ledger, MAX_BUDGET_TOKENS, shard_of};
pub use ledger_records::{
    CheckpointRecord, CloseRecord, DrawRecord, LedgerBatch, LedgerEntry, LedgerRecord, LimitRecord,
    RecordId, TopUpRecord,
};
pub use reclaim::{KeeperReclaim, MissingProof, RouterReclaim, SliceProof};
pub use slice::{
    GrantSpent, KeeperReport, Slice, SliceAnswer, SliceReply, SliceRequest, SliceReturn,
};
pub use verdict::{Balance, Effect, LedgerError, Verdict, VoidReason};
pub use wallet::{
    OutgoingRequest, Outstanding, Reservation, ReserveOutcome, SlicePart, Wallet, WalletSettings,
};
pub use prefix::{
    CacheEvent, CacheEventKind, PREFIX_BLOCK_BYTES, PREFIX_BLOCK_TOKENS, PrefixSketch,
    prefix_hashes,
};
pub use rendezvous::{Candidate, HostPlace, SubsetSettings, pick, pick_n, rendezvous_key, subset};
pub use route::{Choice, NoBackend, Reason, RouteRequest, RouteSettings, RouteTable};
