//! Tests that a host reaches the store through a relay if the store rejects its calls or does not
//! answer them.

mod common;

use bytes::Bytes;
use common::server::{ScriptStep, ScriptedServer};
use http::Method;
use mallowpath::{HostLimits, HttpCall};
use mallowpath_gateway::{SidecarSettings, StoreTransport, run_relay};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstore";
const UNAVAILABLE: &str = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";

async fn start_server(answer: &str) -> ScriptedServer {
    ScriptedServer::start(vec![ScriptStep::Write(answer.to_owned())]).await
}

/// Starts a relay to `store` and returns its address.
async fn start_relay(store: SocketAddr) -> SocketAddr {
    let free = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let settings = SidecarSettings {
        host: "sidecar".parse().unwrap(),
        relay: address,
        limits: HostLimits::default(),
    };
    let transport = Arc::new(StoreTransport::new(store, Vec::new()));
    tokio::spawn(run_relay(settings, transport));
    while TcpStream::connect(address).await.is_err() {
        sleep(Duration::from_millis(5)).await;
    }
    address
}

fn call() -> HttpCall {
    HttpCall {
        operation: "read",
        method: Method::GET,
        path: "/x".to_owned(),
        body: Bytes::new(),
        timeout_ms: 1_000,
    }
}

#[tokio::test]
async fn store_that_refuses_connections_is_reached_through_a_relay() {
    let store = start_server(OK).await;
    let relay = start_relay(store.address).await;
    let transport = StoreTransport::new("127.0.0.1:1".parse().unwrap(), vec![relay]);
    let answer = transport.call(call(), 0).await.unwrap();
    assert_eq!(
        (answer.status.as_u16(), &*answer.body),
        (200, &b"store"[..])
    );
}

#[tokio::test]
async fn store_that_rejects_calls_of_the_host_is_reached_through_a_relay() {
    let rejecting = start_server(UNAVAILABLE).await;
    let store = start_server(OK).await;
    let relay = start_relay(store.address).await;
    let transport = StoreTransport::new(rejecting.address, vec![relay]);
    for _ in 0..3 {
        assert_eq!(
            transport.call(call(), 0).await.unwrap().status.as_u16(),
            200
        );
    }
    // During the cooldown after the failure, no direct call is made.
    assert_eq!(rejecting.count(), 1);
}

#[tokio::test]
async fn call_to_an_unresponsive_store_is_hedged_through_a_relay() {
    let unresponsive = ScriptedServer::start(vec![ScriptStep::AwaitClose]).await;
    let store = start_server(OK).await;
    let relay = start_relay(store.address).await;
    let transport = StoreTransport::new(unresponsive.address, vec![relay]);
    let started = Instant::now();
    assert_eq!(
        transport.call(call(), 0).await.unwrap().status.as_u16(),
        200
    );
    // The direct call alone would time out after one second.
    assert!(started.elapsed() < Duration::from_millis(950));
}

#[tokio::test]
async fn failed_call_reports_whether_it_may_have_an_effect() {
    let rejecting = start_server(UNAVAILABLE).await;
    let transport = StoreTransport::new(rejecting.address, Vec::new());
    assert_eq!(
        transport.call(call(), 0).await.unwrap().status.as_u16(),
        503
    );
    let closing = ScriptedServer::start(vec![ScriptStep::Close]).await;
    let transport = StoreTransport::new(closing.address, Vec::new());
    let error = transport.call(call(), 0).await.unwrap_err();
    assert_eq!(error.category(), mallowpath::Category::Unknown);
}
