//! A stalled stream that sent a byte of an event now and then did not count as silent, so that its
//! caller waited until the deadline although another backend server could have resumed it.

mod common;

use common::{
    gateway::{TestGateway, read_answer, send},
    server::{ScriptStep, ScriptedServer, events},
};
use mallowpath_gateway::Topic;
use std::time::{Duration, Instant};
use tokio::time::sleep;

#[tokio::test]
async fn stream_that_trickles_an_event_is_resumed_elsewhere() {
    let mut steps = vec![ScriptStep::StreamHead, ScriptStep::Event(1)];
    for _ in 0..40 {
        steps.push(ScriptStep::Wait(250));
        steps.push(ScriptStep::Write("1\r\nx\r\n".to_owned()));
    }
    let stalled = ScriptedServer::start(steps).await;
    let whole = ScriptedServer::start(vec![
        ScriptStep::StreamHead,
        ScriptStep::Event(2),
        ScriptStep::StreamEnd,
    ])
    .await;
    let test = TestGateway::start(&[stalled.address]).await;
    let mut stream = test.connect().await;
    let started = Instant::now();
    send(&mut stream, "/long/", "x-tokens: 100 60\r\n").await;
    sleep(Duration::from_millis(150)).await;
    let address = whole.address.to_string();
    test.store.put(Topic::Backends, "b1", Some(&address));
    let got = read_answer(stream).await;
    assert_eq!((got.body, got.is_truncated), (events(1..=2), false));
    assert!(started.elapsed() < Duration::from_secs(4));
}

#[tokio::test]
async fn slow_but_sound_stream_is_not_cut_or_moved() {
    let mut steps = vec![ScriptStep::StreamHead];
    for number in 1..=4 {
        steps.push(ScriptStep::Event(number));
        steps.push(ScriptStep::Wait(1_100));
    }
    steps.push(ScriptStep::StreamEnd);
    let slow = ScriptedServer::start(steps).await;
    let other = ScriptedServer::start(vec![ScriptStep::Close]).await;
    let test = TestGateway::start(&[slow.address]).await;
    let mut stream = test.connect().await;
    send(&mut stream, "/long/", "x-tokens: 100 60\r\n").await;
    sleep(Duration::from_millis(150)).await;
    let address = other.address.to_string();
    test.store.put(Topic::Backends, "b1", Some(&address));
    let got = read_answer(stream).await;
    assert_eq!((got.body, got.is_truncated), (events(1..=4), false));
    assert_eq!(other.count(), 0);
}
