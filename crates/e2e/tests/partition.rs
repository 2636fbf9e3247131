//! Budgets that two availability zones spend to their end, also while one is cut off from the log.

use mallowpath::Tokens;
use mallowpath_e2e::{
    BoxError, Call, CallKind, Cluster, ClusterSettings, History, Operation, is_budget_linearizable,
};
use mallowpath_standins::forwarder::Mode;
use std::time::Duration;
use tokio::time::sleep;

/// The most tokens that one call reserves: its prompt estimate and its `max_tokens`.
const RESERVED_TOKENS: u64 = 40;
/// The most tokens that may be left over: each of the two routers and their ledger keepers may hold
/// less than one call needs.
const STRANDED_TOKENS: u64 = 4 * RESERVED_TOKENS;

fn call(caller: u64, number: u64) -> Call {
    Call {
        kind: CallKind::Unstreamed,
        // Prompts have equal length, so that all calls reserve the same number of tokens.
        prompt: format!("caller {caller:02} booking {number:04}"),
        max_tokens: 20,
        natural_tokens: 20,
        ..Call::default()
    }
}

/// Returns whether a call was made by a caller of the router with this number.
fn is_from_router(operation: &Operation, router: u64) -> bool {
    let name = format!("caller {router}");
    operation.call.prompt.starts_with(&name)
}

/// Returns the number of complete answers to calls that started after a call of the same size was
/// refused with `budget_exhausted`.
fn served_after_exhausted(operations: &[Operation]) -> usize {
    let mut exhausted_ms = u64::MAX;
    for operation in operations {
        if operation.has_code("budget_exhausted") {
            exhausted_ms = exhausted_ms.min(operation.ended_ms);
        }
    }
    let is_late = |o: &&Operation| o.is_complete() && o.started_ms > exhausted_ms;
    operations.iter().filter(is_late).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_nearly_spent_budget_is_spent_to_its_end_from_both_zones() -> Result<(), BoxError> {
    let settings = ClusterSettings {
        budget: Tokens(900),
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).await?;
    let history = History::new();
    let callers = history.spawn_callers(&cluster.callers(), 2, 7_000, call);
    for caller in callers {
        caller.await?;
    }
    let content = cluster.verify(&history, 3_000).await?;
    let left = 900 - content.billed(&cluster.budget()).0;
    let operations = history.operations();
    println!(
        "{} complete, {left} tokens left, {} refused as unavailable and {} as exhausted",
        history.complete_count(),
        history.refused_count("budget_unavailable"),
        history.refused_count("budget_exhausted"),
    );
    assert!(left < STRANDED_TOKENS, "{left} tokens are left unspent");
    assert!(
        !history
            .operations()
            .iter()
            .any(|o| o.has_outcome("unknown"))
    );
    assert_eq!(served_after_exhausted(&operations), 0);
    assert!(is_budget_linearizable(&operations, &[(0, 900)]));
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_top_up_during_a_partition_is_not_overspent() -> Result<(), BoxError> {
    let settings = ClusterSettings {
        budget: Tokens(1_500),
        forward_log: true,
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).await?;
    let history = History::new();
    let callers = history.spawn_callers(&cluster.callers(), 2, 8_500, call);
    sleep(Duration::from_millis(700)).await;
    let link = cluster.network.forwarder("router-0", "log");
    link.set_mode(Mode::BlackHole).await;
    sleep(Duration::from_secs(2)).await;
    let topped_up_ms = history.now_ms();
    cluster.top_up("invoice-7", Tokens(1_000)).await?;
    sleep(Duration::from_secs(2)).await;
    let healed_ms = history.now_ms();
    link.set_mode(Mode::Open).await;
    for caller in callers {
        caller.await?;
    }
    let content = cluster.verify(&history, 4_000).await?;
    let left = 2_500 - content.billed(&cluster.budget()).0;
    let operations = history.operations();
    let within =
        |o: &&Operation| o.is_complete() && o.started_ms > topped_up_ms && o.ended_ms < healed_ms;
    println!(
        "{} complete, {} of them from the top-up during the partition, {left} tokens left, {} refused \
         as unavailable and {} as exhausted",
        history.complete_count(),
        operations.iter().filter(within).count(),
        history.refused_count("budget_unavailable"),
        history.refused_count("budget_exhausted"),
    );
    assert!(
        operations.iter().any(|o| within(&o)),
        "the top-up was not spent"
    );
    let is_served_after_heal =
        |o: &Operation| o.is_complete() && o.started_ms > healed_ms && is_from_router(o, 0);
    assert!(
        operations.iter().any(is_served_after_heal),
        "the router that was cut off served nothing afterwards"
    );
    let payments = [(0, 1_500), (topped_up_ms, 1_000)];
    assert!(is_budget_linearizable(&operations, &payments));
    Ok(())
}
