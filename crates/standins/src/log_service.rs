//! The platform's append-only log service.

use crate::server::{self, Live, error, lock, lost, retry_after};
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

/// The largest record that the service takes.
const MAX_RECORD_BYTES: usize = 1 << 20;

/// What a read returns at most when it does not say.
const DEFAULT_READ_BYTES: u64 = 1 << 20;

/// The seconds of unused allowance that appends may use up at once.
const BURST_S: f64 = 0.2;

/// A running log service.
pub type Handle = crate::Handle<Settings>;

/// How the service answers while it is out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// The service is up.
    #[default]
    None,
    /// Every call gets `503`.
    Refuse,
    /// No call gets an answer or has an effect.
    Hang,
}

/// Settings and faults of the log service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The address to listen at.
    pub listen: SocketAddr,
    /// Appends accepted a second over all streams.
    pub appends_per_s: u64,
    /// Records kept in a stream.
    pub retained_records: u64,
    /// Bytes of records kept in a stream.
    pub retained_bytes: u64,
    /// Whether and how the service is out.
    pub outage: Outage,
    /// How long an answer waits after its effect.
    pub delay_ms: u64,
    /// The probability that an append has its effect and its answer is lost.
    pub lost_answer_probability: f64,
    /// The seed of the lost answers, read at the start.
    pub seed: u64,
}

#[derive(Debug)]
struct Service {
    settings: Arc<Live<Settings>>,
    state: Mutex<Log>,
}

#[derive(Debug)]
struct Log {
    streams: HashMap<String, Stream>,
    allowance: f64,
    refilled: Instant,
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
        allowance: burst(settings.appends_per_s),
        refilled: Instant::now(),
        random: StdRng::seed_from_u64(settings.seed),
        appends: 0,
        bytes: 0,
        refused: 0,
    };
    let settings = Live::new(settings);
    let service = Arc::new(Service {
        settings: Arc::clone(&settings),
        state: Mutex::new(log),
    });
    let router = Router::new()
        .route("/v1/streams/{stream}/records", post(append).get(read))
        .route("/v1/streams/{stream}", get(bounds))
        .layer(middleware::from_fn_with_state(Arc::clone(&service), be_out))
        .layer(DefaultBodyLimit::max(2 * MAX_RECORD_BYTES))
        .route("/v1/stats", get(stats))
        .with_state(service);
    server::start(listen, settings, router).await
}

async fn be_out(State(service): State<Arc<Service>>, request: Request, next: Next) -> Response {
    match service.settings.get().outage {
        Outage::None => {}
        Outage::Refuse => return retry_after(StatusCode::SERVICE_UNAVAILABLE, "outage", 100),
        Outage::Hang => std::future::pending().await,
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
    if !log.admit(settings.appends_per_s) {
        let wait_ms = 1000 / settings.appends_per_s.max(1) + 1;
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
        return lost();
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
            // Taken under the lock, so that no append can come between the check and the wait.
            Arc::clone(&stream.appended).notified_owned()
        };
        // A timeout ends the loop at the next check of the deadline.
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

fn burst(appends_per_s: u64) -> f64 {
    (appends_per_s as f64 * BURST_S).max(1.0)
}

impl Log {
    fn admit(&mut self, appends_per_s: u64) -> bool {
        let now = Instant::now();
        let refill = (now - self.refilled).as_secs_f64() * appends_per_s as f64;
        self.refilled = now;
        self.allowance = (self.allowance + refill).min(burst(appends_per_s));
        if self.allowance < 1.0 {
            self.refused += 1;
            return false;
        }
        self.allowance -= 1.0;
        true
    }
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
