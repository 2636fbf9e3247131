//! Admission control, retry budget and outlier ejection of a router in an embedded fleet.

use mallowpath::{IniDocument, Sections, sections_of_document};
use mallowpath_embedded::{EXAMPLE_BEARER_KEY, EmbeddedFleet, EmbeddedFleetSettings};
use mallowpath_standins::{client, plain_service, simulated_engine};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    io::AsyncReadExt,
    net::TcpListener,
    task::JoinSet,
    time::{interval, sleep},
};

const PANELS_KEY: &str = "panels-key";
/// A second workspace for the example configuration.
const PANELS_INI: &str = "
[workspace panels]
key_sha256 = 7b2b41e590c15ef2a46013dba46bf0b5ded19786b9dc4b8c65938bfbfe5dcb23
budget = panels-prepaid
services = *
home_region = local
[budget panels-prepaid]
workspace = panels
tokens = 100M
";
const CHAT: &str = r#"{"model":"small","standin_tokens":20,"max_tokens":32,
    "messages":[{"role":"user","content":"Hello"}]}"#;

fn configuration(timeout_ms: u64) -> Sections {
    let timeout = format!("timeout_ms = {timeout_ms}");
    let example = include_str!("../example/fleet.ini")
        .replace("timeout_ms = 60000", &timeout)
        .replace("tokens = 1M", "tokens = 100M");
    let mut document = IniDocument::default();
    document.merge_text("test.ini", &(example + PANELS_INI));
    sections_of_document(&document)
}

/// Starts a fleet whose model backend servers run four requests of 0.2 s each at once.
async fn start_fleet(
    timeout_ms: u64,
    model_backends: usize,
    plain_backends: usize,
) -> EmbeddedFleet {
    let backend = simulated_engine::Settings {
        model: "small".into(),
        max_running: 4,
        ..simulated_engine::Settings::default()
    };
    let service = plain_service::Settings::default();
    let settings = EmbeddedFleetSettings {
        model_backends: vec![("small".into(), backend); model_backends],
        plain_backends: vec![("lookup".into(), service); plain_backends],
        configuration: configuration(timeout_ms),
        ..EmbeddedFleetSettings::default()
    };
    EmbeddedFleet::start(settings)
        .await
        .expect("the fleet starts")
}

/// The answer to a call and its latency.
struct CallResult {
    status: u16,
    retry_after_ms: Option<u64>,
    latency_ms: u128,
}

async fn call(address: SocketAddr, path: &str, key: &str, body: &str) -> CallResult {
    let started = Instant::now();
    let authorization = format!("Bearer {key}");
    let headers = [("authorization", authorization.as_str())];
    let answer = client::send_and_read(address, path, &headers, body).await;
    let answer = answer.expect("an answer");
    CallResult {
        status: answer.status,
        retry_after_ms: answer.json()["error"]["retry_after_ms"].as_u64(),
        latency_ms: started.elapsed().as_millis(),
    }
}

async fn chat(address: SocketAddr, key: &str) -> CallResult {
    call(address, "POST /v1/chat/completions", key, CHAT).await
}

/// Calls up to five times until one succeeds; returns whether the first attempt succeeded.
async fn chat_with_retries(address: SocketAddr) -> bool {
    for attempt in 0..5 {
        let result = chat(address, EXAMPLE_BEARER_KEY).await;
        if result.status == 200 {
            return attempt == 0;
        }
        sleep(Duration::from_millis(result.retry_after_ms.unwrap_or(0))).await;
    }
    false
}

/// Starts chats with retries at a constant rate.
async fn spawn_at_rate(calls: &mut JoinSet<bool>, address: SocketAddr, per_s: u64, seconds: u64) {
    let mut ticks = interval(Duration::from_micros(1_000_000 / per_s));
    for _ in 0..per_s * seconds {
        ticks.tick().await;
        calls.spawn(chat_with_retries(address));
    }
}

