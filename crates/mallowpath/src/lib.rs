//! Router fleet for prepaid token budgets.
//!
//! Callers send chat completions and plain service calls to any [`Router`]. A router reserves
//! tokens of the caller's budget, chooses a backend server and sends the request to the [`Sidecar`]
//! beside it; every request to a backend server goes through its sidecar. Processes reach agreement
//! only through the platform's log service: the effect of a record is a function of the records
//! before it, so every reader of a stream reaches the same state.
//!
//! # Configuration
//!
//! Operators keep a folder of INI files. [`IniDocument`] merges them in the order of their names
//! and keeps the file and line of each value; [`FleetConfig::from_document`] checks all values and
//! reports every issue at once.
//!
//! ```
//! use mallowpath::{FleetConfig, IniDocument};
//!
//! let mut document = IniDocument::default();
//! document.merge_text("10-budgets.ini", "[budget harbour]\nworkspace = port\ntokens = 2M\n");
//! let report = FleetConfig::from_document(&document).unwrap_err();
//! assert!(report.to_string().contains("10-budgets.ini:2"));
//! ```
//!
//! [`publish`] appends the difference to the version in force. When two operators publish at the
//! same time, one change takes effect and the other operator is told its author.
//!
//! # Budgets
//!
//! A [`Ledger`] is the replayed state of one ledger stream. A draw never takes more than the budget
//! has left, whichever process asks, and a repeated record has no effect.
//!
//! ```
//! use mallowpath::{
//!     BudgetId, GrantId, Incarnation, Ledger, LedgerBatch, LedgerRecord, Offset, Tokens, Version,
//! };
//!
//! let budget: BudgetId = "harbour".parse()?;
//! let grant = GrantId { incarnation: Incarnation(7), sequence: 1 };
//! let records = vec![
//!     LedgerRecord::limit(&budget, Version(1), Tokens(100)),
//!     LedgerRecord::draw(&budget, grant, Tokens(80)),
//!     LedgerRecord::draw(&budget, grant, Tokens(80)),
//! ];
//! let batch = LedgerBatch { author: 7, sequence: 1, records };
//!
//! let mut ledger = Ledger::default();
//! ledger.apply(Offset(0), &batch)?;
//! let balance = ledger.balance(&budget).expect("the limit was set");
//! assert_eq!(balance.available(), Tokens(20));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! A [`Keeper`] draws grants for an availability zone and hands slices of them to the [`Wallet`]s
//! of its routers, which spend the slices without further coordination.
//!
//! # Requests
//!
//! [`ChatRequest`] holds the fields of a chat completion that the router reads. [`RouteTable`]
//! chooses the backend server. At the sidecar, [`RunTable`] decides whether the request may start.
//! [`KeyReplica`] prevents a request with an idempotency key from running twice, and
//! [`PendingBills`] ensures that its [`Bill`] is logged once.
//!
//! # Errors
//!
//! Fallible operations return an [`Error`], which names the failed step and its peer; the
//! [`Category`] says whether the operation may have taken effect. Callers over HTTP get a
//! [`Refusal`], whose [`Outcome`] says whether their request ran.

mod backend_host;
mod billing;
mod budget;
mod config;
mod error;
mod id;
mod keys;
mod membership;
mod memory;
mod peer;
mod process;
mod quarantine;
mod recent_map;
mod request;
mod rounding;
mod routing;
mod stream;

