//! The log service down, slow or losing answers while callers go on.

use mallowpath_e2e::{Call, CallKind, Cluster, ClusterSettings, Failure, History};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::sleep;

const CALLERS_PER_ROUTER: u64 = 3;
const WARM_MS: u64 = 2_000;
const FAULT_MS: u64 = 3_000;
/// Bills reach the log within this time after the fault.
const SETTLE_MS: u64 = 4_000;

fn call(caller: u64, number: u64) -> Call {
    Call {
        kind: [CallKind::Streamed, CallKind::Unstreamed][usize::from(number % 2 == 1)],
        prompt: format!("caller {caller} booking {number}"),
        max_tokens: 12,
        natural_tokens: 10,
    }
}

struct Seen {
    /// Whole answers of calls that began during the fault.
    whole: usize,
    /// Other ends of calls that began during the fault.
    refused: usize,
}

/// Runs callers over a fault of the log and checks everything afterwards.
async fn serve_over(fault: Value, repair: Value) -> Result<Seen, Failure> {
    let mut cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    let until_ms = WARM_MS + FAULT_MS + 500;
    let routers = cluster.callers();
    let callers = history.spawn_callers(&routers, CALLERS_PER_ROUTER, until_ms, call);
    sleep(Duration::from_millis(WARM_MS)).await;
    let began_ms = history.now_ms();
    cluster.log.change(fault).await;
    sleep(Duration::from_millis(FAULT_MS)).await;
    cluster.log.change(repair).await;
    let ended_ms = history.now_ms();
    for caller in callers {
        caller.await?;
    }
    cluster.verify(&history, SETTLE_MS).await?;
    let mut seen = Seen {
        whole: 0,
        refused: 0,
    };
    for operation in history.operations() {
        if operation.started_ms < began_ms || operation.started_ms >= ended_ms {
            continue;
        }
        if operation.is_whole() {
            seen.whole += 1;
        } else {
            seen.refused += 1;
            println!("{operation:?}");
        }
    }
    println!(
        "{} whole and {} refused during the fault",
        seen.whole, seen.refused
    );
    cluster.verify_exact_after_drain(10_000).await?;
    Ok(seen)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serving_goes_on_while_the_log_refuses() -> Result<(), Failure> {
    let seen = serve_over(json!({"outage": "refuse"}), json!({"outage": "none"})).await?;
    assert_eq!(seen.refused, 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serving_goes_on_while_the_log_hangs() -> Result<(), Failure> {
    let seen = serve_over(json!({"outage": "hang"}), json!({"outage": "none"})).await?;
    assert_eq!(seen.refused, 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serving_goes_on_while_the_log_is_slow() -> Result<(), Failure> {
    let seen = serve_over(json!({"delay_ms": 600}), json!({"delay_ms": 0})).await?;
    assert_eq!(seen.refused, 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_of_the_log_double_nothing() -> Result<(), Failure> {
    let lossy = json!({"lost_answer_probability": 0.5});
    let seen = serve_over(lossy, json!({"lost_answer_probability": 0.0})).await?;
    assert_eq!(seen.refused, 0);
    Ok(())
}
