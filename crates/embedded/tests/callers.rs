//! Answers to callers: complete ones with their bill, and refusals that spend no tokens.

use mallowpath_embedded::{EXAMPLE_BEARER_KEY, EmbeddedFleet, EmbeddedFleetSettings};
use mallowpath_standins::{
    client::{self, Response},
    expected_text,
};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const CHAT: &str = "POST /v1/chat/completions";

async fn start_fleet() -> (EmbeddedFleet, SocketAddr) {
    let mut settings = EmbeddedFleetSettings::default();
    settings.router_tuning.header_timeout_ms = 300;
    settings.router_tuning.drain_notice_ms = 50;
    let fleet = EmbeddedFleet::start(settings)
        .await
        .expect("the fleet starts");
    let callers = fleet.routers[0].1.callers;
    (fleet, callers)
}

async fn call(callers: SocketAddr, method_path: &str, key: &str, body: &str) -> Response {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    client::send_and_read(callers, method_path, &headers, body)
        .await
        .expect("an answer")
}

fn chat(model: &str, extra: &Value) -> String {
    let mut body = json!({"model": model, "messages": [{"role": "user", "content": "Hello"}]});
    for (key, value) in extra.as_object().expect("an object") {
        body[key] = value.clone();
    }
    body.to_string()
}

/// Returns the tokens that the ledger counts as spent or granted.
async fn spent_or_granted(fleet: &EmbeddedFleet) -> u64 {
    let admin = fleet.routers[0].1.admin;
    let dump = client::send_and_read(admin, "GET /dump", &[], "")
        .await
        .expect("a dump")
        .json();
    let mut tokens = 0;
    let shards = dump["budgets"]["keeper_of_shards"]
        .as_object()
        .cloned()
        .unwrap_or_default();
    for shard in shards.values() {
        let budget = &shard["budgets"]["demo-prepaid"];
        tokens += budget["spent"].as_u64().unwrap_or(0);
        tokens += budget["granted"].as_u64().unwrap_or(0);
    }
    tokens
}

#[tokio::test]
async fn streamed_answer_is_complete_and_billed() {
    let (_fleet, callers) = start_fleet().await;
    let body = chat("small", &json!({"stream": true, "max_tokens": 7}));
    let answer = call(callers, CHAT, EXAMPLE_BEARER_KEY, &body).await;
    let mut text = String::new();
    let mut events = Vec::new();
    for line in answer.text.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        events.push(data.to_owned());
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        text.push_str(
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
    }
    assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    assert_eq!(text, expected_text("small", "Hello", 7));
    let receipt: Value = serde_json::from_str(&events[events.len() - 2]).expect("a receipt");
    assert_eq!(receipt["mallowpath"]["billed_tokens"], 9);
}

#[tokio::test]
async fn models_lists_models_and_adapters_of_the_workspace() {
    let (_fleet, callers) = start_fleet().await;
    let answer = call(callers, "GET /v1/models", EXAMPLE_BEARER_KEY, "")
        .await
        .json();
    let mut names = Vec::new();
    for model in answer["data"].as_array().expect("a list") {
        names.push(model["id"].as_str().expect("a name").to_owned());
    }
    assert_eq!(names, ["small", "small:notices"]);
}

