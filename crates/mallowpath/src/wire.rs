//! Messages between the processes of the fleet.
//!
//! A [`Frame`] carries one [`Body`] of one call. The side that opened a connection numbers its calls
//! with odd numbers, the other side with even ones, so the two never meet. Call 0 carries what
//! belongs to the connection itself: [`Hello`] and [`Heartbeat`].

use crate::{
    id::{GrantId, Incarnation, RequestId, SliceId},
    key_call::{KeyCall, KeyReply},
    members::{Fence, KeyEpoch},
    propagate::ConfigHeartbeat,
};

/// One message on a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// The call that the message belongs to; 0 for the connection itself.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// The message.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 40, 41, 42"
    )]
    pub body: Option<Body>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First message of each side.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// Sent at a fixed interval by both sides.
    #[prost(message, tag = "3")]
    Heartbeat(Heartbeat),
    /// The caller of this call no longer wants its answer.
    #[prost(message, tag = "4")]
    Cancel(Cancel),
    /// Router to sidecar: run a request.
    #[prost(message, tag = "5")]
    Submit(Submit),
    /// Router to sidecar: send the answer of a request that was submitted before.
    #[prost(message, tag = "6")]
    Attach(Attach),
    /// Sidecar to router: the request did not run and will not.
    #[prost(message, tag = "7")]
    Refused(Refused),
    /// Sidecar to router: status and content type of the answer.
    #[prost(message, tag = "8")]
    Head(Head),
    /// Sidecar to router: a part of the answer.
    #[prost(message, tag = "9")]
    Chunk(Chunk),
    /// Sidecar to router: the answer is over.
    #[prost(message, tag = "10")]
    End(End),
    /// Router to keeper: hand over tokens of a budget.
    #[prost(message, tag = "11")]
    SliceRequest(SliceRequest),
    /// Keeper to router: the answer to a slice request.
    #[prost(message, tag = "12")]
    SliceReply(SliceReply),
    /// Router to keeper: unspent tokens come back.
    #[prost(message, tag = "13")]
    SliceReturn(SliceReturn),
    /// The receiver has done what the call asked.
    #[prost(message, tag = "14")]
    Done(Done),
    /// Router to router in another zone, or sidecar to router after its own was lost: keep bills.
    #[prost(message, tag = "15")]
    KeepBills(KeepBills),
    /// Router to those that keep its bills: the log has these.
    #[prost(message, tag = "16")]
    BillsLogged(BillsLogged),
    /// Router to router: send configuration records from an offset on.
    #[prost(message, tag = "17")]
    FetchConfig(FetchConfig),
    /// The answer to [`FetchConfig`].
    #[prost(message, tag = "18")]
    ConfigRecords(ConfigRecords),
    /// Router to sidecar: refuse from now on what the fence names.
    #[prost(message, tag = "19")]
    Fence(Fence),
    /// Sidecar to router: the fence holds and nothing runs.
    #[prost(message, tag = "20")]
    Fenced(Fenced),
    /// Router to the owner of a key shard, and owner to witness.
    #[prost(message, tag = "21")]
    KeyCall(KeyCall),
    /// The answer to [`KeyCall`].
    #[prost(message, tag = "22")]
    KeyReply(KeyReply),
    /// Router to sidecar: an order for the backend server.
    #[prost(message, tag = "23")]
    Order(Order),
    /// Sidecar to router: what became of the order.
    #[prost(message, tag = "24")]
    OrderReply(OrderReply),
    /// Any call: it could not be done.
    #[prost(message, tag = "25")]
    CallFailed(CallFailed),
    /// Router to sidecar: stop a request; answered by its [`End`].
    #[prost(message, tag = "26")]
    Stop(Stop),
    /// Router to router: what did you spend of the grants of a fenced router's keepers?
    #[prost(message, tag = "40")]
    ReportKeepers(ReportKeepers),
    /// The answer to [`ReportKeepers`].
    #[prost(message, tag = "41")]
    KeepersReport(KeepersReport),
    /// Router to router: these keepers have no open grant any more.
    #[prost(message, tag = "42")]
    KeepersClosed(KeepersClosed),
}

/// Identifies a process to its peer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The sender's incarnation.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The sender's host.
    #[prost(string, tag = "2")]
    pub host: String,
    /// The sender's availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// `ip:port` at which the sender accepts connections of peers.
    #[prost(string, tag = "4")]
    pub address: String,
    /// The backend server beside the sender; empty for a router.
    #[prost(string, tag = "5")]
    pub backend: String,
    /// The model or plain service of that server; empty for a router.
    #[prost(string, tag = "6")]
    pub service: String,
    /// `ip:port` at which the sender serves operators.
    #[prost(string, tag = "20")]
    pub admin: String,
}

