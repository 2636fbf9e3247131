//! Availability zones that lose the log, and budgets drawn to their end from both sides.

use mallowpath::Tokens;
use mallowpath_e2e::{
    Call, CallKind, Cluster, ClusterSettings, Failure, History, Operation, is_budget_linearizable,
};
use mallowpath_standins::forwarder::Mode;
use std::time::Duration;
use tokio::time::sleep;

/// What one call reserves at most: its prompt estimate and its output cap.
const RESERVED_TOKENS: u64 = 40;
/// Each of two routers and their keepers may be left with less than one call needs.
const STRANDED_TOKENS: u64 = 4 * RESERVED_TOKENS;

fn call(caller: u64, number: u64) -> Call {
    Call {
        kind: CallKind::Unstreamed,
        // Of equal length, so that all calls reserve the same.
        prompt: format!("caller {caller:02} booking {number:04}"),
        max_tokens: 20,
        natural_tokens: 20,
    }
}

/// Returns whether a call was made by a caller of a router.
fn is_of(operation: &Operation, router: u64) -> bool {
    let name = format!("caller {router}");
    operation.call.prompt.starts_with(&name)
}

/// Returns the whole answers to calls that began after one of the same size met an exhausted budget.
fn served_after_exhausted(operations: &[Operation]) -> usize {
    let mut exhausted_ms = u64::MAX;
    for operation in operations {
        if operation.has_code("budget_exhausted") {
            exhausted_ms = exhausted_ms.min(operation.ended_ms);
        }
    }
    let is_late = |o: &&Operation| o.is_whole() && o.started_ms > exhausted_ms;
    operations.iter().filter(is_late).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_nearly_spent_budget_is_drawn_from_both_zones_to_its_end() -> Result<(), Failure> {
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
        "{} whole, {left} tokens left, {} refused as unavailable and {} as exhausted",
        history.whole_count(),
        history.refused_count("budget_unavailable"),
        history.refused_count("budget_exhausted"),
    );
    assert!(left < STRANDED_TOKENS, "{left} tokens are stranded");
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
async fn a_top_up_beyond_a_partition_is_never_overspent() -> Result<(), Failure> {
    let settings = ClusterSettings {
        budget: Tokens(1_500),
        forward_log: true,
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).await?;
    let history = History::new();
    let callers = history.spawn_callers(&cluster.callers(), 2, 8_500, call);
    sleep(Duration::from_millis(700)).await;
    let way = cluster.network.between("router-0", "log");
    way.set_mode(Mode::BlackHole).await;
    sleep(Duration::from_secs(2)).await;
    let topped_up_ms = history.now_ms();
    cluster.top_up("invoice-7", Tokens(1_000)).await?;
    sleep(Duration::from_secs(2)).await;
    let healed_ms = history.now_ms();
    way.set_mode(Mode::Open).await;
    for caller in callers {
        caller.await?;
    }
    let content = cluster.verify(&history, 4_000).await?;
    let left = 2_500 - content.billed(&cluster.budget()).0;
    let operations = history.operations();
    let within =
        |o: &&Operation| o.is_whole() && o.started_ms > topped_up_ms && o.ended_ms < healed_ms;
    println!(
        "{} whole, {} of them from the top-up during the partition, {left} tokens left, {} refused \
         as unavailable and {} as exhausted",
        history.whole_count(),
        operations.iter().filter(within).count(),
        history.refused_count("budget_unavailable"),
        history.refused_count("budget_exhausted"),
    );
    assert!(
        operations.iter().any(|o| within(&o)),
        "the top-up was not spent"
    );
    let is_back = |o: &Operation| o.is_whole() && o.started_ms > healed_ms && is_of(o, 0);
    assert!(
        operations.iter().any(is_back),
        "the cut-off router did not come back"
    );
    let payments = [(0, 1_500), (topped_up_ms, 1_000)];
    assert!(is_budget_linearizable(&operations, &payments));
    Ok(())
}
