//! Backend servers that leave the fleet, and callers that disconnect.

use mallowpath::Tokens;
use mallowpath_e2e::{BoxError, Call, Cluster, ClusterSettings, History, SidecarProcess};
use mallowpath_standins::forwarder::Mode;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The time after which a leaving backend server gets no new work.
const LEFT_WITHIN_MS: u64 = 5_000;
const HEAD_TIMEOUT_MS: u64 = 500;

async fn runs_at(sidecar: &SidecarProcess) -> usize {
    let stats = sidecar.backend.stats().await;
    stats["runs"].as_object().map_or(0, serde_json::Map::len)
}

fn call(caller: u64, number: u64) -> Call {
    Call {
        prompt: format!("caller {caller} booking {number}"),
        max_tokens: 10,
        natural_tokens: 10,
        ..Call::default()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_server_gets_no_work_from_a_router_cut_off_from_the_log() -> Result<(), BoxError>
{
    let settings = ClusterSettings {
        forward_log: true,
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).await?;
    let history = History::new();
    let until_ms = LEFT_WITHIN_MS + 2_500;
    let callers = history.spawn_callers(&cluster.callers(), 2, until_ms, call);
    sleep(Duration::from_millis(500)).await;
    let link = cluster.network.forwarder("router-0", "log");
    link.set_mode(Mode::BlackHole).await;
    let leaving = "[backend small-0]\nstate = leaving\nservice = small\n";
    cluster
        .publish_with(Tokens(1_000_000), leaving, "anna")
        .await?;
    sleep(Duration::from_millis(LEFT_WITHIN_MS)).await;
    let before = runs_at(&cluster.sidecars[0]).await;
    for caller in callers {
        caller.await?;
    }
    assert!(before > 0, "the backend server had no work before it left");
    assert_eq!(runs_at(&cluster.sidecars[0]).await, before);
    link.set_mode(Mode::Open).await;
    cluster.verify(&history, 6_000).await?;
    let refused = history.operations().len() - history.complete_count();
    println!(
        "{} complete and {refused} refused",
        history.complete_count()
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_disconnect_are_billed_for_the_tokens_produced() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    let long = Call {
        max_tokens: 1_000,
        natural_tokens: 1_000,
        ..Call::default()
    };
    for router in cluster.callers() {
        let left = timeout(
            Duration::from_millis(HEAD_TIMEOUT_MS),
            long.send_and_leave(router),
        );
        left.await??;
    }
    // The engine needs 10 s for the complete answer; the run is stopped long before.
    let content = cluster.verify(&history, 4_000).await?;
    assert_eq!(content.bills.len(), 2);
    for bill in content.bills.values() {
        assert!(bill.completion_tokens < Tokens(200), "{bill:?}");
    }
    cluster.verify_exact_after_drain(8_000).await
}