/// What both sides tell each other at each heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The newest configuration version that the sender has in force.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// How long ago that version was known to be the newest, in milliseconds; absent if it never was.
    #[prost(uint64, optional, tag = "2")]
    pub confirmed_age_ms: Option<u64>,
    /// Whether the sender takes new work.
    #[prost(bool, tag = "3")]
    pub accepting: bool,
    /// The load of the backend server, from a sidecar.
    #[prost(message, optional, tag = "4")]
    pub load: Option<Load>,
    /// The state that the configuration gives the receiver's backend server, from a router.
    #[prost(string, tag = "5")]
    pub backend_state: String,
    /// What the backend server was ordered to be, from a sidecar.
    #[prost(message, repeated, tag = "7")]
    pub ordered: Vec<Ordered>,
    /// The log has all bills of the sender's requests below this number, from a router.
    #[prost(uint64, tag = "6")]
    pub bills_logged_below: u64,
    /// Grants that are closed, so that sums of them can be forgotten, from a router.
    #[prost(message, repeated, tag = "20")]
    pub closed_grants: Vec<WireId>,
    /// Sequence numbers of the receiver's requests that other routers have billed for it.
    #[prost(uint64, repeated, tag = "21")]
    pub billed_elsewhere: Vec<u64>,
    /// The offset after the last configuration record that the sender holds, from a router.
    #[prost(uint64, tag = "22")]
    pub config_next: u64,
    /// When the heartbeat was sent, by the sender's clock; set by the connection.
    #[prost(uint64, optional, tag = "23")]
    pub sent_at_ms: Option<u64>,
    /// `sent_at_ms` of the newest heartbeat that the sender has received; set by the connection.
    #[prost(uint64, optional, tag = "24")]
    pub echo_ms: Option<u64>,
}

/// An order that a backend server has carried out.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ordered {
    /// The kind of the order, as the backend server calls it.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// What it names.
    #[prost(string, tag = "2")]
    pub name: String,
}

/// A load report of a backend server.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Load {
    /// Requests in the running batch.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// Requests waiting for a place in the batch.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// KV cache in use, in tokens.
    #[prost(uint64, tag = "3")]
    pub kv_used_tokens: u64,
    /// KV cache in all, in tokens.
    #[prost(uint64, tag = "4")]
    pub kv_total_tokens: u64,
    /// Age of the report when it was sent, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
}

/// Empty message of [`Body::Cancel`].
#[expect(clippy::empty_structs_with_brackets, reason = "the derive needs them")]
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Cancel {}

/// A request identifier on the wire.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct WireId {
    /// The incarnation of the process that made the identifier.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Its number among those of the process.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// A request to run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Submit {
    /// The request's identifier.
    #[prost(message, required, tag = "1")]
    pub request: WireId,
    /// The workspace that pays.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// The budget that is drawn on.
    #[prost(string, tag = "3")]
    pub budget: String,
    /// The slices that hold the reservation.
    #[prost(message, repeated, tag = "4")]
    pub parts: Vec<SlicePart>,
    /// Prompt tokens in the reservation.
    #[prost(uint64, tag = "5")]
    pub prompt_tokens: u64,
    /// Output tokens in the reservation; the sidecar cuts the answer there.
    #[prost(uint64, tag = "6")]
    pub cap_tokens: u64,
    /// How long the answer may take from now on, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub within_ms: u64,
    /// 0 is the most urgent, 9 the least.
    #[prost(uint32, tag = "8")]
    pub priority: u32,
    /// HTTP method.
    #[prost(string, tag = "9")]
    pub method: String,
    /// Path and query for the backend server.
    #[prost(string, tag = "10")]
    pub path: String,
    /// HTTP body.
    #[prost(bytes = "bytes", tag = "11")]
    pub body: bytes::Bytes,
    /// Whether the request goes to a model engine and its answer is a stream of tokens.
    #[prost(bool, tag = "12")]
    pub model: bool,
    /// The incarnation of the sidecar that is meant.
    #[prost(fixed64, tag = "13")]
    pub sidecar: u64,
    /// The lowest sequence number that the router may still submit.
    #[prost(uint64, tag = "14")]
    pub lowest_open: u64,
    /// The idempotency key, if the request has one.
    #[prost(message, optional, tag = "15")]
    pub key: Option<SubmitKey>,
}

/// The idempotency key of a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SubmitKey {
    /// The 16 bytes of the key's hash.
    #[prost(bytes = "bytes", tag = "1")]
    pub hash: bytes::Bytes,
    /// Hash of method, path and body.
    #[prost(fixed64, tag = "2")]
    pub body_hash: u64,
    /// The epoch of the key shard in which the key was committed.
    #[prost(message, required, tag = "3")]
    pub committed_in: KeyEpoch,
}

/// The share of one slice in a reservation.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SlicePart {
    /// The slice.
    #[prost(message, required, tag = "1")]
    pub slice: WireId,
    /// Tokens taken from it.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// The grant that the slice is part of.
    #[prost(message, required, tag = "3")]
    pub grant: WireId,
}

