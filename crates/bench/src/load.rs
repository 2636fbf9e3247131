//! Open-loop load: each request is sent when it is due, even if earlier ones have not returned.

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

/// The highest value that a histogram records.
const MAX_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The address and contents of a request.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// The address of the server.
    pub address: SocketAddr,
    /// The HTTP method.
    pub method: &'static str,
    /// The HTTP path.
    pub path: Arc<str>,
    /// The HTTP body.
    pub body: Arc<str>,
    /// The caller's bearer key.
    pub key: Arc<str>,
    /// The request identifier, which a direct call of an engine needs; 0 for none.
    pub id: u64,
}

/// The status and latencies of one request.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// The HTTP status, or 0 if there was no response.
    pub status: u16,
    /// Whether the response was successful and complete.
    pub is_complete: bool,
    /// Microseconds from when the request was due to the first data.
    pub first_us: u64,
    /// Microseconds from when the request was due to the end of the response.
    pub last_us: u64,
}

/// An HTTP client with a connection pool.
#[derive(Debug, Clone)]
pub struct LoadClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl LoadClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
        }
    }

    /// Sends one request and measures its latencies from `due`.
    pub async fn send(&self, spec: &RequestSpec, due: Instant) -> Sample {
        let mut sample = Sample {
            status: 0,
            is_complete: false,
            first_us: 0,
            last_us: 0,
        };
        let request = Request::builder()
            .method(spec.method)
            .uri(format!("http://{}{}", spec.address, spec.path))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", spec.key))
            .header("x-request-id", spec.id.to_string())
            .body(Full::new(Bytes::from(spec.body.to_string())))
            .expect("a valid request");
        if let Ok(response) = self.client.request(request).await {
            sample.status = response.status().as_u16();
            sample.is_complete = true;
            let mut body = response.into_body();
            let mut tail = Vec::new();
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else {
                    sample.is_complete = false;
                    break;
                };
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                if sample.first_us == 0 && !data.starts_with(b":") {
                    sample.first_us = micros(due);
                }
                tail = data.to_vec();
            }
            let failed = String::from_utf8_lossy(&tail).contains("event: error");
            sample.is_complete &= sample.status == 200 && !failed;
        }
        sample.last_us = micros(due);
        sample
    }

    /// Sends `count` requests at `per_s` per second; `spec` returns the request for each number.
    pub async fn open_loop(
        &self,
        per_s: f64,
        count: u64,
        spec: impl Fn(u64) -> RequestSpec,
    ) -> Vec<Sample> {
        let start = Instant::now();
        let mut in_flight = JoinSet::new();
        for number in 0..count {
            let due = start + Duration::from_secs_f64(number as f64 / per_s);
            tokio::time::sleep_until(due.into()).await;
            let load_client = self.clone();
            let spec = spec(number);
            in_flight.spawn(async move { load_client.send(&spec, due).await });
        }
        let mut samples = Vec::new();
        while let Some(sample) = in_flight.join_next().await {
            samples.extend(sample);
        }
        samples
    }
}

/// Returns a histogram of one latency over all complete answers.
pub fn latency_histogram(
    samples: &[Sample],
    latency_us: impl Fn(&Sample) -> u64,
) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS).expect("valid bounds");
    for sample in samples {
        if sample.is_complete {
            histogram.saturating_record(latency_us(sample).max(1));
        }
    }
    histogram
}

/// Returns a quantile of a histogram of microseconds, in milliseconds.
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Returns the number of complete answers.
pub fn count_complete(samples: &[Sample]) -> usize {
    let mut count = 0;
    for sample in samples {
        count += usize::from(sample.is_complete);
    }
    count
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}
