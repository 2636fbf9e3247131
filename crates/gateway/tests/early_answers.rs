//! Answers that begin before the request was read and are reset, and answers whose status is 000, are never
//! given to callers as complete ones.

mod common;

use common::gateway::{Answer, KEY, TestGateway, read_answer};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Size of the bodies of requests, more than the buffers of a connection to a server hold.
const BODY_BYTES: usize = 4 << 20;

/// How often each request is sent: whether the reset meets a read or a write is up to chance.
const ROUNDS: usize = 20;

const EVENT: &str = "id: 1\ndata: word1\n\n";

/// A server that reads only the heads of requests, answers and resets its connections.
struct HastyServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl HastyServer {
    /// Starts a server that answers with `answer`, in which `ATTEMPT` stands for the request's attempt.
    async fn start(answer: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let answer = answer.clone();
                // A connection that the gateway closes first ends its task, but not the server.
                tokio::spawn(async move { answer_at_once(stream, &answer).await });
            }
        });
        Self { address, task }
    }
}

impl Drop for HastyServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn answer_at_once(mut stream: TcpStream, answer: &str) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let answer = answer.replace("ATTEMPT", "a1");
    stream.write_all(answer.as_bytes()).await?;
    tokio::time::sleep(Duration::from_millis(20)).await;
    // With unread bytes of the request, closing resets the connection.
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))
}

/// Sends a request with a body of [`BODY_BYTES`] to a gateway whose only server answers with `answer`.
async fn call(test: &TestGateway, path: &str) -> Answer {
    let mut stream = test.connect().await;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nx-attempt: a1\r\nx-key: {KEY}\r\nx-tokens: 10 10\r\n\
         connection: close\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; BODY_BYTES]).await.unwrap();
    read_answer(stream).await
}

/// Checks what callers of each kind of route get in place of `answer`.
async fn check(answer: &str) {
    for path in ["/once/", "/again/", "/stream/", "/resumed/"] {
        let server = HastyServer::start(answer.to_owned()).await;
        let test = TestGateway::start(&[server.address]).await;
        for _ in 0..ROUNDS {
            let got = call(&test, path).await;
            let is_failure = got.status == 0 || got.status >= 500;
            assert!(is_failure || got.is_truncated, "{path}: {got:?}");
            if got.status == 503 {
                assert!(got.body.contains("no_backend"), "{path}: {got:?}");
            }
        }
    }
}

fn head(status: &str, more: &str) -> String {
    format!("HTTP/1.1 {status}\r\nx-attempt: ATTEMPT\r\nx-signature: s\r\n{more}\r\n")
}

#[tokio::test]
async fn body_without_a_length_that_is_reset_is_not_complete() {
    check(&format!("{}a part of the answer", head("200 OK", ""))).await;
}

#[tokio::test]
async fn stream_without_a_length_that_is_reset_is_not_complete() {
    let head = head("200 OK", "content-type: text/event-stream\r\n");
    check(&format!("{head}{EVENT}")).await;
}

#[tokio::test]
async fn body_with_a_length_that_is_reset_is_not_complete() {
    let head = head("200 OK", "content-length: 1000\r\n");
    check(&format!("{head}a part of the answer")).await;
}

#[tokio::test]
async fn stream_in_chunks_that_is_reset_is_not_complete() {
    let more = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    let chunk = format!("{:x}\r\n{EVENT}\r\n", EVENT.len());
    check(&format!("{}{chunk}", head("200 OK", more))).await;
}

#[tokio::test]
async fn answers_with_status_000_are_not_given_to_callers() {
    for more in [
        "content-length: 2\r\n",
        "content-type: text/event-stream\r\n",
    ] {
        check(&format!("{}hi", head("000 None", more))).await;
    }
}
