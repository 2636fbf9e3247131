//! The backend servers known to this router, by service.

use super::{
    backend::{Backend, BackendEntry},
    choice::ChoiceSettings,
    cold_start::cold_rate_share,
    overload_order::{LoadRefusal, LoadRequest},
    prefix_map::PrefixMap,
    service_group::ServiceGroup,
    slowness::{SlownessSettings, WaitSums},
    stated_rate_limit::RateSharers,
    zone_spill::ZoneSpillSettings,
};
use mallowpath::{BackendId, BackendVersion, ServiceId, Zone};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// The maximum number of prompt parts in the [`PrefixMap`].
const PROMPT_PARTS_MAX: usize = 20_000;

/// How long a prompt part is assumed to stay cached after its last use.
const PROMPT_PART_TTL_MS: u64 = 60_000;

/// The backend servers of the fleet and their load as seen by this router.
#[derive(Debug)]
pub struct BackendRegistry {
    pub(super) zone: Zone,
    /// Only locks of single backend servers are acquired while this one is held.
    state: Mutex<State>,
}

#[derive(Debug)]
pub(super) struct State {
    backends: BTreeMap<BackendId, Arc<Backend>>,
    pub(super) services: HashMap<ServiceId, ServiceGroup>,
    pub(super) prefixes: PrefixMap,
    pub(super) choice: ChoiceSettings,
    pub(super) slowness: SlownessSettings,
    /// `None` if requests may leave the availability zone whenever that costs least.
    spill: Option<ZoneSpillSettings>,
    /// The availability zones whose backend servers get no new requests.
    evacuated_zones: BTreeSet<Zone>,
    /// The requests per second that a backend server of a service bears while it is cold; a service
    /// without an entry has no such limit.
    cold_rates_per_s: BTreeMap<ServiceId, f64>,
    own_router: Arc<str>,
    /// The routers that share the backend servers, this one included.
    routers: Vec<Arc<str>>,
}

impl BackendRegistry {
    /// Returns a registry without backend servers, for a router in `zone`.
    pub fn new(zone: Zone) -> Self {
        let state = State {
            backends: BTreeMap::new(),
            services: HashMap::new(),
            prefixes: PrefixMap::new(PROMPT_PARTS_MAX, PROMPT_PART_TTL_MS),
            choice: ChoiceSettings::default(),
            slowness: SlownessSettings::default(),
            spill: None,
            evacuated_zones: BTreeSet::new(),
            cold_rates_per_s: BTreeMap::new(),
            own_router: Arc::from(""),
            routers: Vec::new(),
        };
        Self {
            zone,
            state: Mutex::new(state),
        }
    }

    /// Keeps requests in the availability zone unless leaving it saves more time than `cost_ms`; applies
    /// to the services that are added from now on.
    pub fn set_zone_crossing_cost(&self, cost_ms: f64) {
        self.lock().spill = Some(ZoneSpillSettings {
            crossing_cost_ms: cost_ms,
            ..ZoneSpillSettings::default()
        });
    }

    /// Adds a backend server, or updates whether a known one accepts new requests.
    ///
    /// A new incarnation replaces the old one of the same name and starts without state, as does a
    /// registration with another service, address or availability zone.
    pub fn insert(&self, entry: BackendEntry) {
        let mut state = self.lock();
        if let Some(known) = state.backends.get(&entry.id) {
            known.availability.set_draining(entry.draining);
            if known.entry.is_same_incarnation(&entry) {
                return;
            }
        }
        state.remove(&entry.id);
        state.add(entry);
    }

    /// Removes a backend server; its requests in flight continue.
    pub fn remove(&self, id: &BackendId) {
        self.lock().remove(id);
    }

    /// Returns whether a backend server is registered.
    pub fn contains(&self, id: &BackendId) -> bool {
        self.lock().backends.contains_key(id)
    }

    /// Returns the start time of a registered backend server, which is `None` if it states none.
    pub fn started_at_ms(&self, id: &BackendId) -> Option<Option<u64>> {
        let state = self.lock();
        let backend = state.backends.get(id)?;
        Some(backend.entry.started_at_ms)
    }

    /// Returns whether a later incarnation than `entry` is registered under its name.
    pub(crate) fn has_started_again(&self, entry: &BackendEntry) -> bool {
        let state = self.lock();
        let registered = state.backends.get(&entry.id);
        registered.is_some_and(|backend| backend.entry.replaces(entry))
    }

    /// Returns the names of all backend servers.
    pub fn ids(&self) -> Vec<BackendId> {
        self.lock().backends.keys().cloned().collect()
    }

