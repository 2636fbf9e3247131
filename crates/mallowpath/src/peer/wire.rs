//! Messages between the processes of the fleet.
//!
//! A [`Frame`] carries one [`FrameBody`] of one call. The side that opened the connection numbers
//! its calls with odd numbers and the other side with even numbers, so the numbers never collide.
//! Call 0 is for messages that expect no answer, such as [`Hello`] and [`Heartbeat`].

use crate::{
    config::propagation::ConfigHeartbeat,
    keys::key_protocol::{KeyCall, KeyReply},
    membership::members::Fence,
    stream::record_id::RecordId,
};
pub use crate::{
    peer::wire_backend::{BackendWaitReport, CrashNotice, PartsCleared, RateLimitNotice},
    peer::wire_budget::{
        BillsLogged, FenceReply, GrantTokens, KeepBills, KeepersClosed, KeepersReport,
        LastAccounts, ReportKeepers, ReserveReply, ReserveTokens, SettleTokens, SliceAnswerKind,
        SliceMessage, SliceReply, SliceRequest, SliceReturn,
    },
    peer::wire_router::HostLoadReport,
    peer::wire_run::{
        AnswerChunk, AnswerEnd, AnswerHead, Attach, Order, OrderOutcome, OrderReply, Refused,
        SlicePart, Stop, Submit, SubmitIdempotencyKey,
    },
};

/// One message on a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// The call that the message belongs to; 0 for messages that expect no answer.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// The message.
    #[prost(
        oneof = "FrameBody",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 40, 41, 42, 50, 51, 52, 53, 60, 61, 62, 66, 67"
    )]
    pub body: Option<FrameBody>,
}

/// The content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum FrameBody {
    /// Either side: the first message on a connection.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// Either side: sent at a fixed interval.
    #[prost(message, tag = "3")]
    Heartbeat(Heartbeat),
    /// Caller of a call: the answer is no longer wanted.
    #[prost(message, tag = "4")]
    Cancel(Cancel),
    /// Router to sidecar: run a request.
    #[prost(message, tag = "5")]
    Submit(Submit),
    /// Router to sidecar: send the answer of a request that was submitted earlier.
    #[prost(message, tag = "6")]
    Attach(Attach),
    /// Sidecar to router: the request did not run and will not run.
    #[prost(message, tag = "7")]
    Refused(Refused),
    /// Sidecar to router: status and content type of the answer.
    #[prost(message, tag = "8")]
    Head(AnswerHead),
    /// Sidecar to router: a part of the answer.
    #[prost(message, tag = "9")]
    Chunk(AnswerChunk),
    /// Sidecar to router: the answer has ended.
    #[prost(message, tag = "10")]
    End(AnswerEnd),
    /// Router to keeper: request for tokens of a budget.
    #[prost(message, tag = "11")]
    SliceRequest(SliceRequest),
    /// Keeper to router: the answer to a slice request.
    #[prost(message, tag = "12")]
    SliceReply(SliceReply),
    /// Router to keeper: unspent tokens are returned.
    #[prost(message, tag = "13")]
    SliceReturn(SliceReturn),
    /// Any call: it was carried out.
    #[prost(message, tag = "14")]
    Done(Done),
    /// Router to router in another zone, or sidecar to another router after its own was lost: keep
    /// bills.
    #[prost(message, tag = "15")]
    KeepBills(KeepBills),
    /// Router to the processes that keep its bills: these bills are in the log.
    #[prost(message, tag = "16")]
    BillsLogged(BillsLogged),
    /// Router to router: send configuration records from an offset on.
    #[prost(message, tag = "17")]
    FetchConfig(FetchConfig),
    /// The answer to `FetchConfig`.
    #[prost(message, tag = "18")]
    ConfigRecords(ConfigRecords),
    /// Router to sidecar: refuse from now on all requests that the fence covers.
    #[prost(message, tag = "19")]
    Fence(Fence),
    /// Sidecar to router: the fence is in force; tells whether requests that it covers still run.
    #[prost(message, tag = "20")]
    FenceReply(FenceReply),
    /// Router to the owner of a key shard, or owner to witness: an operation on keys.
    #[prost(message, tag = "21")]
    KeyCall(KeyCall),
    /// The answer to `KeyCall`.
    #[prost(message, tag = "22")]
    KeyReply(KeyReply),
    /// Router to sidecar: an order for the backend server.
    #[prost(message, tag = "23")]
    Order(Order),
    /// Sidecar to router: the outcome of the order.
    #[prost(message, tag = "24")]
    OrderReply(OrderReply),
    /// Any call: it could not be carried out.
    #[prost(message, tag = "25")]
    CallFailed(CallFailed),
    /// Router to sidecar: stop a request; answered by its `AnswerEnd`.
    #[prost(message, tag = "26")]
    Stop(Stop),
    /// Router to router: report what was spent of the grants of a fenced router's keepers.
    #[prost(message, tag = "40")]
    ReportKeepers(ReportKeepers),
    /// The answer to `ReportKeepers`.
    #[prost(message, tag = "41")]
    KeepersReport(KeepersReport),
    /// Router to router: these keepers have no open grants left.
    #[prost(message, tag = "42")]
    KeepersClosed(KeepersClosed),
    /// Router to the router that keeps a budget: reserve tokens for a request.
    #[prost(message, tag = "50")]
    ReserveTokens(ReserveTokens),
    /// The answer to [`ReserveTokens`]; several may follow one another.
    #[prost(message, tag = "51")]
    ReserveReply(ReserveReply),
    /// Router to the router that keeps a budget: a reservation has ended.
    #[prost(message, tag = "52")]
    SettleTokens(SettleTokens),
    /// Router to router: the last accounts of the sender, which ends.
    #[prost(message, tag = "53")]
    LastAccounts(LastAccounts),
    /// Router to router: a backend server has ended.
    #[prost(message, tag = "60")]
    CrashNotice(CrashNotice),
    /// Router to router: requests with these prompt parts were answered completely.
    #[prost(message, tag = "61")]
    PartsCleared(PartsCleared),
    /// Router to router: a backend server states a limit on its requests, or no longer.
    #[prost(message, tag = "62")]
    RateLimitNotice(RateLimitNotice),
    /// Router to router of the same availability zone: the load of the sender's host. Tags 63 to 65 are
    /// those of earlier messages.
    #[prost(message, tag = "66")]
    HostLoadReport(HostLoadReport),
    /// Router to router: how long answers of backend servers have taken to begin.
    #[prost(message, tag = "67")]
    BackendWaitReport(BackendWaitReport),
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
    /// `ip:port` at which the sender accepts connections from peers.
    #[prost(string, tag = "4")]
    pub address: String,
    /// The backend server beside the sender; empty for a router.
    #[prost(string, tag = "5")]
    pub backend: String,
    /// The model or plain service of that server; empty for a router.
    #[prost(string, tag = "6")]
    pub service: String,
    /// `ip:port` of the sender's admin endpoint.
    #[prost(string, tag = "20")]
    pub admin: String,
}

