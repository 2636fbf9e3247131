//! The routing tables of a router, one for each service, updated from its sidecar connections.

use crate::{
    id::{BackendId, HostId, ServiceId, Zone},
    peer::link::{Link, now_ms},
    peer::wire::Heartbeat,
    request::attempts::AttemptResult,
    request::refusal::{Code, Refusal},
    request::request_run::{Attempt, RequestRun},
    routing::backend::{Backend, BackendState, LoadReport},
    routing::outlier_ejection::{OutlierDetector, OutlierSettings},
    routing::route::{RouteRequest, RouteSettings, RouteTable},
    stream::host_client::{HostList, HostState},
};
use rand::random;
use serde_json::{Value, json};
use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// The backend servers that a router is connected to.
#[derive(Debug)]
pub(crate) struct RouteTables {
    zone: Zone,
    settings: RouteSettings,
    services: Mutex<HashMap<ServiceId, ServiceState>>,
    /// Hosts that are leaving according to the host list.
    leaving_hosts: Mutex<HashSet<HostId>>,
}

#[derive(Debug)]
struct ServiceState {
    table: RouteTable,
    links: HashMap<BackendId, Arc<Link>>,
    outliers: OutlierDetector,
    outlier_settings: OutlierSettings,
    /// When the slow start of the last ejected backend server ends; 0 if there is none.
    slow_start_ends_at_ms: u64,
}

/// The backend server chosen for a request, with the forecast that led to the choice.
#[derive(Debug)]
pub(crate) struct ChosenBackend {
    /// The backend server.
    pub(crate) backend: BackendId,
    /// The connection to its sidecar.
    pub(crate) link: Arc<Link>,
    /// The expected load and latency of the request there.
    pub(crate) forecast: Forecast,
}

/// The expected load and latency of a request at the time its backend server was chosen.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Forecast {
    /// The prefill time of the prompt.
    pub(crate) prefill_ms: f64,
    /// The number of requests on the backend server.
    pub(crate) load: f64,
    /// The time to the first token without queueing.
    pub(crate) unqueued_ms: f64,
}

impl RouteTables {
    /// Makes empty tables for a router in `zone`.
    pub(crate) fn new(zone: Zone, settings: RouteSettings) -> Self {
        Self {
            zone,
            settings,
            services: Mutex::new(HashMap::new()),
            leaving_hosts: Mutex::new(HashSet::new()),
        }
    }

    /// Adds the backend server behind a new connection to a sidecar.
    pub(crate) fn connection_opened(&self, link: &Arc<Link>) {
        let Some((service_id, backend_id)) = service_and_backend(link) else {
            log::warn!(
                "ignoring the sidecar at {}: it names no valid backend server and service",
                link.remote()
            );
            return;
        };
        let peer = link.peer();
        let (Ok(host), Ok(zone)) = (peer.host.parse::<HostId>(), peer.zone.parse::<Zone>()) else {
            log::warn!(
                "ignoring the sidecar at {}: it names no valid host and zone",
                link.remote()
            );
            return;
        };
        let mut services = self.services();
        let service = services.entry(service_id).or_insert_with(|| ServiceState {
            table: RouteTable::new(self.zone.clone(), self.settings.clone()),
            links: HashMap::new(),
            outliers: OutlierDetector::new(OutlierSettings::default()),
            outlier_settings: OutlierSettings::default(),
            slow_start_ends_at_ms: 0,
        });
        service.outliers.insert(&backend_id);
        service
            .table
            .insert(Backend::new(backend_id.clone(), host, zone));
        if let Some(backend) = service.table.get_mut(&backend_id) {
            // No requests before the first heartbeat, which shows whether the sidecar accepts them.
            backend.state = BackendState::Silent;
        }
        service.links.insert(backend_id, Arc::clone(link));
    }

    /// Stops using the backend server behind a connection to a sidecar that has ended.
    ///
    /// Ignores a connection that a newer one has replaced.
    pub(crate) fn connection_closed(&self, link: &Arc<Link>) {
        let Some((service_id, backend_id)) = service_and_backend(link) else {
            return;
        };
        let mut services = self.services();
        let Some(service) = services.get_mut(&service_id) else {
            return;
        };
        let current = service
            .links
            .get(&backend_id)
            .is_some_and(|registered| Arc::ptr_eq(registered, link));
        if !current {
            return;
        }
        service.links.remove(&backend_id);
        if let Some(backend) = service.table.get_mut(&backend_id) {
            backend.state = BackendState::Silent;
        }
    }

