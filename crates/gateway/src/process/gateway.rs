//! The state that all requests of the process share, its start and its graceful shutdown.
//!
//! No lock in this module is held while another one is acquired.

use super::{
    former_configurations::FormerConfigurations,
    grace_period::GracePeriod,
    peer_messages::handle_peer_message,
    phase::Phase,
    relay::serve_relay,
    router_directory::RouterDirectory,
    settings::GatewaySettings,
    shutdown::{ShutdownTimes, shut_down},
    sidecar::listen,
    state_dump::admin_hooks,
    store::Store,
    store_transport::StoreTransport,
    tasks::{TaskInputs, start_tasks},
    topic_reads::{KnownSpan, TopicReads},
    watch::Decoders,
};
use crate::{
    budget::{BudgetShards, Holding, KeeperClient, RemoteReservations, endpoint},
    connection::{CallerConnections, serve_callers},
    host_load::HostLoad,
    placement::{BackendEntry, BackendRegistry, RetryLimiter, RetryLimiterSettings},
    quarantine::SharedQuarantine,
    request::{HeadCodec, StateAges, body_memory_bytes},
    stream_origin::StreamOrigins,
    version::{CallerLimits, Configuration, Route},
};
use mallowpath::{
    BackendId, BackendVersion, BufferBudget, Hello, LinkLimits, Result, ServiceId, WorkspaceId,
    accept_links, serve_admin, serve_metrics,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    net::TcpListener,
    sync::{Notify, watch},
    time::sleep,
};

/// Time after its start in which a router loads what it needs if it reaches the store at all.
const LOAD_TIME: Duration = Duration::from_secs(2);

/// Time for which a request waits at a router that loads what it needs.
const LOAD_WAIT_MAX: Duration = Duration::from_millis(60);

/// Interval between checks whether the router is loaded.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A router that forwards requests to backend servers.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) head_codec: HeadCodec,
    /// The backend servers and their load.
    pub backends: BackendRegistry,
    pub(crate) budgets: BudgetShards,
    /// The routers of the fleet.
    pub directory: Arc<RouterDirectory>,
    pub(crate) keeper_client: Arc<KeeperClient>,
    /// Reservations of other routers at the budgets that this router keeps.
    pub remote_reservations: RemoteReservations,
    /// The prompt parts that end backend servers.
    pub(crate) quarantine: SharedQuarantine,
    /// Which backend servers began streams.
    pub(crate) stream_origins: Arc<StreamOrigins>,
    /// Identifies this process to other routers.
    hello: Hello,
    pub(crate) callers: CallerConnections,
    /// The memory for bodies, answers and messages.
    pub(crate) buffers: Arc<BufferBudget>,
    /// How much of what the host can carry is used.
    pub(crate) host_load: Arc<HostLoad>,
    transport: Arc<StoreTransport>,
    configuration: RwLock<Option<Arc<Configuration>>>,
    former_configurations: FormerConfigurations,
    /// When the configuration was put in force, in milliseconds since the start.
    configured_at_ms: AtomicU64,
    reloadable: RwLock<ReloadableSettings>,
    retry_limiters: Mutex<HashMap<ServiceId, RetryLimiter>>,
    pub(crate) configuration_reads: Arc<TopicReads>,
    pub(crate) backends_reads: Arc<TopicReads>,
    pub(super) phase: watch::Sender<Phase>,
    /// Which requests end before the process does.
    pub(crate) grace_period: GracePeriod,
    /// Notified when the graceful shutdown is complete.
    pub(super) ended: Notify,
    started_at: Instant,
}

/// The settings that can be reloaded while the process runs.
#[derive(Debug, Clone)]
struct ReloadableSettings {
    seed_relays: Vec<SocketAddr>,
    retries: RetryLimiterSettings,
    shutdown_grace_ms: u64,
}

