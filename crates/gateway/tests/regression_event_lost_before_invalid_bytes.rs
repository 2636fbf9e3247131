//! A whole event that came in one chunk with bytes that are no event after it was dropped, but the
//! stream was resumed after it, so that callers got a complete stream with an event missing.

mod common;

use common::{
    gateway::{TestGateway, read_answer, send},
    server::{ScriptStep, ScriptedServer, events, header},
};
use mallowpath_gateway::{EventSplitter, Topic};
use proptest::prelude::*;
use std::time::Duration;
use tokio::time::sleep;

/// Returns the last event that a second server is asked to go on after, if the first one sends events 1
/// and 2, and then `chunk`; checks that the caller gets the whole stream.
async fn resumed_after(chunk: &str) -> Option<String> {
    let chunk = format!("{:x}\r\n{chunk}\r\n", chunk.len());
    let spoilt = ScriptedServer::start(vec![
        ScriptStep::StreamHead,
        ScriptStep::Event(1),
        ScriptStep::Event(2),
        ScriptStep::Wait(400),
        ScriptStep::Write(chunk),
        ScriptStep::AwaitClose,
    ])
    .await;
    let whole = ScriptedServer::start(vec![
        ScriptStep::StreamHead,
        ScriptStep::Event(4),
        ScriptStep::StreamEnd,
    ])
    .await;
    let test = TestGateway::start(&[spoilt.address]).await;
    let mut stream = test.connect().await;
    send(&mut stream, "/resumed/", "x-tokens: 100 60\r\n").await;
    sleep(Duration::from_millis(150)).await;
    let address = whole.address.to_string();
    test.store.put(Topic::Backends, "b1", Some(&address));
    let got = read_answer(stream).await;
    assert_eq!((got.body, got.is_truncated), (events(1..=4), false));
    let heads = whole.requests.lock().unwrap();
    header(&heads[0], "x-last").map(ToOwned::to_owned)
}

#[tokio::test]
async fn event_before_invalid_ones_in_a_chunk_reaches_the_caller() {
    let spoilt_behind = ["x\n\n", "id: 3\ndata: word3\n\n", "id: 5\ndata: word5\n\n"];
    for spoilt in spoilt_behind {
        let chunk = events(3..=3) + spoilt;
        assert_eq!(
            resumed_after(&chunk).await.as_deref(),
            Some("3"),
            "{spoilt:?}"
        );
    }
}

/// The number of events in a whole stream of [`spoilt_at`].
const EVENTS: u64 = 5;

/// How the end of a server's stream is marked.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Chunks,
    Length,
    Connection,
}

impl Framing {
    fn head(self) -> String {
        let line = match self {
            Self::Chunks => "transfer-encoding: chunked\r\n",
            Self::Length => "content-length: 9999\r\n",
            Self::Connection => "",
        };
        format!(
            "HTTP/1.1 200 OK\r\nx-attempt: ATTEMPT\r\nx-signature: s\r\n\
             content-type: text/event-stream\r\n{line}\r\n"
        )
    }

    fn part(self, text: &str) -> String {
        match self {
            Self::Chunks => format!("{:x}\r\n{text}\r\n", text.len()),
            Self::Length | Self::Connection => text.to_owned(),
        }
    }
}

/// Returns the last event that a second server is asked to go on after, if the first one sends bytes that
/// are no event in one part with event `number`; checks that the caller gets the whole stream.
async fn spoilt_at(number: u64, framing: Framing) -> Option<String> {
    let mut steps = vec![ScriptStep::Write(framing.head())];
    for before in 1..number {
        let text = events(before..=before);
        steps.push(ScriptStep::Write(framing.part(&text)));
    }
    let spoilt = events(number..=number) + "no event\n\n";
    steps.extend([
        ScriptStep::Wait(400),
        ScriptStep::Write(framing.part(&spoilt)),
        ScriptStep::AwaitClose,
    ]);
    let first = ScriptedServer::start(steps).await;
    let mut steps = vec![ScriptStep::StreamHead];
    steps.extend((number + 1..=EVENTS).map(ScriptStep::Event));
    steps.push(ScriptStep::StreamEnd);
    let second = ScriptedServer::start(steps).await;
    let test = TestGateway::start(&[first.address]).await;
    let mut stream = test.connect().await;
    // An event holds three tokens.
    let headers = format!("x-tokens: 100 {}\r\n", EVENTS * 3);
    send(&mut stream, "/resumed/", &headers).await;
    sleep(Duration::from_millis(150)).await;
    let address = second.address.to_string();
    test.store.put(Topic::Backends, "b1", Some(&address));
    let got = read_answer(stream).await;
    assert_eq!((got.body, got.is_truncated), (events(1..=EVENTS), false));
    let heads = second.requests.lock().unwrap();
    header(&heads[0], "x-last").map(ToOwned::to_owned)
}

