//! The admin listener, which serves the load balancer and operators on an address of its own.
//!
//! | path | answer |
//! |---|---|
//! | `GET /live` | `200` while the process runs |
//! | `GET /ready` | `200` while the process is ready for new work, else `503` |
//! | `GET /metrics` | metrics in the Prometheus text format |
//! | `GET /dump` | the whole state of the process as JSON |
//! | `POST /drain` | starts a graceful shutdown |

use crate::{
    error::{Category, Error, Result},
    memory::{connection_limiter::ConnectionLimiter, host_limits::HostLimits},
    process::http_listener::{HttpLimits, serve_listener},
};
use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    routing::{get, post},
};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use serde_json::Value;
use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Time between two additions of samples to the summaries of histograms.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// The functions of a process that the admin listener calls.
#[derive(Clone)]
pub struct AdminHooks {
    /// Returns whether the process is ready for new work.
    pub ready: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Returns the whole state of the process.
    pub dump: Arc<dyn Fn() -> Value + Send + Sync>,
    /// Updates the gauges of the state, before each read of the metrics.
    pub refresh_gauges: Arc<dyn Fn() + Send + Sync>,
    /// Starts a graceful shutdown.
    pub drain: Arc<dyn Fn() + Send + Sync>,
}

impl AdminHooks {
    /// Creates the hooks of a process from its functions.
    pub fn new<P: Send + Sync + 'static>(
        process: &Arc<P>,
        ready: fn(&Arc<P>) -> bool,
        dump: fn(&Arc<P>) -> Value,
        refresh_gauges: fn(&Arc<P>),
        drain: fn(&Arc<P>),
    ) -> Self {
        let [for_ready, for_dump, for_refresh, for_drain] = [(); 4].map(|()| Arc::clone(process));
        Self {
            ready: Arc::new(move || ready(&for_ready)),
            dump: Arc::new(move || dump(&for_dump)),
            refresh_gauges: Arc::new(move || refresh_gauges(&for_refresh)),
            drain: Arc::new(move || drain(&for_drain)),
        }
    }
}

/// Starts serving the admin paths on `listener` to as many connections as `limits` allow.
pub fn serve_admin(listener: TcpListener, hooks: AdminHooks, limits: &HostLimits) {
    // Metrics that are recorded before the recorder is installed are lost.
    recorder();
    let app = Router::new()
        .route("/live", get(|| async { "live\n" }))
        .route("/ready", get(ready))
        .route("/metrics", get(metrics))
        .route("/dump", get(dump))
        .route("/drain", post(drain))
        .with_state(hooks);
    serve(listener, app, limits);
}

/// Starts serving only the metrics on `listener` to as many connections as `limits` allow.
pub fn serve_metrics(listener: TcpListener, hooks: AdminHooks, limits: &HostLimits) {
    let app = Router::new()
        .route("/metrics", get(metrics))
        .with_state(hooks);
    serve(listener, app, limits);
}

fn serve(listener: TcpListener, app: Router, limits: &HostLimits) {
    let limiter = ConnectionLimiter::new("admin", limits.admin_max());
    tokio::spawn(serve_listener(
        listener,
        app,
        HttpLimits::default(),
        limiter,
        CancellationToken::new(),
    ));
}

/// Binds `listen` and returns the listener with its address.
///
/// # Errors
///
/// Fails with [`Category::Io`] when the address can't be bound.
pub(crate) async fn bind(
    listen: SocketAddr,
    step: &'static str,
) -> Result<(TcpListener, SocketAddr)> {
    let bound = match TcpListener::bind(listen).await {
        Ok(listener) => listener.local_addr().map(|address| (listener, address)),
        Err(error) => Err(error),
    };
    match bound {
        Ok(bound) => Ok(bound),
        Err(error) => Err(Error::new(Category::Io, step, listen, "can't bind").with_source(error)),
    }
}

/// Returns the handle of the global metrics recorder, which the first call installs.
fn recorder() -> &'static PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    RECORDER.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("another metrics recorder is installed already, /metrics stays empty");
        }
        tokio::spawn(summarize_samples(handle.clone()));
        handle
    })
}

/// Adds the samples of histograms to their summaries from time to time, also if nobody reads the metrics.
async fn summarize_samples(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(SUMMARY_INTERVAL).await;
        handle.run_upkeep();
    }
}

async fn ready(State(hooks): State<AdminHooks>) -> (StatusCode, &'static str) {
    if (hooks.ready)() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn metrics(State(hooks): State<AdminHooks>) -> String {
    (hooks.refresh_gauges)();
    recorder().render()
}

async fn dump(State(hooks): State<AdminHooks>) -> Json<Value> {
    Json((hooks.dump)())
}

async fn drain(State(hooks): State<AdminHooks>) -> &'static str {
    (hooks.drain)();
    "draining\n"
}

impl fmt::Debug for AdminHooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdminHooks").finish_non_exhaustive()
    }
}
