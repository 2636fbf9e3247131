//! The pool of idle connections to a backend server.

use super::backend_connection::BackendConnection;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Idle timeout of a connection whose server does not state one.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);

/// Time before the server's idle timeout at which a connection is no longer used, so that a request
/// is not sent while the server closes it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// The idle connections to one backend server; the most recently used one is reused first.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    /// No other lock is taken while this one is held.
    idle: Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: BackendConnection,
    expires_at: Instant,
}

impl ConnectionPool {
    /// Removes and returns a connection that is ready for a request; drops expired and closed ones.
    pub(crate) fn take(&self) -> Option<BackendConnection> {
        let now = Instant::now();
        let mut idle = self.lock();
        idle.retain(|entry| entry.expires_at > now && !entry.connection.is_closed());
        let at = idle.iter().rposition(|entry| entry.connection.is_ready())?;
        Some(idle.remove(at).connection)
    }

    /// Returns a connection to the pool unless it is closed or about to expire.
    ///
    /// `idle_timeout_ms` is the idle timeout that the server has stated.
    pub(crate) fn put(&self, connection: BackendConnection, idle_timeout_ms: Option<u64>) {
        let idle_timeout = match idle_timeout_ms {
            Some(timeout_ms) => Duration::from_millis(timeout_ms).saturating_sub(IDLE_MARGIN),
            None => IDLE_TIMEOUT_DEFAULT,
        };
        if idle_timeout.is_zero() || connection.is_closed() {
            return;
        }
        let expires_at = Instant::now() + idle_timeout;
        self.lock().push(IdleConnection {
            connection,
            expires_at,
        });
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
