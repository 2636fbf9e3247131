//! An accepted configuration is in force everywhere within the limit, and no older one replaces it.

mod common;

use common::{
    add_host, call_lookup_with_key, example_with, forward_to, host_settings,
    is_in_force_everywhere, log_client, publish_text, sleep_ms, start_router, wait_until,
};
use mallowpath::{
    CONFIG_STREAM, Category, ConfigRecord, PublishOutcome, RouterTuning, Version, load_config,
    publish,
};
use mallowpath_embedded::{EXAMPLE_BEARER_KEY, EmbeddedFleet, EmbeddedFleetSettings};
use mallowpath_standins::{Outage, forwarder::Mode, host_list};
use prost::Message;
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Limit within which an accepted configuration must be in force on every process.
const IN_FORCE_MS: u64 = 7_000;

async fn start_fleet() -> EmbeddedFleet {
    let settings = EmbeddedFleetSettings {
        routers: 2,
        zones: 2,
        ..EmbeddedFleetSettings::default()
    };
    EmbeddedFleet::start(settings)
        .await
        .expect("the fleet starts")
}

fn service_section(number: u64) -> String {
    format!("[service s{number}]\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn version_is_in_force_everywhere_within_the_limit() {
    let fleet = start_fleet().await;
    let log = forward_to(fleet.log_service.address).await;
    let host = host_settings("router-cut", "zone-2", log.address, fleet.host_list.address);
    let (cut, addresses) = start_router(host, RouterTuning::default())
        .await
        .expect("the router starts");
    let hosts = fleet.host_list.address;
    add_host(hosts, "router-cut", "router", "zone-2", addresses.peers).await;
    wait_until(5_000, "connecting to all sidecars", || {
        cut.connected_backends() >= fleet.sidecars.len()
    })
    .await;
    log.set_mode(Mode::BlackHole);
    let mut worst_ms = 0;
    for number in 0..4 {
        let version = publish_text(fleet.log_service.address, &service_section(number)).await;
        let all = || is_in_force_everywhere(&fleet, version) && cut.config_version() >= version;
        worst_ms = worst_ms.max(wait_until(IN_FORCE_MS, "propagation", all).await);
    }
    println!("in force on 3 routers and 4 sidecars within {worst_ms} ms, one router cut off");
    sleep_ms(5_000).await;
    // The log service does not answer this router, so only peers can have confirmed its version.
    let age_ms = cut.config_age_ms().expect("the configuration is confirmed");
    assert!(age_ms < 5_000, "confirmed {age_ms} ms ago");
}

#[tokio::test(flavor = "multi_thread")]
async fn config_version_never_decreases() {
    let fleet = start_fleet().await;
    let ended = Arc::new(AtomicBool::new(false));
    let mut watchers = Vec::new();
    for (router, _) in &fleet.routers {
        let (router, ended) = (Arc::clone(router), Arc::clone(&ended));
        watchers.push(tokio::spawn(async move {
            let mut newest = Version(0);
            while !ended.load(Ordering::Relaxed) {
                let version = router.config_version();
                assert!(version >= newest, "{version} after {newest}");
                newest = version;
                sleep_ms(1).await;
            }
        }));
    }
    let sidecars = fleet.sidecars.clone();
    let sidecars_ended = Arc::clone(&ended);
    watchers.push(tokio::spawn(async move {
        let mut newest = vec![Some(0); sidecars.len()];
        while !sidecars_ended.load(Ordering::Relaxed) {
            for (sidecar, newest) in sidecars.iter().zip(&mut newest) {
                let version = sidecar.dump()["config_version"].as_u64();
                assert!(version >= *newest);
                *newest = version;
            }
            sleep_ms(5).await;
        }
    }));
    let before = publish_text(fleet.log_service.address, &service_section(1)).await;
    wait_until(IN_FORCE_MS, "propagation", || {
        is_in_force_everywhere(&fleet, before)
    })
    .await;
    fleet.log_service.change(|log| log.outage = Outage::Refuse);
    // A router that starts during the outage can load the configuration only from its peers.
    let host = host_settings(
        "late",
        "zone-1",
        fleet.log_service.address,
        fleet.host_list.address,
    );
    let (late, addresses) = start_router(host, RouterTuning::default())
        .await
        .expect("a peer provides the configuration");
    assert_eq!(late.config_version(), before);
    add_host(
        fleet.host_list.address,
        "late",
        "router",
        "zone-1",
        addresses.peers,
    )
    .await;
    sleep_ms(1_500).await;
    fleet.log_service.change(|log| log.outage = Outage::None);
    let after = publish_text(fleet.log_service.address, &service_section(2)).await;
    let all = || is_in_force_everywhere(&fleet, after) && late.config_version() == after;
    wait_until(IN_FORCE_MS, "propagation", all).await;
    ended.store(true, Ordering::Relaxed);
    for watcher in watchers {
        watcher.await.expect("the version never decreases");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn router_without_any_configuration_fails_to_start() {
    let fleet = start_fleet().await;
    let log = forward_to(fleet.log_service.address).await;
    log.set_mode(Mode::Cut);
    let hosts = host_list::start(host_list::Settings::default())
        .await
        .expect("the host list starts");
    let tuning = RouterTuning {
        load_timeout_ms: 500,
        ..RouterTuning::default()
    };
    let error = start_router(
        host_settings("r", "zone-0", log.address, hosts.address),
        tuning,
    )
    .await
    .expect_err("no source has a configuration");
    assert_eq!(error.category(), Category::Refused);
    assert_eq!(
        error.to_string(),
        "load the configuration at config: neither the log service nor any of 0 routers on the \
         host list gave a configuration within 500 ms"
    );
}

const REFUSE_WHEN_UNCONFIRMED: &str = "
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
async fn unconfirmed_configuration_serves_or_refuses_as_configured() {
    let hash = mallowpath::BearerHash::of("careful").to_string();
    let text = REFUSE_WHEN_UNCONFIRMED.replace("HASH", &hash);
    // Two zones, so that bills have a copy in another zone while the log service is unavailable.
    let settings = EmbeddedFleetSettings {
        routers: 2,
        zones: 2,
        configuration: example_with(&text),
        ..EmbeddedFleetSettings::default()
    };
    let fleet = EmbeddedFleet::start(settings)
        .await
        .expect("the fleet starts");
    let callers = fleet.routers[0].1.callers;
    assert_eq!(call_lookup_with_key(callers, "careful").await.0, 200);
    assert_eq!(
        call_lookup_with_key(callers, EXAMPLE_BEARER_KEY).await.0,
        200
    );
    fleet.log_service.change(|log| log.outage = Outage::Refuse);
    sleep_ms(3_000).await;
    let (status, body) = call_lookup_with_key(callers, "careful").await;
    assert_eq!(status, 503);
    assert_eq!(body["error"]["code"], "unconfirmed");
    assert_eq!(body["error"]["outcome"], "not_run");
    // This workspace is admitted while unconfirmed, but may lack tokens during the outage.
    let (_, body) = call_lookup_with_key(callers, EXAMPLE_BEARER_KEY).await;
    assert_ne!(body["error"]["code"], "unconfirmed");
    fleet.log_service.change(|log| log.outage = Outage::None);
    sleep_ms(3_000).await;
    assert_eq!(call_lookup_with_key(callers, "careful").await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn exactly_one_of_two_concurrent_publishes_is_accepted() {
    let fleet = start_fleet().await;
    let log = log_client(fleet.log_service.address);
    let (first, second) = (
        example_with(&service_section(1)),
        example_with(&service_section(2)),
    );
    // Slow answers make both operators read the same version before either appends.
    fleet.log_service.change(|log| log.delay_ms = 200);
    let (ann, bo) = tokio::join!(publish(&log, &first, "ann"), publish(&log, &second, "bo"));
    let (winner, lost) = match (
        ann.expect("the publish call succeeds"),
        bo.expect("the publish call succeeds"),
    ) {
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
    wait_until(IN_FORCE_MS, "propagation", || {
        is_in_force_everywhere(&fleet, version)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn delayed_heartbeats_raise_the_config_age() {
    const DELAY_MS: u64 = 1_000;
    let fleet = start_fleet().await;
    let log = forward_to(fleet.log_service.address).await;
    let peer = forward_to(fleet.routers[0].1.peers).await;
    let hosts = host_list::start(host_list::Settings::default())
        .await
        .expect("the host list starts");
    add_host(hosts.address, "router-0", "router", "zone-0", peer.address).await;
    let host = host_settings("far", "zone-9", log.address, hosts.address);
    let (far, _) = start_router(host, RouterTuning::default())
        .await
        .expect("the router starts");
    log.set_mode(Mode::BlackHole);
    sleep_ms(5_000).await;
    let age_ms = far.config_age_ms().expect("the configuration is confirmed");
    assert!(age_ms < 4_000, "not confirmed by the peer: {age_ms}");
    peer.change(|settings| settings.delay_ms = DELAY_MS);
    sleep_ms(5_000).await;
    for _ in 0..200 {
        let age_ms = far.config_age_ms().expect("the configuration is confirmed");
        assert!((2 * DELAY_MS..9_000).contains(&age_ms), "{age_ms}");
        sleep_ms(20).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reader_behind_the_retention_resumes_from_a_checkpoint() {
    let fleet = start_fleet().await;
    let log = forward_to(fleet.log_service.address).await;
    let hosts = host_list::start(host_list::Settings::default())
        .await
        .expect("the host list starts");
    let host = host_settings("late", "zone-9", log.address, hosts.address);
    let (late, _) = start_router(host, RouterTuning::default())
        .await
        .expect("the router starts");
    let before = late.config_version();
    log.set_mode(Mode::BlackHole);
    for number in 0..3 {
        publish_text(fleet.log_service.address, &service_section(number)).await;
    }
    let client = log_client(fleet.log_service.address);
    let state = load_config(&client).await.expect("the configuration loads");
    fleet.log_service.change(|log| log.retained_records = 1);
    for part in state.checkpoint() {
        let record = ConfigRecord::from(part).encode_to_vec();
        let appended = client.append(CONFIG_STREAM, record.into()).await;
        appended.expect("the append succeeds");
    }
    let (first, _) = client
        .bounds(CONFIG_STREAM)
        .await
        .expect("the bounds are read");
    assert!(
        first.0 > before.0,
        "the records that the router lacks are gone"
    );
    log.set_mode(Mode::Open);
    wait_until(IN_FORCE_MS, "catch-up", || {
        late.config_version() == state.version()
    })
    .await;
    let confirmed = || late.config_age_ms().is_some_and(|age_ms| age_ms < 1_500);
    wait_until(IN_FORCE_MS, "confirmation", confirmed).await;
}