async fn count_first_attempts(mut calls: JoinSet<bool>) -> usize {
    let mut succeeded = 0;
    while let Some(result) = calls.join_next().await {
        succeeded += usize::from(result.expect("no panic"));
    }
    succeeded
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overload_by_one_workspace_does_not_delay_another() {
    let fleet = start_fleet(20_000, 1, 0).await;
    let address = fleet.routers[0].1.callers;
    let mut flood = JoinSet::new();
    for _ in 0..100 {
        flood.spawn(async move {
            loop {
                chat(address, EXAMPLE_BEARER_KEY).await;
                sleep(Duration::from_millis(50)).await;
            }
        });
    }
    sleep(Duration::from_secs(4)).await;
    let mut latency_ms = Vec::new();
    for _ in 0..11 {
        let result = chat(address, PANELS_KEY).await;
        assert_eq!(result.status, 200);
        latency_ms.push(result.latency_ms);
    }
    latency_ms.sort_unstable();
    // A request of the other workspace waits for a running request to end, not for the queue.
    assert!(
        latency_ms[5] < 1_000,
        "requests of the other workspace took {latency_ms:?} ms"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn goodput_recovers_after_a_burst() {
    // Two backend servers that run four requests each finish about 36 requests/s.
    let fleet = start_fleet(1_000, 2, 0).await;
    let address = fleet.routers[0].1.callers;
    let mut earlier = JoinSet::new();
    spawn_at_rate(&mut earlier, address, 25, 2).await;
    spawn_at_rate(&mut earlier, address, 110, 4).await;
    spawn_at_rate(&mut earlier, address, 25, 3).await;
    let mut after = JoinSet::new();
    spawn_at_rate(&mut after, address, 25, 4).await;
    let succeeded = count_first_attempts(after).await;
    assert!(
        succeeded >= 95,
        "{succeeded} of 100 first attempts succeeded"
    );
}

/// Replaces a backend server: counts chat requests and closes each connection without an answer.
async fn count_chats_and_disconnect(listen: SocketAddr, chats: Arc<AtomicU64>) {
    let listener = loop {
        // The stand-in's listener closes shortly after its handle is dropped.
        match TcpListener::bind(listen).await {
            Ok(listener) => break listener,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    };
    loop {
        let (mut stream, _) = listener.accept().await.expect("the listener accepts");
        let mut start = [0; 4];
        let read = stream.read(&mut start).await.unwrap_or(0);
        chats.fetch_add(u64::from(&start[..read] == b"POST"), Ordering::Relaxed);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retry_budget_limits_retries_of_a_failing_service() {
    let mut fleet = start_fleet(20_000, 4, 0).await;
    let address = fleet.routers[0].1.callers;
    let chats = Arc::new(AtomicU64::new(0));
    for backend in std::mem::take(&mut fleet.model_backends) {
        let listen = backend.address;
        drop(backend);
        tokio::spawn(count_chats_and_disconnect(listen, Arc::clone(&chats)));
    }
    for _ in 0..100 {
        assert_ne!(chat(address, EXAMPLE_BEARER_KEY).await.status, 200);
    }
    // The retry budget holds at most ten retries; without it each call would make four attempts.
    let chats = chats.load(Ordering::Relaxed);
    assert!(
        (100..=110).contains(&chats),
        "{chats} attempts for 100 calls"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failing_backend_is_ejected_and_returns_with_reduced_weight() {
    let fleet = start_fleet(20_000, 0, 4).await;
    let (router, addresses) = &fleet.routers[0];
    fleet.plain_backends[0]
        .change(|settings| settings.failure = plain_service::Failure::AfterEffect);
    let mut failed = 0;
    for _ in 0..200 {
        let result = call(
            addresses.callers,
            "GET /services/lookup/x",
            EXAMPLE_BEARER_KEY,
            "",
        )
        .await;
        failed += usize::from(result.status != 200);
    }
    assert!(failed <= 5, "{failed} of 200 calls failed");
    assert_eq!(router.connected_backends(), 3);
    fleet.plain_backends[0].change(|settings| settings.failure = plain_service::Failure::Never);
    sleep(Duration::from_millis(5_500)).await;
    let result = call(
        addresses.callers,
        "GET /services/lookup/x",
        EXAMPLE_BEARER_KEY,
        "",
    )
    .await;
    assert_eq!(result.status, 200);
    assert_eq!(router.connected_backends(), 4);
    let dump = router.dump();
    let weight = dump["routes"]["lookup"][0]["weight"]
        .as_f64()
        .expect("a weight");
    assert!(
        (0.1..0.5).contains(&weight),
        "returned with weight {weight}"
    );
}