    /// Stops using the backend servers on hosts that are leaving.
    pub(crate) fn hosts_changed(&self, list: &HostList) {
        let mut leaving = HashSet::new();
        for host in &list.hosts {
            if host.state == HostState::Leaving {
                leaving.insert(host.name.clone());
            }
        }
        // Set first, so that no concurrent heartbeat makes a leaving backend server live again.
        self.leaving_hosts().clone_from(&leaving);
        for service in self.services().values_mut() {
            for backend in service.table.backends_mut() {
                if leaving.contains(&backend.sidecar) {
                    backend.state = BackendState::Leaving;
                }
            }
        }
    }

    /// Applies a heartbeat of a sidecar.
    ///
    /// `leaving` is true if the configuration takes its backend server out of service.
    pub(crate) fn apply_heartbeat(&self, link: &Arc<Link>, heartbeat: &Heartbeat, leaving: bool) {
        let Some((service_id, backend_id)) = service_and_backend(link) else {
            return;
        };
        let is_host_leaving = link
            .peer()
            .host
            .parse()
            .is_ok_and(|host: HostId| self.leaving_hosts().contains(&host));
        let mut services = self.services();
        let Some(service) = services.get_mut(&service_id) else {
            return;
        };
        if !service.links.contains_key(&backend_id) {
            return;
        }
        let Some(backend) = service.table.get_mut(&backend_id) else {
            return;
        };
        let ejected = matches!(backend.state, BackendState::Ejected { .. });
        if leaving || is_host_leaving || !heartbeat.accepting {
            backend.state = BackendState::Leaving;
        } else if !ejected {
            backend.state = BackendState::Live;
        }
        let Some(load) = heartbeat.load else { return };
        backend.apply_report(LoadReport {
            running: u64::from(load.running),
            waiting: u64::from(load.waiting),
            kv_used_tokens: load.kv_used_tokens,
            kv_total_tokens: load.kv_total_tokens,
            at_ms: now_ms().saturating_sub(load.age_ms),
        });
    }

    /// Removes backend servers that are not connected and whose sidecar is on none of `hosts`.
    pub(crate) fn forget_unlisted(&self, hosts: &HashSet<&HostId>) {
        for service in self.services().values_mut() {
            let mut unlisted = Vec::new();
            for backend in service.table.backends() {
                if !hosts.contains(&backend.sidecar) && !service.links.contains_key(&backend.id) {
                    unlisted.push(backend.id.clone());
                }
            }
            for id in unlisted {
                service.table.remove(&id);
                service.outliers.remove(&id);
            }
        }
    }

    /// Chooses a backend server for a request, other than those in `tried`.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the time to wait before a retry if no backend server takes work.
    pub(crate) fn choose(
        &self,
        run: &RequestRun,
        tried: &[BackendId],
    ) -> Result<ChosenBackend, Refusal> {
        let now_ms = now_ms();
        let mut services = self.services();
        let Some(service) = services.get_mut(&run.service.id) else {
            return Err(no_backend(run, self.settings.retry_after_ms));
        };
        service.restore_ejected(now_ms);
        let request = RouteRequest {
            prefix_hashes: &run.prefix_hashes,
            adapter: run.adapter.as_deref(),
            prompt_tokens: run.prompt_tokens,
            cap_tokens: run.cap_tokens,
            priority: run.workspace.priority,
            exclude: tried,
        };
        let choice = match service.table.choose(&request, now_ms, random()) {
            Ok(choice) => choice,
            Err(error) => return Err(no_backend(run, error.retry_after_ms)),
        };
        let Some(link) = service.links.get(&choice.backend.id) else {
            return Err(no_backend(run, self.settings.retry_after_ms));
        };
        let mut unqueued_ms = choice.prefill_ms + choice.backend.token_interval_ms(now_ms);
        if !choice.backend.has_adapter(run.adapter.as_deref()) {
            unqueued_ms += self.settings.adapter_load_ms;
        }
        Ok(ChosenBackend {
            backend: choice.backend.id.clone(),
            link: Arc::clone(link),
            forecast: Forecast {
                prefill_ms: choice.prefill_ms,
                load: choice.load,
                unqueued_ms,
            },
        })
    }

    /// Records a request that has just been submitted.
    pub(crate) fn submitted(&self, run: &RequestRun, backend: &BackendId, submitted_at_ms: u64) {
        self.with_backend(&run.service.id, backend, |backend| {
            backend.record_submission(&run.prefix_hashes, submitted_at_ms);
            if let Some(adapter) = &run.adapter {
                backend.adapters.insert(Arc::clone(adapter));
            }
        });
    }

    /// Records the time to the first token of a response.
    pub(crate) fn first_token(&self, run: &RequestRun, attempt: &Attempt, first_ms: u64) {
        let Forecast {
            prefill_ms, load, ..
        } = attempt.forecast;
        self.with_backend(&run.service.id, &attempt.backend, |backend| {
            backend.record_first_token(first_ms, prefill_ms, load, now_ms());
        });
    }

