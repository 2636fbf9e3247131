//! The run table of a sidecar, which decides whether a request starts and keeps its answer.
//!
//! A run is independent of the connection on which it was submitted, so a router can attach to it
//! again after a disconnect. Attaching to a request that was not submitted yet writes a tombstone,
//! and a tombstoned request never starts. [`AttachAnswer::NeverRuns`] is returned only with that
//! proof; where the proof is no longer kept, the answer is [`AttachAnswer::Evicted`].

use crate::{
    FenceTarget, Incarnation, KeyEpoch, KeyHash, RequestId, backend_host::run_history::RunHistory,
};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const DEFAULT_KEEP_MS: u64 = 10 * 60 * 1000;
const DEFAULT_KEEP_BYTES: usize = 16 << 20;
const DEFAULT_ORPHAN_MS: u64 = 30 * 1000;
const DEFAULT_MAX_RUNNING: usize = 64;
const DEFAULT_RETRY_AFTER_MS: u64 = 500;

/// Settings of a run table.
#[derive(Debug, Clone, Copy)]
pub struct RunSettings {
    /// Time for which the answer of an ended run is kept, in milliseconds.
    pub keep_ms: u64,
    /// Limit on the total size of the kept answers of ended runs, in bytes.
    pub keep_bytes: usize,
    /// Time after which a run without an attached router is cancelled, in milliseconds.
    pub orphan_ms: u64,
    /// Limit on the runs in progress.
    pub max_running: usize,
    /// Retry delay that a full table suggests to routers, in milliseconds.
    pub retry_after_ms: u64,
}

/// The idempotency key under which a request was committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunKey {
    /// The hash of the key.
    pub hash: KeyHash,
    /// The hash of the request's method, path and body.
    pub body_hash: u64,
    /// The epoch in which the owner of the key shard confirmed the binding to the router.
    pub committed_in: KeyEpoch,
}

/// A router's request to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Submit {
    /// The identifier of the request.
    pub id: RequestId,
    /// The sidecar incarnation that is addressed; a restarted sidecar has lost its tombstones.
    pub sidecar: Incarnation,
    /// The lowest sequence number that the router may still submit to this sidecar.
    pub lowest_open: u64,
    /// The idempotency key, for a request that may run at most once.
    pub key: Option<RunKey>,
    /// Whether a refusal also writes a tombstone, so that the request never runs here.
    pub tombstone_on_refusal: bool,
    /// Whether the sidecar has memory for the request's body.
    pub has_memory: bool,
}

/// The answer to a [`Submit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// The run starts now, with the submitting router attached.
    Start,
    /// The run is already in the table, in progress or ended.
    AlreadyRunning,
    /// The request has a tombstone and never runs here.
    Tombstoned,
    /// The request may have run here; its answer is no longer kept.
    Evicted,
    /// The router is fenced.
    Fenced(Incarnation),
    /// The epoch in which the key was committed is fenced; the router has to ask the new owner.
    EpochFenced,
    /// The backend server is leaving and takes no new work.
    Leaving,
    /// The limit on runs in progress is reached, or there is no memory for the request's body.
    Full {
        /// Time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request was addressed to another incarnation of the sidecar.
    OtherIncarnation,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The backend server sent its whole answer.
    Complete,
    /// The answer is incomplete: the run was cancelled or the backend server failed.
    Incomplete,
}

/// The answer to a router that attaches to a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttachAnswer {
    /// The chunks from the requested one on, and the end once the run has ended.
    Chunks {
        /// The chunks received so far.
        chunks: Vec<Bytes>,
        /// How the run ended, or `None` while it is in progress.
        end: Option<RunEnd>,
    },
    /// The request has not run here and never will.
    NeverRuns,
    /// The request may have run here; its answer is no longer kept.
    Evicted,
}

/// The run table of one sidecar.
#[derive(Debug)]
pub struct RunTable {
    incarnation: Incarnation,
    settings: RunSettings,
    leaving: bool,
    runs: BTreeMap<RequestId, Run>,
    running: usize,
    /// The ended runs, oldest first, each with the time of its end in milliseconds.
    ended_runs: VecDeque<(u64, RequestId)>,
    kept_bytes: usize,
    history: RunHistory,
    fenced_routers: BTreeSet<Incarnation>,
    /// The highest fenced epoch of each key shard.
    fenced_epochs: BTreeMap<u32, u64>,
}

#[derive(Debug)]
struct Run {
    key: Option<RunKey>,
    chunks: Vec<Bytes>,
    size_bytes: usize,
    end: Option<RunEnd>,
    attached_routers: usize,
    detached_at_ms: u64,
    cancelling: bool,
}

