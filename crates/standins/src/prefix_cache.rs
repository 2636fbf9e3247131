//! The engine's cache of prompt prefixes and the late events about it.

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, VecDeque};
use xxhash_rust::xxh3::Xxh3;

/// The size of a block of prompt text.
pub(crate) const BLOCK_BYTES: usize = 256;

/// The events that can still be read.
const MAX_EVENTS: usize = 8192;

/// Returns the hash of every prefix of `prompt` that is made of whole blocks, shortest first.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    let mut hashes = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
    for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
        hasher.update(block);
        hashes.push(hasher.digest());
    }
    hashes
}

/// A least recently used set of prefixes.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    used_at: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<Event>,
    next_event: u64,
    random: StdRng,
}

/// A change of the cache.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Event {
    seq: u64,
    kind: &'static str,
    prefix_hash: String,
    #[serde(skip)]
    at_ms: u64,
}

/// What decides how events appear.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EventFaults {
    pub(crate) now_ms: u64,
    pub(crate) gap_probability: f64,
}

impl PrefixCache {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            used_at: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            next_event: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Stores a prompt's prefixes and returns how many were there already.
    pub(crate) fn store(
        &mut self,
        hashes: &[u64],
        max_blocks: usize,
        faults: EventFaults,
    ) -> usize {
        let mut cached = 0;
        for hash in hashes {
            if !self.used_at.contains_key(hash) {
                break;
            }
            cached += 1;
        }
        // Longest first, so that a prefix is used later than its extensions and outlives them.
        for hash in hashes.iter().rev() {
            self.touch(*hash, faults);
        }
        while self.used_at.len() > max_blocks {
            let Some((_, hash)) = self.by_use.pop_first() else {
                break;
            };
            self.used_at.remove(&hash);
            self.report("evicted", hash, faults);
        }
        cached
    }

    pub(crate) fn contains(&self, hash: u64) -> bool {
        self.used_at.contains_key(&hash)
    }

    /// Returns the events from `from` on that are at least `lag_ms` old, and where to go on.
    pub(crate) fn events(&self, from: u64, now_ms: u64, lag_ms: u64) -> (u64, Vec<Event>) {
        let mut next = from;
        let mut events = Vec::new();
        for event in &self.events {
            if event.at_ms + lag_ms > now_ms {
                break;
            }
            if event.seq < from {
                continue;
            }
            next = event.seq + 1;
            events.push(event.clone());
        }
        (next, events)
    }

    fn touch(&mut self, hash: u64, faults: EventFaults) {
        self.uses += 1;
        match self.used_at.insert(hash, self.uses) {
            Some(earlier) => {
                self.by_use.remove(&earlier);
            }
            None => self.report("stored", hash, faults),
        }
        self.by_use.insert(self.uses, hash);
    }

    fn report(&mut self, kind: &'static str, hash: u64, faults: EventFaults) {
        let seq = self.next_event;
        self.next_event += 1;
        let probability = faults.gap_probability;
        if probability > 0.0 && self.random.random_bool(probability.min(1.0)) {
            return;
        }
        let prefix_hash = format!("{hash:016x}");
        self.events.push_back(Event {
            seq,
            kind,
            prefix_hash,
            at_ms: faults.now_ms,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
