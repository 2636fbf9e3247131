//! Handshake of a connection, and the tasks that read, write and send heartbeats on it.

use crate::{
    error::Result,
    memory::{
        buffer_budget::BufferBudget, connection_limiter::ConnectionLimiter,
        frame_codec::FrameCodec, host_limits::HostLimits,
    },
    peer::link::{Endpoint, Link, connect_error},
    peer::wire::{Frame, FrameBody, Heartbeat, Hello},
    process::clock::now_ms,
};
use bytes::Bytes;
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use prost::Message;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{MissedTickBehavior, interval, timeout},
};
use tokio_util::codec::Framed;

/// The maximum size of a message.
pub(crate) const FRAME_MAX_BYTES: usize = 16 << 20;
/// Delay before the next connection is accepted after a failure.
const ACCEPT_RETRY_MS: u64 = 200;

type FramedStream = Framed<TcpStream, FrameCodec>;
type Sink = SplitSink<FramedStream, Bytes>;
type Source = SplitStream<FramedStream>;

/// Sends this process's [`Hello`], waits for the peer's, and returns that with the framed stream.
pub(crate) async fn exchange_hello(
    stream: TcpStream,
    remote: SocketAddr,
    endpoint: &Endpoint,
    codec: FrameCodec,
) -> Result<(Hello, FramedStream)> {
    if let Err(error) = stream.set_nodelay(true) {
        return Err(connect_error(remote, &error.to_string()));
    }
    let mut framed = Framed::new(stream, codec);
    let hello = Frame {
        call: 0,
        body: Some(FrameBody::Hello(endpoint.hello.clone())),
    };
    if let Err(error) = framed.send(Bytes::from(hello.encode_to_vec())).await {
        return Err(connect_error(remote, &error.to_string()));
    }
    let hello_timeout = Duration::from_millis(endpoint.settings.connect_timeout_ms);
    let first = match timeout(hello_timeout, framed.next()).await {
        Ok(Some(Ok(bytes))) => Frame::decode(bytes),
        Ok(Some(Err(error))) => return Err(connect_error(remote, &error.to_string())),
        Ok(None) => return Err(connect_error(remote, "closed before the hello message")),
        Err(_) => return Err(connect_error(remote, "no hello message in time")),
    };
    match first {
        Ok(Frame {
            body: Some(FrameBody::Hello(peer)),
            ..
        }) => Ok((peer, framed)),
        _ => Err(connect_error(
            remote,
            "the first message is not a hello message",
        )),
    }
}

/// The limits of a listener for other processes.
#[derive(Debug, Clone)]
pub struct LinkLimits {
    /// The number of connections.
    pub connections: Arc<ConnectionLimiter>,
    /// The memory for messages.
    pub buffers: Arc<BufferBudget>,
}

impl LinkLimits {
    /// Creates the limits of a listener, which metrics name `listener`, of a process that has `limits` and
    /// `buffers`.
    pub fn new(listener: &'static str, limits: &HostLimits, buffers: &Arc<BufferBudget>) -> Self {
        Self {
            connections: ConnectionLimiter::new(listener, limits.peers_max()),
            buffers: Arc::clone(buffers),
        }
    }
}

/// Accepts connections until the process ends and runs `watch` with each of them.
pub async fn accept_links<F>(
    listener: TcpListener,
    endpoint: Endpoint,
    limits: LinkLimits,
    watch: impl Fn(Arc<Link>) -> F + Clone + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let (stream, remote) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                continue;
            }
        };
        let Some(slot) = limits.connections.admit().await else {
            continue;
        };
        let codec = FrameCodec::new(FRAME_MAX_BYTES).within(&limits.buffers, remote.ip());
        let (endpoint, watch) = (endpoint.clone(), watch.clone());
        tokio::spawn(async move {
            let accepted = tokio::select! {
                accepted = Link::accept(stream, remote, &endpoint, codec) => accepted,
                () = slot.replaced() => return,
            };
            let link = match accepted {
                Ok(link) => link,
                Err(error) => {
                    log::debug!("{error}; dropping the accepted connection");
                    return;
                }
            };
            let _busy = slot.busy();
            watch(Arc::clone(&link)).await;
            link.closed().await;
        });
    }
}

