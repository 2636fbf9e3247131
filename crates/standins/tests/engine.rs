//! Tests the simulated engine and its faults.

mod common;

use common::{call, json};
use mallowpath_standins::{
    expected_text, prefix_hashes,
    simulated_engine::{self, Fencing, Handle, Settings},
};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::time::{sleep, timeout};

const CHAT: &str = "POST /v1/chat/completions";

/// Settings that make every operation take almost no time.
fn fast_settings() -> Settings {
    Settings {
        decode_ms: 0.2,
        decode_per_running_us: 0,
        prefill_ms_per_1k_tokens: 0,
        event_lag_ms: 0,
        load_lag_ms: 0,
        adapter_load_ms: 0,
        ..Settings::default()
    }
}

/// Builds the body of a chat request with `prompt` split over two messages.
fn chat_body(prompt: &str, fields: &Value) -> String {
    let half = prompt.len() / 2;
    let (system, user) = prompt.split_at(half);
    let mut body = json!({
        "model": "model",
        "messages": [
            { "role": "system", "content": system },
            { "role": "user", "content": user },
        ],
    });
    for (name, value) in fields.as_object().unwrap() {
        body[name] = value.clone();
    }
    body.to_string()
}

/// Returns text, token count, finish reason and reported completion tokens of a stream.
fn parse_stream(events: &str) -> (String, u64, Value, Value) {
    let (mut text, mut tokens, mut last) = (String::new(), 0, Value::Null);
    let events = events.strip_suffix("data: [DONE]\n\n").unwrap();
    for event in events.split_terminator("\n\n") {
        last = serde_json::from_str(event.strip_prefix("data: ").unwrap()).unwrap();
        if let Some(token) = last["choices"][0]["delta"]["content"].as_str() {
            text.push_str(token);
            tokens += 1;
        }
    }
    let finish = last["choices"][0]["finish_reason"].clone();
    (
        text,
        tokens,
        finish,
        last["usage"]["completion_tokens"].clone(),
    )
}

async fn stream_chat(address: SocketAddr, id: &str, body: &str) -> (String, u64, Value, Value) {
    parse_stream(&call(address, CHAT, id, body).await.unwrap().1)
}

async fn start(settings: Settings) -> Handle {
    simulated_engine::start(settings).await.unwrap()
}

async fn stats(engine: &Handle) -> Value {
    json(engine.address, "GET /v1/stats", "").await.1
}

