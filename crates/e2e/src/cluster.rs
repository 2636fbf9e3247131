//! A fleet of routers, sidecars and stand-ins in separate processes.

use crate::{
    BoxError, Network, Process, Program, Standin, call::MODEL, settings_file::SettingsFile,
};
use mallowpath::{BudgetId, LogClient, LogClientSettings, PeerTiming, Tokens};
use mallowpath_standins::{client, host_list, log_service, plain_service, simulated_engine};
use serde_json::{Value, json};
use std::{
    env, fs,
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// How long the routers may take to connect to all sidecars.
const READY_TIMEOUT_MS: u64 = 15_000;
const POLL_MS: u64 = 20;
/// The region of every host.
pub(crate) const REGION: &str = "local";
/// Shorter than the default, so that tests wait less for bills to reach the log.
pub(crate) const BILL_BATCH_MS: u64 = 100;
/// The name of the budget that every cluster has.
pub(crate) const BUDGET: &str = "demo-prepaid";

/// The settings of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// Number of availability zones; hosts are assigned to them round robin.
    pub zones: usize,
    /// Number of routers.
    pub routers: usize,
    /// Settings of the model engines, each of which gets a sidecar.
    pub engines: Vec<simulated_engine::Settings>,
    /// Names and settings of the plain services, each of which gets a sidecar.
    pub services: Vec<(&'static str, plain_service::Settings)>,
    /// Settings of the log service.
    pub log: log_service::Settings,
    /// Tokens of the budget.
    pub budget: Tokens,
    /// Whether each router connects to every sidecar and other router through a forwarder.
    pub forward_links: bool,
    /// Whether each router connects to the log service through a forwarder.
    pub forward_log: bool,
    /// Heartbeat intervals and timeouts of the connections between processes.
    pub timing: PeerTiming,
    /// How long a draining router still accepts connections.
    pub drain_notice_ms: u64,
    /// The memory of each router, in MiB.
    pub router_memory_mb: u64,
    /// The memory of each sidecar, in MiB.
    pub sidecar_memory_mb: u64,
    /// The most output tokens of a request.
    pub max_output_tokens: u64,
}

/// A router that runs as a separate process.
#[derive(Debug)]
pub struct RouterProcess {
    /// The host name in the host list.
    pub name: String,
    /// The process.
    pub process: Process,
    /// The address at which it accepts callers.
    pub callers: SocketAddr,
    /// The address at which it accepts other routers.
    pub peers: SocketAddr,
    /// The address of its admin listener.
    pub admin: SocketAddr,
    /// The host list service that only this router reads.
    pub hosts: Standin,
    zone: String,
}

/// A sidecar that runs as a separate process, with its backend server.
#[derive(Debug)]
pub struct SidecarProcess {
    /// The host name in the host list.
    pub name: String,
    /// The process.
    pub process: Process,
    /// The address at which it accepts routers.
    pub peers: SocketAddr,
    /// The address of its admin listener.
    pub admin: SocketAddr,
    /// The backend server.
    pub backend: Standin,
    zone: String,
}

/// A running fleet; dropping it kills every process.
#[derive(Debug)]
pub struct Cluster {
    /// The routers.
    pub routers: Vec<RouterProcess>,
    /// The sidecars: those of the engines, then those of the plain services.
    pub sidecars: Vec<SidecarProcess>,
    /// The log service.
    pub log: Standin,
    /// The forwarders between the processes.
    pub network: Network,
    pub(crate) settings: ClusterSettings,
    folder: PathBuf,
}

impl Cluster {
    /// Starts all processes and waits until every router is connected to every sidecar.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or the routers do not connect to all sidecars in time.
    pub async fn start(settings: ClusterSettings) -> Result<Self, BoxError> {
        let log = Standin::start("log", "log", &json!(settings.log))?;
        let mut cluster = Self {
            routers: Vec::new(),
            sidecars: Vec::new(),
            log,
            network: Network::default(),
            settings,
            folder: create_folder()?,
        };
        cluster.publish(cluster.settings.budget, "operator").await?;
        cluster.start_sidecars()?;
        for number in 0..cluster.settings.routers {
            cluster.start_router(number)?;
        }
        cluster.register_hosts().await?;
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// Returns the addresses at which the routers accept callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for router in &self.routers {
            addresses.push(router.callers);
        }
        addresses
    }

    /// Returns a client of the log service that bypasses the forwarders.
    pub fn log_client(&self) -> LogClient {
        LogClient::new(self.log.address, LogClientSettings::default())
    }

    /// Returns the identifier of the cluster's budget.
    ///
    /// # Panics
    ///
    /// Never panics, as the name is valid.
    pub fn budget(&self) -> BudgetId {
        BUDGET.parse().expect("the name is valid")
    }

    fn start_sidecars(&mut self) -> Result<(), BoxError> {
        let mut backends = Vec::new();
        for engine in &self.settings.engines {
            let engine = simulated_engine::Settings {
                model: MODEL.to_owned(),
                ..engine.clone()
            };
            backends.push((MODEL, "engine", json!(engine)));
        }
        for (service, settings) in &self.settings.services {
            backends.push((service, "service", json!(settings)));
        }
        for (number, (service, kind, settings)) in backends.into_iter().enumerate() {
            let name = format!("{service}-{number}");
            let backend = Standin::start(&format!("backend {name}"), kind, &settings)?;
            let sidecar = self.start_sidecar(number, &name, service, backend)?;
            self.sidecars.push(sidecar);
        }
        Ok(())
    }

    fn start_sidecar(
        &self,
        number: usize,
        name: &str,
        service: &str,
        backend: Standin,
    ) -> Result<SidecarProcess, BoxError> {
        let zone = self.zone(number);
        let mut file = SettingsFile::new("sidecar");
        self.set_common_settings(&mut file, name, &zone, self.log.address);
        file.set("host_list", self.log.address)
            .set("backend", name)
            .set("backend_address", backend.address)
            .set("service", service)
            .set("memory_mb", self.settings.sidecar_memory_mb);
        let path = file.write(&self.folder, name)?;
        let arguments = ["--settings", path.to_str().unwrap_or_default()];
        let process = Process::spawn(name, Program::Sidecar, &arguments)?;
        Ok(SidecarProcess {
            name: name.to_owned(),
            peers: process.address("peers")?,
            admin: process.address("admin")?,
            process,
            backend,
            zone,
        })
    }

    fn start_router(&mut self, number: usize) -> Result<(), BoxError> {
        let name = format!("router-{number}");
        let zone = self.zone(number);
        let hosts = Standin::start(&format!("hosts of {name}"), "hosts", &json!({}))?;
        let mut log_address = self.log.address;
        if self.settings.forward_log {
            log_address = self.network.add_forwarder(&name, "log", log_address)?;
        }
        let mut file = SettingsFile::new("router");
        self.set_common_settings(&mut file, &name, &zone, log_address);
        file.set("host_list", hosts.address)
            .set("callers_listen", "127.0.0.1:0")
            .set("bill_batch_ms", BILL_BATCH_MS)
            .set("drain_notice_ms", self.settings.drain_notice_ms)
            .set("memory_mb", self.settings.router_memory_mb);
        let path = file.write(&self.folder, &name)?;
        let arguments = ["--settings", path.to_str().unwrap_or_default()];
        let process = Process::spawn(&name, Program::Router, &arguments)?;
        self.routers.push(RouterProcess {
            callers: process.address("callers")?,
            peers: process.address("peers")?,
            admin: process.address("admin")?,
            name,
            process,
            hosts,
            zone,
        });
        Ok(())
    }

    fn set_common_settings(
        &self,
        file: &mut SettingsFile,
        name: &str,
        zone: &str,
        log: SocketAddr,
    ) {
        let timing = &self.settings.timing;
        file.set("name", name)
            .set("zone", zone)
            .set("region", REGION)
            .set("peer_listen", "127.0.0.1:0")
            .set("admin_listen", "127.0.0.1:0")
            .set("log_service", log)
            .set("heartbeat_ms", timing.heartbeat_ms)
            .set("peer_timeout_ms", timing.peer_timeout_ms)
            .set("connect_timeout_ms", timing.connect_timeout_ms)
            .set("lost_router_ms", timing.lost_router_ms);
    }

    fn zone(&self, number: usize) -> String {
        format!("zone-{}", number % self.settings.zones.max(1))
    }

    /// Adds every host to the host list of every router, with the addresses of forwarders if
    /// `forward_links` is set.
    async fn register_hosts(&mut self) -> Result<(), BoxError> {
        let mut hosts = Vec::new();
        for router in &self.routers {
            hosts.push(host(&router.name, "router", &router.zone, router.peers));
        }
        for sidecar in &self.sidecars {
            hosts.push(host(&sidecar.name, "sidecar", &sidecar.zone, sidecar.peers));
        }
        for router in &self.routers {
            for host in &hosts {
                let mut host = host.clone();
                if self.settings.forward_links && host.name != router.name {
                    let target = host.address;
                    host.address = self
                        .network
                        .add_forwarder(&router.name, &host.name, target)?;
                }
                host_list::add_host(router.hosts.address, &host).await?;
            }
        }
        Ok(())
    }

    /// Removes a host from every host list, as the platform does for a host that is gone.
    ///
    /// # Errors
    ///
    /// Fails when a host list service does not accept the removal.
    pub async fn remove_host(&self, name: &str) -> Result<(), BoxError> {
        for router in &self.routers {
            host_list::remove_host(router.hosts.address, name).await?;
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), BoxError> {
        let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        loop {
            let mut live = 0;
            for router in &self.routers {
                live += count_live_backends(&dump(router.admin).await);
            }
            if live >= self.routers.len() * self.sidecars.len() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(format!(
                    "only {live} router-to-sidecar connections are live after {READY_TIMEOUT_MS} ms"
                )
                .into());
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }
}

/// Returns the state dump of a process from its admin listener, or null if it does not answer.
pub async fn dump(admin: SocketAddr) -> Value {
    match client::send_and_read(admin, "GET /dump", &[], "").await {
        Ok(answer) => answer.json(),
        Err(_) => Value::Null,
    }
}

fn count_live_backends(dump: &Value) -> usize {
    let mut live = 0;
    let Some(services) = dump["routes"].as_object() else {
        return live;
    };
    for backends in services.values() {
        for backend in backends.as_array().into_iter().flatten() {
            live += usize::from(backend["state"] == "Live" && backend["connected"] == true);
        }
    }
    live
}

fn host(name: &str, role: &str, zone: &str, address: SocketAddr) -> host_list::Host {
    host_list::Host {
        name: name.to_owned(),
        address,
        role: role.to_owned(),
        availability_zone: zone.to_owned(),
        region: REGION.to_owned(),
        state: "live".to_owned(),
        service: String::new(),
    }
}

fn create_folder() -> Result<PathBuf, BoxError> {
    static CLUSTERS: AtomicU64 = AtomicU64::new(0);
    let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
    let name = format!("mallowpath-e2e-{}-{number}", std::process::id());
    let folder = env::temp_dir().join(name);
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if let Err(error) = fs::remove_dir_all(&self.folder) {
            eprintln!("could not remove {}: {error}", self.folder.display());
        }
    }
}

impl Default for ClusterSettings {
    fn default() -> Self {
        let engine = simulated_engine::Settings::default();
        Self {
            zones: 2,
            routers: 2,
            engines: vec![engine.clone(), engine],
            services: vec![("lookup", plain_service::Settings::default())],
            log: log_service::Settings::default(),
            budget: Tokens(1_000_000),
            forward_links: false,
            forward_log: false,
            timing: PeerTiming {
                heartbeat_ms: 200,
                peer_timeout_ms: 700,
                lost_router_ms: 1_500,
                ..PeerTiming::default()
            },
            drain_notice_ms: 200,
            router_memory_mb: 256,
            sidecar_memory_mb: 256,
            max_output_tokens: 4_096,
        }
    }
}