/// Writes queued frames until the connection closes or fails, then closes it and ends its calls.
pub(crate) async fn write_frames(
    link: Arc<Link>,
    mut queue: mpsc::Receiver<Frame>,
    mut sink: Sink,
) {
    loop {
        let frame = tokio::select! {
            frame = queue.recv() => frame,
            () = link.closed() => break,
        };
        let Some(frame) = frame else { break };
        let written = tokio::select! {
            written = write_queued(&mut sink, frame, &mut queue) => written,
            () = link.closed() => break,
        };
        if let Err(error) = written {
            log::debug!("writing to {} failed: {error}", link.remote());
            break;
        }
    }
    link.close();
    link.end_calls();
}

/// Writes `first` and all frames that are already queued, then flushes once.
async fn write_queued(
    sink: &mut Sink,
    first: Frame,
    queue: &mut mpsc::Receiver<Frame>,
) -> std::io::Result<()> {
    sink.feed(first.encode_to_vec().into()).await?;
    while let Ok(frame) = queue.try_recv() {
        sink.feed(frame.encode_to_vec().into()).await?;
    }
    sink.flush().await
}

/// Reads frames until the connection closes, fails or is silent, then closes it and ends its calls.
pub(crate) async fn read_frames(link: Arc<Link>, endpoint: Endpoint, mut source: Source) {
    let silence_timeout = Duration::from_millis(endpoint.settings.silent_after_ms);
    loop {
        let next = tokio::select! {
            next = timeout(silence_timeout, source.next()) => next,
            () = link.closed() => break,
        };
        let bytes = match next {
            Ok(Some(Ok(bytes))) => bytes,
            Ok(Some(Err(error))) => {
                log::debug!(
                    "reading from {} failed, closing the connection: {error}",
                    link.remote()
                );
                break;
            }
            Ok(None) => break,
            Err(_) => {
                log::warn!(
                    "connection to {} is silent for {} ms, closing it",
                    link.remote(),
                    endpoint.settings.silent_after_ms
                );
                metrics::counter!("mallowpath_silent_connections_total").increment(1);
                break;
            }
        };
        let frame = match Frame::decode(bytes) {
            Ok(frame) => frame,
            Err(error) => {
                log::warn!(
                    "decoding a frame from {} failed, closing the connection: {error}",
                    link.remote()
                );
                break;
            }
        };
        match frame.body {
            Some(FrameBody::Heartbeat(heartbeat)) => {
                *link.echo_ms() = heartbeat.sent_at_ms;
                (endpoint.on_heartbeat)(&link, heartbeat);
            }
            Some(body) => link.dispatch(frame.call, body, &endpoint),
            None => log::debug!("ignored a message of unknown type from {}", link.remote()),
        }
    }
    link.close();
    link.end_calls();
}

/// Sends a heartbeat at each interval until the connection closes.
pub(crate) async fn send_heartbeats(link: Arc<Link>, endpoint: Endpoint) {
    let mut ticks = interval(Duration::from_millis(
        endpoint.settings.heartbeat_interval_ms,
    ));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = link.closed() => return,
        }
        // The echo is read before the content is created: the receiver relies on the content being
        // at least as new as the heartbeat that is echoed.
        let echo_ms = *link.echo_ms();
        let heartbeat = Heartbeat {
            sent_at_ms: Some(now_ms()),
            echo_ms,
            ..(endpoint.heartbeat)(link.peer())
        };
        if !link.send(0, FrameBody::Heartbeat(heartbeat)).await {
            return;
        }
    }
}
