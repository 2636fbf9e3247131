//! The replica of a key shard at one process: owner, witness, claimant or non-holder.
//!
//! A key is committed when the owner and the witness of one epoch both hold its binding. Messages
//! may be lost, duplicated, delayed and reordered.

use crate::{
    Incarnation, KeyAck, KeyCopy, KeyEntry, KeyHash, KeyLog, KeyRecord, KeyRemoval, KeyUpdate,
    ProcessAddress, RequestId,
    keys::key_claim::{ClaimAttempt, Role},
    keys::key_table::KeyTable,
};
use std::collections::BTreeMap;

/// The default of [`KeySettings::keep_ms`].
const DEFAULT_KEEP_MS: u64 = 60 * 60 * 1000;

/// Settings of a key shard.
#[derive(Debug, Clone, Copy)]
pub struct KeySettings {
    /// How long a key stays bound after its run has ended, in milliseconds.
    pub keep_ms: u64,
}

/// The owner's answer to a request to bind a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitAnswer {
    /// The binding is new, and committed once the witness has acknowledged this update.
    New(KeyUpdate),
    /// A binding of the key awaits the witness's acknowledgement; the caller retries.
    Pending,
    /// The key is committed to this request, which may be that of the caller.
    Existing {
        /// The request.
        entry: KeyEntry,
        /// Whether its run has ended.
        finished: bool,
    },
    /// The key is committed to a request with another body.
    Mismatch,
    /// The table is frozen for a claim; the caller retries.
    Claiming,
    /// Both holders were lost, and it is not known whether the key was committed.
    Unknown,
    /// This process does not own the shard.
    NotOwner,
}

/// The replica of one key shard at one process.
#[derive(Debug)]
pub struct KeyReplica {
    pub(crate) shard: u32,
    pub(crate) own_peer: ProcessAddress,
    pub(crate) settings: KeySettings,
    pub(crate) epoch: u64,
    pub(crate) role: Role,
    pub(crate) attempt: Option<ClaimAttempt>,
    pub(crate) last_attempt: u64,
    pub(crate) table: KeyTable,
    /// Until when keys without a binding are answered as unknown, after a recovery.
    pub(crate) unknown_until_ms: u64,
    /// Copies of claimants' tables, by epoch and claimant.
    pub(crate) copies: BTreeMap<(u64, Incarnation), KeyCopy>,
}

impl KeyReplica {
    /// Returns the replica of a process that has seen no claim of the shard.
    pub fn new(shard: u32, own_peer: ProcessAddress, settings: KeySettings) -> Self {
        Self {
            shard,
            own_peer,
            settings,
            epoch: 0,
            role: Role::NonHolder,
            attempt: None,
            last_attempt: 0,
            table: KeyTable::default(),
            unknown_until_ms: 0,
            copies: BTreeMap::default(),
        }
    }

    /// Returns the epoch of the newest claim seen, 0 for none.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether this process owns the newest epoch that it has seen.
    pub fn is_owner(&self) -> bool {
        matches!(self.role, Role::Owner)
    }

    /// Returns whether this process is the witness of the newest epoch that it has seen.
    pub fn is_witness(&self) -> bool {
        matches!(self.role, Role::Witness)
    }

    /// Returns whether the table is frozen for a claim.
    pub fn is_frozen(&self) -> bool {
        self.attempt.is_some()
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.table.len() == 0
    }

    /// Binds a key to a request, as owner.
    pub fn commit(&mut self, key: KeyHash, entry: KeyEntry, now_ms: u64) -> CommitAnswer {
        if !self.is_owner() {
            return CommitAnswer::NotOwner;
        }
        if let Some(binding) = self.table.get(key) {
            return binding.answer(entry.body_hash);
        }
        if self.is_frozen() {
            return CommitAnswer::Claiming;
        }
        if now_ms < self.unknown_until_ms {
            return CommitAnswer::Unknown;
        }
        let record = self.table.bind(key, entry);
        CommitAnswer::New(self.update_message(record))
    }

    /// Returns the binding of a key, as owner, and binds nothing; `None` when the key is not bound.
    pub fn find(&self, key: KeyHash, body_hash: u64) -> Option<CommitAnswer> {
        if !self.is_owner() {
            return Some(CommitAnswer::NotOwner);
        }
        Some(self.table.get(key)?.answer(body_hash))
    }

    /// Replaces the binding `old` of a key, as owner.
    ///
    /// The caller must have proof that the request of `old` never runs: the sidecar that the
    /// binding names holds a tombstone for it. A binding that is not `old`, or whose run has ended,
    /// is kept.
    pub fn rebind(
        &mut self,
        key: KeyHash,
        old: &KeyEntry,
        entry: KeyEntry,
        now_ms: u64,
    ) -> CommitAnswer {
        if !self.is_owner() {
            return CommitAnswer::NotOwner;
        }
        let Some(binding) = self.table.get(key) else {
            return self.commit(key, entry, now_ms);
        };
        let answer = binding.answer(entry.body_hash);
        let unchanged = binding.entry == *old && !binding.finished;
        if !matches!(answer, CommitAnswer::Existing { .. }) || !unchanged {
            return answer;
        }
        if self.is_frozen() {
            return CommitAnswer::Claiming;
        }
        if now_ms < self.unknown_until_ms {
            // A newer binding may have been lost with both holders, and its request may have run.
            return CommitAnswer::Unknown;
        }
        let record = self.table.bind(key, entry);
        CommitAnswer::New(self.update_message(record))
    }

