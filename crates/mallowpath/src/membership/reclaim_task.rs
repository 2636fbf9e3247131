//! Reclaim of the unspent tokens of lost routers: of their slices and of the grants of their
//! keepers.

use crate::{
    budget::keeper_task::{KeeperTask, keeper_incarnation},
    budget::slice::{GrantSpent, KeeperReport, SliceReturn},
    id::{GrantId, Incarnation, Offset, Tokens},
    membership::lost_routers::LostRouterDetector,
    membership::members::{Fence, FenceTarget, Members, MembersChange, MembersRecord},
    membership::members_follower::{MEMBERS_STREAM, MembersEvent},
    membership::reclaim::{KeeperReclaim, RouterReclaim},
    membership::reclaim_queries::{Confirmations, notify_closed_keepers, request_report},
    peer::link::now_ms,
    process::router::Router,
};
use prost::Message;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// The interval of the check for lost routers, and the first pause between two rounds of a reclaim.
const CHECK_INTERVAL_MS: u64 = 250;
/// Timeout for appending a fence, including retries.
const APPEND_TIMEOUT_MS: u64 = 2000;
/// The maximum pause between two rounds of a reclaim; the pause doubles after each round.
const MAX_ROUND_PAUSE_MS: u64 = 10_000;

/// The reclaim from one fenced router.
#[derive(Debug)]
struct Reclaim {
    router: Arc<Router>,
    fenced: Incarnation,
    /// The offset of the router's fence in the `members` stream.
    fence: Offset,
    /// Confirmations for this router and for other fenced holders, by fenced router.
    confirmations: BTreeMap<Incarnation, Confirmations>,
    /// Settled reports of live routers.
    reports: BTreeMap<Incarnation, Vec<GrantSpent>>,
    /// Grants whose closing records are queued for the ledger.
    closing: BTreeSet<GrantId>,
    /// Processes whose confirmations, reports or fences were missing in this round.
    missing: BTreeSet<Incarnation>,
}

impl Router {
    /// Handles an event of the `members` stream.
    pub(crate) fn handle_members_event(self: &Arc<Self>, event: MembersEvent) {
        match event {
            MembersEvent::Fenced(FenceTarget::Router(router)) => {
                let router = Incarnation(router);
                self.budgets.fence_router(router);
                self.budgets.fence_keepers(router);
                self.bills.adopt_kept_bills(router);
                self.drain_if_own(router);
            }
            MembersEvent::RouterGone(router) => {
                self.budgets.fence_router(router);
                self.drain_if_own(router);
            }
            MembersEvent::ReplayedBelow(next) => self.budgets.set_members_seen(next),
            MembersEvent::Fenced(FenceTarget::Keys(_)) => {}
        }
    }

    fn drain_if_own(self: &Arc<Self>, router: Incarnation) {
        if router != self.incarnation || self.is_draining() {
            return;
        }
        log::error!("this router is fenced or replaced; it stops spending tokens and drains");
        self.budgets.stop_permanently();
        self.drain();
    }

    /// Fences a router permanently, so that its unspent tokens can be reclaimed.
    ///
    /// # Errors
    ///
    /// Fails if the log service does not confirm the record in time; the record may be in the log
    /// nevertheless.
    pub async fn fence(&self, router: Incarnation) -> crate::Result<()> {
        let fence = Fence {
            target: Some(FenceTarget::Router(router.0)),
            author: self.incarnation.0,
        };
        let record = MembersRecord::from(MembersChange::Fence(fence));
        let deadline = Instant::now() + Duration::from_millis(APPEND_TIMEOUT_MS);
        let data = record.encode_to_vec().into();
        self.log
            .append_until(MEMBERS_STREAM, data, deadline)
            .await?;
        Ok(())
    }

    /// Returns whether slices of a router, or grants of its keepers, can be reclaimed in the shards
    /// that this process keeps.
    fn has_reclaimable_tokens(&self, router: Incarnation) -> bool {
        for task in self.budgets.keeper_tasks() {
            for (grant, _) in open_grants(&task, router) {
                if !self.reclaims.is_unproven(router, grant) {
                    return true;
                }
            }
            let gone_at = self.last_sidecar_gone_at();
            let provable = task.with_keeper(|keeper| {
                let unprovable = keeper.unprovable_slices(router, gone_at);
                let open = keeper.open_slices(router);
                open.iter()
                    .any(|(_, slice)| !unprovable.contains(&slice.id))
            });
            if provable {
                return true;
            }
        }
        false
    }

    fn last_sidecar_gone_at(&self) -> Option<Offset> {
        self.members.with(Members::last_sidecar_gone_at)?
    }
}

/// Returns the open grants of a router's keeper of a shard, each with the offset below which that
/// keeper had read `members` when it drew the grant.
fn open_grants(task: &KeeperTask, router: Incarnation) -> Vec<(GrantId, Offset)> {
    let holder = keeper_incarnation(router, task.shard());
    task.with_keeper(|keeper| {
        let ledger = keeper.ledger();
        let mut grants = Vec::new();
        for (grant, _, _) in ledger.open_grants(holder) {
            grants.push((grant, ledger.members_seen(grant).unwrap_or_default()));
        }
        grants
    })
}

