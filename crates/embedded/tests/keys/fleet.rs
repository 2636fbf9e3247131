//! A small fleet whose routers and `notices` sidecars can be killed or cut off from the network.
//!
//! Each of these processes has its own Tokio runtime, and forwarders carry its connections.

use mallowpath::{
    BILL_STREAMS, Bill, BillBatch, BillRecord, HostLimits, HostSettings, KEY_SHARDS, KeyHash,
    LogClient, LogClientSettings, Offset, Router, RouterAddresses, RouterSettings, Sidecar,
    SidecarSettings, key_shard, key_stream,
};
use mallowpath_embedded::{EXAMPLE_BEARER_KEY, EmbeddedFleet, EmbeddedFleetSettings};
use mallowpath_standins::{
    client::{self, Response},
    forwarder, host_list, plain_service,
};
use prost::Message;
use serde_json::Value;
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::runtime::Runtime;

const WAIT_TIMEOUT_MS: u64 = 15_000;
const POLL_INTERVAL_MS: u64 = 20;

/// An embedded fleet plus routers and `notices` servers behind forwarders.
pub struct Fleet {
    pub embedded: EmbeddedFleet,
    pub routers: Vec<RouterHost>,
    /// Servers of `notices`, a service whose calls are not repeatable, with their sidecars.
    pub notices: Vec<NoticesHost>,
    settings: EmbeddedFleetSettings,
}

/// A router in its own runtime, with the forwarders of its connections.
pub struct RouterHost {
    pub router: Arc<Router>,
    pub addresses: RouterAddresses,
    /// Forwarder through which other processes connect to the router.
    pub peers: forwarder::Handle,
    /// Forwarder through which the router connects to the log service.
    pub log: forwarder::Handle,
    runtime: Option<Runtime>,
}

/// A backend server of the service `notices` with its sidecar.
pub struct NoticesHost {
    pub service: plain_service::Handle,
    /// Forwarder through which routers connect to the sidecar.
    pub peers: forwarder::Handle,
    _sidecar: Arc<Sidecar>,
    runtime: Option<Runtime>,
}

/// Returns settings with short timeouts, so that takeovers happen within a second.
pub fn fast_settings() -> EmbeddedFleetSettings {
    let mut settings = EmbeddedFleetSettings {
        routers: 0,
        zones: 2,
        plain_backends: vec![("lookup".into(), plain_service::Settings::default())],
        ..EmbeddedFleetSettings::default()
    };
    settings.timing.heartbeat_ms = 100;
    settings.timing.peer_timeout_ms = 600;
    settings.router_tuning.key_takeover_ms = 400;
    settings.router_tuning.bill_batch_ms = 100;
    settings
}

impl Fleet {
    /// Starts routers, assigned to zones round-robin, and waits until all key shards are claimed.
    pub async fn start(routers: usize, settings: EmbeddedFleetSettings) -> Self {
        let embedded = EmbeddedFleet::start(settings.clone())
            .await
            .expect("the fleet starts");
        let mut fleet = Self {
            embedded,
            routers: Vec::new(),
            notices: Vec::new(),
            settings,
        };
        fleet.add_notices_server().await;
        // Registers the routers together; the first one listed alone would claim every shard.
        let mut hosts = Vec::new();
        for _ in 0..routers {
            hosts.push(fleet.start_router().await);
        }
        for (number, host) in hosts.iter().enumerate() {
            fleet.register_router(number, host).await;
        }
        for index in 0..routers {
            fleet.wait_until_ready(index).await;
        }
        fleet
    }

    pub async fn add_router(&mut self) {
        let number = self.routers.len();
        let host = self.start_router().await;
        self.register_router(number, &host).await;
    }

    async fn register_router(&self, number: usize, host: &HostSettings) {
        let address = self.routers[number].peers.address;
        self.register(host, "router", address, "live").await;
    }

    async fn start_router(&mut self) -> HostSettings {
        let number = self.routers.len();
        let name = format!("router-{number}");
        let log = start_forwarder(self.embedded.log_service.address).await;
        let host = HostSettings {
            log_service: log.address,
            ..self.host_settings(&name, number)
        };
        let settings = RouterSettings {
            host: host.clone(),
            callers_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            timing: self.settings.timing.clone(),
            tuning: self.settings.router_tuning.clone(),
        };
        let runtime = Runtime::new().expect("a runtime");
        let started = runtime.spawn(Router::start(settings)).await;
        let (router, addresses) = started.expect("no panic").expect("the router starts");
        let peers = start_forwarder(addresses.peers).await;
        self.routers.push(RouterHost {
            router,
            addresses,
            peers,
            log,
            runtime: Some(runtime),
        });
        host
    }

