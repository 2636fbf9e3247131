//! A stand-in of the platform: it starts and ends the project's processes as the deploy file says.

use crate::{engine::Engine, record::Record, store::Store};
use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

const PROGRAM: &str = "target/release/mallowpath-platform";
const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
pub const ENGINE_PORT: u16 = 8228;

const GRACE: Duration = Duration::from_secs(8);
const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A machine with one process of the project.
pub struct Machine {
    pub name: String,
    pub ip: String,
    words: &'static [&'static str],
    child: Option<Child>,
}

pub struct Fleet {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    /// The first three parts of all addresses.
    pub network: String,
    /// The `edge` machines, followed by the `side` machines.
    pub machines: Vec<Machine>,
    pub routers: usize,
    folder: PathBuf,
    store_address: SocketAddr,
    memory_mb: u64,
}

impl Fleet {
    /// Starts the store; `memory_mb` is the limit of the routers.
    pub fn new(routers: usize, memory_mb: u64) -> Self {
        let network = free_network();
        let store = Arc::new(Store::default());
        let store_address = store.start(&format!("{network}.250"));
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let machines = (0..routers).map(|index| Machine {
            name: format!("edge-hall-{index}"),
            ip: format!("{network}.{}", index + 1),
            words: &["router", "--metrics-port", "9464"],
            child: None,
        });
        Self {
            machines: machines.collect(),
            store,
            record: Arc::new(Record::new()),
            network,
            routers,
            folder,
            store_address,
            memory_mb,
        }
    }

    /// Writes the entry of an engine.
    pub fn register(&self, engine: &Engine, sequence: u64) {
        self.store.put("keyed.servers", &engine.id, Some(&engine.entry(sequence)));
        self.record.line(format!("{} writes its entry", engine.id));
    }

    /// Starts an engine and adds the `side` machine beside it.
    pub fn add_engine(&mut self, index: usize, service: &str, version: &str, pace: Duration) -> Engine {
        let ip = format!("{}.{}", self.network, 100 + index);
        let engine = Engine {
            id: format!("i-{service}-{index}"),
            service: service.to_owned(),
            zone: "hall".to_owned(),
            version: version.to_owned(),
            address: format!("{ip}:{ENGINE_PORT}").parse().expect("an address"),
            pace,
            work: Duration::from_millis(60),
            record: Arc::clone(&self.record),
        };
        engine.start();
        self.machines.push(Machine {
            name: format!("side-hall-{index}"),
            ip,
            words: &["sidecar"],
            child: None,
        });
        engine
    }

