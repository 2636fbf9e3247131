//! An estimate of the prompt prefixes that one backend server has in its cache.

use crate::request::estimate::decay_factor;
use std::collections::HashMap;
use xxhash_rust::xxh3::Xxh3;

/// The bytes of prompt text per block of prefix hashes.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// The average number of tokens in a block.
pub const PREFIX_BLOCK_TOKENS: u64 = 64;

/// The most blocks of one prompt that are hashed.
const PREFIX_BLOCKS_MAX: usize = 64;

/// The age at which the confidence in a cached prefix has halved.
const HALF_LIFE_MS: u64 = 300_000;

/// The age that an eviction event adds to a prefix.
///
/// The prefix is almost certainly evicted, but a request sent since may have stored it again.
const EVICTION_AGE_MS: u64 = 4 * HALF_LIFE_MS;

/// Returns the hashes of the first 1, 2, 3, ... whole blocks of a prompt.
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    let mut hashes = Vec::new();
    for block in prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(PREFIX_BLOCKS_MAX)
    {
        hasher.update(block);
        hashes.push(hasher.digest());
    }
    hashes
}

/// The kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheEventKind {
    /// The prefix was put into the cache.
    Stored,
    /// The prefix was dropped from the cache.
    Evicted,
}

/// An event of the prefix cache of a backend server.
#[derive(Debug, Clone, Copy)]
pub struct CacheEvent {
    /// The sequence number of the event among those of its backend server.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The prefix concerned.
    pub prefix_hash: u64,
}

/// A bounded table of the prefixes sent to one backend server, updated by its cache events.
///
/// Events arrive late and with gaps, so they add or age evidence but do not replace it.
#[derive(Debug)]
pub struct PrefixCacheEstimate {
    capacity: usize,
    evidence: HashMap<u64, Evidence>,
    next_seq: Option<u64>,
    /// The sum of the ages that gaps in the events have added to all prefixes held at the time.
    gap_age_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Evidence {
    seen_at_ms: u64,
    /// The `gap_age_ms` of the table when the prefix was last seen.
    gap_age_ms: u64,
    evicted: bool,
}

impl PrefixCacheEstimate {
    /// Makes an empty table of at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            evidence: HashMap::new(),
            next_seq: None,
            gap_age_ms: 0,
        }
    }

    /// Returns the number of prefixes held.
    pub fn len(&self) -> usize {
        self.evidence.len()
    }

    /// Returns whether no prefix is held.
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty()
    }

    /// Records that a prompt with these prefixes was sent.
    pub fn record_sent(&mut self, hashes: &[u64], now_ms: u64) {
        for &hash in hashes {
            self.record_seen(hash, now_ms);
        }
    }

    /// Applies a cache event that arrived at `now_ms`.
    ///
    /// Events that arrive after a later one are ignored.
    pub fn apply_event(&mut self, event: &CacheEvent, now_ms: u64) {
        let expected = self.next_seq.unwrap_or(event.seq);
        if event.seq < expected {
            return;
        }
        self.age_for_gap(event.seq - expected);
        self.next_seq = Some(event.seq + 1);
        match event.kind {
            CacheEventKind::Stored => self.record_seen(event.prefix_hash, now_ms),
            CacheEventKind::Evicted => {
                if let Some(evidence) = self.evidence.get_mut(&event.prefix_hash) {
                    evidence.evicted = true;
                }
            }
        }
    }

    /// Returns the expected number of cached prompt tokens.
    ///
    /// A cached prefix implies that all shorter ones are cached, so each block counts with the
    /// highest confidence of its own prefix and all longer ones.
    pub fn cached_tokens(&self, hashes: &[u64], now_ms: u64) -> f64 {
        let mut confidence = 0.0_f64;
        let mut blocks = 0.0;
        for hash in hashes.iter().rev() {
            confidence = confidence.max(self.confidence(*hash, now_ms));
            blocks += confidence;
        }
        blocks * PREFIX_BLOCK_TOKENS as f64
    }

    fn confidence(&self, hash: u64, now_ms: u64) -> f64 {
        let Some(evidence) = self.evidence.get(&hash) else {
            return 0.0;
        };
        decay_factor(self.age_ms(evidence, now_ms), HALF_LIFE_MS as f64)
    }

    fn age_ms(&self, evidence: &Evidence, now_ms: u64) -> u64 {
        let evicted_ms = if evidence.evicted { EVICTION_AGE_MS } else { 0 };
        now_ms.saturating_sub(evidence.seen_at_ms)
            + (self.gap_age_ms - evidence.gap_age_ms)
            + evicted_ms
    }

    /// Ages all prefixes by the share of them that the missed events may have evicted.
    fn age_for_gap(&mut self, missed: u64) {
        let held = self.evidence.len().max(1) as u64;
        self.gap_age_ms += HALF_LIFE_MS * missed.min(held) / held;
    }

    fn record_seen(&mut self, hash: u64, now_ms: u64) {
        if self.evidence.len() >= self.capacity && !self.evidence.contains_key(&hash) {
            self.drop_oldest_quarter();
        }
        let gap_age_ms = self.gap_age_ms;
        let evidence = Evidence {
            seen_at_ms: now_ms,
            gap_age_ms,
            evicted: false,
        };
        self.evidence.insert(hash, evidence);
    }

    /// Drops the oldest quarter at once, so that the cost per insertion stays constant.
    fn drop_oldest_quarter(&mut self) {
        let mut ages = Vec::with_capacity(self.evidence.len());
        for (hash, evidence) in &self.evidence {
            let evicted = if evidence.evicted { EVICTION_AGE_MS } else { 0 };
            ages.push((evidence.seen_at_ms.saturating_sub(evicted), *hash));
        }
        ages.sort_unstable();
        for (_, hash) in &ages[..(ages.len() / 4).max(1).min(ages.len())] {
            self.evidence.remove(hash);
        }
    }
}
