//! The state that all requests of the process share, its start and its graceful shutdown.
//!
//! No lock in this module is held while another one is acquired.

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
use mallowpath::{
    AdminHooks, BackendId, Result, ServiceId, WorkspaceId, serve_admin, serve_metrics,
};
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

/// How long before the end of the grace period the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// The part of the grace period that is reserved for returning unspent tokens.
const TOKEN_RETURN_TIME: Duration = Duration::from_millis(600);

/// The phases of a process, from normal operation through its shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The process accepts connections and requests.
    Serving,
    /// The process reports that it is not ready but accepts requests until the load balancer has
    /// noticed.
    Leaving,
    /// The process accepts no connections and closes idle ones.
    Closing,
}

/// A router that forwards requests to backend servers.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) head_codec: HeadCodec,
    /// The backend servers and their load.
    pub fleet: Fleet,
    pub(crate) local_budgets: Arc<LocalBudgets>,
    pub(crate) draws: Arc<DrawTask>,
    pub(crate) callers: Arc<CallerConnections>,
    transport: Arc<StoreTransport>,
    catalogue: RwLock<Option<Arc<Catalogue>>>,
    reloadable: RwLock<ReloadableSettings>,
    allowances: Mutex<HashMap<ServiceId, RetryAllowance>>,
    pub(crate) configuration_read: ReadTime,
    pub(crate) backends_read: ReadTime,
    phase: watch::Sender<Phase>,
    ended: Notify,
    started_at: Instant,
}

/// The settings that can be reloaded while the process runs.
#[derive(Debug, Clone)]
struct ReloadableSettings {
    seed_relays: Vec<SocketAddr>,
    retries: RetryAllowanceSettings,
    grace_ms: u64,
}

impl ReloadableSettings {
    fn new(settings: &GatewaySettings) -> Self {
        Self {
            seed_relays: settings.seed_relays(),
            retries: settings.retries.clone(),
            grace_ms: settings.grace_ms,
        }
    }
}

