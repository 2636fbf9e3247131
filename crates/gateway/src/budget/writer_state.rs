//! The state of this process as a writer of the ledger.

use super::epoch_claim::EpochOwner;
use std::time::{Duration, Instant};

/// The weight of the newest draw in the moving average of draw durations.
///
/// A draw that takes longer than the average replaces it.
const DRAW_DURATION_WEIGHT: f64 = 0.3;

/// The state of this incarnation as a writer of the ledger.
#[derive(Debug)]
pub(super) struct WriterState {
    /// The epoch and sequence number of its appends.
    pub(super) owner: EpochOwner,
    /// Whether a later epoch has fenced this incarnation.
    pub(super) fenced: bool,
    /// Whether the last append, or the last read for a shortage, failed.
    pub(super) store_failed: bool,
    /// When the draw in progress began.
    pub(super) draw_started_at: Option<Instant>,
    /// The moving average of draw durations.
    pub(super) draw_duration_s: f64,
    /// The number of restores of the store after which the account was appended again.
    pub(super) restores_handled: u64,
    /// The number of restores of the store that were noticed.
    pub(super) restores_seen: u64,
    /// Until when no tokens are drawn, as other routers append their accounts again.
    pub(super) raises_held_until: Option<Instant>,
}

impl WriterState {
    pub(super) fn new(incarnation: u64) -> Self {
        Self {
            owner: EpochOwner::new(incarnation),
            fenced: false,
            store_failed: false,
            draw_started_at: None,
            draw_duration_s: 0.0,
            restores_handled: 0,
            restores_seen: 0,
            raises_held_until: None,
        }
    }

    /// Makes the next append claim a new epoch, as the store may have forgotten the last appends of this one, and holds
    /// back raises until other routers had time to append their accounts again.
    pub(super) fn begin_after_restore(&mut self, restores: u64, raise_hold: Duration) {
        self.restores_seen = restores;
        self.owner.disown();
        self.raises_held_until = Some(Instant::now() + raise_hold);
    }

    /// Records the duration of a draw.
    pub(super) fn record_draw(&mut self, took_s: f64) {
        let average_s =
            self.draw_duration_s + (took_s - self.draw_duration_s) * DRAW_DURATION_WEIGHT;
        // A longer draw raises the average at once, so that a slow store enlarges holdings before
        // they run out.
        self.draw_duration_s = average_s.max(took_s);
    }

    /// Returns whether raises are held back after a restore.
    pub(super) fn raises_are_held(&self) -> bool {
        self.raises_held_until
            .is_some_and(|until| Instant::now() < until)
    }
}
