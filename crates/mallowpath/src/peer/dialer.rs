//! Outgoing connections of a process, reopened when they close.

use crate::{
    error::Result,
    peer::link::{Endpoint, Link},
};
use rand::Rng;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::Mutex as AsyncMutex;
use tokio_util::sync::CancellationToken;

/// Bound of the random delay before a closed connection is reopened; it doubles after each failed
/// attempt, up to [`MAX_BACKOFF_MS`].
const MIN_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 2000;

/// A callback that is called with a connection that was opened or is no longer kept open.
pub(crate) type LinkHook = Arc<dyn Fn(&Arc<Link>) + Send + Sync>;

/// Opens at most one connection per peer address and keeps the connections to selected addresses
/// open.
#[derive(Debug)]
pub struct Dialer {
    endpoint: Endpoint,
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

#[derive(Debug, Default)]
struct Peer {
    /// Held while connecting, so that at most one attempt per address is in progress.
    connecting: AsyncMutex<()>,
    link: Mutex<Option<Arc<Link>>>,
    /// Stops the task that keeps the connection open, where one runs.
    keep_open_token: Mutex<Option<CancellationToken>>,
}

impl Dialer {
    /// Creates a dialer without connections; `endpoint` is used for each connection that it opens.
    pub fn new(endpoint: Endpoint) -> Arc<Self> {
        Arc::new(Self {
            endpoint,
            peers: Mutex::new(HashMap::new()),
        })
    }

    /// Returns the endpoint that every connection of this dialer uses.
    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Returns the open connection to `remote`, or `None`; never opens one.
    pub fn open_link(&self, remote: SocketAddr) -> Option<Arc<Link>> {
        let peer = self.peers().get(&remote).map(Arc::clone)?;
        peer.open_connection()
    }

    /// Returns the open connection to `remote`, or opens one.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Link::dial`].
    pub async fn link(&self, remote: SocketAddr) -> Result<Arc<Link>> {
        let peer = Arc::clone(self.peers().entry(remote).or_default());
        if let Some(link) = peer.open_connection() {
            return Ok(link);
        }
        let _connecting = peer.connecting.lock().await;
        if let Some(link) = peer.open_connection() {
            return Ok(link);
        }
        let link = Link::dial(remote, &self.endpoint).await?;
        *peer.link.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&link));
        Ok(link)
    }

    /// Sets the addresses to which connections are kept open, replacing those of the last call.
    ///
    /// A connection to any other address stays open until one side closes it, and is not reopened.
    /// `on_open` is called with each connection that is opened to these addresses, `on_close` when
    /// it closes or its address is no longer wanted.
    pub fn keep_connected(
        self: &Arc<Self>,
        wanted: &[SocketAddr],
        on_open: &LinkHook,
        on_close: &LinkHook,
    ) {
        let mut peers = self.peers();
        for (remote, peer) in peers.iter() {
            if wanted.contains(remote) {
                continue;
            }
            if let Some(token) = peer.keep_open_token().take() {
                token.cancel();
            }
        }
        for remote in wanted {
            let peer = peers.entry(*remote).or_default();
            let mut running_token = peer.keep_open_token();
            if running_token.is_some() {
                continue;
            }
            let token = CancellationToken::new();
            *running_token = Some(token.clone());
            let task = Arc::clone(self).keep_open(
                *remote,
                token,
                Arc::clone(on_open),
                Arc::clone(on_close),
            );
            tokio::spawn(task);
        }
    }

    async fn keep_open(
        self: Arc<Self>,
        remote: SocketAddr,
        token: CancellationToken,
        on_open: LinkHook,
        on_close: LinkHook,
    ) {
        let mut backoff_ms = MIN_BACKOFF_MS;
        while !token.is_cancelled() {
            match self.link(remote).await {
                Ok(link) => {
                    backoff_ms = MIN_BACKOFF_MS;
                    on_open(&link);
                    tokio::select! {
                        () = link.closed() => {}
                        () = token.cancelled() => {}
                    }
                    on_close(&link);
                }
                Err(error) => log::debug!("{error}; retrying with backoff"),
            }
            let delay_ms = rand::rng().random_range(backoff_ms / 2..=backoff_ms);
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(delay_ms)) => {}
                () = token.cancelled() => {}
            }
        }
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Peer>>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Peer {
    fn open_connection(&self) -> Option<Arc<Link>> {
        let link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        let link = link.as_ref()?;
        (!link.is_closed()).then(|| Arc::clone(link))
    }

    fn keep_open_token(&self) -> MutexGuard<'_, Option<CancellationToken>> {
        self.keep_open_token
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
