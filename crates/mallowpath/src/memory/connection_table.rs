//! Decides which connections of a listener stay open.
//!
//! The load that it answers: peers that open connections and send nothing, or a head or a body that never
//! ends. At the limit, the connection that has waited longest for its peer is closed for a new one. One that
//! carries a whole request or an answer is never closed for another.

use std::collections::{BTreeSet, HashMap};

/// Identifies a connection of a [`ConnectionTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// The decision on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAdmission {
    /// It stays open.
    Admitted(ConnectionId),
    /// It stays open once another one, which is named unless that was done before, is closed.
    AfterClosing(Option<ConnectionId>),
    /// It is closed: all others carry whole requests or answers.
    Refused,
}

/// The connections of a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    connections_max: usize,
    next_id: u64,
    connections: HashMap<ConnectionId, ConnectionState>,
    /// The connections that wait for their peers, in the order in which they began to.
    waiting: BTreeSet<(u64, ConnectionId)>,
    /// The number of connections that are being closed.
    closing: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    /// It has waited for its peer since this time in milliseconds.
    Waiting(u64),
    /// It carries a whole request or an answer.
    Busy,
    /// It is being closed for another one.
    Closing,
}

impl ConnectionTable {
    /// Creates a table of at most `connections_max` connections.
    pub fn new(connections_max: usize) -> Self {
        Self {
            connections_max,
            next_id: 0,
            connections: HashMap::new(),
            waiting: BTreeSet::new(),
            closing: 0,
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Decides on a new connection, which waits for its peer from `now_ms` on.
    pub fn admit(&mut self, now_ms: u64) -> ConnectionAdmission {
        if self.len() < self.connections_max {
            self.next_id += 1;
            let id = ConnectionId(self.next_id);
            self.connections
                .insert(id, ConnectionState::Waiting(now_ms));
            self.waiting.insert((now_ms, id));
            return ConnectionAdmission::Admitted(id);
        }
        if self.closing > 0 {
            return ConnectionAdmission::AfterClosing(None);
        }
        let Some((_, id)) = self.waiting.pop_first() else {
            return ConnectionAdmission::Refused;
        };
        self.connections.insert(id, ConnectionState::Closing);
        self.closing += 1;
        ConnectionAdmission::AfterClosing(Some(id))
    }

    /// Records that a connection carries a whole request or an answer; returns whether it was being closed for another one.
    ///
    /// If so, another connection may be closed in its place.
    pub fn set_busy(&mut self, id: ConnectionId) -> bool {
        let was_closing = self.connections.get(&id) == Some(&ConnectionState::Closing);
        self.set_state(id, ConnectionState::Busy);
        was_closing
    }

    /// Records that a connection that waits for its peer does so from `now_ms` on.
    pub fn restart_wait(&mut self, id: ConnectionId, now_ms: u64) {
        let state = self.connections.get(&id);
        if matches!(state, Some(ConnectionState::Waiting(_))) {
            self.set_waiting(id, now_ms);
        }
    }

    /// Records that a connection waits for its peer from `now_ms` on.
    pub fn set_waiting(&mut self, id: ConnectionId, now_ms: u64) {
        self.set_state(id, ConnectionState::Waiting(now_ms));
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, id: ConnectionId) {
        match self.connections.remove(&id) {
            Some(ConnectionState::Waiting(since_ms)) => {
                self.waiting.remove(&(since_ms, id));
            }
            Some(ConnectionState::Closing) => self.closing -= 1,
            Some(ConnectionState::Busy) | None => {}
        }
    }

    fn set_state(&mut self, id: ConnectionId, new: ConnectionState) {
        let Some(state) = self.connections.get_mut(&id) else {
            return;
        };
        match std::mem::replace(state, new) {
            ConnectionState::Waiting(since_ms) => {
                self.waiting.remove(&(since_ms, id));
            }
            ConnectionState::Closing => self.closing -= 1,
            ConnectionState::Busy => {}
        }
        if let ConnectionState::Waiting(since_ms) = new {
            self.waiting.insert((since_ms, id));
        }
    }
}
