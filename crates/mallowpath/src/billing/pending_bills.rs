//! The bills of a router, from the reservation of tokens until they are in the log.

use crate::{Bill, BillBatch, Incarnation, RequestId, budget::outbox::linear_backoff_ms};
use std::collections::BTreeMap;

/// Batching and retry settings for appending bills.
#[derive(Debug, Clone)]
pub struct BillSettings {
    /// The minimum time between two new batches, in milliseconds.
    pub interval_ms: u64,
    /// The first delay before a batch whose append was not confirmed is appended again, in
    /// milliseconds; later delays back off.
    pub retry_ms: u64,
    /// The maximum number of bills in one batch.
    pub max_batch_bills: usize,
}

/// The requests of a router that may still run or whose bills are not in the log.
///
/// The bills that it adopted from other routers are included.
#[derive(Debug)]
pub struct PendingBills {
    router: Incarnation,
    settings: BillSettings,
    entries: BTreeMap<RequestId, Entry>,
    next_request: u64,
    last_sequence: u64,
    last_batch_ms: Option<u64>,
    in_flight: Option<InFlightBatch>,
}

/// The state of a bill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BillState {
    /// The request may still run.
    Reserved,
    /// The amount is known, but processes of only one availability zone hold the bill.
    HeldInOneZone,
    /// Processes in two availability zones hold the bill, so the answer may be declared complete.
    Safe,
    /// The bill is in the log.
    Logged,
}

/// The result of recording a bill in a [`PendingBills`] or [`KeptBills`](crate::KeptBills).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordedBill {
    /// The bill was accepted.
    Accepted,
    /// An equal bill was accepted before, or the request is closed.
    Duplicate,
    /// A different bill of the request was accepted before and stays in force, or the bills of the
    /// router are sealed.
    Conflict,
}

/// A sequence number below which each of a router's own requests has its bill in the log or will
/// never have one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BillWatermark {
    /// The router.
    pub router: Incarnation,
    /// The first sequence number that the watermark does not cover.
    pub logged_below: u64,
}

/// The number of bills in each state, for the state dump.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BillCounts {
    /// Requests that may still run.
    pub reserved: usize,
    /// Bills held in one availability zone.
    pub held_in_one_zone: usize,
    /// Bills held in two availability zones.
    pub safe: usize,
}

#[derive(Debug)]
enum Entry {
    Reserved,
    Held { bill: Bill, safe: bool },
}

#[derive(Debug)]
struct InFlightBatch {
    batch: BillBatch,
    requests: Vec<RequestId>,
    last_append_ms: u64,
    attempts: u64,
}

impl PendingBills {
    /// Creates the bills of a router without requests.
    pub fn new(router: Incarnation, settings: BillSettings) -> Self {
        Self {
            router,
            settings,
            entries: BTreeMap::new(),
            next_request: 1,
            last_sequence: 0,
            last_batch_ms: None,
            in_flight: None,
        }
    }

    /// Opens a request and returns its identifier.
    pub fn open(&mut self) -> RequestId {
        let request = RequestId {
            incarnation: self.router,
            sequence: self.next_request,
        };
        self.next_request += 1;
        self.entries.insert(request, Entry::Reserved);
        request
    }

    /// Closes a request without a bill.
    ///
    /// The request must neither have run nor be able to run later, because the watermark then tells
    /// sidecars that it will have no bill. A request that already has its bill is left unchanged.
    pub fn abandon(&mut self, request: RequestId) {
        if matches!(self.entries.get(&request), Some(Entry::Reserved)) {
            self.entries.remove(&request);
        }
    }

    /// Records the bill of an open request.
    ///
    /// `safe` states that the request's sidecar holds the bill in another availability zone.
    pub fn finish(&mut self, bill: Bill, safe: bool) -> RecordedBill {
        match self.entries.get_mut(&bill.request) {
            Some(Entry::Held {
                bill: recorded,
                safe: recorded_safe,
            }) => {
                if *recorded != bill {
                    return RecordedBill::Conflict;
                }
                *recorded_safe |= safe;
                RecordedBill::Duplicate
            }
            Some(entry) => {
                *entry = Entry::Held { bill, safe };
                RecordedBill::Accepted
            }
            None => RecordedBill::Duplicate,
        }
    }

    /// Records a bill that a sidecar or witness kept for a lost router.
    pub fn adopt(&mut self, bill: Bill) -> RecordedBill {
        if bill.request.incarnation == self.router {
            return self.finish(bill, false);
        }
        self.entries.entry(bill.request).or_insert(Entry::Reserved);
        self.finish(bill, false)
    }

    /// Marks a bill as held by a process in a second availability zone.
    pub fn mark_safe(&mut self, request: RequestId) {
        if let Some(Entry::Held { safe, .. }) = self.entries.get_mut(&request) {
            *safe = true;
        }
    }

