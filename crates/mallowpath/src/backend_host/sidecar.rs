//! The sidecar process, through which every request to its backend server goes.
//!
//! Locks are taken in the order `runs`, `bills`, `backend_status`; no other lock is held with them.

use crate::{
    backend_host::backend_client::BackendClient,
    backend_host::load_poll::poll_load,
    backend_host::run_signals::Runs,
    backend_host::run_table::{RunSettings, RunTable},
    backend_host::sidecar_calls::serve_call,
    backend_host::sidecar_join::{join, leave},
    backend_host::sidecar_orders::SidecarOrders,
    billing::kept_bills::KeptBills,
    billing::pending_bills::BillWatermark,
    config::configuration::set_config_gauges,
    config::work_eligibility::{NoWorkReason, WorkEligibility},
    error::Result,
    id::{Incarnation, Version},
    membership::members::Join,
    membership::peer_connections::PeerConnections,
    memory::buffer_budget::BufferBudget,
    peer::link::{Endpoint, Link, now_ms},
    peer::link_tasks::{LinkLimits, accept_links},
    peer::wire::{Heartbeat, Hello, Load},
    process::admin::{AdminHooks, bind, serve_admin},
    process::in_flight::InFlightCounter,
    process::settings::SidecarSettings,
    routing::order::OrderSettings,
    stream::host_client::{HostClient, HostClientSettings},
    stream::log_client::{LogClient, LogClientSettings},
};
use metrics::gauge;
use serde_json::{Value, json};
use std::{
    collections::HashMap,
    fmt::{self, Display},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio_util::sync::CancellationToken;

/// Pause after each read of the host list, and between two checks for runs to cancel or evict.
const LOOP_PAUSE_MS: u64 = 200;
/// The answers of requests that have ended may take one of so many parts of the memory for buffers, beside it.
const KEPT_PARTS: usize = 4;
/// How long a read of the host list waits for a change, which bounds the age of a confirmation.
const HOST_LIST_WAIT_MS: u64 = 1000;

/// The state of a sidecar, shared by its tasks.
pub struct Sidecar {
    pub(crate) settings: SidecarSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) backend_client: BackendClient,
    pub(crate) orders: SidecarOrders,
    pub(crate) in_flight: InFlightCounter,
    /// The memory for messages of routers and for the bodies of requests that run.
    pub(crate) buffers: Arc<BufferBudget>,
    runs: Mutex<Runs>,
    bills: Mutex<KeptBills>,
    links: Mutex<Vec<Arc<Link>>>,
    pub(crate) router_connections: PeerConnections,
    backend_status: Mutex<BackendStatus>,
    draining: AtomicBool,
    /// Whether this sidecar's join was read back as valid; no work is taken before.
    joined: AtomicBool,
    log: LogClient,
    /// Cancelled once the process has drained and may end.
    pub(crate) ended: CancellationToken,
}

/// What a sidecar knows of its backend server.
#[derive(Debug, Default)]
struct BackendStatus {
    /// The newest load report and the time of its receipt, in milliseconds.
    load: Option<(Load, u64)>,
    eligibility: WorkEligibility,
}

/// The addresses at which a sidecar listens.
#[derive(Debug, Clone, Copy)]
pub struct SidecarAddresses {
    /// The listener for routers.
    pub peers: SocketAddr,
    /// The listener for operators and the platform.
    pub admin: SocketAddr,
}

impl Display for SidecarAddresses {
    /// Writes one line of JSON, which the process prints once it has started.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { peers, admin } = self;
        write!(f, r#"{{"peers":"{peers}","admin":"{admin}"}}"#)
    }
}

