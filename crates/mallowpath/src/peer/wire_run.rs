//! Messages between routers and sidecars about requests and orders.

use crate::{membership::members::KeyEpoch, peer::wire::OrderSpec, stream::record_id::RecordId};

/// A request that the sidecar is to run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Submit {
    /// The request's identifier.
    #[prost(message, required, tag = "1")]
    pub request: RecordId,
    /// The workspace that pays.
    #[prost(string, tag = "2")]
    pub workspace: String,
    /// The budget from which the tokens are taken.
    #[prost(string, tag = "3")]
    pub budget: String,
    /// The slices that hold the reservation.
    #[prost(message, repeated, tag = "4")]
    pub parts: Vec<SlicePart>,
    /// Prompt tokens in the reservation.
    #[prost(uint64, tag = "5")]
    pub prompt_tokens: u64,
    /// Output tokens in the reservation; the sidecar truncates the answer at this number.
    #[prost(uint64, tag = "6")]
    pub cap_tokens: u64,
    /// Timeout of the whole answer, in milliseconds from the receipt of this message.
    #[prost(uint64, tag = "7")]
    pub within_ms: u64,
    /// Priority, from 0 for the most urgent to 9 for the least urgent.
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
    /// Whether the backend server runs a model, so that the answer is a stream of tokens.
    #[prost(bool, tag = "12")]
    pub model: bool,
    /// The incarnation of the sidecar that the request is addressed to.
    #[prost(fixed64, tag = "13")]
    pub sidecar: u64,
    /// The lowest sequence number that the router may still submit.
    #[prost(uint64, tag = "14")]
    pub lowest_open: u64,
    /// The idempotency key, if the request has one.
    #[prost(message, optional, tag = "15")]
    pub key: Option<SubmitIdempotencyKey>,
}

/// The idempotency key of a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SubmitIdempotencyKey {
    /// The 16 bytes of the key's hash.
    #[prost(bytes = "bytes", tag = "1")]
    pub hash: bytes::Bytes,
    /// Hash of the method, path and body.
    #[prost(fixed64, tag = "2")]
    pub body_hash: u64,
    /// The epoch of the key shard in which the key was committed.
    #[prost(message, required, tag = "3")]
    pub committed_in: KeyEpoch,
}

/// The part of a reservation that one slice covers.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SlicePart {
    /// The slice.
    #[prost(message, required, tag = "1")]
    pub slice: RecordId,
    /// Tokens taken from the slice.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// The grant that the slice is part of.
    #[prost(message, required, tag = "3")]
    pub grant: RecordId,
}

/// Requests the answer of a request that was submitted earlier.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Attach {
    /// The request's identifier.
    #[prost(message, required, tag = "1")]
    pub request: RecordId,
    /// Index of the first chunk that the router has not received.
    #[prost(uint64, tag = "2")]
    pub from_chunk: u64,
    /// The incarnation of the sidecar to which the request was submitted.
    #[prost(fixed64, tag = "3")]
    pub sidecar: u64,
    /// Time that the sidecar waits for a [`Submit`] in transit before it records a tombstone, in
    /// milliseconds.
    #[prost(uint64, tag = "4")]
    pub wait_ms: u64,
    /// Whether the [`AnswerEnd`] includes the bill, for a router that did not submit the request.
    #[prost(bool, tag = "5")]
    pub with_bill: bool,
}

/// Reports that the request did not run and will not run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refused {
    /// Machine-readable code that does not change between versions, see [`crate::Refusal`].
    #[prost(string, tag = "1")]
    pub code: String,
    /// Delay after which the request is worth repeating, in milliseconds; 0 if it is not.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
}

/// Status and content type of an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AnswerHead {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Value of the HTTP `content-type` header.
    #[prost(string, tag = "2")]
    pub content_type: String,
}

/// A part of an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AnswerChunk {
    /// Position of the chunk in the answer, from 0.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// One event of a model's stream, or a range of bytes of a plain service's answer.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: bytes::Bytes,
}

/// The end of an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AnswerEnd {
    /// Total number of chunks of the answer.
    #[prost(uint64, tag = "1")]
    pub chunks: u64,
    /// Whether the answer is complete.
    #[prost(bool, tag = "2")]
    pub whole: bool,
    /// Whether the backend server may have started the request.
    #[prost(bool, tag = "3")]
    pub ran: bool,
    /// Prompt tokens to bill.
    #[prost(uint64, tag = "4")]
    pub prompt_tokens: u64,
    /// Output tokens to bill.
    #[prost(uint64, tag = "5")]
    pub completion_tokens: u64,
    /// Machine-readable code of the failure; empty if the answer is complete.
    #[prost(string, tag = "6")]
    pub code: String,
    /// The bill in the format of the bill streams, if it was requested and is not known to be in
    /// the log.
    #[prost(bytes = "bytes", tag = "7")]
    pub bill: bytes::Bytes,
    /// Whether the backend server accepted no connections after the request had failed.
    #[prost(bool, tag = "8")]
    pub backend_ended: bool,
}

/// Stops a request.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Stop {
    /// The request's identifier.
    #[prost(message, required, tag = "1")]
    pub request: RecordId,
}

/// An order for a backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Order {
    /// Fencing token of the sender.
    #[prost(uint64, tag = "1")]
    pub fencing_token: u64,
    /// The order.
    #[prost(message, required, tag = "2")]
    pub order: OrderSpec,
}

/// The answer to an [`Order`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderReply {
    /// The outcome of the order.
    #[prost(enumeration = "OrderOutcome", tag = "1")]
    pub outcome: i32,
    /// The highest fencing token that the sidecar has received.
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
}

/// The outcome of an [`Order`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum OrderOutcome {
    /// It is unknown whether the backend server carried the order out.
    Unknown = 0,
    /// The backend server carried the order out.
    Done = 1,
    /// The sender's fencing token is superseded by a higher one.
    TooOld = 2,
    /// An earlier order is still in progress.
    Busy = 3,
    /// The backend server refused the order.
    Refused = 4,
}
