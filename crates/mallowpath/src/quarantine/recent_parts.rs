//! The prompt parts and requests of answers that were completed lately.

use crate::{quarantine::part_id::PartId, recent_map::RecentMap};

/// How long a part is remembered at least; at most twice as long.
const MEMORY_MS: u64 = 10_000;

/// The maximum number of parts, and of requests, that are inserted within [`MEMORY_MS`].
const PARTS_MAX: usize = 4_096;

/// A set of parts that forgets them some time after they were inserted.
#[derive(Debug)]
pub(super) struct RecentParts {
    /// The parts that other requests may contain.
    shared: RecentMap<PartId, ()>,
    /// Whole requests, each of which is usually sent once; they leave the room of the others.
    requests: RecentMap<PartId, ()>,
}

impl Default for RecentParts {
    fn default() -> Self {
        Self {
            shared: RecentMap::new(MEMORY_MS, PARTS_MAX),
            requests: RecentMap::new(MEMORY_MS, PARTS_MAX),
        }
    }
}

impl RecentParts {
    pub(super) fn insert(&mut self, part: PartId, now_ms: u64) {
        let parts = if part.is_request() {
            &mut self.requests
        } else {
            &mut self.shared
        };
        parts.insert(part, (), now_ms);
    }

    pub(super) fn contains(&self, part: PartId, now_ms: u64) -> bool {
        let parts = if part.is_request() {
            &self.requests
        } else {
            &self.shared
        };
        parts.get(&part, now_ms).is_some()
    }
}
