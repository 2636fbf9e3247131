//! A stream that broke off was resumed at a backend server that sent no event, and ended as if it were
//! complete.

mod common;

use common::{
    gateway::{Answer, TestGateway, read_answer, send},
    server::{ScriptStep, ScriptedServer, events, header},
};
use mallowpath_gateway::{StreamEnd, StreamPart, Topic};
use std::time::Duration;
use tokio::time::sleep;

/// The head of a signed event stream, up to its framing.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt: ATTEMPT\r\nx-signature: s\r\n\
                           content-type: text/event-stream\r\n";

/// Returns an answer without an event for each way in which its body can end.
fn answers_without_an_event() -> [(&'static str, String); 5] {
    [
        (
            "a length of 0",
            format!("{STREAM_HEAD}content-length: 0\r\n\r\n"),
        ),
        (
            "no chunk",
            format!("{STREAM_HEAD}transfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        ),
        (
            "a comment in chunks",
            format!("{STREAM_HEAD}transfer-encoding: chunked\r\n\r\n4\r\n: c\n\r\n0\r\n\r\n"),
        ),
        (
            "a blank line of a stated length",
            format!("{STREAM_HEAD}content-length: 1\r\n\r\n\n"),
        ),
        ("a closed connection", format!("{STREAM_HEAD}\r\n")),
    ]
}

/// Returns what a caller gets whose stream breaks off after event 1 and is resumed with `resumption`, and
/// how often a server was asked to go on after event 1.
async fn resume_with(resumption: Vec<ScriptStep>, tokens: &str) -> (Answer, usize) {
    let first = ScriptedServer::start(vec![
        ScriptStep::StreamHead,
        ScriptStep::Event(1),
        ScriptStep::Wait(400),
        ScriptStep::Close,
    ])
    .await;
    let second = ScriptedServer::start(resumption).await;
    let test = TestGateway::start(&[first.address]).await;
    let mut stream = test.connect().await;
    send(&mut stream, "/resumed/", &format!("x-tokens: {tokens}\r\n")).await;
    sleep(Duration::from_millis(150)).await;
    let address = second.address.to_string();
    test.store.put(Topic::Backends, "b1", Some(&address));
    let answer = read_answer(stream).await;
    let heads = second.requests.lock().unwrap();
    let resumed = heads
        .iter()
        .filter(|head| header(head, "x-last") == Some("1"));
    (answer, resumed.count())
}

/// Returns whether a caller takes an answer for a complete stream.
fn looks_complete(answer: &Answer) -> bool {
    answer.status == 200 && !answer.is_truncated
}

#[tokio::test]
async fn stream_resumed_without_an_event_does_not_look_complete() {
    for (name, resumption) in answers_without_an_event() {
        let steps = vec![ScriptStep::Write(resumption), ScriptStep::Close];
        let (answer, resumed) = resume_with(steps, "100 60").await;
        assert_eq!(resumed, 1, "{name}");
        assert!(answer.is_truncated, "{name}: {answer:?}");
        // What the failed resumption has sent is no part of the answer.
        assert_eq!(answer.body, events(1..=1), "{name}");
    }
}

#[tokio::test]
async fn stream_with_all_its_tokens_is_complete_when_the_resumption_adds_none() {
    // An event holds three tokens.
    let steps = vec![ScriptStep::StreamHead, ScriptStep::StreamEnd];
    let (answer, resumed) = resume_with(steps, "100 3").await;
    assert_eq!(resumed, 1);
    assert!(!answer.is_truncated, "{answer:?}");
    assert_eq!(answer.body, events(1..=1));
}

#[tokio::test]
async fn stream_without_an_event_is_resumed_elsewhere() {
    for (name, empty) in answers_without_an_event() {
        let empty = vec![ScriptStep::Write(empty), ScriptStep::Close];
        let whole = vec![
            ScriptStep::StreamHead,
            ScriptStep::Event(1),
            ScriptStep::Event(2),
            ScriptStep::StreamEnd,
        ];
        let server = ScriptedServer::start(empty).await;
        let test = TestGateway::start(&[server.address]).await;
        let answer = test.call("/resumed/", "x-tokens: 100 60\r\n").await;
        assert!(!looks_complete(&answer), "{name}: {answer:?}");

        let other = ScriptedServer::start(whole).await;
        let address = other.address.to_string();
        test.store.put(Topic::Backends, "b1", Some(&address));
        test.wait_until(|gateway| gateway.backends.len() == 2).await;
        let answer = test.call("/resumed/", "x-tokens: 100 60\r\n").await;
        assert!(!answer.is_truncated, "{name}: {answer:?}");
        assert_eq!(answer.body, events(1..=2), "{name}");
    }
}

#[tokio::test]
async fn caller_that_takes_up_a_whole_stream_gets_its_end() {
    let server = ScriptedServer::start(vec![ScriptStep::StreamHead, ScriptStep::StreamEnd]).await;
    let test = TestGateway::start(&[server.address]).await;
    let headers = "x-tokens: 100 60\r\nx-last: 7\r\n";
    let answer = test.call("/resumed/", headers).await;
    assert_eq!(answer.status, 200);
    assert!(!answer.is_truncated, "{answer:?}");
}

#[tokio::test]
async fn closed_connection_does_not_end_a_stream_that_was_taken_up() {
    let steps = vec![ScriptStep::UnframedStreamHead, ScriptStep::Close];
    let server = ScriptedServer::start(steps).await;
    let test = TestGateway::start(&[server.address]).await;
    let headers = "x-tokens: 100 60\r\nx-last: 7\r\n";
    let answer = test.call("/resumed/", headers).await;
    assert!(!looks_complete(&answer), "{answer:?}");
}

#[test]
fn body_without_an_event_is_whole_only_if_nothing_can_be_missing() {
    use StreamPart::{Resumed, TakenUp, Whole};
    // Without a maximum number of tokens, only a resumption shows that there are events.
    let declared = [
        (Whole, None, true),
        (Whole, Some(0), true),
        (Whole, Some(30), true),
        (Whole, Some(31), false),
        (TakenUp, None, true),
        (TakenUp, Some(31), true),
        (Resumed, None, false),
        (Resumed, Some(30), true),
        (Resumed, Some(31), false),
    ];
    for (part, tokens_max, is_whole) in declared {
        let framed = StreamEnd {
            part,
            is_framed: true,
            tokens_given: 30,
            tokens_max,
            ..StreamEnd::default()
        };
        let unframed = StreamEnd {
            is_framed: false,
            ..framed
        };
        let with_events = StreamEnd {
            has_events: true,
            ..unframed
        };
        assert_eq!(framed.is_whole(), is_whole, "{framed:?}");
        assert!(!unframed.is_whole(), "{unframed:?}");
        assert!(with_events.is_whole(), "{with_events:?}");
    }
}
