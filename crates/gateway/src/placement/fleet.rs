//! The backend servers that are known, by service.

use super::{
    backend::{Backend, BackendEntry},
    choice::{Candidate, ChoiceSettings, choose},
    prefix_map::PrefixMap,
    service_waits::ServiceWaits,
    waits::{Overload, RequestTimes},
};
use crate::request::PromptPart;
use mallowpath::{
    BackendId, Candidate as RendezvousCandidate, EjectSettings, Outliers, ServiceId, Zone, pick,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// The most prompt parts whose places are remembered.
const PARTS_MAX: usize = 20_000;

/// How long a part is taken to stay cached after its last use.
const PART_KEEP_MS: u64 = 60_000;

/// What a request asks of a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The parts of the prompt in order; the last one is the request's own.
    pub prompt: &'a [PromptPart],
    /// A uniform random number.
    pub draw: u64,
}

/// All backend servers of the fleet.
#[derive(Debug)]
pub struct Fleet {
    zone: Zone,
    /// A leaf lock.
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    backends: BTreeMap<BackendId, Arc<Backend>>,
    services: HashMap<ServiceId, Group>,
    prefixes: PrefixMap,
    choice: ChoiceSettings,
}

/// The backend servers of one service.
#[derive(Debug)]
struct Group {
    members: Vec<Arc<Backend>>,
    outliers: Outliers,
    waits: Arc<ServiceWaits>,
}

impl Fleet {
    /// Makes a fleet without backend servers, for a router in `zone`.
    pub fn new(zone: Zone) -> Self {
        let state = State {
            backends: BTreeMap::new(),
            services: HashMap::new(),
            prefixes: PrefixMap::new(PARTS_MAX, PART_KEEP_MS),
            choice: ChoiceSettings::default(),
        };
        Self {
            zone,
            state: Mutex::new(state),
        }
    }

    /// Adds a backend server or takes in what it says anew.
    pub fn insert(&self, entry: BackendEntry) {
        let mut state = self.lock();
        if let Some(known) = state.backends.get(&entry.id) {
            known.set_draining(entry.draining);
            if known.entry.is_same(&entry) {
                return;
            }
        }
        state.remove(&entry.id);
        state.add(entry);
    }

    /// Removes a backend server; requests under way there go on.
    pub fn remove(&self, id: &BackendId) {
        self.lock().remove(id);
    }

    /// Returns the names of the backend servers.
    pub fn ids(&self) -> Vec<BackendId> {
        self.lock().backends.keys().cloned().collect()
    }

    /// Returns the number of backend servers.
    pub fn len(&self) -> usize {
        self.lock().backends.len()
    }

    /// Tells whether no backend server is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the addresses of backend servers that have a process of the fleet beside them, those
    /// of the own availability zone first.
    pub fn hosts_with_sidecar(&self) -> Vec<SocketAddr> {
        let state = self.lock();
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for backend in state.backends.values() {
            if !backend.entry.runs_model {
                continue;
            }
            if backend.entry.zone == self.zone {
                near.push(backend.entry.address);
            } else {
                far.push(backend.entry.address);
            }
        }
        near.extend(far);
        near
    }

    /// Sets how many routers share the backend servers.
    pub fn set_routers(&self, routers: usize) {
        self.lock().choice.routers = routers.max(1);
    }

    /// Returns how many routers share the backend servers, as far as that is known.
    pub fn routers(&self) -> usize {
        self.lock().choice.routers
    }

    /// Returns the backend server that takes a request, and how much of the prompt it has to read.
    ///
    /// Those in `tried` are left out.
    pub fn choose(
        &self,
        demand: &Demand<'_>,
        tried: &[BackendId],
        now_ms: u64,
    ) -> Option<(Arc<Backend>, u64)> {
        let mut state = self.lock();
        let group = state.services.get(demand.service)?;
        let mut usable = Vec::with_capacity(group.members.len());
        for backend in &group.members {
            if is_usable(backend, tried) {
                usable.push(backend);
            }
        }
        let favourite = favourite(demand, &usable);
        let mut candidates = Vec::with_capacity(usable.len());
        for (index, backend) in usable.iter().enumerate() {
            let is_favourite = favourite == Some(index);
            candidates.push(Candidate {
                in_flight: backend.in_flight(),
                prefill_tokens: backend.prefill_tokens(),
                slots: backend.entry.slots,
                uncached_tokens: state.uncached(demand, backend, is_favourite, now_ms),
                same_zone: backend.entry.zone == self.zone,
                weight: group.outliers.weight(&backend.entry.id, now_ms),
                draw: demand
                    .draw
                    .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                    .rotate_left(u32::try_from(index % 64).unwrap_or(0)),
            });
        }
        let index = choose(&candidates, &state.choice)?;
        let chosen = Arc::clone(usable[index]);
        let uncached = candidates[index].uncached_tokens;
        for part in shared_parts(demand.prompt) {
            state.prefixes.insert(part.id, &chosen.entry.id, now_ms);
        }
        Some((chosen, uncached))
    }