#[tokio::test]
async fn invalid_requests_are_refused_and_spend_no_tokens() {
    let (fleet, callers) = start_fleet().await;
    let oversize = "x".repeat(5 << 20);
    let none = json!({});
    let cases = [
        (
            "broken JSON",
            CHAT,
            EXAMPLE_BEARER_KEY,
            "{".to_owned(),
            400,
            "invalid_request",
        ),
        (
            "no messages",
            CHAT,
            EXAMPLE_BEARER_KEY,
            json!({"model": "small"}).to_string(),
            400,
            "invalid_request",
        ),
        (
            "zero max_tokens",
            CHAT,
            EXAMPLE_BEARER_KEY,
            chat("small", &json!({"max_tokens": 0})),
            400,
            "invalid_request",
        ),
        (
            "oversize",
            CHAT,
            EXAMPLE_BEARER_KEY,
            oversize,
            413,
            "body_too_large",
        ),
        (
            "unknown model",
            CHAT,
            EXAMPLE_BEARER_KEY,
            chat("large", &none),
            404,
            "not_found",
        ),
        (
            "unknown adapter",
            CHAT,
            EXAMPLE_BEARER_KEY,
            chat("small:none", &none),
            404,
            "not_found",
        ),
        (
            "wrong key",
            CHAT,
            "nobody",
            chat("small", &none),
            401,
            "unauthorized",
        ),
        (
            "unknown service",
            "POST /services/none/a",
            EXAMPLE_BEARER_KEY,
            String::new(),
            404,
            "not_found",
        ),
        (
            "unknown path",
            "GET /v2/none",
            EXAMPLE_BEARER_KEY,
            String::new(),
            404,
            "not_found",
        ),
    ];
    for (name, path, key, body, status, code) in cases {
        let answer = call(callers, path, key, &body).await;
        assert_eq!(answer.status, status, "{name}: {}", answer.text);
        let error = &answer.json()["error"];
        assert_eq!(error["code"], code, "{name}");
        assert_eq!(error["outcome"], "not_run", "{name}");
        let id = error["request_id"].as_str().expect("an identifier");
        assert_eq!(answer.headers["x-request-id"], id, "{name}");
        assert!(
            error["message"]
                .as_str()
                .is_some_and(|text| !text.is_empty()),
            "{name}"
        );
    }
    assert_eq!(spent_or_granted(&fleet).await, 0);
}

#[tokio::test]
async fn max_tokens_is_lowered_to_the_limit_of_the_service() {
    let (_fleet, callers) = start_fleet().await;
    let body = chat(
        "small",
        &json!({"max_tokens": 1_000_000_000_u64, "standin_tokens": 3}),
    );
    let answer = call(callers, CHAT, EXAMPLE_BEARER_KEY, &body).await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    assert_eq!(answer.json()["mallowpath"]["billed_tokens"], 5);
    // This is `max_output_tokens` of the service in the example configuration.
    assert_eq!(answer.headers["x-mallowpath-max-tokens"], "2048");
}

#[tokio::test]
async fn caller_that_reads_only_after_sending_an_oversized_body_gets_the_refusal() {
    let (_fleet, callers) = start_fleet().await;
    let mut stream = TcpStream::connect(callers).await.expect("a connection");
    let body = vec![b'x'; 24 << 20];
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n\
         authorization: Bearer {EXAMPLE_BEARER_KEY}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the head is sent");
    // Many HTTP clients read nothing until they have sent the whole body.
    stream
        .write_all(&body)
        .await
        .expect("the whole body is sent");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 413");
}

#[tokio::test]
async fn connection_is_closed_when_the_request_head_times_out() {
    let (_fleet, callers) = start_fleet().await;
    let mut stream = TcpStream::connect(callers).await.expect("a connection");
    stream
        .write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n")
        .await
        .expect("the head is sent");
    let started = Instant::now();
    let mut rest = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(3), stream.read_to_end(&mut rest)).await;
    assert!(read.is_ok(), "the connection stayed open");
    assert!(
        started.elapsed() >= Duration::from_millis(250),
        "the connection was closed before the header timeout"
    );
}

#[tokio::test]
async fn draining_router_refuses_new_requests_and_finishes_running_ones() {
    let (fleet, callers) = start_fleet().await;
    let body = chat("small", &json!({"stream": true, "max_tokens": 60}));
    let running = tokio::spawn(async move { call(callers, CHAT, EXAMPLE_BEARER_KEY, &body).await });
    tokio::time::sleep(Duration::from_millis(150)).await;
    let router = &fleet.routers[0].0;
    router.drain();
    let refused = call(
        callers,
        CHAT,
        EXAMPLE_BEARER_KEY,
        &chat("small", &json!({})),
    )
    .await;
    assert_eq!(refused.json()["error"]["code"], "shutting_down");
    assert_eq!(refused.json()["error"]["outcome"], "not_run");
    let answer = running.await.expect("the caller's task");
    assert!(
        answer.is_complete && answer.text.ends_with("data: [DONE]\n\n"),
        "{}",
        answer.text
    );
    tokio::time::timeout(Duration::from_secs(10), router.drained())
        .await
        .expect("drained");
}
