//! Schedule of the checkpoints of a stream.

use crate::id::Offset;

/// Number of offsets between two checkpoints of a stream that keeps all its records.
const CHECKPOINT_INTERVAL_OFFSETS: u64 = 2048;
/// Minimum number of offsets that a new checkpoint covers beyond the last one, unless the stream
/// has dropped records that the last one does not cover.
const MIN_NEW_OFFSETS: u64 = 4;
/// Time after which a checkpoint is written even at low traffic, because the log service may drop
/// records by age, and all of them at once.
const CHECKPOINT_INTERVAL_MS: u64 = 600_000;
/// Upper bound of the random delay with which a reader writes a checkpoint that is needed. Readers
/// of one stream choose different delays, so that usually one of them writes for all.
const MAX_JITTER_MS: u64 = 300;

/// Decides when a checkpoint of one stream is due, from its offsets, the records kept and the time.
#[derive(Debug, Default)]
pub(crate) struct CheckpointSchedule {
    /// The newest checkpoint of the stream covers the records below this offset.
    covered: Option<Offset>,
    /// The time at which a needed checkpoint is due, after the random delay.
    due_at_ms: Option<u64>,
    /// The time of the first check after the newest checkpoint, or of the first check at all.
    covered_at_ms: Option<u64>,
}

impl CheckpointSchedule {
    /// Records that a checkpoint of the records below `upto` was read or is being appended.
    pub(crate) fn record_checkpoint(&mut self, upto: Offset) {
        self.covered_at_ms = None;
        self.covered = self.covered.max(Some(upto));
    }

    /// Returns whether a checkpoint of the records below `next` is due at `now_ms`.
    ///
    /// `first` is the oldest offset kept; `random` is a random number for the delay.
    pub(crate) fn is_due(&mut self, first: Offset, next: Offset, random: u64, now_ms: u64) -> bool {
        if !self.is_needed(first, next, now_ms) {
            self.due_at_ms = None;
            return false;
        }
        let due_at_ms = *self
            .due_at_ms
            .get_or_insert(now_ms + random % MAX_JITTER_MS);
        if now_ms < due_at_ms {
            return false;
        }
        self.due_at_ms = None;
        true
    }

    /// Returns whether a new checkpoint is needed.
    ///
    /// Once the stream has dropped records, the newest checkpoint must cover at least half of the
    /// records kept.
    fn is_needed(&mut self, first: Offset, next: Offset, now_ms: u64) -> bool {
        let covered_at_ms = *self.covered_at_ms.get_or_insert(now_ms);
        let covered = self.covered.unwrap_or_default();
        if covered < first {
            return true;
        }
        let uncovered = next.0.saturating_sub(covered.0);
        if uncovered >= CHECKPOINT_INTERVAL_OFFSETS {
            return true;
        }
        if uncovered < MIN_NEW_OFFSETS {
            return false;
        }
        if now_ms.saturating_sub(covered_at_ms) >= CHECKPOINT_INTERVAL_MS {
            return true;
        }
        let kept = next.0.saturating_sub(first.0);
        first > Offset(0) && covered.0 - first.0 < kept / 2
    }
}