impl Sidecar {
    /// Starts the process and returns it with the addresses at which it listens.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound. While the log service is unavailable, the process runs
    /// but takes no work.
    pub async fn start(settings: SidecarSettings) -> Result<(Arc<Self>, SidecarAddresses)> {
        let (listener, address) = bind(settings.host.peer_listen, "listen for routers").await?;
        let (admin, admin_address) =
            bind(settings.host.admin_listen, "listen for operators").await?;
        let incarnation = Incarnation::random();
        let buffers = BufferBudget::new(settings.host.limits.buffer_max_bytes());
        let run_settings = RunSettings {
            keep_ms: settings.tuning.keep_answer_ms,
            keep_bytes: buffers.max_bytes() / KEPT_PARTS,
            max_running: usize::try_from(settings.tuning.max_running).unwrap_or(usize::MAX),
            ..RunSettings::default()
        };
        let order_settings = OrderSettings {
            server_checks_fences: settings.tuning.server_checks_fences,
            timeout_ms: settings.tuning.order_timeout_ms,
        };
        let sidecar = Arc::new(Self {
            incarnation,
            backend_client: BackendClient::new(settings.backend_address),
            orders: SidecarOrders::new(settings.backend_address, order_settings),
            in_flight: InFlightCounter::default(),
            buffers,
            runs: Mutex::new(Runs {
                table: RunTable::new(incarnation, run_settings, []),
                signals: HashMap::new(),
            }),
            bills: Mutex::new(KeptBills::default()),
            links: Mutex::new(Vec::new()),
            router_connections: PeerConnections::default(),
            backend_status: Mutex::new(BackendStatus::default()),
            draining: AtomicBool::new(false),
            joined: AtomicBool::new(false),
            log: LogClient::new(settings.host.log_service, LogClientSettings::default()),
            ended: CancellationToken::new(),
            settings,
        });
        let limits = &sidecar.settings.host.limits;
        serve_admin(admin, sidecar.hooks(), limits);
        let link_limits = LinkLimits::new("peers", limits, &sidecar.buffers);
        let endpoint = sidecar.endpoint(address, admin_address);
        tokio::spawn(Arc::clone(&sidecar).follow_host_list());
        let accepting = Arc::clone(&sidecar);
        let on_accept = move |link| {
            let sidecar = Arc::clone(&accepting);
            async move { sidecar.watch_router(link).await }
        };
        tokio::spawn(accept_links(listener, endpoint, link_limits, on_accept));
        tokio::spawn(Arc::clone(&sidecar).join(address));
        tokio::spawn(Arc::clone(&sidecar).expire_runs());
        tokio::spawn(poll_load(Arc::clone(&sidecar)));
        log::info!(
            "sidecar {incarnation} of backend server {} accepts connections at {address}",
            { &sidecar.settings.backend }
        );
        Ok((
            sidecar,
            SidecarAddresses {
                peers: address,
                admin: admin_address,
            },
        ))
    }

    /// Starts a graceful shutdown: refuses new work, waits for runs and for the logging of their
    /// bills, and then lets the process end.
    ///
    /// Later calls have no effect.
    pub fn drain(self: &Arc<Self>) {
        if self.draining.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!("draining, {} runs go on", self.in_flight.count());
        self.runs().table.leave();
        let sidecar = Arc::clone(self);
        tokio::spawn(async move {
            sidecar.in_flight.idle().await;
            sidecar.wait_for_bills().await;
            leave(&sidecar.log, sidecar.incarnation).await;
            log::info!("drained");
            sidecar.ended.cancel();
        });
    }

    /// Joins the membership and applies the fences that precede the join; work is taken afterwards.
    async fn join(self: Arc<Self>, address: SocketAddr) {
        let host = &self.settings.host;
        let own_join = Join {
            incarnation: self.incarnation.0,
            name: host.name.to_string(),
            address: address.to_string(),
            zone: host.zone.to_string(),
            service: self.settings.service.to_string(),
            previous: 0,
            router: false,
        };
        let fenced = join(&self.log, own_join).await;
        {
            let mut runs = self.runs();
            for target in fenced {
                runs.table.fence(target);
            }
        }
        self.joined.store(true, Ordering::Release);
        log::info!("joined the membership, taking work once the state is confirmed");
    }

    /// Waits until the process has drained.
    pub async fn drained(&self) {
        self.ended.cancelled().await;
    }

