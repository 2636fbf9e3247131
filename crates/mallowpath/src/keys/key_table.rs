//! The table of bindings that a process holds for a key shard.

use crate::{CommitAnswer, KeyEntry, KeyHash, KeyRecord, RequestId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The bindings of a key shard, by key.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    bindings: BTreeMap<KeyHash, Binding>,
    /// Finished bindings in the order in which they expire.
    finished_queue: VecDeque<FinishedBinding>,
    /// Keys that were committed or finished since the last log batch.
    unlogged: BTreeSet<KeyHash>,
    /// Keys whose newest revision the witness has not acknowledged.
    unacknowledged: BTreeSet<KeyHash>,
    /// The highest revision given to a binding so far.
    revision: u64,
}

/// A key's request, with the state of its replication and of its run.
#[derive(Debug)]
pub(crate) struct Binding {
    pub(crate) entry: KeyEntry,
    pub(crate) revision: u64,
    pub(crate) committed: bool,
    pub(crate) finished: bool,
}

/// A finished binding that has not expired yet.
#[derive(Debug)]
struct FinishedBinding {
    finished_at_ms: u64,
    key: KeyHash,
    revision: u64,
}

impl KeyTable {
    pub(crate) fn get(&self, key: KeyHash) -> Option<&Binding> {
        self.bindings.get(&key)
    }

    pub(crate) fn len(&self) -> usize {
        self.bindings.len()
    }

    /// Binds a key under a new revision, and returns the binding, which is not committed yet.
    pub(crate) fn bind(&mut self, key: KeyHash, entry: KeyEntry) -> KeyRecord {
        self.revision += 1;
        let binding = Binding {
            entry,
            revision: self.revision,
            committed: false,
            finished: false,
        };
        let record = binding.record(key);
        self.unacknowledged.insert(key);
        self.bindings.insert(key, binding);
        record
    }

    /// Records that the witness holds a revision, and returns the binding if that commits it.
    pub(crate) fn acknowledge(&mut self, key: KeyHash, revision: u64) -> Option<&KeyEntry> {
        let binding = self.bindings.get_mut(&key)?;
        if binding.revision != revision || !self.unacknowledged.remove(&key) || binding.committed {
            return None;
        }
        binding.committed = true;
        self.unlogged.insert(key);
        Some(&binding.entry)
    }

    /// Commits all bindings, as a new owner, and starts the retention time of the finished ones
    /// that are not queued to expire.
    pub(crate) fn commit_all(&mut self, now_ms: u64) {
        self.unacknowledged.clear();
        let queued: BTreeSet<KeyHash> = self
            .finished_queue
            .iter()
            .map(|finished| finished.key)
            .collect();
        for (key, binding) in &mut self.bindings {
            if !binding.committed {
                binding.committed = true;
                self.unlogged.insert(*key);
            }
            if binding.finished && !queued.contains(key) {
                self.finished_queue.push_back(FinishedBinding {
                    finished_at_ms: now_ms,
                    key: *key,
                    revision: binding.revision,
                });
            }
        }
    }

    /// Marks a committed binding as finished under a new revision.
    ///
    /// Returns `None` when the key has no committed, unfinished binding to `request`.
    pub(crate) fn finish(
        &mut self,
        key: KeyHash,
        request: RequestId,
        now_ms: u64,
    ) -> Option<KeyRecord> {
        let binding = self.bindings.get_mut(&key)?;
        if !binding.committed || binding.finished || binding.entry.request_id != request {
            return None;
        }
        self.revision += 1;
        binding.finished = true;
        binding.revision = self.revision;
        self.finished_queue.push_back(FinishedBinding {
            finished_at_ms: now_ms,
            key,
            revision: binding.revision,
        });
        self.unlogged.insert(key);
        self.unacknowledged.insert(key);
        Some(binding.record(key))
    }

    /// Removes one binding that finished at least `keep_ms` ago, and returns its key and revision.
    pub(crate) fn expire_one(&mut self, keep_ms: u64, now_ms: u64) -> Option<(KeyHash, u64)> {
        loop {
            let oldest = self.finished_queue.front()?;
            if oldest.finished_at_ms.saturating_add(keep_ms) > now_ms {
                return None;
            }
            let FinishedBinding { key, revision, .. } = self.finished_queue.pop_front()?;
            if self.remove(key, revision) {
                return Some((key, revision));
            }
        }
    }

    /// Removes a binding unless it has a newer revision, and returns whether it was removed.
    pub(crate) fn remove(&mut self, key: KeyHash, revision: u64) -> bool {
        if self
            .get(key)
            .is_none_or(|binding| binding.revision > revision)
        {
            return false;
        }
        self.bindings.remove(&key);
        self.unacknowledged.remove(&key);
        true
    }

    /// Stores a binding received from another process, not committed yet.
    ///
    /// A record that holds no valid binding is ignored.
    pub(crate) fn store(&mut self, record: &KeyRecord) {
        let Some((key, entry)) = record.binding() else {
            return;
        };
        let KeyRecord {
            revision, finished, ..
        } = *record;
        self.revision = self.revision.max(revision);
        self.bindings.insert(
            key,
            Binding {
                entry,
                revision,
                committed: false,
                finished,
            },
        );
    }

    /// Returns all bindings, committed or not.
    pub(crate) fn records(&self) -> Vec<KeyRecord> {
        let mut records = Vec::with_capacity(self.bindings.len());
        for (key, binding) in &self.bindings {
            records.push(binding.record(*key));
        }
        records
    }

    /// Returns the bindings whose newest revision the witness has not acknowledged.
    pub(crate) fn unacknowledged(&self) -> Vec<KeyRecord> {
        let mut records = Vec::new();
        for key in &self.unacknowledged {
            let Some(binding) = self.bindings.get(key) else {
                continue;
            };
            records.push(binding.record(*key));
        }
        records
    }

    /// Returns up to `max_keys` committed bindings that are to be logged, which then count as
    /// logged.
    pub(crate) fn take_unlogged(&mut self, max_keys: usize) -> Vec<KeyRecord> {
        let mut records = Vec::new();
        while records.len() < max_keys {
            let Some(key) = self.unlogged.pop_first() else {
                break;
            };
            let Some(binding) = self.bindings.get(&key) else {
                continue;
            };
            if binding.committed {
                records.push(binding.record(key));
            }
        }
        records
    }
}

impl Binding {
    /// Returns the answer to a request for the key with this body hash.
    pub(crate) fn answer(&self, body_hash: u64) -> CommitAnswer {
        if !self.committed {
            return CommitAnswer::Pending;
        }
        if self.entry.body_hash != body_hash {
            return CommitAnswer::Mismatch;
        }
        CommitAnswer::Existing {
            entry: self.entry.clone(),
            finished: self.finished,
        }
    }

    fn record(&self, key: KeyHash) -> KeyRecord {
        KeyRecord::new(key, &self.entry, self.finished, self.revision)
    }
}
