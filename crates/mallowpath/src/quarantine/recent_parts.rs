//! The prompt parts of answers that were completed lately.

use crate::quarantine::part_id::PartId;
use std::{collections::HashSet, mem};

/// How long a part is remembered at least; at most twice as long.
const MEMORY_MS: u64 = 10_000;

/// The maximum number of parts that are inserted within [`MEMORY_MS`].
const PARTS_MAX: usize = 4_096;

/// A set that forgets parts some time after they were inserted.
#[derive(Debug, Default)]
pub(super) struct RecentParts {
    current: HashSet<PartId>,
    previous: HashSet<PartId>,
    current_since_ms: u64,
}

impl RecentParts {
    pub(super) fn insert(&mut self, part: PartId, now_ms: u64) {
        if now_ms >= self.current_since_ms + MEMORY_MS {
            self.previous = mem::take(&mut self.current);
            self.current_since_ms = now_ms;
        }
        if self.current.len() < PARTS_MAX {
            self.current.insert(part);
        }
    }

    pub(super) fn contains(&self, part: PartId, now_ms: u64) -> bool {
        let is_outdated = now_ms >= self.current_since_ms + 2 * MEMORY_MS;
        !is_outdated && (self.current.contains(&part) || self.previous.contains(&part))
    }
}
