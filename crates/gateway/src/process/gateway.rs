//! The tables that all requests of the process share, and its life from start to end.
//!
//! Every lock in here is a leaf: no code takes a second one while it holds it.

use super::{
    read_time::ReadTime,
    relay::serve_relay,
    settings::GatewaySettings,
    store::Store,
    store_transport::StoreTransport,
    watch::{Decoders, listen, watch_backends, watch_configuration},
};
use crate::{
    budget::{DrawTask, Holding, LocalBudgets, return_all, run_draws},
    connection::{CallerConnections, serve_callers},
    placement::{BackendEntry, Fleet, RetryAllowance, RetryAllowanceSettings},
    request::{Ages, HeadCodec},
    version::{CallerLimits, Catalogue},
};
use mallowpath::{BackendId, Hooks, Result, ServiceId, WorkspaceId, serve_admin, serve_metrics};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError, RwLock},
    time::{Duration, Instant},
};
use tokio::{
    sync::{Notify, watch},
    time::{sleep, timeout_at},
};

/// How long before the end of the grace time the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(400);

/// How long giving back tokens may take at the end.
const RETURN_TIME: Duration = Duration::from_millis(600);

/// How far the process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// It takes requests while the balancer learns that it leaves.
    Leaving,
    /// It takes no new connection and closes those without a request.
    Closing,
}

/// A router that forwards requests to backend servers.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) head_codec: HeadCodec,
    /// The backend servers.
    pub fleet: Fleet,
    pub(crate) local_budgets: Arc<LocalBudgets>,
    pub(crate) draws: Arc<DrawTask>,
    pub(crate) callers: Arc<CallerConnections>,
    transport: Arc<StoreTransport>,
    catalogue: RwLock<Option<Arc<Catalogue>>>,
    live: RwLock<Live>,
    allowances: Mutex<HashMap<ServiceId, RetryAllowance>>,
    pub(crate) configuration_read: ReadTime,
    pub(crate) backends_read: ReadTime,
    phase: watch::Sender<Phase>,
    ended: Notify,
    started: Instant,
}

/// The settings that may change while the process runs.
#[derive(Debug, Clone)]
struct Live {
    seed_relays: Vec<SocketAddr>,
    retries: RetryAllowanceSettings,
    grace_ms: u64,
}

impl Live {
    fn new(settings: &GatewaySettings) -> Self {
        Self {
            seed_relays: settings.seed_relays(),
            retries: settings.retries.clone(),
            grace_ms: settings.grace_ms,
        }
    }
}

impl Gateway {
    /// Starts a router; it is ready once it has read the store.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Io`](mallowpath::Category::Io) when an address can't be bound.
    pub async fn start(
        settings: GatewaySettings,
        head_codec: HeadCodec,
        decoders: Decoders,
        store: Store,
        transport: Arc<StoreTransport>,
    ) -> Result<Arc<Self>> {
        let listen_at = settings.listen;
        let callers = listen(listen_at.callers).await?;
        let relay = listen(listen_at.relay).await?;
        let ready = listen(listen_at.ready).await?;
        let admin = listen(listen_at.admin).await?;
        let mut gateway = Self::new(settings, head_codec, store.clone(), transport);
        // Port 0 stands for any free one.
        if let Ok(address) = callers.local_addr() {
            gateway.settings.listen.callers = address;
        }
        let gateway = Arc::new(gateway);
        serve_admin(ready, hooks(&gateway));
        serve_admin(admin, hooks(&gateway));
        if let Some(address) = listen_at.metrics {
            // Requests are worth more than their metrics.
            match listen(address).await {
                Ok(listener) => serve_metrics(listener, hooks(&gateway)),
                Err(error) => log::warn!(target: "process", "no metrics port: {error}"),
            }
        }
        tokio::spawn(serve_relay(relay, Arc::clone(&gateway.transport)));
        let configuration = watch_configuration(Arc::clone(&gateway), store.clone(), decoders);
        tokio::spawn(configuration);
        tokio::spawn(watch_backends(Arc::clone(&gateway), store, decoders));
        tokio::spawn(draw(Arc::clone(&gateway)));
        tokio::spawn(serve_callers(Arc::clone(&gateway), callers));
        log::info!(target: "process", "router on {} started", gateway.settings.host);
        Ok(gateway)
    }

