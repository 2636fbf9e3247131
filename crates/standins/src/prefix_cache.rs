//! The prefix cache of the simulated engine and its delayed events.

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, VecDeque};
use xxhash_rust::xxh3::Xxh3;

/// The size of a block of prompt text, the unit of caching.
pub(crate) const BLOCK_BYTES: usize = 256;

/// The number of events retained; the oldest are dropped first.
const MAX_EVENTS: usize = 8192;

/// Returns the hash of every prefix of `prompt` that consists of whole blocks, shortest first.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    let mut hashes = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
    for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
        hasher.update(block);
        hashes.push(hasher.digest());
    }
    hashes
}

/// A set of prefix hashes with least-recently-used eviction.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    last_use_by_hash: HashMap<u64, u64>,
    hash_by_last_use: BTreeMap<u64, u64>,
    use_counter: u64,
    events: VecDeque<Event>,
    next_seq: u64,
    random: StdRng,
}

/// A prefix stored in the cache or evicted from it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Event {
    seq: u64,
    kind: &'static str,
    prefix_hash: String,
    #[serde(skip)]
    at_ms: u64,
}

/// The time of an event and the probability that it is lost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EventOptions {
    pub(crate) now_ms: u64,
    pub(crate) gap_probability: f64,
}

impl PrefixCache {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            last_use_by_hash: HashMap::new(),
            hash_by_last_use: BTreeMap::new(),
            use_counter: 0,
            events: VecDeque::new(),
            next_seq: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Stores the prefixes of a prompt and returns how many leading blocks were cached.
    pub(crate) fn store(
        &mut self,
        hashes: &[u64],
        max_blocks: usize,
        options: EventOptions,
    ) -> usize {
        let mut cached_blocks = 0;
        for hash in hashes {
            if !self.last_use_by_hash.contains_key(hash) {
                break;
            }
            cached_blocks += 1;
        }
        // Longest first: a prefix is used later than its extensions, so it is evicted after them.
        for hash in hashes.iter().rev() {
            self.touch(*hash, options);
        }
        while self.last_use_by_hash.len() > max_blocks {
            let Some((_, hash)) = self.hash_by_last_use.pop_first() else {
                break;
            };
            self.last_use_by_hash.remove(&hash);
            self.push_event("evicted", hash, options);
        }
        cached_blocks
    }

    pub(crate) fn contains(&self, hash: u64) -> bool {
        self.last_use_by_hash.contains_key(&hash)
    }

    /// Returns the events from sequence number `from` on that are at least `lag_ms` old.
    ///
    /// The first value is the sequence number from which to read next.
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

    fn touch(&mut self, hash: u64, options: EventOptions) {
        self.use_counter += 1;
        match self.last_use_by_hash.insert(hash, self.use_counter) {
            Some(previous_use) => {
                self.hash_by_last_use.remove(&previous_use);
            }
            None => self.push_event("stored", hash, options),
        }
        self.hash_by_last_use.insert(self.use_counter, hash);
    }

    /// Appends an event, or skips its sequence number to simulate a lost event.
    fn push_event(&mut self, kind: &'static str, hash: u64, options: EventOptions) {
        let seq = self.next_seq;
        self.next_seq += 1;
        let probability = options.gap_probability;
        if probability > 0.0 && self.random.random_bool(probability.min(1.0)) {
            return;
        }
        let prefix_hash = format!("{hash:016x}");
        self.events.push_back(Event {
            seq,
            kind,
            prefix_hash,
            at_ms: options.now_ms,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