/// Fences lost routers that hold tokens which this process can reclaim, and starts the reclaim from
/// fenced routers.
pub(crate) async fn watch_lost_routers(router: Arc<Router>) {
    let mut detector = LostRouterDetector::default();
    loop {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let Some((live, mut lost)) = router.members.with(live_and_gone) else {
            continue;
        };
        let hosts = router.hosts();
        let listed = hosts.hosts.iter().map(|host| host.name.as_str()).collect();
        let lost_ms = router.settings.timing.lost_router_ms;
        let is_open = |peer| router.is_open(peer);
        lost.extend(detector.update(&live, &listed, is_open, lost_ms, now_ms()));
        lost.extend(router.members.refused_routers());
        for peer in lost {
            if peer == router.incarnation || !router.has_reclaimable_tokens(peer) {
                continue;
            }
            if let Some(fence) = router.members.fence_offset(peer) {
                spawn_reclaim(&router, peer, fence);
                continue;
            }
            log::warn!("router {peer} is lost and holds tokens to reclaim; fencing it");
            if let Err(error) = router.fence(peer).await {
                log::warn!("fencing router {peer} failed; retrying: {error}");
            }
        }
    }
}

fn live_and_gone(members: &Members) -> (BTreeMap<Incarnation, String>, BTreeSet<Incarnation>) {
    let mut live = BTreeMap::new();
    for join in members.routers() {
        live.insert(Incarnation(join.incarnation), join.name.clone());
    }
    (live, members.gone_routers().collect())
}

fn spawn_reclaim(router: &Arc<Router>, fenced: Incarnation, fence: Offset) {
    if !router.reclaims.begin(fenced) {
        return;
    }
    let reclaim = Reclaim {
        router: Arc::clone(router),
        fenced,
        fence,
        confirmations: BTreeMap::new(),
        reports: BTreeMap::new(),
        closing: BTreeSet::new(),
        missing: BTreeSet::new(),
    };
    tokio::spawn(reclaim.run());
}

impl Reclaim {
    async fn run(mut self) {
        let mut pause_ms = CHECK_INTERVAL_MS;
        loop {
            self.missing.clear();
            if let Some(proof) = self.collect_proof(self.fenced, self.fence).await {
                self.reclaim_slices(&proof);
            }
            let closed = self.close_grants().await;
            let done = closed && self.missing.is_empty();
            let missing = self.missing.clone();
            self.router.reclaims.update(self.fenced, |progress| {
                progress.missing = missing;
                progress.done = done;
            });
            if done {
                self.notify_holders().await;
                log::warn!("the reclaim from router {} is complete", self.fenced);
                return;
            }
            sleep(Duration::from_millis(pause_ms)).await;
            pause_ms = (pause_ms * 2).min(MAX_ROUND_PAUSE_MS);
        }
    }

    /// Returns the proof of a fenced router, or records the sidecars whose confirmations are
    /// missing.
    async fn collect_proof(&mut self, fenced: Incarnation, fence: Offset) -> Option<RouterReclaim> {
        let confirmations = self.confirmations.entry(fenced).or_default();
        match confirmations.collect(&self.router, fenced, fence).await {
            Ok(proof) => Some(proof),
            Err(missing) => {
                self.missing.extend(missing);
                None
            }
        }
    }

    /// Returns the tokens of slices that are proven unspent to the keepers of this process.
    fn reclaim_slices(&self, proof: &RouterReclaim) {
        let gone_at = self.router.last_sidecar_gone_at();
        let (mut returned, mut unproven) = (Tokens::ZERO, Tokens::ZERO);
        for task in self.router.budgets.keeper_tasks() {
            task.with_keeper(|keeper| {
                let unprovable = keeper.unprovable_slices(self.fenced, gone_at);
                for (budget, slice) in keeper.open_slices(self.fenced) {
                    if unprovable.contains(&slice.id) {
                        unproven = unproven.saturating_add(slice.tokens);
                        continue;
                    }
                    let proofs = proof.prove(&[slice]).unwrap_or_default();
                    let Some(proven) = proofs.first() else {
                        continue;
                    };
                    let unspent = proven.unspent;
                    keeper.return_slice(&SliceReturn {
                        budget,
                        slice,
                        unspent,
                    });
                    returned = returned.saturating_add(unspent);
                }
            });
        }
        self.router.reclaims.update(self.fenced, |progress| {
            progress.returned = progress.returned.saturating_add(returned);
            progress.unproven = unproven;
        });
    }

