//! A backend server that leaves, or whose configuration can't be confirmed, gets no new work after the
//! limit, also when its router or its sidecar is partitioned from the rest of the fleet.

mod common;

use common::{
    add_host, add_host_in_state, call_lookup, example_with, forward_to, host_settings,
    publish_text, sleep_ms, start_router, start_sidecar, wait_until,
};
use mallowpath::{Router, RouterAddresses, RouterTuning};
use mallowpath_embedded::{EmbeddedFleet, EmbeddedFleetSettings};
use mallowpath_standins::{Handle, client, forwarder::Mode, host_list, plain_service};
use serde_json::Value;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Limit within which a leaving or partitioned backend server must stop getting new work.
const NO_WORK_MS: u64 = 5_000;
/// Time after the limit over which the backend server must get no new work.
const OBSERVATION_MS: u64 = 3_000;

/// A fleet without a backend server of `lookup`, a plain service to run as one, and a separate host
/// list.
struct Scenario {
    fleet: EmbeddedFleet,
    service: Handle<plain_service::Settings>,
    private_list: Handle<host_list::Settings>,
}

const FREE_LOOKUP: &str = "[service lookup]\ntokens_per_call = 0\n";

async fn start_scenario() -> Scenario {
    let settings = EmbeddedFleetSettings {
        plain_backends: Vec::new(),
        // Calls cost no tokens, so that losing the ledger does not stop requests.
        configuration: example_with(FREE_LOOKUP),
        ..EmbeddedFleetSettings::default()
    };
    let private_list = host_list::start(host_list::Settings::default());
    Scenario {
        fleet: EmbeddedFleet::start(settings)
            .await
            .expect("the fleet starts"),
        service: plain_service::start(plain_service::Settings::default())
            .await
            .expect("the service starts"),
        private_list: private_list.await.expect("the host list starts"),
    }
}

impl Scenario {
    /// Starts a router that knows only the hosts on the private list.
    async fn start_isolated_router(&self, log: SocketAddr) -> (Arc<Router>, RouterAddresses) {
        let host = host_settings("lone", "zone-0", log, self.private_list.address);
        start_router(host, RouterTuning::default())
            .await
            .expect("the router starts")
    }
}

/// Sends requests continuously and returns when the last one reached the backend server.
///
/// Panics if that is later than `NO_WORK_MS`, or if the requests are not refused at the end.
async fn last_work_ms(callers: SocketAddr, service: SocketAddr) -> u64 {
    let start = Instant::now();
    let (mut last_ms, mut last_runs) = (0, count_runs(service).await);
    let mut code = Value::Null;
    while start.elapsed() < Duration::from_millis(NO_WORK_MS + OBSERVATION_MS) {
        let call = tokio::spawn(call_lookup(callers));
        sleep_ms(25).await;
        let seen = count_runs(service).await;
        if seen > last_runs {
            last_runs = seen;
            last_ms = u64::try_from(start.elapsed().as_millis()).expect("the duration fits in u64");
        }
        if call.is_finished() {
            let (_, body) = call.await.expect("the call is answered");
            code = body["error"]["code"].clone();
        }
    }
    assert_eq!(code, "no_backend", "requests still arrive at the end");
    assert!(last_ms <= NO_WORK_MS, "new work after {last_ms} ms");
    last_ms
}

/// Returns how many requests a plain service has run.
async fn count_runs(service: SocketAddr) -> usize {
    let call = client::send_and_read(service, "GET /v1/stats", &[], "").await;
    let stats = call.expect("the call is answered").json();
    stats["runs"]
        .as_object()
        .expect("the stats list runs")
        .len()
}

