//! Replay of the `members` stream: the live sidecars and routers, and the fences.
//!
//! Whether a record is valid depends only on the prefix of the stream before it. A sidecar serves
//! only after it has replayed its own valid join, and with it every earlier fence. Therefore
//! exactly the sidecars that joined before a fence have to confirm it.

use crate::{ApplyOutcome, Incarnation, Offset};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::Xxh3;

/// A record in which a sidecar or router registers before it serves.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Join {
    /// The incarnation of the process.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The name of its host; at most one process per host is live.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The address on which it serves.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// The service of the backend server beside a sidecar.
    #[prost(string, tag = "5")]
    pub service: String,
    /// The latest incarnation on the same host that the process has read in the stream, 0 for none.
    /// A join with an outdated value is void, so that a delayed join of a dead process does not
    /// displace the live one.
    #[prost(fixed64, tag = "6")]
    pub previous: u64,
    /// Whether the process is a router.
    #[prost(bool, tag = "7")]
    pub router: bool,
}

/// An epoch of a key shard.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct KeyEpoch {
    /// The shard.
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    /// The epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// What a fence stops.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Oneof)]
pub enum FenceTarget {
    /// The runs of a router, by its incarnation; those in progress are cancelled.
    #[prost(fixed64, tag = "1")]
    Router(u64),
    /// The start of runs whose keys were committed in this epoch of the shard or an earlier one.
    #[prost(message, tag = "2")]
    Keys(KeyEpoch),
}

/// A record that requires every sidecar to refuse the work of the target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fence {
    /// What is fenced.
    #[prost(oneof = "FenceTarget", tags = "1, 2")]
    pub target: Option<FenceTarget>,
    /// The process that appends the fence.
    #[prost(fixed64, tag = "3")]
    pub author: u64,
}

/// A record stating that every sidecar that has to confirm a fence has done so.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FenceDone {
    /// What is fenced.
    #[prost(oneof = "FenceTarget", tags = "1, 2")]
    pub target: Option<FenceTarget>,
    /// [`confirmed_hash`] of the sidecars that confirmed.
    #[prost(fixed64, tag = "3")]
    pub confirmed_hash: u64,
}

/// A record stating that a sidecar runs nothing, or a router spends nothing, and never will again.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Leave {
    /// The process, which appends the record itself.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
}

/// The entry of a live process in a checkpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CheckpointedJoin {
    /// The offset of the join.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// The join record.
    #[prost(message, optional, tag = "2")]
    pub join: Option<Join>,
}

/// The entry of a fence in a checkpoint.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct CheckpointedFence {
    /// What is fenced.
    #[prost(oneof = "FenceTarget", tags = "1, 2")]
    pub target: Option<FenceTarget>,
    /// The offset of the fence.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// The offset of the [`FenceDone`] record, if there is one.
    #[prost(uint64, optional, tag = "4")]
    pub done_offset: Option<u64>,
}

/// The state after a prefix of the stream, which replaces the replay of that prefix.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MembersCheckpoint {
    /// The first offset that the state does not cover, where replay continues.
    #[prost(uint64, tag = "1")]
    pub next_offset: u64,
    /// The live processes.
    #[prost(message, repeated, tag = "2")]
    pub joined: Vec<CheckpointedJoin>,
    /// The latest incarnation that joined on each host, live or gone.
    #[prost(btree_map = "string, fixed64", tag = "3")]
    pub latest: BTreeMap<String, u64>,
    /// All fences.
    #[prost(message, repeated, tag = "4")]
    pub fences: Vec<CheckpointedFence>,
    /// Routers that are gone and not forgotten.
    #[prost(message, repeated, tag = "5")]
    pub gone_routers: Vec<GoneRouter>,
    /// Routers that left or were replaced below this offset may be missing from `gone_routers`.
    #[prost(uint64, tag = "6")]
    pub forgotten_below: u64,
    /// The offset at which a sidecar most recently left or was replaced.
    #[prost(uint64, optional, tag = "7")]
    pub last_sidecar_gone_at: Option<u64>,
}

/// A router that left, or was replaced by a later join on its host.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct GoneRouter {
    /// Its incarnation.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The offset of its join.
    #[prost(uint64, tag = "2")]
    pub joined: u64,
    /// The offset at which it left or was replaced.
    #[prost(uint64, tag = "3")]
    pub left: u64,
}

/// A record of the `members` stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MembersRecord {
    /// The change; records without one have no effect.
    #[prost(oneof = "MembersChange", tags = "1, 2, 3, 4, 5")]
    pub change: Option<MembersChange>,
}

/// The change in a record of the `members` stream.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum MembersChange {
    /// A sidecar or router starts.
    #[prost(message, tag = "1")]
    Join(Join),
    /// A target is fenced.
    #[prost(message, tag = "2")]
    Fence(Fence),
    /// All sidecars that have to confirm a fence have done so.
    #[prost(message, tag = "3")]
    FenceDone(FenceDone),
    /// A sidecar or router ends.
    #[prost(message, tag = "4")]
    Leave(Leave),
    /// The state after a prefix of the stream.
    #[prost(message, tag = "5")]
    Checkpoint(MembersCheckpoint),
}

