//! A fleet with processes that can be cut off from parts of it.

#![allow(dead_code, reason = "each test file uses a part")]

use mallowpath::{
    HostSettings, IniDocument, LogClient, LogClientSettings, PeerTiming, PublishOutcome, Router,
    RouterAddresses, RouterSettings, RouterTuning, Sections, Sidecar, SidecarAddresses,
    SidecarSettings, SidecarTuning, Version, publish, sections_of_document,
};
use mallowpath_embedded::{EXAMPLE_KEY, Site};
use mallowpath_standins::{client, forwarder, host_list};
use serde_json::Value;
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

pub const EXAMPLE: &str = include_str!("../../../embedded/example/fleet.ini");

pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns the example configuration with more text behind it.
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
    forwarder::start(settings).await.expect("a forwarder")
}

pub fn place(name: &str, zone: &str, log: SocketAddr, hosts: SocketAddr) -> HostSettings {
    HostSettings {
        name: name.parse().expect("a name"),
        zone: zone.parse().expect("a name"),
        region: "local".parse().expect("a name"),
        peer_listen: any_port(),
        admin_listen: any_port(),
        log_service: log,
        host_list: hosts,
    }
}

pub async fn start_router(
    host: HostSettings,
    tuning: RouterTuning,
) -> mallowpath::Result<(Arc<Router>, RouterAddresses)> {
    let settings = RouterSettings {
        host,
        callers_listen: any_port(),
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
        backend: host.name.as_str().parse().expect("a name"),
        backend_address,
        service: "lookup".parse().expect("a name"),
        timing: PeerTiming::default(),
        tuning: SidecarTuning::default(),
        host,
    };
    Sidecar::start(settings).await.expect("a sidecar")
}

pub async fn enter(list: SocketAddr, name: &str, role: &str, zone: &str, address: SocketAddr) {
    enter_as(list, "live", [name, role, zone], address).await;
}

pub async fn enter_as(list: SocketAddr, state: &str, entry: [&str; 3], address: SocketAddr) {
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
    host_list::enter(list, &host).await.expect("a host list");
}

/// Calls the plain service `lookup` and returns status and body.
pub async fn lookup(callers: SocketAddr) -> (u16, Value) {
    lookup_as(callers, EXAMPLE_KEY).await
}

pub async fn lookup_as(callers: SocketAddr, key: &str) -> (u16, Value) {
    let authorization = format!("Bearer {key}");
    let headers = [("authorization", authorization.as_str())];
    let call = client::call(callers, "GET /services/lookup/x", &headers, "").await;
    let answer = call.expect("an answer");
    (answer.status, answer.json())
}

pub async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Waits until `met` holds and returns how long that took; fails after `limit_ms`.
pub async fn until(limit_ms: u64, what: &str, mut met: impl FnMut() -> bool) -> u64 {
    let start = Instant::now();
    loop {
        let elapsed_ms = u64::try_from(start.elapsed().as_millis()).expect("short");
        if met() {
            return elapsed_ms;
        }
        assert!(elapsed_ms <= limit_ms, "{what} took over {limit_ms} ms");
        pause(10).await;
    }
}

/// Whether every router and sidecar of a site has a version in force.
pub fn in_force(site: &Site, version: Version) -> bool {
    let mut all = true;
    for (router, _) in &site.routers {
        all &= router.config_version() >= version;
    }
    for sidecar in &site.sidecars {
        all &= sidecar.dump()["config_version"].as_u64() >= Some(version.0);
    }
    all
}
