//! Open-loop load: requests start at their time, whatever became of those before.

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// The longest time that a histogram holds.
const MAX_US: u64 = 600_000_000;
const FIGURES: u8 = 3;

/// One kind of request.
#[derive(Debug, Clone)]
pub struct Shot {
    /// Where to.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: &'static str,
    /// HTTP path.
    pub path: Arc<str>,
    /// HTTP body.
    pub body: Arc<str>,
    /// The caller's bearer key.
    pub key: Arc<str>,
    /// The request identifier for a direct call of an engine, or 0 for none.
    pub id: u64,
}

/// What became of one request.
#[derive(Debug, Clone, Copy)]
pub struct Hit {
    /// HTTP status, or 0 without an answer.
    pub status: u16,
    /// Whether the answer came to its end.
    pub whole: bool,
    /// From when it was due to the first data.
    pub first_us: u64,
    /// From when it was due to the end.
    pub last_us: u64,
}

/// A client with a pool of connections.
#[derive(Debug, Clone)]
pub struct Gun {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Gun {
    /// Makes a client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
        }
    }

    /// Makes one request that was due at `due`.
    pub async fn fire(&self, shot: &Shot, due: Instant) -> Hit {
        let mut hit = Hit {
            status: 0,
            whole: false,
            first_us: 0,
            last_us: 0,
        };
        let request = Request::builder()
            .method(shot.method)
            .uri(format!("http://{}{}", shot.address, shot.path))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", shot.key))
            .header("x-request-id", shot.id.to_string())
            .body(Full::new(Bytes::from(shot.body.to_string())))
            .expect("a valid request");
        if let Ok(response) = self.client.request(request).await {
            hit.status = response.status().as_u16();
            hit.whole = true;
            let mut body = response.into_body();
            let mut tail = Vec::new();
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else {
                    hit.whole = false;
                    break;
                };
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                if hit.first_us == 0 && !data.starts_with(b":") {
                    hit.first_us = micros(due);
                }
                tail = data.to_vec();
            }
            let failed = String::from_utf8_lossy(&tail).contains("event: error");
            hit.whole &= hit.status == 200 && !failed;
        }
        hit.last_us = micros(due);
        hit
    }

    /// Makes `count` requests at `per_s` a second; `shot` gives each by its number.
    pub async fn open_loop(&self, per_s: f64, count: u64, shot: impl Fn(u64) -> Shot) -> Vec<Hit> {
        let start = Instant::now();
        let mut flying = JoinSet::new();
        for number in 0..count {
            let due = start + Duration::from_secs_f64(number as f64 / per_s);
            tokio::time::sleep_until(due.into()).await;
            let gun = self.clone();
            let shot = shot(number);
            flying.spawn(async move { gun.fire(&shot, due).await });
        }
        let mut hits = Vec::new();
        while let Some(hit) = flying.join_next().await {
            hits.extend(hit);
        }
        hits
    }
}

/// Gathers one time of all whole answers.
pub fn times(hits: &[Hit], time_us: impl Fn(&Hit) -> u64) -> Histogram<u64> {
    let mut times = Histogram::new_with_max(MAX_US, FIGURES).expect("valid bounds");
    for hit in hits {
        if hit.whole {
            times.saturating_record(time_us(hit).max(1));
        }
    }
    times
}

/// Returns a quantile in milliseconds.
pub fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Counts the whole answers.
pub fn count_whole(hits: &[Hit]) -> usize {
    let mut whole = 0;
    for hit in hits {
        whole += usize::from(hit.whole);
    }
    whole
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}
