//! A minimal HTTP client for tests, experiments and the embedded fleet.

use bytes::Bytes;
use http::{HeaderMap, Request, Response as HttpResponse};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, Error},
    rt::TokioExecutor,
};
use serde_json::Value;
use std::net::SocketAddr;

/// A response that was read to its end.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// The body as text.
    pub text: String,
    /// Whether the body was received completely.
    pub is_complete: bool,
}

impl Response {
    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }
}

/// Sends a request on a new connection and returns its response with the body unread.
///
/// `method_path` is a method and a path, such as `POST /control`.
///
/// # Errors
///
/// Fails when no response is received.
///
/// # Panics
///
/// Panics when `method_path` or a header is invalid.
pub async fn send(
    address: SocketAddr,
    method_path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<HttpResponse<Incoming>, Error> {
    let (method, path) = method_path
        .split_once(' ')
        .expect("method_path is a method and a path");
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("method, path and headers are valid");
    let client = Client::builder(TokioExecutor::new()).build_http();
    client.request(request).await
}

/// Sends a request on a new connection and reads the response with its body.
///
/// # Errors
///
/// Fails when no response is received. An incomplete body is no error: it sets
/// [`Response::is_complete`] to false.
///
/// # Panics
///
/// Panics as [`send`] does.
pub async fn send_and_read(
    address: SocketAddr,
    method_path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response, Error> {
    let response = send(address, method_path, headers, body).await?;
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            is_complete = false;
            break;
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Ok(Response {
        status,
        headers,
        text,
        is_complete,
    })
}
