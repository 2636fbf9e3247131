//! Polls the backend server for its load.

use crate::{
    backend_host::sidecar::Sidecar,
    peer::wire::Load,
    stream::http_call::{HttpCall, HttpCaller},
};
use bytes::Bytes;
use http::Method;
use serde::Deserialize;
use std::{sync::Arc, time::Duration};

const POLL_TIMEOUT_MS: u64 = 1000;
/// Interval between polls of a server that does not report its load.
const UNSUPPORTED_INTERVAL_MS: u64 = 10_000;

/// The body of the backend server's answer to `GET /v1/load`.
#[derive(Deserialize)]
struct LoadResponse {
    running: u32,
    waiting: u32,
    #[serde(default)]
    kv_used_tokens: u64,
    #[serde(default)]
    kv_total_tokens: u64,
}

/// Polls the backend server's load until the process ends.
///
/// A server that does not report its load is polled every [`UNSUPPORTED_INTERVAL_MS`].
pub(crate) async fn poll_load(sidecar: Arc<Sidecar>) {
    let caller = HttpCaller::new(sidecar.settings.backend_address, POLL_TIMEOUT_MS);
    let mut interval_ms = sidecar.settings.tuning.load_poll_ms;
    loop {
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        let call = HttpCall {
            operation: "read the load",
            method: Method::GET,
            path: "/v1/load".into(),
            body: Bytes::new(),
            timeout_ms: POLL_TIMEOUT_MS,
        };
        let Ok(answer) = caller.call(call).await else {
            continue;
        };
        let Ok(report) = serde_json::from_slice::<LoadResponse>(&answer.body) else {
            interval_ms = UNSUPPORTED_INTERVAL_MS;
            continue;
        };
        interval_ms = sidecar.settings.tuning.load_poll_ms;
        sidecar.set_load(Load {
            running: report.running,
            waiting: report.waiting,
            kv_used_tokens: report.kv_used_tokens,
            kv_total_tokens: report.kv_total_tokens,
            age_ms: 0,
        });
    }
}
