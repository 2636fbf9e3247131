//! A backend server that leaves gets no new work in time, whoever is cut off from whom.

mod common;

use common::{
    enter, enter_as, example_with, forward_to, lookup, pause, place, publish_text, start_router,
    start_sidecar, until,
};
use mallowpath::{Router, RouterAddresses, RouterTuning};
use mallowpath_embedded::{Site, SiteSettings};
use mallowpath_standins::{Handle, client, forwarder::Mode, host_list, plain_service};
use serde_json::Value;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

const NO_WORK_MS: u64 = 5_000;
/// Time over which a backend server must stay without work.
const WATCH_MS: u64 = 3_000;

/// A site without a backend server of `lookup`, and one beside it.
struct Scene {
    site: Site,
    service: Handle<plain_service::Settings>,
    private_list: Handle<host_list::Settings>,
}

const FREE: &str = "[service lookup]\ntokens_per_call = 0\n";

async fn scene() -> Scene {
    let settings = SiteSettings {
        services: Vec::new(),
        // Free, so that no cut from the ledger stops requests.
        configuration: example_with(FREE),
        ..SiteSettings::default()
    };
    let private_list = host_list::start(host_list::Settings::default());
    Scene {
        site: Site::start(settings).await.expect("a site"),
        service: plain_service::start(plain_service::Settings::default())
            .await
            .expect("a service"),
        private_list: private_list.await.expect("a host list"),
    }
}

impl Scene {
    /// Starts a router that sees only what the private list shows.
    async fn lone_router(&self, log: SocketAddr) -> (Arc<Router>, RouterAddresses) {
        let host = place("lone", "zone-0", log, self.private_list.address);
        start_router(host, RouterTuning::default())
            .await
            .expect("a router")
    }
}

/// Sends requests all the time and returns when the last one reached the backend server.
async fn last_work_ms(callers: SocketAddr, service: SocketAddr) -> u64 {
    let start = Instant::now();
    let (mut last_ms, mut last_runs) = (0, runs(service).await);
    let mut code = Value::Null;
    while start.elapsed() < Duration::from_millis(NO_WORK_MS + WATCH_MS) {
        let call = tokio::spawn(lookup(callers));
        pause(25).await;
        let seen = runs(service).await;
        if seen > last_runs {
            last_runs = seen;
            last_ms = u64::try_from(start.elapsed().as_millis()).expect("short");
        }
        if call.is_finished() {
            let (_, body) = call.await.expect("an answer");
            code = body["error"]["code"].clone();
        }
    }
    assert_eq!(code, "no_backend", "requests still arrive at the end");
    assert!(last_ms <= NO_WORK_MS, "new work after {last_ms} ms");
    last_ms
}

/// Returns how many requests a plain service has run.
async fn runs(service: SocketAddr) -> usize {
    let call = client::send_and_read(service, "GET /v1/stats", &[], "").await;
    let stats = call.expect("an answer").json();
    stats["runs"].as_object().expect("runs").len()
}

async fn until_served(callers: SocketAddr) {
    for _ in 0..200 {
        if lookup(callers).await.0 == 200 {
            return;
        }
        pause(25).await;
    }
    panic!("the backend server takes no work");
}

#[tokio::test(flavor = "multi_thread")]
async fn by_configuration_under_a_router_that_reaches_nothing_else() {
    let scene = scene().await;
    let (log, hosts) = (scene.site.log.address, scene.site.hosts.address);
    let to_log = forward_to(log).await;
    let (_router, callers) = scene.lone_router(to_log.address).await;
    let place = place("lookup-9", "zone-0", log, hosts);
    let (_sidecar, addresses) = start_sidecar(place, scene.service.address).await;
    for list in [hosts, scene.private_list.address] {
        enter(list, "lookup-9", "sidecar", "zone-0", addresses.peers).await;
    }
    until_served(callers.callers).await;
    to_log.set_mode(Mode::BlackHole);
    // The host list shows the host as live all the time.
    publish_text(
        log,
        "[backend lookup-9]\nservice = lookup\nstate = leaving\n",
    )
    .await;
    let last_ms = last_work_ms(callers.callers, scene.service.address).await;
    println!("leaving by configuration, router cut off: no work after {last_ms} ms");
}

#[tokio::test(flavor = "multi_thread")]
async fn by_host_list() {
    let scene = scene().await;
    let (log, hosts) = (scene.site.log.address, scene.site.hosts.address);
    let place = place("lookup-9", "zone-0", log, hosts);
    let (sidecar, addresses) = start_sidecar(place, scene.service.address).await;
    enter(hosts, "lookup-9", "sidecar", "zone-0", addresses.peers).await;
    let callers = scene.site.routers[0].1.callers;
    until_served(callers).await;
    let entry = ["lookup-9", "sidecar", "zone-0"];
    enter_as(hosts, "leaving", entry, addresses.peers).await;
    let last_ms = last_work_ms(callers, scene.service.address).await;
    println!("leaving by the host list: no work after {last_ms} ms");
    assert_eq!(sidecar.dump()["no_work"], "host_list");
    let routes = scene.site.routers[0].0.dump();
    assert_eq!(routes["routes"]["lookup"][0]["state"], "Leaving");
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off_from_all_but_one_router_that_is_cut_off_too() {
    let scene = scene().await;
    let to_log = forward_to(scene.site.log.address).await;
    let to_hosts = forward_to(scene.site.hosts.address).await;
    let (_router, callers) = scene.lone_router(to_log.address).await;
    let place = place("lookup-9", "zone-0", to_log.address, to_hosts.address);
    let (sidecar, addresses) = start_sidecar(place, scene.service.address).await;
    let list = scene.private_list.address;
    enter(list, "lookup-9", "sidecar", "zone-0", addresses.peers).await;
    until_served(callers.callers).await;
    // A log alone, without the host list, keeps the sidecar confirmed.
    pause(NO_WORK_MS + 1_000).await;
    assert_eq!(lookup(callers.callers).await.0, 200);
    to_log.set_mode(Mode::BlackHole);
    to_hosts.set_mode(Mode::BlackHole);
    let last_ms = last_work_ms(callers.callers, scene.service.address).await;
    println!("cut off from everything else: no work after {last_ms} ms");
    assert_eq!(sidecar.dump()["no_work"], "unconfirmed");
    to_hosts.set_mode(Mode::Open);
    to_log.set_mode(Mode::Open);
    until(5_000, "recovering", || sidecar.accepting()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_alone_takes_no_backend_away() {
    let scene = scene().await;
    let (log, hosts) = (scene.site.log.address, scene.site.hosts.address);
    let place = place("lookup-9", "zone-0", log, hosts);
    let (sidecar, addresses) = start_sidecar(place, scene.service.address).await;
    enter(hosts, "lookup-9", "sidecar", "zone-0", addresses.peers).await;
    until(5_000, "confirming", || sidecar.accepting()).await;
    scene
        .site
        .log
        .change(|log| log.outage = mallowpath_standins::Outage::Hang);
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(NO_WORK_MS + WATCH_MS) {
        assert!(sidecar.accepting());
        pause(100).await;
    }
}
