//! Short forms of the client for the tests of the stand-ins.

use mallowpath_standins::client;
use serde_json::Value;
use std::net::SocketAddr;

/// Makes one call on a new connection and returns status and body.
pub async fn call(
    address: SocketAddr,
    method_path: &str,
    id: &str,
    body: &str,
) -> Result<(u16, String), hyper_util::client::legacy::Error> {
    let answer = client::call(address, method_path, &[("x-request-id", id)], body).await?;
    assert!(answer.whole, "the answer broke off");
    Ok((answer.status, answer.text))
}

/// Makes a call whose answer is JSON.
pub async fn json(address: SocketAddr, method_path: &str, body: &str) -> (u16, Value) {
    let (status, body) = call(address, method_path, "r", body).await.unwrap();
    (status, serde_json::from_str(&body).unwrap_or_default())
}
