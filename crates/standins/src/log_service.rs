//! A stand-in for the platform's append-only log service.

use crate::{
    Outage,
    server::{self, SharedSettings, close_without_response, error, lock, retry_after},
    token_bucket::TokenBucket,
};
use axum::{
    Json, Router,
    extract::{DefaultBodyLimit, Path, Query, Request, State},
    http::StatusCode,
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{
    collections::{HashMap, VecDeque},
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

/// The maximum size of a record.
const MAX_RECORD_BYTES: usize = 1 << 20;

/// The maximum size of a read that does not set `max_bytes`.
const DEFAULT_READ_BYTES: u64 = 1 << 20;

/// A running log service.
pub type Handle = crate::Handle<Settings>;

/// Settings and faults of the log service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The address to listen at.
    pub listen: SocketAddr,
    /// The maximum rate of appends over all streams.
    pub appends_per_s: u64,
    /// The maximum number of records retained in a stream.
    pub retained_records: u64,
    /// The maximum size of the records retained in a stream.
    pub retained_bytes: u64,
    /// The outage mode of the service.
    pub outage: Outage,
    /// The delay of a response after the request took effect.
    pub delay_ms: u64,
    /// The probability that an append takes effect and its response is lost.
    pub lost_answer_probability: f64,
    /// The seed that decides which responses are lost; read at the start.
    pub seed: u64,
}

#[derive(Debug)]
struct Service {
    settings: Arc<SharedSettings<Settings>>,
    state: Mutex<Log>,
}

#[derive(Debug)]
struct Log {
    streams: HashMap<String, Stream>,
    rate_limiter: TokenBucket,
    random: StdRng,
    appends: u64,
    bytes: u64,
    refused: u64,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: VecDeque<Bytes>,
    size_bytes: u64,
    appended: Arc<Notify>,
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    #[serde(default)]
    from: u64,
    max_bytes: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

/// Starts a log service.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn start(settings: Settings) -> io::Result<Handle> {
    let listen = settings.listen;
    let log = Log {
        streams: HashMap::new(),
        rate_limiter: TokenBucket::new(settings.appends_per_s),
        random: StdRng::seed_from_u64(settings.seed),
        appends: 0,
        bytes: 0,
        refused: 0,
    };
    let settings = SharedSettings::new(settings);
    let service = Arc::new(Service {
        settings: Arc::clone(&settings),
        state: Mutex::new(log),
    });
    let router = Router::new()
        .route("/v1/streams/{stream}/records", post(append).get(read))
        .route("/v1/streams/{stream}", get(bounds))
        .layer(middleware::from_fn_with_state(
            Arc::clone(&service),
            apply_outage,
        ))
        .layer(DefaultBodyLimit::max(2 * MAX_RECORD_BYTES))
        .route("/v1/stats", get(stats))
        .with_state(service);
    server::start(listen, settings, router).await
}

async fn apply_outage(
    State(service): State<Arc<Service>>,
    request: Request,
    next: Next,
) -> Response {
    if let Some(response) = service.settings.get().outage.override_response().await {
        return response;
    }
    let response = next.run(request).await;
    let delay_ms = service.settings.get().delay_ms;
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
    response
}

async fn append(
    State(service): State<Arc<Service>>,
    Path(stream): Path<String>,
    record: Bytes,
) -> Response {
    if record.len() > MAX_RECORD_BYTES {
        return error(StatusCode::PAYLOAD_TOO_LARGE, "a record has at most 1 MiB");
    }
    let settings = service.settings.get();
    let mut log = lock(&service.state);
    if let Err(wait_ms) = log.rate_limiter.admit(settings.appends_per_s) {
        log.refused += 1;
        return retry_after(StatusCode::TOO_MANY_REQUESTS, "too many appends", wait_ms);
    }
    log.appends += 1;
    log.bytes += record.len() as u64;
    let offset = log
        .streams
        .entry(stream)
        .or_default()
        .append(record, &settings);
    if settings.lost_answer_probability > 0.0
        && log
            .random
            .random_bool(settings.lost_answer_probability.min(1.0))
    {
        return close_without_response();
    }
    Json(json!({ "offset": offset })).into_response()
}

async fn read(
    State(service): State<Arc<Service>>,
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let appended = {
            let mut log = lock(&service.state);
            let stream = log.streams.entry(stream.clone()).or_default();
            if query.from < stream.first {
                return (StatusCode::GONE, Json(stream.bounds())).into_response();
            }
            if query.from < stream.next() || Instant::now() >= deadline {
                let max_bytes = query.max_bytes.unwrap_or(DEFAULT_READ_BYTES);
                return Json(stream.page(query.from, max_bytes)).into_response();
            }
            // Created under the lock, so that no append can be missed between check and wait.
            Arc::clone(&stream.appended).notified_owned()
        };
        // After a timeout, the check of the deadline ends the loop.
        drop(timeout_at(deadline, appended).await);
    }
}

async fn bounds(State(service): State<Arc<Service>>, Path(stream): Path<String>) -> Json<Value> {
    Json(
        lock(&service.state)
            .streams
            .entry(stream)
            .or_default()
            .bounds(),
    )
}

async fn stats(State(service): State<Arc<Service>>) -> Json<Value> {
    let log = lock(&service.state);
    Json(json!({ "appends": log.appends, "bytes": log.bytes, "refused": log.refused }))
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn bounds(&self) -> Value {
        json!({ "first": self.first, "next": self.next() })
    }

    fn append(&mut self, record: Bytes, settings: &Settings) -> u64 {
        let offset = self.next();
        self.size_bytes += record.len() as u64;
        self.records.push_back(record);
        while self.records.len() as u64 > settings.retained_records
            || self.size_bytes > settings.retained_bytes
        {
            let Some(oldest) = self.records.pop_front() else {
                break;
            };
            self.size_bytes -= oldest.len() as u64;
            self.first += 1;
        }
        self.appended.notify_waiters();
        offset
    }

    /// Returns the records from offset `from` on, up to `max_bytes` in total but at least one.
    fn page(&self, from: u64, max_bytes: u64) -> Value {
        let mut records = Vec::new();
        let mut size_bytes = 0;
        let skipped = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        for (index, record) in self.records.iter().skip(skipped).enumerate() {
            size_bytes += record.len() as u64;
            if size_bytes > max_bytes && !records.is_empty() {
                break;
            }
            let offset = from + index as u64;
            records.push(json!({ "offset": offset, "data": STANDARD.encode(record) }));
        }
        json!({ "first": self.first, "next": self.next(), "records": records })
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            appends_per_s: 500,
            retained_records: 1_000_000,
            retained_bytes: 1 << 30,
            outage: Outage::None,
            delay_ms: 0,
            lost_answer_probability: 0.0,
            seed: 1,
        }
    }
}