    /// Returns the incarnation of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the sidecar takes new work.
    pub fn accepting(&self) -> bool {
        if self.draining.load(Ordering::Relaxed) || !self.joined.load(Ordering::Acquire) {
            return false;
        }
        self.no_work().is_none()
    }

    /// Returns why the state of the backend server allows no new work, or `None` if it allows it.
    fn no_work(&self) -> Option<NoWorkReason> {
        let tuning = &self.settings.tuning;
        self.backend_status().eligibility.refusal(
            tuning.confirmation,
            tuning.unconfirmed_after_ms,
            now_ms(),
        )
    }

    /// Returns whether the readiness probe succeeds: the sidecar takes work or awaits its state.
    ///
    /// A sidecar that has not learned its state yet reports itself ready, as a host list that shows
    /// only ready hosts would otherwise never show it.
    fn is_ready(&self) -> bool {
        let awaits_state = self.backend_status().eligibility.is_never_confirmed()
            && !self.draining.load(Ordering::Relaxed);
        awaits_state || self.accepting()
    }

    /// Returns the state of the process as JSON.
    pub fn dump(&self) -> Value {
        let mut runs = Vec::new();
        let (running, kept_bytes) = {
            let locked = self.runs();
            for (id, signals) in &locked.signals {
                runs.push(json!({"request": id, "ended": signals.ended().is_some()}));
            }
            (locked.table.running(), locked.table.kept_bytes())
        };
        let bills = self.bills().count();
        let ready = self.is_ready();
        let no_work = self.no_work().map(|reason| reason.to_string());
        let eligibility = self.backend_status().eligibility.clone();
        let now_ms = now_ms();
        json!({
            "role": "sidecar",
            "host": self.settings.host.name,
            "zone": self.settings.host.zone,
            "incarnation": self.incarnation,
            "backend": self.settings.backend,
            "service": self.settings.service,
            "ready": ready,
            "draining": self.draining.load(Ordering::Relaxed),
            "joined": self.joined.load(Ordering::Relaxed),
            "running": running,
            "order_state_unknown": self.orders.is_state_unknown(),
            "kept_bytes": kept_bytes,
            "runs": runs,
            "bills_kept": bills,
            "config_version": eligibility.version(),
            "config_age_ms": eligibility.config_age_ms(now_ms),
            "backend_state": eligibility.backend_state(),
            "host_state": eligibility.host().map(|state| state.to_string()),
            "hosts_age_ms": eligibility.hosts_age_ms(now_ms),
            "no_work": no_work,
        })
    }

    pub(crate) fn links(&self) -> MutexGuard<'_, Vec<Arc<Link>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn runs(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn bills(&self) -> MutexGuard<'_, KeptBills> {
        self.bills.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores a load report of the backend server.
    pub(crate) fn set_load(&self, load: Load) {
        self.backend_status().load = Some((load, now_ms()));
    }

    fn backend_status(&self) -> MutexGuard<'_, BackendStatus> {
        self.backend_status
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
        let eligibility = self.backend_status().eligibility.clone();
        set_config_gauges(eligibility.version(), eligibility.config_age_ms(now_ms()));
        gauge!("mallowpath_ready").set(f64::from(u8::from(self.is_ready())));
        gauge!("mallowpath_takes_work").set(f64::from(u8::from(self.accepting())));
        gauge!("mallowpath_runs_in_progress").set(self.in_flight.count() as f64);
        gauge!("mallowpath_buffered_bytes").set(self.buffers.used_bytes() as f64);
        gauge!("mallowpath_bills_kept").set(self.bills().count() as f64);
    }

