//! A stand-in for the platform's rate-limited weight store.

use crate::{
    server::{self, SharedSettings, lock, retry_after},
    token_bucket::TokenBucket,
};
use axum::{
    Json, Router,
    extract::{Path, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::get,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::time::sleep;

/// A running weight store.
pub type Handle = crate::Handle<Settings>;

/// Settings of the weight store.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The address to listen at.
    pub listen: SocketAddr,
    /// The maximum rate of fetches.
    pub fetches_per_s: u64,
    /// The size of the weights, the same for every name.
    pub size_bytes: usize,
    /// The duration of a fetch.
    pub delay_ms: u64,
}

#[derive(Debug)]
struct Service {
    settings: Arc<SharedSettings<Settings>>,
    state: Mutex<Store>,
}

#[derive(Debug)]
struct Store {
    rate_limiter: TokenBucket,
    fetches: BTreeMap<String, u64>,
    refused: u64,
}

/// Starts a weight store.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn start(settings: Settings) -> io::Result<Handle> {
    let listen = settings.listen;
    let rate_limiter = TokenBucket::new(settings.fetches_per_s);
    let state = Mutex::new(Store {
        rate_limiter,
        fetches: BTreeMap::new(),
        refused: 0,
    });
    let settings = SharedSettings::new(settings);
    let service = Service {
        settings: Arc::clone(&settings),
        state,
    };
    let router = Router::new()
        .route("/v1/weights/{*name}", get(fetch))
        .route("/v1/stats", get(stats))
        .with_state(Arc::new(service));
    server::start(listen, settings, router).await
}

async fn fetch(State(service): State<Arc<Service>>, Path(name): Path<String>) -> Response {
    let settings = service.settings.get();
    if let Err(wait_ms) = service.admit(name, settings.fetches_per_s) {
        return retry_after(StatusCode::TOO_MANY_REQUESTS, "too many fetches", wait_ms);
    }
    if settings.delay_ms > 0 {
        sleep(Duration::from_millis(settings.delay_ms)).await;
    }
    vec![0; settings.size_bytes].into_response()
}

async fn stats(State(service): State<Arc<Service>>) -> Json<Value> {
    let store = lock(&service.state);
    Json(json!({ "fetches": store.fetches, "refused": store.refused }))
}

impl Service {
    /// Counts a fetch, or returns the milliseconds after which to retry.
    fn admit(&self, name: String, fetches_per_s: u64) -> Result<(), u64> {
        let mut store = lock(&self.state);
        if let Err(wait_ms) = store.rate_limiter.admit(fetches_per_s) {
            store.refused += 1;
            return Err(wait_ms);
        }
        *store.fetches.entry(name).or_default() += 1;
        Ok(())
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            fetches_per_s: 10,
            size_bytes: 4096,
            delay_ms: 0,
        }
    }
}
