//! Hashes of idempotency keys, the records of the key streams and the replay of claims.
//!
//! A claim assigns a key shard to an owner and a witness for one epoch. The claims of a region are
//! in its `keys-NN` stream, the logged keys of a shard in its `keylog-NN` stream.

use crate::{
    ApplyOutcome, FenceTarget, Incarnation, KeyEpoch, Members, Offset, ParseIdError, RequestId,
    WorkspaceId,
};
use std::{
    collections::BTreeMap,
    fmt::{self, Display},
    str::FromStr,
    sync::Arc,
};
use xxhash_rust::xxh3::Xxh3;

/// The hash of a workspace and the text of its `Idempotency-Key`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub [u8; 16]);

/// A process named in a record, by incarnation and address.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ProcessAddress {
    /// The incarnation of the process.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The address at which other processes reach it.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Proof that no sidecar starts a run any more whose key was committed in the current epoch or
/// an earlier one.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ClaimEvidence {
    /// The offset in the `members` stream at which the fence of the current epoch was confirmed.
    #[prost(uint64, tag = "1")]
    pub done_offset: u64,
}

/// A record that assigns a key shard to an owner and a witness for one epoch.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Claim {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The epoch of the claim, one more than that of the previous claim; 1 for the first claim.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The process that commits keys.
    #[prost(message, optional, tag = "3")]
    pub owner: Option<ProcessAddress>,
    /// The process that holds the second replica.
    #[prost(message, optional, tag = "4")]
    pub witness: Option<ProcessAddress>,
    /// The process that wrote the record.
    #[prost(fixed64, tag = "5")]
    pub author: u64,
    /// Required when the author was neither owner nor witness of the previous epoch.
    #[prost(message, optional, tag = "6")]
    pub evidence: Option<ClaimEvidence>,
}

/// The binding of a key to a request, as written in log records and messages.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyRecord {
    /// The 16 bytes of the key's hash.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The incarnation of the router that issued the request to which the key is bound.
    #[prost(fixed64, tag = "2")]
    pub request_incarnation: u64,
    /// The sequence number of the request.
    #[prost(uint64, tag = "3")]
    pub request_sequence: u64,
    /// The hash of the request's service, method, path and body.
    #[prost(fixed64, tag = "4")]
    pub body_hash: u64,
    /// The only sidecar that may run the request.
    #[prost(message, optional, tag = "5")]
    pub sidecar: Option<ProcessAddress>,
    /// Whether the run has ended.
    #[prost(bool, tag = "6")]
    pub finished: bool,
    /// The revision of the binding; each change to the shard takes the next number.
    #[prost(uint64, tag = "7")]
    pub revision: u64,
}

/// A batch of committed keys, logged for recovery after both owner and witness are lost.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyLog {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The epoch of the owner that wrote the batch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The owner that wrote the batch.
    #[prost(fixed64, tag = "3")]
    pub author: u64,
    /// The keys that were committed or whose runs ended since the previous batch.
    #[prost(message, repeated, tag = "4")]
    pub keys: Vec<KeyRecord>,
}

/// A checkpoint of the claims, which replaces the records below `next_offset` on replay.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimsCheckpoint {
    /// The first offset that the checkpoint does not cover.
    #[prost(uint64, tag = "1")]
    pub next_offset: u64,
    /// The current claim of each shard.
    #[prost(message, repeated, tag = "2")]
    pub claims: Vec<Claim>,
}

/// A record of a `keys-NN` stream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeysRecord {
    /// The change that the record makes; absent in a malformed record.
    #[prost(oneof = "KeysChange", tags = "1, 2, 3")]
    pub change: Option<KeysChange>,
}

/// The kinds of change in a key stream.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum KeysChange {
    /// Assigns a shard to an owner and a witness.
    #[prost(message, tag = "1")]
    Claim(Claim),
    /// Logs a batch of committed keys.
    #[prost(message, tag = "2")]
    Log(KeyLog),
    /// Summarizes the claims of all earlier records.
    #[prost(message, tag = "3")]
    Checkpoint(ClaimsCheckpoint),
}

/// The request to which a key is bound.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyEntry {
    /// The identifier of the only request with this key that may run.
    pub request_id: RequestId,
    /// The hash of the request's service, method, path and body.
    pub body_hash: u64,
    /// The only sidecar incarnation that may run it.
    pub sidecar: Incarnation,
    /// The address of that sidecar.
    pub sidecar_address: Arc<str>,
}

