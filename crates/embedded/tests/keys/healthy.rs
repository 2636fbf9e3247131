//! Keys without faults: each key has one run and one bill, through any router.

use crate::fleet::{
    Fleet, error_code, fast_settings, post, post_notice, request_id, retry_while_key_unavailable,
};
use serde_json::json;
use std::time::Duration;

const CHAT: &str = "POST /v1/chat/completions";

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_with_one_key_run_once() {
    let fleet = Fleet::start(2, fast_settings()).await;
    for round in 0..30 {
        let key = format!("same-{round}");
        let (one, two) = tokio::join!(
            post_notice(fleet.callers_address(0), &key, "a notice"),
            post_notice(fleet.callers_address(1), &key, "a notice"),
        );
        assert_eq!(one.status, 200, "{}", one.text);
        assert_eq!(two.status, 200, "{}", two.text);
        assert_eq!(one.text, two.text, "the same answer");
        assert_eq!(request_id(&one), request_id(&two), "the same request");
        assert_eq!(one.json()["run"], 1);
    }
    assert_eq!(fleet.notices_run_count().await, 30);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.bills().await.len(), 30, "one bill for each key");
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_during_or_after_the_run_gets_the_complete_answer() {
    let fleet = Fleet::start(2, fast_settings()).await;
    let body = json!({
        "model": "small", "stream": true, "max_tokens": 40,
        "messages": [{"role": "user", "content": "Hello"}],
    })
    .to_string();
    let first = {
        let (callers, body) = (fleet.callers_address(0), body.clone());
        tokio::spawn(async move { post(callers, CHAT, Some("chat"), &body).await })
    };
    tokio::time::sleep(Duration::from_millis(200)).await;
    let during = post(fleet.callers_address(1), CHAT, Some("chat"), &body).await;
    let first = first.await.expect("the first caller");
    let after = post(fleet.callers_address(1), CHAT, Some("chat"), &body).await;
    assert!(first.text.ends_with("data: [DONE]\n\n"), "{}", first.text);
    assert_eq!(during.text, first.text);
    assert_eq!(after.text, first.text);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let bills = fleet.bills().await;
    assert_eq!(bills.keys().collect::<Vec<_>>(), [&request_id(&first)]);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_reuse_with_another_body_is_refused() {
    let fleet = Fleet::start(2, fast_settings()).await;
    let first = fleet.post_notice(0, "body", "one").await;
    assert_eq!(first.status, 200, "{}", first.text);
    let second = fleet.post_notice(1, "body", "two").await;
    assert_eq!(second.status, 422, "{}", second.text);
    assert_eq!(error_code(&second), "key_reused");
    assert_eq!(second.json()["error"]["outcome"], "not_run");
    assert_eq!(fleet.notices_run_count().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn single_router_accepts_keys_if_keys_without_witness_is_set() {
    let mut settings = fast_settings();
    settings.router_tuning.keys_without_witness = true;
    let fleet = Fleet::start(1, settings).await;
    let first = fleet.post_notice(0, "alone", "a notice").await;
    let again = fleet.post_notice(0, "alone", "a notice").await;
    assert_eq!(first.status, 200, "{}", first.text);
    assert_eq!(again.text, first.text);
    assert_eq!(fleet.notices_run_count().await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn single_router_refuses_keys_until_a_second_joins() {
    let mut fleet = Fleet::start(0, fast_settings()).await;
    fleet.add_router().await;
    while fleet.routers[0].router.connected_backends() < fleet.sidecar_count() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let refused = fleet.post_notice(0, "early", "a notice").await;
    assert_eq!(refused.status, 503, "{}", refused.text);
    assert_eq!(error_code(&refused), "key_unavailable");
    assert_eq!(refused.json()["error"]["outcome"], "unknown");
    assert!(refused.json()["error"]["retry_after_ms"].is_u64());
    assert_eq!(fleet.notices_run_count().await, 0);
    fleet.add_router().await;
    let answer = retry_while_key_unavailable(fleet.callers_address(0), "early", "a notice").await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    assert_eq!(fleet.notices_run_count().await, 1);
}
