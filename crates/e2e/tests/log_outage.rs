//! Serving while the log service is down, slow or loses answers.

use mallowpath_e2e::{BoxError, Call, CallKind, Cluster, ClusterSettings, History};
use serde_json::{Value, json};
use std::{env, time::Duration};
use tokio::time::sleep;

const CALLERS_PER_ROUTER: u64 = 3;
const WARM_UP_MS: u64 = 2_000;
/// Default duration of the fault; the environment variable `E2E_FAULT_MS` overrides it.
const FAULT_MS: u64 = 3_000;
/// Time within which bills reach the log after the fault; the backoff of appends grows during it.
const SETTLE_MS: u64 = 10_000;

fn call(caller: u64, number: u64) -> Call {
    Call {
        kind: [CallKind::Streamed, CallKind::Unstreamed][usize::from(number % 2 == 1)],
        prompt: format!("caller {caller} booking {number}"),
        max_tokens: 12,
        natural_tokens: 10,
        ..Call::default()
    }
}

fn fault_ms() -> u64 {
    let text = env::var("E2E_FAULT_MS").unwrap_or_default();
    text.parse().unwrap_or(FAULT_MS)
}

/// Runs callers before, during and after a fault of the log service, then runs all checks.
///
/// No call may be refused during a fault of the default duration; a longer one may use up the
/// tokens that the routers hold.
async fn serve_during_fault(fault: Value, repair: Value) -> Result<(), BoxError> {
    let mut cluster = Cluster::start(ClusterSettings::default()).await?;
    let history = History::new();
    let fault_ms = fault_ms();
    let until_ms = WARM_UP_MS + fault_ms + 500;
    let routers = cluster.callers();
    let callers = history.spawn_callers(&routers, CALLERS_PER_ROUTER, until_ms, call);
    sleep(Duration::from_millis(WARM_UP_MS)).await;
    let began_ms = history.now_ms();
    cluster.log.change_settings(fault).await;
    sleep(Duration::from_millis(fault_ms)).await;
    cluster.log.change_settings(repair).await;
    let ended_ms = history.now_ms();
    for caller in callers {
        caller.await?;
    }
    cluster.verify(&history, SETTLE_MS).await?;
    let (mut complete, mut refused) = (0, 0);
    for operation in history.operations() {
        if operation.started_ms < began_ms || operation.started_ms >= ended_ms {
            continue;
        }
        complete += usize::from(operation.is_complete());
        refused += usize::from(!operation.is_complete());
    }
    println!("{complete} complete and {refused} refused in {fault_ms} ms of fault");
    assert!(complete > 0);
    assert!(refused == 0 || fault_ms > FAULT_MS, "{refused} refused");
    cluster.verify_exact_after_drain(10_000).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serving_continues_while_the_log_refuses() -> Result<(), BoxError> {
    serve_during_fault(json!({"outage": "refuse"}), json!({"outage": "none"})).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serving_continues_while_the_log_hangs() -> Result<(), BoxError> {
    serve_during_fault(json!({"outage": "hang"}), json!({"outage": "none"})).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serving_continues_while_the_log_is_slow() -> Result<(), BoxError> {
    serve_during_fault(json!({"delay_ms": 600}), json!({"delay_ms": 0})).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_of_the_log_duplicate_no_bill_or_grant() -> Result<(), BoxError> {
    let lossy = json!({"lost_answer_probability": 0.5});
    serve_during_fault(lossy, json!({"lost_answer_probability": 0.0})).await
}
