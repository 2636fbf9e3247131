//! The bills and ledgers in the log service, replayed as the fleet's readers replay them.

use crate::BoxError;
use mallowpath::{
    BILL_STREAMS, Bill, BillAudit, BillBatch, BudgetId, GrantId, LEDGER_SHARDS, Ledger, LogClient,
    LogRecord, Offset, RecordEffect, RequestId, Tokens, ledger_stream, sum_parts,
};
use prost::Message;
use std::collections::BTreeMap;

const PAGE_BYTES: u64 = 1 << 20;

/// The bills and ledgers of a fleet.
#[derive(Debug, Default)]
pub struct LogContent {
    /// The valid bill of each request.
    pub bills: BTreeMap<RequestId, Bill>,
    /// The number of bill records read, including duplicates.
    pub bill_records: usize,
    /// The totals of the audit that `mallowpathctl audit` uses.
    pub audit: BillAudit,
    /// The ledgers of all shards.
    pub ledgers: LedgerContent,
}

/// The ledgers of all shards.
#[derive(Debug, Default)]
pub struct LedgerContent {
    /// The state of each shard.
    pub shards: Vec<Ledger>,
    /// The grants that were opened, with their budgets and tokens.
    pub granted: BTreeMap<GrantId, (BudgetId, Tokens)>,
    /// The unspent tokens that closed grants returned.
    pub unspent: BTreeMap<GrantId, Tokens>,
    /// The number of balances, over all budgets and all prefixes of the ledger, in which more was
    /// granted and spent than had been paid.
    pub overdrawn_prefixes: usize,
}

impl LogContent {
    /// Reads all bill and ledger streams.
    ///
    /// # Errors
    ///
    /// Fails when the log service can't be read.
    pub async fn read(log: &LogClient) -> Result<Self, BoxError> {
        let mut content = Self::default();
        for number in 0..BILL_STREAMS {
            for record in read_stream(log, &format!("bills-{number:02}")).await? {
                content.apply_bills(&BillBatch::decode(record.data)?);
            }
        }
        for shard in 0..LEDGER_SHARDS {
            let records = read_stream(log, &ledger_stream(shard)).await?;
            content.ledgers.replay(&records)?;
        }
        Ok(content)
    }

    fn apply_bills(&mut self, batch: &BillBatch) {
        self.audit.apply(batch);
        for record in &batch.bills {
            let Some(bill) = Bill::from_record(record) else {
                continue;
            };
            self.bill_records += 1;
            self.bills.entry(bill.request).or_insert(bill);
        }
    }

    /// Returns the sum of all valid bills of a budget.
    pub fn billed(&self, budget: &BudgetId) -> Tokens {
        let mut sum = Tokens::ZERO;
        for bill in self.bills.values() {
            if bill.budget == *budget {
                sum = sum.saturating_add(sum_parts(&bill.parts));
            }
        }
        sum
    }
}

impl LedgerContent {
    fn replay(&mut self, records: &[LogRecord]) -> Result<(), BoxError> {
        let mut ledger = Ledger::default();
        for record in records {
            for outcome in ledger.apply_bytes(record.offset, &record.data)? {
                let Some(grant) = outcome.grant else { continue };
                match (outcome.effect, outcome.budget) {
                    (RecordEffect::Granted(tokens), Some(budget)) => {
                        self.granted.insert(grant, (budget, tokens));
                    }
                    (RecordEffect::Returned(unspent) | RecordEffect::Reclaimed(unspent), _) => {
                        self.unspent.insert(grant, unspent);
                    }
                    _ => {}
                }
            }
            for (_, balance) in ledger.balances() {
                self.overdrawn_prefixes += usize::from(balance.available_signed() < 0);
            }
        }
        self.shards.push(ledger);
        Ok(())
    }

    /// Returns the balance of a budget, if a shard has one.
    pub fn balance(&self, budget: &BudgetId) -> Option<mallowpath::Balance> {
        self.shards.iter().find_map(|ledger| ledger.balance(budget))
    }
}

async fn read_stream(log: &LogClient, stream: &str) -> Result<Vec<LogRecord>, BoxError> {
    let mut records = Vec::new();
    let mut next = Offset(0);
    loop {
        let page = log.read(stream, next, PAGE_BYTES, 0).await?;
        next = Offset(next.0 + page.records.len() as u64);
        records.extend(page.records);
        if next >= page.next {
            return Ok(records);
        }
    }
}
