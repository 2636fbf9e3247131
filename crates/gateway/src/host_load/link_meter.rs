//! Measures how much of the host's network link is used.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// The length of the intervals in which bytes are counted, in milliseconds.
const BUCKET_MS: u64 = 50;

/// The number of intervals over which the usage is averaged.
const BUCKETS: usize = 6;

/// The direction of bytes on the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkDirection {
    /// Towards this host.
    Received,
    /// From this host.
    Sent,
}

/// The bytes that were received and sent within a short time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkBytes {
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
}

/// Counts the bytes of the last few intervals.
#[derive(Debug, Default)]
pub struct LinkWindow {
    buckets: [LinkBytes; BUCKETS],
    /// The number of the newest interval since the start.
    newest: u64,
}

impl LinkWindow {
    /// Counts bytes at `now_ms`.
    pub fn record(&mut self, direction: LinkDirection, bytes: usize, now_ms: u64) {
        self.advance(now_ms);
        let bucket = &mut self.buckets[bucket_index(self.newest)];
        let counter = match direction {
            LinkDirection::Received => &mut bucket.received,
            LinkDirection::Sent => &mut bucket.sent,
        };
        *counter = counter.saturating_add(bytes as u64);
    }

    /// Returns the bytes of the window that ends at `now_ms`, whose newest interval is not over, and
    /// the window's length in milliseconds.
    pub fn bytes(&mut self, now_ms: u64) -> (LinkBytes, u64) {
        self.advance(now_ms);
        let mut sum = LinkBytes::default();
        for bucket in &self.buckets {
            sum.received += bucket.received;
            sum.sent += bucket.sent;
        }
        let full_buckets = (BUCKETS as u64 - 1).min(self.newest);
        (sum, full_buckets * BUCKET_MS + now_ms % BUCKET_MS + 1)
    }

    /// Empties the intervals that have begun since the newest one.
    fn advance(&mut self, now_ms: u64) {
        let newest = now_ms / BUCKET_MS;
        let begun = newest.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 0..begun {
            self.buckets[bucket_index(newest - step)] = LinkBytes::default();
        }
        self.newest = self.newest.max(newest);
    }
}

fn bucket_index(number: u64) -> usize {
    usize::try_from(number % BUCKETS as u64).unwrap_or_default()
}

/// Measures the usage of the host's link, as far as it is this process's.
#[derive(Debug)]
pub struct LinkMeter {
    started_at: Instant,
    /// No other lock is acquired while this one is held.
    window: Mutex<LinkWindow>,
}

impl Default for LinkMeter {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            window: Mutex::default(),
        }
    }
}

impl LinkMeter {
    /// Counts bytes.
    pub fn record(&self, direction: LinkDirection, bytes: usize) {
        let now_ms = self.now_ms();
        self.lock().record(direction, bytes, now_ms);
    }

    /// Returns the bytes of the last moments and the time that these took, in milliseconds.
    pub fn bytes(&self) -> (LinkBytes, u64) {
        let now_ms = self.now_ms();
        self.lock().bytes(now_ms)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, LinkWindow> {
        self.window.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
