//! Which requests and prompt parts are quarantined, because they end backend servers.
//!
//! A whole request counts as one of its parts: the same request of the same caller is quarantined
//! though nothing else has its prompt.
//!
//! A quarantined part is blocked for some time, then one request at a time may try it: a completed
//! answer ends the quarantine, a further crash renews it for longer. A completed answer to a request
//! that was already on its way ends it, too.

use crate::quarantine::{
    block::Block,
    crash_evidence::{Conviction, CrashEvidence},
    crash_report::{AnswerProgress, CrashReport, SuspectRequest},
    part_id::PartId,
    recent_parts::RecentParts,
};
use std::collections::{BTreeMap, BTreeSet};

/// Time that completed answers have to clear a part of a crash that other requests may contain.
const RIPE_AFTER_MS: u64 = 500;

/// The same for a part that was in a completed answer lately.
const RIPE_AFTER_RECENT_MS: u64 = 1_500;

/// Time after a crash within which it may convict a part.
const EVALUATED_MS: u64 = 3_000;

/// Time after which all routers have reported their requests at a backend server that ended.
const REPORT_TIME_MS: u64 = 100;

/// Age from which the quarantine of a part that other requests may contain is stored.
const STORE_AFTER_MS: u64 = 1_000;

/// How long a part that was cleared is not quarantined because of a stored record.
const CLEARED_MEMORY_MS: u64 = 5_000;

/// The maximum number of quarantined parts.
const QUARANTINED_MAX: usize = 1_024;

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartCheck {
    /// No part is quarantined.
    Free,
    /// The request tries a quarantined part.
    Trial,
    /// A part is blocked.
    Blocked {
        /// The part.
        part: PartId,
        /// The rest of the block.
        retry_after_ms: u64,
    },
}

/// A change to the stored record of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordChange {
    /// The part.
    pub part: PartId,
    /// How often the quarantine was renewed; `None` removes the record.
    pub renewals: Option<u32>,
}

/// The quarantined parts and the evidence against others.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    evidence: CrashEvidence,
    recent: RecentParts,
    quarantined: BTreeMap<PartId, Block>,
    /// The stored records, as far as they were read.
    stored: BTreeMap<PartId, u32>,
    /// Parts that were in a completed answer while they were suspected, with the times.
    cleared: BTreeMap<PartId, u64>,
}

impl PartQuarantine {
    /// Returns the number of quarantined parts.
    pub fn len(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns whether no part is quarantined.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty()
    }

    /// Returns whether any of `parts` is quarantined.
    pub fn contains_any(&self, parts: &[PartId]) -> bool {
        parts.iter().any(|part| self.quarantined.contains_key(part))
    }

    /// Returns the quarantined parts.
    pub fn parts(&self) -> Vec<PartId> {
        self.quarantined.keys().copied().collect()
    }

    /// Counts the end of a backend server against the parts of its requests.
    pub fn record_crash(&mut self, report: CrashReport, now_ms: u64) {
        for suspect in &report.suspects {
            if suspect.progress == AnswerProgress::Events {
                continue;
            }
            self.renew(suspect.request, now_ms);
            if suspect.progress == AnswerProgress::Nothing {
                continue;
            }
            for part in &suspect.parts {
                self.renew(*part, now_ms);
            }
        }
        self.evidence.add(report, now_ms);
    }

    /// Clears the parts of a request that was sent at `sent_at_ms` and was answered completely;
    /// returns those that were suspected, of which the other routers need to know.
    pub fn record_completion(
        &mut self,
        parts: &[PartId],
        sent_at_ms: u64,
        now_ms: u64,
    ) -> Vec<PartId> {
        let mut cleared = Vec::new();
        for part in parts {
            self.recent.insert(*part, now_ms);
            if self.clear(*part, sent_at_ms, now_ms) {
                cleared.push(*part);
            }
        }
        cleared
    }

