//! Reclaim of what lost routers left unspent, at the keepers that gave it to them.

use crate::{
    bill_shelf::SidecarConfirmation,
    id::{Incarnation, Offset, Tokens},
    link::{Link, now_ms},
    lost_routers::LostRouters,
    members::{Fence, FenceTarget, MembersChange, MembersRecord},
    members_task::{MEMBERS_STREAM, MembersEvent},
    reclaim::RouterReclaim,
    router::Router,
    sidecar_calls::reserved_parts,
    slice::SliceReturn,
    wire::{Body, Hello},
};
use prost::Message;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// How often routers are judged, and how often an incomplete reclaim asks again.
const TICK_MS: u64 = 250;
/// Time between two sidecars that are asked, so that a large fleet costs a steady trickle.
const ASK_PAUSE_MS: u64 = 5;
const ASK_MS: u64 = 1000;
const APPEND_MS: u64 = 2000;
/// The longest wait between two rounds of a reclaim.
const MAX_ROUND_PAUSE_MS: u64 = 10_000;

/// The reclaims of one process.
#[derive(Debug, Default)]
pub(crate) struct Reclaims {
    lost: Mutex<LostRouters>,
    going_on: Mutex<BTreeMap<Incarnation, Progress>>,
}

/// How far a reclaim has come, for dumps.
#[derive(Debug, Clone, Default)]
struct Progress {
    fence: Option<Offset>,
    missing: BTreeSet<Incarnation>,
    returned: Tokens,
    /// Tokens that stay out, as a sidecar that may have billed them is gone.
    unproven: Tokens,
    done: bool,
}

impl Reclaims {
    /// Notes a router that opened a connection.
    pub(crate) fn met(&self, peer: &Hello) {
        self.lost().met(Incarnation(peer.incarnation), &peer.host);
    }

    /// Describes the reclaims for a dump.
    pub(crate) fn dump(&self) -> Value {
        let mut described = serde_json::Map::new();
        for (router, progress) in self.going_on().iter() {
            let entry = json!({
                "fence": progress.fence,
                "missing": progress.missing,
                "returned": progress.returned,
                "unproven": progress.unproven,
                "done": progress.done,
            });
            described.insert(router.to_string(), entry);
        }
        Value::Object(described)
    }

    /// Begins a reclaim unless it goes on already.
    fn begin(&self, router: Incarnation) -> bool {
        let mut going_on = self.going_on();
        let known = going_on.contains_key(&router);
        going_on.entry(router).or_default();
        !known
    }

    fn note(&self, router: Incarnation, change: impl FnOnce(&mut Progress)) {
        let mut going_on = self.going_on();
        change(going_on.entry(router).or_default());
        let mut missing = 0;
        let mut unproven = 0;
        for progress in going_on.values() {
            missing += progress.missing.len();
            unproven += progress.unproven.0;
        }
        metrics::gauge!("mallowpath_reclaim_missing_words").set(missing as f64);
        metrics::gauge!("mallowpath_reclaim_unproven_tokens").set(unproven as f64);
    }

