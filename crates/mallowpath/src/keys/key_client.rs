//! Calls of a router to the current owner of a key shard.

use crate::{
    KeyAnswer, KeyBindingStatus, KeyCommit, KeyFinish, KeyLookup, KeyOperation, KeyRecord,
    KeyRelease,
    backend_host::run_table::RunKey,
    keys::key_owner::is_same_binding,
    keys::key_records::{KeyEntry, KeyHash},
    keys::shard_registry::region_shard,
    membership::members::KeyEpoch,
    peer::wire::SubmitIdempotencyKey,
    process::router::Router,
    request::request_run::RequestRun,
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::Xxh3;

/// How long a request waits for an answer of the owner of its key.
const OWNER_TIMEOUT_MS: u64 = 1000;
/// Pause before a request for a binding is sent to the owner again.
const OWNER_RETRY_PAUSE_MS: u64 = 20;
/// Pause before a failed notification is sent to the owner again.
const NOTIFY_RETRY_PAUSE_MS: u64 = 1000;
/// The number of attempts to notify an owner that a run has ended or that a request never runs.
const MAX_NOTIFY_ATTEMPTS: u32 = 30;

/// The key of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestKey {
    pub(crate) shard: u32,
    pub(crate) hash: KeyHash,
    pub(crate) body_hash: u64,
}

/// The calls made to get an answer of an owner.
#[derive(Debug, Clone, Copy, Default)]
struct OwnerAttempts {
    /// The epoch of the owner that answered.
    epoch: u64,
    /// The number of calls, including those without an answer.
    count: u32,
}

/// The result of binding or looking up a key.
#[derive(Debug)]
pub(crate) enum BindingStatus {
    /// The key is bound to the calling request, which may be submitted under this key.
    Own(SubmitIdempotencyKey),
    /// The key is bound to another request.
    Other { entry: KeyEntry, finished: bool },
    /// The key is not bound.
    Free,
    /// The key is bound to a request with another body.
    Mismatch,
    /// The owner can't tell whether the key was bound.
    Unknown,
    /// No owner of the shard gave a definite answer in time.
    Unavailable,
}

impl RequestKey {
    /// Returns the key of a request, or `None` when the request has no key.
    pub(crate) fn of(run: &RequestRun) -> Option<Self> {
        let hash = KeyHash::new(&run.workspace.id, run.key.as_ref()?);
        Some(Self {
            shard: region_shard(&run.workspace.home_region, &hash),
            hash,
            body_hash: body_hash(run),
        })
    }

    /// Returns the binding of the key to a request.
    pub(crate) fn record(&self, entry: &KeyEntry) -> KeyRecord {
        KeyRecord::new(self.hash, entry, false, 0)
    }
}

