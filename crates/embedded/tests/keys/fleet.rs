//! A small fleet whose routers can be stopped abruptly, each in a runtime of its own.

use mallowpath::{
    BILL_STREAMS, Bill, BillBatch, BillRecord, HostSettings, KEY_SHARDS, KeyHash, LogClient,
    LogClientSettings, Offset, Router, RouterAddresses, RouterSettings, Sidecar, SidecarSettings,
    key_shard, key_stream,
};
use mallowpath_embedded::{EXAMPLE_KEY, Site, SiteSettings};
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

const READY_MS: u64 = 15_000;
const PAUSE_MS: u64 = 20;

pub struct Fleet {
    pub site: Site,
    pub routers: Vec<RouterHost>,
    /// The service that must not be called twice, with its sidecars.
    pub notices: Vec<NoticesHost>,
    settings: SiteSettings,
}

pub struct RouterHost {
    pub router: Arc<Router>,
    pub addresses: RouterAddresses,
    /// The way to the router for other routers.
    pub peers: forwarder::Handle,
    /// The way of the router to the log service.
    pub log: forwarder::Handle,
    runtime: Option<Runtime>,
}

/// One server of the service `notices`.
pub struct NoticesHost {
    pub service: plain_service::Handle,
    /// The way to the sidecar.
    pub peers: forwarder::Handle,
    _sidecar: Arc<Sidecar>,
    runtime: Option<Runtime>,
}

pub fn fast() -> SiteSettings {
    let mut settings = SiteSettings {
        routers: 0,
        zones: 2,
        services: vec![("lookup".into(), plain_service::Settings::default())],
        ..SiteSettings::default()
    };
    settings.timing.heartbeat_ms = 100;
    settings.timing.peer_timeout_ms = 600;
    settings.router_tuning.key_takeover_ms = 400;
    settings.router_tuning.bill_batch_ms = 100;
    settings
}

impl Fleet {
    /// Starts routers in turn over the zones, and waits until the key shards have holders.
    pub async fn start(routers: usize, settings: SiteSettings) -> Self {
        let site = Site::start(settings.clone())
            .await
            .expect("the site starts");
        let mut fleet = Self {
            site,
            routers: Vec::new(),
            notices: Vec::new(),
            settings,
        };
        fleet.add_notices().await;
        // All are listed together, so that each claims its own shards.
        let mut hosts = Vec::new();
        for _ in 0..routers {
            hosts.push(fleet.start_router().await);
        }
        for (number, host) in hosts.iter().enumerate() {
            fleet.list_router(number, host).await;
        }
        for index in 0..routers {
            fleet.wait_until_ready(index).await;
        }
        fleet
    }

    pub async fn add_router(&mut self) {
        let number = self.routers.len();
        let host = self.start_router().await;
        self.list_router(number, &host).await;
    }

    async fn list_router(&self, number: usize, host: &HostSettings) {
        let address = self.routers[number].peers.address;
        self.enter(host, "router", address, "live").await;
    }

