//! A fleet of routers, sidecars and stand-ins in separate processes for an experiment.

use mallowpath::{
    IniDocument, LogClient, LogClientSettings, Sections, publish, sections_of_document,
};
use mallowpath_e2e::{BoxError, Process, Program, Standin};
use mallowpath_standins::{client, host_list};
use serde_json::{Value, json};
use std::{
    fmt::Write,
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

const REGION: &str = "local";
const READY_TIMEOUT_MS: u64 = 30_000;
const POLL_INTERVAL_MS: u64 = 100;
/// The most budgets added by one configuration change, so that its record fits the log's limit.
const BUDGETS_PER_CHANGE: usize = 5_000;

/// The settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Number of availability zones; hosts are assigned to them round robin.
    pub zones: usize,
    /// Number of routers.
    pub routers: usize,
    /// Number of engines of the model `m`.
    pub engines: usize,
    /// Settings of each engine.
    pub engine: Value,
    /// Number of backend servers of the plain service `lookup`.
    pub lookups: usize,
    /// Settings of the log service.
    pub log: Value,
    /// The timeout of requests to the model.
    pub timeout_ms: u64,
    /// Number of workspaces.
    pub workspaces: usize,
    /// Number of budgets, assigned to the workspaces round robin; each workspace spends its first.
    pub budgets: usize,
    /// Tokens of each budget.
    pub tokens: u64,
    /// Additional lines of each router's settings file.
    pub router_settings: String,
}

/// A router that runs as a separate process.
#[derive(Debug)]
pub struct RouterProcess {
    /// The process.
    pub process: Process,
    /// The address at which it accepts callers.
    pub callers: SocketAddr,
    admin: SocketAddr,
}

/// A running fleet; dropping it kills its processes.
#[derive(Debug)]
pub struct Fleet {
    /// The log service.
    pub log: Standin,
    /// The host list.
    pub hosts: Standin,
    /// The backend servers.
    pub backends: Vec<Standin>,
    /// The sidecars.
    pub sidecars: Vec<Process>,
    /// The routers.
    pub routers: Vec<RouterProcess>,
    settings: FleetSettings,
    /// The text of the configuration that was published at the start.
    text: String,
    folder: PathBuf,
}

