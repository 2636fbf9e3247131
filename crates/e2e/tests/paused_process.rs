//! Processes that are stopped for seconds and then resume with the state that they had.

use mallowpath::Tokens;
use mallowpath_e2e::{
    Answer, BoxError, Call, CallKind, Cluster, ClusterSettings, History, Operation,
    expect_complete, is_budget_linearizable,
};
use std::time::Duration;
use tokio::{task::JoinHandle, time::sleep};

/// How long a process stays stopped.
const STOPPED_MS: u64 = 3_000;

/// How long callers try at most to spend most of a budget.
const SPENDING_MS: u64 = 60_000;

fn spawn_streams(cluster: &Cluster, history: &History, count: usize) -> Vec<JoinHandle<Operation>> {
    let routers = cluster.callers();
    let mut calls = Vec::new();
    for number in 0..count {
        let call = Call {
            kind: [CallKind::Streamed, CallKind::Unstreamed][number % 2],
            prompt: format!("movement {number} of the airfield"),
            max_tokens: 150,
            natural_tokens: 120,
            ..Call::default()
        };
        calls.push(history.spawn(routers[number / 2 % 2], call));
    }
    calls
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_of_a_paused_router_arrive_late_and_complete() -> Result<(), BoxError> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    let calls = spawn_streams(&cluster, &history, 8);
    sleep(Duration::from_millis(600)).await;
    cluster.routers[0].process.stop();
    sleep(Duration::from_millis(STOPPED_MS)).await;
    cluster.routers[0].process.resume();
    expect_complete(calls).await?;
    cluster.verify(&history, 4_000).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_at_a_paused_sidecar_run_once_and_are_answered_late() -> Result<(), BoxError> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    let calls = spawn_streams(&cluster, &history, 8);
    sleep(Duration::from_millis(600)).await;
    cluster.sidecars[0].process.stop();
    sleep(Duration::from_millis(STOPPED_MS / 2)).await;
    // New calls go to the other sidecar in the meantime.
    let operation = history.call(cluster.callers()[1], Call::default()).await;
    assert!(operation.is_complete(), "{operation:?}");
    sleep(Duration::from_millis(STOPPED_MS / 2)).await;
    cluster.sidecars[0].process.resume();
    expect_complete(calls).await?;
    cluster.verify(&history, 4_000).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_router_spends_only_tokens_that_it_still_holds() -> Result<(), BoxError> {
    let settings = ClusterSettings {
        budget: Tokens(1_200),
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).await?;
    let routers = cluster.callers();
    let history = History::new();
    let call = |caller, number| Call {
        prompt: format!("caller {caller:02} booking {number:04}"),
        max_tokens: 20,
        ..Call::default()
    };
    let mut callers = history.spawn_callers(&routers[..1], 3, 1_000, call);
    for caller in callers.drain(..) {
        caller.await?;
    }
    // The stopped router keeps its slices in memory while the other router spends the rest.
    cluster.routers[0].process.stop();
    let callers = history.spawn_callers(&routers[1..], 3, 5_500, call);
    sleep(Duration::from_millis(STOPPED_MS)).await;
    cluster.routers[0].process.resume();
    let resumed_ms = history.now_ms();
    let late = history.spawn_callers(&routers[..1], 3, 6_500, call);
    for caller in callers.into_iter().chain(late) {
        caller.await?;
    }
    // A keeper draws the last tokens about once a second, so the calls above may have spent less.
    for (number, router) in (0..).zip(routers.iter().cycle()) {
        if billed_to_callers(&history) > Tokens(1_000) || history.now_ms() >= SPENDING_MS {
            break;
        }
        history.call(*router, call(20, number)).await;
    }
    let content = cluster.verify(&history, 4_000).await?;
    let billed = content.billed(&cluster.budget());
    assert!(
        billed > Tokens(1_000),
        "only {billed} of 1200 tokens were spent"
    );
    let operations = history.operations();
    let router = |operation: &Operation| operation.request.map(|request| request.incarnation);
    // The first calls were all sent to the router that was stopped later.
    let stopped = operations.first().and_then(router);
    let served_late = operations.iter().any(|operation| {
        operation.is_complete()
            && operation.started_ms >= resumed_ms
            && router(operation) == stopped
    });
    assert!(served_late, "the resumed router served no call");
    assert!(is_budget_linearizable(&operations, &[(0, 1_200)]));
    Ok(())
}

/// Returns the tokens that complete answers were billed for.
fn billed_to_callers(history: &History) -> Tokens {
    let mut billed = Tokens::ZERO;
    for operation in history.operations() {
        if let Answer::Complete { billed_tokens, .. } = operation.answer {
            billed = billed.saturating_add(Tokens(billed_tokens));
        }
    }
    billed
}