impl RunTable {
    /// Creates an empty table; `fenced` holds the fences that precede the sidecar's own join.
    pub fn new(
        incarnation: Incarnation,
        settings: RunSettings,
        fenced: impl IntoIterator<Item = FenceTarget>,
    ) -> Self {
        let mut table = Self {
            incarnation,
            settings,
            leaving: false,
            runs: BTreeMap::default(),
            running: 0,
            ended_runs: VecDeque::default(),
            kept_bytes: 0,
            history: RunHistory::default(),
            fenced_routers: BTreeSet::default(),
            fenced_epochs: BTreeMap::default(),
        };
        for target in fenced {
            table.fence(target);
        }
        table
    }

    /// Decides whether a request starts, and adds its run to the table if it does.
    pub fn submit(&mut self, submit: &Submit) -> SubmitAnswer {
        let id = submit.id;
        if submit.sidecar != self.incarnation {
            return SubmitAnswer::OtherIncarnation;
        }
        self.history.raise_floor(id.incarnation, submit.lowest_open);
        if self.runs.contains_key(&id) {
            return SubmitAnswer::AlreadyRunning;
        }
        if self.history.is_tombstoned(id) {
            return SubmitAnswer::Tombstoned;
        }
        if self.history.may_have_run(id) {
            return SubmitAnswer::Evicted;
        }
        if let Some(refusal) = self.refusal(submit) {
            if submit.tombstone_on_refusal {
                self.history.add_tombstone(id);
            }
            return refusal;
        }
        self.runs.insert(id, Run::new(submit.key));
        self.running += 1;
        SubmitAnswer::Start
    }

    /// Attaches a router to a run and returns its chunks from `from_chunk` on.
    ///
    /// A request that was never submitted here gets a tombstone.
    pub fn attach(&mut self, id: RequestId, from_chunk: usize) -> AttachAnswer {
        if let Some(run) = self.runs.get_mut(&id) {
            run.attached_routers += 1;
            let chunks = run.chunks.get(from_chunk..).unwrap_or_default().to_vec();
            return AttachAnswer::Chunks {
                chunks,
                end: run.end,
            };
        }
        if self.history.may_have_run(id) {
            return AttachAnswer::Evicted;
        }
        self.history.add_tombstone(id);
        AttachAnswer::NeverRuns
    }

