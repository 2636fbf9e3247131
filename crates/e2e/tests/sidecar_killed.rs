//! Sidecars that are killed while requests run.

use mallowpath_e2e::{BoxError, Call, CallKind, Cluster, ClusterSettings, History, Operation};
use mallowpath_standins::plain_service;
use std::time::Duration;
use tokio::time::sleep;

/// The longest time that a caller waits for its answer after the sidecar was killed.
const ANSWER_TIMEOUT_MS: u64 = 6_500;

fn has_run(operation: &Operation, runs: &[String]) -> bool {
    operation
        .request
        .is_some_and(|request| runs.contains(&request.to_string()))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_ran_at_a_killed_sidecar_are_never_reported_as_not_run()
-> Result<(), BoxError> {
    let slow = plain_service::Settings {
        delay_ms: 1_500,
        ..plain_service::Settings::default()
    };
    let settings = ClusterSettings {
        services: vec![("notices", slow)],
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).await?;
    let routers = cluster.callers();
    let history = History::new();
    let mut calls = Vec::new();
    for number in 0..8 {
        let call = Call {
            prompt: format!("invoice {number}"),
            max_tokens: 120,
            natural_tokens: 100,
            ..Call::default()
        };
        calls.push(history.spawn(routers[number % 2], call));
    }
    for (number, router) in routers.iter().enumerate() {
        let call = Call {
            kind: CallKind::Plain("notices"),
            prompt: format!("notice {number}"),
            ..Call::default()
        };
        calls.push(history.spawn(*router, call));
    }
    sleep(Duration::from_millis(600)).await;
    cluster.sidecars[0].process.kill();
    cluster.sidecars[2].process.kill();
    let killed_ms = history.now_ms();
    let mut lost = 0;
    for call in calls {
        let operation = call.await?;
        assert!(
            operation.is_complete() || operation.has_outcome("unknown"),
            "{operation:?}"
        );
        assert!(
            operation.ended_ms < killed_ms + ANSWER_TIMEOUT_MS,
            "{operation:?}"
        );
        lost += usize::from(!operation.is_complete());
    }
    assert!(
        lost >= 3,
        "only {lost} requests were at the killed sidecars"
    );
    // New calls go to the remaining sidecar; calls of the service without one are refused.
    for router in &routers {
        let operation = history.call(*router, Call::default()).await;
        assert!(operation.is_complete(), "{operation:?}");
        let call = Call {
            kind: CallKind::Plain("notices"),
            ..Call::default()
        };
        let operation = history.call(*router, call).await;
        assert!(operation.has_outcome("not_run"), "{operation:?}");
    }
    let content = cluster.wait_until_billed(&history, 3_000).await?;
    cluster.check(&history, &content).await.into_result()?;
    let mut ran = Vec::new();
    for request in cluster.run_counts().await.into_keys() {
        ran.push(request.to_string());
    }
    for operation in history.operations() {
        if operation.has_outcome("unknown") {
            assert!(has_run(&operation, &ran), "{operation:?} never started");
        }
    }
    Ok(())
}
