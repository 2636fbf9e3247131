//! An HTTP service that echoes any request and counts the runs of each request id.

use crate::server::{self, SharedSettings, close_without_response, lock, retry_after};
use axum::{
    Json, Router,
    body::Bytes,
    extract::{DefaultBodyLimit, State},
    http::{HeaderMap, Method, StatusCode, Uri},
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

/// A running plain service.
pub type Handle = crate::Handle<Settings>;

/// When requests fail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// Requests succeed.
    #[default]
    Never,
    /// Requests get status `503` without being run.
    BeforeEffect,
    /// Requests are run, then the connection closes without a response.
    AfterEffect,
}

/// Settings and faults of the plain service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The address to listen at.
    pub listen: SocketAddr,
    /// The delay of a response after the request was run.
    pub delay_ms: u64,
    /// When requests fail.
    pub failure: Failure,
}

#[derive(Debug)]
struct Service {
    settings: Arc<SharedSettings<Settings>>,
    runs: Mutex<BTreeMap<String, u64>>,
}

/// Starts a plain service.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn start(settings: Settings) -> io::Result<Handle> {
    let listen = settings.listen;
    let settings = SharedSettings::new(settings);
    let service = Service {
        settings: Arc::clone(&settings),
        runs: Mutex::default(),
    };
    let router = Router::new()
        .route("/v1/stats", get(stats))
        .fallback(echo)
        // Routers limit the bodies.
        .layer(DefaultBodyLimit::disable())
        .with_state(Arc::new(service));
    server::start(listen, settings, router).await
}

async fn echo(
    State(service): State<Arc<Service>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let settings = service.settings.get();
    if settings.failure == Failure::BeforeEffect {
        return retry_after(StatusCode::SERVICE_UNAVAILABLE, "not run", 100);
    }
    let run = service.count_run(request_id(&headers));
    if settings.delay_ms > 0 {
        sleep(Duration::from_millis(settings.delay_ms)).await;
    }
    if settings.failure == Failure::AfterEffect {
        return close_without_response();
    }
    let response_body = json!({
        "method": method.as_str(),
        "path": uri.to_string(),
        "body": String::from_utf8_lossy(&body),
        "run": run,
    });
    Json(response_body).into_response()
}

async fn stats(State(service): State<Arc<Service>>) -> Json<Value> {
    Json(json!({ "runs": *lock(&service.runs) }))
}

fn request_id(headers: &HeaderMap) -> String {
    let id = headers
        .get("x-request-id")
        .and_then(|value| value.to_str().ok());
    id.unwrap_or_default().to_owned()
}

impl Service {
    /// Counts a run and returns the number of runs with this request id.
    fn count_run(&self, request_id: String) -> u64 {
        let mut runs = lock(&self.runs);
        let run = runs.entry(request_id).or_default();
        *run += 1;
        *run
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            delay_ms: 0,
            failure: Failure::Never,
        }
    }
}