    /// Decides whether a request of the service is worth taking.
    ///
    /// # Errors
    ///
    /// Fails when it would wait too long behind others.
    pub fn admit(&self, service: &ServiceId, times: RequestTimes) -> Result<(), Overload> {
        let waits = {
            let state = self.lock();
            let group = state.services.get(service);
            group.map(|group| Arc::clone(&group.waits))
        };
        waits.map_or(Ok(()), |waits| waits.admit(times))
    }

    /// Tells whether a backend server of the service takes work and is not in `tried`.
    pub fn has_choice(&self, service: &ServiceId, tried: &[BackendId]) -> bool {
        let state = self.lock();
        let group = state.services.get(service);
        group.is_some_and(|group| {
            group
                .members
                .iter()
                .any(|backend| is_usable(backend, tried))
        })
    }

    /// Counts a success of a backend server.
    pub fn success(&self, backend: &Backend, now_ms: u64) {
        if let Some(group) = self.lock().services.get_mut(&backend.entry.service) {
            group.outliers.success(&backend.entry.id, now_ms);
        }
    }

    /// Counts a failure of a backend server; it may get less work for a while.
    pub fn failure(&self, backend: &Backend, now_ms: u64) {
        let mut state = self.lock();
        let Some(group) = state.services.get_mut(&backend.entry.service) else {
            return;
        };
        let ejected = group.outliers.failure(&backend.entry.id, now_ms);
        drop(state);
        if let Some(until_ms) = ejected {
            let for_ms = until_ms.saturating_sub(now_ms);
            log::warn!(target: "backend", "{} ejected for {for_ms} ms", backend.entry.id);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn add(&mut self, entry: BackendEntry) {
        let id = entry.id.clone();
        let group = self
            .services
            .entry(entry.service.clone())
            .or_insert_with(|| Group {
                members: Vec::new(),
                outliers: Outliers::new(eject_settings()),
                waits: Arc::new(ServiceWaits::new()),
            });
        let backend = Backend::new(entry, Arc::clone(&group.waits));
        group.outliers.insert(&id);
        // Routers that know the same backend servers have to choose among them alike.
        let at = group
            .members
            .partition_point(|member| member.entry.id.as_str() < id.as_str());
        group.members.insert(at, Arc::clone(&backend));
        self.backends.insert(id, backend);
    }

    fn remove(&mut self, id: &BackendId) {
        let Some(backend) = self.backends.remove(id) else {
            return;
        };
        backend.set_draining(true);
        self.prefixes.remove(id);
        if let Some(group) = self.services.get_mut(&backend.entry.service) {
            group.members.retain(|member| member.entry.id != *id);
            group.outliers.remove(id);
        }
    }

    /// Returns the prompt tokens that `backend` has to read.
    ///
    /// All shared parts but the last are common to many sessions and taken to be cached
    /// everywhere; the last one is where it was sent, or else where all routers would send it.
    fn uncached(
        &self,
        demand: &Demand<'_>,
        backend: &Backend,
        is_favourite: bool,
        now_ms: u64,
    ) -> u64 {
        let shared = shared_parts(demand.prompt);
        let Some((session, common)) = shared.split_last() else {
            return demand.prompt_tokens;
        };
        let mut cached: u64 = common.iter().map(|part| part.tokens).sum();
        let at = self.prefixes.is_at(session.id, &backend.entry.id, now_ms);
        if at || is_favourite && !self.prefixes.is_known(session.id, now_ms) {
            cached += session.tokens;
        }
        demand.prompt_tokens.saturating_sub(cached)
    }
}

fn is_usable(backend: &Backend, tried: &[BackendId]) -> bool {
    !backend.is_draining() && !tried.contains(&backend.entry.id)
}

/// Returns the parts that other requests may share.
fn shared_parts(prompt: &[PromptPart]) -> &[PromptPart] {
    prompt.split_last().map_or(&[], |(_, shared)| shared)
}

/// Returns the index of the backend server where every router looks for the session first.
fn favourite(demand: &Demand<'_>, usable: &[&Arc<Backend>]) -> Option<usize> {
    let session = shared_parts(demand.prompt).last()?;
    let mut candidates = Vec::with_capacity(usable.len());
    for backend in usable {
        candidates.push(RendezvousCandidate {
            name: backend.entry.id.as_str(),
            weight: 1.0,
        });
    }
    pick(session.id, &candidates)
}

/// Failures show within a second or two at the rates of one router, and so must a recovery.
fn eject_settings() -> EjectSettings {
    EjectSettings {
        consecutive_failures: 3,
        ejection_ms: 1_000,
        ejection_max_ms: 8_000,
        slow_start_ms: 2_000,
        ejected_share_max: 0.5,
        ..EjectSettings::default()
    }
}

impl BackendEntry {
    /// Tells whether two entries are of one incarnation at one address.
    fn is_same(&self, other: &Self) -> bool {
        self.started_at_ms == other.started_at_ms
            && self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
    }
}
