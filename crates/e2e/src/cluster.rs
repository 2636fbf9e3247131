//! A fleet of separate processes.

use crate::{
    Failure, History, LogContent, Network, Process, Program, Standin, Verdicts,
    call::MODEL,
    check::{check_answers, check_bills, check_budget, check_runs},
    settings_file::SettingsFile,
};
use mallowpath::{
    BudgetId, Incarnation, IniDocument, LEDGER_SHARDS, LedgerBatch, LedgerEntry, LedgerRecord,
    LogClient, LogClientSettings, PeerTiming, RequestId, Tokens, TopUpRecord, ledger_stream,
    publish, sections_of, shard_of,
};
use mallowpath_standins::{client, engine, host_list, log_service, plain_service};
use prost::Message;
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
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
const REGION: &str = "local";
/// The budget of every cluster.
const BUDGET: &str = "demo-prepaid";

/// What a cluster consists of.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// Number of availability zones, over which hosts are spread in turn.
    pub zones: usize,
    /// Number of routers.
    pub routers: usize,
    /// Model engines, each with a sidecar.
    pub engines: Vec<engine::Settings>,
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
    settings: ClusterSettings,
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
        cluster.publish().await?;
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

    async fn publish(&self) -> Result<(), Failure> {
        let mut text = format!(
            "[workspace demo]\n\
             key_sha256 = c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c\n\
             budget = {BUDGET}\nservices = *\nhome_region = {REGION}\n\
             [budget {BUDGET}]\nworkspace = demo\ntokens = {}\n\
             [service {MODEL}]\nkind = model\nmax_output_tokens = 4096\ntimeout_ms = 20000\n",
            self.settings.budget
        );
        for (service, _) in &self.settings.services {
            text.push_str("[service ");
            text.push_str(service);
            text.push_str("]\nkind = plain\ntokens_per_call = 3\ntimeout_ms = 20000\n");
        }
        let mut document = IniDocument::default();
        document.merge_text("fleet.ini", &text);
        publish(&self.log_client(), &sections_of(&document), "operator").await?;
        Ok(())
    }

    fn start_sidecars(&mut self) -> Result<(), Failure> {
        let mut backends = Vec::new();
        for engine in &self.settings.engines {
            let engine = engine::Settings {
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
                host_list::enter(router.hosts.address, &host).await?;
            }
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

    /// Returns how often each request started at any backend server.
    ///
    /// # Panics
    ///
    /// Panics when a backend server does not answer.
    pub async fn runs(&self) -> BTreeMap<RequestId, u64> {
        let mut runs = BTreeMap::new();
        for sidecar in &self.sidecars {
            let stats = sidecar.backend.stats().await;
            let Some(counted) = stats["runs"].as_object() else {
                continue;
            };
            for (id, count) in counted {
                let Ok(request) = id.parse::<RequestId>() else {
                    continue;
                };
                let count = count.as_u64().or(count["runs"].as_u64());
                *runs.entry(request).or_default() += count.unwrap_or_default();
            }
        }
        runs
    }

    /// Waits until the log holds a bill for every whole answer and no bill is on its way.
    ///
    /// # Errors
    ///
    /// Fails when the log service can't be read; when bills stay away, the content as it is by then
    /// is returned.
    pub async fn settled(&self, history: &History, limit_ms: u64) -> Result<LogContent, Failure> {
        let give_up = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            let content = LogContent::read(&self.log_client()).await?;
            let mut missing = 0;
            for operation in history.operations() {
                let Some(request) = operation.request else {
                    continue;
                };
                missing +=
                    usize::from(operation.is_whole() && !content.bills.contains_key(&request));
            }
            if missing == 0 || Instant::now() >= give_up {
                return Ok(content);
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Waits until the log holds a bill for every request that ran, whoever asked for it.
    ///
    /// # Errors
    ///
    /// Fails when the log service can't be read or a bill stays away.
    pub async fn all_runs_billed(&self, limit_ms: u64) -> Result<LogContent, Failure> {
        let give_up = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            let content = LogContent::read(&self.log_client()).await?;
            let mut missing = Vec::new();
            for request in self.runs().await.into_keys() {
                if !content.bills.contains_key(&request) {
                    missing.push(request.to_string());
                }
            }
            if missing.is_empty() {
                return Ok(content);
            }
            if Instant::now() >= give_up {
                return Err(format!("ran and were never billed: {missing:?}").into());
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Waits until every run is billed and compares what callers saw with the log and the backend
    /// servers.
    ///
    /// # Errors
    ///
    /// Fails when a bill stays away for `limit_ms` or a check finds something.
    pub async fn verify(&self, history: &History, limit_ms: u64) -> Result<LogContent, Failure> {
        let content = self.all_runs_billed(limit_ms).await?;
        self.check(history, &content).await.into_result()?;
        Ok(content)
    }

    /// Shuts every router down and checks that the ledger says what the bills say.
    ///
    /// # Errors
    ///
    /// Fails when a router does not end in time, a grant stays out or the sums differ.
    pub async fn verify_exact_after_drain(&mut self, limit_ms: u64) -> Result<(), Failure> {
        self.drain_routers(limit_ms).await?;
        let content = LogContent::read(&self.log_client()).await?;
        let billed = content.billed(&self.budget());
        let balance = content.ledgers.balance(&self.budget()).unwrap_or_default();
        if balance.open != Tokens::ZERO || balance.spent != billed {
            return Err(format!("{billed} billed, but the ledger has {balance:?}").into());
        }
        Ok(())
    }

    /// Adds tokens to the budget, as an operator does.
    ///
    /// # Errors
    ///
    /// Fails when the log service does not take the top-up.
    pub async fn top_up(&self, id: &str, tokens: Tokens) -> Result<(), Failure> {
        let log = self.log_client();
        let stream = ledger_stream(shard_of(&self.budget(), LEDGER_SHARDS));
        let (_, next) = log.bounds(&stream).await?;
        let top_up = TopUpRecord {
            budget: BUDGET.to_owned(),
            id: id.to_owned(),
            tokens: tokens.0,
            issued_at: next.0,
        };
        let batch = LedgerBatch {
            author: Incarnation::random().0,
            sequence: 1,
            records: vec![LedgerRecord {
                entry: Some(LedgerEntry::TopUp(top_up)),
            }],
        };
        log.append(&stream, batch.encode_to_vec().into()).await?;
        Ok(())
    }

    /// Compares what callers saw with the log and the backend servers, by all checks.
    ///
    /// # Panics
    ///
    /// Panics when a backend server does not answer.
    pub async fn check(&self, history: &History, content: &LogContent) -> Verdicts {
        let operations = history.operations();
        let mut verdicts = check_answers(&operations);
        verdicts.extend(check_bills(&operations, content));
        verdicts.extend(check_runs(&operations, &self.runs().await));
        verdicts.extend(check_budget(content, &self.budget()));
        verdicts
    }

    /// Shuts every router down and waits until all have ended.
    ///
    /// # Errors
    ///
    /// Fails when one does not end in time or not with success.
    pub async fn drain_routers(&mut self, limit_ms: u64) -> Result<(), Failure> {
        for router in &self.routers {
            router.process.terminate();
        }
        for router in &mut self.routers {
            let status = router.process.exit(limit_ms).await;
            if !status.is_some_and(|status| status.success()) {
                return Err(format!("{} ended with {status:?}", router.name).into());
            }
        }
        Ok(())
    }
}

/// Returns the state of a process as its admin listener gives it.
pub(crate) async fn dump(admin: SocketAddr) -> Value {
    match client::call(admin, "GET /dump", &[], "").await {
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
        let engine = engine::Settings::default();
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