/// The current claims of a key stream, obtained by replay of its records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeyClaims {
    next_offset: Offset,
    claims: BTreeMap<u32, Claim>,
}

impl KeyHash {
    /// Returns the hash of a workspace and the text of a key.
    ///
    /// The length of the workspace name is hashed too, so that no two pairs of workspace and key
    /// give the same input.
    pub fn new(workspace: &WorkspaceId, key: &str) -> Self {
        let workspace = workspace.as_str();
        let mut hasher = Xxh3::new();
        hasher.update(&(workspace.len() as u64).to_be_bytes());
        hasher.update(workspace.as_bytes());
        hasher.update(key.as_bytes());
        Self(hasher.digest128().to_be_bytes())
    }
}

/// Returns the shard of a key, below `shards`; 0 shards count as 1.
pub fn key_shard(key: &KeyHash, shards: u32) -> u32 {
    let value = u128::from_be_bytes(key.0) % u128::from(shards.max(1));
    u32::try_from(value).unwrap_or_default()
}

impl Claim {
    /// Returns the incarnation of the owner, or the default incarnation when it is missing.
    pub fn owner_incarnation(&self) -> Incarnation {
        incarnation_of(self.owner.as_ref())
    }

    /// Returns the incarnation of the witness, or the default incarnation when it is missing.
    pub fn witness_incarnation(&self) -> Incarnation {
        incarnation_of(self.witness.as_ref())
    }
}

impl KeyRecord {
    /// Returns the record of a binding.
    pub fn new(key: KeyHash, entry: &KeyEntry, finished: bool, revision: u64) -> Self {
        let sidecar = ProcessAddress {
            incarnation: entry.sidecar.0,
            address: entry.sidecar_address.as_ref().to_owned(),
        };
        Self {
            key: key.0.to_vec(),
            request_incarnation: entry.request_id.incarnation.0,
            request_sequence: entry.request_id.sequence,
            body_hash: entry.body_hash,
            sidecar: Some(sidecar),
            finished,
            revision,
        }
    }

    /// Returns the binding of the record, or `None` when the sidecar is missing or the key is not
    /// 16 bytes long.
    pub fn binding(&self) -> Option<(KeyHash, KeyEntry)> {
        let key = KeyHash(self.key.as_slice().try_into().ok()?);
        let sidecar = self.sidecar.as_ref()?;
        let request_id = RequestId {
            incarnation: Incarnation(self.request_incarnation),
            sequence: self.request_sequence,
        };
        let entry = KeyEntry {
            request_id,
            body_hash: self.body_hash,
            sidecar: Incarnation(sidecar.incarnation),
            sidecar_address: Arc::from(sidecar.address.as_str()),
        };
        Some((key, entry))
    }
}

impl KeyClaims {
    /// Returns the claims of a checkpoint; the next record to apply is at its `next_offset`.
    pub fn from_checkpoint(checkpoint: &ClaimsCheckpoint) -> Self {
        let mut key_claims = Self {
            next_offset: Offset(checkpoint.next_offset),
            claims: BTreeMap::default(),
        };
        for claim in &checkpoint.claims {
            key_claims.claims.insert(claim.shard, claim.clone());
        }
        key_claims
    }

    /// Returns a checkpoint of the records applied so far.
    pub fn checkpoint(&self) -> ClaimsCheckpoint {
        let claims = self.claims.values().cloned().collect();
        ClaimsCheckpoint {
            next_offset: self.next_offset.0,
            claims,
        }
    }