/// The replayed state of the `members` stream.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Members {
    next: Offset,
    live: BTreeMap<Incarnation, (Offset, Join)>,
    latest: BTreeMap<String, Incarnation>,
    fences: BTreeMap<FenceTarget, FenceState>,
    /// Routers that are gone, by the offset at which they left or were replaced.
    gone_routers: BTreeMap<Offset, GoneRouter>,
    forgotten_below: Offset,
    last_sidecar_gone_at: Option<Offset>,
}

/// The maximum number of remembered routers that are gone.
const MAX_GONE_ROUTERS: usize = 4096;

#[derive(Debug, Clone, Copy, PartialEq)]
struct FenceState {
    offset: Offset,
    done: Option<Offset>,
}

impl Members {
    /// Restores the state from a checkpoint; replay continues at its `next_offset`.
    pub fn from_checkpoint(checkpoint: &MembersCheckpoint) -> Self {
        let mut members = Self {
            next: Offset(checkpoint.next_offset),
            ..Self::default()
        };
        members.forgotten_below = Offset(checkpoint.forgotten_below);
        members.last_sidecar_gone_at = checkpoint.last_sidecar_gone_at.map(Offset);
        for gone in &checkpoint.gone_routers {
            members.gone_routers.insert(Offset(gone.left), *gone);
        }
        for joined in &checkpoint.joined {
            let Some(join) = &joined.join else { continue };
            let entry = (Offset(joined.offset), join.clone());
            members.live.insert(Incarnation(join.incarnation), entry);
        }
        for (name, incarnation) in &checkpoint.latest {
            members
                .latest
                .insert(name.clone(), Incarnation(*incarnation));
        }
        for fence in &checkpoint.fences {
            let Some(target) = fence.target else { continue };
            let done = fence.done_offset.map(Offset);
            let state = FenceState {
                offset: Offset(fence.offset),
                done,
            };
            members.fences.insert(target, state);
        }
        members
    }

    /// Returns the checkpoint of the prefix applied so far.
    pub fn checkpoint(&self) -> MembersCheckpoint {
        let mut checkpoint = MembersCheckpoint {
            next_offset: self.next.0,
            gone_routers: self.gone_routers.values().copied().collect(),
            forgotten_below: self.forgotten_below.0,
            last_sidecar_gone_at: self.last_sidecar_gone_at.map(|offset| offset.0),
            ..MembersCheckpoint::default()
        };
        for (offset, join) in self.live.values() {
            checkpoint.joined.push(CheckpointedJoin {
                offset: offset.0,
                join: Some(join.clone()),
            });
        }
        for (name, incarnation) in &self.latest {
            checkpoint.latest.insert(name.clone(), incarnation.0);
        }
        for (target, state) in &self.fences {
            checkpoint.fences.push(CheckpointedFence {
                target: Some(*target),
                offset: state.offset.0,
                done_offset: state.done.map(|offset| offset.0),
            });
        }
        checkpoint
    }

    /// Applies the record at an offset if it is valid, and returns the outcome.
    ///
    /// A record at an offset that was applied before is void. A record beyond the next offset gives
    /// [`ApplyOutcome::NotYetApplicable`] and is not applied.
    pub fn apply(&mut self, offset: Offset, record: &MembersRecord) -> ApplyOutcome {
        if offset < self.next {
            return ApplyOutcome::Void;
        }
        if offset > self.next {
            return ApplyOutcome::NotYetApplicable;
        }
        self.next = Offset(offset.0 + 1);
        let valid = match &record.change {
            Some(MembersChange::Join(join)) => self.apply_join(offset, join),
            Some(MembersChange::Fence(fence)) => self.apply_fence(offset, fence),
            Some(MembersChange::FenceDone(done)) => self.apply_fence_done(offset, done),
            Some(MembersChange::Leave(leave)) => {
                self.remove(offset, Incarnation(leave.incarnation))
            }
            Some(MembersChange::Checkpoint(_)) | None => false,
        };
        if valid {
            ApplyOutcome::Valid
        } else {
            ApplyOutcome::Void
        }
    }

    /// Returns the next offset to apply.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the live sidecars.
    pub fn sidecars(&self) -> impl Iterator<Item = &Join> {
        let joins = self.live.values().map(|(_, join)| join);
        joins.filter(|join| !join.router)
    }

    /// Returns the live routers.
    pub fn routers(&self) -> impl Iterator<Item = &Join> {
        let joins = self.live.values().map(|(_, join)| join);
        joins.filter(|join| join.router)
    }

