//! An audit of the log: what was billed, set against what the ledgers say was paid and handed out.

use crate::{
    audit::{Audit, BillTotal},
    bill::BillBatch,
    bills::{BILL_STREAMS, bill_stream},
    error::Result,
    follow::Follower,
    id::{BudgetId, Incarnation, Offset, Tokens},
    ledger::LEDGER_SHARDS,
    log_client::LogClient,
    top_up::read_ledger,
    verdict::Balance,
};
use prost::Message;
use std::collections::BTreeMap;

/// What the log says of one budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AuditedBudget {
    /// What its bills add up to.
    pub billed: BillTotal,
    /// What its ledger holds.
    pub balance: Balance,
}

/// What the log says of all budgets.
#[derive(Debug, Default)]
pub struct LogAudit {
    /// The replayed bills.
    pub bills: Audit,
    /// Each budget that is in a ledger or has a bill.
    pub budgets: BTreeMap<BudgetId, AuditedBudget>,
    /// Bill streams of which the oldest records are no longer kept, with the first offset kept.
    pub truncated: Vec<(String, Offset)>,
}

impl AuditedBudget {
    /// Returns what was paid for.
    pub fn paid(&self) -> Tokens {
        self.balance.limit.saturating_add(self.balance.top_ups)
    }

    /// Returns what was handed out and has not come back.
    pub fn handed_out(&self) -> Tokens {
        self.balance.spent.saturating_add(self.balance.open)
    }

    /// Returns whether more was billed than was handed out, which no fault may bring about.
    pub fn is_overspent(&self) -> bool {
        self.billed.tokens > self.handed_out()
    }
}

impl LogAudit {
    /// Returns whether something is wrong with the books.
    pub fn is_wrong(&self) -> bool {
        let mut wrong = self.bills.conflict_count() > 0 || self.bills.malformed_count() > 0;
        for budget in self.budgets.values() {
            wrong |= budget.is_overspent();
        }
        wrong
    }
}

/// Replays the bill streams, then the ledgers, to the ends that they have now.
///
/// The bills come first: what is billed after their end may already be in the ledgers read later,
/// never the other way round.
///
/// # Errors
///
/// Fails when the log service can't be read, or a ledger holds neither its beginning nor a
/// checkpoint.
pub async fn audit_log(log: &LogClient) -> Result<LogAudit> {
    let mut audit = LogAudit::default();
    for number in 0..BILL_STREAMS {
        let stream = bill_stream(Incarnation(number));
        let (first, _) = log.bounds(&stream).await?;
        if first > Offset(0) {
            audit.truncated.push((stream.clone(), first));
        }
        let mut follower = Follower::new(log.clone(), &stream, first);
        let bills = &mut audit.bills;
        let replay = follower.catch_up(|record| {
            bills.apply(&BillBatch::decode(record.data).unwrap_or_default());
        });
        replay.await?;
    }
    for (budget, billed) in audit.bills.budgets() {
        audit.budgets.entry(budget.clone()).or_default().billed = *billed;
    }
    for shard in 0..LEDGER_SHARDS {
        let ledger = read_ledger(log, shard).await?;
        for (budget, balance) in ledger.balances() {
            audit.budgets.entry(budget.clone()).or_default().balance = *balance;
        }
    }
    Ok(audit)
}