    /// Removes the binding `old` of a key, as owner, and returns the message for the witness.
    ///
    /// The caller must have the same proof as for [`rebind`](Self::rebind). A witness that misses
    /// the message and keeps the binding does no harm: the sidecar that the binding names refuses
    /// the request.
    pub fn release(&mut self, key: KeyHash, old: &KeyEntry) -> Option<KeyRemoval> {
        if !self.is_owner() || self.is_frozen() {
            return None;
        }
        let binding = self.table.get(key)?;
        if binding.entry != *old || binding.finished {
            return None;
        }
        let revision = binding.revision;
        self.table.remove(key, revision);
        Some(self.removal_message(key, revision))
    }

    /// Handles an acknowledgement of the witness, as owner, and returns the binding if it commits
    /// one.
    pub fn acknowledge(&mut self, ack: &KeyAck) -> Option<(KeyHash, KeyEntry)> {
        if !self.is_owner() || self.is_frozen() || ack.epoch != self.epoch {
            return None;
        }
        let key = KeyHash(ack.key.as_slice().try_into().ok()?);
        let entry = self.table.acknowledge(key, ack.revision)?;
        Some((key, entry.clone()))
    }

    /// Returns the updates that the witness has not acknowledged, for retransmission by the owner.
    pub fn pending(&self) -> Vec<KeyUpdate> {
        let mut updates = Vec::new();
        if !self.is_owner() || self.is_frozen() {
            return updates;
        }
        for record in self.table.unacknowledged() {
            updates.push(self.update_message(record));
        }
        updates
    }

    /// Records the end of a request's run, as owner, and returns the update for the witness.
    ///
    /// Records nothing while the table is frozen for a claim; the caller has to retry.
    pub fn finish(&mut self, key: KeyHash, request: RequestId, now_ms: u64) -> Option<KeyUpdate> {
        if !self.is_owner() || self.is_frozen() {
            return None;
        }
        let record = self.table.finish(key, request, now_ms)?;
        Some(self.update_message(record))
    }

    /// Removes the keys whose runs ended at least `keep_ms` ago, as owner, and returns the messages
    /// for the witness.
    pub fn expire(&mut self, now_ms: u64) -> Vec<KeyRemoval> {
        let mut removals = Vec::new();
        if !self.is_owner() || self.is_frozen() {
            return removals;
        }
        while let Some((key, revision)) = self.table.expire_one(self.settings.keep_ms, now_ms) {
            removals.push(self.removal_message(key, revision));
        }
        removals
    }

    /// Returns a batch of up to `max_keys` keys that were committed or whose runs ended since they
    /// were last logged, as owner.
    pub fn take_log_batch(&mut self, max_keys: usize) -> Option<KeyLog> {
        if !self.is_owner() {
            return None;
        }
        let keys = self.table.take_unlogged(max_keys);
        if keys.is_empty() {
            return None;
        }
        Some(KeyLog {
            shard: self.shard,
            epoch: self.epoch,
            author: self.own_peer.incarnation,
            keys,
        })
    }

    /// Stores a binding, as witness, and returns the acknowledgement.
    ///
    /// Returns `None` when the update is of another epoch or older than the stored revision, or the
    /// table is frozen.
    pub fn receive_update(&mut self, update: &KeyUpdate) -> Option<KeyAck> {
        if !self.is_witness() || self.is_frozen() || update.epoch != self.epoch {
            return None;
        }
        let record = update.record.as_ref()?;
        let (key, _) = record.binding()?;
        let held = self.table.get(key).map_or(0, |binding| binding.revision);
        if record.revision < held {
            return None;
        }
        if record.revision > held {
            self.table.store(record);
        }
        let key = record.key.clone();
        Some(KeyAck {
            shard: self.shard,
            epoch: self.epoch,
            key,
            revision: record.revision,
        })
    }

    /// Removes an expired or released binding, as witness.
    pub fn receive_removal(&mut self, removal: &KeyRemoval) {
        if !self.is_witness() || self.is_frozen() || removal.epoch != self.epoch {
            return;
        }
        let Ok(key) = removal.key.as_slice().try_into() else {
            return;
        };
        self.table.remove(KeyHash(key), removal.revision);
    }

    fn removal_message(&self, key: KeyHash, revision: u64) -> KeyRemoval {
        KeyRemoval {
            shard: self.shard,
            epoch: self.epoch,
            key: key.0.to_vec(),
            revision,
        }
    }

    fn update_message(&self, record: KeyRecord) -> KeyUpdate {
        KeyUpdate {
            shard: self.shard,
            epoch: self.epoch,
            record: Some(record),
        }
    }
}

impl Default for KeySettings {
    fn default() -> Self {
        Self {
            keep_ms: DEFAULT_KEEP_MS,
        }
    }
}