    /// Returns the remembered routers that are gone.
    pub fn gone_routers(&self) -> impl Iterator<Item = Incarnation> + '_ {
        let gone = self.gone_routers.values();
        gone.map(|gone| Incarnation(gone.incarnation))
    }

    /// Returns the routers that may hold slices of a grant, or `None` if some of them are
    /// forgotten.
    ///
    /// `members_seen` is the offset below which the keeper had read the stream when it drew the
    /// grant; `fence` is the offset of the keeper's fence. A keeper gives slices only to routers
    /// that are live in the prefix that it has read.
    pub fn possible_slice_holders(
        &self,
        members_seen: Offset,
        fence: Offset,
    ) -> Option<BTreeSet<Incarnation>> {
        if members_seen < self.forgotten_below {
            return None;
        }
        let mut holders = BTreeSet::new();
        for (incarnation, (joined, join)) in &self.live {
            if join.router && *joined < fence {
                holders.insert(*incarnation);
            }
        }
        for gone in self
            .gone_routers
            .range(members_seen..)
            .map(|(_, gone)| gone)
        {
            if gone.joined < fence.0 {
                holders.insert(Incarnation(gone.incarnation));
            }
        }
        Some(holders)
    }

    /// Returns the offset at which a sidecar most recently left or was replaced.
    ///
    /// That sidecar can no longer report what it billed.
    pub fn last_sidecar_gone_at(&self) -> Option<Offset> {
        self.last_sidecar_gone_at
    }

    /// Returns whether an incarnation has joined and is not gone.
    pub fn is_live(&self, incarnation: Incarnation) -> bool {
        self.live.contains_key(&incarnation)
    }

    /// Returns the latest incarnation that joined on a host, live or gone, or zero if there is
    /// none.
    pub fn latest_on(&self, host: &str) -> Incarnation {
        self.latest.get(host).copied().unwrap_or_default()
    }

    /// Returns the fenced targets.
    pub fn fenced(&self) -> impl Iterator<Item = FenceTarget> + '_ {
        self.fences.keys().copied()
    }

    /// Returns the offset of the fence of a target.
    pub fn fence_offset(&self, target: FenceTarget) -> Option<Offset> {
        self.fences.get(&target).map(|state| state.offset)
    }

    /// Returns the offset of the valid [`FenceDone`] record of a target.
    pub fn fence_done_offset(&self, target: FenceTarget) -> Option<Offset> {
        self.fences.get(&target)?.done
    }

    /// Returns the sidecars that joined before the fence at an offset and are not gone; the fence
    /// is in force once each of them has confirmed it.
    ///
    /// A sidecar is gone after its own leave, or after a later join on its host, because at most
    /// one process per host is live.
    pub fn must_confirm(&self, fence: Offset) -> BTreeSet<Incarnation> {
        let mut sidecars = BTreeSet::new();
        for (incarnation, (joined, join)) in &self.live {
            if !join.router && *joined < fence {
                sidecars.insert(*incarnation);
            }
        }
        sidecars
    }

    fn apply_join(&mut self, offset: Offset, join: &Join) -> bool {
        let incarnation = Incarnation(join.incarnation);
        let latest = self.latest_on(&join.name);
        if incarnation == Incarnation::default() || incarnation == latest {
            return false;
        }
        if latest.0 != join.previous {
            return false;
        }
        self.remove(offset, latest);
        self.latest.insert(join.name.clone(), incarnation);
        self.live.insert(incarnation, (offset, join.clone()));
        true
    }

    fn remove(&mut self, offset: Offset, incarnation: Incarnation) -> bool {
        let Some((joined, join)) = self.live.remove(&incarnation) else {
            return false;
        };
        if !join.router {
            self.last_sidecar_gone_at = Some(offset);
            return true;
        }
        let gone = GoneRouter {
            incarnation: incarnation.0,
            joined: joined.0,
            left: offset.0,
        };
        self.gone_routers.insert(offset, gone);
        if self.gone_routers.len() > MAX_GONE_ROUTERS
            && let Some((forgotten, _)) = self.gone_routers.pop_first()
        {
            self.forgotten_below = Offset(forgotten.0 + 1);
        }
        true
    }

    fn apply_fence(&mut self, offset: Offset, fence: &Fence) -> bool {
        let Some(target) = fence.target else {
            return false;
        };
        if self.fences.contains_key(&target) {
            return false;
        }
        self.fences
            .insert(target, FenceState { offset, done: None });
        true
    }

    fn apply_fence_done(&mut self, offset: Offset, done: &FenceDone) -> bool {
        let Some(target) = done.target else {
            return false;
        };
        let Some(state) = self.fences.get(&target).copied() else {
            return false;
        };
        let expected = confirmed_hash(&self.must_confirm(state.offset));
        if state.done.is_some() || expected != done.confirmed_hash {
            return false;
        }
        self.fences.insert(
            target,
            FenceState {
                done: Some(offset),
                ..state
            },
        );
        true
    }
}

/// Returns the hash of a set of sidecars for [`FenceDone`].
pub fn confirmed_hash(sidecars: &BTreeSet<Incarnation>) -> u64 {
    let mut hasher = Xxh3::new();
    for sidecar in sidecars {
        hasher.update(&sidecar.0.to_be_bytes());
    }
    hasher.digest()
}

impl From<MembersChange> for MembersRecord {
    fn from(change: MembersChange) -> Self {
        Self {
            change: Some(change),
        }
    }
}
