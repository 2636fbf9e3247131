//! A router that shut down sent requests to backend servers that could not answer before its end, and cut
//! them off without an answer.

mod common;

use common::{
    gateway::{Answer, KEY, TestGateway, read_answer, send},
    server::{ScriptStep, ScriptedServer, answer, events, success},
};
use futures_util::future::join_all;
use mallowpath_gateway::{GatewaySettings, GraceRequest, RouteDurations, UsualDuration};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, timeout},
};

/// The grace period of most tests; the service ends 1.1 s before it.
const GRACE_MS: u64 = 3_900;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Starts a gateway in front of a server that answers after `work_ms`.
async fn start(work_ms: u64) -> (ScriptedServer, TestGateway) {
    let server = ScriptedServer::start(vec![ScriptStep::Wait(work_ms), success("hello")]).await;
    let test = start_gateway(&[server.address], GRACE_MS).await;
    (server, test)
}

async fn start_gateway(servers: &[SocketAddr], grace_ms: u64) -> TestGateway {
    let change = |settings: &mut GatewaySettings| settings.shutdown_grace_ms = grace_ms;
    TestGateway::start_with(servers, change).await
}

/// Reads the answer that comes before the process may end.
async fn answer_before_the_end(stream: TcpStream) -> Answer {
    let answer = timeout(ms(GRACE_MS * 2), read_answer(stream)).await;
    answer.expect("the connection ends with the process")
}

/// Connects and sends `parts` of a request, `pause` apart; the drain begins after the first.
async fn send_in_parts(test: &TestGateway, parts: [&str; 2], pause: Duration) -> TcpStream {
    let mut stream = test.connect().await;
    stream.write_all(parts[0].as_bytes()).await.unwrap();
    sleep(ms(50)).await;
    test.gateway.drain();
    sleep(pause).await;
    // The router may have refused the request before.
    let _ = stream.write_all(parts[1].as_bytes()).await;
    stream
}

/// Checks that a request of which `parts[1]` arrives 1.4 s after the drain began is refused.
async fn check_refusal(parts: [String; 2]) {
    let (server, test) = start(10_000).await;
    let stream = send_in_parts(&test, [&parts[0], &parts[1]], ms(1_400)).await;
    let answer = answer_before_the_end(stream).await;
    assert_eq!(answer.status, 503, "{parts:?}: {answer:?}");
    assert!(answer.head.contains("retry-after: 0.1"), "{answer:?}");
    assert!(answer.head.contains("connection: close"), "{answer:?}");
    assert_eq!(server.count(), 0, "{parts:?}");
}

#[tokio::test]
async fn request_that_arrives_late_in_the_grace_period_is_refused() {
    let mut checks = Vec::new();
    for path in ["/once/", "/again/", "/resumed/"] {
        let head = format!("POST {path} HTTP/1.1\r\nhost: h\r\nx-attempt: a1\r\n");
        let rest = format!("x-key: {KEY}\r\ncontent-length: 0\r\n\r\n");
        let whole_head = format!("{head}x-key: {KEY}\r\ncontent-length: 4\r\n\r\n");
        checks.push(check_refusal([head, rest]));
        checks.push(check_refusal([whole_head, "body".to_owned()]));
    }
    join_all(checks).await;
}

#[tokio::test]
async fn request_that_certainly_ends_in_time_is_served() {
    let (server, test) = start(200).await;
    let first = format!("POST /once/ HTTP/1.1\r\nhost: h\r\nx-attempt: a1\r\nx-key: {KEY}\r\n");
    let second = "x-deadline: 600\r\ncontent-length: 0\r\n\r\n";
    let stream = send_in_parts(&test, [&first, second], ms(1_000)).await;
    let answer = answer_before_the_end(stream).await;
    assert_eq!((answer.status, &*answer.body), (200, "hello"));
    assert_eq!(server.count(), 1);
}

#[tokio::test]
async fn request_of_a_route_whose_requests_are_short_is_served() {
    let (_server, test) = start(20).await;
    assert_eq!(test.call("/once/", "").await.status, 200);
    test.gateway.drain();
    sleep(ms(100)).await;
    // Its deadline passes long after the end of the process.
    assert_eq!(test.call("/once/", "").await.status, 200);
}

