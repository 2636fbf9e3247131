//! Bytes of a backend server that never end and are no answer end the request in time, with bounded
//! memory and a closed connection.

mod common;

use common::{
    gateway::TestGateway,
    server::{ScriptStep, ScriptedServer},
};
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// The timeout of the test routes, with a margin for a busy host.
const ANSWER_TIME_MAX: Duration = Duration::from_secs(4);

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt: ATTEMPT\r\nx-signature: s\r\n";

/// What a caller receives in place of an answer that never ends.
#[derive(Debug, PartialEq, Eq)]
enum Ending {
    /// An error that does not state whether the request has run.
    Error,
    /// An answer that is broken off, with or without its head.
    BrokenOff,
}

/// Sends a request to a server that runs `steps` and returns how it ends.
async fn call(path: &str, steps: Vec<ScriptStep>) -> Ending {
    let server = ScriptedServer::start(steps).await;
    let test = TestGateway::start(&[server.address]).await;
    let started = Instant::now();
    let got = test.call(path, "x-tokens: 10 10\r\n").await;
    assert!(started.elapsed() < ANSWER_TIME_MAX, "{path}");
    for _ in 0..100 {
        if server.peer_closes.load(Ordering::SeqCst) > 0 {
            return match got.status {
                502 | 504 => Ending::Error,
                0 => Ending::BrokenOff,
                200 if got.is_truncated => Ending::BrokenOff,
                status => panic!("a complete answer with status {status}"),
            };
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("the connection to the backend server stays open");
}

fn head(rest: &str) -> ScriptStep {
    ScriptStep::Write(format!("{HEAD}{rest}"))
}

#[tokio::test]
async fn endless_bytes_before_a_head_give_an_error() {
    let steps = vec![ScriptStep::Flood("noise ")];
    assert_eq!(call("/once/", steps).await, Ending::Error);
}

#[tokio::test]
async fn endless_headers_give_an_error() {
    let steps = vec![head(""), ScriptStep::Flood("x-more: and more\r\n")];
    assert_eq!(call("/once/", steps).await, Ending::Error);
}

#[tokio::test]
async fn endless_header_value_gives_an_error() {
    let steps = vec![head("x-more: "), ScriptStep::Flood("and more ")];
    assert_eq!(call("/once/", steps).await, Ending::Error);
}

#[tokio::test]
async fn endless_informational_answers_end_at_the_deadline() {
    let steps = vec![ScriptStep::Flood("HTTP/1.1 100 Continue\r\n\r\n")];
    assert_eq!(call("/once/", steps).await, Ending::Error);
}

#[tokio::test]
async fn endless_body_gives_an_error() {
    let steps = vec![head("\r\n"), ScriptStep::Flood("noise ")];
    assert_eq!(call("/once/", steps).await, Ending::Error);
}

#[tokio::test]
async fn endless_chunks_give_an_error() {
    let steps = vec![
        head("transfer-encoding: chunked\r\n\r\n"),
        ScriptStep::Flood("5\r\nnoise\r\n"),
    ];
    assert_eq!(call("/once/", steps).await, Ending::Error);
}

#[tokio::test]
async fn endless_bytes_in_a_stream_break_it_off() {
    let steps = vec![
        head("content-type: text/event-stream\r\n\r\n"),
        ScriptStep::Flood("noise "),
    ];
    assert_eq!(call("/stream/", steps).await, Ending::BrokenOff);
}

#[tokio::test]
async fn endless_events_without_identifiers_break_the_stream_off() {
    let steps = vec![
        head("content-type: text/event-stream\r\n\r\n"),
        ScriptStep::Flood("data: noise\n\n"),
    ];
    assert_eq!(call("/stream/", steps).await, Ending::BrokenOff);
}