    /// Returns the number of backend servers.
    pub fn len(&self) -> usize {
        self.lock().backends.len()
    }

    /// Returns whether no backend server is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the addresses of backend servers with a sidecar on their host, those in this
    /// router's availability zone first.
    pub fn hosts_with_sidecar(&self) -> Vec<SocketAddr> {
        let state = self.lock();
        let (mut same_zone, mut other_zones) = (Vec::new(), Vec::new());
        for backend in state.backends.values() {
            if !backend.entry.runs_model {
                continue;
            }
            if backend.entry.zone == self.zone {
                same_zone.push(backend.entry.address);
            } else {
                other_zones.push(backend.entry.address);
            }
        }
        same_zone.extend(other_zones);
        same_zone
    }

    /// Sets the routers that share the backend servers; `own` is this one's name.
    pub fn set_routers(&self, own: Arc<str>, routers: Vec<Arc<str>>) {
        self.set_router_count(routers.len());
        let mut state = self.lock();
        state.own_router = own;
        state.routers = routers;
    }

    /// Sets the requests per second that a cold backend server of each service bears.
    pub fn set_cold_rates(&self, cold_rates_per_s: BTreeMap<ServiceId, f64>) {
        self.lock().cold_rates_per_s = cold_rates_per_s;
    }

    /// Sets the time by the router's clock until which a backend server is slow after its start.
    pub fn set_cold_until(&self, id: &BackendId, cold_until_ms: u64) {
        if let Some(backend) = self.lock().backends.get(id) {
            backend.set_cold_until(cold_until_ms);
        }
    }

    /// Sets the number of routers that share the backend servers.
    pub fn set_router_count(&self, router_count: usize) {
        self.lock().choice.router_count = router_count.max(1);
    }

    /// Returns the known number of routers that share the backend servers.
    pub fn router_count(&self) -> usize {
        self.lock().choice.router_count
    }

    /// Decides whether to admit a request of the service.
    ///
    /// # Errors
    ///
    /// Fails if the request would wait too long behind other requests.
    pub fn admit(&self, service: &ServiceId, request: &LoadRequest<'_>) -> Result<(), LoadRefusal> {
        let wait_estimator = {
            let state = self.lock();
            let group = state.services.get(service);
            group.map(|group| Arc::clone(&group.wait_estimator))
        };
        wait_estimator.map_or(Ok(()), |wait_estimator| wait_estimator.admit(request))
    }

    /// Returns whether any backend server of the service accepts requests, has `version` unless that
    /// is `None`, and is not in `tried`.
    pub fn has_usable_backend(
        &self,
        service: &ServiceId,
        version: Option<&BackendVersion>,
        tried: &[BackendId],
        now_ms: u64,
    ) -> bool {
        let state = self.lock();
        let group = state.services.get(service);
        group.is_some_and(|group| {
            group.members.iter().any(|backend| {
                state.is_usable(backend, tried, now_ms) && backend.has_version(version)
            })
        })
    }

    /// Returns the time until the first backend server of the service takes requests again, if each
    /// one that is not shutting down has asked for a pause.
    pub fn shortest_pause_ms(&self, service: &ServiceId, now_ms: u64) -> Option<u64> {
        let state = self.lock();
        let group = state.services.get(service)?;
        let mut shortest_ms: Option<u64> = None;
        for backend in &group.members {
            if backend.availability.is_shutting_down() || state.is_evacuated(backend) {
                continue;
            }
            let pause_ms = backend.availability.pause_ms(now_ms);
            shortest_ms = Some(shortest_ms.map_or(pause_ms, |ms| ms.min(pause_ms)));
        }
        shortest_ms.filter(|&pause_ms| pause_ms > 0)
    }

    /// Sets whether the backend servers of an availability zone get no new requests; returns
    /// whether that is a change.
    pub fn set_evacuated(&self, zone: &Zone, is_evacuated: bool) -> bool {
        let mut state = self.lock();
        if is_evacuated {
            state.evacuated_zones.insert(zone.clone())
        } else {
            state.evacuated_zones.remove(zone)
        }
    }

    /// Returns the availability zones whose backend servers get no new requests.
    pub fn evacuated_zones(&self) -> Vec<Zone> {
        self.lock().evacuated_zones.iter().cloned().collect()
    }

    /// Records what another router reports about the limit on requests that a backend server states.
    pub fn set_stated_rate(&self, id: &BackendId, rate_per_s: Option<f64>, now_ms: u64) {
        if let Some(backend) = self.lock().backends.get(id) {
            backend.with_rate_limit(|limit| limit.record(rate_per_s, now_ms, now_ms));
        }
    }

