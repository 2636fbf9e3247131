//! Replication messages between the holders of a key shard.

use crate::{KeyRecord, ProcessAddress};

/// The owner's request that the witness store a binding.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyUpdate {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The owner's epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The binding.
    #[prost(message, optional, tag = "3")]
    pub record: Option<KeyRecord>,
}

/// The witness's acknowledgement of a [`KeyUpdate`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyAck {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The witness's epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The 16 bytes of the key's hash.
    #[prost(bytes = "vec", tag = "3")]
    pub key: Vec<u8>,
    /// The revision that the witness has stored.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
}

/// The owner's request that the witness remove a binding.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyRemoval {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The owner's epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The 16 bytes of the key's hash.
    #[prost(bytes = "vec", tag = "3")]
    pub key: Vec<u8>,
    /// The revision that was removed.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
}

/// A complete copy of a claimant's table, for the witness of the epoch to be claimed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyCopy {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The epoch to be claimed.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The incarnation of the claimant.
    #[prost(fixed64, tag = "3")]
    pub from: u64,
    /// The number of the claim attempt; it grows each time that the claimant freezes its table.
    #[prost(uint64, tag = "4")]
    pub attempt: u64,
    /// All bindings, committed and pending.
    #[prost(message, repeated, tag = "5")]
    pub records: Vec<KeyRecord>,
    /// How long after the copy was made keys without a record are answered as unknown.
    #[prost(uint64, tag = "6")]
    pub unknown_ms: u64,
}

/// A confirmation that a process has stored a copy and can be the witness of its epoch.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyCopyAck {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The epoch to be claimed.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The incarnation of the claimant that made the copy.
    #[prost(fixed64, tag = "3")]
    pub from: u64,
    /// The number of the claim attempt that made the copy.
    #[prost(uint64, tag = "4")]
    pub attempt: u64,
    /// The process that stored the copy.
    #[prost(message, optional, tag = "5")]
    pub witness: Option<ProcessAddress>,
}
