//! Tests the fault modes of the forwarder and of the plain service.

mod common;

use common::{call, json};
use mallowpath_standins::{
    forwarder::{self, Handle, Mode, Settings},
    plain_service::{self, Failure},
};
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// How long data may take to arrive.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long no data must arrive for it to count as withheld.
const SILENCE_WINDOW: Duration = Duration::from_millis(50);

/// Starts a forwarder and returns it, its target's listener and both ends of a connection.
async fn connect_through_forwarder() -> (Handle, TcpListener, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    let forwarder = forwarder::start(Settings {
        target,
        ..Settings::default()
    })
    .await
    .unwrap();
    let client = TcpStream::connect(forwarder.address).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    (forwarder, listener, client, server)
}

async fn is_delivered(from: &mut TcpStream, to: &mut TcpStream) -> bool {
    from.write_all(b"x").await.unwrap();
    timeout(ARRIVAL_TIMEOUT, to.read_u8()).await.is_ok()
}

async fn is_withheld(from: &mut TcpStream, to: &mut TcpStream) -> bool {
    from.write_all(b"x").await.unwrap();
    timeout(SILENCE_WINDOW, to.read_u8()).await.is_err()
}

#[tokio::test]
async fn black_hole_withholds_data_until_the_mode_is_open() {
    let (forwarder, _listener, mut client, mut server) = connect_through_forwarder().await;
    assert!(is_delivered(&mut client, &mut server).await);
    forwarder.set_mode(Mode::BlackHole);
    assert!(is_withheld(&mut client, &mut server).await);
    assert!(is_withheld(&mut server, &mut client).await);
    forwarder.set_mode(Mode::Open);
    assert_eq!(server.read_u8().await.unwrap(), b'x');
    assert_eq!(client.read_u8().await.unwrap(), b'x');
}

#[tokio::test]
async fn one_way_black_hole_withholds_data_in_one_direction() {
    let (forwarder, _listener, mut client, mut server) = connect_through_forwarder().await;
    forwarder.set_mode(Mode::BlackHoleToTarget);
    assert!(is_withheld(&mut client, &mut server).await);
    assert!(is_delivered(&mut server, &mut client).await);
    forwarder.set_mode(Mode::BlackHoleToClient);
    assert_eq!(server.read_u8().await.unwrap(), b'x');
    assert!(is_withheld(&mut server, &mut client).await);
}

#[tokio::test]
async fn cut_closes_existing_and_new_connections() {
    let (forwarder, _listener, mut client, mut server) = connect_through_forwarder().await;
    forwarder.set_mode(Mode::Cut);
    client.read_u8().await.unwrap_err();
    server.read_u8().await.unwrap_err();
    let mut client = TcpStream::connect(forwarder.address).await.unwrap();
    client.read_u8().await.unwrap_err();
}

#[tokio::test]
async fn stale_connections_stay_blocked_while_new_ones_forward() {
    let (forwarder, listener, mut client, mut server) = connect_through_forwarder().await;
    let (status, _) = json(
        forwarder.admin.address,
        "POST /control",
        r#"{"mode":"stale_old"}"#,
    )
    .await;
    assert_eq!(status, 200);
    assert!(is_withheld(&mut client, &mut server).await);
    let mut new_client = TcpStream::connect(forwarder.address).await.unwrap();
    let (mut new_server, _) = listener.accept().await.unwrap();
    assert!(is_delivered(&mut new_client, &mut new_server).await);
    forwarder.set_mode(Mode::Open);
    assert!(is_withheld(&mut server, &mut client).await);
}

#[tokio::test]
async fn delay_applies_in_each_direction() {
    let service = plain_service::start(plain_service::Settings::default())
        .await
        .unwrap();
    let settings = Settings {
        target: service.address,
        delay_ms: 20,
        ..Settings::default()
    };
    let forwarder = forwarder::start(settings).await.unwrap();
    let started = Instant::now();
    let (status, answer) = json(forwarder.address, "PUT /a?b=c", "body").await;
    assert!(started.elapsed() >= Duration::from_millis(40));
    let echo = json!({ "method": "PUT", "path": "/a?b=c", "body": "body", "run": 1 });
    assert_eq!((status, answer), (200, echo));
}

#[tokio::test]
async fn plain_service_fails_before_or_after_the_run() {
    let service = plain_service::start(plain_service::Settings::default())
        .await
        .unwrap();
    service.change(|settings| settings.failure = Failure::BeforeEffect);
    assert_eq!(
        call(service.address, "POST /", "r", "").await.unwrap().0,
        503
    );
    let (_, stats) = json(service.address, "GET /v1/stats", "").await;
    assert_eq!(stats, json!({ "runs": {} }));
    service.change(|settings| settings.failure = Failure::AfterEffect);
    call(service.address, "POST /", "r", "").await.unwrap_err();
    let (_, stats) = json(service.address, "GET /v1/stats", "").await;
    assert_eq!(stats, json!({ "runs": { "r": 1 } }));
}
