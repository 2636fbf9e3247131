//! Finds the requests and the prompt parts that ended backend servers have in common.
//!
//! When a backend server ends, each request that was under way may be the cause. One crash says
//! little about its many requests; a request or a part that is in several crashes, and in no answer
//! that was completed since, is the cause. Suspects are convicted in the order of their weight,
//! whole requests before parts, and a convicted one explains its crashes, so that others that were
//! only beside it don't follow.

use crate::quarantine::{crash::Crash, crash_report::CrashReport, part_id::PartId};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Range,
};

/// The maximum number of crashes that are kept.
const CRASHES_MAX: usize = 128;

/// How long a crash is kept.
const CRASH_TTL_MS: u64 = 600_000;

/// The weight at which a part is convicted, or a whole request: three crashes in which its answer
/// had no event.
const CONVICTION_WEIGHT: u32 = 6;

/// The highest weight of one request against its parts; too little for a conviction.
const REQUEST_WEIGHT_MAX: u32 = 4;

/// The crashes of backend servers and the requests that may have caused them.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// Oldest first.
    crashes: VecDeque<Crash>,
}

/// A part that is convicted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conviction {
    /// The part.
    pub part: PartId,
    /// This part and those that may be the cause in its place, as the crashes don't tell them apart.
    pub group: BTreeSet<PartId>,
}

/// The weight of each part, by request.
type Weights = BTreeMap<PartId, BTreeMap<PartId, u32>>;

impl CrashEvidence {
    /// Adds a report; reports of several routers about one crash are merged.
    pub fn add(&mut self, report: CrashReport, now_ms: u64) {
        self.remove_expired(now_ms);
        let at_ms = now_ms.saturating_sub(report.age_ms);
        let mut newest_first = self.crashes.iter_mut().rev();
        let known = newest_first.find(|crash| crash.is_of(&report, at_ms));
        if let Some(crash) = known {
            crash.add_suspects(report.suspects);
            return;
        }
        if self.crashes.len() >= CRASHES_MAX {
            self.crashes.pop_front();
        }
        // A report may be late.
        let position = self.crashes.partition_point(|other| other.at_ms <= at_ms);
        self.crashes.insert(position, Crash::new(report, at_ms));
    }

    /// Returns the time of the last crash.
    pub fn last_crash_at_ms(&self) -> Option<u64> {
        self.crashes.back().map(|crash| crash.at_ms)
    }

    /// Removes a part from the suspects of the crashes until `sent_at_ms`, as a request with it that
    /// was sent then was answered completely; returns whether it was one.
    pub fn clear(&mut self, part: PartId, sent_at_ms: u64) -> bool {
        let mut was_suspect = false;
        for crash in &mut self.crashes {
            if crash.at_ms > sent_at_ms {
                break;
            }
            was_suspect |= crash.remove(part);
        }
        was_suspect
    }

    /// Returns whether a part is among the suspects of any crash.
    pub fn is_suspect(&self, part: PartId) -> bool {
        self.crashes.iter().any(|crash| crash.contains(part))
    }

    /// Returns whether one more crash would convict the request.
    pub fn is_nearly_convicted(&self, request: PartId) -> bool {
        let mut weight = 0;
        for crash in &self.crashes {
            weight += crash.request_weights().get(&request).copied().unwrap_or(0);
        }
        weight >= REQUEST_WEIGHT_MAX
    }

