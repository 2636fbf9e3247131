//! Streams whose first records have expired: new processes start from a checkpoint, or refuse to.

use mallowpath::{
    Category, LEDGER_SHARDS, LedgerBatch, LedgerEntry, LedgerRecord, LogClient, LogClientSettings,
    Offset, TopUpRecord, audit_log, ledger_stream, shard_of,
};
use mallowpath_embedded::{EXAMPLE_BEARER_KEY, EmbeddedFleet, EmbeddedFleetSettings};
use mallowpath_standins::client::{self, Response};
use prost::Message;
use std::time::Duration;

const BUDGET: &str = "demo-prepaid";
const TOP_UPS: u64 = 60;
/// Pause between top-ups, sidecar restarts and attempts of a chat.
const STEP_PAUSE_MS: u64 = 60;
/// Time within which the pending read of a router ends; only then does the router learn that the
/// first records have expired.
const PENDING_READ_TIMEOUT_MS: u64 = 2_500;

async fn start_fleet(retained_records: u64) -> (EmbeddedFleet, LogClient, String) {
    let mut settings = EmbeddedFleetSettings::default();
    settings.log_service.retained_records = retained_records;
    settings.router_tuning.bill_batch_ms = 50;
    let fleet = EmbeddedFleet::start(settings)
        .await
        .expect("the fleet starts");
    let log = LogClient::new(fleet.log_service.address, LogClientSettings::default());
    let shard = shard_of(&BUDGET.parse().expect("a name"), LEDGER_SHARDS);
    assert_eq!(chat(&fleet).await.status, 200);
    (fleet, log, ledger_stream(shard))
}

async fn chat(fleet: &EmbeddedFleet) -> Response {
    let bearer = format!("Bearer {EXAMPLE_BEARER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = r#"{"model":"small","max_tokens":3,"messages":[{"role":"user","content":"Hello"}]}"#;
    let callers = fleet.routers[0].1.callers;
    client::send_and_read(callers, "POST /v1/chat/completions", &headers, body)
        .await
        .expect("an answer")
}

/// Appends a top-up of one token, as an operator does.
async fn top_up(log: &LogClient, stream: &str, number: u64) {
    let (_, next) = log.bounds(stream).await.expect("the log is up");
    let record = TopUpRecord {
        budget: BUDGET.into(),
        id: number.to_string(),
        tokens: 1,
        issued_at: next.0,
    };
    let entry = Some(LedgerEntry::TopUp(record));
    let batch = LedgerBatch {
        author: 1,
        sequence: number,
        records: vec![LedgerRecord { entry }],
    };
    log.append(stream, batch.encode_to_vec().into())
        .await
        .expect("the log is up");
}

#[tokio::test]
async fn new_processes_start_from_checkpoints() {
    let (mut fleet, log, stream) = start_fleet(16).await;
    for number in 0..TOP_UPS {
        top_up(&log, &stream, number).await;
        if number % 4 == 0 {
            fleet.restart_sidecar(0).await.expect("the sidecar starts");
        }
        tokio::time::sleep(Duration::from_millis(STEP_PAUSE_MS)).await;
    }
    for stream in [stream.as_str(), "members"] {
        for _ in 0..20 {
            let (first, _) = log.bounds(stream).await.expect("the log is up");
            if first > Offset(0) {
                break;
            }
            fleet.restart_sidecar(0).await.expect("the sidecar starts");
            tokio::time::sleep(Duration::from_millis(STEP_PAUSE_MS)).await;
        }
        let (first, _) = log.bounds(stream).await.expect("the log is up");
        assert!(first > Offset(0), "{stream} still has its first record");
    }
    tokio::time::sleep(Duration::from_millis(PENDING_READ_TIMEOUT_MS)).await;
    fleet.restart_router(0).await.expect("the router starts");
    fleet.wait_until_connected().await;
    let mut answered = false;
    for _ in 0..10 {
        answered |= chat(&fleet).await.status == 200;
        if answered {
            break;
        }
        tokio::time::sleep(Duration::from_millis(STEP_PAUSE_MS)).await;
    }
    assert!(answered, "{:#}", fleet.routers[0].0.dump());
    let report = audit_log(&log).await.expect("the log has a checkpoint");
    let budget = report.budgets[&BUDGET.parse().expect("a name")];
    assert_eq!(budget.balance.top_ups.0, TOP_UPS);
    assert_eq!(budget.balance.limit.0, 1_000_000);
    assert!(!budget.is_overbilled(), "{report}");
}

#[tokio::test]
async fn ledger_without_first_records_or_checkpoint_is_refused() {
    let (mut fleet, log, stream) = start_fleet(8).await;
    fleet.kill_router(0);
    for number in 0..20 {
        top_up(&log, &stream, number).await;
    }
    let error = audit_log(&log)
        .await
        .expect_err("the first records have expired");
    assert_eq!(error.category(), Category::Gone);
    assert!(error.to_string().contains("refusing to start"), "{error}");
    fleet.restart_router(0).await.expect("the router starts");
    fleet.wait_until_connected().await;
    let answer = chat(&fleet).await;
    assert_eq!(answer.json()["error"]["outcome"], "not_run", "{answer:?}");
}