    pub async fn wait_until_ready(&self, index: usize) {
        wait_for("a router has all key shards and connections", || async {
            let dump = self.dump(index).await;
            let claimed = dump["keys"]["claimed_shards"].as_u64() == Some(KEY_SHARDS.into());
            let connected = self.routers[index].router.connected_backends();
            claimed && connected >= self.sidecar_count()
        })
        .await;
    }

    /// Returns the number of all sidecars.
    pub fn sidecar_count(&self) -> usize {
        self.embedded.sidecars.len() + self.notices.len()
    }

    pub async fn add_notices_server(&mut self) {
        let number = self.notices.len();
        let service = plain_service::start(plain_service::Settings::default())
            .await
            .expect("the service starts");
        let name = format!("notices-{number}");
        let host = self.host_settings(&name, number + 1);
        let settings = SidecarSettings {
            host: host.clone(),
            backend: name.parse().expect("a name"),
            backend_address: service.address,
            service: "notices".parse().expect("a name"),
            timing: self.settings.timing.clone(),
            tuning: self.settings.sidecar_tuning.clone(),
        };
        let runtime = Runtime::new().expect("a runtime");
        let started = runtime.spawn(Sidecar::start(settings)).await;
        let (sidecar, addresses) = started.expect("no panic").expect("the sidecar starts");
        let peers = start_forwarder(addresses.peers).await;
        self.register(&host, "sidecar", peers.address, "live").await;
        self.notices.push(NoticesHost {
            service,
            peers,
            _sidecar: sidecar,
            runtime: Some(runtime),
        });
    }

    /// Kills a sidecar as a crash does; its backend server keeps running.
    pub fn kill_notices_sidecar(&mut self, index: usize) {
        let runtime = self.notices[index].runtime.take();
        runtime
            .expect("the sidecar is still running")
            .shutdown_background();
    }

    /// Sets how long each server of `notices` takes to answer.
    pub fn delay_notices(&self, delay_ms: u64) {
        for host in &self.notices {
            host.service.change(|settings| settings.delay_ms = delay_ms);
        }
    }

    fn host_settings(&self, name: &str, number: usize) -> HostSettings {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let zone = format!("zone-{}", number % self.settings.zones);
        HostSettings {
            name: name.parse().expect("a name"),
            zone: zone.parse().expect("a name"),
            region: "local".parse().expect("a name"),
            peer_listen: free,
            admin_listen: free,
            log_service: self.embedded.log_service.address,
            host_list: self.embedded.host_list.address,
            limits: HostLimits::default(),
        }
    }

    /// Changes the state of a router in the host list.
    pub async fn set_router_state(&self, index: usize, state: &str) {
        let host = self.host_settings(&format!("router-{index}"), index);
        let address = self.routers[index].peers.address;
        self.register(&host, "router", address, state).await;
    }

    async fn register(&self, host: &HostSettings, role: &str, address: SocketAddr, state: &str) {
        let entry = host_list::Host {
            name: host.name.to_string(),
            address,
            role: role.into(),
            availability_zone: host.zone.to_string(),
            region: host.region.to_string(),
            state: state.into(),
            service: String::new(),
        };
        host_list::add_host(self.embedded.host_list.address, &entry)
            .await
            .expect("the host list is up");
    }

    pub async fn dump(&self, index: usize) -> Value {
        let admin = self.routers[index].addresses.admin;
        client::send_and_read(admin, "GET /dump", &[], "")
            .await
            .expect("a dump")
            .json()
    }

    /// Kills a router as a crash does; its connections break.
    pub fn kill_router(&mut self, index: usize) {
        let runtime = self.routers[index].runtime.take();
        runtime
            .expect("the router is still running")
            .shutdown_background();
    }

    /// Returns a key of the example's workspace in whose shard the router is `role`.
    ///
    /// `role` is `owner` or `witness`, as in the state dump.
    pub async fn key_with_role(&self, index: usize, role: &str, prefix: &str) -> String {
        let dump = self.dump(index).await;
        for number in 0..10_000 {
            let key = format!("{prefix}-{number}");
            if dump["keys"]["shards"][shard_dump_key(&key)]["part"] == role {
                return key;
            }
        }
        panic!("router {index} is {role} of no shard: {}", dump["keys"]);
    }

    /// Returns the router that is the other replica of a key's shard.
    pub async fn other_replica(&self, index: usize, key: &str) -> usize {
        let dump = self.dump(index).await;
        let peer = &dump["keys"]["shards"][shard_dump_key(key)]["peer"];
        for (other, host) in self.routers.iter().enumerate() {
            if *peer == host.peers.address.to_string() {
                return other;
            }
        }
        panic!("no router serves at {peer}");
    }

