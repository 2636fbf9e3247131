//! The connections of a listener, shared by the tasks that serve them.

use super::{
    connection_table::{ConnectionAdmission, ConnectionId, ConnectionTable},
    log_interval::LogInterval,
};
use std::{
    collections::HashMap,
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Instant,
};
use tokio::sync::Notify;

/// Limits the open connections of a listener.
#[derive(Debug)]
pub struct ConnectionLimiter {
    /// The listener, as the metrics name it.
    listener: &'static str,
    /// No other lock is acquired while this one is held.
    state: Mutex<State>,
    /// Notified when a connection is closed, or carries a request in place of being closed.
    closed: Notify,
    started_at: Instant,
}

#[derive(Debug)]
struct State {
    table: ConnectionTable,
    log_interval: LogInterval,
    closings: HashMap<ConnectionId, Arc<Notify>>,
}

/// The place of an open connection, which is free again on drop.
pub struct ConnectionSlot {
    limiter: Arc<ConnectionLimiter>,
    id: ConnectionId,
    closing: Arc<Notify>,
    /// Notified when the connection has to be closed with the answer that it carries.
    abort: Arc<Notify>,
    /// The number of marks that the connection is busy.
    busy: AtomicUsize,
}

/// Marks a connection as one that carries a request, until it is dropped.
#[derive(Debug)]
pub struct BusyConnection(Arc<ConnectionSlot>);

impl ConnectionLimiter {
    /// Creates a limiter of `connections_max` connections.
    pub fn new(listener: &'static str, connections_max: usize) -> Arc<Self> {
        Arc::new(Self {
            listener,
            state: Mutex::new(State {
                table: ConnectionTable::new(connections_max),
                log_interval: LogInterval::default(),
                closings: HashMap::new(),
            }),
            closed: Notify::new(),
            started_at: Instant::now(),
        })
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.lock().table.len()
    }

    /// Returns whether there are no open connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until there are no open connections.
    pub async fn all_closed(&self) {
        loop {
            // Created before the check, so that a connection that is closed after it ends the wait.
            let closed = self.closed.notified();
            if self.is_empty() {
                return;
            }
            closed.await;
        }
    }

    /// Returns a place for a new connection, if need be once another one is closed; `None` if there is none.
    pub async fn admit(self: &Arc<Self>) -> Option<Arc<ConnectionSlot>> {
        loop {
            // Created before the decision, so that a connection that is closed after it ends the wait.
            let closed = self.closed.notified();
            match self.decide() {
                ConnectionAdmission::Admitted(id) => return Some(self.slot(id)),
                ConnectionAdmission::AfterClosing(_) => closed.await,
                ConnectionAdmission::Refused => {
                    self.count("refused");
                    return None;
                }
            }
        }
    }

    /// Decides on a new connection, and has the one closed that makes room for it.
    fn decide(&self) -> ConnectionAdmission {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let admission = state.table.admit(now_ms);
        let is_full = !matches!(admission, ConnectionAdmission::Admitted(_));
        if is_full && state.log_interval.allows(now_ms) {
            log::warn!(
                target: "memory",
                "the listener for {} has as many connections as it may have: {}",
                self.listener,
                state.table.len(),
            );
        }
        if let ConnectionAdmission::AfterClosing(Some(id)) = admission
            && let Some(closing) = state.closings.remove(&id)
        {
            self.count("replaced");
            closing.notify_one();
        }
        admission
    }

    fn slot(self: &Arc<Self>, id: ConnectionId) -> Arc<ConnectionSlot> {
        let closing = Arc::new(Notify::new());
        self.lock().closings.insert(id, Arc::clone(&closing));
        Arc::new(ConnectionSlot {
            limiter: Arc::clone(self),
            id,
            closing,
            abort: Arc::default(),
            busy: AtomicUsize::new(0),
        })
    }

    /// Counts a connection that was closed for the limit.
    fn count(&self, decision: &'static str) {
        metrics::counter!(
            "connection_limit_total",
            "listener" => self.listener,
            "decision" => decision,
        )
        .increment(1);
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionSlot {
    /// Starts the wait for the peer again, as a request has begun.
    pub(crate) fn restart_wait(&self) {
        let now_ms = self.limiter.now_ms();
        self.limiter.lock().table.restart_wait(self.id, now_ms);
    }

    /// Marks the connection as one that carries a whole request or an answer.
    pub fn busy(self: &Arc<Self>) -> BusyConnection {
        let marks = self.busy.fetch_add(1, Ordering::Relaxed);
        if marks == 0 && self.limiter.lock().table.set_busy(self.id) {
            self.limiter.closed.notify_waiters();
        }
        BusyConnection(Arc::clone(self))
    }

    /// Returns whether the connection carries a whole request or an answer.
    pub fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed) > 0
    }

    /// Waits until the connection has to be closed at once, as its caller reads nothing.
    pub async fn aborted(&self) {
        self.abort.notified().await;
    }

    pub(crate) fn abort_signal(&self) -> Arc<Notify> {
        Arc::clone(&self.abort)
    }

    /// Waits until the connection has to be closed for another one.
    pub async fn replaced(&self) {
        self.closing.notified().await;
    }
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        let slot = &self.0;
        if slot.busy.fetch_sub(1, Ordering::Relaxed) > 1 {
            return;
        }
        let now_ms = slot.limiter.now_ms();
        slot.limiter.lock().table.set_waiting(slot.id, now_ms);
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut state = self.limiter.lock();
        state.table.remove(self.id);
        state.closings.remove(&self.id);
        drop(state);
        self.limiter.closed.notify_waiters();
    }
}

impl fmt::Debug for ConnectionSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionSlot")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}