async fn wait_until_submitted(engine: &Handle, id: &str) {
    while stats(engine).await["runs"][id].is_null() {
        sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn completion_is_returned_as_json_and_as_stream() {
    let engine = start(fast_settings()).await;
    let (status, answer) = json(engine.address, CHAT, &chat_body("hello", &json!({}))).await;
    assert_eq!(status, 200);
    let text = expected_text("model", "hello", 64);
    assert_eq!(answer["choices"][0]["message"]["content"], *text);
    let usage = json!({ "prompt_tokens": 2, "completion_tokens": 64, "total_tokens": 66 });
    assert_eq!(answer["usage"], usage);
    let body = chat_body(
        "hello",
        &json!({ "stream": true, "standin_tokens": 9, "max_tokens": 20 }),
    );
    let answer = stream_chat(engine.address, "a", &body).await;
    assert_eq!(
        answer,
        (
            expected_text("model", "hello", 9),
            9,
            json!("stop"),
            json!(9)
        )
    );
    let body = chat_body(
        "hello",
        &json!({ "stream": true, "standin_tokens": 9, "max_tokens": 4 }),
    );
    let answer = stream_chat(engine.address, "a", &body).await;
    assert_eq!(
        answer,
        (
            expected_text("model", "hello", 4),
            4,
            json!("length"),
            json!(4)
        )
    );
    assert_eq!(stats(&engine).await["runs"]["a"]["runs"], 2);
}

#[tokio::test]
async fn concurrent_streams_keep_their_own_text() {
    let engine = start(fast_settings()).await;
    let mut answers = Vec::new();
    for index in 0..20 {
        let address = engine.address;
        answers.push(tokio::spawn(async move {
            let prompt = format!("prompt {index}");
            let body = chat_body(
                &prompt,
                &json!({ "stream": true, "max_tokens": 10 + index }),
            );
            (
                prompt,
                10 + index,
                stream_chat(address, &format!("r{index}"), &body).await,
            )
        }));
    }
    for answer in answers {
        let (prompt, tokens, (text, ..)) = answer.await.unwrap();
        assert_eq!(text, expected_text("model", &prompt, tokens));
    }
}

#[tokio::test]
async fn stream_resumes_from_a_token_until_the_request_expires() {
    let engine = start(fast_settings()).await;
    let body = chat_body("hello", &json!({ "stream": true, "max_tokens": 10 }));
    stream_chat(engine.address, "a", &body).await;
    let resume = "GET /v1/requests/a/stream?from_token=7";
    let (text, tokens, ..) = parse_stream(&call(engine.address, resume, "", "").await.unwrap().1);
    let whole = expected_text("model", "hello", 10);
    assert_eq!(
        (tokens, whole.strip_suffix(&text)),
        (3, Some(&*expected_text("model", "hello", 7)))
    );
    assert_eq!(stats(&engine).await["runs"]["a"]["runs"], 1);
    engine.change(|settings| settings.finished_kept_ms = 0);
    stream_chat(engine.address, "b", &body).await;
    assert_eq!(json(engine.address, resume, "").await.0, 404);
}

#[tokio::test]
async fn cancel_ends_the_stream_early() {
    let engine = start(fast_settings()).await;
    let address = engine.address;
    let body = chat_body("hello", &json!({ "stream": true, "max_tokens": 100_000 }));
    let answer = tokio::spawn(async move { stream_chat(address, "a", &body).await });
    wait_until_submitted(&engine, "a").await;
    let (_, cancelled) = json(address, "DELETE /v1/requests/a", "").await;
    let (text, tokens, finish, usage) = answer.await.unwrap();
    assert_eq!(
        (finish, &usage),
        (json!("cancelled"), &cancelled["completion_tokens"])
    );
    assert_eq!(usage, tokens);
    assert_eq!(text, expected_text("model", "hello", tokens));
    assert_eq!(json(address, "GET /v1/load", "").await.1["running"], 0);
}

#[tokio::test]
async fn waiting_request_with_lowest_priority_value_runs_first() {
    let engine = start(Settings {
        max_running: 0,
        ..fast_settings()
    })
    .await;
    let address = engine.address;
    let mut answers = Vec::new();
    for (id, priority, tokens) in [("late", 5, 1), ("urgent", 1, 50)] {
        let body = chat_body(id, &json!({ "priority": priority, "max_tokens": tokens }));
        answers.push(tokio::spawn(
            async move { call(address, CHAT, id, &body).await },
        ));
        wait_until_submitted(&engine, id).await;
    }
    assert_eq!(json(address, "GET /v1/load", "").await.1["waiting"], 2);
    engine.change(|settings| settings.max_running = 1);
    answers.remove(0).await.unwrap().unwrap();
    assert_eq!(stats(&engine).await["runs"]["urgent"]["finish"], "length");
}

#[tokio::test]
async fn stale_fencing_tokens_are_refused_or_ignored() {
    for (fencing, status, answer) in [
        (Fencing::Refuse, 409, json!({ "fence": 5 })),
        (Fencing::Ignore, 200, json!({})),
    ] {
        let engine = start(Settings {
            fencing,
            ..fast_settings()
        })
        .await;
        let order = |fence: u64, role: &str| {
            json!({ "fence": fence, "order": { "kind": "set_role", "name": role } }).to_string()
        };
        let new = json(engine.address, "POST /v1/orders", &order(5, "new")).await;
        assert_eq!(new, (200, json!({})));
        let old = json(engine.address, "POST /v1/orders", &order(4, "old")).await;
        assert_eq!(old, (status, answer));
        let role = if fencing == Fencing::Refuse {
            "new"
        } else {
            "old"
        };
        assert_eq!(stats(&engine).await["role"], role);
    }
}

#[tokio::test]
async fn overrun_and_miscount_change_the_token_counts() {
    let engine = start(Settings {
        overrun_tokens: 3,
        miscount_tokens: -2,
        ..fast_settings()
    })
    .await;
    let body = chat_body("hello", &json!({ "stream": true, "max_tokens": 10 }));
    let (_, tokens, _, usage) = stream_chat(engine.address, "a", &body).await;
    assert_eq!((tokens, usage), (13, json!(11)));
}

#[tokio::test]
async fn cached_prefixes_hit_and_are_listed_as_events() {
    let engine = start(Settings {
        cache_blocks: 3,
        ..fast_settings()
    })
    .await;
    let prompt = "x".repeat(600);
    let longer = format!("{prompt}{}", "y".repeat(200));
    for (id, prompt) in [("a", &prompt), ("b", &longer)] {
        let body = chat_body(prompt, &json!({ "max_tokens": 1 }));
        call(engine.address, CHAT, id, &body).await.unwrap();
    }
    let runs = stats(&engine).await["runs"].clone();
    assert_eq!(runs["a"]["prefix_hit_tokens"], 0);
    assert_eq!(runs["b"]["prefix_hit_tokens"], 128);
    let (_, events) = json(engine.address, "GET /v1/cache/events?from=2", "").await;
    let hash = format!("{:016x}", prefix_hashes(&longer)[2]);
    let stored = json!([{ "seq": 2, "kind": "stored", "prefix_hash": hash }]);
    assert_eq!(events, json!({ "next": 3, "events": stored }));
}

#[tokio::test]
async fn evictions_are_listed_and_lost_events_are_missing() {
    let settings = Settings {
        cache_blocks: 1,
        event_gap_probability: 0.5,
        ..fast_settings()
    };
    let engine = start(settings).await;
    for index in 0..20 {
        let prompt = format!("{index:03}").repeat(100);
        let body = chat_body(&prompt, &json!({ "max_tokens": 1 }));
        call(engine.address, CHAT, "a", &body).await.unwrap();
    }
    let (_, answer) = json(engine.address, "GET /v1/cache/events", "").await;
    let events = answer["events"].as_array().unwrap();
    assert!(events.len() < 39, "no gap in {} events", events.len());
    assert!(events.iter().any(|event| event["kind"] == "evicted"));
}

#[tokio::test]
async fn adapters_are_evicted_and_unloaded_models_are_rejected() {
    let engine = start(Settings {
        adapter_slots: 1,
        ..fast_settings()
    })
    .await;
    for model in ["model:a", "model:b"] {
        let body = chat_body("hello", &json!({ "model": model, "max_tokens": 2 }));
        let (_, answer) = json(engine.address, CHAT, &body).await;
        let text = expected_text(model, "hello", 2);
        assert_eq!(answer["choices"][0]["message"]["content"], *text);
    }
    assert_eq!(stats(&engine).await["adapters"], json!(["b"]));
    let body = chat_body("hello", &json!({ "model": "other" }));
    assert_eq!(json(engine.address, CHAT, &body).await.0, 404);
}

#[tokio::test]
async fn frozen_engine_responds_after_freeze_is_cleared() {
    let engine = start(Settings {
        freeze: true,
        ..fast_settings()
    })
    .await;
    let address = engine.address;
    let body = chat_body("hello", &json!({ "stream": true, "max_tokens": 3 }));
    let mut answer = tokio::spawn(async move { stream_chat(address, "a", &body).await });
    timeout(Duration::from_millis(50), &mut answer)
        .await
        .unwrap_err();
    engine.change(|settings| settings.freeze = false);
    assert_eq!(answer.await.unwrap().1, 3);
}