    /// Returns the bills in the log by request identifier.
    ///
    /// A bill may be in the log several times.
    ///
    /// # Panics
    ///
    /// Panics if two copies of a bill differ.
    pub async fn bills(&self) -> BTreeMap<String, BillRecord> {
        let log = LogClient::new(
            self.embedded.log_service.address,
            LogClientSettings::default(),
        );
        let mut bills = BTreeMap::new();
        for number in 0..BILL_STREAMS {
            let stream = format!("bills-{number:02}");
            let page = log
                .read(&stream, Offset(0), 1 << 20, 0)
                .await
                .expect("a page");
            for record in page.records {
                let batch = BillBatch::decode(record.data).expect("a batch");
                for record in batch.bills {
                    let bill = Bill::from_record(&record).expect("a bill");
                    let first = bills
                        .entry(bill.request.to_string())
                        .or_insert(record.clone());
                    assert_eq!(*first, record, "two copies of a bill differ");
                }
            }
        }
        bills
    }

    pub fn callers_address(&self, index: usize) -> SocketAddr {
        self.routers[index].addresses.callers
    }

    /// Posts to `notices`, whose calls are not repeatable.
    pub async fn post_notice(&self, index: usize, key: &str, body: &str) -> Response {
        post_notice(self.callers_address(index), key, body).await
    }

    /// Returns how many requests the servers of `notices` have run.
    pub async fn notices_run_count(&self) -> u64 {
        let mut sum = 0;
        for host in &self.notices {
            let stats = client::send_and_read(host.service.address, "GET /v1/stats", &[], "")
                .await
                .expect("stats")
                .json();
            for (request, runs) in stats["runs"].as_object().expect("counts") {
                // The sidecar's load polls are counted under an empty request identifier.
                if !request.is_empty() {
                    sum += runs.as_u64().expect("a count");
                }
            }
        }
        sum
    }
}

pub async fn post_notice(callers: SocketAddr, key: &str, body: &str) -> Response {
    post(callers, "POST /services/notices/post", Some(key), body).await
}

pub async fn post(callers: SocketAddr, path: &str, key: Option<&str>, body: &str) -> Response {
    let bearer = format!("Bearer {EXAMPLE_BEARER_KEY}");
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    client::send_and_read(callers, path, &headers, body)
        .await
        .expect("an answer")
}

/// Posts a notice through the routers in turn until one of them sends a complete answer.
///
/// # Panics
///
/// Panics after 100 attempts.
pub async fn post_via_any_router(fleet: &Fleet, first: usize, key: &str, body: &str) -> Response {
    for router in first..first + 100 {
        let callers = fleet.callers_address(router % fleet.routers.len());
        let bearer = format!("Bearer {EXAMPLE_BEARER_KEY}");
        let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
        let answer =
            client::send_and_read(callers, "POST /services/notices/post", &headers, body).await;
        match answer {
            Ok(answer) if answer.is_complete => return answer,
            Ok(_) | Err(_) => tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await,
        }
    }
    panic!("no router gave a complete answer");
}

/// Repeats a request, as a caller does, until the answer is not `key_unavailable`.
///
/// Returns the last answer after `WAIT_TIMEOUT_MS`.
pub async fn retry_while_key_unavailable(callers: SocketAddr, key: &str, body: &str) -> Response {
    let deadline = Instant::now() + Duration::from_millis(WAIT_TIMEOUT_MS);
    loop {
        let answer = post_notice(callers, key, body).await;
        if error_code(&answer) != "key_unavailable" || Instant::now() >= deadline {
            return answer;
        }
        assert_eq!(
            answer.json()["error"]["outcome"],
            "unknown",
            "{}",
            answer.text
        );
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

pub fn error_code(answer: &Response) -> String {
    answer.json()["error"]["code"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

pub fn request_id(answer: &Response) -> String {
    let id = answer.headers.get("x-request-id").expect("an identifier");
    id.to_str().expect("text").to_owned()
}

pub async fn wait_for<F: Future<Output = bool>>(what: &str, check: impl Fn() -> F) {
    let deadline = Instant::now() + Duration::from_millis(WAIT_TIMEOUT_MS);
    while !check().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

async fn start_forwarder(target: SocketAddr) -> forwarder::Handle {
    let settings = forwarder::Settings {
        target,
        ..forwarder::Settings::default()
    };
    forwarder::start(settings)
        .await
        .expect("the forwarder starts")
}

/// Returns the name under which the state dump lists the shard of a key of the example's workspace.
pub fn shard_dump_key(key: &str) -> String {
    let hash = KeyHash::new(&"demo".parse().expect("a name"), key);
    let stream = key_stream(&"local".parse().expect("a name"));
    let region_bits = u32::from_str_radix(&stream["keys-".len()..], 16).expect("a number");
    format!("{:08x}", region_bits | key_shard(&hash, KEY_SHARDS))
}

impl Drop for RouterHost {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for NoticesHost {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
