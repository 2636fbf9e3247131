//! Requests of every kind through separate processes, without faults.

use mallowpath_e2e::{
    BoxError, Call, CallKind, Cluster, ClusterSettings, History, expect_complete,
    is_budget_linearizable,
};

const CALLS_PER_KIND: u64 = 6;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_answer_is_complete_and_billed_once_and_the_budget_is_exact() -> Result<(), BoxError>
{
    let mut cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    let mut calls = Vec::new();
    for number in 0..CALLS_PER_KIND {
        for kind in [
            CallKind::Streamed,
            CallKind::Unstreamed,
            CallKind::Plain("lookup"),
        ] {
            let router = cluster.callers()[usize::from(number % 2 == 1)];
            let call = Call {
                kind,
                prompt: format!("booking {number} of the town hall"),
                // Answers with more than `max_tokens` natural tokens are cut at `max_tokens`.
                max_tokens: 30,
                natural_tokens: 20 + 5 * number,
                ..Call::default()
            };
            calls.push(history.spawn(router, call));
        }
    }
    expect_complete(calls).await?;
    let content = cluster.wait_until_billed(&history, 3_000).await?;
    cluster.check(&history, &content).await.into_result()?;
    assert_eq!(content.bills.len() as u64, 3 * CALLS_PER_KIND);
    let operations = history.operations();
    assert!(is_budget_linearizable(&operations, &[(0, 1_000_000)]));

    cluster.verify_exact_after_drain(8_000).await?;
    Ok(())
}
