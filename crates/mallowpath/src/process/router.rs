//! The router process, which serves callers and holds connections to sidecars and other routers.
//!
//! Every table has its own lock, and no task holds two of them at once.

use crate::{
    backend_host::sidecar_join::leave,
    billing::router_billing::RouterBilling,
    budget::budgets::Budgets,
    config::config_task,
    config::configuration::{Configuration, set_config_gauges},
    config::fleet::FleetConfig,
    error::Result,
    id::{BackendId, Incarnation, RequestId, Version},
    keys::shard_registry::KeyShardRegistry,
    membership::members::Join,
    membership::members_follower::MembersFollower,
    membership::peer_connections::PeerConnections,
    membership::reclaim_registry::ReclaimRegistry,
    memory::{buffer_budget::BufferBudget, connection_limiter::ConnectionLimiter},
    peer::dialer::Dialer,
    peer::link_tasks::{LinkLimits, accept_links},
    process::admin::{AdminHooks, bind, serve_admin},
    process::http_listener::{HttpLimits, serve_listener},
    process::in_flight::InFlightCounter,
    process::router_peers::endpoint,
    process::settings::{HostSettings, RouterSettings},
    quarantine::router_quarantine::RouterQuarantine,
    request::http_api,
    request::refusal::Refusal,
    request::request_run::RequestRun,
    request::router_admission::RouterAdmission,
    routing::order_task::OrderCoordinator,
    routing::route::RouteSettings,
    routing::route_tables::{ChosenBackend, RouteTables},
    stream::host_client::{HostClient, HostClientSettings, HostList},
    stream::log_client::{LogClient, LogClientSettings},
};
use metrics::gauge;
use serde_json::{Value, json};
use std::{
    fmt::{self, Display},
    net::SocketAddr,
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{net::TcpListener, sync::watch};
use tokio_util::sync::CancellationToken;

/// Delay before a drained router ends, so that its last answers leave the sockets.
const SOCKET_FLUSH_MS: u64 = 200;

/// The state of a router, shared by its tasks.
pub struct Router {
    pub(crate) settings: RouterSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) log: LogClient,
    pub(crate) dialer: Arc<Dialer>,
    pub(crate) in_flight: InFlightCounter,
    /// The memory for bodies and messages.
    pub(crate) buffers: Arc<BufferBudget>,
    pub(crate) configuration: Configuration,
    pub(crate) budgets: Budgets,
    pub(crate) bills: RouterBilling,
    pub(crate) admission: Arc<RouterAdmission>,
    pub(crate) quarantine: Arc<RouterQuarantine>,
    pub(crate) orders: OrderCoordinator,
    pub(crate) keys: KeyShardRegistry,
    routes: RouteTables,
    pub(crate) members: MembersFollower,
    pub(crate) reclaims: ReclaimRegistry,
    pub(crate) peer_connections: PeerConnections,
    hosts: watch::Receiver<Arc<HostList>>,
    /// Whether a configuration has been loaded.
    config_loaded: AtomicBool,
    draining: AtomicBool,
    /// Cancelled to close each caller's connection after the answer in progress.
    closing: CancellationToken,
    /// Cancelled once the process has drained and may end.
    ended: CancellationToken,
}

/// The addresses at which a router listens.
#[derive(Debug, Clone, Copy)]
pub struct RouterAddresses {
    /// The listener for callers.
    pub callers: SocketAddr,
    /// The listener for sidecars and other routers.
    pub peers: SocketAddr,
    /// The listener for operators and the load balancer.
    pub admin: SocketAddr,
}

impl Display for RouterAddresses {
    /// Writes one line of JSON, which the process prints once it has started.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            callers,
            peers,
            admin,
        } = self;
        write!(
            f,
            r#"{{"callers":"{callers}","peers":"{peers}","admin":"{admin}"}}"#
        )
    }
}

