//! Checks of the callers' results against the bills and ledgers in the log and against the runs
//! that the backend servers counted.

use crate::{Answer, BoxError, Call, CallKind, LogContent, Operation, call::MODEL};
use mallowpath::{BudgetId, GrantId, RequestId, Tokens};
use mallowpath_standins::expected_text;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display},
};

/// The violations that a check found.
#[derive(Debug, Default)]
pub struct Violations {
    /// The violations, one line of text each.
    pub messages: Vec<String>,
}

impl Violations {
    fn push(&mut self, message: String) {
        self.messages.push(message);
    }

    /// Adds the violations that another check found.
    pub fn extend(&mut self, other: Self) {
        self.messages.extend(other.messages);
    }

    /// Returns an error that lists all violations, or `Ok` if there are none.
    ///
    /// # Errors
    ///
    /// Fails when there is a violation.
    pub fn into_result(self) -> Result<(), BoxError> {
        if self.messages.is_empty() {
            return Ok(());
        }
        Err(self.to_string().into())
    }
}

/// Checks that every complete answer has the text expected for its request, without truncation.
pub fn check_answers(operations: &[Operation]) -> Violations {
    let mut violations = Violations::default();
    for operation in operations {
        let Answer::Complete { text, .. } = &operation.answer else {
            continue;
        };
        let call = &operation.call;
        let is_expected = match call.kind {
            CallKind::Streamed | CallKind::Unstreamed => *text == expected_answer(call),
            CallKind::Plain(_) => is_echo(text, &call.prompt),
        };
        if !is_expected {
            violations.push(format!("unexpected answer to {:?}: {text:?}", call.prompt));
        }
    }
    violations
}

fn expected_answer(call: &Call) -> String {
    let tokens = call.natural_tokens.min(call.max_tokens);
    expected_text(MODEL, &call.prompt, tokens)
}

fn is_echo(text: &str, body: &str) -> bool {
    let answer: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    answer["body"] == body
}

/// Checks that each complete answer has one bill over the amount that the answer states, and that a
/// request reported as `not_run` has none.
pub fn check_bills(operations: &[Operation], content: &LogContent) -> Violations {
    let mut violations = Violations::default();
    if content.audit.conflict_count() > 0 {
        let conflicts = content.audit.conflicts();
        violations.push(format!("conflicting bills: {conflicts:?}"));
    }
    for operation in operations {
        let Some(request) = operation.request else {
            continue;
        };
        let bill = content.bills.get(&request);
        match (&operation.answer, bill) {
            (Answer::Complete { billed_tokens, .. }, Some(bill)) => {
                let found = bill.amount();
                if found.0 != *billed_tokens {
                    violations.push(format!(
                        "{request}: answer states {billed_tokens}, billed {found}"
                    ));
                }
            }
            // With an idempotency key, the answer may come from an earlier request; `check_keys`
            // looks for its bill.
            (Answer::Complete { .. }, None) if operation.call.key.is_some() => {}
            (Answer::Complete { .. }, None) => {
                violations.push(format!("{request} has a complete answer and no bill"));
            }
            (_, Some(bill)) if operation.has_outcome("not_run") => {
                let found = bill.amount();
                violations.push(format!(
                    "{request} is reported as not_run and has a bill over {found} tokens"
                ));
            }
            _ => {}
        }
    }
    violations
}

/// Returns the requests sent with each idempotency key; an answer may come from any of them.
fn requests_by_key(operations: &[Operation]) -> BTreeMap<&str, BTreeSet<RequestId>> {
    let mut requests = BTreeMap::<&str, BTreeSet<RequestId>>::new();
    for operation in operations {
        if let (Some(key), Some(request)) = (&operation.call.key, operation.request) {
            requests.entry(key).or_default().insert(request);
        }
    }
    requests
}

/// Checks that at most one request of each idempotency key ran and was billed, and exactly one if an
/// answer is complete.
pub fn check_keys(
    operations: &[Operation],
    content: &LogContent,
    run_counts: &BTreeMap<RequestId, u64>,
) -> Violations {
    let mut violations = Violations::default();
    for (key, requests) in requests_by_key(operations) {
        let ran = requests
            .iter()
            .filter(|id| run_counts.contains_key(*id))
            .count();
        let is_billed = |id: &&RequestId| content.bills.contains_key(*id);
        let billed = requests.iter().filter(is_billed).count();
        let of_key = |o: &&Operation| o.call.key.as_deref() == Some(key) && o.is_complete();
        let complete_count = operations.iter().filter(of_key).count();
        if ran > 1 || billed > 1 {
            violations.push(format!(
                "idempotency key {key} ran {ran} times and was billed {billed} times"
            ));
        }
        if complete_count > 0 && (ran != 1 || billed != 1) {
            violations.push(format!(
                "idempotency key {key} is answered, ran {ran} and was billed {billed} times"
            ));
        }
    }
    violations
}

/// Checks that no request ran twice, that each complete answer without an idempotency key ran, and
/// that a request reported as `not_run` did not run.
pub fn check_runs(operations: &[Operation], run_counts: &BTreeMap<RequestId, u64>) -> Violations {
    let mut violations = Violations::default();
    for (request, count) in run_counts {
        if *count > 1 {
            violations.push(format!("{request} ran {count} times"));
        }
    }
    for operation in operations {
        let Some(request) = operation.request else {
            continue;
        };
        let ran = run_counts.contains_key(&request);
        let is_keyed = operation.call.key.is_some();
        if operation.is_complete() && !is_keyed && !ran {
            violations.push(format!("{request} has a complete answer and never ran"));
        }
        if operation.has_outcome("not_run") && ran {
            violations.push(format!("{request} is reported as not_run and ran"));
        }
    }
    violations
}

/// Checks that a budget was never overdrawn, after any record of the ledger and within each grant.
pub fn check_budget(content: &LogContent, budget: &BudgetId) -> Violations {
    let mut violations = Violations::default();
    let ledgers = &content.ledgers;
    if ledgers.overdrawn_prefixes > 0 {
        let count = ledgers.overdrawn_prefixes;
        violations.push(format!("{count} balances in the ledger are overdrawn"));
    }
    let Some(balance) = ledgers.balance(budget) else {
        violations.push(format!("the ledger has no balance of budget {budget}"));
        return violations;
    };
    let paid = balance.limit.saturating_add(balance.top_ups);
    let billed = content.billed(budget);
    if billed > paid {
        violations.push(format!("{billed} tokens billed, {paid} paid"));
    }
    for (grant, billed) in billed_by_grant(content) {
        match ledgers.granted.get(&grant) {
            None => violations.push(format!(
                "bills spend grant {grant}, which the ledger never opened"
            )),
            Some((_, granted)) => {
                let returned = ledgers.unspent.get(&grant).copied().unwrap_or_default();
                if billed.saturating_add(returned) > *granted {
                    violations.push(format!(
                        "grant {grant} of {granted} tokens: {billed} billed and {returned} returned"
                    ));
                }
            }
        }
    }
    violations
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

impl Display for Violations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for message in &self.messages {
            writeln!(f, "{message}")?;
        }
        Ok(())
    }
}
