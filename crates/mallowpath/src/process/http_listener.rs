//! HTTP connections with limits on their number, on the memory of each and on the time that peers take.

use crate::memory::{
    busy_body::BusyBody,
    connection_limiter::{ConnectionLimiter, ConnectionSlot},
    write_timeout::WriteTimeout,
};
use axum::Router as Routes;
use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::{Service, service_fn},
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use std::{error::Error, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

/// The delay after a failed accept, so that a lasting error does not cause a busy loop.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;

/// The least size of the buffers of a connection.
const BUFFER_MIN_BYTES: usize = 16 << 10;

/// Bytes of a request's head besides its headers, such as its path.
const REQUEST_LINE_BYTES: usize = 8 << 10;

/// Limits on each connection of a listener.
#[derive(Debug, Clone, Copy)]
pub struct HttpLimits {
    /// The largest size of the headers of a request, in bytes.
    pub header_max_bytes: usize,
    /// The time from the start of a connection, or from the previous answer, until the headers of a
    /// request are complete, in milliseconds.
    pub header_timeout_ms: u64,
    /// The time after which a peer that reads nothing of an answer is given up, in milliseconds.
    pub write_timeout_ms: u64,
}

impl HttpLimits {
    /// Returns the size of each of the two buffers of a connection.
    fn buffer_bytes(&self) -> usize {
        (self.header_max_bytes + REQUEST_LINE_BYTES).max(BUFFER_MIN_BYTES)
    }
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            header_max_bytes: 16 << 10,
            header_timeout_ms: 60_000,
            write_timeout_ms: 15_000,
        }
    }
}

/// Serves a connection until it ends, it is closed for the memory or for another one, or `closing` completes, after which
/// the answer in progress is the last one.
///
/// The requests have the connection's [`ConnectionSlot`] as an extension. While a service reads a body, the
/// connection still waits for its peer; a service has to mark it as busy after that.
///
/// # Errors
///
/// Fails as hyper does, for example if the peer breaks the connection off.
pub async fn serve_connection<I, S, B>(
    io: I,
    service: S,
    limits: &HttpLimits,
    slot: &Arc<ConnectionSlot>,
    closing: impl Future<Output = ()>,
) -> hyper::Result<()>
where
    I: AsyncRead + AsyncWrite + Unpin,
    S: Service<Request<Incoming>, Response = Response<B>>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let service = service_fn(|mut request: Request<Incoming>| {
        slot.restart_wait();
        request.extensions_mut().insert(Arc::clone(slot));
        // hyper reserves the size of the future for each connection, also while it waits for a request.
        let answer = Box::pin(service.call(request));
        async move {
            let answer = answer.await?;
            let busy = slot.busy();
            Ok::<_, S::Error>(answer.map(|body| BusyBody::new(body, busy)))
        }
    });
    let write_timeout = Duration::from_millis(limits.write_timeout_ms);
    let io = WriteTimeout::new(io, write_timeout, slot);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.buffer_bytes())
        .serve_connection(TokioIo::new(io), service);
    tokio::pin!(connection);
    tokio::select! {
        ended = &mut connection => return ended,
        () = slot.aborted() => return Ok(()),
        () = closing => connection.as_mut().graceful_shutdown(),
        () = slot.replaced() => {
            if !slot.is_busy() {
                return Ok(());
            }
            connection.as_mut().graceful_shutdown();
        }
    }
    tokio::select! {
        ended = connection => ended,
        () = slot.aborted() => Ok(()),
    }
}

/// Accepts and serves connections until the process ends.
///
/// Once `closing` is cancelled, each connection is closed after its current response, so that callers
/// reconnect to another router.
pub(crate) async fn serve_listener(
    listener: TcpListener,
    routes: Routes,
    limits: HttpLimits,
    limiter: Arc<ConnectionLimiter>,
    closing: CancellationToken,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                continue;
            }
        };
        let Some(slot) = limiter.admit().await else {
            continue;
        };
        let (routes, closing) = (routes.clone(), closing.clone());
        tokio::spawn(async move { serve_routes(stream, routes, limits, slot, closing).await });
    }
}

async fn serve_routes(
    stream: TcpStream,
    routes: Routes,
    limits: HttpLimits,
    slot: Arc<ConnectionSlot>,
    closing: CancellationToken,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("setting TCP_NODELAY on a connection failed: {error}");
    }
    let service = TowerToHyperService::new(routes);
    let closing = closing.cancelled();
    if let Err(error) = serve_connection(stream, service, &limits, &slot, closing).await {
        log::debug!("a connection ended with an error: {error}");
    }
}
