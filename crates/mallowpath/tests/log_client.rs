//! The log client against a simulated log service with injected faults.

use bytes::Bytes;
use mallowpath::{Backoff, Category, LogClient, LogClientSettings, Offset};
use mallowpath_standins::{
    Outage,
    log_service::{self, Settings},
};
use std::time::Duration;
use tokio::time::Instant;

async fn start_service(settings: Settings) -> (log_service::Handle, LogClient) {
    let service = log_service::start(settings).await.unwrap();
    let client_settings = LogClientSettings {
        answer_timeout_ms: 100,
        backoff: Backoff {
            min_ms: 2,
            max_ms: 10,
        },
        ..LogClientSettings::default()
    };
    let client = LogClient::new(service.address, client_settings);
    (service, client)
}

fn deadline_in(delay_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(delay_ms)
}

#[tokio::test]
async fn read_returns_the_records_from_the_requested_offset() {
    let (_service, client) = start_service(Settings::default()).await;
    for text in ["a", "b", "c"] {
        client.append("s", Bytes::from(text)).await.unwrap();
    }
    let page = client.read("s", Offset(1), 1000, 0).await.unwrap();
    assert_eq!((page.first, page.next), (Offset(0), Offset(3)));
    assert_eq!(page.records.len(), 2);
    assert_eq!(page.records[0].offset, Offset(1));
    assert_eq!(page.records[1].data, "c");
    assert_eq!(
        client.bounds("other").await.unwrap(),
        (Offset(0), Offset(0))
    );
}

#[tokio::test]
async fn waiting_read_returns_on_append_or_after_its_wait() {
    let (_service, client) = start_service(Settings::default()).await;
    let reader = client.clone();
    let read = tokio::spawn(async move { reader.read("s", Offset(0), 1000, 5_000).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    client.append("s", Bytes::from("a")).await.unwrap();
    assert_eq!(read.await.unwrap().unwrap().records.len(), 1);
    assert!(
        client
            .read("s", Offset(1), 1000, 10)
            .await
            .unwrap()
            .records
            .is_empty()
    );
}

#[tokio::test]
async fn read_of_expired_records_is_gone_with_the_bounds() {
    let (_service, client) = start_service(Settings {
        retained_records: 2,
        ..Settings::default()
    })
    .await;
    for _ in 0..5 {
        client.append("s", Bytes::from("a")).await.unwrap();
    }
    let e = client.read("s", Offset(2), 1000, 0).await.unwrap_err();
    assert_eq!(e.category(), Category::Gone);
    assert_eq!(e.bounds(), Some((Offset(3), Offset(5))));
}

#[tokio::test]
async fn rate_limited_append_is_refused_with_a_retry_delay() {
    let (_service, client) = start_service(Settings {
        appends_per_s: 1,
        ..Settings::default()
    })
    .await;
    client.append("s", Bytes::from("a")).await.unwrap();
    let e = client.append("s", Bytes::from("a")).await.unwrap_err();
    assert_eq!(
        (e.category(), e.retry_after_ms()),
        (Category::Refused, Some(1001))
    );
    assert_eq!(client.bounds("s").await.unwrap().1, Offset(1));
}

#[tokio::test]
async fn append_to_a_closed_port_is_refused() {
    let (service, client) = start_service(Settings::default()).await;
    drop(service);
    // The listener is closed asynchronously after the drop.
    tokio::time::sleep(Duration::from_millis(20)).await;
    let e = client.append("s", Bytes::from("a")).await.unwrap_err();
    assert_eq!(e.category(), Category::Refused);
}

#[tokio::test]
async fn append_with_a_lost_answer_is_unknown_and_the_record_is_appended() {
    let (service, client) = start_service(Settings::default()).await;
    service.change(|settings| settings.lost_answer_probability = 1.0);
    let e = client.append("s", Bytes::from("a")).await.unwrap_err();
    assert_eq!(e.category(), Category::Unknown);
    assert_eq!(client.bounds("s").await.unwrap().1, Offset(1));
}

#[tokio::test]
async fn append_to_a_silent_service_is_unknown_after_the_timeout() {
    let (service, client) = start_service(Settings::default()).await;
    service.change(|settings| settings.outage = Outage::Hang);
    let started = Instant::now();
    let e = client.append("s", Bytes::from("a")).await.unwrap_err();
    assert_eq!(e.category(), Category::Unknown);
    assert!(started.elapsed() < Duration::from_millis(800));
}

#[tokio::test]
async fn append_to_an_unavailable_service_is_unknown_with_a_retry_delay() {
    let settings = Settings {
        outage: Outage::Refuse,
        ..Settings::default()
    };
    let (_service, client) = start_service(settings).await;
    let e = client.append("s", Bytes::from("a")).await.unwrap_err();
    assert_eq!(
        (e.category(), e.retry_after_ms()),
        (Category::Unknown, Some(100))
    );
}

#[tokio::test]
async fn append_until_retries_during_an_outage() {
    let settings = Settings {
        outage: Outage::Refuse,
        ..Settings::default()
    };
    let (service, client) = start_service(settings).await;
    let appender = client.clone();
    let append = tokio::spawn(async move {
        appender
            .append_until("s", Bytes::from("a"), deadline_in(5_000))
            .await
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    service.change(|settings| settings.outage = Outage::None);
    assert_eq!(append.await.unwrap().unwrap(), Offset(0));
}

#[tokio::test]
async fn append_until_returns_unknown_if_an_earlier_attempt_lost_its_answer() {
    let settings = Settings {
        appends_per_s: 1,
        lost_answer_probability: 1.0,
        ..Settings::default()
    };
    let (_service, client) = start_service(settings).await;
    // The first attempt loses its answer, the second is refused by the rate limit.
    let e = client
        .append_until("s", Bytes::from("a"), deadline_in(500))
        .await
        .unwrap_err();
    assert_eq!(e.category(), Category::Unknown);
    assert_eq!(e.retry_after_ms(), Some(1001));
}

#[test]
fn backoff_doubles_up_to_the_maximum() {
    let backoff = Backoff {
        min_ms: 10,
        max_ms: 50,
    };
    assert_eq!(backoff.delay_ms(0, 0.0), 5);
    assert_eq!(backoff.delay_ms(0, 1.0), 10);
    assert_eq!(backoff.delay_ms(2, 1.0), 40);
    assert_eq!(backoff.delay_ms(200, 1.0), 50);
}