#[tokio::test]
async fn event_is_kept_wherever_it_stands_and_however_the_stream_is_framed() {
    for framing in [Framing::Chunks, Framing::Length, Framing::Connection] {
        for number in [1, 2, EVENTS] {
            let last = spoilt_at(number, framing).await;
            assert_eq!(
                last,
                Some(number.to_string()),
                "event {number}, {framing:?}"
            );
        }
    }
}

/// One piece of what a backend server sends.
#[derive(Debug, Clone)]
enum Piece {
    /// The next events.
    Events(u64),
    /// Events that were skipped; none is sent.
    Gap(u64),
    /// The last events once more.
    Repeat(u64),
    Garbage(Vec<u8>),
}

fn piece() -> impl Strategy<Value = Piece> {
    prop_oneof![
        6 => (1_u64..6).prop_map(Piece::Events),
        1 => (1_u64..3).prop_map(Piece::Gap),
        1 => (1_u64..3).prop_map(Piece::Repeat),
        1 => any::<Vec<u8>>().prop_map(Piece::Garbage),
        1 => "(id: [0-9]{1,20}\n|data: x\n|id: 3|: c\n|\r\n|\n){1,6}"
            .prop_map(|text| Piece::Garbage(text.into_bytes())),
    ]
}

/// Returns what a server sends that was asked to go on after event `last`.
fn sent_bytes(pieces: &[Piece], last: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut next = last + 1;
    for piece in pieces {
        match piece {
            Piece::Events(count) => {
                bytes.extend_from_slice(events(next..=next + count - 1).as_bytes());
                next += count;
            }
            Piece::Gap(count) => next += count,
            Piece::Repeat(count) => next = next.saturating_sub(*count).max(1),
            Piece::Garbage(garbage) => bytes.extend_from_slice(garbage),
        }
    }
    bytes
}

/// Returns the identifiers in `bytes`, which have to be whole events.
fn ids(bytes: &[u8]) -> Vec<u64> {
    let text = std::str::from_utf8(bytes).unwrap();
    let fields = text.lines().filter_map(|line| line.strip_prefix("id:"));
    fields.map(|id| id.trim().parse().unwrap()).collect()
}

proptest! {
    #[test]
    fn callers_get_a_stream_without_a_hole_that_is_resumed_at_its_end(
        runs in proptest::collection::vec(proptest::collection::vec(piece(), 0..8), 1..4),
        cuts in proptest::collection::vec(1_usize..80, 1..20),
    ) {
        let mut splitter = EventSplitter::resuming_after(Some(0));
        let mut got = Vec::new();
        for pieces in runs {
            let last = splitter.last_id().unwrap();
            let bytes = sent_bytes(&pieces, last);
            let mut rest = &*bytes;
            for cut in cuts.iter().cycle() {
                let Ok(out) = splitter.push(&rest[..rest.len().min(*cut)].to_vec().into()) else {
                    break;
                };
                got.extend(ids(&out));
                prop_assert_eq!(splitter.last_id(), Some(got.last().copied().unwrap_or(0)));
                rest = &rest[rest.len().min(*cut)..];
                if rest.is_empty() {
                    break;
                }
            }
            splitter.drop_partial();
        }
        let whole: Vec<u64> = (1..=splitter.events()).collect();
        prop_assert_eq!(got, whole);
    }
}
