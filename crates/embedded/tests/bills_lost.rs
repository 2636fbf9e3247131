//! Bills of complete answers reach the log once, although processes crash after the last byte.

use mallowpath::{BillTotal, LogClient, LogClientSettings, Tokens, audit_log};
use mallowpath_embedded::{EXAMPLE_BEARER_KEY, EmbeddedFleet, EmbeddedFleetSettings};
use mallowpath_standins::{Outage, client};
use serde_json::json;
use std::time::Duration;

const POLL_INTERVAL_MS: u64 = 100;
const MAX_POLLS: u32 = 100;

/// Starts a fleet of two zones in which the only sidecar and the first router share a zone.
async fn start_fleet() -> EmbeddedFleet {
    let mut settings = EmbeddedFleetSettings {
        routers: 2,
        zones: 2,
        plain_backends: Vec::new(),
        ..EmbeddedFleetSettings::default()
    };
    settings.model_backends.truncate(1);
    settings.timing.lost_router_ms = 500;
    EmbeddedFleet::start(settings)
        .await
        .expect("the fleet starts")
}

/// Requests an answer of three tokens from the first router and returns the status.
async fn chat(fleet: &EmbeddedFleet, max_tokens: u64) -> u16 {
    let bearer = format!("Bearer {EXAMPLE_BEARER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = json!({
        "model": "small", "max_tokens": max_tokens, "standin_tokens": 3,
        "messages": [{"role": "user", "content": "Hello"}],
    });
    let callers = fleet.routers[0].1.callers;
    let method_path = "POST /v1/chat/completions";
    let answer = client::send_and_read(callers, method_path, &headers, &body.to_string()).await;
    answer.expect("an answer").status
}

async fn billed(fleet: &EmbeddedFleet) -> BillTotal {
    let log = LogClient::new(fleet.log_service.address, LogClientSettings::default());
    let report = audit_log(&log).await.expect("the log is up");
    assert_eq!((report.conflict_count, report.malformed_count), (0, 0));
    let name = "demo-prepaid".parse().expect("a name");
    report.budgets[&name].billed
}

#[tokio::test]
async fn witness_logs_the_bill_when_router_and_sidecar_crash_after_the_last_byte() {
    let mut fleet = start_fleet().await;
    assert_eq!(chat(&fleet, 100).await, 200);
    fleet.log_service.change(|log| log.outage = Outage::Refuse);
    // Paid from the router's slice. With the log service down, the bill survives the loss of the
    // first zone only through its copy in the second.
    assert_eq!(chat(&fleet, 10).await, 200);
    fleet.kill_router(0);
    fleet.kill_sidecar(0);
    fleet.log_service.change(|log| log.outage = Outage::None);
    let expected = BillTotal {
        bills: 2,
        tokens: Tokens(10),
    };
    for _ in 0..MAX_POLLS {
        if billed(&fleet).await == expected {
            return;
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    panic!(
        "the bill is not in the log; billed {:?}",
        billed(&fleet).await
    );
}

#[tokio::test]
async fn sidecar_logs_the_bill_when_the_router_crashes_after_the_last_byte() {
    let mut fleet = start_fleet().await;
    assert_eq!(chat(&fleet, 100).await, 200);
    fleet.log_service.change(|log| log.outage = Outage::Refuse);
    assert_eq!(chat(&fleet, 10).await, 200);
    fleet.kill_router(0);
    fleet.log_service.change(|log| log.outage = Outage::None);
    fleet.restart_router(0).await.expect("the router starts");
    for _ in 0..MAX_POLLS {
        if billed(&fleet).await.bills == 2 && fleet.sidecars[0].dump()["bills_kept"] == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    panic!(
        "the sidecar still keeps its bill: {:#}",
        fleet.sidecars[0].dump()
    );
}