impl Fleet {
    /// Starts all processes and waits until each router has live backend servers.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or a router has too few live backend servers after
    /// [`READY_TIMEOUT_MS`].
    pub async fn start(settings: FleetSettings) -> Result<Self, BoxError> {
        let folder = std::env::temp_dir().join(format!("mallowpath-bench-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            log: Standin::start("log", "log", &settings.log)?,
            hosts: Standin::start("hosts", "hosts", &json!({}))?,
            backends: Vec::new(),
            sidecars: Vec::new(),
            routers: Vec::new(),
            settings,
            text: String::new(),
            folder,
        };
        fleet.publish().await?;
        for number in 0..fleet.settings.engines {
            let engine = fleet.settings.engine.clone();
            fleet.start_backend("m", "engine", &engine, number).await?;
        }
        for number in 0..fleet.settings.lookups {
            fleet
                .start_backend("lookup", "service", &json!({}), number)
                .await?;
        }
        for number in 0..fleet.settings.routers {
            fleet.start_router(number).await?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Returns the bearer key of the workspace with this number, `key-` and the number.
    pub fn key(workspace: usize) -> Arc<str> {
        Arc::from(format!("key-{workspace}"))
    }

    /// Publishes a change of one section; `number` makes it differ from other changes.
    ///
    /// # Errors
    ///
    /// Fails when the configuration can't be published.
    pub async fn publish_change(&self, number: usize) -> Result<(), BoxError> {
        let client = LogClient::new(self.log.address, LogClientSettings::default());
        let timeout = format!("tokens_per_call = 1\ntimeout_ms = {}", 10_000 + number);
        let text = self
            .text
            .replace("tokens_per_call = 1\ntimeout_ms = 20000", &timeout);
        publish(&client, &sections(&text), "bench").await?;
        Ok(())
    }

    /// Starts one more router.
    ///
    /// # Errors
    ///
    /// Fails when the router does not start.
    pub async fn add_router(&mut self) -> Result<(), BoxError> {
        self.start_router(self.routers.len()).await
    }

    /// Starts one more backend server of the plain service, with its sidecar.
    ///
    /// # Errors
    ///
    /// Fails when one of the two does not start.
    pub async fn add_lookup(&mut self) -> Result<(), BoxError> {
        let number = self.backends.len();
        self.start_backend("lookup", "service", &json!({}), number)
            .await
    }

    async fn publish(&mut self) -> Result<(), BoxError> {
        let client = LogClient::new(self.log.address, LogClientSettings::default());
        let mut text = configuration_head(&self.settings);
        let mut added = 0;
        while added < self.settings.budgets {
            let next = (added + BUDGETS_PER_CHANGE).min(self.settings.budgets);
            for number in added..next {
                let workspace = number % self.settings.workspaces;
                write!(
                    text,
                    "[budget b{number}]\nworkspace = w{workspace}\ntokens = {}\n",
                    self.settings.tokens
                )?;
            }
            added = next;
            publish(&client, &sections(&text), "bench").await?;
        }
        self.text = text;
        Ok(())
    }

    async fn start_backend(
        &mut self,
        service: &str,
        kind: &str,
        settings: &Value,
        number: usize,
    ) -> Result<(), BoxError> {
        let name = format!("{service}-{number}");
        let backend = Standin::start(&name, kind, settings)?;
        let mut text = self.host_settings("sidecar", &name, number)?;
        write!(
            text,
            "backend = {name}\nbackend_address = {}\nservice = {service}\n",
            backend.address
        )?;
        let process = self.spawn(&name, Program::Sidecar, &text)?;
        self.register_host(&name, "sidecar", number, process.address("peers")?, service)
            .await?;
        self.backends.push(backend);
        self.sidecars.push(process);
        Ok(())
    }

    async fn start_router(&mut self, number: usize) -> Result<(), BoxError> {
        let name = format!("router-{number}");
        let mut text = self.host_settings("router", &name, number)?;
        text.push_str("callers_listen = 127.0.0.1:0\n");
        text.push_str(&self.settings.router_settings);
        let process = self.spawn(&name, Program::Router, &text)?;
        self.register_host(&name, "router", number, process.address("peers")?, "")
            .await?;
        self.routers.push(RouterProcess {
            callers: process.address("callers")?,
            admin: process.address("admin")?,
            process,
        });
        Ok(())
    }

    fn host_settings(&self, role: &str, name: &str, number: usize) -> Result<String, BoxError> {
        let mut text = String::new();
        write!(
            text,
            "[{role}]\nname = {name}\nzone = zone-{}\nregion = {REGION}\n\
             peer_listen = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\nlog_service = {}\n\
             host_list = {}\n",
            number % self.settings.zones,
            self.log.address,
            self.hosts.address
        )?;
        Ok(text)
    }

    fn spawn(&self, name: &str, program: Program, settings: &str) -> Result<Process, BoxError> {
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, settings)?;
        let path = path.display().to_string();
        Process::spawn(
            name,
            program,
            &["--settings", &path, "--log-level", "error"],
        )
    }

    async fn register_host(
        &self,
        name: &str,
        role: &str,
        number: usize,
        address: SocketAddr,
        service: &str,
    ) -> Result<(), BoxError> {
        let host = host_list::Host {
            name: name.to_owned(),
            address,
            role: role.to_owned(),
            availability_zone: format!("zone-{}", number % self.settings.zones),
            region: REGION.to_owned(),
            state: "live".to_owned(),
            service: service.to_owned(),
        };
        host_list::add_host(self.hosts.address, &host).await?;
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), BoxError> {
        let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        let expected = self.settings.engines.min(16) + self.settings.lookups.min(16);
        for router in &self.routers {
            while self.count_live_backends(router).await < expected {
                if Instant::now() > deadline {
                    return Err(
                        "timed out waiting for a router to have enough live backend servers".into(),
                    );
                }
                tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            }
        }
        Ok(())
    }

    /// Returns the number of live backend servers in the state dump of a router.
    pub async fn count_live_backends(&self, router: &RouterProcess) -> usize {
        let dump = dump(router).await;
        let mut live = 0;
        for backends in dump["routes"]
            .as_object()
            .into_iter()
            .flat_map(|map| map.values())
        {
            for backend in backends.as_array().into_iter().flatten() {
                live += usize::from(backend["state"] == "Live");
            }
        }
        live
    }
}

/// Returns the state dump of a router, or null if it does not answer.
pub async fn dump(router: &RouterProcess) -> Value {
    match client::send_and_read(router.admin, "GET /dump", &[], "").await {
        Ok(answer) => answer.json(),
        Err(_) => Value::Null,
    }
}

fn configuration_head(settings: &FleetSettings) -> String {
    let mut text = format!(
        "[service m]\nkind = model\nmax_output_tokens = 4096\ntimeout_ms = {}\n\
         [service lookup]\nkind = plain\ntokens_per_call = 1\ntimeout_ms = 20000\n",
        settings.timeout_ms
    );
    for number in 0..settings.workspaces {
        let hash = mallowpath::BearerHash::of(&Fleet::key(number));
        let _written = write!(
            text,
            "[workspace w{number}]\nkey_sha256 = {hash}\nbudget = b{number}\nservices = *\n\
             home_region = {REGION}\nmax_running = 10000\n"
        );
    }
    text
}

/// Parses the text of a configuration.
pub fn sections(text: &str) -> Sections {
    let mut document = IniDocument::default();
    document.merge_text("bench.ini", text);
    sections_of_document(&document)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if let Err(error) = fs::remove_dir_all(&self.folder) {
            eprintln!("could not remove {}: {error}", self.folder.display());
        }
    }
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            zones: 2,
            routers: 2,
            engines: 4,
            engine: json!({"model": "m"}),
            lookups: 1,
            log: json!({}),
            timeout_ms: 20_000,
            workspaces: 10,
            budgets: 10,
            tokens: 1_000_000_000,
            router_settings: String::new(),
        }
    }
}
