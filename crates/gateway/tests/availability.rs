//! Backend servers that are shutting down, have asked for a pause or stand in an evacuated zone get no
//! requests.

mod common;

use common::{
    gateway::TestGateway,
    server::{ScriptStep, ScriptedServer, answer, header, success},
};
use mallowpath_gateway::Topic;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Returns a step that answers with 503, states that the request has not run and asks for a pause.
fn pause(retry_after: &str) -> ScriptStep {
    let headers = format!("x-not-run: 1\r\nretry-after: {retry_after}\r\n");
    answer("503 Busy", &headers, "")
}

#[tokio::test]
async fn server_that_announces_its_shutdown_gets_no_requests_whatever_its_registration_says() {
    let last = answer("200 OK", "x-signature: s\r\nx-leaving: 1\r\n", "last");
    let leaving = ScriptedServer::start(vec![last]).await;
    let test = TestGateway::start(&[leaving.address]).await;
    assert_eq!(test.call("/once/", "").await.body, "last");
    let address = leaving.address.to_string();
    test.store.put(Topic::Backends, "b0", Some(&address));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(test.call("/once/", "").await.status, 503);
    assert_eq!(leaving.count(), 1);
}

#[tokio::test]
async fn server_that_asks_for_a_pause_gets_no_requests_until_its_end() {
    let busy = ScriptedServer::start(vec![pause("0.6")]).await;
    let test = TestGateway::start(&[busy.address]).await;
    let started = Instant::now();
    let got = test.call("/once/", "").await;
    assert_eq!(got.status, 503);
    let mut refused = 0;
    while started.elapsed() < Duration::from_millis(400) {
        let got = test.call("/once/", "").await;
        assert_eq!(got.status, 503);
        assert!(got.head.contains("retry-after: 0."), "{}", got.head);
        refused += 1;
    }
    assert!(refused > 3, "requests wait for the end of the pause");
    assert_eq!(busy.count(), 1);
    sleep(Duration::from_millis(300)).await;
    test.call("/once/", "").await;
    assert_eq!(busy.count(), 2);
}

#[tokio::test]
async fn requests_go_to_other_servers_during_a_pause() {
    let busy = ScriptedServer::start(vec![pause("30")]).await;
    let free = ScriptedServer::start(vec![success("free")]).await;
    let test = TestGateway::start(&[busy.address, free.address]).await;
    for _ in 0..12 {
        assert_eq!(test.call("/once/", "").await.body, "free");
    }
    assert!(busy.count() <= 1);
}

#[tokio::test]
async fn caller_is_told_to_come_back_after_the_shortest_pause() {
    let first = ScriptedServer::start(vec![pause("2")]).await;
    let second = ScriptedServer::start(vec![pause("20")]).await;
    let test = TestGateway::start(&[first.address, second.address]).await;
    test.call("/once/", "").await;
    let got = test.call("/once/", "").await;
    let retry_after_s: f64 = header(&got.head, "retry-after").unwrap().parse().unwrap();
    // The rest of the pause of 2 s, not of that of 20 s.
    assert!(retry_after_s > 1.0 && retry_after_s <= 2.0, "{}", got.head);
}

#[tokio::test]
async fn unreadable_pause_lasts_for_a_second_and_a_negative_one_too() {
    for value in ["soon", "-4", "nan"] {
        let busy = ScriptedServer::start(vec![pause(value)]).await;
        let test = TestGateway::start(&[busy.address]).await;
        test.call("/once/", "").await;
        test.call("/once/", "").await;
        assert_eq!(busy.count(), 1, "{value}");
        sleep(Duration::from_millis(1_100)).await;
        test.call("/once/", "").await;
        assert_eq!(busy.count(), 2, "{value}");
    }
}

#[tokio::test]
async fn pause_of_a_year_stops_nothing_but_its_server() {
    let busy = ScriptedServer::start(vec![pause("31536000")]).await;
    let free = ScriptedServer::start(vec![success("free")]).await;
    let test = TestGateway::start(&[busy.address]).await;
    let got = test.call("/once/", "").await;
    assert!(got.head.contains("retry-after: 600.") || got.head.contains("retry-after: 599."));
    let address = free.address.to_string();
    test.store.put(Topic::Backends, "b1", Some(&address));
    test.wait_until(|gateway| gateway.backends.len() == 2).await;
    assert_eq!(test.call("/once/", "").await.body, "free");
}

#[tokio::test]
async fn evacuated_zone_gets_no_requests_until_it_is_in_use_again() {
    let inside = ScriptedServer::start(vec![success("inside")]).await;
    let test = TestGateway::start(&[]).await;
    let entry = format!("in zone-2 {}", inside.address);
    test.store.put(Topic::Backends, "b0", Some(&entry));
    test.wait_until(|gateway| gateway.backends.len() == 1).await;
    assert_eq!(test.call("/once/", "").await.body, "inside");
    // A zone without backend servers and a name that is not valid change nothing.
    for key in ["evacuated/zone-9", "evacuated/", "evacuated/zone-2"] {
        test.store.put(Topic::Configuration, key, Some("{}"));
    }
    test.wait_until(|gateway| gateway.backends.evacuated_zones().len() == 2)
        .await;
    assert_eq!(test.call("/once/", "").await.status, 503);
    assert_eq!(inside.count(), 1);
    test.store
        .put(Topic::Configuration, "evacuated/zone-2", None);
    test.wait_until(|gateway| gateway.backends.evacuated_zones().len() == 1)
        .await;
    assert_eq!(test.call("/once/", "").await.body, "inside");
}

#[tokio::test]
async fn evacuation_that_ends_while_records_are_dropped_is_noticed() {
    let test = TestGateway::start(&[]).await;
    test.store
        .put(Topic::Configuration, "evacuated/zone-2", Some("{}"));
    test.wait_until(|gateway| !gateway.backends.evacuated_zones().is_empty())
        .await;
    test.store.set_down(true);
    sleep(Duration::from_millis(300)).await;
    test.store
        .put(Topic::Configuration, "evacuated/zone-2", None);
    test.store.compact();
    test.store.set_down(false);
    test.wait_until(|gateway| gateway.backends.evacuated_zones().is_empty())
        .await;
}

#[tokio::test]
async fn misdirected_resumption_ends_requests_to_the_address() {
    let steps = vec![
        ScriptStep::StreamHead,
        ScriptStep::Event(1),
        ScriptStep::Wait(300),
        ScriptStep::Close,
    ];
    let broken = ScriptedServer::start(steps).await;
    let replaced = ScriptedServer::start(vec![answer("421 Other", "", "")]).await;
    let test = TestGateway::start(&[broken.address]).await;
    let mut stream = test.connect().await;
    common::gateway::send(&mut stream, "/resumed/", "x-tokens: 100 60\r\n").await;
    sleep(Duration::from_millis(100)).await;
    let address = replaced.address.to_string();
    test.store.put(Topic::Backends, "b1", Some(&address));
    assert!(common::gateway::read_answer(stream).await.is_truncated);
    test.store.put(Topic::Backends, "b0", None);
    test.wait_until(|gateway| gateway.backends.len() == 1).await;
    assert_eq!(test.call("/once/", "").await.status, 503);
    assert_eq!(replaced.count(), 1);
}
