//! Relays calls of the store through another process of the fleet.
//!
//! A connection carries one call at a time. Calls and answers are length-delimited protobuf
//! messages.

use super::store_transport::StoreTransport;
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use mallowpath::{
    Category, ConnectionSlot, Error, FrameCodec, HttpAnswer, HttpCall, LinkLimits, Result,
};
use prost::Message;
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::codec::Framed;

const STEP: &str = "call the store through a relay";

/// How long connecting to a relay may take.
const CONNECT_TIMEOUT_MS: u64 = 200;

/// How much longer a call through a relay may take than the relay's own call.
const RELAY_OVERHEAD_MS: u64 = 100;

/// The maximum size of a message; the store returns the newest records of a topic in pages of 1 MB.
const FRAME_MAX_BYTES: usize = 8 << 20;

/// How long a relay keeps an idle connection open.
const IDLE_TIMEOUT_MS: u64 = 10_000;

/// How long a relay waits before it accepts again after an error such as too many open files.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;

/// A call that a relay makes of the store.
#[derive(Clone, PartialEq, Message)]
struct RelayCall {
    #[prost(string, tag = "1")]
    method: String,
    #[prost(string, tag = "2")]
    path: String,
    #[prost(bytes = "bytes", tag = "3")]
    body: Bytes,
    #[prost(uint64, tag = "4")]
    timeout_ms: u64,
}

/// The result of a relayed call.
#[derive(Clone, PartialEq, Message)]
struct RelayAnswer {
    /// The status of the store's answer, or 0 if the relay got none.
    #[prost(uint32, tag = "1")]
    status: u32,
    #[prost(bytes = "bytes", tag = "2")]
    body: Bytes,
    /// Without an answer, whether the call may still have an effect.
    #[prost(bool, tag = "3")]
    outcome_unknown: bool,
    /// The headers of the store's answer.
    #[prost(message, repeated, tag = "4")]
    headers: Vec<RelayHeader>,
}

/// A header of a relayed answer.
#[derive(Clone, PartialEq, Message)]
struct RelayHeader {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bytes = "bytes", tag = "2")]
    value: Bytes,
}

type Connection = Framed<TcpStream, FrameCodec>;

/// A client that makes calls through relays and reuses connections.
#[derive(Debug, Default)]
pub(crate) struct RelayClient {
    /// No other lock is acquired while this one is held.
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl RelayClient {
    /// Makes a call through the relay at `address`.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Refused`] if the call surely had no effect, and with
    /// [`Category::Unknown`] if it may have one.
    pub(crate) async fn call(&self, address: SocketAddr, call: HttpCall) -> Result<HttpAnswer> {
        let limit = Duration::from_millis(call.timeout_ms + RELAY_OVERHEAD_MS);
        match timeout(limit, self.exchange(address, call)).await {
            Ok(result) => result,
            Err(elapsed) => {
                // The other idle connections to an unresponsive relay would time out as well.
                self.remove_idle(address);
                Err(
                    Error::new(Category::Unknown, STEP, address, "no answer in time")
                        .with_source(elapsed),
                )
            }
        }
    }

    async fn exchange(&self, address: SocketAddr, call: HttpCall) -> Result<HttpAnswer> {
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => connect(address).await?,
        };
        let message = RelayCall {
            method: call.method.to_string(),
            path: call.path,
            body: call.body,
            timeout_ms: call.timeout_ms,
        };
        let broken = |error: io::Error| {
            Error::new(
                Category::Unknown,
                STEP,
                address,
                "connection failed before the answer",
            )
            .with_source(error)
        };
        connection
            .send(Bytes::from(message.encode_to_vec()))
            .await
            .map_err(broken)?;
        let frame = match connection.next().await {
            Some(frame) => frame.map_err(broken)?,
            None => return Err(broken(io::ErrorKind::UnexpectedEof.into())),
        };
        let answer = match RelayAnswer::decode(frame) {
            Ok(answer) => answer,
            Err(error) => {
                let malformed =
                    Error::new(Category::Unknown, STEP, address, "can't decode the answer");
                return Err(malformed.with_source(error));
            }
        };
        self.put_idle(address, connection);
        answer.into_result(address)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        self.lock().get_mut(&address)?.pop()
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        self.lock().entry(address).or_default().push(connection);
    }

