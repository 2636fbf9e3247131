//! The number of open connections of each peer.

use crate::id::Incarnation;
use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Counts the open connections of each peer.
#[derive(Debug, Default)]
pub(crate) struct PeerConnections {
    connections: Mutex<HashMap<Incarnation, usize>>,
}

impl PeerConnections {
    /// Records that a connection of the peer opened.
    pub(crate) fn opened(&self, peer: Incarnation) {
        *self.connections().entry(peer).or_default() += 1;
    }

    /// Records that a connection of the peer ended.
    pub(crate) fn closed(&self, peer: Incarnation) {
        let mut connections = self.connections();
        let Some(count) = connections.get_mut(&peer) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            connections.remove(&peer);
        }
    }

    /// Returns whether the peer has an open connection.
    pub(crate) fn is_open(&self, peer: Incarnation) -> bool {
        self.connections().contains_key(&peer)
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<Incarnation, usize>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