/// Asks for the answer of an earlier request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Attach {
    /// The request's identifier.
    #[prost(message, required, tag = "1")]
    pub request: WireId,
    /// The first chunk that the router lacks.
    #[prost(uint64, tag = "2")]
    pub from_chunk: u64,
    /// The incarnation of the sidecar to which the request was submitted.
    #[prost(fixed64, tag = "3")]
    pub sidecar: u64,
    /// How long the sidecar waits for a submit that is under way, before it writes a tombstone.
    #[prost(uint64, tag = "4")]
    pub wait_ms: u64,
    /// Whether the end is to carry the bill, for a router that did not submit the request.
    #[prost(bool, tag = "5")]
    pub with_bill: bool,
}

/// The request did not run and will not.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refused {
    /// Stable code, see [`crate::Refusal`].
    #[prost(string, tag = "1")]
    pub code: String,
    /// When coming back helps, in milliseconds; 0 when it does not.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
}

/// Status line and content type of an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Head {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// HTTP content type.
    #[prost(string, tag = "2")]
    pub content_type: String,
}

/// A part of an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunk {
    /// Position of the chunk in the answer, from 0.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The data: one event of a model's stream, or bytes of a plain answer.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: bytes::Bytes,
}

/// The end of an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct End {
    /// Number of chunks of the whole answer.
    #[prost(uint64, tag = "1")]
    pub chunks: u64,
    /// Whether the answer is whole.
    #[prost(bool, tag = "2")]
    pub whole: bool,
    /// Whether the backend server may have begun the request.
    #[prost(bool, tag = "3")]
    pub ran: bool,
    /// Prompt tokens to bill.
    #[prost(uint64, tag = "4")]
    pub prompt_tokens: u64,
    /// Output tokens to bill.
    #[prost(uint64, tag = "5")]
    pub completion_tokens: u64,
    /// Stable code of what went wrong; empty when the answer is whole.
    #[prost(string, tag = "6")]
    pub code: String,
    /// The bill as it is in the bill streams, if it was asked for and the log is not known to have it.
    #[prost(bytes = "bytes", tag = "7")]
    pub bill: bytes::Bytes,
}

/// A slice of a grant on the wire.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireSlice {
    /// The slice.
    #[prost(message, required, tag = "1")]
    pub id: WireId,
    /// The grant that it is part of.
    #[prost(message, required, tag = "2")]
    pub grant: WireId,
    /// Tokens in it.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Asks a keeper for tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SliceRequest {
    /// The incarnation of the router.
    #[prost(fixed64, tag = "1")]
    pub router: u64,
    /// Number of the request among those of the router; the same number gets the same slices.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The budget.
    #[prost(string, tag = "3")]
    pub budget: String,
    /// Tokens without which the router can't go on.
    #[prost(uint64, tag = "4")]
    pub needed_tokens: u64,
    /// Tokens that the router expects to use.
    #[prost(uint64, tag = "5")]
    pub expected_tokens: u64,
    /// The whole reservation of which the needed tokens are missing.
    #[prost(uint64, tag = "6")]
    pub reservation_tokens: u64,
}

/// A keeper's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SliceReply {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Grants of the keeper with a lower sequence number are closed.
    #[prost(uint64, tag = "2")]
    pub oldest_open_grant: u64,
    /// Tokens of the budget that are not known to be spent.
    #[prost(uint64, tag = "3")]
    pub unspent_tokens: u64,
    /// The kind of the answer.
    #[prost(enumeration = "SliceAnswerKind", tag = "4")]
    pub kind: i32,
    /// The slices, when granted.
    #[prost(message, repeated, tag = "5")]
    pub slices: Vec<WireSlice>,
    /// When asking again helps, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub retry_after_ms: u64,
    /// The keeper's incarnation.
    #[prost(fixed64, tag = "7")]
    pub keeper: u64,
}

/// What a keeper has for a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum SliceAnswerKind {
    /// Not enough at present.
    Short = 0,
    /// Slices.
    Granted = 1,
    /// The budget can't cover the request.
    Exhausted = 2,
    /// The ledger knows no such budget.
    UnknownBudget = 3,
    /// The request is out of date or its router fenced.
    Stale = 4,
}

/// Gives back what a router did not spend of a slice.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SliceReturn {
    /// The budget.
    #[prost(string, tag = "1")]
    pub budget: String,
    /// The slice.
    #[prost(message, required, tag = "2")]
    pub slice: WireSlice,
    /// Unspent tokens.
    #[prost(uint64, tag = "3")]
    pub unspent_tokens: u64,
}

/// Empty message of [`Body::Done`].
#[expect(clippy::empty_structs_with_brackets, reason = "the derive needs them")]
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Done {}