    /// Clears a part of a request that was sent at `sent_at_ms` and was answered completely; returns
    /// whether it was suspected.
    pub fn clear(&mut self, part: PartId, sent_at_ms: u64, now_ms: u64) -> bool {
        let mut was_suspect = self.evidence.clear(part, sent_at_ms);
        if let Some(quarantine) = self.quarantined.get(&part)
            && !self.evidence.is_suspect(part)
            && quarantine.is_cleared_by(sent_at_ms)
        {
            self.quarantined.remove(&part);
            was_suspect = true;
        }
        if was_suspect {
            self.cleared
                .retain(|_, at_ms| now_ms < *at_ms + CLEARED_MEMORY_MS);
            self.cleared.insert(part, now_ms);
        }
        was_suspect
    }

    /// Convicts parts; returns those that are quarantined now and were not before.
    pub fn evaluate(&mut self, now_ms: u64) -> Vec<PartId> {
        self.forget_expired(now_ms);
        let last_crash_at_ms = self.evidence.last_crash_at_ms();
        if last_crash_at_ms.is_none_or(|at_ms| at_ms + EVALUATED_MS < now_ms) {
            return Vec::new();
        }
        let convictions = self.evidence.convictions(now_ms, |part, at_ms| {
            at_ms + self.ripe_after_ms(part, now_ms)
        });
        self.release_explained(&convictions);
        self.renew_tried_requests(now_ms);
        let mut added = Vec::new();
        for Conviction { part, group } in convictions {
            if let Some(known) = self.quarantined.get_mut(&part) {
                known.group = group;
            } else if self.quarantined.len() < QUARANTINED_MAX {
                let mut quarantine = Block::new(now_ms, 0, group);
                quarantine.is_own_conviction = true;
                self.quarantined.insert(part, quarantine);
                added.push(part);
            }
        }
        added
    }

    /// Decides whether a request may be sent.
    ///
    /// `trial_delay_ms` returns how much later than other routers this one may try a part after its
    /// block, so that they don't do so together.
    pub fn check(
        &mut self,
        parts: &[PartId],
        now_ms: u64,
        trial_delay_ms: impl Fn(PartId) -> u64,
    ) -> PartCheck {
        let mut tried = Vec::new();
        for part in parts {
            let Some(quarantine) = self.quarantined.get(part) else {
                continue;
            };
            let delay_ms = trial_delay_ms(*part);
            let may_separate =
                quarantine.may_separate(parts, now_ms) && !self.is_group_tried(*part, now_ms);
            let trial_from_ms = quarantine.trial_from_ms(may_separate, delay_ms, now_ms);
            if now_ms < trial_from_ms {
                return PartCheck::Blocked {
                    part: *part,
                    retry_after_ms: trial_from_ms - now_ms,
                };
            }
            tried.push(*part);
        }
        if tried.is_empty() {
            return PartCheck::Free;
        }
        for part in tried {
            if let Some(quarantine) = self.quarantined.get_mut(&part) {
                quarantine.start_trial(now_ms);
            }
        }
        PartCheck::Trial
    }

    /// Returns whether a request that was admitted, perhaps as a trial, may still be sent.
    pub fn may_send(&self, parts: &[PartId], now_ms: u64) -> bool {
        parts.iter().all(|part| {
            self.quarantined
                .get(part)
                .is_none_or(|quarantine| quarantine.is_tried(now_ms))
        })
    }

    /// Returns whether a request at which a backend server probably ended may be sent to another one:
    /// not if it tries a part, or if it ended others before.
    ///
    /// If its answer had begun, its parts count, too, none of which is convicted yet: it isn't sent
    /// if any of them was in another such request.
    pub fn may_resend(&self, suspect: &SuspectRequest) -> bool {
        let request = suspect.request;
        let is_trial = self.contains_any(&suspect.parts) || self.quarantined.contains_key(&request);
        if is_trial || self.evidence.is_nearly_convicted(request) {
            return false;
        }
        suspect.progress != AnswerProgress::Head
            || !self.evidence.has_other_request(request, &suspect.parts)
    }

    /// Ends the trials of a request that was not run after all.
    pub fn cancel_trial(&mut self, parts: &[PartId]) {
        for part in parts {
            if let Some(block) = self.quarantined.get_mut(part) {
                block.cancel_trial();
            }
        }
    }

