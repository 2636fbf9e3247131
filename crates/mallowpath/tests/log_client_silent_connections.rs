//! After one timeout, a log client replaces all its pooled connections.
//!
//! Guards against one timeout per connection when all of them went silent together, as in a network
//! fault that drops packets of established connections.

use bytes::Bytes;
use mallowpath::{Category, LogClient, LogClientSettings};
use mallowpath_standins::{
    forwarder::{self, Mode},
    log_service,
};

const CONNECTIONS: usize = 4;

#[tokio::test]
async fn one_timeout_replaces_all_silent_connections() {
    let settings = log_service::Settings {
        delay_ms: 20,
        ..log_service::Settings::default()
    };
    let service = log_service::start(settings).await.unwrap();
    let settings = forwarder::Settings {
        target: service.address,
        ..Default::default()
    };
    let forwarder = forwarder::start(settings).await.unwrap();
    let settings = LogClientSettings {
        answer_timeout_ms: 300,
        ..LogClientSettings::default()
    };
    let client = LogClient::new(forwarder.address, settings);
    // Concurrent calls leave as many connections in the pool.
    let mut appends = Vec::new();
    for _ in 0..CONNECTIONS {
        let client = client.clone();
        appends.push(tokio::spawn(async move {
            client.append("s", Bytes::from("a")).await
        }));
    }
    for append in appends {
        append.await.unwrap().unwrap();
    }
    forwarder.set_mode(Mode::StaleOld);
    let mut categories = Vec::new();
    for _ in 0..CONNECTIONS {
        let result = client.append("s", Bytes::from("b")).await;
        categories.push(result.err().map(|e| e.category()));
    }
    assert_eq!(categories, [Some(Category::Unknown), None, None, None]);
}