/// Returns a hash of the service, method, path and body, which must be equal in all requests with
/// the same key.
fn body_hash(run: &RequestRun) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [
        run.service.id.as_str().as_bytes(),
        run.method.as_bytes(),
        run.path.as_bytes(),
        run.body.bytes(),
    ] {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

impl Router {
    /// Binds a key to a request, and returns the resulting binding.
    ///
    /// `displaced` is a binding to replace, whose request certainly never runs. The returned
    /// flag tells whether the owner was called more than once: an earlier call may then have bound
    /// the key to the request, and another request may have replaced that binding.
    pub(crate) async fn bind_key(
        self: &Arc<Self>,
        key: &RequestKey,
        requested: &KeyEntry,
        displaced: Option<&KeyEntry>,
    ) -> (BindingStatus, bool) {
        let operation = KeyOperation::Commit(KeyCommit {
            shard: key.shard,
            record: key.record(requested),
            displaced: displaced.map(|entry| key.record(entry)),
        });
        match self.ask_owner(key, &operation).await {
            (BindingStatus::Other { entry, .. }, attempts)
                if is_same_binding(&entry, requested) =>
            {
                (
                    BindingStatus::Own(submit_key(key, attempts.epoch)),
                    attempts.count > 1,
                )
            }
            (status, attempts) => (status, attempts.count > 1),
        }
    }

    /// Returns the binding of a key, and binds nothing.
    pub(crate) async fn find_key(self: &Arc<Self>, key: &RequestKey) -> BindingStatus {
        let operation = KeyOperation::Lookup(KeyLookup {
            shard: key.shard,
            key: key.hash.0.to_vec(),
            body_hash: key.body_hash,
        });
        self.ask_owner(key, &operation).await.0
    }

    /// Notifies the owner of a key in the background that the run has ended.
    pub(crate) fn notify_key_finished(self: &Arc<Self>, key: RequestKey, entry: &KeyEntry) {
        let operation = KeyOperation::Finish(KeyFinish {
            shard: key.shard,
            record: key.record(entry),
        });
        self.notify_owner(key, operation);
    }

    /// Notifies the owner of a key in the background that the request of a binding never runs.
    pub(crate) fn notify_key_released(self: &Arc<Self>, key: RequestKey, entry: &KeyEntry) {
        let operation = KeyOperation::Release(KeyRelease {
            shard: key.shard,
            record: key.record(entry),
        });
        self.notify_owner(key, operation);
    }

    /// Sends a notification to the owner of a key in the background, and retries until an owner
    /// answers or [`MAX_NOTIFY_ATTEMPTS`] is reached.
    fn notify_owner(self: &Arc<Self>, key: RequestKey, operation: KeyOperation) {
        let router = Arc::clone(self);
        tokio::spawn(async move {
            for _ in 0..MAX_NOTIFY_ATTEMPTS {
                if router.ask_current_owner(&key, &operation).await.is_some() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(NOTIFY_RETRY_PAUSE_MS)).await;
            }
        });
    }

    /// Calls the owner of a key until one gives a definite answer or [`OWNER_TIMEOUT_MS`] has
    /// passed.
    async fn ask_owner(
        self: &Arc<Self>,
        key: &RequestKey,
        operation: &KeyOperation,
    ) -> (BindingStatus, OwnerAttempts) {
        let deadline = Instant::now() + Duration::from_millis(OWNER_TIMEOUT_MS);
        let mut attempts = OwnerAttempts::default();
        loop {
            attempts.count += 1;
            if let Some(KeyAnswer::Bound(answer)) = self.ask_current_owner(key, operation).await {
                let entry = answer.record.as_ref().and_then(KeyRecord::binding);
                let status = match (answer.kind(), entry) {
                    (KeyBindingStatus::Bound, Some((_, entry))) => Some(BindingStatus::Other {
                        entry,
                        finished: answer.record.is_some_and(|record| record.finished),
                    }),
                    (KeyBindingStatus::Free, _) => Some(BindingStatus::Free),
                    (KeyBindingStatus::Mismatch, _) => Some(BindingStatus::Mismatch),
                    (KeyBindingStatus::Unknown, _) => Some(BindingStatus::Unknown),
                    (
                        KeyBindingStatus::Bound
                        | KeyBindingStatus::Busy
                        | KeyBindingStatus::NotOwner,
                        _,
                    ) => None,
                };
                if let Some(status) = status {
                    attempts.epoch = answer.epoch;
                    return (status, attempts);
                }
            }
            if Instant::now() >= deadline {
                metrics::counter!("mallowpath_key_refusals_total").increment(1);
                return (BindingStatus::Unavailable, attempts);
            }
            tokio::time::sleep(Duration::from_millis(OWNER_RETRY_PAUSE_MS)).await;
        }
    }

    /// Calls the owner that the newest known claim names.
    async fn ask_current_owner(
        self: &Arc<Self>,
        key: &RequestKey,
        operation: &KeyOperation,
    ) -> Option<KeyAnswer> {
        let owner = self.keys.claim(key.shard)?.owner?;
        if owner.incarnation == self.incarnation.0 {
            return self.serve_key_call(operation.clone()).await.answer;
        }
        self.ask_key_peer(&owner, operation.clone()).await
    }
}

fn submit_key(key: &RequestKey, epoch: u64) -> SubmitIdempotencyKey {
    let run_key = RunKey {
        hash: key.hash,
        body_hash: key.body_hash,
        committed_in: KeyEpoch {
            shard: key.shard,
            epoch,
        },
    };
    SubmitIdempotencyKey {
        hash: run_key.hash.0.to_vec().into(),
        body_hash: run_key.body_hash,
        committed_in: run_key.committed_in,
    }
}
