//! Idempotency keys, which ensure that a request with a key runs at most once.
//!
//! Keys are partitioned into shards. Each shard is replicated to two routers, the owner and the
//! witness, and a key is committed once both hold its binding to a request.

pub(crate) mod key_claim;
pub(crate) mod key_client;
pub(crate) mod key_message;
pub(crate) mod key_owner;
pub(crate) mod key_protocol;
pub(crate) mod key_records;
pub(crate) mod key_replica;
pub(crate) mod key_table;
pub(crate) mod keyed_request;
pub(crate) mod shard_assignment;
pub(crate) mod shard_registry;