/// The state that each side reports to the other at each heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The newest configuration version that the sender has in force.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Time since that version was last confirmed as the newest, in milliseconds; absent if it
    /// never was.
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
    /// The last order of each kind that the backend server has carried out, from a sidecar.
    #[prost(message, repeated, tag = "7")]
    pub ordered: Vec<OrderSpec>,
    /// The log contains all bills of the sender's requests with lower sequence numbers, from a
    /// router.
    #[prost(uint64, tag = "6")]
    pub bills_logged_below: u64,
    /// Closed grants, whose sums the receiver can drop, from a router.
    #[prost(message, repeated, tag = "20")]
    pub closed_grants: Vec<RecordId>,
    /// Sequence numbers of the receiver's requests that other routers have billed for it.
    #[prost(uint64, repeated, tag = "21")]
    pub billed_elsewhere: Vec<u64>,
    /// The offset after the last configuration record that the sender holds, from a router.
    #[prost(uint64, tag = "22")]
    pub config_next: u64,
    /// Time at which the heartbeat was sent, by the sender's clock; set by the connection.
    #[prost(uint64, optional, tag = "23")]
    pub sent_at_ms: Option<u64>,
    /// `sent_at_ms` of the newest heartbeat that the sender has received; set by the connection.
    #[prost(uint64, optional, tag = "24")]
    pub echo_ms: Option<u64>,
}

/// An order that a backend server has carried out.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OrderSpec {
    /// The kind of the order, as the backend server calls it.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// The name to which the order applies, such as that of a model.
    #[prost(string, tag = "2")]
    pub name: String,
}

/// The load of a backend server.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Load {
    /// Requests in the running batch.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// Requests queued for the batch.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// KV cache in use, in tokens.
    #[prost(uint64, tag = "3")]
    pub kv_used_tokens: u64,
    /// Capacity of the KV cache, in tokens.
    #[prost(uint64, tag = "4")]
    pub kv_total_tokens: u64,
    /// Age of the report when it was sent, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
}

/// Empty message of [`FrameBody::Cancel`].
#[expect(clippy::empty_structs_with_brackets, reason = "the derive needs them")]
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Cancel {}

/// Empty message of [`FrameBody::Done`].
#[expect(clippy::empty_structs_with_brackets, reason = "the derive needs them")]
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Done {}

/// Asks a peer for configuration records.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct FetchConfig {
    /// Offset of the first record requested.
    #[prost(uint64, tag = "1")]
    pub from: u64,
}

/// Consecutive configuration records in the order of their offsets.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigRecords {
    /// Offset of the first record.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// The records, encoded as in the log.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub records: Vec<bytes::Bytes>,
    /// Whether the requested offset is no longer kept, so that the records start with a checkpoint.
    #[prost(bool, tag = "3")]
    pub checkpoint: bool,
}

/// The answer to a call that could not be carried out.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CallFailed {
    /// Machine-readable code of the failure; codes do not change between versions.
    #[prost(string, tag = "1")]
    pub code: String,
}

impl Heartbeat {
    /// Returns a router's report on its configuration, and the time since which it is valid.
    ///
    /// The time is `echo_ms`, by the receiver's clock: the sender had received the heartbeat that
    /// the receiver sent then before it created this one. The report was therefore true at that
    /// time or later, however long the heartbeat was in transit.
    pub(crate) fn configuration(&self) -> (ConfigHeartbeat, u64) {
        let report = ConfigHeartbeat {
            next: self.config_next,
            confirmed_age_ms: self.echo_ms.and(self.confirmed_age_ms),
        };
        (report, self.echo_ms.unwrap_or_default())
    }
}
