//! Tests the stand-ins for the platform services.

mod common;

use common::{call, json};
use mallowpath_standins::{Outage, host_list, log_service, weight_store};
use serde_json::json;
use std::time::{Duration, Instant};

const APPEND: &str = "POST /v1/streams/s/records";

#[tokio::test]
async fn log_drops_old_records_beyond_retained_bytes() {
    let settings = log_service::Settings {
        retained_bytes: 10,
        ..Default::default()
    };
    let log = log_service::start(settings).await.unwrap();
    for offset in 0..4 {
        assert_eq!(
            json(log.address, APPEND, "1234").await,
            (200, json!({ "offset": offset }))
        );
    }
    let read = json(log.address, "GET /v1/streams/s/records?from=1", "").await;
    assert_eq!(read, (410, json!({ "first": 2, "next": 4 })));
    let (_, page) = json(
        log.address,
        "GET /v1/streams/s/records?from=2&max_bytes=1",
        "",
    )
    .await;
    assert_eq!(
        page["records"],
        json!([{ "offset": 2, "data": "MTIzNA==" }])
    );
}

#[tokio::test]
async fn log_refuses_appends_beyond_its_rate_and_counts_them() {
    let settings = log_service::Settings {
        appends_per_s: 1,
        ..Default::default()
    };
    let log = log_service::start(settings).await.unwrap();
    let mut statuses = Vec::new();
    for _ in 0..2 {
        statuses.push(json(log.address, APPEND, "1234").await.0);
    }
    assert_eq!(statuses, [200, 429]);
    let (_, stats) = json(log.address, "GET /v1/stats", "").await;
    assert_eq!(stats, json!({ "appends": 1, "bytes": 4, "refused": 1 }));
}

#[tokio::test]
async fn append_takes_effect_when_its_response_is_lost() {
    let settings = log_service::Settings {
        lost_answer_probability: 1.0,
        ..Default::default()
    };
    let log = log_service::start(settings).await.unwrap();
    call(log.address, APPEND, "", "a").await.unwrap_err();
    assert_eq!(
        json(log.address, "GET /v1/streams/s", "").await.1["next"],
        1
    );
}

#[tokio::test]
async fn control_starts_and_ends_an_outage() {
    let log = log_service::start(log_service::Settings::default())
        .await
        .unwrap();
    assert_eq!(
        json(log.address, "POST /control", r#"{"outage":"refuse"}"#)
            .await
            .0,
        200
    );
    assert_eq!(json(log.address, APPEND, "a").await.0, 503);
    assert_eq!(
        json(log.address, "POST /control", r#"{"outage":"none"}"#)
            .await
            .0,
        200
    );
    assert_eq!(
        json(log.address, APPEND, "a").await,
        (200, json!({ "offset": 0 }))
    );
    assert_eq!(
        json(log.address, "POST /control", r#"{"typo":1}"#).await.0,
        400
    );
}

#[tokio::test]
async fn host_edits_become_visible_after_the_lag() {
    let settings = host_list::Settings {
        lag_ms: 200,
        ..Default::default()
    };
    let hosts = host_list::start(settings).await.unwrap();
    let host = json!({
        "name": "a", "address": "127.0.0.1:1", "role": "router",
        "availability_zone": "z", "region": "r", "state": "live",
    });
    let started = Instant::now();
    json(hosts.address, "PUT /v1/hosts/a", &host.to_string()).await;
    let (_, list) = json(hosts.address, "GET /v1/hosts", "").await;
    assert_eq!(list, json!({ "version": 0, "hosts": [] }));
    let (_, list) = json(hosts.address, "GET /v1/hosts?since=0&wait_ms=5000", "").await;
    assert!(started.elapsed() >= Duration::from_millis(200));
    assert_eq!(list, json!({ "version": 1, "hosts": [host] }));
    json(hosts.address, "DELETE /v1/hosts/a", "").await;
    let (_, list) = json(hosts.address, "GET /v1/hosts?since=1&wait_ms=5000", "").await;
    assert_eq!(list, json!({ "version": 2, "hosts": [] }));
}

#[tokio::test]
async fn hanging_host_list_sends_no_response() {
    let settings = host_list::Settings {
        outage: Outage::Hang,
        ..Default::default()
    };
    let hosts = host_list::start(settings).await.unwrap();
    let read = call(hosts.address, "GET /v1/hosts", "", "");
    tokio::time::timeout(Duration::from_millis(50), read)
        .await
        .unwrap_err();
}

#[tokio::test]
async fn weight_fetches_are_rate_limited() {
    let settings = weight_store::Settings {
        fetches_per_s: 1,
        ..Default::default()
    };
    let store = weight_store::start(settings).await.unwrap();
    let (status, weights) = call(store.address, "GET /v1/weights/m", "", "")
        .await
        .unwrap();
    assert_eq!((status, weights.len()), (200, 4096));
    assert_eq!(json(store.address, "GET /v1/weights/m", "").await.0, 429);
}
