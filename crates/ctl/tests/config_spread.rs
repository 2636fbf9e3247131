//! An accepted configuration is in force everywhere in time and never reverts.

mod common;

use common::{
    enter, example_with, forward_to, in_force, log_client, lookup_as, pause, place, publish_text,
    start_router, until,
};
use mallowpath::{
    CONFIG_STREAM, Category, ConfigRecord, PublishOutcome, RouterTuning, Version, load_config,
    publish,
};
use mallowpath_embedded::{EXAMPLE_KEY, Site, SiteSettings};
use mallowpath_standins::{Outage, forwarder::Mode, host_list};
use prost::Message;
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

const IN_FORCE_MS: u64 = 7_000;

async fn site() -> Site {
    let settings = SiteSettings {
        routers: 2,
        zones: 2,
        ..SiteSettings::default()
    };
    Site::start(settings).await.expect("a site")
}

fn service(number: u64) -> String {
    format!("[service s{number}]\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_is_in_force_everywhere_in_time() {
    let site = site().await;
    let log = forward_to(site.log.address).await;
    let host = place("router-cut", "zone-2", log.address, site.hosts.address);
    let (cut, addresses) = start_router(host, RouterTuning::default())
        .await
        .expect("a router");
    let hosts = site.hosts.address;
    enter(hosts, "router-cut", "router", "zone-2", addresses.peers).await;
    until(5_000, "connecting", || {
        cut.connected_backends() >= site.sidecars.len()
    })
    .await;
    log.set_mode(Mode::BlackHole);
    let mut worst_ms = 0;
    for number in 0..4 {
        let version = publish_text(site.log.address, &service(number)).await;
        let all = || in_force(&site, version) && cut.config_version() >= version;
        worst_ms = worst_ms.max(until(IN_FORCE_MS, "spreading", all).await);
    }
    println!("in force on 3 routers and 4 sidecars within {worst_ms} ms, one router cut off");
    pause(5_000).await;
    // Confirmed by peers alone: the log does not answer this router.
    let age_ms = cut.config_age_ms().expect("confirmed");
    assert!(age_ms < 5_000, "confirmed {age_ms} ms ago");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_never_reverts() {
    let site = site().await;
    let ended = Arc::new(AtomicBool::new(false));
    let mut watchers = Vec::new();
    for (router, _) in &site.routers {
        let (router, ended) = (Arc::clone(router), Arc::clone(&ended));
        watchers.push(tokio::spawn(async move {
            let mut newest = Version(0);
            while !ended.load(Ordering::Relaxed) {
                let version = router.config_version();
                assert!(version >= newest, "{version} after {newest}");
                newest = version;
                pause(1).await;
            }
        }));
    }
    let sidecars = site.sidecars.clone();
    let sidecars_ended = Arc::clone(&ended);
    watchers.push(tokio::spawn(async move {
        let mut newest = vec![Some(0); sidecars.len()];
        while !sidecars_ended.load(Ordering::Relaxed) {
            for (sidecar, newest) in sidecars.iter().zip(&mut newest) {
                let version = sidecar.dump()["config_version"].as_u64();
                assert!(version >= *newest);
                *newest = version;
            }
            pause(5).await;
        }
    }));
    let before = publish_text(site.log.address, &service(1)).await;
    until(IN_FORCE_MS, "spreading", || in_force(&site, before)).await;
    site.log.change(|log| log.outage = Outage::Refuse);
    // A router that starts in the outage has only its peers to ask.
    let host = place("late", "zone-1", site.log.address, site.hosts.address);
    let (late, addresses) = start_router(host, RouterTuning::default())
        .await
        .expect("a configuration from a peer");
    assert_eq!(late.config_version(), before);
    enter(
        site.hosts.address,
        "late",
        "router",
        "zone-1",
        addresses.peers,
    )
    .await;
    pause(1_500).await;
    site.log.change(|log| log.outage = Outage::None);
    let after = publish_text(site.log.address, &service(2)).await;
    let all = || in_force(&site, after) && late.config_version() == after;
    until(IN_FORCE_MS, "spreading", all).await;
    ended.store(true, Ordering::Relaxed);
    for watcher in watchers {
        watcher.await.expect("no version reverted");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_without_any_configuration_says_so() {
    let site = site().await;
    let log = forward_to(site.log.address).await;
    log.set_mode(Mode::Cut);
    let hosts = host_list::start(host_list::Settings::default())
        .await
        .expect("a host list");
    let tuning = RouterTuning {
        load_timeout_ms: 500,
        ..RouterTuning::default()
    };
    let error = start_router(place("r", "zone-0", log.address, hosts.address), tuning)
        .await
        .expect_err("nowhere to get a configuration from");
    assert_eq!(error.category(), Category::Refused);
    assert_eq!(
        error.to_string(),
        "load the configuration at config: neither the log service nor any of 0 routers on the \
         host list gave a configuration within 500 ms"
    );
}

const CAREFUL: &str = "
[workspace careful]
key_sha256 = HASH
budget = careful-prepaid
services = *
home_region = local
when_unconfirmed = refuse
[budget careful-prepaid]
workspace = careful
tokens = 1M
[fleet]
unconfirmed_after_ms = 2000
";

#[tokio::test(flavor = "multi_thread")]
async fn an_unconfirmed_configuration_serves_or_refuses_as_set() {
    let hash = mallowpath::BearerHash::of("careful").to_string();
    let text = CAREFUL.replace("HASH", &hash);
    // Two zones, so that bills are safe without the log.
    let settings = SiteSettings {
        routers: 2,
        zones: 2,
        configuration: example_with(&text),
        ..SiteSettings::default()
    };
    let site = Site::start(settings).await.expect("a site");
    let callers = site.routers[0].1.callers;
    assert_eq!(lookup_as(callers, "careful").await.0, 200);
    assert_eq!(lookup_as(callers, EXAMPLE_KEY).await.0, 200);
    site.log.change(|log| log.outage = Outage::Refuse);
    pause(3_000).await;
    let (status, body) = lookup_as(callers, "careful").await;
    assert_eq!(status, 503);
    assert_eq!(body["error"]["code"], "unconfirmed");
    assert_eq!(body["error"]["outcome"], "not_run");
    // Admitted; whether tokens can be had in an outage is another matter.
    let (_, body) = lookup_as(callers, EXAMPLE_KEY).await;
    assert_ne!(body["error"]["code"], "unconfirmed");
    site.log.change(|log| log.outage = Outage::None);
    pause(3_000).await;
    assert_eq!(lookup_as(callers, "careful").await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_operators_wins() {
    let site = site().await;
    let log = log_client(site.log.address);
    let (first, second) = (example_with(&service(1)), example_with(&service(2)));
    // Slow answers make both read before either writes.
    site.log.change(|log| log.delay_ms = 200);
    let (ann, bo) = tokio::join!(publish(&log, &first, "ann"), publish(&log, &second, "bo"));
    let (winner, lost) = match (ann.expect("published"), bo.expect("published")) {
        (PublishOutcome::Accepted(_), lost) => ("ann", lost),
        (lost, PublishOutcome::Accepted(_)) => ("bo", lost),
        neither => panic!("no winner: {neither:?}"),
    };
    let PublishOutcome::Rejected {
        version, author, ..
    } = lost
    else {
        panic!("two winners: {lost:?}");
    };
    assert_eq!(author, winner);
    until(IN_FORCE_MS, "spreading", || in_force(&site, version)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_heartbeat_confirms_less() {
    const DELAY_MS: u64 = 1_000;
    let site = site().await;
    let log = forward_to(site.log.address).await;
    let peer = forward_to(site.routers[0].1.peers).await;
    let hosts = host_list::start(host_list::Settings::default())
        .await
        .expect("a host list");
    enter(hosts.address, "router-0", "router", "zone-0", peer.address).await;
    let host = place("far", "zone-9", log.address, hosts.address);
    let (far, _) = start_router(host, RouterTuning::default())
        .await
        .expect("a router");
    log.set_mode(Mode::BlackHole);
    pause(5_000).await;
    let age_ms = far.config_age_ms().expect("confirmed");
    assert!(age_ms < 4_000, "not confirmed by the peer: {age_ms}");
    peer.change(|settings| settings.delay_ms = DELAY_MS);
    pause(5_000).await;
    for _ in 0..200 {
        let age_ms = far.config_age_ms().expect("confirmed");
        assert!((2 * DELAY_MS..9_000).contains(&age_ms), "{age_ms}");
        pause(20).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_later_than_the_retention_goes_on_from_a_checkpoint() {
    let site = site().await;
    let log = forward_to(site.log.address).await;
    let hosts = host_list::start(host_list::Settings::default())
        .await
        .expect("a host list");
    let host = place("late", "zone-9", log.address, hosts.address);
    let (late, _) = start_router(host, RouterTuning::default())
        .await
        .expect("a router");
    let before = late.config_version();
    log.set_mode(Mode::BlackHole);
    for number in 0..3 {
        publish_text(site.log.address, &service(number)).await;
    }
    let client = log_client(site.log.address);
    let state = load_config(&client).await.expect("a configuration");
    site.log.change(|log| log.retained_records = 1);
    for part in state.checkpoint() {
        let record = ConfigRecord::from(part).encode_to_vec();
        let appended = client.append(CONFIG_STREAM, record.into()).await;
        appended.expect("an append");
    }
    let (first, _) = client.bounds(CONFIG_STREAM).await.expect("bounds");
    assert!(
        first.0 > before.0,
        "the records that the router lacks are gone"
    );
    log.set_mode(Mode::Open);
    until(IN_FORCE_MS, "catching up", || {
        late.config_version() == state.version()
    })
    .await;
    let confirmed = || late.config_age_ms().is_some_and(|age_ms| age_ms < 1_500);
    until(IN_FORCE_MS, "confirming", confirmed).await;
}
