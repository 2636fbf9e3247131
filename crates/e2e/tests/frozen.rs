//! Processes that are paused for seconds and then go on as if nothing had happened.

use mallowpath_e2e::{Call, CallKind, Cluster, ClusterSettings, Failure, History, expect_whole};
use std::time::Duration;
use tokio::{task::JoinHandle, time::sleep};

const FROZEN_MS: u64 = 3_000;

fn spawn_streams(
    cluster: &Cluster,
    history: &History,
    count: usize,
) -> Vec<JoinHandle<mallowpath_e2e::Operation>> {
    let routers = cluster.callers();
    let mut calls = Vec::new();
    for number in 0..count {
        let call = Call {
            kind: [CallKind::Streamed, CallKind::Unstreamed][number % 2],
            prompt: format!("movement {number} of the airfield"),
            max_tokens: 150,
            natural_tokens: 120,
        };
        calls.push(history.spawn(routers[number / 2 % 2], call));
    }
    calls
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_of_a_frozen_router_come_late_and_whole() -> Result<(), Failure> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    let calls = spawn_streams(&cluster, &history, 8);
    sleep(Duration::from_millis(600)).await;
    cluster.routers[0].process.freeze();
    sleep(Duration::from_millis(FROZEN_MS)).await;
    cluster.routers[0].process.thaw();
    expect_whole(calls).await?;
    cluster.verify(&history, 4_000).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_of_a_frozen_sidecar_come_late_and_run_once() -> Result<(), Failure> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    let calls = spawn_streams(&cluster, &history, 8);
    sleep(Duration::from_millis(600)).await;
    cluster.sidecars[0].process.freeze();
    sleep(Duration::from_millis(FROZEN_MS / 2)).await;
    // New work goes elsewhere meanwhile.
    let operation = history.call(cluster.callers()[1], Call::default()).await;
    assert!(operation.is_whole(), "{operation:?}");
    sleep(Duration::from_millis(FROZEN_MS / 2)).await;
    cluster.sidecars[0].process.thaw();
    expect_whole(calls).await?;
    cluster.verify(&history, 4_000).await?;
    Ok(())
}
