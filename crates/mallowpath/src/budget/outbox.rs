//! Reliable appends of records to a ledger stream.

use crate::{Incarnation, KeeperSettings, LedgerBatch, LedgerRecord};

/// The longest wait between attempts, in retry periods.
const MAX_BACKOFF_FACTOR: u64 = 10;

/// Batches the records of one author and offers each batch again until it is read back.
///
/// Only one batch is in flight at a time, so that draws reach the log in the order of their
/// sequence numbers.
#[derive(Debug)]
pub(crate) struct Outbox {
    author: Incarnation,
    last_sequence: u64,
    queue: Vec<LedgerRecord>,
    /// The theoretical arrival time of the next batch at one batch per interval (GCRA).
    theoretical_arrival_ms: u64,
    in_flight: Option<InFlight>,
}

#[derive(Debug)]
struct InFlight {
    batch: LedgerBatch,
    last_attempt_ms: u64,
    attempts: u64,
}

impl Outbox {
    pub(crate) fn new(author: Incarnation) -> Self {
        Self {
            author,
            last_sequence: 0,
            queue: Vec::new(),
            theoretical_arrival_ms: 0,
            in_flight: None,
        }
    }

    /// Returns whether no record is queued or in flight.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    pub(crate) fn push(&mut self, record: LedgerRecord) {
        self.queue.push(record);
    }

    /// Returns the expected wait for the log: the delay after the latest attempt of the batch in
    /// flight, or one retry period.
    pub(crate) fn expected_wait_ms(&self, settings: &KeeperSettings) -> u64 {
        let attempts = self
            .in_flight
            .as_ref()
            .map_or(1, |in_flight| in_flight.attempts);
        linear_backoff_ms(settings.retry_ms, attempts)
    }

    /// Acknowledges the batch in flight if it is the one that was read from the stream.
    pub(crate) fn read_back(&mut self, batch: &LedgerBatch) {
        let Some(in_flight) = &self.in_flight else {
            return;
        };
        let own = batch.author == self.author.0;
        if own && batch.sequence == in_flight.batch.sequence {
            self.in_flight = None;
        }
    }

    /// Returns the batch to append now, if any: the batch in flight when its retry is due, else a
    /// new batch when the rate limit allows one.
    pub(crate) fn next_batch(
        &mut self,
        settings: &KeeperSettings,
        now_ms: u64,
    ) -> Option<LedgerBatch> {
        if let Some(in_flight) = &mut self.in_flight {
            let wait_ms = linear_backoff_ms(settings.retry_ms, in_flight.attempts);
            if now_ms.saturating_sub(in_flight.last_attempt_ms) < wait_ms {
                return None;
            }
            in_flight.last_attempt_ms = now_ms;
            in_flight.attempts += 1;
            return Some(in_flight.batch.clone());
        }
        let burst_ms = settings
            .batch_interval_ms
            .saturating_mul(settings.batch_burst);
        if self.queue.is_empty() || self.theoretical_arrival_ms > now_ms.saturating_add(burst_ms) {
            return None;
        }
        self.theoretical_arrival_ms = self
            .theoretical_arrival_ms
            .max(now_ms)
            .saturating_add(settings.batch_interval_ms);
        let count = self.queue.len().min(settings.max_batch_records.max(1));
        let records = self.queue.drain(..count).collect();
        self.last_sequence += 1;
        let batch = LedgerBatch {
            author: self.author.0,
            sequence: self.last_sequence,
            records,
        };
        let in_flight = InFlight {
            batch: batch.clone(),
            last_attempt_ms: now_ms,
            attempts: 1,
        };
        self.in_flight = Some(in_flight);
        Some(batch)
    }
}

/// Returns the delay after an attempt, which increases linearly up to a limit so that retries don't
/// overload a slow log.
pub(crate) fn linear_backoff_ms(retry_ms: u64, attempts: u64) -> u64 {
    retry_ms.saturating_mul(attempts.clamp(1, MAX_BACKOFF_FACTOR))
}