/// Sends a request, and drains the gateway while the server works on it.
async fn drain_during(test: &TestGateway, server: &ScriptedServer, path: &str) -> Answer {
    let mut stream = test.connect().await;
    send(&mut stream, path, "").await;
    test.wait_until(|_| server.count() == 1).await;
    let reading: JoinHandle<Answer> = tokio::spawn(answer_before_the_end(stream));
    test.gateway.drain();
    reading.await.unwrap()
}

#[tokio::test]
async fn request_that_is_not_answered_by_the_end_is_told_so() {
    for path in ["/once-no-objective/", "/no-objective/"] {
        // The deadline of the request is 3 s after its arrival, the end of the service 1.9 s.
        let server = ScriptedServer::start(vec![ScriptStep::AwaitClose]).await;
        let test = start_gateway(&[server.address], 3_000).await;
        let answer = drain_during(&test, &server, path).await;
        assert_eq!(answer.status, 502, "{path}: {answer:?}");
        assert!(!answer.head.contains("retry-after"), "{answer:?}");
        assert_eq!(server.count(), 1, "{path}");
        test.gateway.wait_until_drained().await;
    }
}

#[tokio::test]
async fn request_that_was_not_run_is_not_sent_again_late_in_the_grace_period() {
    let rejected = answer("503 Service Unavailable", "x-not-run: 1\r\n", "");
    let server = ScriptedServer::start(vec![ScriptStep::Wait(1_500), rejected]).await;
    // The same server under two registrations.
    let test = start_gateway(&[server.address, server.address], GRACE_MS).await;
    let answer = drain_during(&test, &server, "/once-no-objective/").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(server.count(), 1);
}

#[tokio::test]
async fn stream_that_runs_on_is_given_out_until_the_end() {
    let mut steps = vec![ScriptStep::StreamHead];
    for number in 1..=15 {
        steps.extend([ScriptStep::Event(number), ScriptStep::Wait(100)]);
    }
    steps.push(ScriptStep::StreamEnd);
    let server = ScriptedServer::start(steps).await;
    let test = start_gateway(&[server.address], GRACE_MS).await;
    let answer = drain_during(&test, &server, "/resumed/").await;
    assert_eq!((answer.body, answer.is_truncated), (events(1..=15), false));
}

#[test]
fn request_is_taken_if_it_ends_before_the_service() {
    let now = Instant::now();
    let takes = |request: GraceRequest, left_ms| request.ends_in_time(now, now + ms(left_ms));
    let unknown = GraceRequest {
        deadline: now + ms(10_000),
        usual: None,
        is_repeatable: false,
    };
    let once = GraceRequest {
        usual: Some(UsualDuration {
            mean: ms(400),
            deviation: ms(100),
        }),
        ..unknown
    };
    let repeatable = GraceRequest {
        is_repeatable: true,
        ..once
    };
    let overdue = GraceRequest {
        deadline: now,
        ..once
    };
    for (request, enough_ms) in [
        (unknown, 10_000),
        (once, 800),
        (repeatable, 500),
        (overdue, 1),
    ] {
        assert!(takes(request, enough_ms), "{request:?}");
        assert!(!takes(request, enough_ms - 1), "{request:?}");
    }
}

#[test]
fn usual_duration_follows_the_recent_requests() {
    let now = Instant::now();
    let durations = RouteDurations::default();
    let route = Arc::from("a");
    assert_eq!(durations.usual("a"), None);
    for _ in 0..100 {
        durations.record(&route, ms(80), now);
    }
    let usual = durations.usual("a").unwrap();
    assert_eq!(usual.mean, ms(80));
    assert!(usual.deviation < ms(1), "{usual:?}");
    durations.record(&route, ms(880), now);
    let usual = durations.usual("a").unwrap();
    assert_eq!(usual.mean, ms(180));
    assert!(usual.deviation >= ms(200), "{usual:?}");
    assert_eq!(durations.usual("b"), None);
}

#[test]
fn routes_without_recent_requests_are_forgotten_once_there_are_many() {
    let begin = Instant::now();
    let durations = RouteDurations::default();
    for number in 0..1_024 {
        durations.record(&Arc::from(format!("old-{number}")), ms(1), begin);
    }
    let later = begin + Duration::from_mins(2);
    durations.record(&Arc::from("recent"), ms(1), later);
    assert!(durations.usual("old-1").is_none());
    assert!(durations.usual("recent").is_some());
}
