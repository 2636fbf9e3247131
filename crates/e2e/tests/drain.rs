//! Graceful shutdowns under load: no answer may be cut off and no bill may be lost.

use mallowpath_e2e::{
    Answer, BoxError, Call, CallKind, Cluster, ClusterSettings, History, Operation, expect_complete,
};
use serde_json::json;
use std::time::Duration;
use tokio::{task::JoinHandle, time::sleep};

const EXIT_TIMEOUT_MS: u64 = 8_000;
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
            ..Call::default()
        };
        calls.push(history.spawn(routers[number % 2], call));
    }
    calls
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_that_gets_sigterm_twice_cuts_off_no_answer() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    let calls = spawn_streams(&cluster, &history);
    sleep(Duration::from_millis(500)).await;
    cluster.routers[0].process.terminate();
    sleep(Duration::from_millis(100)).await;
    // The router still accepts connections, as the load balancer has not noticed the drain.
    let refused = history.call(cluster.callers()[0], Call::default()).await;
    assert!(refused.has_outcome("not_run"), "{refused:?}");
    cluster.routers[0].process.terminate();
    expect_complete(calls).await?;
    let status = cluster.routers[0]
        .process
        .wait_for_exit(EXIT_TIMEOUT_MS)
        .await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    let operation = history.call(cluster.callers()[1], Call::default()).await;
    assert!(operation.is_complete(), "{operation:?}");
    cluster.verify(&history, 3_000).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sidecar_that_gets_sigterm_twice_cuts_off_no_answer() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    let mut calls = spawn_streams(&cluster, &history);
    sleep(Duration::from_millis(500)).await;
    cluster.sidecars[0].process.terminate();
    // New calls keep arriving; a router may not know yet that the sidecar accepts none.
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
    expect_complete(calls).await?;
    let status = cluster.sidecars[0]
        .process
        .wait_for_exit(EXIT_TIMEOUT_MS)
        .await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    cluster.verify(&history, 3_000).await?;
    let is_broken = |operation: &Operation| operation.answer == Answer::BrokenOff;
    assert!(!history.operations().iter().any(is_broken));
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_that_shuts_down_in_a_log_outage_cuts_off_no_answer_and_loses_no_bill()
-> Result<(), BoxError> {
    let mut cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    let calls = spawn_streams(&cluster, &history);
    sleep(Duration::from_millis(500)).await;
    cluster
        .log
        .change_settings(json!({"outage": "refuse"}))
        .await;
    cluster.routers[0].process.terminate();
    expect_complete(calls).await?;
    cluster.log.change_settings(json!({"outage": "none"})).await;
    let status = cluster.routers[0]
        .process
        .wait_for_exit(EXIT_TIMEOUT_MS)
        .await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    cluster.verify(&history, 3_000).await?;
    Ok(())
}