impl Gateway {
    /// Starts a router, which is ready once it has read configuration, backend servers and ledger.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Io`](mallowpath::Category::Io) if an address can't be bound, except
    /// for the address for metrics alone.
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
        // Port 0 in the settings stands for any free port, so the actual one is recorded.
        if let Ok(address) = callers.local_addr() {
            gateway.settings.listen.callers = address;
        }
        let gateway = Arc::new(gateway);
        serve_admin(ready, admin_hooks(&gateway));
        serve_admin(admin, admin_hooks(&gateway));
        if let Some(address) = listen_at.metrics {
            // A router without metrics can still serve requests, so this is not an error.
            match listen(address).await {
                Ok(listener) => serve_metrics(listener, admin_hooks(&gateway)),
                Err(error) => log::warn!(
                    target: "process",
                    "can't open the metrics port, continuing without it: {error}",
                ),
            }
        }
        tokio::spawn(serve_relay(relay, Arc::clone(&gateway.transport)));
        let configuration = watch_configuration(Arc::clone(&gateway), store.clone(), decoders);
        tokio::spawn(configuration);
        tokio::spawn(watch_backends(Arc::clone(&gateway), store, decoders));
        tokio::spawn(run_draw_task(Arc::clone(&gateway)));
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
            reloadable: RwLock::new(ReloadableSettings::new(&settings)),
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
            started_at: Instant::now(),
        }
    }

    /// Returns the address to which callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.settings.listen.callers
    }

    /// Returns the tokens that the router holds of a workspace's budget of `prepaid` tokens.
    pub fn holding(&self, workspace: &WorkspaceId, prepaid: u64) -> Holding {
        self.local_budgets
            .holding(workspace, prepaid, 0.0, Instant::now())
    }

    /// Applies the settings that can be reloaded: seed relays, retries and the grace period.
    ///
    /// Changes to other settings take effect when the process is restarted.
    pub fn reload(&self, settings: &GatewaySettings) {
        *self
            .reloadable
            .write()
            .unwrap_or_else(PoisonError::into_inner) = ReloadableSettings::new(settings);
        self.update_relays();
        log::info!(target: "process", "settings reloaded");
    }

    fn reloadable_settings(&self) -> ReloadableSettings {
        let settings = self.reloadable.read();
        settings.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Starts a graceful shutdown; further calls have no effect.
    pub fn drain(self: &Arc<Self>) {
        let has_started = self.phase.send_if_modified(|phase| {
            let is_serving = *phase == Phase::Serving;
            if is_serving {
                *phase = Phase::Leaving;
            }
            is_serving
        });
        if has_started {
            log::info!(target: "process", "draining");
            tokio::spawn(shut_down(Arc::clone(self)));
        }
    }

    /// Waits until the graceful shutdown is complete.
    pub async fn drained(&self) {
        self.ended.notified().await;
    }

    /// Returns whether the load balancer should send callers to this router.
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

    /// Puts a version of the configuration in force, unless the current one is as new or newer.
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
        log::info!(target: "configuration", "version {version} with {routes} routes is in force");
    }

    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.catalogue()
            .map_or_else(CallerLimits::default, |catalogue| catalogue.limits)
    }

    pub(crate) fn insert_backend(&self, entry: BackendEntry) {
        log::info!(
            target: "backend",
            "backend server {} of service {} is registered at {}{}",
            entry.id,
            entry.service,
            entry.address,
            if entry.draining { ", draining" } else { "" },
        );
        self.fleet.insert(entry);
    }

    pub(crate) fn remove_backend(&self, id: &BackendId) {
        log::info!(target: "backend", "removing backend server {id}");
        self.fleet.remove(id);
    }

    /// Returns the times since configuration, backend servers and ledger were read.
    pub(crate) fn ages(&self) -> Ages {
        Ages {
            configuration_ms: self.configuration_read.age_ms(),
            backends_ms: self.backends_read.age_ms(),
            ledger_ms: self.draws.ledger().age_ms(),
        }
    }

    /// Sets the relays to the hosts of backend servers with a sidecar, followed by the seed relays.
    pub(crate) fn update_relays(&self) {
        let port = self.settings.relay_port;
        let mut relays = Vec::new();
        for address in self.fleet.hosts_with_sidecar() {
            relays.push(SocketAddr::new(address.ip(), port));
        }
        relays.extend_from_slice(&self.reloadable_settings().seed_relays);
        self.transport.set_relays(relays);
    }

    /// Returns whether a budget has too few unspent tokens left for a request of `tokens`.
    pub(crate) fn is_spent(&self, workspace: &WorkspaceId, prepaid: u64, tokens: u64) -> bool {
        self.draws.spent(workspace).saturating_add(tokens) > prepaid
    }

    pub(crate) fn count_request(&self, service: &ServiceId) {
        self.with_allowance(service, RetryAllowance::count_request);
    }

    /// Returns whether a request of `service` may be retried, and counts the retry if so.
    pub(crate) fn take_retry(&self, service: &ServiceId) -> bool {
        self.with_allowance(service, RetryAllowance::try_retry)
    }

    fn with_allowance<T>(
        &self,
        service: &ServiceId,
        update: impl FnOnce(&mut RetryAllowance, u64) -> T,
    ) -> T {
        let now_ms = self.now_ms();
        let settings = self
            .reloadable_settings()
            .retries
            .router_share(self.fleet.routers());
        let mut allowances = self
            .allowances
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let allowance = allowances
            .entry(service.clone())
            .or_insert_with(|| RetryAllowance::new(settings.clone()));
        allowance.set_settings(settings);
        update(allowance, now_ms)
    }

    /// Returns the time since the process started, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
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

async fn run_draw_task(gateway: Arc<Gateway>) {
    let catalogue = || gateway.catalogue();
    let is_closing = || *gateway.phase.borrow() == Phase::Closing;
    let set_routers = |routers| gateway.fleet.set_routers(routers);
    let task = Arc::clone(&gateway.draws);
    run_draws(task, catalogue, is_closing, set_routers).await;
}

/// Shuts down gracefully.
///
/// Waits for the load balancer to notice, closes idle connections, waits for requests to end, and
/// returns the unspent tokens.
async fn shut_down(gateway: Arc<Gateway>) {
    let started_at = Instant::now();
    let end = started_at
        + Duration::from_millis(gateway.reloadable_settings().grace_ms)
            .saturating_sub(GRACE_MARGIN);
    sleep(Duration::from_millis(gateway.settings.notice_ms)).await;
    gateway.phase.send_replace(Phase::Closing);
    let serving_deadline = end.checked_sub(TOKEN_RETURN_TIME).unwrap_or(end);
    if timeout_at(serving_deadline.into(), gateway.callers.all_closed())
        .await
        .is_err()
    {
        let open = gateway.callers.count();
        log::warn!(
            target: "process",
            "shutdown deadline reached; ending with {open} connections open",
        );
    }
    if let Some(catalogue) = gateway.catalogue() {
        return_all(&gateway.draws, &catalogue, end).await;
    }
    log::info!(target: "process", "drained");
    gateway.ended.notify_one();
}

fn admin_hooks(gateway: &Arc<Gateway>) -> AdminHooks {
    AdminHooks::new(
        gateway,
        |gateway| gateway.is_ready(),
        |gateway| gateway.dump(),
        |gateway| gateway.set_gauges(),
        Gateway::drain,
    )
}