impl Router {
    /// Starts the process and returns it with the addresses at which it listens.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound, or when neither the log service nor a peer provides a
    /// configuration.
    pub async fn start(settings: RouterSettings) -> Result<(Arc<Self>, RouterAddresses)> {
        let (callers, callers_address) =
            bind(settings.callers_listen, "listen for callers").await?;
        let (peers, peers_address) = bind(settings.host.peer_listen, "listen for peers").await?;
        let (admin, admin_address) =
            bind(settings.host.admin_listen, "listen for operators").await?;
        let incarnation = Incarnation::random();
        let log = LogClient::new(settings.host.log_service, LogClientSettings::default());
        let hosts = watch_host_list(&settings.host);
        let router = Arc::new_cyclic(|weak: &Weak<Self>| {
            let endpoint = endpoint(weak, &settings, incarnation, [peers_address, admin_address]);
            Self {
                incarnation,
                log: log.clone(),
                dialer: Dialer::new(endpoint),
                in_flight: InFlightCounter::default(),
                buffers: BufferBudget::new(settings.host.limits.buffer_max_bytes()),
                configuration: Configuration::default(),
                budgets: Budgets::new(incarnation),
                bills: RouterBilling::new(incarnation, &settings.tuning),
                keys: KeyShardRegistry::new(incarnation, &settings.tuning),
                admission: RouterAdmission::new(settings.tuning.max_waiting),
                quarantine: RouterQuarantine::new(),
                routes: RouteTables::new(settings.host.zone.clone(), RouteSettings::default()),
                orders: OrderCoordinator::default(),
                members: MembersFollower::new(log.clone()),
                reclaims: ReclaimRegistry::default(),
                peer_connections: PeerConnections::default(),
                hosts,
                config_loaded: AtomicBool::new(false),
                draining: AtomicBool::new(false),
                closing: CancellationToken::new(),
                ended: CancellationToken::new(),
                settings,
            }
        });
        serve_admin(admin, router.hooks(), &router.settings.host.limits);
        config_task::load(&router).await?;
        router.config_loaded.store(true, Ordering::Relaxed);
        router.spawn_tasks(callers, peers, peers_address);
        let addresses = RouterAddresses {
            callers: callers_address,
            peers: peers_address,
            admin: admin_address,
        };
        log::info!("router {incarnation} serves callers at {callers_address}");
        Ok((router, addresses))
    }

    /// Spawns the listeners and the background tasks.
    fn spawn_tasks(
        self: &Arc<Self>,
        callers: TcpListener,
        peers: TcpListener,
        peers_address: SocketAddr,
    ) {
        let app = http_api::routes(Arc::clone(self));
        let limits = &self.settings.host.limits;
        let http_limits = HttpLimits {
            header_timeout_ms: self.settings.tuning.header_timeout_ms,
            ..HttpLimits::default()
        };
        tokio::spawn(serve_listener(
            callers,
            app,
            http_limits,
            ConnectionLimiter::new("callers", limits.callers_max()),
            self.closing.clone(),
        ));
        let router = Arc::clone(self);
        let on_accept = move |link| {
            let router = Arc::clone(&router);
            async move { router.watch_peer(link).await }
        };
        tokio::spawn(accept_links(
            peers,
            self.dialer.endpoint().clone(),
            LinkLimits::new("peers", limits, &self.buffers),
            on_accept,
        ));
        tokio::spawn(Arc::clone(self).follow_host_list());
        tokio::spawn(config_task::follow(Arc::clone(self)));
        tokio::spawn(crate::budget::slice_exchange::run_exchange(Arc::clone(
            self,
        )));
        tokio::spawn(crate::budget::limit_sync::run(Arc::clone(self)));
        tokio::spawn(crate::billing::router_billing::flush(Arc::clone(self)));
        tokio::spawn(Arc::clone(&self.admission).run_expiry());
        tokio::spawn(Arc::clone(&self.quarantine).run_evaluation());
        tokio::spawn(crate::routing::order_task::coordinate(Arc::clone(self)));
        tokio::spawn(Arc::clone(self).follow_members(peers_address));
        tokio::spawn(crate::membership::reclaim_task::watch_lost_routers(
            Arc::clone(self),
        ));
        tokio::spawn(crate::keys::shard_assignment::maintain_key_shards(
            Arc::clone(self),
        ));
    }