    /// Closes the grants whose spending is proven; returns true if no closing record is queued.
    async fn close_grants(&mut self) -> bool {
        let mut groups = BTreeMap::<Offset, Vec<Arc<KeeperTask>>>::new();
        let mut any_queued = false;
        for task in self.router.budgets.keeper_tasks() {
            for (grant, members_seen) in open_grants(&task, self.fenced) {
                let is_closing = self.closing.contains(&grant);
                any_queued |= is_closing;
                if is_closing || self.router.reclaims.is_unproven(self.fenced, grant) {
                    continue;
                }
                let tasks = groups.entry(members_seen).or_default();
                if !tasks.iter().any(|grouped| Arc::ptr_eq(grouped, &task)) {
                    tasks.push(Arc::clone(&task));
                }
            }
        }
        for (members_seen, tasks) in groups {
            any_queued |= self.close_group(members_seen, &tasks).await;
        }
        !any_queued
    }

    /// Closes the grants whose keeper had read `members` below `members_seen` when it drew them.
    ///
    /// Returns whether closing records were queued.
    async fn close_group(&mut self, members_seen: Offset, tasks: &[Arc<KeeperTask>]) -> bool {
        let holders = self
            .router
            .members
            .with(|members| members.possible_slice_holders(members_seen, self.fence));
        let Some(Some(holders)) = holders else {
            self.mark_unproven(members_seen, tasks);
            return false;
        };
        let mut proofs = Vec::new();
        for holder in &holders {
            if !self.reports.contains_key(holder) && self.is_serving(*holder) {
                self.fetch_report(*holder).await;
            }
            if self.reports.contains_key(holder) {
                continue;
            }
            if self.is_serving(*holder) {
                self.missing.insert(*holder);
                continue;
            }
            let Some(fence) = self.router.members.fence_offset(*holder) else {
                self.missing.insert(*holder);
                if let Err(error) = self.router.fence(*holder).await {
                    log::warn!("fencing router {holder} failed; retrying: {error}");
                }
                continue;
            };
            proofs.extend(self.collect_proof(*holder, fence).await);
            if self
                .router
                .last_sidecar_gone_at()
                .is_some_and(|at| at >= members_seen)
            {
                self.mark_unproven(members_seen, tasks);
                return false;
            }
        }
        self.push_closing_records(members_seen, tasks, &holders, &proofs)
    }

    fn push_closing_records(
        &mut self,
        members_seen: Offset,
        tasks: &[Arc<KeeperTask>],
        holders: &BTreeSet<Incarnation>,
        proofs: &[RouterReclaim],
    ) -> bool {
        let mut pushed = false;
        for task in tasks {
            let keeper = keeper_incarnation(self.fenced, task.shard());
            let mut reclaim = KeeperReclaim::new(keeper, holders.clone());
            for (router, grants) in &self.reports {
                reclaim.report(&KeeperReport {
                    router: *router,
                    keeper,
                    settled: true,
                    grants: grants.clone(),
                });
            }
            for proof in proofs {
                if let Err(error) = reclaim.report_fenced_router(proof) {
                    log::debug!(
                        "the grants of keeper {keeper} are not closed in this round: {error}"
                    );
                }
            }
            let closing = &mut self.closing;
            task.with_keeper(|state| {
                let Ok(records) = reclaim.records(state.ledger()) else {
                    return;
                };
                for record in records {
                    let Some(grant) = record.closed_grant() else {
                        continue;
                    };
                    if state.ledger().members_seen(grant) != Some(members_seen) {
                        continue;
                    }
                    closing.insert(grant);
                    pushed = true;
                    state.queue_record(record);
                }
            });
        }
        pushed
    }

    /// Marks the grants drawn at `members_seen` as unproven, because their spending can't be proven
    /// any more.
    fn mark_unproven(&self, members_seen: Offset, tasks: &[Arc<KeeperTask>]) {
        for task in tasks {
            for (grant, drawn_at) in open_grants(task, self.fenced) {
                if drawn_at != members_seen {
                    continue;
                }
                log::warn!(
                    "grant {grant} remains outstanding: the tokens spent of it can't be proven"
                );
                self.router.reclaims.update(self.fenced, |progress| {
                    progress.unproven_grants.insert(grant);
                });
            }
        }
    }

    fn is_serving(&self, router: Incarnation) -> bool {
        let members = &self.router.members;
        members.is_live(router) && members.fence_offset(router).is_none()
    }

    async fn fetch_report(&mut self, holder: Incarnation) {
        let address = self.router.members.router_address(holder);
        let report = request_report(&self.router, self.fenced, holder, &address).await;
        if let Some(report) = report {
            self.reports.insert(holder, report);
        }
    }

    /// Notifies the routers that sent reports which keepers of the fenced router have no open
    /// grants left in the shards of this process, so that they can discard the state of those
    /// keepers.
    async fn notify_holders(&self) {
        let mut keepers = Vec::new();
        for task in self.router.budgets.keeper_tasks() {
            if open_grants(&task, self.fenced).is_empty() {
                keepers.push(keeper_incarnation(self.fenced, task.shard()).0);
            }
        }
        for holder in self.reports.keys() {
            let address = self.router.members.router_address(*holder);
            notify_closed_keepers(&self.router, *holder, &address, keepers.clone()).await;
        }
    }
}
