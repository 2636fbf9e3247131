//! Failure detector for connections, based on heartbeats.

/// The settings of a [`SilenceDetector`].
#[derive(Debug, Clone)]
pub struct SilenceSettings {
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Number of consecutive missed heartbeats after which the connection counts as silent.
    pub max_missed_heartbeats: u64,
}

/// Detects that the peer of one connection has stopped sending.
///
/// A silent peer is detected at most `heartbeat_interval_ms * (max_missed_heartbeats + 1)` after
/// its last message, plus the time between two checks. If this process itself was stalled, the
/// detection time starts anew, because heartbeats of the peer may not have been read yet.
#[derive(Debug)]
pub struct SilenceDetector {
    settings: SilenceSettings,
    last_message_at_ms: u64,
    last_check_at_ms: u64,
}

impl SilenceDetector {
    /// Creates a detector for a connection that was opened at `now_ms`.
    pub fn new(settings: SilenceSettings, now_ms: u64) -> Self {
        Self {
            settings,
            last_message_at_ms: now_ms,
            last_check_at_ms: now_ms,
        }
    }

    /// Records that a message of any kind arrived from the peer.
    pub fn record_message(&mut self, now_ms: u64) {
        self.last_message_at_ms = self.last_message_at_ms.max(now_ms);
    }

    /// Returns the number of consecutive missed heartbeats.
    pub fn missed_heartbeats(&self, now_ms: u64) -> u64 {
        let silent_ms = now_ms.saturating_sub(self.last_message_at_ms);
        (silent_ms / self.settings.heartbeat_interval_ms.max(1)).saturating_sub(1)
    }

    /// Returns whether the connection is silent; must be called about once per heartbeat interval.
    ///
    /// More than two intervals since the last check mean that this process was stalled.
    pub fn update_is_silent(&mut self, now_ms: u64) -> bool {
        let since_check_ms = now_ms.saturating_sub(self.last_check_at_ms);
        self.last_check_at_ms = now_ms;
        if since_check_ms > 2 * self.settings.heartbeat_interval_ms {
            self.last_message_at_ms = now_ms;
        }
        self.missed_heartbeats(now_ms) >= self.settings.max_missed_heartbeats
    }
}

impl Default for SilenceSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval_ms: 500,
            max_missed_heartbeats: 3,
        }
    }
}
