//! A router's replicas of the key shards of its region, and the claims of all regions that it uses.
//!
//! Each region has [`KEY_SHARDS`] shards, whose claims are in one stream. The numbers of the shards
//! and the name of the stream are derived from a hash of the region's name. One lock protects all
//! shards and claims; it is never held across an `await`.

use crate::{
    ApplyOutcome, KeyCall, KeyClaims, KeyCopy, KeyOperation, KeyReplica, KeySettings, KeysChange,
    KeysRecord, ProcessAddress,
    error::{Category, Error, Result},
    id::{Incarnation, Offset, Region, RequestId},
    keys::key_records::{Claim, KeyHash, key_shard},
    membership::members::Members,
    peer::link::now_ms,
    process::router::Router,
    process::settings::RouterTuning,
    stream::follower::{Follower, sleep_backoff},
    stream::log_client::{LogClient, LogRecord},
};
use prost::Message;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use xxhash_rust::xxh3::xxh3_64;

/// The number of key shards of a region, a power of two.
pub const KEY_SHARDS: u32 = 32;
/// How long sidecars have to keep the tombstone of a request to which a key may be bound.
const TOMBSTONE_RETENTION_MS: u64 = 10 * 60 * 1000;
/// The limit of requests whose tombstones are kept.
const MAX_RETAINED_REQUESTS: usize = 16_384;

/// The key shards of a router and the claims that it has read.
#[derive(Debug)]
pub(crate) struct KeyShardRegistry {
    own_incarnation: Incarnation,
    settings: KeySettings,
    state: Mutex<KeysState>,
}

#[derive(Debug, Default)]
pub(crate) struct KeysState {
    /// This router's address in the host list; `None` until the host list has it.
    advertised_address: Option<SocketAddr>,
    /// This router's replicas of the shards of its region, by shard number.
    pub(crate) shards: BTreeMap<u32, Shard>,
    /// The claims of the regions, by the number of the region's first shard.
    claims: HashMap<u32, RegionClaims>,
    /// The regions whose claims are followed, by the number of the region's first shard.
    followed_regions: BTreeSet<u32>,
    /// This router's requests that certainly never run but may be bound to a key, each with the
    /// time at which it was added, oldest first.
    retained_requests: VecDeque<(u64, RequestId)>,
    /// The routers that hold a shard together with this router, by address and incarnation.
    pub(crate) peers: HashMap<(SocketAddr, u64), PeerHealth>,
}

/// The claims of one region.
#[derive(Debug)]
struct RegionClaims {
    key_claims: KeyClaims,
    /// When the claims were last loaded from the beginning of the stream or a checkpoint.
    loaded_at_ms: u64,
}

/// The reachability of a peer that a claim names.
#[derive(Debug, Default)]
pub(crate) struct PeerHealth {
    /// When a connection to the peer's address was last open.
    pub(crate) last_alive_at_ms: u64,
    /// Whether another incarnation was found at the peer's address.
    pub(crate) replaced: bool,
    /// Whether a task is connecting to the peer.
    pub(crate) dialling: bool,
}

/// The state of one key shard at this router.
#[derive(Debug)]
pub(crate) struct Shard {
    pub(crate) replica: KeyReplica,
    /// A copy of which some parts have been received, with the number of the next part.
    pub(crate) partial_copy: Option<(KeyCopy, u32)>,
    /// Whether a task is claiming the shard for this router.
    pub(crate) claim_in_progress: bool,
    /// When a batch of keys was last taken for the log.
    pub(crate) last_logged_at_ms: u64,
}

/// Returns the number of a region's first shard.
pub(crate) fn first_shard_of(region: &Region) -> u32 {
    let hash = xxh3_64(region.as_str().as_bytes());
    u32::try_from(hash >> 32).unwrap_or_default() & !(KEY_SHARDS - 1)
}

/// Returns the name of the stream with the claims of a region.
pub fn key_stream(region: &Region) -> String {
    format!("keys-{:08x}", first_shard_of(region))
}

/// Returns the shard of a key of a workspace whose home region is `region`.
pub(crate) fn region_shard(region: &Region, key: &KeyHash) -> u32 {
    first_shard_of(region) | key_shard(key, KEY_SHARDS)
}

