//! Two faults at the same time.

use mallowpath_e2e::{
    BoxError, Call, CallKind, Cluster, ClusterSettings, History, expect_complete,
};
use mallowpath_standins::forwarder::Mode;
use serde_json::json;
use std::time::Duration;
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bills_survive_a_zone_failure_while_the_log_is_down() -> Result<(), BoxError> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    // Each router draws tokens before the log goes down.
    for router in cluster.callers() {
        let mut calls = Vec::new();
        for number in 0..6 {
            let prompt = format!("before {number}");
            calls.push(history.spawn(
                router,
                Call {
                    prompt,
                    ..Call::default()
                },
            ));
        }
        expect_complete(calls).await?;
    }
    cluster.log.change_settings(json!({"outage": "hang"})).await;
    let mut calls = Vec::new();
    for number in 0..4 {
        let kind = [CallKind::Streamed, CallKind::Unstreamed][number % 2];
        let prompt = format!("during {number}");
        let call = Call {
            kind,
            prompt,
            ..Call::default()
        };
        calls.push(history.spawn(cluster.callers()[0], call));
    }
    expect_complete(calls).await?;
    // Zone 0 holds the router and the sidecars 0 and 2.
    cluster.routers[0].process.kill();
    cluster.sidecars[0].process.kill();
    cluster.sidecars[2].process.kill();
    sleep(Duration::from_millis(2_500)).await;
    cluster.log.change_settings(json!({"outage": "none"})).await;
    let content = cluster.wait_until_billed(&history, 6_000).await?;
    cluster.check(&history, &content).await.into_result()?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_killed_while_the_log_is_down_loses_no_bill() -> Result<(), BoxError> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let routers = cluster.callers();
    let history = History::new();
    let mut calls = Vec::new();
    for number in 0..8 {
        let call = Call {
            prompt: format!("long {number}"),
            max_tokens: 120,
            natural_tokens: 100,
            ..Call::default()
        };
        let order = [routers[number % 2], routers[1]];
        calls.push(history.spawn_with_retries(&order, call, 6));
    }
    sleep(Duration::from_millis(400)).await;
    cluster
        .log
        .change_settings(json!({"outage": "refuse"}))
        .await;
    sleep(Duration::from_millis(300)).await;
    cluster.routers[0].process.kill();
    sleep(Duration::from_millis(2_500)).await;
    cluster.log.change_settings(json!({"outage": "none"})).await;
    expect_complete(calls).await?;
    cluster.verify(&history, 6_000).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sidecar_that_shuts_down_over_silent_connections_cuts_off_no_answer()
-> Result<(), BoxError> {
    let settings = ClusterSettings {
        forward_links: true,
        ..ClusterSettings::default()
    };
    let mut cluster = Cluster::start(settings).await?;
    let history = History::new();
    let mut calls = Vec::new();
    for number in 0..8 {
        let call = Call {
            kind: [CallKind::Streamed, CallKind::Unstreamed][number / 2 % 2],
            prompt: format!("layout {number}"),
            max_tokens: 200,
            natural_tokens: 150,
            ..Call::default()
        };
        calls.push(history.spawn(cluster.callers()[number % 2], call));
    }
    sleep(Duration::from_millis(500)).await;
    let name = cluster.sidecars[0].name.clone();
    for router in &cluster.routers {
        let link = cluster.network.forwarder(&router.name, &name);
        link.set_mode(Mode::StaleOld).await;
    }
    cluster.sidecars[0].process.terminate();
    expect_complete(calls).await?;
    let status = cluster.sidecars[0].process.wait_for_exit(8_000).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    cluster.verify(&history, 3_000).await?;
    assert_eq!(cluster.run_counts().await.len(), 8);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_at_a_sidecar_killed_while_the_log_is_down_are_not_reported_as_not_run()
-> Result<(), BoxError> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    let mut calls = Vec::new();
    for number in 0..8 {
        let call = Call {
            prompt: format!("invoice {number}"),
            max_tokens: 120,
            natural_tokens: 100,
            ..Call::default()
        };
        calls.push(history.spawn(cluster.callers()[number % 2], call));
    }
    sleep(Duration::from_millis(300)).await;
    cluster.log.change_settings(json!({"outage": "hang"})).await;
    sleep(Duration::from_millis(300)).await;
    cluster.sidecars[0].process.kill();
    let mut unknown = 0;
    for call in calls {
        let operation = call.await?;
        unknown += usize::from(operation.has_outcome("unknown"));
        assert!(
            operation.is_complete() || operation.has_outcome("unknown"),
            "{operation:?}"
        );
    }
    assert!(unknown > 0, "the killed sidecar had no work");
    cluster.log.change_settings(json!({"outage": "none"})).await;
    let content = cluster.wait_until_billed(&history, 6_000).await?;
    cluster.check(&history, &content).await.into_result()
}
