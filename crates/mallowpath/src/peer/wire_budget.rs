//! Messages about slices and reservations of budgets, bills and the reclaim of grants.

use crate::{peer::wire_run::SlicePart, stream::record_id::RecordId};

/// Wire format of a slice of a grant.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SliceMessage {
    /// Identifier of the slice.
    #[prost(message, required, tag = "1")]
    pub id: RecordId,
    /// The grant that the slice is part of.
    #[prost(message, required, tag = "2")]
    pub grant: RecordId,
    /// Number of tokens in the slice.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Requests tokens from a keeper.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SliceRequest {
    /// The incarnation of the router.
    #[prost(fixed64, tag = "1")]
    pub router: u64,
    /// Number of the request among those of the router; a repeated number gets the same slices.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The budget.
    #[prost(string, tag = "3")]
    pub budget: String,
    /// Minimum number of tokens that the router needs to proceed.
    #[prost(uint64, tag = "4")]
    pub needed_tokens: u64,
    /// Tokens that the router expects to use.
    #[prost(uint64, tag = "5")]
    pub expected_tokens: u64,
    /// The whole reservation for which the needed tokens are missing.
    #[prost(uint64, tag = "6")]
    pub reservation_tokens: u64,
}

/// A keeper's answer to a [`SliceRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct SliceReply {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Sequence number below which all grants of the keeper are closed.
    #[prost(uint64, tag = "2")]
    pub oldest_open_grant: u64,
    /// Tokens of the budget that the keeper does not know to be spent.
    #[prost(uint64, tag = "3")]
    pub unspent_tokens: u64,
    /// The kind of the answer.
    #[prost(enumeration = "SliceAnswerKind", tag = "4")]
    pub kind: i32,
    /// The slices, if `kind` is [`SliceAnswerKind::Granted`].
    #[prost(message, repeated, tag = "5")]
    pub slices: Vec<SliceMessage>,
    /// Delay after which the request is worth repeating, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub retry_after_ms: u64,
    /// The keeper's incarnation.
    #[prost(fixed64, tag = "7")]
    pub keeper: u64,
}

/// The outcome of a [`SliceRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum SliceAnswerKind {
    /// The keeper has too few tokens at present.
    Short = 0,
    /// The keeper granted slices.
    Granted = 1,
    /// The budget can't cover the request.
    Exhausted = 2,
    /// The ledger contains no such budget.
    UnknownBudget = 3,
    /// The request is outdated or its router is fenced.
    Stale = 4,
}

/// Returns the unspent tokens of a router's slice to its keeper.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SliceReturn {
    /// The budget.
    #[prost(string, tag = "1")]
    pub budget: String,
    /// The slice.
    #[prost(message, required, tag = "2")]
    pub slice: SliceMessage,
    /// Number of unspent tokens.
    #[prost(uint64, tag = "3")]
    pub unspent_tokens: u64,
}

/// Bills that the receiver keeps until they are in the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeepBills {
    /// Encoded bills, in the format of the bill streams.
    #[prost(bytes = "bytes", tag = "1")]
    pub batch: bytes::Bytes,
    /// Whether the router of the bills is lost, so that the receiver appends them to the log.
    #[prost(bool, tag = "2")]
    pub adopt: bool,
}

/// Bills that are in the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BillsLogged {
    /// Requests whose bills are in the log.
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<RecordId>,
}

/// A sidecar's confirmation of a fence.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FenceReply {
    /// Whether no request of the fenced incarnation runs any more.
    #[prost(bool, tag = "1")]
    pub idle: bool,
    /// Tokens of each slice that the sidecar has billed.
    #[prost(message, repeated, tag = "2")]
    pub billed: Vec<SlicePart>,
}

/// Requests a report of the tokens spent of the grants of a fenced router's keepers.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ReportKeepers {
    /// The incarnation of the fenced router.
    #[prost(fixed64, tag = "1")]
    pub router: u64,
}