    /// Records the end of an attempt; `interval_ms` is the mean time between its tokens.
    pub(crate) fn attempt_ended(
        &self,
        run: &RequestRun,
        attempt: &Attempt,
        result: AttemptResult,
        interval_ms: Option<f64>,
    ) {
        let now_ms = now_ms();
        let mut services = self.services();
        let Some(service) = services.get_mut(&run.service.id) else {
            return;
        };
        if let Some(backend) = service.table.get_mut(&attempt.backend) {
            if let Some(interval_ms) = interval_ms {
                backend.record_token_interval(interval_ms, now_ms);
            }
            backend.record_end(attempt.submitted_at_ms, now_ms);
        }
        match result {
            AttemptResult::Success => service.outliers.success(&attempt.backend, now_ms),
            AttemptResult::Failure => service.record_failure(&attempt.backend, now_ms),
            AttemptResult::Neutral => {}
        }
    }

    /// Returns the routing tables for the state dump.
    pub(crate) fn dump(&self) -> Value {
        let now_ms = now_ms();
        let mut dump = serde_json::Map::new();
        for (service_id, service) in self.services().iter() {
            let mut backends = Vec::new();
            for backend in service.table.backends() {
                backends.push(json!({
                    "backend": backend.id,
                    "zone": backend.zone,
                    "state": format!("{:?}", backend.state),
                    "own_in_flight": backend.own_in_flight(),
                    "load": backend.load(now_ms),
                    "weight": backend.weight,
                    "connected": service.links.contains_key(&backend.id),
                }));
            }
            dump.insert(service_id.to_string(), Value::Array(backends));
        }
        Value::Object(dump)
    }

    /// Returns the connection to the sidecar of a backend server.
    pub(crate) fn link(&self, backend: &BackendId) -> Option<Arc<Link>> {
        for service in self.services().values() {
            if let Some(link) = service.links.get(backend) {
                return Some(Arc::clone(link));
            }
        }
        None
    }

    /// Returns the number of backend servers that may get new requests.
    pub(crate) fn taking_work(&self) -> usize {
        let now_ms = now_ms();
        let mut count = 0;
        for service in self.services().values() {
            for backend in service.table.backends() {
                count += usize::from(backend.takes_work(now_ms));
            }
        }
        count
    }

    fn with_backend(
        &self,
        service: &ServiceId,
        backend: &BackendId,
        change: impl FnOnce(&mut Backend),
    ) {
        let mut services = self.services();
        let Some(service) = services.get_mut(service) else {
            return;
        };
        if let Some(backend) = service.table.get_mut(backend) {
            change(backend);
        }
    }

    fn leaving_hosts(&self) -> MutexGuard<'_, HashSet<HostId>> {
        self.leaving_hosts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn services(&self) -> MutexGuard<'_, HashMap<ServiceId, ServiceState>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceState {
    fn record_failure(&mut self, id: &BackendId, now_ms: u64) {
        let Some(until_ms) = self.outliers.failure(id, now_ms) else {
            return;
        };
        metrics::counter!("mallowpath_ejections_total").increment(1);
        log::warn!(
            "backend server {id} fails, ejected for {} ms",
            until_ms - now_ms
        );
        self.slow_start_ends_at_ms = self
            .slow_start_ends_at_ms
            .max(until_ms + self.outlier_settings.slow_start_ms);
        if let Some(backend) = self.table.get_mut(id)
            && backend.state == BackendState::Live
        {
            backend.state = BackendState::Ejected { until_ms };
        }
    }

    /// Ends ejections that are over, and updates the weights during the slow start.
    fn restore_ejected(&mut self, now_ms: u64) {
        if self.slow_start_ends_at_ms == 0 {
            return;
        }
        if now_ms >= self.slow_start_ends_at_ms {
            self.slow_start_ends_at_ms = 0;
        }
        for backend in self.table.backends_mut() {
            backend.weight = self.outliers.weight(&backend.id, now_ms);
            if matches!(backend.state, BackendState::Ejected { until_ms } if now_ms >= until_ms) {
                backend.state = BackendState::Live;
            }
        }
    }
}

/// Returns the service and the backend server that the sidecar has named, if both are valid.
fn service_and_backend(link: &Link) -> Option<(ServiceId, BackendId)> {
    let peer = link.peer();
    Some((peer.service.parse().ok()?, peer.backend.parse().ok()?))
}

#[cold]
fn no_backend(run: &RequestRun, retry_after_ms: u64) -> Refusal {
    let text = format!("no backend server of {} takes work", run.service.id);
    Refusal::not_run(Code::NoBackend, text).with_retry_after(retry_after_ms)
}