impl ReloadableSettings {
    fn new(settings: &GatewaySettings) -> Self {
        Self {
            seed_relays: settings.seed_relays(),
            retries: settings.retries.clone(),
            shutdown_grace_ms: settings.shutdown_grace_ms,
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
        let peers = listen(listen_at.peers).await?;
        let mut settings = settings;
        // Port 0 in the settings stands for any free port, so the actual one is recorded.
        if let Ok(address) = callers.local_addr() {
            settings.listen.callers = address;
        }
        if let Ok(address) = peers.local_addr() {
            settings.listen.peers = address;
        }
        let gateway = Arc::new(Self::new(settings, head_codec, &store, transport));
        let limits = gateway.settings.limits;
        serve_admin(ready, admin_hooks(&gateway), &limits);
        serve_admin(admin, admin_hooks(&gateway), &limits);
        if let Some(address) = listen_at.metrics {
            // A router without metrics can still serve requests, so this is not an error.
            match listen(address).await {
                Ok(listener) => serve_metrics(listener, admin_hooks(&gateway), &limits),
                Err(error) => log::warn!(
                    target: "process",
                    "can't open the metrics port, continuing without it: {error}",
                ),
            }
        }
        let link_limits = LinkLimits::new("relay", &limits, &gateway.buffers);
        let transport = Arc::clone(&gateway.transport);
        tokio::spawn(serve_relay(relay, transport, link_limits));
        start_tasks(&TaskInputs {
            gateway: Arc::clone(&gateway),
            store,
            decoders,
        });
        serve_peers(&gateway, peers);
        tokio::spawn(run_draw_tasks(Arc::clone(&gateway)));
        tokio::spawn(serve_callers(Arc::clone(&gateway), callers));
        log::info!(target: "process", "router on {} started", gateway.settings.host);
        Ok(gateway)
    }

    fn new(
        settings: GatewaySettings,
        head_codec: HeadCodec,
        store: &Store,
        transport: Arc<StoreTransport>,
    ) -> Self {
        let directory = Arc::new(RouterDirectory::new(Arc::clone(&settings.account)));
        let budgets = BudgetShards::new(
            store,
            &settings.account,
            &settings.draw_settings,
            &directory,
        );
        let hello = Hello {
            incarnation: rand::random(),
            host: settings.host.to_string(),
            zone: settings.zone.to_string(),
            address: settings.listen.peers.to_string(),
            ..Hello::default()
        };
        let account = Arc::clone(&settings.account);
        let host_load = HostLoad::new(account, settings.link_rate, settings.processor);
        let stream_origins = StreamOrigins::new(Arc::clone(&settings.account), store.clone());
        let reregistration_time = Duration::from_millis(settings.reregistration_timeout_ms);
        let buffers = BufferBudget::new(settings.limits.buffer_max_bytes());
        let callers_max = settings.limits.callers_max();
        let backends = BackendRegistry::new(settings.zone.clone());
        if let Some(cost_ms) = settings.zone_crossing_cost_ms {
            backends.set_zone_crossing_cost(cost_ms);
        }
        Self {
            backends,
            reloadable: RwLock::new(ReloadableSettings::new(&settings)),
            keeper_client: KeeperClient::new(
                Arc::clone(&directory),
                hello.clone(),
                settings.keeper_settings,
            ),
            settings,
            head_codec,
            budgets,
            directory,
            remote_reservations: RemoteReservations::default(),
            quarantine: SharedQuarantine::default(),
            stream_origins: Arc::new(stream_origins),
            hello,
            callers: CallerConnections::new(callers_max),
            buffers,
            host_load: Arc::new(host_load),
            transport,
            configuration: RwLock::default(),
            former_configurations: FormerConfigurations::default(),
            configured_at_ms: AtomicU64::new(0),
            retry_limiters: Mutex::default(),
            configuration_reads: Arc::new(TopicReads::new(Duration::ZERO)),
            backends_reads: Arc::new(TopicReads::new(reregistration_time)),
            phase: watch::Sender::new(Phase::Serving),
            grace_period: GracePeriod::default(),
            ended: Notify::new(),
            started_at: Instant::now(),
        }
    }

    /// Returns the address to which callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.settings.listen.callers
    }