/// The tokens that a router spent of the grants of a fenced router's keepers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeepersReport {
    /// Whether no request that may still spend tokens of these grants runs any more.
    #[prost(bool, tag = "1")]
    pub settled: bool,
    /// Tokens spent of each grant.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<GrantTokens>,
}

/// A number of tokens of one grant.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct GrantTokens {
    /// The grant.
    #[prost(message, required, tag = "1")]
    pub grant: RecordId,
    /// Number of tokens.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// Keepers that have no open grants left.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeepersClosed {
    /// Incarnations of the keepers.
    #[prost(fixed64, repeated, tag = "1")]
    pub keepers: Vec<u64>,
}

/// Reserves the most tokens that a request can cost.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReserveTokens {
    /// The incarnation of the router that serves the request.
    #[prost(fixed64, tag = "1")]
    pub router: u64,
    /// Number of the reservation among those of the router.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The workspace whose budget pays; empty to ask only whether the receiver answers.
    #[prost(string, tag = "3")]
    pub workspace: String,
    /// Number of tokens.
    #[prost(uint64, tag = "4")]
    pub tokens: u64,
    /// Time after which an unsettled reservation counts as spent, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub expires_after_ms: u64,
    /// The priority of the request; 0 is the most urgent. Without it, the request is the least urgent.
    #[prost(uint32, optional, tag = "6")]
    pub priority: Option<u32>,
    /// Whether the request goes on with a stream of which its caller has a part.
    #[prost(bool, tag = "7")]
    pub takes_up_stream: bool,
    /// How long the request waits at most until other requests release tokens, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub wait_max_ms: u64,
}

/// An answer to [`ReserveTokens`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ReserveReply {
    /// The kind of the answer.
    #[prost(enumeration = "ReserveAnswerKind", tag = "1")]
    pub kind: i32,
    /// Delay after which the request is worth repeating, in milliseconds, if `kind` is
    /// [`ReserveAnswerKind::Short`].
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
    /// Tokens that the receiver holds and that are neither spent nor reserved, if there are too few.
    #[prost(uint64, tag = "3")]
    pub held_tokens: u64,
    /// The number of requests that went before this one when it began to wait.
    #[prost(uint64, tag = "4")]
    pub requests_ahead: u64,
    /// The tokens that they needed.
    #[prost(uint64, tag = "5")]
    pub tokens_ahead: u64,
    /// The forecast of the wait until other requests released tokens, in milliseconds, if the request
    /// depended on that.
    #[prost(uint64, optional, tag = "6")]
    pub expected_wait_ms: Option<u64>,
    /// How long the request waited, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub waited_ms: u64,
}

/// The outcome of a [`ReserveTokens`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum ReserveAnswerKind {
    /// The receiver doesn't keep budgets at present.
    Unavailable = 0,
    /// The tokens are reserved.
    Granted = 1,
    /// The receiver draws tokens; another answer follows.
    Pending = 2,
    /// There are too few tokens at present.
    Short = 3,
    /// The rest of the budget does not cover the request.
    Spent = 4,
    /// There are too few tokens at present, and the receiver can't reach the ledger to draw more.
    NoLedger = 5,
}

/// Ends a reservation.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SettleTokens {
    /// The incarnation of the router that serves the request.
    #[prost(fixed64, tag = "1")]
    pub router: u64,
    /// Number of the reservation among those of the router.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Number of tokens spent.
    #[prost(uint64, tag = "3")]
    pub spent_tokens: u64,
}

/// Tells the last accounts of a router that ends to one that stays; answered by
/// [`Done`](super::wire::Done) once they are kept.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LastAccounts {
    /// The key of the accounts.
    #[prost(string, tag = "1")]
    pub router: String,
    /// The accounts.
    #[prost(message, repeated, tag = "2")]
    pub accounts: Vec<ShardAccount>,
}

/// A router's account in one shard of the ledger.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShardAccount {
    /// The position of the shard among all.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The account, encoded as in the ledger.
    #[prost(bytes = "bytes", tag = "2")]
    pub account: bytes::Bytes,
}
