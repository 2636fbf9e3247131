//! The block of one quarantined part.

use crate::quarantine::part_id::PartId;
use std::collections::BTreeSet;

/// The duration of the first block; it doubles with each further one.
const BLOCK_MS: u64 = 20_000;

/// How far apart the ends of a block may be at different routers.
const BLOCK_END_SPREAD_MS: u64 = 5_000;

/// The longest duration of a block.
const BLOCK_MAX_MS: u64 = 640_000;

/// How long a quarantine outlasts its block if no request tries the part.
const UNTRIED_MAX_MS: u64 = 600_000;

/// How long the outcome of a trial is awaited.
const TRIAL_TIMEOUT_MS: u64 = 10_000;

/// Time after a conviction from which a request with only some of the parts convicted together may
/// try these.
const SEPARATION_DELAY_MS: u64 = 1_000;

/// Time after a conviction until which whole requests may be tried in this way.
const REQUEST_SEPARATION_TIMEOUT_MS: u64 = 8_000;

/// How many times sooner than after a block the routers follow each other with such trials; a harmless
/// part is free after the first one.
const SEPARATION_STEPS: u64 = 8;

/// The block of a quarantined part, which ends with a trial.
#[derive(Debug)]
pub(super) struct Block {
    pub(super) since_ms: u64,
    blocked_until_ms: u64,
    pub(super) renewals: u32,
    /// The parts that were convicted together with this one, this one included.
    pub(super) group: BTreeSet<PartId>,
    trial_at_ms: Option<u64>,
    /// Whether this router convicted the part, which others may have done with more evidence.
    pub(super) is_own_conviction: bool,
}

impl Block {
    pub(super) fn new(now_ms: u64, renewals: u32, group: BTreeSet<PartId>) -> Self {
        let factor = 1_u64.checked_shl(renewals).unwrap_or(u64::MAX);
        let block_ms = BLOCK_MS.saturating_mul(factor).min(BLOCK_MAX_MS);
        Self {
            since_ms: now_ms,
            blocked_until_ms: now_ms.saturating_add(block_ms),
            renewals,
            group,
            trial_at_ms: None,
            is_own_conviction: false,
        }
    }

    /// Renews the quarantine if a trial, here or at another router, may have caused a crash; crashes by
    /// requests that were sent before the block don't count.
    pub(super) fn record_crash(&mut self, now_ms: u64) {
        if now_ms + BLOCK_END_SPREAD_MS >= self.blocked_until_ms {
            self.renew(now_ms);
        }
    }

    /// Begins another block, of double the duration.
    pub(super) fn renew(&mut self, now_ms: u64) {
        let group = std::mem::take(&mut self.group);
        *self = Self::new(now_ms, self.renewals.saturating_add(1), group);
    }

    /// Returns when a request was sent whose outcome is awaited.
    pub(super) fn trial_at_ms(&self, now_ms: u64) -> Option<u64> {
        self.trial_at_ms.filter(|_| self.is_tried(now_ms))
    }

    /// Returns whether the answer to a request that was sent at `sent_at_ms` shows that the part is
    /// harmless; after a renewal, only a trial does.
    pub(super) fn is_cleared_by(&self, sent_at_ms: u64) -> bool {
        self.renewals == 0 || sent_at_ms >= self.since_ms
    }

    /// Returns the time from which a request may try the part, which is before the end of the block if
    /// it separates the parts that were convicted together.
    ///
    /// `delay_ms` is how much later than other routers this one may do so after the block.
    pub(super) fn trial_from_ms(&self, separates: bool, delay_ms: u64, now_ms: u64) -> u64 {
        if let Some(trial_at_ms) = self.trial_at_ms
            && now_ms < trial_at_ms + TRIAL_TIMEOUT_MS
        {
            return trial_at_ms + TRIAL_TIMEOUT_MS + delay_ms;
        }
        if separates {
            self.since_ms + SEPARATION_DELAY_MS + delay_ms / SEPARATION_STEPS
        } else {
            self.blocked_until_ms + delay_ms
        }
    }

    /// Returns whether a request with `parts` may show which part of the group is the cause, before
    /// the block ends.
    pub(super) fn may_separate(&self, parts: &[PartId], now_ms: u64) -> bool {
        let tells_group_apart = !self.group.iter().all(|part| parts.contains(part));
        // A group of whole requests was sent often lately, so a sound one of them comes soon.
        let is_request_group = self.group.iter().all(|part| part.is_request());
        let is_too_late =
            is_request_group && now_ms >= self.since_ms + REQUEST_SEPARATION_TIMEOUT_MS;
        tells_group_apart && self.renewals == 0 && !is_too_late
    }

    pub(super) fn is_tried(&self, now_ms: u64) -> bool {
        self.trial_at_ms
            .is_some_and(|trial_at_ms| now_ms < trial_at_ms + TRIAL_TIMEOUT_MS)
    }

    /// Lets a request try the part, and no other one until its outcome is known.
    pub(super) fn start_trial(&mut self, now_ms: u64) {
        self.trial_at_ms = Some(now_ms);
    }

    /// Ends a trial whose request was not run.
    pub(super) fn cancel_trial(&mut self) {
        self.trial_at_ms = None;
    }

    /// Returns whether no request has tried the part for long.
    pub(super) fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.blocked_until_ms + UNTRIED_MAX_MS
    }
}