    /// Validates the record at an offset, and applies it if it is valid.
    ///
    /// A claim names an owner and a different witness, and its author is the owner. The first claim
    /// of a shard is valid when its epoch is 1. A later claim is valid when its epoch is one more
    /// than the current one, and either its owner is the current owner or witness, or its evidence
    /// names the offset at which the fence of the current epoch was confirmed. A log batch is valid
    /// when the current owner wrote it in the current epoch.
    ///
    /// Returns [`ApplyOutcome::Void`] for an invalid record, which is skipped, and for a record
    /// below the next offset.
    ///
    /// Returns [`ApplyOutcome::NotYetApplicable`] without applying the record when earlier records
    /// of the stream are missing or `members` is not replayed up to the offset of the evidence. A
    /// longer replay of `members` gives the same outcome.
    pub fn apply(
        &mut self,
        offset: Offset,
        record: &KeysRecord,
        members: &Members,
    ) -> ApplyOutcome {
        if offset < self.next_offset {
            return ApplyOutcome::Void;
        }
        if offset > self.next_offset {
            return ApplyOutcome::NotYetApplicable;
        }
        let outcome = match &record.change {
            Some(KeysChange::Claim(claim)) => self.validate_claim(claim, members),
            Some(KeysChange::Log(batch)) => self.validate_log_batch(batch),
            Some(KeysChange::Checkpoint(_)) | None => ApplyOutcome::Void,
        };
        if outcome == ApplyOutcome::NotYetApplicable {
            return outcome;
        }
        self.next_offset = Offset(offset.0 + 1);
        if let (ApplyOutcome::Valid, Some(KeysChange::Claim(claim))) = (outcome, &record.change) {
            self.claims.insert(claim.shard, claim.clone());
        }
        outcome
    }

    /// Returns the current claim of a shard, or `None` when the shard was never claimed.
    pub fn claim(&self, shard: u32) -> Option<&Claim> {
        self.claims.get(&shard)
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    fn validate_claim(&self, claim: &Claim, members: &Members) -> ApplyOutcome {
        let owner = claim.owner_incarnation();
        let witness = claim.witness_incarnation();
        let unset = Incarnation::default();
        if owner == unset || witness == unset || owner == witness || claim.author != owner.0 {
            return ApplyOutcome::Void;
        }
        let Some(current) = self.claims.get(&claim.shard) else {
            return if claim.epoch == 1 {
                ApplyOutcome::Valid
            } else {
                ApplyOutcome::Void
            };
        };
        if claim.epoch != current.epoch + 1 {
            return ApplyOutcome::Void;
        }
        if owner == current.owner_incarnation() || owner == current.witness_incarnation() {
            return ApplyOutcome::Valid;
        }
        match claim.evidence {
            Some(evidence) => validate_evidence(evidence, current, members),
            None => ApplyOutcome::Void,
        }
    }

    fn validate_log_batch(&self, batch: &KeyLog) -> ApplyOutcome {
        let Some(current) = self.claims.get(&batch.shard) else {
            return ApplyOutcome::Void;
        };
        let by_owner = batch.author == current.owner_incarnation().0;
        if batch.epoch == current.epoch && by_owner {
            ApplyOutcome::Valid
        } else {
            ApplyOutcome::Void
        }
    }
}

/// Merges the log batches of a shard, oldest first, into the newest binding of each key.
///
/// The newest binding is the one with the highest epoch and, within it, the highest revision.
pub fn recover_keys(batches: &[KeyLog]) -> Vec<KeyRecord> {
    let mut newest: BTreeMap<&[u8], (u64, &KeyRecord)> = BTreeMap::new();
    for batch in batches {
        for record in &batch.keys {
            let newest_record = newest.entry(&record.key).or_insert((batch.epoch, record));
            if (newest_record.0, newest_record.1.revision) <= (batch.epoch, record.revision) {
                *newest_record = (batch.epoch, record);
            }
        }
    }
    newest
        .into_values()
        .map(|(_, record)| record.clone())
        .collect()
}

fn validate_evidence(evidence: ClaimEvidence, current: &Claim, members: &Members) -> ApplyOutcome {
    let done = Offset(evidence.done_offset);
    if done >= members.next_offset() {
        return ApplyOutcome::NotYetApplicable;
    }
    let fenced = FenceTarget::Keys(KeyEpoch {
        shard: current.shard,
        epoch: current.epoch,
    });
    let confirmed = members.fence_done_offset(fenced) == Some(done);
    if confirmed {
        ApplyOutcome::Valid
    } else {
        ApplyOutcome::Void
    }
}

fn incarnation_of(peer: Option<&ProcessAddress>) -> Incarnation {
    match peer {
        Some(peer) => Incarnation(peer.incarnation),
        None => Incarnation::default(),
    }
}

impl Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl FromStr for KeyHash {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match u128::from_str_radix(text, 16) {
            Ok(value) if text.len() == 32 => Ok(Self(value.to_be_bytes())),
            _ => Err(ParseIdError::new("thirty-two hexadecimal digits")),
        }
    }
}

impl From<KeysChange> for KeysRecord {
    fn from(change: KeysChange) -> Self {
        Self {
            change: Some(change),
        }
    }
}
