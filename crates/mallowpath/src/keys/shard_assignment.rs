//! Assignment of the key shards of a region to holders, and replacement of a lost holder.
//!
//! Safety does not depend on this module: whichever routers claim a shard, the order of the claims
//! in the log decides.

use crate::{
    Claim, KeyAnswer, KeyCopy, KeyCopyAck, KeyCopyPart, KeyOperation, KeysChange, KeysRecord,
    ProcessAddress,
    id::Region,
    keys::shard_registry::{
        KEY_SHARDS, PeerHealth, Shard, first_shard_of, follow_region, key_stream, other_holder,
    },
    peer::link::now_ms,
    process::router::Router,
    routing::rendezvous::{Candidate, pick_n, rendezvous_key},
    stream::host_client::{HostEntry, HostRole, HostState},
};
use prost::Message;
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{MissedTickBehavior, interval};

/// The interval at which a router maintains its key shards.
const TICK_INTERVAL_MS: u64 = 100;
/// Pause before another attempt to find a witness for a shard.
const WITNESS_RETRY_PAUSE_MS: u64 = 50;
/// Pause before the log service is tried again for a claim; the failed append may have had effect.
const APPEND_RETRY_PAUSE_MS: u64 = 500;
/// Pause between checks whether an appended claim has been read back.
const CLAIM_POLL_INTERVAL_MS: u64 = 20;
/// The number of such checks before the claim is appended again.
const MAX_CLAIM_POLLS: u32 = 100;
/// The limit of records in one part of a copy, so that a part fits into a frame.
const MAX_RECORDS_PER_COPY_PART: usize = 8192;
/// Time between two checkpoints of the claims.
const CHECKPOINT_INTERVAL_MS: u64 = 10 * 60 * 1000;
/// Time between two log batches of a shard. At 30 s, 1,024 shards make at most 34 appends a second.
const KEY_LOG_INTERVAL_MS: u64 = 30 * 1000;
/// The limit of keys in a log batch, whose record is then about 700 KB.
const MAX_KEYS_PER_LOG_BATCH: usize = 8192;

