//! Admission, retries and ejection at work in a router, through the embedded fleet.

use mallowpath::{IniDocument, Sections, sections_of};
use mallowpath_embedded::{EXAMPLE_KEY, Site, SiteSettings};
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
/// Adds a second workspace to the example.
const PANELS: &str = "
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
    document.merge_text("test.ini", &(example + PANELS));
    sections_of(&document)
}

/// Starts a site whose engines run four requests at once, of 0.2 s each.
async fn site(timeout_ms: u64, engines: usize, services: usize) -> Site {
    let engine = simulated_engine::Settings {
        model: "small".into(),
        max_running: 4,
        ..simulated_engine::Settings::default()
    };
    let service = plain_service::Settings::default();
    let settings = SiteSettings {
        engines: vec![("small".into(), engine); engines],
        services: vec![("lookup".into(), service); services],
        configuration: configuration(timeout_ms),
        ..SiteSettings::default()
    };
    Site::start(settings).await.expect("starts")
}

/// What a caller got.
struct Got {
    status: u16,
    retry_after_ms: Option<u64>,
    took_ms: u128,
}

async fn call(address: SocketAddr, path: &str, key: &str, body: &str) -> Got {
    let began = Instant::now();
    let authorization = format!("Bearer {key}");
    let headers = [("authorization", authorization.as_str())];
    let answer = client::send_and_read(address, path, &headers, body).await;
    let answer = answer.expect("answered");
    Got {
        status: answer.status,
        retry_after_ms: answer.json()["error"]["retry_after_ms"].as_u64(),
        took_ms: began.elapsed().as_millis(),
    }
}

async fn chat(address: SocketAddr, key: &str) -> Got {
    call(address, "POST /v1/chat/completions", key, CHAT).await
}

/// Calls until an answer comes, as often as five times; returns whether the first call got it.
async fn insistent_chat(address: SocketAddr) -> bool {
    for attempt in 0..5 {
        let got = chat(address, EXAMPLE_KEY).await;
        if got.status == 200 {
            return attempt == 0;
        }
        sleep(Duration::from_millis(got.retry_after_ms.unwrap_or(0))).await;
    }
    false
}

/// Starts insistent chats at a fixed pace.
async fn load(calls: &mut JoinSet<bool>, address: SocketAddr, per_s: u64, seconds: u64) {
    let mut ticks = interval(Duration::from_micros(1_000_000 / per_s));
    for _ in 0..per_s * seconds {
        ticks.tick().await;
        calls.spawn(insistent_chat(address));
    }
}

async fn count_first(mut calls: JoinSet<bool>) -> usize {
    let mut first = 0;
    while let Some(got) = calls.join_next().await {
        first += usize::from(got.expect("no panic"));
    }
    first
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_flood_of_one_workspace_does_not_hold_up_another() {
    let site = site(20_000, 1, 0).await;
    let address = site.routers[0].1.callers;
    let mut flood = JoinSet::new();
    for _ in 0..100 {
        flood.spawn(async move {
            loop {
                chat(address, EXAMPLE_KEY).await;
                sleep(Duration::from_millis(50)).await;
            }
        });
    }
    sleep(Duration::from_secs(4)).await;
    let mut took_ms = Vec::new();
    for _ in 0..11 {
        let got = chat(address, PANELS_KEY).await;
        assert_eq!(got.status, 200);
        took_ms.push(got.took_ms);
    }
    took_ms.sort_unstable();
    // A panel waits for one of the requests that run to end, not for the queue behind them.
    assert!(took_ms[5] < 1_000, "panels waited {took_ms:?} ms");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn goodput_is_back_to_normal_after_a_burst() {
    // Two engines of four places finish about 36 requests a second.
    let site = site(1_000, 2, 0).await;
    let address = site.routers[0].1.callers;
    let mut others = JoinSet::new();
    load(&mut others, address, 25, 2).await;
    load(&mut others, address, 110, 4).await;
    load(&mut others, address, 25, 3).await;
    let mut after = JoinSet::new();
    load(&mut after, address, 25, 4).await;
    let first = count_first(after).await;
    assert!(first >= 95, "{first} of 100 first calls got an answer");
}

/// Stands in an engine's place, counts its chats and closes each connection without an answer.
async fn count_and_hang_up(listen: SocketAddr, chats: Arc<AtomicU64>) {
    let listener = loop {
        // The engine's own listener ends a moment after its handle.
        match TcpListener::bind(listen).await {
            Ok(listener) => break listener,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    };
    loop {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        let mut start = [0; 4];
        let read = stream.read(&mut start).await.unwrap_or(0);
        chats.fetch_add(u64::from(&start[..read] == b"POST"), Ordering::Relaxed);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_that_fails_gets_few_retries() {
    let mut site = site(20_000, 4, 0).await;
    let address = site.routers[0].1.callers;
    let chats = Arc::new(AtomicU64::new(0));
    for engine in std::mem::take(&mut site.engines) {
        let listen = engine.address;
        drop(engine);
        tokio::spawn(count_and_hang_up(listen, Arc::clone(&chats)));
    }
    for _ in 0..100 {
        assert_ne!(chat(address, EXAMPLE_KEY).await.status, 200);
    }
    // The calls and the ten retries saved up; without a retry budget it is four attempts a call.
    let chats = chats.load(Ordering::Relaxed);
    assert!(
        (100..=110).contains(&chats),
        "{chats} attempts in 100 calls"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failing_backend_is_ejected_and_returns_gently() {
    let site = site(20_000, 0, 4).await;
    let (router, addresses) = &site.routers[0];
    site.services[0].change(|settings| settings.failure = plain_service::Failure::AfterEffect);
    let mut failed = 0;
    for _ in 0..200 {
        let got = call(addresses.callers, "GET /services/lookup/x", EXAMPLE_KEY, "").await;
        failed += usize::from(got.status != 200);
    }
    assert!(failed <= 5, "{failed} of 200 calls failed");
    assert_eq!(router.connected_backends(), 3);
    site.services[0].change(|settings| settings.failure = plain_service::Failure::Never);
    sleep(Duration::from_millis(5_500)).await;
    let got = call(addresses.callers, "GET /services/lookup/x", EXAMPLE_KEY, "").await;
    assert_eq!(got.status, 200);
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