    /// Starts the processes and waits until the routers are ready; returns whether they are.
    pub fn start_all(&mut self) -> bool {
        for index in 0..self.machines.len() {
            self.start(index);
        }
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if (0..self.routers).all(|index| self.is_ready(index)) {
                self.record.line("all routers are ready".to_owned());
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn start(&mut self, index: usize) {
        let settings = self.folder.join(format!("{}.conf", self.machines[index].name));
        fs::write(&settings, self.settings(index)).expect("a settings file");
        let log = self.folder.join(format!("{}.log", self.machines[index].name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.expect("a log file");
        let machine = &mut self.machines[index];
        let child = Command::new(PROGRAM)
            .args(machine.words)
            .env_clear()
            .env("MALLOWPATH_BOOT", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn();
        machine.child = Some(child.expect("the program is built"));
        self.record.line(format!("{} is started", machine.name));
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if let Some(mut child) = machine.child.take() {
            // Both fail only if the process has ended.
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("{} is killed", machine.name));
        }
    }

    /// Stops a process with SIGTERM; the platform kills it after `grace-s`. Returns whether it ended by
    /// itself.
    pub fn stop(&mut self, index: usize) -> bool {
        let Some(pid) = self.machines[index].child.as_ref().map(Child::id) else {
            return false;
        };
        self.record.line(format!("{} gets SIGTERM", self.machines[index].name));
        // SAFETY: the process was started here and has not been waited for, so the id is its own.
        unsafe { kill(pid as i32, SIGTERM) };
        let until = Instant::now() + GRACE;
        while Instant::now() < until {
            if self.has_ended(index) {
                self.machines[index].child = None;
                self.record.line(format!("{} has ended", self.machines[index].name));
                return true;
            }
            sleep(Duration::from_millis(20));
        }
        self.kill(index);
        false
    }

    /// Returns whether the process of a machine has ended by itself.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let child = self.machines[index].child.as_mut();
        child.is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        self.address(index, FRONT_PORT)
    }

    fn address(&self, index: usize, port: u16) -> SocketAddr {
        format!("{}:{port}", self.machines[index].ip).parse().expect("an address")
    }

    /// Asks for `/ready` as the platform does.
    pub fn is_ready(&self, index: usize) -> bool {
        let timeout = Duration::from_millis(500);
        let address = self.address(index, READY_PORT);
        let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else {
            return false;
        };
        let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let mut answer = [0; 12];
        stream.set_read_timeout(Some(timeout)).is_ok()
            && stream.write_all(request).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.ends_with(b"200")
    }

    fn settings(&self, index: usize) -> String {
        let Machine { name, ip, .. } = &self.machines[index];
        let store = self.store_address;
        let seeds: Vec<String> = (0..self.routers.min(3))
            .map(|seed| self.address(seed, CONTROL_PORT).to_string())
            .collect();
        let seeds = seeds.join(",");
        let memory_mb = self.memory_mb;
        format!(
            "node-name={name}\nip-address={ip}\nzone=hall\nregion=dk-ost\nzones.hall=dk-ost\n\
             listen.front={ip}:{FRONT_PORT}\nlisten.ready={ip}:{READY_PORT}\n\
             listen.control={ip}:{CONTROL_PORT}\nport-range=7340,7355\nseed-addrs={seeds}\n\
             first-start=false\ntolerated=false\nlimits.cpu-share=0.19\nlimits.cpu-cores=1\n\
             limits.memory-mb={memory_mb}\nlimits.max-fds=4100\nlimits.link-mbps=1000.0\n\
             limits.disk-mb=0\ndiscovery-source=platform\nentry-kind=vip\nheartbeat-ms=1200\n\
             active-contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
             fault-tolerance.machine-losses=2\nfault-tolerance.zones=0\n\
             fault-tolerance.region-losses=0\nbounds.seed-lag-s=3\nbounds.reuse-after-s=2\n\
             bounds.contact-ms=3000\nbounds.ack-ms=4000\nbounds.catch-up-s=4\n\
             bounds.drain-ms=2000\nbounds.grace-s=8\nbounds.loss-slack-ms=200\n\
             bounds.config-ms=2000\nbounds.rollback-slack-ms=250\nbounds.outer-ms=5000\n\
             bounds.fail-closed=false\nbounds.revoke-ms=5000\nbounds.retry-budget-ratio=0.2\n\
             bounds.budget-window-s=10\nbounds.budget-slack=58\nbounds.recover-s=12\n\
             bounds.pass-ms=120\nbounds.reuse-window-s=6.3\nbounds.settle_ms=1500\n\
             provider.address={store}\nprovider.form=log\nprovider.writes-per-s=800\n\
             provider.reads-per-s=2000\nprovider.parts=8\nprovider.append-ms=4.0\n\
             provider.part-mb-s=20.0\nprovider.read-mb-s=80.0\nprovider.record-bytes=262144\n\
             provider.call-bytes=2097152\nprovider.keep_s=300\nprovider.part-mb=200\n\
             provider.ttl-min-ms=1000\n"
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.machines.len() {
            self.kill(index);
        }
        if std::env::var_os("KEEP").is_some() {
            println!("logs are in {}", self.folder.display());
            return;
        }
        // What can't be removed stays in the temporary folder.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a loopback network of which nothing uses the first address.
fn free_network() -> String {
    let first = std::process::id();
    for offset in 0..200 {
        let number = first.wrapping_add(offset);
        let network = format!("127.{}.{}", 210 + number % 40, number / 40 % 250);
        if TcpListener::bind((format!("{network}.1"), FRONT_PORT)).is_ok() {
            return network;
        }
    }
    panic!("all loopback networks are in use");
}