async fn wait_until_served(callers: SocketAddr) {
    for _ in 0..200 {
        if call_lookup(callers).await.0 == 200 {
            return;
        }
        sleep_ms(25).await;
    }
    panic!("the backend server takes no work");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_by_configuration_stops_work_from_a_router_cut_off_from_the_log() {
    let scenario = start_scenario().await;
    let (log, hosts) = (
        scenario.fleet.log_service.address,
        scenario.fleet.host_list.address,
    );
    let to_log = forward_to(log).await;
    let (_router, callers) = scenario.start_isolated_router(to_log.address).await;
    let host = host_settings("lookup-9", "zone-0", log, hosts);
    let (_sidecar, addresses) = start_sidecar(host, scenario.service.address).await;
    for list in [hosts, scenario.private_list.address] {
        add_host(list, "lookup-9", "sidecar", "zone-0", addresses.peers).await;
    }
    wait_until_served(callers.callers).await;
    to_log.set_mode(Mode::BlackHole);
    // The host list still shows the host as live.
    publish_text(
        log,
        "[backend lookup-9]\nservice = lookup\nstate = leaving\n",
    )
    .await;
    let last_ms = last_work_ms(callers.callers, scenario.service.address).await;
    println!("leaving by configuration, router cut off: no work after {last_ms} ms");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_by_host_list_stops_new_work() {
    let scenario = start_scenario().await;
    let (log, hosts) = (
        scenario.fleet.log_service.address,
        scenario.fleet.host_list.address,
    );
    let host = host_settings("lookup-9", "zone-0", log, hosts);
    let (sidecar, addresses) = start_sidecar(host, scenario.service.address).await;
    add_host(hosts, "lookup-9", "sidecar", "zone-0", addresses.peers).await;
    let callers = scenario.fleet.routers[0].1.callers;
    wait_until_served(callers).await;
    let entry = ["lookup-9", "sidecar", "zone-0"];
    add_host_in_state(hosts, "leaving", entry, addresses.peers).await;
    let last_ms = last_work_ms(callers, scenario.service.address).await;
    println!("leaving by the host list: no work after {last_ms} ms");
    assert_eq!(sidecar.dump()["no_work"], "host_list");
    let routes = scenario.fleet.routers[0].0.dump();
    assert_eq!(routes["routes"]["lookup"][0]["state"], "Leaving");
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_router_and_sidecar_stop_new_work() {
    let scenario = start_scenario().await;
    let to_log = forward_to(scenario.fleet.log_service.address).await;
    let to_hosts = forward_to(scenario.fleet.host_list.address).await;
    let (_router, callers) = scenario.start_isolated_router(to_log.address).await;
    let host = host_settings("lookup-9", "zone-0", to_log.address, to_hosts.address);
    let (sidecar, addresses) = start_sidecar(host, scenario.service.address).await;
    let list = scenario.private_list.address;
    add_host(list, "lookup-9", "sidecar", "zone-0", addresses.peers).await;
    wait_until_served(callers.callers).await;
    // The log service alone, without an entry on the host list, keeps the sidecar confirmed.
    sleep_ms(NO_WORK_MS + 1_000).await;
    assert_eq!(call_lookup(callers.callers).await.0, 200);
    to_log.set_mode(Mode::BlackHole);
    to_hosts.set_mode(Mode::BlackHole);
    let last_ms = last_work_ms(callers.callers, scenario.service.address).await;
    println!("cut off from everything else: no work after {last_ms} ms");
    assert_eq!(sidecar.dump()["no_work"], "unconfirmed");
    to_hosts.set_mode(Mode::Open);
    to_log.set_mode(Mode::Open);
    wait_until(5_000, "recovery", || sidecar.accepting()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn sidecar_keeps_accepting_work_during_a_log_outage() {
    let scenario = start_scenario().await;
    let (log, hosts) = (
        scenario.fleet.log_service.address,
        scenario.fleet.host_list.address,
    );
    let host = host_settings("lookup-9", "zone-0", log, hosts);
    let (sidecar, addresses) = start_sidecar(host, scenario.service.address).await;
    add_host(hosts, "lookup-9", "sidecar", "zone-0", addresses.peers).await;
    wait_until(5_000, "confirmation", || sidecar.accepting()).await;
    scenario
        .fleet
        .log_service
        .change(|log| log.outage = mallowpath_standins::Outage::Hang);
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(NO_WORK_MS + OBSERVATION_MS) {
        assert!(sidecar.accepting());
        sleep_ms(100).await;
    }
}
