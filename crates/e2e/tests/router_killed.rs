//! Routers that are killed with open streams, and callers that retry.

use mallowpath_e2e::{
    BoxError, Call, CallKind, Cluster, ClusterSettings, History, expect_complete,
};
use std::time::Duration;
use tokio::time::sleep;

fn stream(number: u64) -> Call {
    Call {
        prompt: format!("notice {number} for the reception"),
        max_tokens: 120,
        natural_tokens: 100,
        ..Call::default()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_a_killed_router_are_served_and_its_bills_survive() -> Result<(), BoxError> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let routers = cluster.callers();
    let history = History::new();
    for number in 0..3 {
        let call = Call {
            kind: CallKind::Unstreamed,
            prompt: format!("short {number}"),
            ..Call::default()
        };
        let operation = history.call(routers[0], call).await;
        assert!(operation.is_complete(), "{operation:?}");
    }
    let mut calls = Vec::new();
    for number in 0..10 {
        let first = usize::from(number >= 7);
        let order = [routers[first], routers[1]];
        calls.push(history.spawn_with_retries(&order, stream(number), 5));
    }
    sleep(Duration::from_millis(600)).await;
    cluster.routers[0].process.kill();
    expect_complete(calls).await?;
    cluster.verify(&history, 6_000).await?;
    assert_eq!(history.complete_count(), 13);
    Ok(())
}
