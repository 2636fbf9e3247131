//! The end of a backend server, with the requests that may have caused it.

use crate::{
    id::BackendId,
    quarantine::crash_report::{AnswerProgress, CrashReport, SuspectRequest},
    quarantine::part_id::PartId,
};
use std::collections::{BTreeMap, BTreeSet};

/// Time within which reports about one incarnation of a backend server are about the same crash.
const SAME_CRASH_MS: u64 = 1_000;

/// The maximum number of suspects of one crash whose parts are kept.
const SUSPECTS_MAX: usize = 32;

/// The maximum number of requests that are kept of one crash.
const REQUESTS_MAX: usize = 128;

/// The weight of a request's parts if its answer had begun; others were perhaps still queued.
const BEGUN_WEIGHT: u32 = 2;

/// The weight of a request's parts if its answer had not begun.
const QUEUED_WEIGHT: u32 = 1;

/// The weight of a whole request whose answer had no event.
const REQUEST_WEIGHT: u32 = 2;

/// The weight of a whole request of whose answer the backend server had sent events.
const STREAMED_REQUEST_WEIGHT: u32 = 1;

/// The end of a backend server, as seen by all routers.
#[derive(Debug)]
pub(super) struct Crash {
    backend: BackendId,
    started_at_ms: Option<u64>,
    pub(super) at_ms: u64,
    /// The requests with parts that other prompts may have in common.
    suspects: Vec<SuspectRequest>,
    /// The weights of all requests.
    requests: BTreeMap<PartId, u32>,
}

/// What one crash says against a part.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartWeight {
    pub(super) part: PartId,
    /// The request with the part that weighs most.
    pub(super) request: PartId,
    pub(super) weight: u32,
}

impl Crash {
    /// Returns the crash that a router reports, which happened at `at_ms`.
    pub(super) fn new(report: CrashReport, at_ms: u64) -> Self {
        let mut crash = Self {
            backend: report.backend,
            started_at_ms: report.started_at_ms,
            at_ms,
            suspects: Vec::new(),
            requests: BTreeMap::new(),
        };
        crash.add_suspects(report.suspects);
        crash
    }

    /// Returns whether a router reports this crash, which it saw at `at_ms`.
    pub(super) fn is_of(&self, report: &CrashReport, at_ms: u64) -> bool {
        self.backend == report.backend
            && self.started_at_ms == report.started_at_ms
            && at_ms.abs_diff(self.at_ms) < SAME_CRASH_MS
    }

    /// Adds suspects as far as there is room; those whose answer had begun replace others.
    pub(super) fn add_suspects(&mut self, suspects: Vec<SuspectRequest>) {
        for suspect in suspects {
            self.add_request(&suspect);
            // A backend server that sent events has survived the parts of the prompt.
            if suspect.progress == AnswerProgress::Events || suspect.parts.is_empty() {
                continue;
            }
            if self.suspects.len() < SUSPECTS_MAX {
                self.suspects.push(suspect);
                continue;
            }
            if suspect.progress == AnswerProgress::Nothing {
                continue;
            }
            let queued = self
                .suspects
                .iter_mut()
                .find(|known| known.progress == AnswerProgress::Nothing);
            if let Some(queued) = queued {
                *queued = suspect;
            }
        }
    }

    fn add_request(&mut self, suspect: &SuspectRequest) {
        if self.requests.len() >= REQUESTS_MAX && !self.requests.contains_key(&suspect.request) {
            return;
        }
        let weight = match suspect.progress {
            AnswerProgress::Nothing | AnswerProgress::Head => REQUEST_WEIGHT,
            AnswerProgress::Events => STREAMED_REQUEST_WEIGHT,
        };
        let known = self.requests.entry(suspect.request).or_default();
        *known = weight.max(*known);
    }

    /// Removes a part; returns whether it was a suspect.
    pub(super) fn remove(&mut self, part: PartId) -> bool {
        if part.is_request() {
            return self.requests.remove(&part).is_some();
        }
        let mut was_suspect = false;
        for suspect in &mut self.suspects {
            let count = suspect.parts.len();
            suspect.parts.retain(|known| *known != part);
            was_suspect |= suspect.parts.len() < count;
        }
        was_suspect
    }

    pub(super) fn contains(&self, part: PartId) -> bool {
        if part.is_request() {
            return self.requests.contains_key(&part);
        }
        let mut suspects = self.suspects.iter();
        suspects.any(|suspect| suspect.parts.contains(&part))
    }

    pub(super) fn contains_any(&self, parts: &BTreeSet<PartId>) -> bool {
        parts.iter().any(|part| self.contains(*part))
    }

    /// Returns whether the backend server ended when it began to answer a request other than
    /// `request` with any of `parts`.
    pub(super) fn has_other_request(&self, request: PartId, parts: &[PartId]) -> bool {
        let mut suspects = self.suspects.iter();
        suspects.any(|suspect| {
            suspect.progress == AnswerProgress::Head
                && suspect.request != request
                && suspect.parts.iter().any(|part| parts.contains(part))
        })
    }

    /// Returns the weights of all whole requests.
    pub(super) fn request_weights(&self) -> &BTreeMap<PartId, u32> {
        &self.requests
    }

    /// Returns the weights of all parts that prompts may have in common.
    ///
    /// If any of the requests that are known to be the cause is in this crash, the parts of others
    /// weigh nothing.
    pub(super) fn part_weights(&self, causes: &BTreeSet<PartId>) -> Vec<PartWeight> {
        let has_cause = self.contains_any(causes);
        let mut heaviest: BTreeMap<PartId, PartWeight> = BTreeMap::new();
        for suspect in &self.suspects {
            if has_cause && !causes.contains(&suspect.request) {
                continue;
            }
            let weight = match suspect.progress {
                AnswerProgress::Nothing => QUEUED_WEIGHT,
                AnswerProgress::Head | AnswerProgress::Events => BEGUN_WEIGHT,
            };
            for part in &suspect.parts {
                let known = heaviest.get(part).map_or(0, |known| known.weight);
                if weight <= known {
                    continue;
                }
                let part_weight = PartWeight {
                    part: *part,
                    request: suspect.request,
                    weight,
                };
                heaviest.insert(*part, part_weight);
            }
        }
        heaviest.into_values().collect()
    }
}