    fn new(
        settings: GatewaySettings,
        head_codec: HeadCodec,
        store: Store,
        transport: Arc<StoreTransport>,
    ) -> Self {
        let local_budgets = LocalBudgets::new();
        let draws = DrawTask::new(
            store,
            Arc::clone(&settings.account),
            Arc::clone(&local_budgets),
            settings.draws.clone(),
        );
        Self {
            fleet: Fleet::new(settings.zone.clone()),
            live: RwLock::new(Live::new(&settings)),
            settings,
            head_codec,
            local_budgets,
            draws: Arc::new(draws),
            callers: Arc::default(),
            transport,
            catalogue: RwLock::default(),
            allowances: Mutex::default(),
            configuration_read: ReadTime::default(),
            backends_read: ReadTime::default(),
            phase: watch::Sender::new(Phase::Serving),
            ended: Notify::new(),
            started: Instant::now(),
        }
    }

    /// Returns where callers connect to.
    pub fn callers_address(&self) -> SocketAddr {
        self.settings.listen.callers
    }

    /// Returns what the router holds of a budget of which `prepaid` tokens were paid.
    pub fn holding(&self, workspace: &WorkspaceId, prepaid: u64) -> Holding {
        self.local_budgets
            .holding(workspace, prepaid, 0.0, Instant::now())
    }

    /// Takes over settings that may change while the process runs: other routers to begin with,
    /// retries, and the time to end in. The others hold until it is started again.
    pub fn reload(&self, settings: &GatewaySettings) {
        *self.live.write().unwrap_or_else(PoisonError::into_inner) = Live::new(settings);
        self.renew_relays();
        log::info!(target: "process", "settings taken over");
    }

    fn live(&self) -> Live {
        let live = self.live.read();
        live.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Starts a graceful shutdown; further calls change nothing.
    pub fn drain(self: &Arc<Self>) {
        let started = self.phase.send_if_modified(|phase| {
            let serving = *phase == Phase::Serving;
            if serving {
                *phase = Phase::Leaving;
            }
            serving
        });
        if started {
            log::info!(target: "process", "draining");
            tokio::spawn(leave(Arc::clone(self)));
        }
    }

    /// Waits until the process has drained.
    pub async fn drained(&self) {
        self.ended.notified().await;
    }

    /// Tells whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
            && self.catalogue().is_some()
            && self.backends_read.age_ms().is_some()
            && self.draws.ledger().read().is_some()
    }

    pub(crate) fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    pub(crate) fn catalogue(&self) -> Option<Arc<Catalogue>> {
        let catalogue = self.catalogue.read();
        catalogue.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes over a version of the configuration, unless a newer one is in force.
    pub(crate) fn set_catalogue(&self, catalogue: Catalogue) {
        let version = catalogue.version;
        let routes = catalogue.route_count();
        let mut current = self
            .catalogue
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_some_and(|old| old.version >= version) {
            return;
        }
        *current = Some(Arc::new(catalogue));
        drop(current);
        log::info!(target: "configuration", "version {version} with {routes} routes in force");
    }

    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.catalogue()
            .map_or_else(CallerLimits::default, |catalogue| catalogue.limits)
    }

    pub(crate) fn set_backend(&self, entry: BackendEntry) {
        log::info!(
            target: "backend",
            "{} of {} at {}{}",
            entry.id,
            entry.service,
            entry.address,
            if entry.draining { ", draining" } else { "" },
        );
        self.fleet.insert(entry);
    }

    pub(crate) fn remove_backend(&self, id: &BackendId) {
        log::info!(target: "backend", "{id} gone");
        self.fleet.remove(id);
    }

    /// Returns how long ago configuration, backend servers and ledger were read.
    pub(crate) fn ages(&self) -> Ages {
        Ages {
            configuration_ms: self.configuration_read.age_ms(),
            backends_ms: self.backends_read.age_ms(),
            ledger_ms: self.draws.ledger().age_ms(),
        }
    }

