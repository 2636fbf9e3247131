//! Calls and replies about idempotency keys, between routers and the holders of key shards.

use crate::{KeyAck, KeyCopy, KeyCopyAck, KeyRecord, KeyRemoval, KeyUpdate};

/// A call about idempotency keys.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyCall {
    /// The operation to perform.
    #[prost(oneof = "KeyOperation", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub operation: Option<KeyOperation>,
}

/// The operations of a [`KeyCall`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum KeyOperation {
    /// Router to owner: bind a key.
    #[prost(message, tag = "1")]
    Commit(KeyCommit),
    /// Router to owner: return the binding of a key.
    #[prost(message, tag = "2")]
    Lookup(KeyLookup),
    /// Router to owner: the run of a key has ended.
    #[prost(message, tag = "3")]
    Finish(KeyFinish),
    /// Owner to witness: store a binding.
    #[prost(message, tag = "4")]
    Update(KeyUpdate),
    /// Owner to witness: remove an expired or released binding.
    #[prost(message, tag = "5")]
    Remove(KeyRemoval),
    /// Claimant to the witness that it will name: store a part of the claimant's table.
    #[prost(message, tag = "6")]
    Copy(KeyCopyPart),
    /// Router to owner: remove a binding whose request never runs.
    #[prost(message, tag = "7")]
    Release(KeyRelease),
}

/// A call that binds a key to a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyCommit {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The binding to commit.
    #[prost(message, required, tag = "2")]
    pub record: KeyRecord,
    /// The binding to replace; the calling router has proof that its request never runs.
    #[prost(message, optional, tag = "3")]
    pub displaced: Option<KeyRecord>,
}

/// A call that looks up the binding of a key and changes nothing.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyLookup {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The 16 bytes of the key's hash.
    #[prost(bytes = "vec", tag = "2")]
    pub key: Vec<u8>,
    /// The hash of the request's service, method, path and body.
    #[prost(fixed64, tag = "3")]
    pub body_hash: u64,
}

/// A call that reports the end of a request's run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyFinish {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The binding whose run has ended.
    #[prost(message, required, tag = "2")]
    pub record: KeyRecord,
}

/// A call that reports that the request of a binding never runs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyRelease {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The binding to remove.
    #[prost(message, required, tag = "2")]
    pub record: KeyRecord,
}

/// A part of a table copy, small enough for one frame.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyCopyPart {
    /// The copy, with the records of this part only.
    #[prost(message, required, tag = "1")]
    pub copy: KeyCopy,
    /// The number of the part, from 0; parts are sent in order.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// Whether it is the last part.
    #[prost(bool, tag = "3")]
    pub last: bool,
}

/// The reply to a [`KeyCall`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyReply {
    /// The answer; absent when the receiver can't perform the operation in its current role.
    #[prost(oneof = "KeyAnswer", tags = "1, 2, 3, 4")]
    pub answer: Option<KeyAnswer>,
}

/// The answers of a [`KeyReply`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum KeyAnswer {
    /// The binding of a key.
    #[prost(message, tag = "1")]
    Bound(KeyBinding),
    /// The witness has stored an update.
    #[prost(message, tag = "2")]
    Ack(KeyAck),
    /// The future witness has stored a complete copy.
    #[prost(message, tag = "3")]
    CopyAck(KeyCopyAck),
    /// The operation is done; the value is ignored.
    #[prost(bool, tag = "4")]
    Done(bool),
}

/// The owner's answer to a commit or a lookup.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KeyBinding {
    /// The result, a [`KeyBindingStatus`].
    #[prost(enumeration = "KeyBindingStatus", tag = "1")]
    pub kind: i32,
    /// The owner's epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The binding, when there is one.
    #[prost(message, optional, tag = "3")]
    pub record: Option<KeyRecord>,
}

/// The results of a commit or a lookup.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum KeyBindingStatus {
    /// The receiver does not own the shard.
    NotOwner = 0,
    /// The key is committed to the request in the answer.
    Bound = 1,
    /// The key is not bound.
    Free = 2,
    /// The key is committed to a request with another body.
    Mismatch = 3,
    /// A claim of the shard is in progress, or its witness does not answer; the router retries.
    Busy = 4,
    /// The owner can't tell whether the key was committed, as both holders were lost.
    Unknown = 5,
}

impl From<KeyAnswer> for KeyReply {
    fn from(answer: KeyAnswer) -> Self {
        Self {
            answer: Some(answer),
        }
    }
}

impl From<KeyOperation> for KeyCall {
    fn from(operation: KeyOperation) -> Self {
        Self {
            operation: Some(operation),
        }
    }
}
