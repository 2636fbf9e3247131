//! The routers of the fleet, and which of them keeps which budget.
//!
//! Each budget is kept by the reachable router that rendezvous hashing ranks first for its
//! workspace. Routers may disagree for some time, for example after a network partition. Then
//! several of them draw tokens of the same budget, which the ledger allows.

use crate::host_load::{LinkRate, ProcessorShare, ZoneRouter};
use mallowpath::{Candidate, WorkspaceId, Zone, pick_n, rendezvous_key};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Time without an answer after which a router counts as gone; this one's own link may be the cause of
/// shorter times.
const GONE_AFTER: Duration = Duration::from_secs(5);

/// The routers that this router knows.
#[derive(Debug)]
pub struct RouterDirectory {
    own_name: Arc<str>,
    /// No other lock is acquired while this one is held.
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    routers: BTreeMap<Arc<str>, RouterEntry>,
    /// Whether the other routers are known, as far as they have registered.
    is_loaded: bool,
    /// Whether this router keeps budgets; not so during its shutdown.
    keeps_budgets: bool,
}

#[derive(Debug, Clone)]
struct RouterEntry {
    address: SocketAddr,
    /// Since when the router has not answered; `None` if it answers.
    unreachable_since: Option<Instant>,
    host: RouterHost,
}

/// What is known of the host of a router.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouterHost {
    /// Its availability zone.
    pub zone: Option<Zone>,
    /// The rate of its network link.
    pub link_rate: Option<LinkRate>,
    /// Its share of the processor.
    pub processor: Option<ProcessorShare>,
}

impl RouterEntry {
    fn is_reachable(&self) -> bool {
        self.unreachable_since.is_none()
    }
}

/// Another router, at the address for its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRouter {
    /// The name of the router, which is the key of its account.
    pub name: Arc<str>,
    /// The address at which it accepts connections from other routers.
    pub address: SocketAddr,
}

/// The router that keeps a budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BudgetKeeper {
    /// This router.
    Own,
    /// Another router.
    Peer(PeerRouter),
}

impl RouterDirectory {
    /// Returns a directory that contains only this router.
    pub fn new(own_name: Arc<str>) -> Self {
        Self {
            own_name,
            state: Mutex::new(State {
                routers: BTreeMap::new(),
                is_loaded: false,
                keeps_budgets: true,
            }),
        }
    }

    /// Adds a router on a host of which nothing is known, or replaces its address; ignores this router.
    pub fn insert(&self, router: PeerRouter) {
        self.insert_on(router, RouterHost::default());
    }

    /// Adds a router, or replaces its address and host; ignores this router.
    pub fn insert_on(&self, router: PeerRouter, host: RouterHost) {
        if router.name == self.own_name {
            return;
        }
        let mut state = self.lock();
        let known = state.routers.get(&router.name);
        let known = known.filter(|known| known.address == router.address);
        let entry = RouterEntry {
            address: router.address,
            unreachable_since: known.and_then(|known| known.unreachable_since),
            host,
        };
        state.routers.insert(router.name, entry);
    }

    /// Sets whether a router is reachable; returns whether that is a change.
    pub fn set_reachable(&self, name: &str, is_reachable: bool) -> bool {
        let mut state = self.lock();
        let Some(router) = state.routers.get_mut(name) else {
            return false;
        };
        let is_change = router.is_reachable() != is_reachable;
        if is_change {
            router.unreachable_since = (!is_reachable).then(Instant::now);
        }
        is_change
    }

    /// Records that all registrations so far were inserted.
    pub fn set_loaded(&self) {
        self.lock().is_loaded = true;
    }

    /// Makes this router keep no budgets any more.
    pub fn stop_keeping(&self) {
        self.lock().keeps_budgets = false;
    }

    /// Returns the number of routers, this one included.
    pub fn router_count(&self) -> usize {
        self.lock().routers.len() + 1
    }

    /// Returns the names of all routers, this one included.
    pub fn names(&self) -> Vec<Arc<str>> {
        let state = self.lock();
        let mut names = vec![Arc::clone(&self.own_name)];
        names.extend(state.routers.keys().cloned());
        names
    }

    /// Returns the other routers that are reachable.
    pub fn reachable_peers(&self) -> Vec<PeerRouter> {
        let mut peers = Vec::new();
        for (name, router) in &self.lock().routers {
            if router.is_reachable() {
                peers.push(PeerRouter {
                    name: Arc::clone(name),
                    address: router.address,
                });
            }
        }
        peers
    }

    /// Returns the other routers of an availability zone.
    pub fn routers_in(&self, zone: &Zone) -> Vec<ZoneRouter> {
        let mut routers = Vec::new();
        for (name, router) in &self.lock().routers {
            if router.host.zone.as_ref() != Some(zone) {
                continue;
            }
            routers.push(ZoneRouter {
                name: Arc::clone(name),
                link_rate: router.host.link_rate,
                processor: router.host.processor,
                is_gone: router
                    .unreachable_since
                    .is_some_and(|since| since.elapsed() >= GONE_AFTER),
            });
        }
        routers
    }

    /// Returns the other routers of an availability zone that are reachable.
    pub fn reachable_peers_in(&self, zone: &Zone) -> Vec<PeerRouter> {
        let mut peers = Vec::new();
        for (name, router) in &self.lock().routers {
            if router.host.zone.as_ref() != Some(zone) || !router.is_reachable() {
                continue;
            }
            peers.push(PeerRouter {
                name: Arc::clone(name),
                address: router.address,
            });
        }
        peers
    }

    /// Returns the number of other routers that are not reachable.
    pub fn unreachable_count(&self) -> usize {
        let state = self.lock();
        let unreachable = state
            .routers
            .values()
            .filter(|router| !router.is_reachable());
        unreachable.count()
    }

    /// Returns whether this router keeps the budget of a workspace; not so while it does not know
    /// the others.
    pub fn is_keeper(&self, workspace: &WorkspaceId) -> bool {
        let is_loaded = self.lock().is_loaded;
        is_loaded && self.keepers(workspace, 1).first() == Some(&BudgetKeeper::Own)
    }

    /// Returns the router that keeps the budget of a workspace, followed by those that replace it,
    /// `count` at most.
    pub fn keepers(&self, workspace: &WorkspaceId, count: usize) -> Vec<BudgetKeeper> {
        let state = self.lock();
        let mut names = Vec::with_capacity(state.routers.len() + 1);
        if state.keeps_budgets {
            names.push(candidate(&self.own_name));
        }
        for (name, router) in &state.routers {
            if router.is_reachable() {
                names.push(candidate(name));
            }
        }
        let mut keepers = Vec::with_capacity(count);
        for index in pick_n(rendezvous_key(workspace.as_str()), &names, count) {
            let keeper = match state.routers.get_key_value(names[index].name) {
                Some((name, router)) => BudgetKeeper::Peer(PeerRouter {
                    name: Arc::clone(name),
                    address: router.address,
                }),
                None => BudgetKeeper::Own,
            };
            keepers.push(keeper);
        }
        keepers
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn candidate(name: &str) -> Candidate<'_> {
    Candidate { name, weight: 1.0 }
}
