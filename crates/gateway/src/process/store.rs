//! The interface of the platform's store as the gateway uses it.
//!
//! A topic of the store is a compacted log: the newest record of each key is kept forever, in the
//! order of the appends. A writer numbers its appends, so an append that is repeated or delayed
//! takes effect exactly once and in order. A later epoch of the writer fences the earlier ones.

use super::store_generation::StoreGeneration;
use crate::budget::LedgerShard;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use mallowpath::{Offset, Result};
use std::{fmt, sync::Arc};

/// A topic of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// The configuration of the operators.
    Configuration,
    /// The registrations of backend servers.
    Backends,
    /// The tokens that each router holds of the budgets of one shard.
    Budgets(LedgerShard),
    /// The addresses of the routers.
    Routers,
    /// The quarantined prompt parts.
    Quarantine,
    /// The origins of the streams that began lately.
    StreamOrigins,
}

/// A record of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRecord {
    /// The key, of which the store keeps the newest record.
    pub key: Arc<str>,
    /// The value; `None` removes the key.
    pub value: Option<Bytes>,
}

/// Records of a topic in the order of their offsets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorePage {
    /// The records, in the order of their offsets.
    pub records: Vec<StoreRecord>,
    /// The offset from which to continue.
    pub next: Offset,
    /// Whether the page includes the newest record that the topic had when the store answered.
    pub reaches_end: bool,
    /// The store's generation when it answered; `None` if it states none.
    pub generation: Option<StoreGeneration>,
}

/// The position of an append among those of its writer, which makes the append idempotent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendId {
    /// The name of the writer.
    pub writer: Arc<str>,
    /// The fencing epoch, which increases with each incarnation of the writer.
    pub epoch: u64,
    /// The number of the append within the epoch, which increases by one.
    pub sequence: u64,
}

/// The result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended.
    Appended {
        /// The offset of the record.
        offset: Offset,
        /// The store's generation when it answered; `None` if it states none.
        generation: Option<StoreGeneration>,
    },
    /// The append was rejected because it does not follow the last append of the writer that the
    /// store knows; a store that was restored may have lost some.
    OutOfSequence,
    /// The append was rejected because a later epoch of the writer has appended.
    Fenced,
}

/// Reads the newest record of each key of a topic.
pub type NewestCall = dyn Fn(Topic) -> BoxFuture<'static, Result<StorePage>> + Send + Sync;

/// Reads the records of a topic from an offset; at the end of the topic, waits up to the given
/// number of milliseconds for a record.
pub type ReadCall =
    dyn Fn(Topic, Offset, u64) -> BoxFuture<'static, Result<StorePage>> + Send + Sync;

/// Appends a record once, even if called several times with the same [`AppendId`].
pub type AppendCall =
    dyn Fn(Topic, StoreRecord, AppendId) -> BoxFuture<'static, Result<AppendOutcome>> + Send + Sync;

/// A client of the store; clones share its connections.
///
/// Errors are of [`Category::Refused`](mallowpath::Category::Refused) if the call surely had no
/// effect, of [`Category::Unknown`](mallowpath::Category::Unknown) if it may have one later, and of
/// [`Category::Gone`](mallowpath::Category::Gone) if records at the offset were dropped.
#[derive(Clone)]
pub struct Store {
    /// Reads the newest record of each key.
    pub newest: Arc<NewestCall>,
    /// Reads the records from an offset.
    pub read: Arc<ReadCall>,
    /// Appends a record.
    pub append: Arc<AppendCall>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}