    fn endpoint(self: &Arc<Self>, address: SocketAddr, admin: SocketAddr) -> Endpoint {
        let sender = Arc::clone(self);
        let receiver = Arc::clone(self);
        let server = Arc::clone(self);
        Endpoint {
            hello: Hello {
                incarnation: self.incarnation.0,
                host: self.settings.host.name.to_string(),
                zone: self.settings.host.zone.to_string(),
                address: address.to_string(),
                backend: self.settings.backend.to_string(),
                service: self.settings.service.to_string(),
                admin: admin.to_string(),
            },
            settings: self.settings.timing.link(),
            heartbeat: Arc::new(move |peer| sender.heartbeat(peer)),
            on_heartbeat: Arc::new(move |link, heartbeat| {
                receiver.handle_heartbeat(link, &heartbeat);
            }),
            on_call: Arc::new(move |body, responder| {
                tokio::spawn(serve_call(Arc::clone(&server), body, responder));
            }),
        }
    }

    /// Returns the heartbeat to send to a peer.
    fn heartbeat(&self, peer: &Hello) -> Heartbeat {
        let accepting = self.accepting();
        let billed_elsewhere = self.bills().billed_elsewhere(Incarnation(peer.incarnation));
        let status = self.backend_status();
        let load = status.load.map(|(load, at_ms)| Load {
            age_ms: load.age_ms + now_ms().saturating_sub(at_ms),
            ..load
        });
        Heartbeat {
            config_version: status.eligibility.version().0,
            accepting,
            load,
            ordered: self.orders.ordered(),
            billed_elsewhere,
            ..Heartbeat::default()
        }
    }

    /// Applies a router's heartbeat: its logged bills, its closed grants and its configuration.
    ///
    /// The sidecar keeps the newest configuration that any router knows and when it was confirmed.
    fn handle_heartbeat(&self, link: &Link, heartbeat: &Heartbeat) {
        let mut bills = self.bills();
        bills.logged_below(BillWatermark {
            router: link.peer_incarnation(),
            logged_below: heartbeat.bills_logged_below,
        });
        bills.forget_grants(&heartbeat.closed());
        drop(bills);
        if link.peer().host.is_empty() {
            // An operator's tool sends no host name and has no configuration.
            return;
        }
        let version = Version(heartbeat.config_version);
        let (answer, asked_at_ms) = heartbeat.configuration();
        let changed = self.backend_status().eligibility.record_router_answer(
            version,
            &heartbeat.backend_state,
            answer,
            asked_at_ms,
        );
        if changed {
            log::info!(
                "{} reports configuration {version}, backend server {:?}",
                link.remote(),
                heartbeat.backend_state
            );
        }
    }

    /// Follows the state that the host list shows for this host.
    async fn follow_host_list(self: Arc<Self>) {
        let host = &self.settings.host;
        let client = HostClient::new(
            host.host_list,
            HostClientSettings {
                long_poll_ms: HOST_LIST_WAIT_MS,
                ..HostClientSettings::default()
            },
        );
        let mut since = None;
        let mut shown = None;
        loop {
            let asked_at_ms = now_ms();
            match client.read(since).await {
                Ok(list) => {
                    if since != Some(list.version) {
                        since = Some(list.version);
                        shown = list.state_of(&host.name);
                    }
                    if self
                        .backend_status()
                        .eligibility
                        .record_host_list(shown, asked_at_ms)
                    {
                        log::info!("the host list shows this host as {shown:?}");
                    }
                }
                Err(error) => log::warn!("reading the host list failed, retrying: {error}"),
            }
            // Bounds the rate of reads when the platform answers at once or not at all.
            tokio::time::sleep(Duration::from_millis(LOOP_PAUSE_MS)).await;
        }
    }

    /// Cancels runs without an attached router and evicts old answers, at regular intervals.
    async fn expire_runs(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(LOOP_PAUSE_MS)).await;
            let mut runs = self.runs();
            let now_ms = now_ms();
            runs.table.evict_ended(now_ms);
            for id in runs.table.take_orphans(now_ms) {
                log::warn!("no router is attached to run {id}, cancelling it");
                if let Some(signals) = runs.signals.get(&id) {
                    signals.stop.cancel();
                }
            }
            let Runs { table, signals } = &mut *runs;
            signals.retain(|id, _| table.holds(*id));
        }
    }
}

impl fmt::Debug for Sidecar {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sidecar")
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}
