//! Distribution of the configuration between processes, and the freshness of each copy.
//!
//! A process is *confirmed at* a time if it holds every record that the log had accepted by then.
//! The confirmation comes from the log, through a read that reaches its end, or from a peer, whose
//! heartbeat answer contains the time since the peer was confirmed. Only ages are sent between
//! processes, never timestamps, so clocks need not be synchronized. An age counts from the time at
//! which the query was sent, so that a delayed answer makes the configuration look older, never
//! newer.

use crate::{
    config::fleet::{FleetRules, WhenUnconfirmed, Workspace},
    id::{HostId, Offset},
};
use prost::Message;
use std::collections::BTreeMap;

/// The part of a heartbeat answer that describes the sender's configuration.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ConfigHeartbeat {
    /// The offset after the last record that the sender holds.
    #[prost(uint64, tag = "1")]
    pub next: u64,
    /// The time since the sender was confirmed; absent if it never was.
    #[prost(uint64, optional, tag = "2")]
    pub confirmed_age_ms: Option<u64>,
}

/// The freshness of a process's configuration, and the state of its peers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Propagation {
    next: Offset,
    confirmed_at_ms: Option<u64>,
    peers: BTreeMap<HostId, PeerView>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PeerView {
    next: Offset,
    confirmed_at_ms: Option<u64>,
}

impl Propagation {
    /// Records that the process holds all records before `next`.
    ///
    /// The confirmations of peers that hold no later record then apply to this process as well.
    pub fn advance_to(&mut self, next: Offset) {
        self.next = self.next.max(next);
        for peer in self.peers.values() {
            if peer.next <= self.next {
                self.confirmed_at_ms = self.confirmed_at_ms.max(peer.confirmed_at_ms);
            }
        }
    }

    /// Records that a read of the log sent at `asked_at_ms` found its end at `end`.
    pub fn record_log_end(&mut self, end: Offset, asked_at_ms: u64) {
        if end <= self.next {
            self.confirmed_at_ms = self.confirmed_at_ms.max(Some(asked_at_ms));
        }
    }

    /// Records a peer's answer to a heartbeat sent at `asked_at_ms`.
    pub fn record_peer_heartbeat(
        &mut self,
        peer: &HostId,
        answer: ConfigHeartbeat,
        asked_at_ms: u64,
    ) {
        let age_ms = answer.confirmed_age_ms;
        let view = PeerView {
            next: Offset(answer.next),
            confirmed_at_ms: age_ms.and_then(|age_ms| asked_at_ms.checked_sub(age_ms)),
        };
        self.peers.insert(peer.clone(), view);
        self.advance_to(self.next);
    }

    /// Removes a peer whose connection has ended.
    pub fn remove_peer(&mut self, peer: &HostId) {
        self.peers.remove(peer);
    }

    /// Returns the answer to a peer's heartbeat.
    pub fn heartbeat(&self, now_ms: u64) -> ConfigHeartbeat {
        ConfigHeartbeat {
            next: self.next.0,
            confirmed_age_ms: self.confirmed_age_ms(now_ms),
        }
    }

    /// Returns a peer that holds more records than this process, if there is one.
    ///
    /// `random` distributes the fetches over all such peers.
    pub fn peer_to_fetch_from(&self, random: u64) -> Option<&HostId> {
        let mut ahead = Vec::new();
        for (peer, view) in &self.peers {
            if view.next > self.next {
                ahead.push(peer);
            }
        }
        let count = u64::try_from(ahead.len()).ok()?;
        let index = random.checked_rem(count)?;
        ahead.get(usize::try_from(index).ok()?).copied()
    }

    /// Returns the time since the process was last confirmed, if it ever was.
    pub fn confirmed_age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.confirmed_at_ms?))
    }

    /// Returns whether a workspace's requests may be served by the configuration of this process.
    pub fn serves(&self, workspace: &Workspace, rules: &FleetRules, now_ms: u64) -> bool {
        if workspace.when_unconfirmed == WhenUnconfirmed::Serve {
            return true;
        }
        let age_ms = self.confirmed_age_ms(now_ms);
        age_ms.is_some_and(|age_ms| age_ms <= rules.unconfirmed_after_ms)
    }
}
