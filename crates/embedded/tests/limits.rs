//! A budget changed in the configuration takes effect in its ledger without a request.

use mallowpath::{LogClient, LogClientSettings, PublishOutcome, Tokens, audit_log, publish};
use mallowpath_embedded::{
    EXAMPLE_BEARER_KEY, EmbeddedFleet, EmbeddedFleetSettings, example_configuration,
};
use mallowpath_standins::client;
use std::time::{Duration, Instant};

const LEDGER_DEADLINE_MS: u64 = 7000;

#[tokio::test]
async fn lowered_budget_reaches_the_ledger_within_seven_seconds() {
    let fleet = EmbeddedFleet::start(EmbeddedFleetSettings::default())
        .await
        .expect("the fleet starts");
    let bearer = format!("Bearer {EXAMPLE_BEARER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = r#"{"model":"small","max_tokens":3,"messages":[{"role":"user","content":"Hi"}]}"#;
    let callers = fleet.routers[0].1.callers;
    let answer = client::send_and_read(callers, "POST /v1/chat/completions", &headers, body).await;
    assert_eq!(answer.expect("an answer").status, 200);
    let log = LogClient::new(fleet.log_service.address, LogClientSettings::default());
    let mut sections = example_configuration();
    for section in sections.values_mut() {
        if &*section.kind == "budget" {
            let new_limit = ("tokens".into(), "1k".into());
            section.entries = section.entries.iter().cloned().chain([new_limit]).collect();
        }
    }
    let published = publish(&log, &sections, "test").await;
    assert!(matches!(published, Ok(PublishOutcome::Accepted(_))));
    let published_at = Instant::now();
    let name = "demo-prepaid".parse().expect("a name");
    while published_at.elapsed() < Duration::from_millis(LEDGER_DEADLINE_MS) {
        let report = audit_log(&log).await.expect("the log is up");
        if report.budgets[&name].balance.limit == Tokens(1000) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the ledger still has the old limit");
}