pub use backend_host::backend_client::{AnswerPart, BackendClient, end_code};
pub use backend_host::run_table::{
    AttachAnswer, RunEnd, RunKey, RunSettings, RunTable, Submit, SubmitAnswer,
};
pub use backend_host::sidecar::{Sidecar, SidecarAddresses};
pub use billing::audit_log::{AuditReport, AuditedBudget, audit_log};
pub use billing::bill::{
    Bill, BillBatch, BillOutcome, BillRecord, PartRecord, allocate_cost, sum_parts,
};
pub use billing::bill_audit::{BillAudit, BillConflict, BillTotal};
pub use billing::kept_bills::{KeptBills, SidecarConfirmation};
pub use billing::pending_bills::{
    BillCounts, BillSettings, BillState, BillWatermark, PendingBills, RecordedBill,
};
pub use billing::router_billing::{BILL_STREAMS, bill_stream};
pub use budget::keeper::Keeper;
pub use budget::keeper_settings::KeeperSettings;
pub use budget::keeper_task::ledger_stream;
pub use budget::ledger::{
    DEDUPE_WINDOW_OFFSETS, LEDGER_SHARDS, Ledger, MAX_BUDGET_TOKENS, shard_of,
};
pub use budget::ledger_records::{
    CheckpointRecord, CloseRecord, DrawRecord, LedgerBatch, LedgerEntry, LedgerRecord, LimitRecord,
    TopUpRecord,
};
pub use budget::rate_meter::RateMeter;
pub use budget::record_outcome::{Balance, LedgerError, RecordEffect, RecordOutcome, VoidReason};
pub use budget::slice::{
    GrantSpent, KeeperReport, Slice, SliceAnswer, SliceReply, SliceRequest, SliceReturn,
};
pub use budget::top_up::{TopUpId, TopUpOutcome, new_top_up_id, read_ledger, top_up};
pub use budget::wallet::{OutgoingRequest, Wallet, WalletBalance, WalletSettings};
pub use config::change::{
    Change, ChangeId, ConfigCheckpoint, ConfigEntry, ConfigRecord, Delta, EntryRecord,
    RecentChange, SectionNameRecord, SectionRecord, diff,
};
pub use config::change_split::{SplitError, split_changes};
pub use config::config_task::{CONFIG_STREAM, load_config};
pub use config::entries::Entries;
pub use config::fleet::{
    BackendMode, BackendRule, BearerHash, Budget, FleetConfig, FleetRules, Service, ServiceKind,
    Services, WhenUnconfirmed, Workspace,
};
pub use config::fleet_parse::parse_tokens;
pub use config::ini::{IniDocument, IniSection, IniValue, RepeatedValue};
pub use config::issue::{Issue, IssueReport, SourceLocation};
pub use config::propagation::{ConfigHeartbeat, Propagation};
pub use config::publish::{PublishOutcome, publish, publish_to_base};
pub use config::replay::{ConfigLoader, ConfigOutcome, ConfigState, RejectReason, ReplayError};
pub use config::section::{Section, SectionName, Sections, sections_of_document};
pub use config::warning::config_warning::ConfigWarning;
pub use config::work_eligibility::{ConfirmationPolicy, NoWorkReason, WorkEligibility};
pub use error::{Category, Error, Result};
pub use id::{
    BackendId, BackendVersion, BudgetId, GrantId, HostId, Incarnation, Offset, ParseIdError,
    Region, RequestId, ServiceId, SliceId, Tokens, Version, WorkspaceId, Zone,
};
pub use keys::key_message::{KeyAck, KeyCopy, KeyCopyAck, KeyRemoval, KeyUpdate};
pub use keys::key_protocol::{
    KeyAnswer, KeyBinding, KeyBindingStatus, KeyCall, KeyCommit, KeyCopyPart, KeyFinish, KeyLookup,
    KeyOperation, KeyRelease, KeyReply,
};
pub use keys::key_records::{
    Claim, ClaimEvidence, ClaimsCheckpoint, KeyClaims, KeyEntry, KeyHash, KeyLog, KeyRecord,
    KeysChange, KeysRecord, ProcessAddress, key_shard, recover_keys,
};
pub use keys::key_replica::{CommitAnswer, KeyReplica, KeySettings};
pub use keys::shard_registry::{KEY_SHARDS, key_stream};
pub use membership::members::{
    CheckpointedFence, CheckpointedJoin, Fence, FenceDone, FenceTarget, GoneRouter, Join, KeyEpoch,
    Leave, Members, MembersChange, MembersCheckpoint, MembersRecord, confirmed_hash,
};
pub use membership::reclaim::{KeeperReclaim, MissingProof, RouterReclaim, SliceProof};
pub use memory::buffer_budget::{Buffer, BufferBudget, MemoryShort};
pub use memory::buffer_table::{BufferId, BufferKind, BufferTable, CallerId, Growth};
pub use memory::busy_body::BusyBody;
pub use memory::connection_limiter::{BusyConnection, ConnectionLimiter, ConnectionSlot};
pub use memory::connection_table::{ConnectionAdmission, ConnectionId, ConnectionTable};
pub use memory::frame_codec::FrameCodec;
pub use memory::held_answer::HeldAnswer;
pub use memory::host_limits::{HostLimits, MemorySize, ParseMemorySizeError};
pub use memory::segments::{SegmentedBody, Segments};
pub use memory::unread_answer::{UnreadAnswer, UnreadPart};
pub use memory::write_timeout::WriteTimeout;
pub use peer::dialer::Dialer;
pub use peer::link::{Call, Endpoint, Link, LinkSettings, Responder};
pub use peer::link_tasks::{LinkLimits, accept_links};
pub use peer::silence_detector::{SilenceDetector, SilenceSettings};
pub use peer::wire::{Done, FrameBody, Heartbeat, Hello};
pub use peer::wire_backend::{
    BackendWait, BackendWaitReport, CrashNotice, PartsCleared, RateLimitNotice, SuspectNotice,
};
pub use peer::wire_budget::{
    LastAccounts, ReserveAnswerKind, ReserveReply, ReserveTokens, SettleTokens, ShardAccount,
};
pub use peer::wire_router::HostLoadReport;
pub use peer::wire_run::{AnswerEnd, AnswerHead, Submit as SubmitMessage};
pub use process::admin::{AdminHooks, serve_admin, serve_metrics};
pub use process::admin_client::{AdminClient, find_admin};
pub use process::daemon::{DaemonOptions, run_daemon};
pub use process::http_listener::{HttpLimits, serve_connection};
pub use process::logging::{start_logging, start_logging_to, wall_clock_ms};
pub use process::peer_timing::PeerTiming;
pub use process::router::{Router, RouterAddresses};
pub use process::settings::{
    HostSettings, RouterSettings, RouterTuning, SidecarSettings, SidecarTuning,
    read_router_settings, read_sidecar_settings,
};
pub use process::signal::{TerminationSignals, run_until_drained};
pub use quarantine::crash_evidence::{Conviction, CrashEvidence};
pub use quarantine::crash_probe::refuses_connections;
pub use quarantine::crash_report::{AnswerProgress, CrashReport, SuspectRequest};
pub use quarantine::part_id::PartId;
pub use quarantine::part_quarantine::{PartCheck, PartQuarantine, RecordChange};
pub use recent_map::RecentMap;
pub use request::body::{BodyError, is_framed, read_body};
pub use request::chat::{ChatRequest, StreamEvent, Usage};
pub use request::concurrency::{ConcurrencyLimit, ConcurrencySettings};
pub use request::estimate::Estimate;
pub use request::fair_queue::WorkspaceShare;
pub use request::refusal::{Code, Outcome, Refusal};
pub use request::reservation::{Reservation, ReserveOutcome, SlicePart};
pub use request::retry::{AttemptOutcome, FailedAttempt, RetryBudget, RetryDenied, RetrySettings};
pub use request::service_admission::{
    Admission, AdmissionDecision, AdmissionRefusal, AdmissionRequest, AdmissionSettings,
    QueueDecision, RefusalReason,
};
pub use rounding::{ceil_to_u64, floor_to_u64, round_to_u64};
pub use routing::backend::{Backend, BackendState, LoadReport};
pub use routing::baseline::{least_outstanding, round_robin};
pub use routing::order::{
    OrderClaim, OrderDecision, OrderFence, OrderGrant, OrderGrantRecord, OrderRights,
    OrderSettings, OrdersChange, OrdersCheckpoint, OrdersRecord,
};
pub use routing::outlier_ejection::{OutlierDetector, OutlierSettings};
pub use routing::prefix::{
    CacheEvent, CacheEventKind, PREFIX_BLOCK_BYTES, PREFIX_BLOCK_TOKENS, PrefixCacheEstimate,
    prefix_hashes,
};
pub use routing::rendezvous::{
    Candidate, HostLocation, SubsetSettings, pick, pick_n, rendezvous_key, subset,
};
pub use routing::route::{
    ChoiceReason, NoBackend, RouteChoice, RouteRequest, RouteSettings, RouteTable,
};
pub use routing::weight_load_queue::{WeightLoadOrder, WeightLoadQueue, WeightLoadSettings};
pub use stream::apply_outcome::ApplyOutcome;
pub use stream::backoff::Backoff;
pub use stream::host_client::{
    HostClient, HostClientSettings, HostEntry, HostList, HostRole, HostState,
};
pub use stream::http_call::{HttpAnswer, HttpCall, HttpCaller};
pub use stream::ledger_checkpoint::LoggedCheckpoint;
pub use stream::log_client::{LogClient, LogClientSettings, LogPage, LogRecord};
pub use stream::record_id::RecordId;
