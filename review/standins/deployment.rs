//! A small deployment: two entry hosts, two hosts with a model engine, and the platform's store.

use crate::{
    client::is_ready,
    engine::{Answer, Engine},
    process::Process,
    record::Record,
    store::Store,
};
use std::{
    fs,
    net::{IpAddr, SocketAddr, TcpListener},
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Number of entry hosts.
pub const ROUTERS: usize = 2;

/// Number of model engines, each with a sidecar on its host.
pub const ENGINES: usize = 2;

/// Number of tenants; the key of tenant `t3` is `key-3`.
pub const TENANTS: usize = 10;

/// The prepaid tokens of each tenant.
pub const PREPAID: u64 = 100_000;

/// Tokens of an event of a stream.
pub const STRIDE: u64 = 4;

/// The path of the route whose streams may be resumed.
pub const RESUMABLE: &str = "/lohu930/";

/// The path of the route whose requests may run once at most.
pub const PLAIN: &str = "/puxa403/";

/// Interval at which an engine writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Delay after which the platform starts a process again.
pub const RESTART_DELAY: Duration = Duration::from_millis(300);

const MAP: [(&str, usize); 5] = [
    ("front", 0),
    ("ready", 1),
    ("control", 2),
    ("metrics", 3),
    ("app", 4),
];

/// The processes under test with the stand-ins around them.
pub struct Deployment {
    pub store: Store,
    pub engines: Vec<Engine>,
    routers: Vec<Option<Process>>,
    _sidecars: Vec<Process>,
    network: Network,
    folder: PathBuf,
    record: Record,
    heartbeats: Arc<AtomicBool>,
}

/// Loopback addresses and ports that were free when the case began.
#[derive(Clone)]
struct Network {
    number: u8,
    first_port: u16,
}

impl Network {
    fn find() -> Result<Self, String> {
        let seed = std::process::id();
        for step in 0..100 {
            let network = Self {
                number: (64 + (seed + step) % 128) as u8,
                first_port: (20_000 + (seed * 31 + step * 97) % 9_000) as u16,
            };
            if network.is_free() {
                return Ok(network);
            }
        }
        Err("no free addresses".to_owned())
    }

    fn is_free(&self) -> bool {
        let mut hosts = vec![self.store_ip()];
        hosts.extend((0..ROUTERS).map(|index| self.router_ip(index)));
        hosts.extend((0..ENGINES).map(|index| self.engine_ip(index)));
        for ip in hosts {
            for offset in 0..20 {
                if TcpListener::bind((ip, self.first_port + offset)).is_err() {
                    return false;
                }
            }
        }
        true
    }

    fn router_ip(&self, index: usize) -> IpAddr {
        IpAddr::from([127, self.number, 1, 40 + index as u8])
    }

    fn engine_ip(&self, index: usize) -> IpAddr {
        IpAddr::from([127, self.number, 2, 40 + index as u8])
    }

    fn store_ip(&self) -> IpAddr {
        IpAddr::from([127, self.number, 200, 7])
    }

    fn port(&self, name: &str) -> u16 {
        let offset = MAP
            .iter()
            .find(|entry| entry.0 == name)
            .map(|entry| entry.1);
        self.first_port + offset.expect("a known port") as u16
    }

    fn store(&self) -> SocketAddr {
        SocketAddr::new(self.store_ip(), self.first_port)
    }
}

impl Deployment {
    /// Starts the store, the engines with their sidecars and the first `routers` routers.
    pub fn start(
        record: &Record,
        routers: usize,
        answers: [Arc<Answer>; ENGINES],
    ) -> Result<Self, String> {
        let network = Network::find()?;
        let folder = std::env::temp_dir().join(format!("mallowpath-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::start(network.store(), record)?;
        let mut deployment = Self {
            store,
            engines: Vec::new(),
            routers: Vec::new(),
            _sidecars: Vec::new(),
            network,
            folder,
            record: record.clone(),
            heartbeats: Arc::new(AtomicBool::new(true)),
        };
        deployment.write_configuration();
        for (index, answer) in answers.into_iter().enumerate() {
            let id = format!("i-{index}a91c2{index}");
            let ip = deployment.network.engine_ip(index);
            let address = SocketAddr::new(ip, deployment.network.port("app"));
            let engine = Engine::start(&id, address, record, answer)?;
            deployment.engines.push(engine);
        }
        deployment.write_entries(1);
        deployment.run_heartbeats();
        for index in 0..ENGINES {
            let settings = deployment.write_settings("side", index, true)?;
            let log = deployment.folder.join(format!("sidecar-{index}.log"));
            let command = ["target/release/mallowpath-platform", "sidecar"];
            deployment
                ._sidecars
                .push(Process::start(&command, &settings, &log)?);
        }
        for _ in 0..ROUTERS {
            deployment.routers.push(None);
        }
        for index in 0..routers {
            deployment.start_router(index, true)?;
        }
        for index in 0..routers {
            if !deployment.wait_until_ready(index, Duration::from_secs(10)) {
                return Err(format!("router {index} is not ready"));
            }
        }
        Ok(deployment)
    }

    /// Starts a router, as the deploy file says.
    pub fn start_router(&mut self, index: usize, is_first: bool) -> Result<(), String> {
        let settings = self.write_settings("edge", index, is_first)?;
        let log = self.folder.join(format!("router-{index}.log"));
        let port = self.network.port("metrics").to_string();
        let command = [
            "target/release/mallowpath-platform",
            "router",
            "--metrics-port",
            &port,
        ];
        self.record
            .line(&format!("platform: starts router {index}"));
        self.routers[index] = Some(Process::start(&command, &settings, &log)?);
        Ok(())
    }

    /// Kills a router.
    pub fn kill_router(&mut self, index: usize) {
        self.record.line(&format!("platform: kills router {index}"));
        if let Some(process) = self.routers[index].take() {
            process.kill();
        }
    }

    /// Sends a signal to a router.
    pub fn signal_router(&mut self, index: usize, signal: i32) {
        self.record
            .line(&format!("platform: signal {signal} to router {index}"));
        if let Some(process) = &self.routers[index] {
            process.signal(signal);
        }
    }

    /// Waits until a router has ended by itself; kills it after `limit`.
    pub fn wait_for_end(&mut self, index: usize, limit: Duration) {
        let until = Instant::now() + limit;
        let Some(mut process) = self.routers[index].take() else {
            return;
        };
        while !process.has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        process.signal(crate::process::SIGKILL);
        process.wait();
        self.record
            .line(&format!("platform: router {index} has ended"));
    }

    /// Waits until a router says that it is ready.
    pub fn wait_until_ready(&self, index: usize, limit: Duration) -> bool {
        let ip = self.network.router_ip(index);
        let address = SocketAddr::new(ip, self.network.port("ready"));
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if is_ready(address) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Returns the address for clients of a router.
    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.network.router_ip(index), self.network.port("front"))
    }

    /// Returns the name that a router has as a writer of the store's budgets.
    pub fn account(&self, index: usize) -> String {
        format!("{}@{}", router_name(index), self.network.router_ip(index))
    }

    /// Starts or stops the heartbeats of the engines.
    pub fn set_heartbeats(&self, are_sent: bool) {
        self.heartbeats.store(are_sent, Ordering::Relaxed);
    }

    /// Writes the operator's configuration.
    pub fn write_configuration(&self) {
        let mut tenants = Vec::new();
        for index in 0..TENANTS {
            tenants.push(format!(
                r#"{{"name":"t{index}","api-keys":["key-{index}"],"priority":1,"prepaid":{PREPAID}}}"#
            ));
        }
        let route = |name: &str, path: &str, resumable: bool| {
            format!(
                r#"{{"name":"{name}","host":"ficu95.example","path-prefix":"{path}","route-type":"streaming","timeout-ms":6000,"target-latency-ms":600,"priority":1,"service":"huvo11a","max-attempts":2,"public":false,"sticky":true,"resumable":{resumable},"gap-aim-ms":500}}"#
            )
        };
        let configuration = format!(
            r#"{{"version":7,"routes":[{},{},{PLAIN_ROUTE}],"services":[{{"name":"huvo11a","health-path":"/health","max-connections":370,"protocol":"h1","tls":false,"engine":{{"slot-count":64,"kv-capacity-tokens":294699,"stride":{STRIDE},"models":[{{"name":"m"}}]}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{}]}}"#,
            route("r-1", RESUMABLE, true),
            route("r-2", "/pufi791/", false),
            tenants.join(",")
        );
        self.store.put("keyed.op", "config", &configuration);
    }

    /// Writes the entries of the engines.
    pub fn write_entries(&self, sequence: u64) {
        for engine in &self.engines {
            let entry = entry_text(engine, sequence);
            self.store.put("keyed.servers", &engine.id, &entry);
        }
    }

    fn run_heartbeats(&self) {
        let (store, engines) = (self.store.clone(), self.engines.clone());
        let are_sent = Arc::clone(&self.heartbeats);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                if !are_sent.load(Ordering::Relaxed) {
                    continue;
                }
                for engine in &engines {
                    store.put("keyed.servers", &engine.id, &entry_text(engine, sequence));
                }
            }
        });
    }

    fn write_settings(&self, class: &str, index: usize, is_first: bool) -> Result<PathBuf, String> {
        let network = &self.network;
        let is_edge = class == "edge";
        let (name, ip) = if is_edge {
            (router_name(index), network.router_ip(index))
        } else {
            let name = format!("side-neuadd-caerdydd-{}", index + 1);
            (name, network.engine_ip(index))
        };
        let mut text = format!(
            "node-name={name}\nrole={}\nmachine-class={class}\nip-address={ip}\n\
             zone=neuadd-caerdydd\nregion=cymru\nzones.neuadd-caerdydd=cymru\n",
            if is_edge { "router" } else { "sidecar" },
        );
        if is_edge {
            for listener in ["front", "ready", "control"] {
                let port = network.port(listener);
                text.push_str(&format!("listen.{listener}={ip}:{port}\n"));
            }
            text.push_str("limits.cpu-share=0.19\nlimits.memory-mb=110\nlimits.link-mbps=1000.0\n");
        } else {
            text.push_str("limits.cpu-share=0.2\nlimits.memory-mb=192\nlimits.link-mbps=2000.0\n");
            text.push_str(&format!(
                "app={ip}:{}\nservice=huvo11a\n",
                network.port("app")
            ));
        }
        let mut seeds = Vec::new();
        for index in 0..ROUTERS {
            seeds.push(format!(
                "{}:{}",
                network.router_ip(index),
                network.port("control")
            ));
        }
        text.push_str(&format!(
            "port-range={},{}\nseed-addrs={}\nfirst-start={is_first}\ntolerated=false\n\
             provider.address={}\n{FIXED_SETTINGS}",
            network.first_port + 10,
            network.first_port + 19,
            seeds.join(","),
            network.store(),
        ));
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, text).map_err(|error| error.to_string())?;
        Ok(path)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        crate::process::kill_all();
        if std::env::var_os("KEEP_LOGS").is_some() {
            eprintln!("logs in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn router_name(index: usize) -> String {
    format!("edge-neuadd-caerdydd-{}", index + 1)
}

fn entry_text(engine: &Engine, sequence: u64) -> String {
    format!(
        r#"{{"service":"huvo11a","address":"{}","zone":"neuadd-caerdydd","version":"v1","slot-count":64,"state":"ready","cold-remaining-ms":0,"stage":"unified","models":[{{"name":"m","version":1,"adapter-names":[]}}],"sequence":{sequence},"born":1700000000000}}"#,
        engine.address
    )
}

/// A route whose requests may run once at most; served by the same engines, to keep the case small.
const PLAIN_ROUTE: &str = r#"{"name":"r-3","host":"ficu95.example","path-prefix":"/puxa403/","route-type":"non_idempotent","timeout-ms":1500,"target-latency-ms":300,"priority":2,"service":"huvo11a","max-attempts":1,"public":false,"sticky":false,"resumable":false}"#;

/// The settings that are the same on all machines, from the site file.
const FIXED_SETTINGS: &str = "\
limits.cpu-cores=1
limits.max-fds=4100
limits.disk-mb=0
discovery-source=platform
entry-kind=vip
heartbeat-ms=1200
active-contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
fault-tolerance.machine-losses=2
fault-tolerance.zones=0
fault-tolerance.region-losses=0
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.contact-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-ms=2000
bounds.rollback-slack-ms=250
bounds.outer-ms=5000
bounds.fail-closed=false
bounds.revoke-ms=5000
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.budget-slack=58
bounds.recover-s=12
bounds.pass-ms=120
bounds.reuse-window-s=6.3
bounds.settle_ms=1500
provider.form=log
provider.writes-per-s=800
provider.reads-per-s=2000
provider.parts=8
provider.append-ms=4.0
provider.part-mb-s=20.0
provider.read-mb-s=80.0
provider.record-bytes=262144
provider.call-bytes=2097152
provider.keep_s=300
provider.part-mb=200
provider.ttl-min-ms=1000
";