    /// Returns the address to which other routers connect.
    pub fn peers_address(&self) -> SocketAddr {
        self.settings.listen.peers
    }

    /// Returns the tokens that the router holds of a workspace's budget of `prepaid` tokens.
    pub fn holding(&self, workspace: &WorkspaceId, prepaid: u64) -> Holding {
        self.budgets.holding(workspace, prepaid)
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

    /// Returns the time from the termination signal to the end of the process.
    fn shutdown_grace(&self) -> Duration {
        Duration::from_millis(self.reloadable_settings().shutdown_grace_ms)
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
            let times = ShutdownTimes::new(Instant::now(), self.shutdown_grace());
            self.grace_period.begin(times.service_end);
            self.directory.stop_keeping();
            tokio::spawn(shut_down(Arc::clone(self), times));
        }
    }

    /// Waits until the graceful shutdown is complete.
    pub async fn wait_until_drained(&self) {
        self.ended.notified().await;
    }

    /// Returns whether the load balancer should send callers to this router.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
            && self.is_loaded()
            && !self.host_load.is_out_of_rotation()
    }

    /// Waits until a router that has just started has read what it needs to serve requests, for a short
    /// time at most.
    pub(crate) async fn wait_until_loaded(&self) {
        let until = (Instant::now() + LOAD_WAIT_MAX).min(self.started_at + LOAD_TIME);
        while !self.is_loaded() && Instant::now() < until {
            sleep(LOAD_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether configuration, backend servers and ledger were read.
    fn is_loaded(&self) -> bool {
        self.configuration().is_some()
            && self.backends_reads.span().is_some()
            && self.budgets.is_loaded()
    }

    pub(crate) fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        let configuration = self.configuration.read();
        configuration
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the routes from `host` and `path` of the configurations that are in force or were lately.
    pub(crate) fn recent_routes(&self, host: &str, path: &str) -> Vec<Arc<Route>> {
        let mut routes = self.former_configurations.routes(host, path);
        let configuration = self.configuration();
        routes.extend(configuration.and_then(|current| current.route(host, path).cloned()));
        routes
    }

    /// Puts a version of the configuration in force, unless the current one is as new or newer.
    pub(crate) fn set_configuration(&self, configuration: Configuration) {
        let version = configuration.version;
        let routes = configuration.route_count();
        let cold_rates_per_s = configuration.cold_rates_per_s();
        let old = self.configuration();
        if old.as_ref().is_some_and(|old| old.version >= version) {
            return;
        }
        if let Some(old) = old {
            self.former_configurations.push(old);
        }
        self.check_body_limit(&configuration);
        let mut current = self
            .configuration
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        // Set first, so that no request takes the new configuration for one that has long been in force.
        self.configured_at_ms
            .store(self.now_ms(), Ordering::Relaxed);
        *current = Some(Arc::new(configuration));
        drop(current);
        self.backends.set_cold_rates(cold_rates_per_s);
        log::info!(target: "configuration", "version {version} with {routes} routes is in force");
    }

    /// Logs that there is no memory for the largest bodies that a configuration allows.
    fn check_body_limit(&self, configuration: &Configuration) {
        let body_max_bytes = configuration.limits.body_max_bytes;
        let memory_bytes = body_memory_bytes(&self.buffers);
        if usize::try_from(body_max_bytes).is_ok_and(|max_bytes| max_bytes <= memory_bytes) {
            return;
        }
        log::warn!(
            target: "memory",
            "bodies of {body_max_bytes} bytes are allowed, but there is no memory for more than \
             {memory_bytes} bytes",
        );
    }

    /// Returns the prepaid tokens of a workspace; `None` if it has no limited budget.
    pub(crate) fn prepaid(&self, workspace: &WorkspaceId) -> Option<u64> {
        let configuration = self.configuration()?;
        configuration.workspace_by_id(workspace)?.prepaid
    }

    /// Returns since when the configuration has been in force, and when it was last read; `None` before the
    /// first read.
    pub(crate) fn configuration_in_force(&self) -> Option<KnownSpan> {
        let configured_at_ms = self.configured_at_ms.load(Ordering::Relaxed);
        Some(KnownSpan {
            since: self.started_at + Duration::from_millis(configured_at_ms),
            as_of: self.configuration_reads.span()?.as_of,
        })
    }

    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.configuration()
            .map_or_else(CallerLimits::default, |configuration| configuration.limits)
    }

    pub(crate) fn insert_backend(&self, entry: BackendEntry) {
        log::info!(
            target: "backend",
            "backend server {} of service {}, version {}, is registered at {}{}",
            entry.id,
            entry.service,
            entry.version.as_ref().map_or("unknown", BackendVersion::as_str),
            entry.address,
            if entry.draining { ", draining" } else { "" },
        );
        let cold_until_ms = self.now_ms().saturating_add(entry.cold_remaining_ms);
        let id = entry.id.clone();
        self.backends.insert(entry);
        self.backends.set_cold_until(&id, cold_until_ms);
    }

    pub(crate) fn remove_backend(&self, id: &BackendId) {
        log::info!(target: "backend", "removing backend server {id}");
        self.backends.remove(id);
    }

    /// Returns the times since configuration, backend servers and any shard of the ledger were read.
    pub(crate) fn state_ages(&self) -> StateAges {
        StateAges {
            configuration_ms: self.configuration_reads.age_ms(),
            backends_ms: self.backends_reads.age_ms(),
            ledger_ms: self.budgets.age_ms(),
        }
    }

    /// Sets the relays to the hosts of backend servers with a sidecar, followed by the seed relays.
    pub(crate) fn update_relays(&self) {
        let port = self.settings.relay_port;
        let mut relays = Vec::new();
        for address in self.backends.hosts_with_sidecar() {
            relays.push(SocketAddr::new(address.ip(), port));
        }
        relays.extend_from_slice(&self.reloadable_settings().seed_relays);
        self.transport.set_relays(relays);
    }

    pub(crate) fn count_request(&self, service: &ServiceId) {
        self.with_retry_limiter(service, RetryLimiter::count_request);
    }

    /// Returns whether a request of `service` may be retried, and counts the retry if so.
    pub(crate) fn try_retry(&self, service: &ServiceId) -> bool {
        self.with_retry_limiter(service, RetryLimiter::try_retry)
    }

    fn with_retry_limiter<T>(
        &self,
        service: &ServiceId,
        update: impl FnOnce(&mut RetryLimiter, u64) -> T,
    ) -> T {
        let now_ms = self.now_ms();
        let settings = self
            .reloadable_settings()
            .retries
            .router_share(self.backends.router_count());
        let mut retry_limiters = self
            .retry_limiters
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let limiter = retry_limiters
            .entry(service.clone())
            .or_insert_with(|| RetryLimiter::new(settings.clone()));
        limiter.set_settings(settings);
        update(limiter, now_ms)
    }

    /// Returns the time since the process started, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Accepts connections of other routers, which reserve tokens.
fn serve_peers(gateway: &Arc<Gateway>, listener: TcpListener) {
    let handler = Arc::clone(gateway);
    let settings = gateway.settings.keeper_settings;
    let endpoint = endpoint(gateway.hello.clone(), settings, move |body, responder| {
        handle_peer_message(&handler, body, responder);
    });
    let limits = LinkLimits::new("peers", &gateway.settings.limits, &gateway.buffers);
    tokio::spawn(accept_links(listener, endpoint, limits, |_| async {}));
}

async fn run_draw_tasks(gateway: Arc<Gateway>) {
    let configuration = || gateway.configuration();
    let is_closing = || *gateway.phase.borrow() == Phase::Closing;
    gateway.budgets.run(configuration, is_closing).await;
}
