//! The bills that a sidecar or witness router keeps for routers until they are in the log.

use crate::{
    Bill, BillWatermark, GrantId, Incarnation, RecordedBill, RequestId, SliceId, SlicePart, Tokens,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::RangeInclusive,
};

/// The maximum number of requests listed in one heartbeat.
const MAX_HEARTBEAT_REQUESTS: usize = 64;

/// The bills that one process keeps, and the tokens billed to each slice.
#[derive(Debug, Default)]
pub struct KeptBills {
    bills: BTreeMap<RequestId, Bill>,
    /// Requests whose bills another router has logged and that the watermark of their own router
    /// does not cover yet.
    logged_elsewhere: BTreeSet<RequestId>,
    logged_below: BTreeMap<Incarnation, u64>,
    billed: BTreeMap<Incarnation, BTreeMap<(GrantId, SliceId), Tokens>>,
    sealed: BTreeSet<Incarnation>,
}

/// A sidecar's confirmation that it runs nothing for a fenced router and never will again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarConfirmation {
    /// The incarnation of the sidecar.
    pub sidecar: Incarnation,
    /// The fenced router.
    pub fenced: Incarnation,
    /// The tokens that the sidecar billed to each slice of the router.
    pub billed: Vec<SlicePart>,
}

impl KeptBills {
    /// Keeps a bill and adds its parts to the sums of their slices, once for each request.
    ///
    /// After [`KeptBills::seal`], a new bill of the sealed router is rejected as a conflict.
    pub fn keep(&mut self, bill: Bill) -> RecordedBill {
        let RequestId {
            incarnation,
            sequence,
        } = bill.request;
        if let Some(kept) = self.bills.get(&bill.request) {
            return if *kept == bill {
                RecordedBill::Duplicate
            } else {
                RecordedBill::Conflict
            };
        }
        if self
            .logged_below
            .get(&incarnation)
            .is_some_and(|below| sequence < *below)
        {
            return RecordedBill::Duplicate;
        }
        if self.logged_elsewhere.contains(&bill.request) {
            return RecordedBill::Duplicate;
        }
        if self.sealed.contains(&incarnation) {
            return RecordedBill::Conflict;
        }
        let sums = self.billed.entry(incarnation).or_default();
        for part in &bill.parts {
            let sum = sums.entry((part.grant, part.slice)).or_default();
            *sum = sum.saturating_add(part.tokens);
        }
        self.bills.insert(bill.request, bill);
        RecordedBill::Accepted
    }

    /// Discards the bills that a router's watermark covers; an older watermark has no effect.
    pub fn logged_below(&mut self, watermark: BillWatermark) {
        let below = self.logged_below.entry(watermark.router).or_default();
        *below = (*below).max(watermark.logged_below);
        let below = *below;
        let covered = |request: &RequestId| {
            request.incarnation == watermark.router && request.sequence < below
        };
        self.bills.retain(|request, _| !covered(request));
        self.logged_elsewhere.retain(|request| !covered(request));
    }

    /// Discards one bill that another router has logged, and remembers that it was logged.
    ///
    /// The bill's own router may turn out to be live and then has to learn of it through
    /// [`KeptBills::logged_elsewhere`].
    pub fn logged(&mut self, request: RequestId) {
        if self.bills.remove(&request).is_some() {
            self.logged_elsewhere.insert(request);
        }
    }

    /// Returns the requests of a router whose bills other routers have logged.
    pub fn logged_elsewhere(&self, router: Incarnation) -> Vec<RequestId> {
        self.logged_elsewhere
            .range(requests_of(router))
            .copied()
            .collect()
    }

    /// Returns the sequence numbers of [`KeptBills::logged_elsewhere`], limited to what one
    /// heartbeat may carry.
    ///
    /// As the router's watermark advances, it removes these entries and later calls return the
    /// rest.
    pub fn billed_elsewhere(&self, router: Incarnation) -> Vec<u64> {
        let mut sequences = Vec::new();
        for request in self.logged_elsewhere.range(requests_of(router)) {
            if sequences.len() >= MAX_HEARTBEAT_REQUESTS {
                break;
            }
            sequences.push(request.sequence);
        }
        sequences
    }

    /// Discards the state of a router whose requests are all billed and whose grants are all
    /// closed.
    ///
    /// The router stays sealed.
    pub fn forget_router(&mut self, router: Incarnation) {
        self.sealed.insert(router);
        self.logged_below(BillWatermark {
            router,
            logged_below: u64::MAX,
        });
        self.logged_below.remove(&router);
        self.billed.remove(&router);
    }

    /// Returns the bills of a lost router, for another router to adopt.
    ///
    /// They are kept until the adopting router reports them as logged.
    pub fn bills_to_hand_over(&self, router: Incarnation) -> Vec<Bill> {
        let mut bills = Vec::new();
        for bill in self.bills.range(requests_of(router)).map(|(_, bill)| bill) {
            bills.push(bill.clone());
        }
        bills
    }

    /// Discards the sums of closed grants.
    ///
    /// The argument lists the closed grants and not the open ones: a delayed list of open grants
    /// would remove the sums of newer grants, whose spent tokens would then count as unspent.
    pub fn forget_grants(&mut self, closed: &BTreeSet<GrantId>) {
        for sums in self.billed.values_mut() {
            sums.retain(|(grant, _), _| !closed.contains(grant));
        }
        self.billed.retain(|_, sums| !sums.is_empty());
    }

    /// Seals the bills of a fenced router and returns the tokens billed to its slices.
    ///
    /// Nothing may run for the router at the time of the call, and its new work must be refused.
    pub fn seal(&mut self, sidecar: Incarnation, fenced: Incarnation) -> SidecarConfirmation {
        self.sealed.insert(fenced);
        let mut billed = Vec::new();
        if let Some(sums) = self.billed.get(&fenced) {
            for ((grant, slice), tokens) in sums {
                billed.push(SlicePart {
                    slice: *slice,
                    grant: *grant,
                    tokens: *tokens,
                });
            }
        }
        SidecarConfirmation {
            sidecar,
            fenced,
            billed,
        }
    }

    /// Returns whether the bills of a router are sealed.
    pub fn is_sealed(&self, router: Incarnation) -> bool {
        self.sealed.contains(&router)
    }

    /// Returns the bill of a request, if it is kept.
    pub fn get(&self, request: RequestId) -> Option<&Bill> {
        self.bills.get(&request)
    }

    /// Returns the number of kept bills.
    pub fn count(&self) -> usize {
        self.bills.len()
    }
}

fn requests_of(router: Incarnation) -> RangeInclusive<RequestId> {
    let first = RequestId {
        incarnation: router,
        sequence: 0,
    };
    let last = RequestId {
        incarnation: router,
        sequence: u64::MAX,
    };
    first..=last
}
