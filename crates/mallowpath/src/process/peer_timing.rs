//! Intervals and timeouts of the connections between processes.

use super::settings::millis;
use crate::{config::section::SectionReader, peer::link::LinkSettings};

/// Intervals and timeouts that routers and sidecars have in common, in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerTiming {
    /// Interval between heartbeats on a connection.
    pub heartbeat_ms: u64,
    /// Time without a message from the peer after which a connection is closed.
    pub peer_timeout_ms: u64,
    /// Limit on the time to open a connection.
    pub connect_timeout_ms: u64,
    /// Limit on the time of one call to the log service or the host list.
    pub platform_timeout_ms: u64,
    /// How long a read at the end of a stream, or of an unchanged host list, waits for an update.
    pub platform_wait_ms: u64,
    /// How long a router may be disconnected before others log its bills, and missing from the host
    /// list before it is fenced.
    pub lost_router_ms: u64,
}

impl PeerTiming {
    /// Reads the timing from a section of the settings.
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        let timing = Self {
            heartbeat_ms: millis(reader, "heartbeat_ms", default.heartbeat_ms),
            peer_timeout_ms: millis(reader, "peer_timeout_ms", default.peer_timeout_ms),
            connect_timeout_ms: millis(reader, "connect_timeout_ms", default.connect_timeout_ms),
            platform_timeout_ms: millis(reader, "platform_timeout_ms", default.platform_timeout_ms),
            platform_wait_ms: millis(reader, "platform_wait_ms", default.platform_wait_ms),
            lost_router_ms: millis(reader, "lost_router_ms", default.lost_router_ms),
        };
        if timing.peer_timeout_ms < 2 * timing.heartbeat_ms {
            reject_heartbeat_timing(reader, &timing);
        }
        timing
    }

    /// Returns the settings of connections to peers.
    pub(crate) fn link(&self) -> LinkSettings {
        LinkSettings {
            heartbeat_interval_ms: self.heartbeat_ms,
            silent_after_ms: self.peer_timeout_ms,
            connect_timeout_ms: self.connect_timeout_ms,
        }
    }
}

impl Default for PeerTiming {
    fn default() -> Self {
        Self {
            heartbeat_ms: 1_000,
            peer_timeout_ms: 3_000,
            connect_timeout_ms: 1_000,
            platform_timeout_ms: 5_000,
            platform_wait_ms: 2_000,
            lost_router_ms: 10_000,
        }
    }
}

#[cold]
fn reject_heartbeat_timing(reader: &mut SectionReader<'_>, timing: &PeerTiming) {
    if reader.has("peer_timeout_ms") {
        let expected = format!(
            "at least twice heartbeat_ms, which is {}",
            timing.heartbeat_ms
        );
        return reader.reject("peer_timeout_ms", &expected);
    }
    let expected = format!(
        "at most half of peer_timeout_ms, which is {}",
        timing.peer_timeout_ms
    );
    reader.reject("heartbeat_ms", &expected);
}