    /// Returns the waits for answers that this router has seen since the last call, by backend server.
    pub fn take_unreported_waits(&self, now_ms: u64) -> Vec<(BackendId, WaitSums)> {
        let state = self.lock();
        let mut waits = Vec::new();
        for (id, backend) in &state.backends {
            if let Some(unreported) = backend.take_unreported_waits(&state.slowness, now_ms) {
                waits.push((id.clone(), unreported));
            }
        }
        waits
    }

    /// Adds the waits for answers of a backend server that another router has seen.
    pub fn add_reported_waits(&self, id: &BackendId, waits: WaitSums, now_ms: u64) {
        let state = self.lock();
        if let Some(backend) = state.backends.get(id) {
            backend.add_reported_waits(waits, &state.slowness, now_ms);
        }
    }

    /// Records a success of a backend server for outlier ejection.
    pub fn record_success(&self, backend: &Backend, now_ms: u64) {
        if let Some(group) = self.lock().services.get_mut(&backend.entry.service) {
            group.outliers.success(&backend.entry.id, now_ms);
        }
    }

    /// Records a failure of a backend server, which may eject it for some time.
    pub fn record_failure(&self, backend: &Backend, now_ms: u64) {
        let mut state = self.lock();
        let Some(group) = state.services.get_mut(&backend.entry.service) else {
            return;
        };
        let ejected = group.outliers.failure(&backend.entry.id, now_ms);
        drop(state);
        if let Some(until_ms) = ejected {
            let for_ms = until_ms.saturating_sub(now_ms);
            log::warn!(
                target: "backend",
                "ejected {} for {for_ms} ms after repeated failures",
                backend.entry.id,
            );
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn add(&mut self, entry: BackendEntry) {
        let id = entry.id.clone();
        let group = self
            .services
            .entry(entry.service.clone())
            .or_insert_with(|| ServiceGroup::new(self.spill.clone()));
        let backend = group.add(entry);
        self.backends.insert(id, backend);
    }

    fn remove(&mut self, id: &BackendId) {
        let Some(backend) = self.backends.remove(id) else {
            return;
        };
        backend.availability.set_draining(true);
        self.prefixes.remove(id);
        if let Some(group) = self.services.get_mut(&backend.entry.service) {
            group.remove(&backend);
        }
    }

    /// Returns whether a request that was sent to the backend servers in `tried` may be sent to
    /// `backend`.
    pub(super) fn is_usable(&self, backend: &Backend, tried: &[BackendId], now_ms: u64) -> bool {
        backend.availability.accepts_requests(now_ms)
            && !tried.contains(&backend.entry.id)
            && !self.is_evacuated(backend)
    }

    /// Returns whether this router may send a request to a backend server that may be cold or have
    /// stated a limit.
    pub(super) fn bears_request(&self, backend: &Backend, now_ms: u64) -> bool {
        self.bears_cold_request(backend, now_ms) && self.is_within_stated_rate(backend, now_ms)
    }

    fn is_within_stated_rate(&self, backend: &Backend, now_ms: u64) -> bool {
        let sharers = RateSharers {
            own: &self.own_router,
            routers: &self.routers,
        };
        backend.with_rate_limit(|limit| limit.allows(sharers, &backend.entry.id, now_ms))
    }

    fn bears_cold_request(&self, backend: &Backend, now_ms: u64) -> bool {
        let rate_per_s = self.cold_rates_per_s.get(&backend.entry.service);
        let Some(&rate_per_s) = rate_per_s.filter(|_| backend.is_cold(now_ms)) else {
            return true;
        };
        let id = &backend.entry.id;
        let share = cold_rate_share(rate_per_s, &self.own_router, &self.routers, id);
        backend.with_cold_window(|window| window.allows(share, now_ms))
    }

    fn is_evacuated(&self, backend: &Backend) -> bool {
        self.evacuated_zones.contains(&backend.entry.zone)
    }
}

impl BackendEntry {
    /// Returns whether both entries describe the same incarnation at the same address.
    fn is_same_incarnation(&self, other: &Self) -> bool {
        self.started_at_ms == other.started_at_ms
            && self.version == other.version
            && self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
    }

    /// Returns whether this is the registration of a later incarnation, which has the name or the
    /// address of `other`.
    pub(crate) fn replaces(&self, other: &Self) -> bool {
        if self.id == other.id {
            return self.started_at_ms > other.started_at_ms;
        }
        self.address == other.address
    }
}
