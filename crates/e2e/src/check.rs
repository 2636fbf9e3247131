//! Comparing what callers saw with what the log and the backend servers hold.

use crate::{Answer, Call, CallKind, Failure, LogContent, Operation, call::MODEL};
use mallowpath::{BudgetId, GrantId, RequestId, Tokens};
use mallowpath_standins::expected_text;
use std::{
    collections::BTreeMap,
    fmt::{self, Display},
};

/// What a check found wrong.
#[derive(Debug, Default)]
pub struct Verdicts {
    /// One line for each fault.
    pub faults: Vec<String>,
}

impl Verdicts {
    fn push(&mut self, fault: String) {
        self.faults.push(fault);
    }

    /// Takes in what another check found.
    pub fn extend(&mut self, other: Self) {
        self.faults.extend(other.faults);
    }

    /// Returns an error that names every fault, if there is one.
    ///
    /// # Errors
    ///
    /// Fails when something was found.
    pub fn into_result(self) -> Result<(), Failure> {
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(self.to_string().into())
    }
}

/// Checks that every answer declared whole is the one of its own request, to its end.
pub fn check_answers(operations: &[Operation]) -> Verdicts {
    let mut verdicts = Verdicts::default();
    for operation in operations {
        let Answer::Whole { text, .. } = &operation.answer else {
            continue;
        };
        let call = &operation.call;
        let is_own = match call.kind {
            CallKind::Streamed | CallKind::Unstreamed => *text == expected(call),
            CallKind::Plain(_) => is_echo(text, &call.prompt),
        };
        if !is_own {
            verdicts.push(format!("answer to {:?} is {text:?}", call.prompt));
        }
    }
    verdicts
}

fn expected(call: &Call) -> String {
    let tokens = call.natural_tokens.min(call.max_tokens);
    expected_text(MODEL, &call.prompt, tokens)
}

fn is_echo(text: &str, body: &str) -> bool {
    let answer: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    answer["body"] == body
}

/// Checks that an answer declared whole has one bill of the amount that the caller was told, and a
/// request that did not run has none.
pub fn check_bills(operations: &[Operation], content: &LogContent) -> Verdicts {
    let mut verdicts = Verdicts::default();
    if content.audit.conflict_count() > 0 {
        let conflicts = content.audit.conflicts();
        verdicts.push(format!("bills in conflict: {conflicts:?}"));
    }
    for operation in operations {
        let Some(request) = operation.request else {
            continue;
        };
        let bill = content.bills.get(&request);
        match (&operation.answer, bill) {
            (Answer::Whole { billed_tokens, .. }, Some(bill)) => {
                let found = bill.amount();
                if found.0 != *billed_tokens {
                    verdicts.push(format!("{request}: told {billed_tokens}, billed {found}"));
                }
            }
            (Answer::Whole { .. }, None) => {
                verdicts.push(format!("{request} is whole and has no bill"));
            }
            (_, Some(bill)) if operation.has_outcome("not_run") => {
                let found = bill.amount();
                verdicts.push(format!("{request} did not run and is billed {found}"));
            }
            _ => {}
        }
    }
    verdicts
}

/// Checks that whole answers ran once and requests that did not run never reached a server.
pub fn check_runs(operations: &[Operation], runs: &BTreeMap<RequestId, u64>) -> Verdicts {
    let mut verdicts = Verdicts::default();
    for (request, count) in runs {
        if *count > 1 {
            verdicts.push(format!("{request} ran {count} times"));
        }
    }
    for operation in operations {
        let Some(request) = operation.request else {
            continue;
        };
        let ran = runs.contains_key(&request);
        if operation.is_whole() && !ran {
            verdicts.push(format!("{request} is whole and never ran"));
        }
        if operation.has_outcome("not_run") && ran {
            verdicts.push(format!("{request} is said not to have run and ran"));
        }
    }
    verdicts
}

/// Checks that a budget was never overdrawn, in the ledger's prefixes and grant by grant.
pub fn check_budget(content: &LogContent, budget: &BudgetId) -> Verdicts {
    let mut verdicts = Verdicts::default();
    let ledgers = &content.ledgers;
    if ledgers.overdrawn_prefixes > 0 {
        let count = ledgers.overdrawn_prefixes;
        verdicts.push(format!("the ledger is overdrawn after {count} records"));
    }
    let Some(balance) = ledgers.balance(budget) else {
        verdicts.push(format!("the ledger has no budget {budget}"));
        return verdicts;
    };
    let paid = balance.limit.saturating_add(balance.top_ups);
    let billed = content.billed(budget);
    if billed > paid {
        verdicts.push(format!("{billed} billed of {paid} paid"));
    }
    for (grant, billed) in billed_by_grant(content) {
        match ledgers.granted.get(&grant) {
            None => verdicts.push(format!("bills spend grant {grant}, which was never opened")),
            Some((_, granted)) => {
                let returned = ledgers.unspent.get(&grant).copied().unwrap_or_default();
                if billed.saturating_add(returned) > *granted {
                    verdicts.push(format!(
                        "grant {grant} of {granted}: {billed} billed and {returned} returned"
                    ));
                }
            }
        }
    }
    verdicts
}

fn billed_by_grant(content: &LogContent) -> BTreeMap<GrantId, Tokens> {
    let mut billed = BTreeMap::<GrantId, Tokens>::new();
    for bill in content.bills.values() {
        for part in &bill.parts {
            let sum = billed.entry(part.grant).or_default();
            *sum = sum.saturating_add(part.tokens);
        }
    }
    billed
}

impl Display for Verdicts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            writeln!(f, "{fault}")?;
        }
        Ok(())
    }
}