    fn lost(&self) -> MutexGuard<'_, LostRouters> {
        self.lost.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn going_on(&self) -> MutexGuard<'_, BTreeMap<Incarnation, Progress>> {
        self.going_on.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Router {
    /// Acts on a record of the `members` stream.
    pub(crate) fn members_event(self: &Arc<Self>, event: MembersEvent) {
        let router = match event {
            MembersEvent::Fenced(FenceTarget::Router(router)) => Incarnation(router),
            MembersEvent::Fenced(FenceTarget::Keys(_)) => return,
            MembersEvent::SidecarGone => return self.budgets.sidecar_gone(),
        };
        if router == self.incarnation {
            log::error!("this router is fenced: it spends nothing more and ends");
            self.budgets.revoke();
            self.drain();
            return;
        }
        self.budgets.fence_router(router);
        self.bills.adopt_from_shelf(router);
        if self.budgets.has_slices_of(router) && self.reclaims.begin(router) {
            tokio::spawn(reclaim(Arc::clone(self), router));
        }
    }

    /// Fences a router for good, so that what it left unspent can be reclaimed.
    ///
    /// # Errors
    ///
    /// Fails when the log service does not take the record in time; it may be in the log then.
    pub async fn fence(&self, router: Incarnation) -> crate::Result<()> {
        let fence = Fence {
            target: Some(FenceTarget::Router(router.0)),
            author: self.incarnation.0,
        };
        let record = MembersRecord::from(MembersChange::Fence(fence));
        let give_up = Instant::now() + Duration::from_millis(APPEND_MS);
        let data = record.encode_to_vec().into();
        self.log.append_until(MEMBERS_STREAM, data, give_up).await?;
        Ok(())
    }
}

/// Fences routers that hold slices of this process's keepers and are lost.
pub(crate) async fn find_lost(router: Arc<Router>) {
    loop {
        sleep(Duration::from_millis(TICK_MS)).await;
        let hosts = router.hosts();
        let mut listed = BTreeSet::new();
        for host in &hosts.hosts {
            listed.insert(host.name.as_str());
        }
        let lost = {
            let mut routers = router.reclaims.lost();
            routers.judge(|peer| router.is_open(peer), &listed, now_ms())
        };
        for peer in lost {
            if router.members.fence_offset(peer).is_some() || !router.budgets.has_slices_of(peer) {
                router.reclaims.lost().forget(peer);
                continue;
            }
            log::warn!("router {peer} is lost with slices of this keeper, fencing it");
            if let Err(error) = router.fence(peer).await {
                log::warn!("{error}");
            }
        }
    }
}

/// Collects the word of every sidecar, then returns what is proven unspent.
async fn reclaim(router: Arc<Router>, fenced: Incarnation) {
    let Some(fence) = router.members.fence_offset(fenced) else {
        return;
    };
    router
        .reclaims
        .note(fenced, |progress| progress.fence = Some(fence));
    let mut confirmed = BTreeMap::new();
    let mut pause_ms = TICK_MS;
    loop {
        let due = router.members.must_confirm(fence).unwrap_or_default();
        for (sidecar, address) in &due {
            if confirmed.contains_key(sidecar) {
                continue;
            }
            if let Some(word) = ask(&router, fenced, *sidecar, address).await {
                confirmed.insert(*sidecar, word);
                pause_ms = TICK_MS;
            }
            sleep(Duration::from_millis(ASK_PAUSE_MS)).await;
        }
        // A sidecar may be gone by now; the slices that it may have billed are marked then.
        let due = router.members.must_confirm(fence).unwrap_or_default();
        let mut missing: BTreeSet<Incarnation> = due.keys().copied().collect();
        missing.retain(|sidecar| !confirmed.contains_key(sidecar));
        let complete = missing.is_empty();
        router
            .reclaims
            .note(fenced, |progress| progress.missing = missing);
        if complete {
            let mut proof = RouterReclaim::new(fenced, due.into_keys().collect());
            for word in confirmed.values() {
                proof.confirm(word);
            }
            return take_back(&router, fenced, &proof);
        }
        sleep(Duration::from_millis(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(MAX_ROUND_PAUSE_MS);
    }
}

/// Asks one sidecar to refuse the fenced router; returns its word once nothing runs there.
async fn ask(
    router: &Router,
    fenced: Incarnation,
    sidecar: Incarnation,
    address: &str,
) -> Option<SidecarConfirmation> {
    let address: SocketAddr = address.parse().ok()?;
    let open = router.dialer.open_link(address);
    let is_own = open.is_none();
    let link = match open {
        Some(link) => link,
        None => match Link::dial(address, router.dialer.endpoint()).await {
            Ok(link) => link,
            Err(error) => {
                log::info!("reclaim from {fenced}: {error}");
                return None;
            }
        },
    };
    let word = ask_on(router, &link, fenced, sidecar).await;
    if is_own {
        link.close();
    }
    word
}

async fn ask_on(
    router: &Router,
    link: &Arc<Link>,
    fenced: Incarnation,
    sidecar: Incarnation,
) -> Option<SidecarConfirmation> {
    if link.peer_incarnation() != sidecar {
        return None;
    }
    let fence = Body::Fence(Fence {
        target: Some(FenceTarget::Router(fenced.0)),
        author: router.incarnation.0,
    });
    match link.ask(fence, Duration::from_millis(ASK_MS)).await {
        Ok(Body::Fenced(answer)) if answer.idle => Some(SidecarConfirmation {
            sidecar,
            fenced,
            billed: reserved_parts(&answer.billed),
        }),
        Ok(Body::Fenced(_)) => None,
        Ok(other) => {
            log::warn!("{} answered a fence with {other:?}", link.remote());
            None
        }
        Err(error) => {
            log::info!("reclaim from {fenced}: {error}");
            None
        }
    }
}

/// Returns the proven tokens to the keepers of this process.
fn take_back(router: &Router, fenced: Incarnation, proof: &RouterReclaim) {
    let (mut returned, mut unproven) = (Tokens::ZERO, Tokens::ZERO);
    for task in router.budgets.keeper_tasks() {
        task.with(|keeper| {
            let lost = keeper.unprovable_slices(fenced);
            for (budget, slice) in keeper.open_slices(fenced) {
                let Ok(proofs) = proof.prove(&[slice]) else {
                    continue;
                };
                let Some(proven) = proofs.first() else {
                    continue;
                };
                if lost.contains(&slice.id) {
                    unproven = unproven.saturating_add(slice.tokens);
                    continue;
                }
                keeper.return_slice(&SliceReturn {
                    budget,
                    slice,
                    unspent: proven.unspent,
                });
                returned = returned.saturating_add(proven.unspent);
            }
        });
    }
    log::warn!("reclaimed {returned} tokens of {fenced}, {unproven} stay out without a proof");
    router.reclaims.note(fenced, |progress| {
        progress.returned = returned;
        progress.unproven = unproven;
        progress.done = true;
    });
}
