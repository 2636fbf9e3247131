//! Requests with idempotency keys that are sent again through any router.

use mallowpath_e2e::{
    BoxError, Call, CallKind, Cluster, ClusterSettings, History, expect_complete,
};
use mallowpath_standins::plain_service;
use serde_json::json;
use std::time::Duration;
use tokio::time::sleep;

const KEYS: usize = 6;

fn settings() -> ClusterSettings {
    let service = plain_service::Settings {
        delay_ms: 400,
        ..plain_service::Settings::default()
    };
    ClusterSettings {
        services: vec![("notices", service.clone()), ("notices", service)],
        ..ClusterSettings::default()
    }
}

fn keyed(number: usize) -> Call {
    Call {
        kind: [CallKind::Streamed, CallKind::Plain("notices")][number % 2],
        prompt: format!("notice {number}"),
        max_tokens: 80,
        natural_tokens: 60,
        key: Some(format!("key-{number}")),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_sent_through_two_routers_at_once_runs_once() -> Result<(), BoxError> {
    let cluster = Cluster::start(settings()).await?;
    let routers = cluster.callers();
    let history = History::new();
    let mut calls = Vec::new();
    for number in 0..KEYS {
        calls.push(history.spawn_with_retries(&[routers[0], routers[1]], keyed(number), 20));
        calls.push(history.spawn_with_retries(&[routers[1], routers[0]], keyed(number), 20));
    }
    expect_complete(calls).await?;
    cluster.verify(&history, 3_000).await?;
    assert_eq!(cluster.run_counts().await.len(), KEYS);
    Ok(())
}

/// Kills a router while calls with idempotency keys run; their callers retry at the other routers.
async fn retry_after_router_kill() -> Result<(Cluster, History), BoxError> {
    let settings = ClusterSettings {
        routers: 3,
        ..settings()
    };
    let cluster = Cluster::start(settings).await?;
    let routers = cluster.callers();
    let history = History::new();
    let mut calls = Vec::new();
    for number in 0..KEYS {
        calls.push(history.spawn_with_retries(&routers, keyed(number), 40));
    }
    sleep(Duration::from_millis(300)).await;
    assert_eq!(
        cluster.run_counts().await.len(),
        KEYS,
        "not every request runs before the router is killed"
    );
    cluster.routers[0].process.kill();
    cluster.remove_host("router-0").await?;
    expect_complete(calls).await?;
    Ok((cluster, history))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_sent_again_after_its_router_was_killed_does_not_run_again() -> Result<(), BoxError> {
    let (cluster, history) = retry_after_router_kill().await?;
    cluster.verify(&history, 6_000).await?;
    assert_eq!(cluster.run_counts().await.len(), KEYS);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_that_ran_is_not_reported_as_not_run() -> Result<(), BoxError> {
    let (_cluster, history) = retry_after_router_kill().await?;
    for operation in history.operations() {
        assert!(!operation.has_outcome("not_run"), "{operation:?}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_run_once_while_the_log_is_down() -> Result<(), BoxError> {
    let cluster = Cluster::start(settings()).await?;
    let routers = cluster.callers();
    let history = History::new();
    let warm = history.spawn_with_retries(&[routers[0], routers[1]], keyed(KEYS), 20);
    expect_complete(vec![warm]).await?;
    cluster.log.change_settings(json!({"outage": "hang"})).await;
    let mut calls = Vec::new();
    for number in 0..KEYS {
        calls.push(history.spawn(routers[0], keyed(number)));
        calls.push(history.spawn(routers[1], keyed(number)));
    }
    let mut complete = 0;
    for call in calls {
        complete += usize::from(call.await?.is_complete());
    }
    println!("{complete} of {} calls were served in the outage", 2 * KEYS);
    cluster.log.change_settings(json!({"outage": "none"})).await;
    cluster.verify(&history, 8_000).await?;
    assert!(cluster.run_counts().await.len() <= KEYS + 1);
    Ok(())
}