    async fn start_router(&mut self) -> HostSettings {
        let number = self.routers.len();
        let name = format!("router-{number}");
        let log = forward(self.site.log.address).await;
        let host = HostSettings {
            log_service: log.address,
            ..self.place(&name, number)
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
        let peers = forward(addresses.peers).await;
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
        wait_for("a router is ready", || async {
            let dump = self.dump(index).await;
            let claimed = dump["keys"]["claimed_shards"].as_u64() == Some(KEY_SHARDS.into());
            let connected = self.routers[index].router.connected_backends();
            claimed && connected >= self.sidecars()
        })
        .await;
    }

    /// Returns the number of all sidecars.
    pub fn sidecars(&self) -> usize {
        self.site.sidecars.len() + self.notices.len()
    }

    pub async fn add_notices(&mut self) {
        let number = self.notices.len();
        let service = plain_service::start(plain_service::Settings::default())
            .await
            .expect("the service starts");
        let name = format!("notices-{number}");
        let host = self.place(&name, number + 1);
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
        let peers = forward(addresses.peers).await;
        self.enter(&host, "sidecar", peers.address, "live").await;
        self.notices.push(NoticesHost {
            service,
            peers,
            _sidecar: sidecar,
            runtime: Some(runtime),
        });
    }

    /// Ends a sidecar without any goodbye; its server goes on.
    pub fn kill_notices(&mut self, index: usize) {
        let runtime = self.notices[index].runtime.take();
        runtime
            .expect("a sidecar is killed once")
            .shutdown_background();
    }

    /// Makes the service `notices` answer this late.
    pub fn slow_notices(&self, delay_ms: u64) {
        for host in &self.notices {
            host.service.change(|settings| settings.delay_ms = delay_ms);
        }
    }

    fn place(&self, name: &str, number: usize) -> HostSettings {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let zone = format!("zone-{}", number % self.settings.zones);
        HostSettings {
            name: name.parse().expect("a name"),
            zone: zone.parse().expect("a name"),
            region: "local".parse().expect("a name"),
            peer_listen: free,
            admin_listen: free,
            log_service: self.site.log.address,
            host_list: self.site.hosts.address,
        }
    }

    /// Gives a router another state in the host list.
    pub async fn list(&self, index: usize, state: &str) {
        let place = self.place(&format!("router-{index}"), index);
        let address = self.routers[index].peers.address;
        self.enter(&place, "router", address, state).await;
    }

    async fn enter(&self, place: &HostSettings, role: &str, address: SocketAddr, state: &str) {
        let host = host_list::Host {
            name: place.name.to_string(),
            address,
            role: role.into(),
            availability_zone: place.zone.to_string(),
            region: place.region.to_string(),
            state: state.into(),
            service: String::new(),
        };
        host_list::add_host(self.site.hosts.address, &host)
            .await
            .expect("entered");
    }

    pub async fn dump(&self, index: usize) -> Value {
        let admin = self.routers[index].addresses.admin;
        client::send_and_read(admin, "GET /dump", &[], "")
            .await
            .expect("a dump")
            .json()
    }

    /// Ends a router without any goodbye; its connections break.
    pub fn kill(&mut self, index: usize) {
        let runtime = self.routers[index].runtime.take();
        runtime
            .expect("a router is killed once")
            .shutdown_background();
    }

    /// Returns a key of the example's workspace whose shard the router holds as `part`.
    pub async fn key_of(&self, index: usize, part: &str, prefix: &str) -> String {
        let dump = self.dump(index).await;
        for number in 0..10_000 {
            let key = format!("{prefix}-{number}");
            if dump["keys"]["shards"][shard_of(&key)]["part"] == part {
                return key;
            }
        }
        panic!("router {index} is {part} of no shard: {}", dump["keys"]);
    }

    /// Returns the router that holds the shard of a key together with this one.
    pub async fn other_holder(&self, index: usize, key: &str) -> usize {
        let dump = self.dump(index).await;
        let peer = &dump["keys"]["shards"][shard_of(key)]["peer"];
        for (other, host) in self.routers.iter().enumerate() {
            if *peer == host.peers.address.to_string() {
                return other;
            }
        }
        panic!("no router serves at {peer}");
    }

    /// Returns the bills in the log by request, first copies only.
    pub async fn bills(&self) -> BTreeMap<String, BillRecord> {
        let log = LogClient::new(self.site.log.address, LogClientSettings::default());
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

    pub fn callers(&self, index: usize) -> SocketAddr {
        self.routers[index].addresses.callers
    }

    /// Posts to the service that must not be called twice.
    pub async fn notice(&self, index: usize, key: &str, body: &str) -> Response {
        notice(self.callers(index), key, body).await
    }

    /// Returns how often the service `notices` has run, over all requests.
    pub async fn runs(&self) -> u64 {
        let mut sum = 0;
        for host in &self.notices {
            let stats = client::send_and_read(host.service.address, "GET /v1/stats", &[], "")
                .await
                .expect("stats")
                .json();
            for (request, runs) in stats["runs"].as_object().expect("counts") {
                // Polls of its load have no identifier.
                if !request.is_empty() {
                    sum += runs.as_u64().expect("a count");
                }
            }
        }
        sum
    }
}

pub async fn notice(callers: SocketAddr, key: &str, body: &str) -> Response {
    post(callers, "POST /services/notices/post", Some(key), body).await
}

pub async fn post(callers: SocketAddr, path: &str, key: Option<&str>, body: &str) -> Response {
    let bearer = format!("Bearer {EXAMPLE_KEY}");
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    client::send_and_read(callers, path, &headers, body)
        .await
        .expect("an answer")
}

/// Posts a notice through the routers in turn until one of them takes the connection.
pub async fn post_anywhere(fleet: &Fleet, first: usize, key: &str, body: &str) -> Response {
    for router in first..first + 100 {
        let callers = fleet.callers(router % fleet.routers.len());
        let bearer = format!("Bearer {EXAMPLE_KEY}");
        let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
        let answer =
            client::send_and_read(callers, "POST /services/notices/post", &headers, body).await;
        match answer {
            Ok(answer) if answer.is_complete => return answer,
            Ok(_) | Err(_) => tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await,
        }
    }
    panic!("no router answers");
}

/// Asks again, as a caller does, until the answer is not `key_unavailable`.
pub async fn insist(callers: SocketAddr, key: &str, body: &str) -> Response {
    let give_up = Instant::now() + Duration::from_millis(READY_MS);
    loop {
        let answer = notice(callers, key, body).await;
        if code(&answer) != "key_unavailable" || Instant::now() >= give_up {
            return answer;
        }
        assert_eq!(
            answer.json()["error"]["outcome"],
            "unknown",
            "{}",
            answer.text
        );
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

pub fn code(answer: &Response) -> String {
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
    let give_up = Instant::now() + Duration::from_millis(READY_MS);
    while !check().await {
        assert!(Instant::now() < give_up, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

async fn forward(target: SocketAddr) -> forwarder::Handle {
    let settings = forwarder::Settings {
        target,
        ..forwarder::Settings::default()
    };
    forwarder::start(settings)
        .await
        .expect("the forwarder starts")
}

/// Returns the shard of a key of the example's workspace, as dumps name it.
pub fn shard_of(key: &str) -> String {
    let hash = KeyHash::new(&"demo".parse().expect("a name"), key);
    let stream = key_stream(&"local".parse().expect("a name"));
    let code = u32::from_str_radix(&stream["keys-".len()..], 16).expect("a number");
    format!("{:08x}", code | key_shard(&hash, KEY_SHARDS))
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