impl KeyShardRegistry {
    pub(crate) fn new(own_incarnation: Incarnation, tuning: &RouterTuning) -> Self {
        Self {
            own_incarnation,
            settings: KeySettings {
                keep_ms: tuning.key_keep_ms,
            },
            state: Mutex::default(),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, KeysState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the newest claim of a shard that this router has read.
    pub(crate) fn claim(&self, shard: u32) -> Option<Claim> {
        let state = self.state();
        state.claim(shard).cloned()
    }

    /// Calls `work` with a shard of this router's region, under the lock.
    pub(crate) fn with_shard<T>(&self, shard: u32, work: impl FnOnce(&mut Shard) -> T) -> T {
        let mut state = self.state();
        let own_peer = state.peer(self.own_incarnation);
        let shard_state = state.shards.entry(shard).or_insert_with(|| Shard {
            replica: KeyReplica::new(shard, own_peer, self.settings),
            partial_copy: None,
            claim_in_progress: false,
            last_logged_at_ms: now_ms(),
        });
        work(shard_state)
    }

    /// Returns the witness of a router without any other router in its region: this process itself,
    /// under its incarnation with the lowest bit flipped, as a claim needs two different holders.
    pub(crate) fn self_witness(&self) -> ProcessAddress {
        self.state().peer(Incarnation(self.own_incarnation.0 ^ 1))
    }

    /// Returns whether a holder is this process as its own witness.
    pub(crate) fn is_self_witness(&self, peer: &ProcessAddress) -> bool {
        peer.incarnation == self.own_incarnation.0 ^ 1
    }

    /// Sets the address at which other routers reach this one, as the host list has it.
    pub(crate) fn set_advertised_address(&self, address: SocketAddr) {
        let mut state = self.state();
        if state.advertised_address.replace(address) == Some(address) {
            return;
        }
        for shard in state.shards.values_mut() {
            shard.replica.own_peer.address = address.to_string();
        }
    }

    /// Returns whether this router is on the host list, so that it may hold shards.
    pub(crate) fn is_on_host_list(&self) -> bool {
        self.state().advertised_address.is_some()
    }

    /// Makes sidecars keep the tombstone of a request that never runs, as a key may be bound to it.
    ///
    /// The oldest request is removed when there are more than [`MAX_RETAINED_REQUESTS`].
    pub(crate) fn retain_tombstone(&self, request: RequestId) {
        let mut state = self.state();
        state.retained_requests.push_back((now_ms(), request));
        if state.retained_requests.len() > MAX_RETAINED_REQUESTS {
            state.retained_requests.pop_front();
        }
    }

    /// Returns the lowest sequence number whose tombstones sidecars have to keep.
    pub(crate) fn lowest_retained_sequence(&self, logged_below: u64) -> u64 {
        let state = self.state();
        // Retained requests are roughly in the order of their numbers. One that is lower than the
        // front only loses its tombstone early.
        let oldest = state
            .retained_requests
            .front()
            .map(|(_, request)| request.sequence);
        oldest.unwrap_or(u64::MAX).min(logged_below)
    }

    /// Removes the requests that were retained for [`TOMBSTONE_RETENTION_MS`].
    pub(crate) fn expire_retained_requests(&self) {
        let mut state = self.state();
        while let Some((at_ms, _)) = state.retained_requests.front() {
            if at_ms.saturating_add(TOMBSTONE_RETENTION_MS) > now_ms() {
                return;
            }
            state.retained_requests.pop_front();
        }
    }

    /// Returns when the claims of a region were last loaded, or `None` when they are not known.
    pub(crate) fn loaded_at_ms(&self, region: &Region) -> Option<u64> {
        let state = self.state();
        let claims = state.claims.get(&first_shard_of(region))?;
        Some(claims.loaded_at_ms)
    }

    /// Returns a checkpoint of the claims of a region if this router is the one to write it: the
    /// owner of the first claimed shard.
    pub(crate) fn checkpoint(&self, region: &Region) -> Option<KeysRecord> {
        let state = self.state();
        let first_shard = first_shard_of(region);
        let key_claims = &state.claims.get(&first_shard)?.key_claims;
        let first =
            (first_shard..first_shard + KEY_SHARDS).find_map(|shard| key_claims.claim(shard))?;
        let is_writer = first.owner_incarnation() == self.own_incarnation;
        is_writer.then(|| KeysChange::Checkpoint(key_claims.checkpoint()).into())
    }

    /// Returns the state of the shards for the state dump.
    pub(crate) fn dump(&self) -> Value {
        let state = self.state();
        let mut shards = serde_json::Map::new();
        for (number, shard) in &state.shards {
            let replica = &shard.replica;
            if !replica.is_owner() && !replica.is_witness() && !replica.is_frozen() {
                continue;
            }
            shards.insert(
                format!("{number:08x}"),
                json!({
                    "part": if replica.is_owner() { "owner" } else { "witness" },
                    "epoch": replica.epoch(),
                    "frozen": replica.is_frozen(),
                    "keys": replica.len(),
                    "peer": state.claim(*number).and_then(|claim| other_holder(claim, self.own_incarnation.0)).map(|peer| peer.address),
                }),
            );
        }
        let mut claimed = 0;
        for claims in state.claims.values() {
            claimed += claims.key_claims.checkpoint().claims.len();
        }
        json!({
            "shards": shards,
            "claimed_shards": claimed,
            "requests_held": state.retained_requests.len(),
        })
    }

    /// Updates the gauges of owned and witnessed shards and of the keys in them.
    pub(crate) fn update_metrics(&self) {
        let state = self.state();
        let (mut owned, mut witnessed, mut keys) = (0_u32, 0_u32, 0);
        for shard in state.shards.values() {
            owned += u32::from(shard.replica.is_owner());
            witnessed += u32::from(shard.replica.is_witness());
            keys += shard.replica.len();
        }
        metrics::gauge!("mallowpath_key_shards", "part" => "owner").set(f64::from(owned));
        metrics::gauge!("mallowpath_key_shards", "part" => "witness").set(f64::from(witnessed));
        metrics::gauge!("mallowpath_keys_held").set(keys as f64);
    }

    /// Replaces the claims of a region, and passes them to the replicas.
    fn load_claims(&self, first_shard: u32, key_claims: KeyClaims) {
        let claims = key_claims.checkpoint().claims;
        self.state().claims.insert(
            first_shard,
            RegionClaims {
                key_claims,
                loaded_at_ms: now_ms(),
            },
        );
        for claim in claims {
            self.update_replica(first_shard, &claim);
        }
    }

    /// Validates a record of a key stream, and applies it if it is valid.
    fn apply(&self, first_shard: u32, offset: Offset, record: &KeysRecord) -> ApplyOutcome {
        let outcome = {
            let mut state = self.state();
            let Some(claims) = state.claims.get_mut(&first_shard) else {
                return ApplyOutcome::NotYetApplicable;
            };
            // No process writes claims with fence evidence yet, so no replay of the members stream
            // is needed.
            claims.key_claims.apply(offset, record, &Members::default())
        };
        if let (ApplyOutcome::Valid, Some(KeysChange::Claim(claim))) = (outcome, &record.change) {
            log::info!(
                "key shard {:08x} claimed for epoch {} by owner {} with witness {}",
                claim.shard,
                claim.epoch,
                claim.owner_incarnation(),
                claim.witness_incarnation()
            );
            self.update_replica(first_shard, claim);
        }
        outcome
    }

    /// Passes a valid claim to the replica, if the claim is of a shard of the stream's region.
    fn update_replica(&self, first_shard: u32, claim: &Claim) {
        if claim.shard & !(KEY_SHARDS - 1) == first_shard {
            self.with_shard(claim.shard, |shard| {
                shard.replica.apply_claim(claim, now_ms());
            });
        }
    }
}

impl KeysState {
    /// Returns this process as a holder under the given incarnation.
    fn peer(&self, incarnation: Incarnation) -> ProcessAddress {
        let address = self.advertised_address.map(|address| address.to_string());
        ProcessAddress {
            incarnation: incarnation.0,
            address: address.unwrap_or_default(),
        }
    }

    pub(crate) fn claim(&self, shard: u32) -> Option<&Claim> {
        let claims = self.claims.get(&(shard & !(KEY_SHARDS - 1)))?;
        claims.key_claims.claim(shard)
    }
}

/// Returns the other holder of a shard when `own_incarnation` is one of its two holders, else
/// `None`.
pub(crate) fn other_holder(claim: &Claim, own_incarnation: u64) -> Option<ProcessAddress> {
    if claim.owner_incarnation().0 == own_incarnation {
        return claim.witness.clone();
    }
    if claim.witness_incarnation().0 == own_incarnation {
        return claim.owner.clone();
    }
    None
}

/// Returns the message of a call about keys.
pub(crate) fn key_call_body(operation: KeyOperation) -> crate::peer::wire::FrameBody {
    crate::peer::wire::FrameBody::KeyCall(KeyCall::from(operation))
}

/// Starts to follow the claims of a region until the process ends; further calls do nothing.
pub(crate) fn follow_region(router: &Arc<Router>, region: &Region) {
    let first_shard = first_shard_of(region);
    if !router.keys.state().followed_regions.insert(first_shard) {
        return;
    }
    let router = Arc::clone(router);
    let stream = key_stream(region);
    tokio::spawn(async move {
        let mut failures = 0;
        loop {
            let Err(error) = follow_claims(&router, first_shard, &stream, &mut failures).await;
            log::warn!("following {stream} failed, reloading it after a backoff: {error}");
            sleep_backoff(failures).await;
            failures += 1;
        }
    });
}

/// Reads and then follows the claims of a region.
///
/// # Errors
///
/// Fails when the claims can't be read, the next record is no longer kept or a record can't be
/// validated yet. Other failed reads are retried here.
async fn follow_claims(
    router: &Router,
    first_shard: u32,
    stream: &str,
    failures: &mut u32,
) -> Result<std::convert::Infallible> {
    let claims = read_claims(&router.log, stream).await?;
    let mut follower = Follower::new(router.log.clone(), stream, claims.next_offset());
    router.keys.load_claims(first_shard, claims);
    loop {
        let mut behind = None;
        let apply = |record: LogRecord| {
            let keys_record = KeysRecord::decode(record.data).unwrap_or_default();
            if router.keys.apply(first_shard, record.offset, &keys_record)
                == ApplyOutcome::NotYetApplicable
            {
                behind.get_or_insert(record.offset);
            }
        };
        if let Err(error) = follower.poll(apply).await {
            if error.category() == Category::Gone {
                return Err(error);
            }
            log::debug!("reading {stream} failed, retrying after a backoff: {error}");
            sleep_backoff(*failures).await;
            *failures += 1;
            continue;
        }
        *failures = 0;
        if let Some(offset) = behind {
            let text = format!(
                "the record at offset {offset} of {stream} depends on records that are not read yet"
            );
            let step = "follow key claims";
            return Err(Error::new(Category::Protocol, step, "log service", text));
        }
    }
}

/// Reads the claims of a stream up to its current end, from its first record or a checkpoint.
///
/// # Errors
///
/// Fails with [`Category::Gone`] when the first record is no longer kept and no checkpoint covers
/// the missing records, else as the log service does.
async fn read_claims(log: &LogClient, stream: &str) -> Result<KeyClaims> {
    let (first, _) = log.bounds(stream).await?;
    let mut claims = (first == Offset(0)).then(KeyClaims::default);
    let mut records = Vec::new();
    Follower::new(log.clone(), stream, first)
        .catch_up(|record| {
            let keys_record = KeysRecord::decode(record.data).unwrap_or_default();
            if let Some(KeysChange::Checkpoint(checkpoint)) = &keys_record.change
                && claims.is_none()
                && checkpoint.next_offset >= first.0
            {
                claims = Some(KeyClaims::from_checkpoint(checkpoint));
            }
            records.push((record.offset, keys_record));
        })
        .await?;
    let Some(mut claims) = claims else {
        let text = format!(
            "records below {first} of stream {stream} are gone and no checkpoint covers them"
        );
        let step = "read key claims";
        return Err(Error::new(Category::Gone, step, "log service", text));
    };
    for (offset, record) in &records {
        if *offset >= claims.next_offset()
            && claims.apply(*offset, record, &Members::default()) == ApplyOutcome::NotYetApplicable
        {
            break;
        }
    }
    Ok(claims)
}
