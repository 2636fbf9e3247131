//! HTTP/1.1 connections to backend servers.

use crate::host_load::{LinkMeter, MeteredStream};
use http::{Request, Response};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use mallowpath::SegmentedBody;
use socket2::{SockRef, TcpKeepalive};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Timeout of a TCP connect, which takes a few milliseconds within an availability zone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The size of each of the two buffers of a connection, and of an answer's head.
const BUFFER_MAX_BYTES: usize = 64 << 10;

/// Time for which sent bytes may stay unacknowledged before the kernel closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_PROBES_MAX: u32 = 2;

/// A connection to a backend server that carries one request at a time.
///
/// Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    sender: http1::SendRequest<SegmentedBody>,
    task: JoinHandle<()>,
    requests: u64,
}

/// The outcome of sending a request on a connection.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// The head of the answer was received.
    Answered(Response<Incoming>),
    /// No byte of the request was sent.
    Unsent(hyper::Error),
    /// The connection failed after the request was sent at least in part; the request may have run.
    Broken(hyper::Error),
}

/// Opens a connection to the backend server at `address`, whose bytes are counted in `meter`.
pub(crate) async fn connect(
    address: SocketAddr,
    meter: Option<Arc<LinkMeter>>,
) -> io::Result<BackendConnection> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(connected) => connected?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    set_socket_options(&stream)?;
    let io = TokioIo::new(MeteredStream::new(stream, meter));
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_MAX_BYTES)
        .handshake(io);
    let (sender, connection) = handshake.await.map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(
                target: "connection",
                "connection to backend server {address} failed: {error}"
            );
        }
    });
    Ok(BackendConnection {
        sender,
        task,
        requests: 0,
    })
}

/// Disables Nagle's algorithm and lets the kernel close a connection whose peer no longer responds.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_MAX);
    socket.set_tcp_keepalive(&keepalive)
}

impl BackendConnection {
    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(&mut self, request: Request<SegmentedBody>) -> SendOutcome {
        self.requests += 1;
        match self.sender.try_send_request(request).await {
            Ok(response) => SendOutcome::Answered(response),
            Err(mut error) => match error.take_message() {
                Some(_) => SendOutcome::Unsent(error.into_error()),
                None => SendOutcome::Broken(error.into_error()),
            },
        }
    }

    /// Returns whether at most one request was sent, so that no answer to an earlier one can arrive.
    pub(crate) fn is_first_request(&self) -> bool {
        self.requests <= 1
    }

    /// Returns whether a request can be sent without waiting.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl BackendConnection {
    /// Closes the connection and waits until it is closed.
    pub(crate) async fn close(mut self) {
        self.task.abort();
        if let Err(error) = (&mut self.task).await
            && error.is_panic()
        {
            log::error!(target: "connection", "connection to a backend server failed: {error}");
        }
    }
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        // Closing the connection makes the backend server cancel the request that runs on it.
        self.task.abort();
    }
}
