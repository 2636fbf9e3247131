//! An audit of all ledgers and bill streams of a log.

use crate::{
    billing::bill::BillBatch,
    billing::bill_audit::{BillAudit, BillConflict, BillTotal},
    billing::router_billing::{BILL_STREAMS, bill_stream_name},
    budget::keeper_task::ledger_stream,
    budget::ledger::LEDGER_SHARDS,
    budget::record_outcome::Balance,
    error::Result,
    id::{BudgetId, Offset, Tokens, WorkspaceId},
    stream::follower::Follower,
    stream::ledger_recovery::load_ledger,
    stream::log_client::LogClient,
};
use prost::Message;
use std::{
    collections::BTreeMap,
    fmt::{self, Display},
};

/// The balances in the ledgers of a log and the totals of its bills.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AuditReport {
    /// The budgets, ordered by name.
    pub budgets: BTreeMap<BudgetId, AuditedBudget>,
    /// The total billed to each workspace.
    pub workspaces: BTreeMap<WorkspaceId, BillTotal>,
    /// Bills that differ from an earlier one of the same request, up to a limit.
    pub conflicts: Vec<BillConflict>,
    /// The number of all conflicting bills, including those beyond the limit.
    pub conflict_count: u64,
    /// The number of copies of bills that were not counted.
    pub duplicate_count: u64,
    /// The number of bills that could not be decoded.
    pub malformed_count: u64,
    /// The bill streams whose first records the log service no longer retains; the totals lack the
    /// bills in those records.
    pub truncated_streams: Vec<String>,
}

/// The balance of a budget in its ledger and the total of its bills.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AuditedBudget {
    /// The balance in the ledger; all zero if the ledger does not know the budget.
    pub balance: Balance,
    /// The total of the bills.
    pub billed: BillTotal,
}

impl AuditedBudget {
    /// Returns whether more tokens are billed than the ledger records as spent or granted.
    pub fn is_overbilled(&self) -> bool {
        self.billed.tokens > self.balance.spent.saturating_add(self.balance.open)
    }

    /// Returns whether more tokens are spent than were paid for.
    pub fn is_overspent(&self) -> bool {
        let paid = self.balance.limit.saturating_add(self.balance.top_ups);
        self.balance.spent > paid
    }

    /// Returns the tokens that the ledger records as spent without a bill, such as tokens written
    /// off.
    pub fn unbilled(&self) -> Tokens {
        self.balance.spent.saturating_sub(self.billed.tokens)
    }
}

/// Audits every ledger and every bill that the log service retains.
///
/// # Errors
///
/// Fails when the log service can't be read, or when the log retains neither the beginning nor a
/// checkpoint of a ledger.
pub async fn audit_log(log: &LogClient) -> Result<AuditReport> {
    let mut report = AuditReport::default();
    let mut audit = BillAudit::default();
    // The bills are read before the ledgers: tokens are granted in a ledger before they are billed,
    // so the opposite order could report a budget as overbilled.
    for number in 0..BILL_STREAMS {
        let stream = bill_stream_name(number);
        let first = read_bills(log, &stream, |batch| audit.apply_adopted(batch)).await?;
        if first > Offset(0) {
            report.truncated_streams.push(stream);
        }
    }
    for number in 0..BILL_STREAMS {
        let stream = bill_stream_name(number);
        read_bills(log, &stream, |batch| audit.apply_own(batch)).await?;
    }
    for shard in 0..LEDGER_SHARDS {
        let (ledger, _) = load_ledger(log, &ledger_stream(shard)).await?;
        for (budget, balance) in ledger.balances() {
            report.budgets.entry(budget.clone()).or_default().balance = *balance;
        }
    }
    for (budget, total) in audit.budgets() {
        report.budgets.entry(budget.clone()).or_default().billed = *total;
    }
    report.workspaces = audit.workspaces().clone();
    report.conflicts = audit.conflicts().to_vec();
    report.conflict_count = audit.conflict_count();
    report.duplicate_count = audit.duplicate_count();
    report.malformed_count = audit.malformed_count();
    Ok(report)
}

/// Passes the retained batches of a bill stream to `apply` and returns the first retained offset.
async fn read_bills(
    log: &LogClient,
    stream: &str,
    mut apply: impl FnMut(&BillBatch),
) -> Result<Offset> {
    let (first, _) = log.bounds(stream).await?;
    let mut follower = Follower::new(log.clone(), stream, first);
    let read = follower.catch_up(|record| {
        apply(&BillBatch::decode(record.data).unwrap_or_default());
    });
    read.await?;
    Ok(first)
}

impl Display for AuditReport {
    /// Writes one line for each budget, workspace and truncated stream, then the counts.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, budget) in &self.budgets {
            let AuditedBudget { balance, billed } = budget;
            writeln!(
                f,
                "budget {name}: paid {} + {}, spent {}, out {}, billed {} in {} bills{}{}",
                balance.limit,
                balance.top_ups,
                balance.spent,
                balance.open,
                billed.tokens,
                billed.bills,
                text_if(budget.is_overspent(), ", OVERSPENT"),
                text_if(budget.is_overbilled(), ", OVERBILLED"),
            )?;
        }
        for (name, billed) in &self.workspaces {
            writeln!(
                f,
                "workspace {name}: billed {} in {} bills",
                billed.tokens, billed.bills
            )?;
        }
        for stream in &self.truncated_streams {
            writeln!(f, "stream {stream}: its beginning is no longer kept")?;
        }
        write!(
            f,
            "void copies {}, conflicts {}, malformed {}",
            self.duplicate_count, self.conflict_count, self.malformed_count
        )
    }
}

fn text_if(is_set: bool, text: &'static str) -> &'static str {
    if is_set { text } else { "" }
}
