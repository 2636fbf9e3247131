//! Concurrent publishing by two operators, and configuration updates of a router without the log.

use mallowpath::{PublishOutcome, Tokens};
use mallowpath_e2e::{BoxError, Cluster, ClusterSettings, History, dump};
use mallowpath_standins::forwarder::Mode;
use std::time::Duration;
use tokio::time::sleep;

/// Time within which all routers apply an accepted version.
const APPLY_TIMEOUT_MS: u64 = 7_000;
const POLL_MS: u64 = 50;
const ROUNDS: u64 = 5;

/// Waits until every router has applied at least `version` and returns the time in milliseconds.
///
/// # Errors
///
/// Fails when a router goes back to an older version or is too late.
async fn wait_until_applied(cluster: &Cluster, version: u64) -> Result<u64, BoxError> {
    let history = History::new();
    let mut seen = vec![0; cluster.routers.len()];
    while history.now_ms() < APPLY_TIMEOUT_MS {
        for (router, last) in cluster.routers.iter().zip(&mut seen) {
            let now = dump(router.admin).await["config_version"].as_u64();
            let now = now.unwrap_or(*last);
            if now < *last {
                return Err(
                    format!("{} went back from version {last} to {now}", router.name).into(),
                );
            }
            *last = now;
        }
        if seen.iter().all(|now| *now >= version) {
            return Ok(history.now_ms());
        }
        sleep(Duration::from_millis(POLL_MS)).await;
    }
    Err(
        format!("routers are at versions {seen:?}, not {version}, after {APPLY_TIMEOUT_MS} ms")
            .into(),
    )
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_racing_operators_wins_and_the_other_is_told() -> Result<(), BoxError> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let mut lost = 0;
    for round in 1..=ROUNDS {
        let (anna, bryn) = tokio::join!(
            cluster.publish(Tokens(1_000_000 + round), "anna"),
            cluster.publish(Tokens(2_000_000 + round), "bryn"),
        );
        let mut newest = 0;
        for (published, other) in [(anna?, "bryn"), (bryn?, "anna")] {
            match published {
                PublishOutcome::Accepted(version) => newest = newest.max(version.0),
                PublishOutcome::Rejected { author, .. } => {
                    assert_eq!(author, other);
                    lost += 1;
                }
                PublishOutcome::Unchanged(version) => {
                    panic!("version {version} was published without changes")
                }
            }
        }
        assert!(newest > 0, "neither operator won");
        wait_until_applied(&cluster, newest).await?;
    }
    println!("{lost} of {ROUNDS} races had a loser");
    assert!(lost > 0, "both operators won every race");
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_without_the_log_gets_the_configuration_from_its_peers() -> Result<(), BoxError> {
    let settings = ClusterSettings {
        forward_log: true,
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).await?;
    let link = cluster.network.forwarder("router-0", "log");
    link.set_mode(Mode::BlackHole).await;
    for round in 1..=2 {
        let tokens = Tokens(3_000_000 + round);
        let PublishOutcome::Accepted(version) = cluster.publish(tokens, "anna").await? else {
            return Err("publishing was not accepted although nobody else publishes".into());
        };
        wait_until_applied(&cluster, version.0).await?;
    }
    Ok(())
}
