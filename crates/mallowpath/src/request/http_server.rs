//! The HTTP server for callers, with a time limit for request heads and graceful shutdown.

use axum::Router as Routes;
use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// The delay after a failed accept, so that a lasting error does not cause a busy loop.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;

/// Accepts and serves connections of callers until the process ends.
///
/// A connection is closed if a request head takes longer than `header_timeout_ms`. Once `closing`
/// is cancelled, each connection is closed after its current response, so that callers reconnect to
/// another router.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    routes: Routes,
    header_timeout_ms: u64,
    closing: CancellationToken,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a connection from a caller failed: {error}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                continue;
            }
        };
        let routes = routes.clone();
        tokio::spawn(serve_caller(
            stream,
            routes,
            header_timeout_ms,
            closing.clone(),
        ));
    }
}

async fn serve_caller(
    stream: TcpStream,
    routes: Routes,
    header_timeout_ms: u64,
    closing: CancellationToken,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("setting TCP_NODELAY on a caller's connection failed: {error}");
    }
    let service = TowerToHyperService::new(routes);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(header_timeout_ms))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("a caller's connection ended with an error: {error}");
    }
}
