//! Graceful shutdowns under load.

use mallowpath_e2e::{
    Answer, Call, CallKind, Cluster, ClusterSettings, Failure, History, Operation, expect_whole,
};
use std::time::Duration;
use tokio::{task::JoinHandle, time::sleep};

const EXIT_MS: u64 = 8_000;
const STREAMS: usize = 8;

fn spawn_streams(cluster: &Cluster, history: &History) -> Vec<JoinHandle<Operation>> {
    let routers = cluster.callers();
    let mut calls = Vec::new();
    for number in 0..STREAMS {
        let call = Call {
            kind: [CallKind::Streamed, CallKind::Unstreamed][number / 2 % 2],
            prompt: format!("summary {number} for the school"),
            max_tokens: 400,
            natural_tokens: 300,
        };
        calls.push(history.spawn(routers[number % 2], call));
    }
    calls
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_that_is_told_to_end_twice_cuts_nothing() -> Result<(), Failure> {
    let mut cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    let calls = spawn_streams(&cluster, &history);
    sleep(Duration::from_millis(500)).await;
    cluster.routers[0].process.terminate();
    sleep(Duration::from_millis(100)).await;
    // The balancer has not noticed yet.
    let refused = history.call(cluster.callers()[0], Call::default()).await;
    assert!(refused.has_outcome("not_run"), "{refused:?}");
    cluster.routers[0].process.terminate();
    expect_whole(calls).await?;
    let status = cluster.routers[0].process.exit(EXIT_MS).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let operation = history.call(cluster.callers()[1], Call::default()).await;
    assert!(operation.is_whole(), "{operation:?}");
    cluster.verify(&history, 3_000).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sidecar_that_is_told_to_end_twice_cuts_nothing() -> Result<(), Failure> {
    let mut cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    let mut calls = spawn_streams(&cluster, &history);
    sleep(Duration::from_millis(500)).await;
    cluster.sidecars[0].process.terminate();
    // Work goes on coming in; the router may not know yet that the sidecar takes none.
    for number in 0..20 {
        let call = Call {
            prompt: format!("booking {number}"),
            ..Call::default()
        };
        calls.push(history.spawn(cluster.callers()[number % 2], call));
        sleep(Duration::from_millis(20)).await;
        if number == 10 {
            cluster.sidecars[0].process.terminate();
        }
    }
    expect_whole(calls).await?;
    let status = cluster.sidecars[0].process.exit(EXIT_MS).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    cluster.verify(&history, 3_000).await?;
    let is_broken = |operation: &Operation| operation.answer == Answer::BrokenOff;
    assert!(!history.operations().iter().any(is_broken));
    Ok(())
}
