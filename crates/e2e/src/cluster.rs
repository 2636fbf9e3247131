//! A fleet of separate processes.

use crate::{
    Failure, Network, Process, Program, Standin, call::MODEL, settings_file::SettingsFile,
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

/// How long all parts may take to find each other.
const READY_MS: u64 = 15_000;
const POLL_MS: u64 = 20;
/// The region of every host.
pub(crate) const REGION: &str = "local";
/// Bills reach the log sooner than by default, so that tests need not wait for them.
pub(crate) const BILL_BATCH_MS: u64 = 100;
/// The budget of every cluster.
pub(crate) const BUDGET: &str = "demo-prepaid";

/// What a cluster consists of.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// Number of availability zones, over which hosts are spread in turn.
    pub zones: usize,
    /// Number of routers.
    pub routers: usize,
    /// Model engines, each with a sidecar.
    pub engines: Vec<simulated_engine::Settings>,
    /// Plain services by name, each with a sidecar.
    pub services: Vec<(&'static str, plain_service::Settings)>,
    /// The log service.
    pub log: log_service::Settings,
    /// The tokens of the budget.
    pub budget: Tokens,
    /// Whether a forwarder stands before every sidecar and router for each router.
    pub forward_links: bool,
    /// Whether a forwarder stands before the log service for each router.
    pub forward_log: bool,
    /// Times of connections between processes.
    pub timing: PeerTiming,
    /// How long a draining router takes connections.
    pub drain_notice_ms: u64,
}

/// A router as a process.
#[derive(Debug)]
pub struct RouterProcess {
    /// Its name in the host list.
    pub name: String,
    /// The process.
    pub process: Process,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it takes peers.
    pub peers: SocketAddr,
    /// Where it takes operators.
    pub admin: SocketAddr,
    /// The host list that this router reads.
    pub hosts: Standin,
    zone: String,
}

/// A sidecar as a process, with its backend server.
#[derive(Debug)]
pub struct SidecarProcess {
    /// Its name in the host list.
    pub name: String,
    /// The process.
    pub process: Process,
    /// Where it takes routers.
    pub peers: SocketAddr,
    /// Where it takes operators.
    pub admin: SocketAddr,
    /// The backend server.
    pub backend: Standin,
    zone: String,
}

/// A running fleet; every process ends when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// The routers.
    pub routers: Vec<RouterProcess>,
    /// The sidecars, of engines first, then of plain services.
    pub sidecars: Vec<SidecarProcess>,
    /// The log service.
    pub log: Standin,
    /// The forwarders.
    pub network: Network,
    pub(crate) settings: ClusterSettings,
    folder: PathBuf,
}

impl Cluster {
    /// Starts all processes and waits until every router reaches every sidecar.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or the parts do not find each other.
    pub async fn start(settings: ClusterSettings) -> Result<Self, Failure> {
        let log = Standin::start("log", "log", &json!(settings.log))?;
        let mut cluster = Self {
            routers: Vec::new(),
            sidecars: Vec::new(),
            log,
            network: Network::default(),
            settings,
            folder: make_folder()?,
        };
        cluster.publish(cluster.settings.budget, "operator").await?;
        cluster.start_sidecars()?;
        for number in 0..cluster.settings.routers {
            cluster.start_router(number)?;
        }
        cluster.register_all().await?;
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// Returns the callers' addresses of all routers.
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

    /// Returns the budget of the cluster.
    ///
    /// # Panics
    ///
    /// Does not panic: the name is valid.
    pub fn budget(&self) -> BudgetId {
        BUDGET.parse().expect("the name is valid")
    }

    fn start_sidecars(&mut self) -> Result<(), Failure> {
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
    ) -> Result<SidecarProcess, Failure> {
        let zone = self.zone(number);
        let mut file = SettingsFile::new("sidecar");
        self.set_place(&mut file, name, &zone, self.log.address);
        file.set("host_list", self.log.address)
            .set("backend", name)
            .set("backend_address", backend.address)
            .set("service", service);
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

    fn start_router(&mut self, number: usize) -> Result<(), Failure> {
        let name = format!("router-{number}");
        let zone = self.zone(number);
        let hosts = Standin::start(&format!("hosts of {name}"), "hosts", &json!({}))?;
        let mut log_address = self.log.address;
        if self.settings.forward_log {
            log_address = self.network.place(&name, "log", log_address)?;
        }
        let mut file = SettingsFile::new("router");
        self.set_place(&mut file, &name, &zone, log_address);
        file.set("host_list", hosts.address)
            .set("callers_listen", "127.0.0.1:0")
            .set("bill_batch_ms", BILL_BATCH_MS)
            .set("drain_notice_ms", self.settings.drain_notice_ms);
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

    fn set_place(&self, file: &mut SettingsFile, name: &str, zone: &str, log: SocketAddr) {
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

    /// Enters every host into the host list of every router, behind forwarders where asked for.
    async fn register_all(&mut self) -> Result<(), Failure> {
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
                    host.address = self.network.place(&router.name, &host.name, target)?;
                }
                host_list::add_host(router.hosts.address, &host).await?;
            }
        }
        Ok(())
    }

    /// Removes a host that is gone from every host list, as the platform does.
    ///
    /// # Errors
    ///
    /// Fails when a list does not take it.
    pub async fn remove_host(&self, name: &str) -> Result<(), Failure> {
        for router in &self.routers {
            host_list::remove_host(router.hosts.address, name).await?;
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), Failure> {
        let give_up = Instant::now() + Duration::from_millis(READY_MS);
        loop {
            let mut live = 0;
            for router in &self.routers {
                live += live_backends(&dump(router.admin).await);
            }
            if live >= self.routers.len() * self.sidecars.len() {
                return Ok(());
            }
            if Instant::now() >= give_up {
                return Err(format!("only {live} ways to sidecars are up").into());
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }
}

/// Returns the state of a process as its admin listener gives it, or null.
pub async fn dump(admin: SocketAddr) -> Value {
    match client::send_and_read(admin, "GET /dump", &[], "").await {
        Ok(answer) => answer.json(),
        Err(_) => Value::Null,
    }
}

fn live_backends(dump: &Value) -> usize {
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

fn make_folder() -> Result<PathBuf, Failure> {
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
            eprintln!("{} stays: {error}", self.folder.display());
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
        }
    }
}
