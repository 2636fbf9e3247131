//! Clients, as PROTOCOL.md describes them.

use crate::{
    http::{find, read_body, read_chunk, read_headers, read_line},
    record::Record,
};
use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request of a client.
#[derive(Debug, Clone)]
pub struct ClientRequest<'a> {
    pub path: &'a str,
    pub key: &'a str,
    pub attempt: &'a str,
    /// Tokens of the prompt and of the longest answer.
    pub tokens: (u64, u64),
    pub deadline_ms: u64,
}

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct ClientAnswer {
    pub status: u16,
    /// Whether the answer bears an engine's seal.
    pub is_sealed: bool,
    /// Whether the answer came to its end.
    pub is_complete: bool,
    pub body: String,
}

impl ClientAnswer {
    /// Returns the ids of the events, in the order in which they came.
    pub fn event_ids(&self) -> Vec<u64> {
        let lines = self.body.lines();
        lines
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect()
    }
}

/// Sends a request to a router on a new connection and reads the answer.
pub fn send(router: SocketAddr, request: &ClientRequest<'_>, record: &Record) -> ClientAnswer {
    record.line(&format!(
        "client: sends {} to {router}, path {}, tokens {},{}",
        request.attempt, request.path, request.tokens.0, request.tokens.1
    ));
    let mut answer = ClientAnswer::default();
    let result = exchange(router, request, &mut answer);
    record.line(&format!(
        "client: {} got status {}, sealed {}, complete {}, events {:?}{}",
        request.attempt,
        answer.status,
        answer.is_sealed,
        answer.is_complete,
        answer.event_ids(),
        result
            .err()
            .map_or(String::new(), |error| format!(", {error}")),
    ));
    if answer.status != 200 {
        record.line(&format!("client: {} body {}", request.attempt, answer.body));
    }
    answer
}

fn exchange(
    router: SocketAddr,
    request: &ClientRequest<'_>,
    answer: &mut ClientAnswer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&router, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(request.deadline_ms + 500)))?;
    let body = "{}";
    let (prompt, output) = request.tokens;
    let mut text = format!(
        "POST {}2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n\
         X-Api-Key: {}\r\nContent-Length: {}\r\n",
        request.path,
        request.attempt,
        request.deadline_ms,
        request.key,
        body.len(),
    );
    if prompt > 0 {
        let part = hash(request.attempt);
        text.push_str(&format!(
            "Model: m\r\nToken-Count: {prompt},{output}\r\nPrompt-Prefix: {part:x}:{prompt}\r\n"
        ));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let status = read_line(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let code = status.split(' ').nth(1).and_then(|code| code.parse().ok());
    answer.status = code.ok_or(io::ErrorKind::InvalidData)?;
    let headers = read_headers(&mut reader)?;
    answer.is_sealed = find(&headers, "response-seal").is_some();
    if find(&headers, "transfer-encoding").is_none() {
        let body = read_body(&mut reader, &headers, true)?;
        answer.body = String::from_utf8_lossy(&body).into_owned();
    } else {
        while let Some(chunk) = read_chunk(&mut reader)? {
            answer.body.push_str(&String::from_utf8_lossy(&chunk));
        }
    }
    answer.is_complete = true;
    Ok(())
}

/// Returns the platform's check whether a router is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let check = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(300)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        let status = read_line(&mut BufReader::new(stream))?.unwrap_or_default();
        Ok(status.split(' ').nth(1) == Some("200"))
    };
    check().unwrap_or(false)
}

fn hash(text: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    hash
}