    fn remove_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RelayAnswer {
    fn into_result(self, address: SocketAddr) -> Result<HttpAnswer> {
        let status = u16::try_from(self.status).ok();
        match status.and_then(|code| StatusCode::from_u16(code).ok()) {
            Some(status) => Ok(HttpAnswer {
                status,
                headers: decode_headers(&self.headers),
                body: self.body,
            }),
            None if self.outcome_unknown => {
                Err(Error::new(Category::Unknown, STEP, address, "no answer"))
            }
            None => Err(Error::new(Category::Refused, STEP, address, "not reached")),
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Connection> {
    let refused = |error: io::Error| {
        Error::new(Category::Refused, STEP, address, "can't connect").with_source(error)
    };
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(connected) => connected.map_err(refused)?,
        Err(_) => return Err(refused(io::ErrorKind::TimedOut.into())),
    };
    stream.set_nodelay(true).map_err(refused)?;
    Ok(Framed::new(stream, FrameCodec::new(FRAME_MAX_BYTES)))
}

/// Accepts connections of other processes on `listener` and relays their calls; never returns.
pub(crate) async fn serve_relay(
    listener: TcpListener,
    transport: Arc<StoreTransport>,
    limits: LinkLimits,
) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(target: "relay", "can't accept a connection: {error}");
                sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                continue;
            }
        };
        let Some(slot) = limits.connections.admit().await else {
            continue;
        };
        let codec = FrameCodec::new(FRAME_MAX_BYTES).within(&limits.buffers, peer.ip());
        let transport = Arc::clone(&transport);
        tokio::spawn(async move {
            serve_connection(stream, codec, &slot, transport).await;
            drop(slot);
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    codec: FrameCodec,
    slot: &Arc<ConnectionSlot>,
    transport: Arc<StoreTransport>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "relay", "can't set up a connection, closing it: {error}");
        return;
    }
    let mut connection = Framed::new(stream, codec);
    while let Some(frame) = next_frame(&mut connection, slot).await {
        let Ok(call) = RelayCall::decode(frame) else {
            log::warn!(target: "relay", "can't decode a call, closing the connection");
            return;
        };
        let _busy = slot.busy();
        let answer = relay_call(&transport, call).await;
        if let Err(error) = connection.send(Bytes::from(answer.encode_to_vec())).await {
            log::debug!(target: "relay", "can't send an answer, closing the connection: {error}");
            return;
        }
    }
}

/// Returns the next message of a connection; `None` once it has ended, was idle for too long or has to be
/// closed for another one.
async fn next_frame(connection: &mut Connection, slot: &ConnectionSlot) -> Option<BytesMut> {
    let idle_timeout = Duration::from_millis(IDLE_TIMEOUT_MS);
    let next = tokio::select! {
        next = timeout(idle_timeout, connection.next()) => next.ok()??,
        () = slot.replaced() => return None,
    };
    match next {
        Ok(frame) => Some(frame),
        Err(error) => {
            log::debug!(target: "relay", "can't read a call, closing the connection: {error}");
            None
        }
    }
}

async fn relay_call(transport: &StoreTransport, call: RelayCall) -> RelayAnswer {
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        return RelayAnswer::default();
    };
    let call = HttpCall {
        operation: STEP,
        method,
        path: call.path,
        body: call.body,
        timeout_ms: call.timeout_ms,
    };
    match transport.call_direct(call).await {
        Ok(answer) => RelayAnswer {
            status: u32::from(answer.status.as_u16()),
            headers: encode_headers(&answer.headers),
            body: answer.body,
            outcome_unknown: false,
        },
        Err(error) => RelayAnswer {
            outcome_unknown: error.category() == Category::Unknown,
            ..RelayAnswer::default()
        },
    }
}

fn encode_headers(headers: &HeaderMap) -> Vec<RelayHeader> {
    let mut encoded = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        encoded.push(RelayHeader {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
    }
    encoded
}

/// Returns the valid headers among `encoded`.
fn decode_headers(encoded: &[RelayHeader]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for header in encoded {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            log::debug!(target: "relay", "ignoring the invalid header {:?}", header.name);
            continue;
        };
        headers.append(name, value);
    }
    headers
}