/// Maintains this router's key shards until the process ends.
pub(crate) async fn maintain_key_shards(router: Arc<Router>) {
    let region = router.settings.host.region.clone();
    let mut ticks = interval(Duration::from_millis(TICK_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_checkpoint_at_ms = now_ms();
    loop {
        ticks.tick().await;
        follow_region(&router, &region);
        for workspace in router.fleet().workspaces.values() {
            follow_region(&router, &workspace.home_region);
        }
        router.update_advertised_address();
        router.keys.expire_retained_requests();
        router.keys.update_metrics();
        check_peers(&router);
        maintain_region(&router, &region);
        if now_ms().saturating_sub(last_checkpoint_at_ms) >= CHECKPOINT_INTERVAL_MS {
            last_checkpoint_at_ms = now_ms();
            write_checkpoint(&router, &region);
        }
    }
}

/// Maintains the shards of this router's region: claims those without holders, and replaces lost
/// holders of those that it holds.
fn maintain_region(router: &Arc<Router>, region: &Region) {
    let Some(loaded_at_ms) = router.keys.loaded_at_ms(region) else {
        return;
    };
    let first_shard = first_shard_of(region);
    for number in first_shard..first_shard + KEY_SHARDS {
        router.maintain_shard(number);
        router.log_keys(number);
        let Some(claim) = router.keys.claim(number) else {
            if router.may_claim_unclaimed_shard(number, loaded_at_ms) {
                router.begin_claim(number, None);
            }
            continue;
        };
        let Some(other) = other_holder(&claim, router.incarnation.0) else {
            continue;
        };
        if router.keys.is_self_witness(&other) {
            if !router.witness_candidates(number, None).is_empty() {
                router.begin_claim(number, None);
            }
        } else if router.is_lost(&other) {
            router.begin_claim(number, Some(&other));
        }
    }
}

impl Router {
    /// Advertises the address that the host list has for this router.
    fn update_advertised_address(&self) {
        for host in &self.hosts().hosts {
            if host.role == HostRole::Router && host.name == self.settings.host.name {
                self.keys.set_advertised_address(host.address);
            }
        }
    }

    /// Returns whether this router may now claim a shard that has never been claimed.
    ///
    /// The first router in rendezvous order may claim at once, and each further one
    /// `key_takeover_ms` later than the one before it, in case that one does not claim the shard.
    fn may_claim_unclaimed_shard(&self, number: u32, loaded_at_ms: u64) -> bool {
        let ranked = self.ranked_routers(number);
        let is_own_host = |host: &HostEntry| host.name == self.settings.host.name;
        let Some(rank) = ranked.iter().position(is_own_host) else {
            return false;
        };
        let wait_ms = self.settings.tuning.key_takeover_ms * rank as u64;
        now_ms().saturating_sub(loaded_at_ms) >= wait_ms
    }

    /// Returns the live routers of this router's region in rendezvous order for a shard.
    fn ranked_routers(&self, number: u32) -> Vec<HostEntry> {
        let hosts = self.hosts();
        let mut routers = Vec::new();
        for host in &hosts.hosts {
            let is_live_router = host.role == HostRole::Router && host.state == HostState::Live;
            if is_live_router && host.region == self.settings.host.region {
                routers.push(host);
            }
        }
        let mut candidates = Vec::with_capacity(routers.len());
        for host in &routers {
            candidates.push(Candidate {
                name: host.name.as_str(),
                weight: 1.0,
            });
        }
        let key = rendezvous_key(&format!("keys-{number:08x}"));
        let mut ranked = Vec::with_capacity(routers.len());
        for index in pick_n(key, &candidates, routers.len()) {
            ranked.push(routers[index].clone());
        }
        ranked
    }

    /// Returns the addresses of the routers that may become witness of a shard, best first: those
    /// in other availability zones, then those in this router's zone.
    fn witness_candidates(
        &self,
        number: u32,
        lost_peer: Option<&ProcessAddress>,
    ) -> Vec<SocketAddr> {
        let lost_peer = lost_peer.and_then(|peer| peer.address.parse().ok());
        let (mut other_zones, mut own_zone) = (Vec::new(), Vec::new());
        for host in self.ranked_routers(number) {
            if host.name == self.settings.host.name || Some(host.address) == lost_peer {
                continue;
            }
            if host.zone == self.settings.host.zone {
                own_zone.push(host.address);
            } else {
                other_zones.push(host.address);
            }
        }
        other_zones.extend(own_zone);
        other_zones
    }

    /// Returns whether the other holder of a shard is leaving, was replaced by another incarnation
    /// or has been unreachable for `key_takeover_ms`.
    fn is_lost(&self, peer: &ProcessAddress) -> bool {
        let Ok(address) = peer.address.parse::<SocketAddr>() else {
            return true;
        };
        let is_leaving =
            |host: &HostEntry| host.address == address && host.state == HostState::Leaving;
        if self.hosts().hosts.iter().any(is_leaving) {
            return true;
        }
        let state = self.keys.state();
        let Some(health) = state.peers.get(&(address, peer.incarnation)) else {
            return false;
        };
        let silent_ms = now_ms().saturating_sub(health.last_alive_at_ms);
        health.replaced || silent_ms >= self.settings.tuning.key_takeover_ms
    }

    /// Starts a task that claims a shard, unless a claim is in progress, this router is draining or
    /// there is no possible witness.
    fn begin_claim(self: &Arc<Self>, number: u32, lost_peer: Option<&ProcessAddress>) {
        let candidates = self.witness_candidates(number, lost_peer);
        if candidates.is_empty() && !self.settings.tuning.keys_without_witness {
            return;
        }
        if self.is_draining() || self.keys.with_shard(number, Shard::mark_claim_in_progress) {
            return;
        }
        let router = Arc::clone(self);
        tokio::spawn(async move {
            router.claim_shard(number, &candidates).await;
            router
                .keys
                .with_shard(number, |shard| shard.claim_in_progress = false);
        });
    }

    /// Claims the next epoch of a shard with the first candidate that accepts a copy as witness.
    async fn claim_shard(&self, number: u32, candidates: &[SocketAddr]) {
        let stream = key_stream(&self.settings.host.region);
        // The table is frozen only if the log service is reachable. Holders that lose their
        // connection for a moment during a log outage can then resume their epoch, whereas a claim
        // that may be in the log can't be cancelled.
        if let Err(error) = self.log.bounds(&stream).await {
            log::debug!("not claiming key shard {number:08x}, retrying later: {error}");
            tokio::time::sleep(Duration::from_millis(APPEND_RETRY_PAUSE_MS)).await;
            return;
        }
        let begin = |shard: &mut Shard| shard.replica.begin_claim(now_ms());
        let Some(copy) = self.keys.with_shard(number, begin) else {
            return;
        };
        let ack = self.find_witness(&copy, candidates).await;
        let author = |shard: &mut Shard| {
            let claim = ack.and_then(|ack| shard.replica.author_claim(&ack));
            if claim.is_none() {
                shard.replica.cancel_claim();
            }
            claim
        };
        if let Some(claim) = self.keys.with_shard(number, author) {
            return self.append_claim(&stream, claim).await;
        }
        log::debug!(
            "not claiming key shard {number:08x}, retrying later: no witness confirmed the copy"
        );
        tokio::time::sleep(Duration::from_millis(WITNESS_RETRY_PAUSE_MS)).await;
    }

    /// Copies a table to the first candidate that accepts it, and returns its confirmation.
    async fn find_witness(&self, copy: &KeyCopy, candidates: &[SocketAddr]) -> Option<KeyCopyAck> {
        for address in candidates {
            if let Some(ack) = self.send_copy(copy, *address).await {
                return Some(ack);
            }
        }
        let may_be_own_witness = candidates.is_empty() && self.settings.tuning.keys_without_witness;
        may_be_own_witness.then(|| KeyCopyAck {
            shard: copy.shard,
            epoch: copy.epoch,
            from: copy.from,
            attempt: copy.attempt,
            witness: Some(self.keys.self_witness()),
        })
    }

    /// Sends a copy to a router part by part, and returns its confirmation, or `None` when it does
    /// not accept the copy.
    async fn send_copy(&self, copy: &KeyCopy, address: SocketAddr) -> Option<KeyCopyAck> {
        let link = self.dialer.link(address).await.ok()?;
        let peer = ProcessAddress {
            incarnation: link.peer_incarnation().0,
            address: address.to_string(),
        };
        for part in copy_parts(copy) {
            match self.ask_key_peer(&peer, KeyOperation::Copy(part)).await? {
                KeyAnswer::CopyAck(ack) => return Some(ack),
                KeyAnswer::Done(_) => {}
                KeyAnswer::Bound(_) | KeyAnswer::Ack(_) => return None,
            }
        }
        None
    }

    /// Appends a claim repeatedly until a claim of its epoch or a later one is read from the log.
    async fn append_claim(&self, stream: &str, claim: Claim) {
        let (number, epoch) = (claim.shard, claim.epoch);
        let is_decided = || {
            let current = self.keys.claim(number);
            current.is_some_and(|current| current.epoch >= epoch)
        };
        let record = KeysRecord::from(KeysChange::Claim(claim));
        while !is_decided() {
            let appended = self.log.append(stream, record.encode_to_vec().into());
            if let Err(error) = appended.await {
                log::debug!(
                    "appending a claim of key shard {number:08x} failed, retrying: {error}"
                );
                tokio::time::sleep(Duration::from_millis(APPEND_RETRY_PAUSE_MS)).await;
                continue;
            }
            for _ in 0..MAX_CLAIM_POLLS {
                if is_decided() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(CLAIM_POLL_INTERVAL_MS)).await;
            }
        }
    }

    /// Logs the keys of an owned shard that were committed or whose runs ended since the last
    /// batch.
    fn log_keys(self: &Arc<Self>, number: u32) {
        let take = |shard: &mut Shard| {
            if now_ms().saturating_sub(shard.last_logged_at_ms) < KEY_LOG_INTERVAL_MS {
                return None;
            }
            shard.last_logged_at_ms = now_ms();
            shard.replica.take_log_batch(MAX_KEYS_PER_LOG_BATCH)
        };
        let Some(batch) = self.keys.with_shard(number, take) else {
            return;
        };
        let router = Arc::clone(self);
        tokio::spawn(async move {
            let record = KeysRecord::from(KeysChange::Log(batch)).encode_to_vec();
            let stream = format!("keylog-{number:08x}");
            if let Err(error) = router.log.append(&stream, record.into()).await {
                log::debug!("logging keys to {stream} failed, the batch is not retried: {error}");
            }
        });
    }
}

impl Shard {
    /// Marks a claim as in progress, and returns whether one already was.
    fn mark_claim_in_progress(&mut self) -> bool {
        std::mem::replace(&mut self.claim_in_progress, true)
    }
}

/// Splits a copy into parts that each fit into a frame.
fn copy_parts(copy: &KeyCopy) -> Vec<KeyCopyPart> {
    let mut parts = Vec::new();
    let mut remaining = copy.records.as_slice();
    loop {
        let (current, following) =
            remaining.split_at(remaining.len().min(MAX_RECORDS_PER_COPY_PART));
        remaining = following;
        parts.push(KeyCopyPart {
            copy: KeyCopy {
                records: current.to_vec(),
                ..empty_copy(copy)
            },
            part: u32::try_from(parts.len()).unwrap_or(u32::MAX),
            last: remaining.is_empty(),
        });
        if remaining.is_empty() {
            return parts;
        }
    }
}

/// Returns a copy without its records.
fn empty_copy(copy: &KeyCopy) -> KeyCopy {
    KeyCopy {
        shard: copy.shard,
        epoch: copy.epoch,
        from: copy.from,
        attempt: copy.attempt,
        records: Vec::new(),
        unknown_ms: copy.unknown_ms,
    }
}

/// Appends a checkpoint of the claims of a region, if this router is the one to write it.
fn write_checkpoint(router: &Arc<Router>, region: &Region) {
    let Some(checkpoint) = router.keys.checkpoint(region) else {
        return;
    };
    let router = Arc::clone(router);
    let stream = key_stream(region);
    tokio::spawn(async move {
        let record = checkpoint.encode_to_vec().into();
        if let Err(error) = router.log.append(&stream, record).await {
            log::warn!(
                "appending a checkpoint to {stream} failed, retrying at the next interval: {error}"
            );
        }
    });
}

/// Checks which of the routers that hold shards together with this one are reachable.
fn check_peers(router: &Arc<Router>) {
    let region = &router.settings.host.region;
    let first_shard = first_shard_of(region);
    let mut checked = BTreeSet::new();
    for number in first_shard..first_shard + KEY_SHARDS {
        let Some(claim) = router.keys.claim(number) else {
            continue;
        };
        let Some(peer) = other_holder(&claim, router.incarnation.0) else {
            continue;
        };
        let Ok(address) = peer.address.parse::<SocketAddr>() else {
            continue;
        };
        if !router.keys.is_self_witness(&peer) && checked.insert((address, peer.incarnation)) {
            check_peer(router, (address, peer.incarnation));
        }
    }
    let mut state = router.keys.state();
    state.peers.retain(|peer_id, _| checked.contains(peer_id));
}

/// Records whether a peer is reachable, and connects to it in the background if it is not.
fn check_peer(router: &Arc<Router>, peer_id: (SocketAddr, u64)) {
    let (address, incarnation) = peer_id;
    let open = router.dialer.open_link(address);
    {
        let mut state = router.keys.state();
        let health = state.peers.entry(peer_id).or_insert_with(|| PeerHealth {
            last_alive_at_ms: now_ms(),
            ..PeerHealth::default()
        });
        if let Some(link) = open {
            health.replaced = link.peer_incarnation().0 != incarnation;
            health.last_alive_at_ms = now_ms();
            return;
        }
        if std::mem::replace(&mut health.dialling, true) {
            return;
        }
    }
    let router = Arc::clone(router);
    tokio::spawn(async move {
        if let Err(error) = router.dialer.link(address).await {
            log::debug!("connecting to key shard holder {address} failed: {error}");
        }
        if let Some(health) = router.keys.state().peers.get_mut(&peer_id) {
            health.dialling = false;
        }
    });
}