/// Bills to keep until the log has them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeepBills {
    /// Encoded bills, in the format of the bill streams.
    #[prost(bytes = "bytes", tag = "1")]
    pub batch: bytes::Bytes,
    /// Whether their router is lost, so that the receiver is to bring them to the log.
    #[prost(bool, tag = "2")]
    pub adopt: bool,
}

/// Bills that the log has.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BillsLogged {
    /// Requests whose bills are in the log.
    #[prost(message, repeated, tag = "1")]
    pub requests: Vec<WireId>,
}

/// Asks a peer for configuration records.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct FetchConfig {
    /// The first offset wanted.
    #[prost(uint64, tag = "1")]
    pub from: u64,
}

/// Configuration records in offset order without gaps.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigRecords {
    /// Offset of the first record.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// The records as they are in the log.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub records: Vec<bytes::Bytes>,
    /// Whether `from` is no longer kept and the records start with a checkpoint.
    #[prost(bool, tag = "3")]
    pub checkpoint: bool,
}

/// A sidecar's confirmation of a fence.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fenced {
    /// Whether nothing runs any more for the incarnation.
    #[prost(bool, tag = "1")]
    pub idle: bool,
    /// Tokens that the sidecar billed of each slice.
    #[prost(message, repeated, tag = "2")]
    pub billed: Vec<SlicePart>,
}

/// Asks a router what it spent of the grants of a fenced router's keepers.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ReportKeepers {
    /// The incarnation of the fenced router.
    #[prost(fixed64, tag = "1")]
    pub router: u64,
}

/// What a router spent of the grants of a fenced router's keepers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeepersReport {
    /// Whether nothing runs any more that may spend of them.
    #[prost(bool, tag = "1")]
    pub settled: bool,
    /// What was spent of each grant.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<GrantSum>,
}

/// Tokens of a grant.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct GrantSum {
    /// The grant.
    #[prost(message, required, tag = "1")]
    pub grant: WireId,
    /// The tokens.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// Keepers that have no open grant any more.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeepersClosed {
    /// Their incarnations.
    #[prost(fixed64, repeated, tag = "1")]
    pub keepers: Vec<u64>,
}

/// An order for a backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Order {
    /// Fencing number.
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// The order.
    #[prost(message, required, tag = "2")]
    pub order: Ordered,
}

/// What became of an order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderReply {
    /// What became of it.
    #[prost(enumeration = "OrderOutcome", tag = "1")]
    pub outcome: i32,
    /// The highest fencing number that the sidecar has seen.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
}

/// Stops a request.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Stop {
    /// The request's identifier.
    #[prost(message, required, tag = "1")]
    pub request: WireId,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum OrderOutcome {
    /// Nobody knows whether the backend server carried it out.
    Unknown = 0,
    /// The backend server carried it out.
    Done = 1,
    /// The sender's right is superseded.
    TooOld = 2,
    /// An earlier order has to end first.
    Busy = 3,
    /// The backend server refused it.
    Refused = 4,
}

/// A call that could not be done.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CallFailed {
    /// Stable code.
    #[prost(string, tag = "1")]
    pub code: String,
}

impl Heartbeat {
    /// Returns what a router says of its configuration, and when the receiver asked for it.
    ///
    /// The sender had the receiver's heartbeat of that time when it made this one, so what it says
    /// held at that time or later, however long the answer was on its way.
    pub(crate) fn configuration(&self) -> (ConfigHeartbeat, u64) {
        let answer = ConfigHeartbeat {
            next: self.config_next,
            confirmed_age_ms: self.echo_ms.and(self.confirmed_age_ms),
        };
        (answer, self.echo_ms.unwrap_or_default())
    }
}

impl From<RequestId> for WireId {
    fn from(id: RequestId) -> Self {
        Self {
            incarnation: id.incarnation.0,
            sequence: id.sequence,
        }
    }
}

impl From<WireId> for RequestId {
    fn from(id: WireId) -> Self {
        Self {
            incarnation: Incarnation(id.incarnation),
            sequence: id.sequence,
        }
    }
}

impl From<GrantId> for WireId {
    fn from(id: GrantId) -> Self {
        Self {
            incarnation: id.incarnation.0,
            sequence: id.sequence,
        }
    }
}

impl From<WireId> for GrantId {
    fn from(id: WireId) -> Self {
        Self {
            incarnation: Incarnation(id.incarnation),
            sequence: id.sequence,
        }
    }
}

impl From<SliceId> for WireId {
    fn from(id: SliceId) -> Self {
        Self {
            incarnation: id.incarnation.0,
            sequence: id.sequence,
        }
    }
}

impl From<WireId> for SliceId {
    fn from(id: WireId) -> Self {
        Self {
            incarnation: Incarnation(id.incarnation),
            sequence: id.sequence,
        }
    }
}