    /// Applies a stored record; `renewals` is `None` if it was removed.
    pub fn apply_record(&mut self, part: PartId, renewals: Option<u32>, now_ms: u64) {
        let Some(renewals) = renewals else {
            if self.stored.remove(&part).is_some() {
                self.quarantined.remove(&part);
                self.evidence.clear(part, now_ms);
            }
            return;
        };
        let known = self.quarantined.get(&part);
        if known.is_none() && self.quarantined.len() >= QUARANTINED_MAX {
            // Others keep it; a record that counted as read here would be removed.
            return;
        }
        let is_known = known.is_some_and(|quarantine| quarantine.renewals >= renewals);
        let was_cleared = self
            .cleared
            .get(&part)
            .is_some_and(|at_ms| now_ms < *at_ms + CLEARED_MEMORY_MS);
        self.stored.insert(part, renewals);
        if was_cleared || is_known {
            return;
        }
        let quarantine = Block::new(now_ms, renewals, BTreeSet::from([part]));
        self.quarantined.insert(part, quarantine);
    }

    /// Forgets the stored records, which were lost or are read again.
    pub fn reset_records(&mut self) {
        self.stored.clear();
    }

    /// Returns how the stored records differ from what is quarantined.
    pub fn record_changes(&self, now_ms: u64) -> Vec<RecordChange> {
        let mut changes = Vec::new();
        for (part, quarantine) in &self.quarantined {
            let is_stored = self.stored.get(part) == Some(&quarantine.renewals);
            let store_after_ms = if part.is_request() { 0 } else { STORE_AFTER_MS };
            if !is_stored && now_ms >= quarantine.since_ms + store_after_ms {
                changes.push(RecordChange {
                    part: *part,
                    renewals: Some(quarantine.renewals),
                });
            }
        }
        for part in self.stored.keys() {
            if !self.quarantined.contains_key(part) {
                changes.push(RecordChange {
                    part: *part,
                    renewals: None,
                });
            }
        }
        changes
    }

    /// Ends quarantines of parts that this router convicted, if heavier parts explain their crashes
    /// by now.
    fn release_explained(&mut self, convictions: &[Conviction]) {
        let convicted: BTreeSet<PartId> = convictions.iter().map(|found| found.part).collect();
        let evidence = &self.evidence;
        self.quarantined.retain(|part, quarantine| {
            !quarantine.is_own_conviction
                || quarantine.renewals > 0
                || convicted.contains(part)
                || !evidence.is_explained_by(*part, &convicted)
        });
    }

    /// Returns whether another part that was convicted together with this one is being tried.
    fn is_group_tried(&self, part: PartId, now_ms: u64) -> bool {
        let Some(block) = self.quarantined.get(&part) else {
            return false;
        };
        let mut others = block.group.iter().filter(|other| **other != part);
        others.any(|other| {
            self.quarantined
                .get(other)
                .is_some_and(|block| block.is_tried(now_ms))
        })
    }

    /// Renews the blocks of requests that ended a backend server when they were tried, if nothing else
    /// that is quarantined was under way there.
    fn renew_tried_requests(&mut self, now_ms: u64) {
        let mut renewed = Vec::new();
        for (part, block) in &self.quarantined {
            let Some(trial_at_ms) = block.trial_at_ms(now_ms) else {
                continue;
            };
            let is_quarantined = |request| self.quarantined.contains_key(&request);
            let reported = trial_at_ms..now_ms.saturating_sub(REPORT_TIME_MS);
            if self.evidence.ended_alone(*part, reported, is_quarantined) {
                renewed.push(*part);
            }
        }
        for part in renewed {
            if let Some(block) = self.quarantined.get_mut(&part) {
                block.renew(now_ms);
            }
        }
    }

    fn renew(&mut self, part: PartId, now_ms: u64) {
        if let Some(block) = self.quarantined.get_mut(&part) {
            block.record_crash(now_ms);
        }
    }

    /// Returns the time that completed answers have to clear a part of a crash.
    fn ripe_after_ms(&self, part: PartId, now_ms: u64) -> u64 {
        if self.recent.contains(part, now_ms) {
            RIPE_AFTER_RECENT_MS
        } else if part.is_request() {
            // Hardly any other request that is under way contains it.
            0
        } else {
            RIPE_AFTER_MS
        }
    }

    fn forget_expired(&mut self, now_ms: u64) {
        self.quarantined
            .retain(|_, quarantine| !quarantine.is_expired(now_ms));
    }
}
