//! Calls of plain services that must not run twice, although answers or routers are lost.

use mallowpath_e2e::{BoxError, Call, CallKind, Cluster, ClusterSettings, History};
use mallowpath_standins::plain_service::{self, Failure as ServiceFailure};
use serde_json::json;
use std::time::Duration;
use tokio::time::sleep;

fn notice(number: usize) -> Call {
    Call {
        kind: CallKind::Plain("notices"),
        prompt: format!("notice {number}"),
        ..Call::default()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_whose_answer_is_lost_runs_once_and_is_not_reported_as_not_run()
-> Result<(), BoxError> {
    let service = plain_service::Settings::default();
    let settings = ClusterSettings {
        services: vec![("notices", service.clone()), ("notices", service)],
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).await?;
    let history = History::new();
    for sidecar in &cluster.sidecars[2..] {
        let fault = json!({ "failure": ServiceFailure::AfterEffect });
        sidecar.backend.change_settings(fault).await;
    }
    for number in 0..6 {
        let router = cluster.callers()[number % 2];
        let operation = history.call(router, notice(number)).await;
        assert!(
            !operation.is_complete() && !operation.has_outcome("not_run"),
            "{operation:?}"
        );
    }
    let ran = cluster.run_counts().await;
    assert_eq!(ran.values().sum::<u64>(), 6, "{ran:?}");
    let content = cluster.wait_until_billed(&history, 3_000).await?;
    cluster.check(&history, &content).await.into_result()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_at_a_router_that_dies_is_not_run_by_another() -> Result<(), BoxError> {
    let slow = plain_service::Settings {
        delay_ms: 1_000,
        ..plain_service::Settings::default()
    };
    let settings = ClusterSettings {
        services: vec![("notices", slow.clone()), ("notices", slow)],
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).await?;
    let history = History::new();
    let mut calls = Vec::new();
    for number in 0..6 {
        calls.push(history.spawn(cluster.callers()[number % 2], notice(number)));
    }
    sleep(Duration::from_millis(500)).await;
    cluster.routers[0].process.kill();
    for call in calls {
        call.await?;
    }
    assert_eq!(history.complete_count(), 3);
    cluster.verify(&history, 6_000).await?;
    assert_eq!(cluster.run_counts().await.len(), 6);
    Ok(())
}
