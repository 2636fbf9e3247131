//! The log client against the stand-in of the log service and its faults.

use bytes::Bytes;
use mallowpath::{Backoff, Category, LogClient, LogClientSettings, Offset};
use mallowpath_standins::log_service::{self, Outage, Settings};
use std::time::Duration;
use tokio::time::Instant;

async fn pair(settings: Settings) -> (log_service::Handle, LogClient) {
    let service = log_service::start(settings).await.unwrap();
    let client = LogClientSettings {
        answer_timeout_ms: 100,
        backoff: Backoff {
            min_ms: 2,
            max_ms: 10,
        },
        ..LogClientSettings::default()
    };
    let client = LogClient::new(service.address, client);
    (service, client)
}

fn soon(wait_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(wait_ms)
}

#[tokio::test]
async fn reads_what_was_appended() {
    let (_service, client) = pair(Settings::default()).await;
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
async fn long_poll_wakes_on_append() {
    let (_service, client) = pair(Settings::default()).await;
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
async fn gone_carries_the_bounds() {
    let (_service, client) = pair(Settings {
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
async fn rate_limit_is_refused_with_a_time() {
    let (_service, client) = pair(Settings {
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
async fn refused_connection_is_refused() {
    let (service, client) = pair(Settings::default()).await;
    drop(service);
    // The accept task ends a moment after its abort.
    tokio::time::sleep(Duration::from_millis(20)).await;
    let e = client.append("s", Bytes::from("a")).await.unwrap_err();
    assert_eq!(e.category(), Category::Refused);
}

#[tokio::test]
async fn lost_answer_is_unknown_and_the_record_is_there() {
    let (service, client) = pair(Settings::default()).await;
    service.change(|settings| settings.lost_answer_probability = 1.0);
    let e = client.append("s", Bytes::from("a")).await.unwrap_err();
    assert_eq!(e.category(), Category::Unknown);
    assert_eq!(client.bounds("s").await.unwrap().1, Offset(1));
}

#[tokio::test]
async fn silent_service_is_unknown_in_time() {
    let (service, client) = pair(Settings::default()).await;
    service.change(|settings| settings.outage = Outage::Hang);
    let started = Instant::now();
    let e = client.append("s", Bytes::from("a")).await.unwrap_err();
    assert_eq!(e.category(), Category::Unknown);
    assert!(started.elapsed() < Duration::from_millis(800));
}

#[tokio::test]
async fn unavailable_service_is_unknown_with_a_time() {
    let settings = Settings {
        outage: Outage::Refuse,
        ..Settings::default()
    };
    let (_service, client) = pair(settings).await;
    let e = client.append("s", Bytes::from("a")).await.unwrap_err();
    assert_eq!(
        (e.category(), e.retry_after_ms()),
        (Category::Unknown, Some(100))
    );
}

#[tokio::test]
async fn append_until_outlasts_an_outage() {
    let settings = Settings {
        outage: Outage::Refuse,
        ..Settings::default()
    };
    let (service, client) = pair(settings).await;
    let appender = client.clone();
    let append = tokio::spawn(async move {
        appender
            .append_until("s", Bytes::from("a"), soon(5_000))
            .await
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    service.change(|settings| settings.outage = Outage::None);
    assert_eq!(append.await.unwrap().unwrap(), Offset(0));
}

#[tokio::test]
async fn append_until_stays_unknown_after_a_lost_answer() {
    let settings = Settings {
        appends_per_s: 1,
        lost_answer_probability: 1.0,
        ..Settings::default()
    };
    let (_service, client) = pair(settings).await;
    // The first attempt loses its answer, the second is refused by the rate limit.
    let e = client
        .append_until("s", Bytes::from("a"), soon(500))
        .await
        .unwrap_err();
    assert_eq!(e.category(), Category::Unknown);
    assert_eq!(e.retry_after_ms(), Some(1001));
}

#[test]
fn backoff_doubles_up_to_its_bound() {
    let backoff = Backoff {
        min_ms: 10,
        max_ms: 50,
    };
    assert_eq!(backoff.delay_ms(0, 0.0), 5);
    assert_eq!(backoff.delay_ms(0, 1.0), 10);
    assert_eq!(backoff.delay_ms(2, 1.0), 40);
    assert_eq!(backoff.delay_ms(200, 1.0), 50);
}
