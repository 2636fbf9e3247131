//! Tracks which backend servers have recently processed, and so cached, which prompt parts.

use mallowpath::BackendId;
use std::collections::{HashMap, VecDeque};

/// The maximum number of backend servers recorded for one part.
const LOCATIONS_PER_PART_MAX: usize = 3;

/// The backend servers that have cached each prompt part.
///
/// At capacity, the part that was inserted first is evicted.
#[derive(Debug)]
pub struct PrefixMap {
    locations: HashMap<u64, Vec<CacheLocation>>,
    /// Parts in the order of insertion.
    insertion_order: VecDeque<u64>,
    parts_max: usize,
    ttl_ms: u64,
}

#[derive(Debug, Clone)]
struct CacheLocation {
    backend: BackendId,
    used_at_ms: u64,
}

impl PrefixMap {
    /// Returns an empty map of at most `parts_max` parts; a location expires `ttl_ms` after its
    /// last use.
    pub fn new(parts_max: usize, ttl_ms: u64) -> Self {
        Self {
            locations: HashMap::new(),
            insertion_order: VecDeque::new(),
            parts_max,
            ttl_ms,
        }
    }

    /// Returns whether `backend` has recently processed the part.
    pub fn is_cached_at(&self, part: u64, backend: &BackendId, now_ms: u64) -> bool {
        let Some(locations) = self.locations.get(&part) else {
            return false;
        };
        locations
            .iter()
            .any(|location| location.backend == *backend && self.is_fresh(location, now_ms))
    }

    /// Returns whether any backend server has recently processed the part.
    pub fn is_cached_anywhere(&self, part: u64, now_ms: u64) -> bool {
        let Some(locations) = self.locations.get(&part) else {
            return false;
        };
        locations
            .iter()
            .any(|location| self.is_fresh(location, now_ms))
    }

    /// Records that `backend` processes the part.
    pub fn insert(&mut self, part: u64, backend: &BackendId, now_ms: u64) {
        if !self.locations.contains_key(&part) {
            self.evict_oldest();
            self.insertion_order.push_back(part);
        }
        let locations = self.locations.entry(part).or_default();
        locations.retain(|location| location.backend != *backend);
        locations.insert(
            0,
            CacheLocation {
                backend: backend.clone(),
                used_at_ms: now_ms,
            },
        );
        locations.truncate(LOCATIONS_PER_PART_MAX);
    }

    /// Removes a backend server, whose cache is lost.
    pub fn remove(&mut self, backend: &BackendId) {
        for locations in self.locations.values_mut() {
            locations.retain(|location| location.backend != *backend);
        }
    }

    fn is_fresh(&self, location: &CacheLocation, now_ms: u64) -> bool {
        now_ms < location.used_at_ms + self.ttl_ms
    }

    fn evict_oldest(&mut self) {
        while self.locations.len() >= self.parts_max {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            self.locations.remove(&oldest);
        }
    }
}
