//! Handlers of calls about keys at the owner, the witness and the future witness of a shard.

use crate::{
    CommitAnswer, KeyAck, KeyAnswer, KeyBinding, KeyBindingStatus, KeyCommit, KeyCopyPart,
    KeyFinish, KeyLookup, KeyOperation, KeyRecord, KeyRelease, KeyRemoval, KeyReply, KeyUpdate,
    ProcessAddress,
    keys::key_records::{KeyEntry, KeyHash},
    keys::shard_registry::{Shard, key_call_body},
    peer::link::now_ms,
    peer::wire::FrameBody,
    process::router::Router,
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// How long an owner tries to get a binding acknowledged by its witness.
const COMMIT_TIMEOUT_MS: u64 = 800;
/// How long a router waits for the reply of another holder of a shard.
const HOLDER_REPLY_TIMEOUT_MS: u64 = 400;
/// Pause before a binding that awaits an acknowledgement is checked again.
const POLL_MS: u64 = 5;
/// The limit of updates of a shard that are retransmitted at a time.
const MAX_RESENT_UPDATES: usize = 256;

impl Router {
    /// Handles a call about keys, and returns the reply.
    pub(crate) async fn serve_key_call(self: &Arc<Self>, operation: KeyOperation) -> KeyReply {
        let answer = match operation {
            KeyOperation::Commit(commit) => Some(KeyAnswer::Bound(self.commit_key(&commit).await)),
            KeyOperation::Lookup(lookup) => Some(KeyAnswer::Bound(self.look_up_key(&lookup))),
            KeyOperation::Finish(finish) => self.finish_key(&finish),
            KeyOperation::Release(release) => self.release_key_at_owner(&release),
            KeyOperation::Update(update) => {
                let receive = |shard: &mut Shard| shard.replica.receive_update(&update);
                self.keys
                    .with_shard(update.shard, receive)
                    .map(KeyAnswer::Ack)
            }
            KeyOperation::Remove(removal) => {
                let receive = |shard: &mut Shard| shard.replica.receive_removal(&removal);
                self.keys.with_shard(removal.shard, receive);
                Some(KeyAnswer::Done(true))
            }
            KeyOperation::Copy(_) if !self.keys.is_on_host_list() => None,
            KeyOperation::Copy(part) => {
                let receive = |shard: &mut Shard| shard.receive_copy_part(part.clone());
                self.keys.with_shard(part.copy.shard, receive)
            }
        };
        KeyReply { answer }
    }

    /// Binds a key, and returns once the witness holds the binding or [`COMMIT_TIMEOUT_MS`] has
    /// passed.
    async fn commit_key(self: &Arc<Self>, commit: &KeyCommit) -> KeyBinding {
        let Some((key, entry)) = commit.record.binding() else {
            return key_binding(KeyBindingStatus::NotOwner, 0, None);
        };
        let displaced = commit.displaced.as_ref().and_then(KeyRecord::binding);
        let deadline = Instant::now() + Duration::from_millis(COMMIT_TIMEOUT_MS);
        let mut sent = None;
        loop {
            let bind = |shard: &mut Shard| {
                let replica = &mut shard.replica;
                let answer = match &displaced {
                    Some((_, old)) => replica.rebind(key, old, entry.clone(), now_ms()),
                    None => replica.commit(key, entry.clone(), now_ms()),
                };
                (answer, replica.epoch())
            };
            let (answer, epoch) = self.keys.with_shard(commit.shard, bind);
            match answer {
                CommitAnswer::New(update) => sent = Some(update),
                CommitAnswer::Pending => tokio::time::sleep(Duration::from_millis(POLL_MS)).await,
                answer => return reply_to_answer(answer, key, epoch),
            }
            if let Some(update) = &sent {
                self.replicate(update.clone()).await;
            }
            if Instant::now() >= deadline {
                return key_binding(KeyBindingStatus::Busy, epoch, None);
            }
        }
    }

    fn look_up_key(&self, lookup: &KeyLookup) -> KeyBinding {
        let Ok(key) = <[u8; 16]>::try_from(lookup.key.as_slice()) else {
            return key_binding(KeyBindingStatus::NotOwner, 0, None);
        };
        let key = KeyHash(key);
        let find = |shard: &mut Shard| {
            let replica = &shard.replica;
            let answer = replica.find(key, lookup.body_hash);
            (answer, replica.is_owner(), replica.epoch())
        };
        match self.keys.with_shard(lookup.shard, find) {
            (_, false, epoch) => key_binding(KeyBindingStatus::NotOwner, epoch, None),
            (None, true, epoch) => key_binding(KeyBindingStatus::Free, epoch, None),
            (Some(answer), true, epoch) => reply_to_answer(answer, key, epoch),
        }
    }

    /// Records the end of a run.
    ///
    /// Returns `None`, on which the router retries, when the record is malformed, this process does
    /// not own the shard or its table is frozen.
    fn finish_key(self: &Arc<Self>, finish: &KeyFinish) -> Option<KeyAnswer> {
        let (key, entry) = finish.record.binding()?;
        let note = |shard: &mut Shard| {
            let replica = &mut shard.replica;
            let can_change = replica.is_owner() && !replica.is_frozen();
            can_change.then(|| replica.finish(key, entry.request_id, now_ms()))
        };
        if let Some(update) = self.keys.with_shard(finish.shard, note)? {
            let router = Arc::clone(self);
            tokio::spawn(async move { router.replicate(update).await });
        }
        Some(KeyAnswer::Done(true))
    }

    /// Removes a binding whose request never runs.
    ///
    /// Returns `None`, on which the router retries, in the same cases as
    /// [`finish_key`](Self::finish_key).
    fn release_key_at_owner(self: &Arc<Self>, release: &KeyRelease) -> Option<KeyAnswer> {
        let (key, entry) = release.record.binding()?;
        let forget = |shard: &mut Shard| {
            let replica = &mut shard.replica;
            let can_change = replica.is_owner() && !replica.is_frozen();
            can_change.then(|| replica.release(key, &entry))
        };
        let removal = self.keys.with_shard(release.shard, forget)?;
        self.send_removals_to_witness(release.shard, removal.into_iter().collect());
        Some(KeyAnswer::Done(true))
    }

    /// Sends an update to the witness, and commits it when the witness acknowledges it.
    async fn replicate(&self, update: KeyUpdate) {
        let Some(claim) = self.keys.claim(update.shard) else {
            return;
        };
        if claim.epoch != update.epoch {
            return;
        }
        let Some(witness) = claim.witness else { return };
        let shard = update.shard;
        let Some(ack) = self.send_update(&witness, update).await else {
            return;
        };
        self.keys
            .with_shard(shard, |shard| shard.replica.acknowledge(&ack));
    }

    /// Returns the witness's acknowledgement of an update, or `None` when none arrived.
    async fn send_update(&self, witness: &ProcessAddress, update: KeyUpdate) -> Option<KeyAck> {
        if self.keys.is_self_witness(witness) {
            let record = update.record?;
            return Some(KeyAck {
                shard: update.shard,
                epoch: update.epoch,
                key: record.key,
                revision: record.revision,
            });
        }
        match self
            .ask_key_peer(witness, KeyOperation::Update(update))
            .await?
        {
            KeyAnswer::Ack(ack) => Some(ack),
            _ => None,
        }
    }

    /// Calls another process about a shard; returns `None` when it can't be reached, was replaced
    /// by another incarnation, does not reply in time or gives no answer.
    pub(crate) async fn ask_key_peer(
        &self,
        peer: &ProcessAddress,
        operation: KeyOperation,
    ) -> Option<KeyAnswer> {
        let address = peer.address.parse::<SocketAddr>().ok()?;
        let link = self.dialer.link(address).await.ok()?;
        if link.peer_incarnation().0 != peer.incarnation {
            return None;
        }
        let asked = link.call(
            key_call_body(operation),
            Duration::from_millis(HOLDER_REPLY_TIMEOUT_MS),
        );
        match asked.await {
            Ok(FrameBody::KeyReply(reply)) => reply.answer,
            Ok(other) => {
                log::debug!(
                    "ignoring an unexpected reply of {address} to a call about keys: {other:?}"
                );
                None
            }
            Err(error) => {
                log::debug!("calling {address} about keys failed: {error}");
                None
            }
        }
    }

    /// Retransmits the updates that the witness has not acknowledged, and removes expired keys.
    pub(crate) fn maintain_shard(self: &Arc<Self>, number: u32) {
        let take = |shard: &mut Shard| {
            let mut pending = shard.replica.pending();
            pending.truncate(MAX_RESENT_UPDATES);
            (pending, shard.replica.expire(now_ms()))
        };
        let (pending, removals) = self.keys.with_shard(number, take);
        for update in pending {
            let router = Arc::clone(self);
            tokio::spawn(async move { router.replicate(update).await });
        }
        self.send_removals_to_witness(number, removals);
    }

    /// Notifies the witness of a shard in the background of removed bindings.
    fn send_removals_to_witness(self: &Arc<Self>, number: u32, removals: Vec<KeyRemoval>) {
        if removals.is_empty() {
            return;
        }
        let Some(witness) = self.keys.claim(number).and_then(|claim| claim.witness) else {
            return;
        };
        if self.keys.is_self_witness(&witness) {
            return;
        }
        let router = Arc::clone(self);
        tokio::spawn(async move {
            for removal in removals {
                // Not retried: it does no harm when a witness keeps a binding for too long.
                router
                    .ask_key_peer(&witness, KeyOperation::Remove(removal))
                    .await;
            }
        });
    }
}

impl Shard {
    /// Adds the next part of a copy, and stores the copy once it is complete.
    ///
    /// Returns `None` for a part that is out of order or belongs to another copy.
    fn receive_copy_part(&mut self, part: KeyCopyPart) -> Option<KeyAnswer> {
        let copy = part.copy;
        if part.part == 0 {
            self.partial_copy = Some((copy, 1));
        } else {
            let (held, next_part) = self.partial_copy.as_mut()?;
            let is_same_copy =
                (held.epoch, held.from, held.attempt) == (copy.epoch, copy.from, copy.attempt);
            if !is_same_copy || *next_part != part.part {
                return None;
            }
            held.records.extend(copy.records);
            *next_part += 1;
        }
        if !part.last {
            return Some(KeyAnswer::Done(true));
        }
        let (complete, _) = self.partial_copy.take()?;
        self.replica.receive_copy(complete).map(KeyAnswer::CopyAck)
    }
}

/// Converts the answer of a replica to the reply to the router.
fn reply_to_answer(answer: CommitAnswer, key: KeyHash, epoch: u64) -> KeyBinding {
    match answer {
        CommitAnswer::Existing { entry, finished } => {
            let record = KeyRecord::new(key, &entry, finished, 0);
            key_binding(KeyBindingStatus::Bound, epoch, Some(record))
        }
        CommitAnswer::Mismatch => key_binding(KeyBindingStatus::Mismatch, epoch, None),
        CommitAnswer::Unknown => key_binding(KeyBindingStatus::Unknown, epoch, None),
        CommitAnswer::NotOwner => key_binding(KeyBindingStatus::NotOwner, epoch, None),
        CommitAnswer::New(_) | CommitAnswer::Pending | CommitAnswer::Claiming => {
            key_binding(KeyBindingStatus::Busy, epoch, None)
        }
    }
}

fn key_binding(kind: KeyBindingStatus, epoch: u64, record: Option<KeyRecord>) -> KeyBinding {
    KeyBinding {
        kind: kind.into(),
        epoch,
        record,
    }
}

/// Returns whether a binding is to the same request at the same sidecar as the requested one.
pub(crate) fn is_same_binding(entry: &KeyEntry, requested: &KeyEntry) -> bool {
    entry.request_id == requested.request_id && entry.sidecar == requested.sidecar
}