    /// Returns the state of a request, or `None` if it was never opened here or is an adopted one
    /// whose bill is in the log.
    ///
    /// An own request that was closed without a bill counts as logged, as no bill is outstanding.
    pub fn state(&self, request: RequestId) -> Option<BillState> {
        match self.entries.get(&request) {
            Some(Entry::Reserved) => Some(BillState::Reserved),
            Some(Entry::Held { safe: false, .. }) => Some(BillState::HeldInOneZone),
            Some(Entry::Held { safe: true, .. }) => Some(BillState::Safe),
            None => {
                let own = request.incarnation == self.router;
                (own && request.sequence < self.next_request).then_some(BillState::Logged)
            }
        }
    }

    /// Returns the bills that are held in one availability zone only.
    pub fn unsafe_bills(&self) -> Vec<&Bill> {
        let mut bills = Vec::new();
        for entry in self.entries.values() {
            if let Entry::Held { bill, safe: false } = entry {
                bills.push(bill);
            }
        }
        bills
    }

    /// Makes the next batch due immediately, for an answer that waits for its bill.
    ///
    /// The retry delay of a batch in flight does not change.
    pub fn make_batch_due(&mut self) {
        self.last_batch_ms = None;
    }

    /// Returns the batch to append now, if any.
    ///
    /// At most one batch is in flight. It is returned again, unchanged, after each retry delay
    /// until [`PendingBills::appended`] is called with its sequence number.
    pub fn batch(&mut self, now_ms: u64) -> Option<BillBatch> {
        if let Some(in_flight) = &mut self.in_flight {
            let wait_ms = linear_backoff_ms(self.settings.retry_ms, in_flight.attempts);
            if now_ms.saturating_sub(in_flight.last_append_ms) < wait_ms {
                return None;
            }
            in_flight.last_append_ms = now_ms;
            in_flight.attempts += 1;
            return Some(in_flight.batch.clone());
        }
        let due_ms = self
            .last_batch_ms
            .map_or(0, |last| last.saturating_add(self.settings.interval_ms));
        if now_ms < due_ms {
            return None;
        }
        let mut bills = Vec::new();
        let mut requests = Vec::new();
        for (request, entry) in &self.entries {
            let Entry::Held { bill, .. } = entry else {
                continue;
            };
            if bills.len() >= self.settings.max_batch_bills {
                break;
            }
            bills.push(bill.to_record());
            requests.push(*request);
        }
        if bills.is_empty() {
            return None;
        }
        self.last_sequence += 1;
        self.last_batch_ms = Some(now_ms);
        let logged_below = self.watermark().logged_below;
        let (author, sequence) = (self.router.0, self.last_sequence);
        let batch = BillBatch {
            author,
            sequence,
            logged_below,
            bills,
        };
        self.in_flight = Some(InFlightBatch {
            batch: batch.clone(),
            requests,
            last_append_ms: now_ms,
            attempts: 1,
        });
        Some(batch)
    }

    /// Removes the bills of a batch that is in the log and returns the adopted requests among them.
    ///
    /// The watermark of this router does not cover adopted requests, so the processes that keep
    /// their bills have to be notified of each.
    pub fn appended(&mut self, sequence: u64) -> Vec<RequestId> {
        let mut adopted = Vec::new();
        let Some(in_flight) = self
            .in_flight
            .take_if(|in_flight| in_flight.batch.sequence == sequence)
        else {
            return adopted;
        };
        for request in in_flight.requests {
            self.entries.remove(&request);
            if request.incarnation != self.router {
                adopted.push(request);
            }
        }
        adopted
    }

    /// Closes an own request whose bill another router logged because it considered this one lost.
    pub fn logged_elsewhere(&mut self, request: RequestId) {
        self.entries.remove(&request);
    }

    /// Returns the watermark of this router's own requests; sidecars and witnesses discard the
    /// bills that it covers.
    pub fn watermark(&self) -> BillWatermark {
        let first = RequestId {
            incarnation: self.router,
            sequence: 0,
        };
        let last = RequestId {
            incarnation: self.router,
            sequence: u64::MAX,
        };
        let oldest = self.entries.range(first..=last).next();
        let logged_below = oldest.map_or(self.next_request, |(request, _)| request.sequence);
        BillWatermark {
            router: self.router,
            logged_below,
        }
    }

    /// Counts the bills in each state.
    pub fn counts(&self) -> BillCounts {
        let mut counts = BillCounts::default();
        for entry in self.entries.values() {
            match entry {
                Entry::Reserved => counts.reserved += 1,
                Entry::Held { safe: false, .. } => counts.held_in_one_zone += 1,
                Entry::Held { safe: true, .. } => counts.safe += 1,
            }
        }
        counts
    }
}

impl Default for BillSettings {
    fn default() -> Self {
        Self {
            interval_ms: 5_000,
            retry_ms: 1_000,
            max_batch_bills: 2_048,
        }
    }
}