    /// Returns whether a backend server ended within `at_ms` under the request `part` and no other one
    /// for which `is_other` returns true.
    pub fn ended_alone(
        &self,
        part: PartId,
        at_ms: Range<u64>,
        is_other: impl Fn(PartId) -> bool,
    ) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| {
            let requests = crash.request_weights();
            at_ms.contains(&crash.at_ms)
                && requests.contains_key(&part)
                && !requests
                    .keys()
                    .any(|other| *other != part && is_other(*other))
        })
    }

    /// Returns whether a backend server ended when it began to answer another request with any of
    /// `parts`.
    pub fn has_other_request(&self, request: PartId, parts: &[PartId]) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.has_other_request(request, parts))
    }

    /// Returns whether a part is among the suspects of crashes, and each of these has a suspect with
    /// one of `convicted`.
    pub fn is_explained_by(&self, part: PartId, convicted: &BTreeSet<PartId>) -> bool {
        let mut is_explained = false;
        for crash in &self.crashes {
            if !crash.contains(part) {
                continue;
            }
            if !crash.contains_any(convicted) {
                return false;
            }
            is_explained = true;
        }
        is_explained
    }

    /// Returns the requests and parts that are convicted.
    ///
    /// `ripe_at_ms` returns the time from which a crash counts against a part: completed answers
    /// need some time to clear it.
    pub fn convictions(
        &self,
        now_ms: u64,
        ripe_at_ms: impl Fn(PartId, u64) -> u64,
    ) -> Vec<Conviction> {
        let is_ripe = |part, at_ms| ripe_at_ms(part, at_ms) <= now_ms;
        let weights = self.request_weights(is_ripe);
        let mut convicted = Vec::new();
        for request in weights.keys() {
            let group = self.indistinct_requests(*request, &weights);
            let part = *request;
            convicted.push(Conviction { part, group });
        }
        let requests: BTreeSet<PartId> = weights.into_keys().collect();
        let mut parts = BTreeSet::new();
        while let Some(group) = heaviest_parts(&self.part_weights(&parts, &requests, is_ripe)) {
            parts.extend(group.iter().copied());
            for part in &group {
                let (part, group) = (*part, group.clone());
                convicted.push(Conviction { part, group });
            }
        }
        convicted
    }

    /// Returns the weights of the requests for which they suffice for a conviction.
    fn request_weights(&self, is_ripe: impl Fn(PartId, u64) -> bool) -> BTreeMap<PartId, u32> {
        let mut weights: BTreeMap<PartId, u32> = BTreeMap::new();
        for crash in &self.crashes {
            for (request, weight) in crash.request_weights() {
                if is_ripe(*request, crash.at_ms) {
                    *weights.entry(*request).or_default() += weight;
                }
            }
        }
        weights.retain(|_, weight| *weight >= CONVICTION_WEIGHT);
        weights
    }

    /// Returns a convicted request and those of its weight and above that were in most of its
    /// crashes.
    fn indistinct_requests(
        &self,
        request: PartId,
        weights: &BTreeMap<PartId, u32>,
    ) -> BTreeSet<PartId> {
        let own_weight = weights.get(&request);
        let mut group = BTreeSet::new();
        for (other, weight) in weights {
            if Some(weight) >= own_weight && self.are_mostly_together(request, *other) {
                group.insert(*other);
            }
        }
        group
    }

    /// Returns whether `other` was in most of the crashes of `request`.
    fn are_mostly_together(&self, request: PartId, other: PartId) -> bool {
        let mut crashes = 0;
        let mut common = 0;
        for crash in &self.crashes {
            if !crash.contains(request) {
                continue;
            }
            crashes += 1;
            common += u32::from(crash.contains(other));
        }
        2 * common > crashes
    }

    /// Returns the weights of all parts in the crashes that contain none of `explained_by`.
    ///
    /// `causes` are the convicted requests.
    fn part_weights(
        &self,
        explained_by: &BTreeSet<PartId>,
        causes: &BTreeSet<PartId>,
        is_ripe: impl Fn(PartId, u64) -> bool,
    ) -> Weights {
        let mut weights = Weights::new();
        for crash in &self.crashes {
            if crash.contains_any(explained_by) {
                continue;
            }
            for found in crash.part_weights(causes) {
                if !is_ripe(found.part, crash.at_ms) {
                    continue;
                }
                let by_request = weights.entry(found.part).or_default();
                let sum = by_request.entry(found.request).or_default();
                *sum = (*sum + found.weight).min(REQUEST_WEIGHT_MAX);
            }
        }
        weights
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while self
            .crashes
            .front()
            .is_some_and(|crash| crash.at_ms + CRASH_TTL_MS <= now_ms)
        {
            self.crashes.pop_front();
        }
    }
}

/// Returns a part with the highest weight, if that suffices for a conviction, together with those
/// that were in the same requests.
fn heaviest_parts(weights: &Weights) -> Option<BTreeSet<PartId>> {
    let mut highest = CONVICTION_WEIGHT - 1;
    let mut heaviest = None;
    for by_request in weights.values() {
        let weight: u32 = by_request.values().sum();
        if weight > highest {
            highest = weight;
            heaviest = Some(by_request);
        }
    }
    let heaviest = heaviest?;
    let mut group = BTreeSet::new();
    for (part, by_request) in weights {
        if by_request == heaviest {
            group.insert(*part);
        }
    }
    Some(group)
}
