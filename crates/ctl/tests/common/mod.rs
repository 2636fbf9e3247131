//! Helpers that start processes and forwarders, so that a test can partition a fleet.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod command_line;

use mallowpath::{
    HostLimits, HostSettings, IniDocument, LogClient, LogClientSettings, PeerTiming,
    PublishOutcome, Router, RouterAddresses, RouterSettings, RouterTuning, Sections, Sidecar,
    SidecarAddresses, SidecarSettings, SidecarTuning, Version, publish, sections_of_document,
};
use mallowpath_embedded::{EXAMPLE_BEARER_KEY, EmbeddedFleet};
use mallowpath_standins::{client, forwarder, host_list};
use serde_json::Value;
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

pub const EXAMPLE: &str = include_str!("../../../embedded/example/fleet.ini");

pub fn loopback_any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns the example configuration with `text` merged as a second file.
pub fn example_with(text: &str) -> Sections {
    let mut document = IniDocument::default();
    document.merge_text("fleet.ini", EXAMPLE);
    document.merge_text("more.ini", text);
    sections_of_document(&document)
}

pub fn log_client(address: SocketAddr) -> LogClient {
    LogClient::new(address, LogClientSettings::default())
}

pub async fn publish_text(log: SocketAddr, text: &str) -> Version {
    match publish(&log_client(log), &example_with(text), "ann").await {
        Ok(PublishOutcome::Accepted(version)) => version,
        other => panic!("not accepted: {other:?}"),
    }
}

pub async fn forward_to(target: SocketAddr) -> forwarder::Handle {
    let settings = forwarder::Settings {
        target,
        ..forwarder::Settings::default()
    };
    forwarder::start(settings)
        .await
        .expect("the forwarder starts")
}

pub fn host_settings(name: &str, zone: &str, log: SocketAddr, hosts: SocketAddr) -> HostSettings {
    HostSettings {
        name: name.parse().expect("the name is valid"),
        zone: zone.parse().expect("the name is valid"),
        region: "local".parse().expect("the name is valid"),
        peer_listen: loopback_any_port(),
        admin_listen: loopback_any_port(),
        log_service: log,
        host_list: hosts,
        limits: HostLimits::default(),
    }
}

pub async fn start_router(
    host: HostSettings,
    tuning: RouterTuning,
) -> mallowpath::Result<(Arc<Router>, RouterAddresses)> {
    let settings = RouterSettings {
        host,
        callers_listen: loopback_any_port(),
        timing: PeerTiming::default(),
        tuning,
    };
    Router::start(settings).await
}

pub async fn start_sidecar(
    host: HostSettings,
    backend_address: SocketAddr,
) -> (Arc<Sidecar>, SidecarAddresses) {
    let settings = SidecarSettings {
        backend: host.name.as_str().parse().expect("the name is valid"),
        backend_address,
        service: "lookup".parse().expect("the name is valid"),
        timing: PeerTiming::default(),
        tuning: SidecarTuning::default(),
        host,
    };
    Sidecar::start(settings).await.expect("the sidecar starts")
}

/// Adds a host to a host list as live.
pub async fn add_host(list: SocketAddr, name: &str, role: &str, zone: &str, address: SocketAddr) {
    add_host_in_state(list, "live", [name, role, zone], address).await;
}

/// Adds a host to a host list; `entry` holds its name, role and zone.
pub async fn add_host_in_state(
    list: SocketAddr,
    state: &str,
    entry: [&str; 3],
    address: SocketAddr,
) {
    let [name, role, zone] = entry.map(str::to_owned);
    let host = host_list::Host {
        name,
        address,
        role,
        availability_zone: zone,
        region: "local".to_owned(),
        state: state.to_owned(),
        service: String::new(),
    };
    host_list::add_host(list, &host).await.expect("a host list");
}

/// Calls the plain service `lookup` and returns status and body.
pub async fn call_lookup(callers: SocketAddr) -> (u16, Value) {
    call_lookup_with_key(callers, EXAMPLE_BEARER_KEY).await
}

/// Calls the plain service `lookup` with an API key and returns status and body.
pub async fn call_lookup_with_key(callers: SocketAddr, key: &str) -> (u16, Value) {
    let authorization = format!("Bearer {key}");
    let headers = [("authorization", authorization.as_str())];
    let call = client::send_and_read(callers, "GET /services/lookup/x", &headers, "").await;
    let answer = call.expect("the call is answered");
    (answer.status, answer.json())
}

pub async fn sleep_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Waits until `condition` holds and returns the elapsed milliseconds; panics after `limit_ms`.
pub async fn wait_until(limit_ms: u64, what: &str, mut condition: impl FnMut() -> bool) -> u64 {
    let start = Instant::now();
    loop {
        let elapsed_ms =
            u64::try_from(start.elapsed().as_millis()).expect("the duration fits in u64");
        if condition() {
            return elapsed_ms;
        }
        assert!(elapsed_ms <= limit_ms, "{what} took over {limit_ms} ms");
        sleep_ms(10).await;
    }
}

/// Returns whether `version` or a later one is in force on every router and sidecar of a fleet.
pub fn is_in_force_everywhere(fleet: &EmbeddedFleet, version: Version) -> bool {
    let mut all = true;
    for (router, _) in &fleet.routers {
        all &= router.config_version() >= version;
    }
    for sidecar in &fleet.sidecars {
        all &= sidecar.dump()["config_version"].as_u64() >= Some(version.0);
    }
    all
}
