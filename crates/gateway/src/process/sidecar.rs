//! The process beside a backend server.

use super::{relay::serve_relay, settings::SidecarSettings, store_transport::StoreTransport};
use mallowpath::{BufferBudget, Category, Error, LinkLimits, Result};
use std::sync::Arc;
use tokio::net::TcpListener;

/// Runs the sidecar of a backend server, which relays calls of the store until the process ends.
///
/// # Errors
///
/// Fails with [`Category::Io`] if the address of the relay can't be bound.
pub async fn run_relay(settings: SidecarSettings, transport: Arc<StoreTransport>) -> Result<()> {
    let listener = listen(settings.relay).await?;
    log::info!(target: "process", "sidecar on {} started", settings.host);
    let buffers = BufferBudget::new(settings.limits.buffer_max_bytes());
    let limits = LinkLimits::new("relay", &settings.limits, &buffers);
    serve_relay(listener, transport, limits).await;
    Ok(())
}

/// Returns a listener on `address`.
pub(crate) async fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Ok(listener),
        Err(error) => {
            Err(Error::new(Category::Io, "listen", address, "can't bind").with_source(error))
        }
    }
}
