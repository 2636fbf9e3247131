//! A small HTTP client for tests, experiments and the embedded fleet.

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, Error},
    rt::TokioExecutor,
};
use serde_json::Value;
use std::net::SocketAddr;

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// The body as text.
    pub text: String,
    /// Whether the body came to its proper end.
    pub whole: bool,
}

impl Answer {
    /// Returns the body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }
}

/// Opens a call on a new connection; `method_path` is like `POST /control`.
///
/// # Errors
///
/// Fails when there is no answer.
///
/// # Panics
///
/// Panics when `method_path` or a header can't be sent.
pub async fn open(
    address: SocketAddr,
    method_path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response<Incoming>, Error> {
    let (method, path) = method_path.split_once(' ').expect("a method and a path");
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a valid request");
    let client = Client::builder(TokioExecutor::new()).build_http();
    client.request(request).await
}

/// Makes a call on a new connection and reads its whole answer.
///
/// # Errors
///
/// Fails when there is no answer; an answer that breaks off is returned as not whole.
///
/// # Panics
///
/// As [`open`].
pub async fn call(
    address: SocketAddr,
    method_path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Answer, Error> {
    let response = open(address, method_path, headers, body).await?;
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            whole = false;
            break;
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Ok(Answer {
        status,
        headers,
        text,
        whole,
    })
}
