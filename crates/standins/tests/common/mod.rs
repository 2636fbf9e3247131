//! HTTP helpers for the tests of the stand-ins.

use mallowpath_standins::client;
use serde_json::Value;
use std::net::SocketAddr;

/// Sends a request on a new connection and returns status and body; the body must be complete.
pub async fn call(
    address: SocketAddr,
    method_path: &str,
    id: &str,
    body: &str,
) -> Result<(u16, String), hyper_util::client::legacy::Error> {
    let answer = client::send_and_read(address, method_path, &[("x-request-id", id)], body).await?;
    assert!(answer.is_complete, "the response body is incomplete");
    Ok((answer.status, answer.text))
}

/// Sends a request and returns status and JSON body, or null for a body that is not JSON.
pub async fn json(address: SocketAddr, method_path: &str, body: &str) -> (u16, Value) {
    let (status, body) = call(address, method_path, "r", body).await.unwrap();
    (status, serde_json::from_str(&body).unwrap_or_default())
}