    /// Starts a graceful shutdown: refuses new work, and lets the process end once no request is in
    /// progress and bills and slices are settled.
    ///
    /// Callers' connections stay open for `drain_notice_ms`, until the load balancer has noticed.
    /// Later calls have no effect.
    pub fn drain(self: &Arc<Self>) {
        if self.draining.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!("draining, {} requests go on", self.in_flight.count());
        let router = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(
                router.settings.tuning.drain_notice_ms,
            ))
            .await;
            router.closing.cancel();
            router.in_flight.idle().await;
            crate::billing::router_billing::wait_until_logged(&router).await;
            crate::budget::budgets::return_all(&router).await;
            leave(&router.log, router.incarnation).await;
            tokio::time::sleep(Duration::from_millis(SOCKET_FLUSH_MS)).await;
            log::info!("drained");
            router.ended.cancel();
        });
    }

    /// Waits until the process has drained.
    pub async fn drained(&self) {
        self.ended.cancelled().await;
    }

    /// Returns whether a graceful shutdown has started.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns the configuration in force.
    pub fn fleet(&self) -> Arc<FleetConfig> {
        self.configuration.fleet()
    }

    /// Returns the version of the configuration in force.
    pub fn config_version(&self) -> Version {
        self.configuration.version()
    }

    /// Returns how long ago the configuration in force was last confirmed as the newest, in
    /// milliseconds.
    ///
    /// Returns `None` if it never was.
    pub fn config_age_ms(&self) -> Option<u64> {
        self.configuration.confirmed_age_ms()
    }

    /// Returns whether the router is ready: it has a configuration and is not draining.
    pub fn is_ready(&self) -> bool {
        self.config_loaded.load(Ordering::Relaxed) && !self.is_draining()
    }

    /// Returns the number of backend servers that are connected and take work.
    pub fn connected_backends(&self) -> usize {
        self.routes.taking_work()
    }

    /// Returns the newest host list.
    pub(crate) fn hosts(&self) -> Arc<HostList> {
        Arc::clone(&self.hosts.borrow())
    }

    /// Returns a receiver of host list updates.
    pub(crate) fn host_updates(&self) -> watch::Receiver<Arc<HostList>> {
        self.hosts.clone()
    }

    /// Allocates the identifier of a new request.
    pub(crate) fn next_request(&self) -> RequestId {
        self.bills.open()
    }

    /// Allocates the identifier of a request that never runs and is not billed.
    pub(crate) fn unused_request(&self) -> RequestId {
        let id = self.bills.open();
        self.bills.abandon(id);
        id
    }

    /// Chooses a backend server for a request, other than the ones already tried.
    pub(crate) fn choose(
        &self,
        run: &RequestRun,
        tried: &[BackendId],
    ) -> std::result::Result<ChosenBackend, Refusal> {
        self.routes.choose(run, tried)
    }

    pub(crate) fn routes(&self) -> &RouteTables {
        &self.routes
    }

    /// Returns the state of the process as JSON.
    pub fn dump(&self) -> Value {
        json!({
            "role": "router",
            "host": self.settings.host.name,
            "zone": self.settings.host.zone,
            "region": self.settings.host.region,
            "incarnation": self.incarnation,
            "ready": self.is_ready(),
            "draining": self.is_draining(),
            "requests_in_progress": self.in_flight.count(),
            "buffered_bytes": self.buffers.used_bytes(),
            "buffered_max_bytes": self.buffers.max_bytes(),
            "config_version": self.config_version(),
            "config_author": self.configuration.author(),
            "config_age_ms": self.config_age_ms(),
            "hosts_version": self.hosts().version,
            "admission": self.admission.dump(),
            "quarantined_parts": self.quarantine.dump(),
            "routes": self.routes.dump(),
            "budgets": self.budgets.dump(),
            "bills": self.bills.dump(),
            "orders": self.orders.dump(),
            "members": self.members.dump(),
            "reclaims": self.reclaims.dump(),
            "keys": self.keys.dump(),
        })
    }

    fn hooks(self: &Arc<Self>) -> AdminHooks {
        AdminHooks::new(
            self,
            |process| process.is_ready(),
            |process| process.dump(),
            |process| process.set_gauges(),
            Self::drain,
        )
    }

    fn set_gauges(&self) {
        set_config_gauges(self.config_version(), self.config_age_ms());
        gauge!("mallowpath_ready").set(f64::from(u8::from(self.is_ready())));
        gauge!("mallowpath_buffered_bytes").set(self.buffers.used_bytes() as f64);
        gauge!("mallowpath_requests_in_progress").set(self.in_flight.count() as f64);
        gauge!("mallowpath_backends_taking_work").set(self.connected_backends() as f64);
    }

    /// Joins the membership and applies its events.
    async fn follow_members(self: Arc<Self>, address: SocketAddr) {
        let router = Arc::clone(&self);
        tokio::spawn(async move { router.members.join_router(router.own_join(address)).await });
        self.members
            .follow(|event| self.handle_members_event(event))
            .await;
    }

    /// Returns the membership record of this process.
    fn own_join(&self, address: SocketAddr) -> Join {
        Join {
            incarnation: self.incarnation.0,
            name: self.settings.host.name.to_string(),
            address: address.to_string(),
            zone: self.settings.host.zone.to_string(),
            router: true,
            ..Join::default()
        }
    }

    /// Returns whether a peer has an open connection that it dialled.
    pub(crate) fn is_open(&self, peer: Incarnation) -> bool {
        self.peer_connections.is_open(peer)
    }
}

/// Spawns the task that follows the host list, and returns its receiver.
fn watch_host_list(host: &HostSettings) -> watch::Receiver<Arc<HostList>> {
    let (sender, receiver) = watch::channel(Arc::default());
    let client = HostClient::new(host.host_list, HostClientSettings::default());
    tokio::spawn(async move { client.watch(sender).await });
    receiver
}

impl fmt::Debug for Router {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Router")
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}
