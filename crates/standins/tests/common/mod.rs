//! A small HTTP client for the tests of the stand-ins.

use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Bytes};
use hyper_util::{
    client::legacy::{Client, Error},
    rt::TokioExecutor,
};
use serde_json::Value;
use std::net::SocketAddr;

/// Makes one call on a new connection and returns status and body.
pub async fn call(
    address: SocketAddr,
    method_path: &str,
    id: &str,
    body: &str,
) -> Result<(u16, String), Error> {
    let (method, path) = method_path.split_once(' ').unwrap();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .header("x-request-id", id)
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Makes a call whose answer is JSON.
pub async fn json(address: SocketAddr, method_path: &str, body: &str) -> (u16, Value) {
    let (status, body) = call(address, method_path, "r", body).await.unwrap();
    (status, serde_json::from_str(&body).unwrap_or_default())
}
