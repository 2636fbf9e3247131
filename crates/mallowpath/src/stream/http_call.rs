//! HTTP calls with JSON answers.

use crate::{Category, Error, Result};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Deserialize, de::DeserializeOwned};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::timeout;

/// Maximum size of the body of an answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Time after which an unused connection is closed; short, because the peer may have become
/// unreachable in the meantime without closing it.
const IDLE_TIMEOUT_MS: u64 = 5_000;

/// An HTTP client of one address; clones share its pool of connections.
#[derive(Debug, Clone)]
pub struct HttpCaller {
    address: SocketAddr,
    connect_timeout_ms: u64,
    /// Held only to copy or replace the pool; no other lock is acquired meanwhile.
    pool: Arc<Mutex<Pool>>,
}

/// The connections opened since the last timeout.
#[derive(Debug, Clone)]
struct Pool {
    client: Client<HttpConnector, Full<Bytes>>,
    /// Number of earlier pools, by which a timeout tells whether its pool was already replaced.
    generation: u64,
}

/// One HTTP call.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// The name of the call in errors.
    pub operation: &'static str,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The whole body.
    pub body: Bytes,
    /// Timeout for the whole answer, in milliseconds.
    pub timeout_ms: u64,
}

/// A complete answer to an [`HttpCall`].
#[derive(Debug)]
pub struct HttpAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The body of an answer with an error status.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ErrorBody {
    error: String,
    retry_after_ms: Option<u64>,
}

impl HttpCaller {
    /// Creates a client of `address`, which connects at the first call.
    pub fn new(address: SocketAddr, connect_timeout_ms: u64) -> Self {
        let pool = Pool {
            client: new_client(connect_timeout_ms),
            generation: 0,
        };
        Self {
            address,
            connect_timeout_ms,
            pool: Arc::new(Mutex::new(pool)),
        }
    }

    /// Sends the call and returns its answer, with any status.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Refused`] if the call was certainly not sent, [`Category::Unknown`] if
    /// its answer was lost, late, truncated or too large, and [`Category::Config`] if the path is
    /// invalid.
    pub async fn call(&self, call: HttpCall) -> Result<HttpAnswer> {
        let operation = call.operation;
        let limit = Duration::from_millis(call.timeout_ms);
        let Pool { client, generation } = self.lock().clone();
        match timeout(limit, self.send(client, call)).await {
            Ok(result) => result,
            Err(e) => {
                self.replace_pool(generation);
                Err(self
                    .error(Category::Unknown, operation, "no answer in time")
                    .with_source(e))
            }
        }
    }

    /// Returns the error for an answer whose status is not a success.
    #[cold]
    pub(crate) fn status_error(&self, operation: &'static str, answer: &HttpAnswer) -> Error {
        let body: ErrorBody = serde_json::from_slice(&answer.body).unwrap_or_default();
        let category = match answer.status {
            StatusCode::TOO_MANY_REQUESTS => Category::Refused,
            // The call may have taken effect before the server failed.
            status if status.is_server_error() => Category::Unknown,
            _ => Category::Protocol,
        };
        let message = format!("status {}: {}", answer.status.as_u16(), body.error);
        self.error(category, operation, &message)
            .with_retry_after_ms(body.retry_after_ms)
    }

    /// Parses the body of a successful answer.
    pub(crate) fn parse<T: DeserializeOwned>(
        &self,
        operation: &'static str,
        answer: &HttpAnswer,
    ) -> Result<T> {
        match serde_json::from_slice(&answer.body) {
            Ok(value) => Ok(value),
            Err(e) => Err(self
                .error(Category::Protocol, operation, "can't parse the answer")
                .with_source(e)),
        }
    }

    #[cold]
    pub(crate) fn error(
        &self,
        category: Category,
        operation: &'static str,
        message: &str,
    ) -> Error {
        Error::new(category, operation, self.address, message)
    }

    /// Replaces the pool after a timeout, because its other connections may be silent too.
    ///
    /// Calls in progress on the old connections continue. Does nothing if the pool of `generation`
    /// was already replaced.
    fn replace_pool(&self, generation: u64) {
        let mut pool = self.lock();
        if pool.generation == generation {
            pool.client = new_client(self.connect_timeout_ms);
            pool.generation += 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn send(
        &self,
        client: Client<HttpConnector, Full<Bytes>>,
        call: HttpCall,
    ) -> Result<HttpAnswer> {
        let operation = call.operation;
        let request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path))
            .header("content-type", "application/json")
            .body(Full::new(call.body));
        let request = match request {
            Ok(request) => request,
            Err(e) => {
                return Err(self
                    .error(Category::Config, operation, "can't build the request")
                    .with_source(e));
            }
        };
        match client.request(request).await {
            Ok(response) => self.read_answer(operation, response).await,
            Err(e) if e.is_connect() => Err(self
                .error(Category::Refused, operation, "can't connect")
                .with_source(e)),
            Err(e) => Err(self
                .error(Category::Unknown, operation, "no answer")
                .with_source(e)),
        }
    }

    async fn read_answer(
        &self,
        operation: &'static str,
        response: Response<Incoming>,
    ) -> Result<HttpAnswer> {
        let (head, body) = response.into_parts();
        match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
            Ok(body) => Ok(HttpAnswer {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            }),
            Err(e) => Err(self
                .error(Category::Unknown, operation, "can't read the whole answer")
                .with_source(e)),
        }
    }
}

fn new_client(connect_timeout_ms: u64) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(connect_timeout_ms)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .build(connector)
}
