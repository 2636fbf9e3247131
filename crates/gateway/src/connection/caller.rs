//! Serves HTTP/1.1 connections from callers.

use crate::{
    host_load::MeteredStream,
    process::{Gateway, Phase},
    request::{CallerConnection, forward},
};
use http::{HeaderValue, Request, header};
use hyper::{body::Incoming, service::service_fn};
use mallowpath::{ConnectionLimiter, ConnectionSlot, HttpLimits, serve_connection};
use std::{convert::Infallible, net::IpAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// Delay before accepting again after the listener failed, for example with too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The open connections of callers.
#[derive(Debug)]
pub(crate) struct CallerConnections {
    limiter: Arc<ConnectionLimiter>,
}

impl CallerConnections {
    /// Creates a set of at most `connections_max` connections.
    pub(crate) fn new(connections_max: usize) -> Self {
        Self {
            limiter: ConnectionLimiter::new("callers", connections_max),
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn open_count(&self) -> usize {
        self.limiter.len()
    }

    /// Waits until all connections are closed.
    pub(crate) async fn all_closed(&self) {
        self.limiter.all_closed().await;
    }
}

/// Accepts connections from callers until the process reaches [`Phase::Closing`].
pub(crate) async fn serve_callers(gateway: Arc<Gateway>, listener: TcpListener) {
    let mut phase = gateway.phase();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_closing(&mut phase) => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let Some(slot) = gateway.callers.limiter.admit().await else {
                    continue;
                };
                let gateway = Arc::clone(&gateway);
                tokio::spawn(async move {
                    serve_caller(gateway, stream, peer.ip(), &slot).await;
                    drop(slot);
                });
            }
            Err(error) => {
                log::warn!(
                    target: "connection",
                    "failed to accept a caller; retrying in {ACCEPT_RETRY_DELAY:?}: {error}"
                );
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_caller(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    peer: IpAddr,
    slot: &Arc<ConnectionSlot>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(
            target: "connection",
            "failed to set TCP_NODELAY; closing the caller's connection: {error}"
        );
        return;
    }
    let metered = MeteredStream::new(stream, gateway.host_load.link_meter());
    let limits = gateway.caller_limits();
    let mut phase = gateway.phase();
    let service = service_fn(|request| {
        let slot = Arc::clone(slot);
        answer(
            Arc::clone(&gateway),
            CallerConnection { peer, slot },
            request,
        )
    });
    let http_limits = HttpLimits {
        header_max_bytes: limits.header_max_bytes,
        // hyper starts this timeout when the previous answer ends, so it includes the idle time.
        header_timeout_ms: limits.idle_timeout_ms + limits.header_timeout_ms,
        write_timeout_ms: limits.idle_timeout_ms,
    };
    let closing = wait_for_closing(&mut phase);
    if let Err(error) = serve_connection(metered, service, &http_limits, slot, closing).await {
        log::debug!(target: "connection", "connection of a caller ended with an error: {error}");
    }
}

async fn answer(
    gateway: Arc<Gateway>,
    caller: CallerConnection,
    request: Request<Incoming>,
) -> Result<http::Response<crate::request::AnswerBody>, Infallible> {
    let mut response = forward(Arc::clone(&gateway), caller, request).await;
    // Callers of a router that is out of the rotation are to connect to others.
    if *gateway.phase().borrow() != Phase::Serving || gateway.host_load.is_out_of_rotation() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Waits for [`Phase::Closing`], in which idle connections are closed.
async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // An error would mean that the sender was dropped; it lives as long as the process.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}