    /// Records that a router is no longer attached.
    pub fn detach(&mut self, id: RequestId, now_ms: u64) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.attached_routers = run.attached_routers.saturating_sub(1);
        run.detached_at_ms = now_ms;
    }

    /// Appends a chunk to an answer and returns its index.
    ///
    /// Returns `None` when the run is not in the table or has ended.
    pub fn push_chunk(&mut self, id: RequestId, chunk: Bytes) -> Option<usize> {
        let run = self.runs.get_mut(&id)?;
        if run.end.is_some() {
            return None;
        }
        run.size_bytes += chunk.len();
        run.chunks.push(chunk);
        Some(run.chunks.len() - 1)
    }

    /// Records the end of a run, after which the backend server does no more work for it.
    pub fn end(&mut self, id: RequestId, end: RunEnd, now_ms: u64) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.end.is_some() {
            return;
        }
        run.end = Some(end);
        self.running -= 1;
        self.kept_bytes += run.size_bytes;
        self.ended_runs.push_back((now_ms, id));
        self.evict_ended(now_ms);
    }

    /// Evicts the answers of runs that ended `keep_ms` ago, and the oldest ones above `keep_bytes`.
    pub fn evict_ended(&mut self, now_ms: u64) {
        while let Some((ended_ms, id)) = self.ended_runs.front().copied() {
            let expired = ended_ms.saturating_add(self.settings.keep_ms) <= now_ms;
            if !expired && self.kept_bytes <= self.settings.keep_bytes {
                break;
            }
            self.ended_runs.pop_front();
            let Some(run) = self.runs.remove(&id) else {
                continue;
            };
            self.kept_bytes -= run.size_bytes;
            self.history.add_ran(id);
        }
    }

    /// Returns the runs to cancel because no router has been attached for `orphan_ms`.
    ///
    /// Each run is returned once.
    pub fn take_orphans(&mut self, now_ms: u64) -> Vec<RequestId> {
        let orphan_ms = self.settings.orphan_ms;
        let mut orphans = Vec::new();
        for (id, run) in &mut self.runs {
            let is_orphan =
                run.attached_routers == 0 && run.detached_at_ms.saturating_add(orphan_ms) <= now_ms;
            if !is_orphan || run.cancelling || run.end.is_some() {
                continue;
            }
            run.cancelling = true;
            orphans.push(*id);
        }
        orphans
    }

    /// Fences a router or a key epoch: its later submits are refused. Returns the runs to cancel.
    ///
    /// Fencing a key epoch cancels nothing: the runs that have started are in [`keyed_runs`], which
    /// the sidecar reports with its confirmation.
    ///
    /// [`keyed_runs`]: Self::keyed_runs
    pub fn fence(&mut self, target: FenceTarget) -> Vec<RequestId> {
        let mut cancelled = Vec::new();
        let router = match target {
            FenceTarget::Router(router) => Incarnation(router),
            FenceTarget::Keys(KeyEpoch { shard, epoch }) => {
                let fenced_epoch = self.fenced_epochs.entry(shard).or_default();
                *fenced_epoch = epoch.max(*fenced_epoch);
                return cancelled;
            }
        };
        self.fenced_routers.insert(router);
        for (id, run) in &mut self.runs {
            if id.incarnation != router || run.end.is_some() {
                continue;
            }
            run.cancelling = true;
            cancelled.push(*id);
        }
        cancelled
    }

    /// Returns whether the fence of a target is complete here, so that it may be confirmed.
    ///
    /// The fence of a router is complete once it is applied and no run of the router is in
    /// progress. The fence of a key epoch is complete once it is applied, as no run of that epoch
    /// starts afterwards.
    pub fn fence_done(&self, target: FenceTarget) -> bool {
        let router = match target {
            FenceTarget::Router(router) => Incarnation(router),
            FenceTarget::Keys(key_epoch) => return self.is_epoch_fenced(key_epoch),
        };
        let mut running = self.runs.iter().filter(|(_, run)| run.end.is_none());
        self.fenced_routers.contains(&router) && running.all(|(id, _)| id.incarnation != router)
    }

    /// Drops the history of a fenced router; its requests are answered as evicted from now on.
    ///
    /// A router that is not fenced keeps its history.
    pub fn forget_fenced(&mut self, incarnation: Incarnation) {
        if self.fenced_routers.contains(&incarnation) {
            self.history.raise_floor(incarnation, u64::MAX);
        }
    }

    /// Returns the runs in the table that have an idempotency key, to recover a key shard.
    pub fn keyed_runs(&self) -> Vec<(RequestId, RunKey)> {
        let mut keyed = Vec::new();
        for (id, run) in &self.runs {
            keyed.extend(run.key.map(|key| (*id, key)));
        }
        keyed
    }

    /// Refuses every new run from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the chunks of a run from `from_chunk` on, empty if the run is not in the table.
    pub fn chunks_from(&self, id: RequestId, from_chunk: usize) -> Vec<Bytes> {
        match self.runs.get(&id) {
            Some(run) => run.chunks.get(from_chunk..).unwrap_or_default().to_vec(),
            None => Vec::new(),
        }
    }

    /// Returns whether a run is in the table, in progress or ended.
    pub fn holds(&self, id: RequestId) -> bool {
        self.runs.contains_key(&id)
    }

    /// Returns whether attaching to a request would write a tombstone for it.
    pub fn is_new(&self, id: RequestId) -> bool {
        !self.holds(id) && !self.history.is_tombstoned(id) && !self.history.may_have_run(id)
    }

    /// Returns the number of runs in progress.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the total size of the kept answers of ended runs, in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    fn is_epoch_fenced(&self, key_epoch: KeyEpoch) -> bool {
        let fenced_epoch = self.fenced_epochs.get(&key_epoch.shard);
        fenced_epoch.is_some_and(|epoch| key_epoch.epoch <= *epoch)
    }

    fn refusal(&self, submit: &Submit) -> Option<SubmitAnswer> {
        if self.fenced_routers.contains(&submit.id.incarnation) {
            return Some(SubmitAnswer::Fenced(submit.id.incarnation));
        }
        if let Some(key) = submit.key
            && self.is_epoch_fenced(key.committed_in)
        {
            return Some(SubmitAnswer::EpochFenced);
        }
        if self.leaving {
            return Some(SubmitAnswer::Leaving);
        }
        if self.running >= self.settings.max_running || !submit.has_memory {
            let retry_after_ms = self.settings.retry_after_ms;
            return Some(SubmitAnswer::Full { retry_after_ms });
        }
        None
    }
}

impl Run {
    fn new(key: Option<RunKey>) -> Self {
        Self {
            key,
            chunks: Vec::new(),
            size_bytes: 0,
            end: None,
            attached_routers: 1,
            detached_at_ms: 0,
            cancelling: false,
        }
    }
}

impl Default for RunSettings {
    fn default() -> Self {
        Self {
            keep_ms: DEFAULT_KEEP_MS,
            keep_bytes: DEFAULT_KEEP_BYTES,
            orphan_ms: DEFAULT_ORPHAN_MS,
            max_running: DEFAULT_MAX_RUNNING,
            retry_after_ms: DEFAULT_RETRY_AFTER_MS,
        }
    }
}
