//! Replay of the bill streams into totals that count each request once.

use crate::{Bill, BillBatch, BudgetId, Incarnation, RequestId, Tokens, WorkspaceId};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of conflicting copies that are listed; further ones are only counted.
const MAX_LISTED_CONFLICTS: usize = 1_000;

/// The number of bills and the tokens billed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BillTotal {
    /// The number of bills.
    pub bills: u64,
    /// The tokens billed.
    pub tokens: Tokens,
}

/// Two bills of one request with different amounts or budgets; the one read first counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BillConflict {
    /// The request.
    pub request: RequestId,
    /// The amount of the bill that counts.
    pub counted: Tokens,
    /// The amount of the other copy.
    pub found: Tokens,
}

/// The totals of the bill streams read so far.
///
/// The audit remembers only the requests above the watermark that each router writes into its
/// batches, so its memory use is bounded by the number of requests in progress, plus the bills that
/// routers logged for others. All batches of a router are in one stream.
#[derive(Debug, Default)]
pub struct BillAudit {
    budgets: BTreeMap<BudgetId, BillTotal>,
    workspaces: BTreeMap<WorkspaceId, BillTotal>,
    routers: BTreeMap<Incarnation, RouterRequests>,
    closed: BTreeSet<Incarnation>,
    /// Bills that other routers logged. The watermark of the request's own router does not apply.
    adopted: BTreeMap<RequestId, CountedBill>,
    conflicts: Vec<BillConflict>,
    conflict_count: u64,
    duplicate_count: u64,
    malformed_count: u64,
}

#[derive(Debug, Default)]
struct RouterRequests {
    logged_below: u64,
    counted_above: BTreeMap<u64, CountedBill>,
}

#[derive(Debug, Clone)]
struct CountedBill {
    tokens: Tokens,
    budget: BudgetId,
}

impl CountedBill {
    fn of(bill: &Bill) -> Self {
        Self {
            tokens: bill.amount(),
            budget: bill.budget.clone(),
        }
    }
}

impl BillAudit {
    /// Counts the bills of a batch that its author logged for other routers.
    ///
    /// A router that was wrongly considered lost closes such a request without appending a bill,
    /// and its watermark passes the request. These bills therefore have to be counted in all
    /// streams before [`BillAudit::apply_own`] is called for any batch.
    pub fn apply_adopted(&mut self, batch: &BillBatch) {
        for record in &batch.bills {
            let Some(bill) = Bill::from_record(record) else {
                continue;
            };
            if bill.request.incarnation == Incarnation(batch.author) {
                continue;
            }
            if !self.record_if_adopted_copy(&bill) {
                self.adopted.insert(bill.request, CountedBill::of(&bill));
                self.add_to_totals(&bill);
            }
        }
    }

    /// Counts the bills of the author's own requests in a batch, except those counted before.
    pub fn apply_own(&mut self, batch: &BillBatch) {
        let mut own = BillBatch {
            bills: Vec::new(),
            ..batch.clone()
        };
        for record in &batch.bills {
            if record.request.incarnation == batch.author {
                own.bills.push(record.clone());
            }
        }
        self.apply(&own);
    }

    /// Counts all bills of a batch except those counted before, including bills of lost routers.
    pub fn apply(&mut self, batch: &BillBatch) {
        for record in &batch.bills {
            match Bill::from_record(record) {
                Some(bill) => self.count(&bill),
                None => self.malformed_count += 1,
            }
        }
        let requests = self.routers.entry(Incarnation(batch.author)).or_default();
        if batch.logged_below > requests.logged_below {
            requests.logged_below = batch.logged_below;
            requests.counted_above = requests.counted_above.split_off(&batch.logged_below);
        }
    }

    fn count(&mut self, bill: &Bill) {
        if self.record_if_adopted_copy(bill) {
            return;
        }
        let RequestId {
            incarnation,
            sequence,
        } = bill.request;
        let requests = self.routers.entry(incarnation).or_default();
        if sequence < requests.logged_below || self.closed.contains(&incarnation) {
            self.duplicate_count += 1;
            return;
        }
        if let Some(counted) = requests.counted_above.get(&sequence) {
            let counted = counted.clone();
            self.record_copy(bill, &counted);
            return;
        }
        requests
            .counted_above
            .insert(sequence, CountedBill::of(bill));
        self.add_to_totals(bill);
    }

    /// Records the bill as a copy if another router logged the request; returns whether that is so.
    fn record_if_adopted_copy(&mut self, bill: &Bill) -> bool {
        let Some(counted) = self.adopted.get(&bill.request).cloned() else {
            return false;
        };
        self.record_copy(bill, &counted);
        true
    }

    fn record_copy(&mut self, bill: &Bill, counted: &CountedBill) {
        self.duplicate_count += 1;
        let found = bill.amount();
        if counted.tokens == found && counted.budget == bill.budget {
            return;
        }
        self.conflict_count += 1;
        if self.conflicts.len() < MAX_LISTED_CONFLICTS {
            self.conflicts.push(BillConflict {
                request: bill.request,
                counted: counted.tokens,
                found,
            });
        }
    }

    fn add_to_totals(&mut self, bill: &Bill) {
        let amount = bill.amount();
        let budget = self.budgets.entry(bill.budget.clone()).or_default();
        budget.add(amount);
        let workspace = self.workspaces.entry(bill.workspace.clone()).or_default();
        workspace.add(amount);
    }

    /// Discards the requests of a lost router; later bills of the router count as duplicates.
    ///
    /// No sidecar or witness may still keep a bill of the router at the time of the call.
    pub fn close(&mut self, router: Incarnation) {
        self.routers.remove(&router);
        self.closed.insert(router);
    }

    /// Returns the total billed to each budget.
    pub fn budgets(&self) -> &BTreeMap<BudgetId, BillTotal> {
        &self.budgets
    }

    /// Returns the total billed to each workspace.
    pub fn workspaces(&self) -> &BTreeMap<WorkspaceId, BillTotal> {
        &self.workspaces
    }

    /// Returns the conflicting copies, up to a limit.
    pub fn conflicts(&self) -> &[BillConflict] {
        &self.conflicts
    }

    /// Returns the number of conflicting copies.
    pub fn conflict_count(&self) -> u64 {
        self.conflict_count
    }

    /// Returns the number of copies that were not counted, including conflicting ones.
    pub fn duplicate_count(&self) -> u64 {
        self.duplicate_count
    }

    /// Returns the number of bills that could not be decoded.
    pub fn malformed_count(&self) -> u64 {
        self.malformed_count
    }

    /// Returns the number of requests remembered above the watermarks of their routers.
    pub fn remembered_requests(&self) -> usize {
        self.routers
            .values()
            .map(|requests| requests.counted_above.len())
            .sum()
    }
}

impl BillTotal {
    fn add(&mut self, tokens: Tokens) {
        self.bills += 1;
        self.tokens = self.tokens.saturating_add(tokens);
    }
}