    /// Takes over the hosts of backend servers as relays.
    pub(crate) fn renew_relays(&self) {
        let port = self.settings.relay_port;
        let mut relays = Vec::new();
        for address in self.fleet.hosts_with_sidecar() {
            relays.push(SocketAddr::new(address.ip(), port));
        }
        relays.extend_from_slice(&self.live().seed_relays);
        self.transport.set_relays(relays);
    }

    /// Tells whether so many tokens of a budget can't become free any more.
    pub(crate) fn is_spent(&self, workspace: &WorkspaceId, prepaid: u64, tokens: u64) -> bool {
        self.draws.spent(workspace).saturating_add(tokens) > prepaid
    }

    pub(crate) fn count_request(&self, service: &ServiceId) {
        self.with_allowance(service, RetryAllowance::count_request);
    }

    /// Takes leave for sending a request of `service` once more.
    pub(crate) fn take_retry(&self, service: &ServiceId) -> bool {
        self.with_allowance(service, RetryAllowance::try_retry)
    }

    fn with_allowance<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut RetryAllowance, u64) -> T,
    ) -> T {
        let now_ms = self.now_ms();
        let settings = self.live().retries.router_share(self.fleet.routers());
        let mut allowances = self
            .allowances
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let allowance = allowances
            .entry(service.clone())
            .or_insert_with(|| RetryAllowance::new(settings.clone()));
        allowance.set_settings(settings);
        act(allowance, now_ms)
    }

    /// Returns the milliseconds since the process started.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn set_gauges(&self) {
        metrics::gauge!("gateway_caller_connections").set(self.callers.count() as f64);
        metrics::gauge!("gateway_backends").set(self.fleet.len() as f64);
    }

    fn dump(&self) -> serde_json::Value {
        let catalogue = self.catalogue();
        serde_json::json!({
            "host": self.settings.host.as_str(),
            "zone": self.settings.zone.as_str(),
            "ready": self.is_ready(),
            "phase": format!("{:?}", *self.phase.borrow()),
            "version": catalogue.as_ref().map(|catalogue| catalogue.version),
            "routes": catalogue.as_ref().map(|catalogue| catalogue.route_count()),
            "backends": self.fleet.len(),
            "connections": self.callers.count(),
            "ledger_end": self.draws.ledger().read().as_ref().map(|ledger| ledger.end().0),
        })
    }
}

async fn draw(gateway: Arc<Gateway>) {
    let catalogue = || gateway.catalogue();
    let draining = || *gateway.phase.borrow() == Phase::Closing;
    let routers_changed = |routers| gateway.fleet.set_routers(routers);
    let task = Arc::clone(&gateway.draws);
    run_draws(task, catalogue, draining, routers_changed).await;
}

/// Leaves: first the balancer notices, then idle connections close, then requests end.
async fn leave(gateway: Arc<Gateway>) {
    let started = Instant::now();
    let end = started + Duration::from_millis(gateway.live().grace_ms).saturating_sub(END_MARGIN);
    sleep(Duration::from_millis(gateway.settings.notice_ms)).await;
    gateway.phase.send_replace(Phase::Closing);
    let served_until = end.checked_sub(RETURN_TIME).unwrap_or(end);
    if timeout_at(served_until.into(), gateway.callers.all_closed())
        .await
        .is_err()
    {
        let open = gateway.callers.count();
        log::warn!(target: "process", "ending with {open} connections open");
    }
    if let Some(catalogue) = gateway.catalogue() {
        return_all(&gateway.draws, &catalogue, end).await;
    }
    log::info!(target: "process", "drained");
    gateway.ended.notify_one();
}

fn hooks(gateway: &Arc<Gateway>) -> Hooks {
    Hooks::new(
        gateway,
        |gateway| gateway.is_ready(),
        |gateway| gateway.dump(),
        |gateway| gateway.set_gauges(),
        Gateway::drain,
    )
}
