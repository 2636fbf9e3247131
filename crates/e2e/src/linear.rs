//! The budget as a counter for the linearizability checker.
//!
//! Spends and top-ups of one budget fit the model: some order that respects real time keeps the sum
//! of spends within what had been paid. Refusals do not: a router may refuse while tokens lie in
//! slices of others, so a refusal is always valid here, and tests count false refusals by
//! themselves. The configuration does not fit a register either: readers may lag by design, and
//! only versions that go back are a fault.

use crate::{Answer, Operation};
use todc_utils::{Action, History, Specification, WGLChecker};

/// An operation on a budget.
#[derive(Debug, Clone, Copy)]
pub enum BudgetOperation {
    /// Adds to what was paid.
    TopUp(u64),
    /// Spends tokens.
    Spend(u64),
}

/// A budget as one counter: tokens left.
#[derive(Debug)]
pub struct BudgetCounter;

impl Specification for BudgetCounter {
    type State = u64;
    type Operation = BudgetOperation;

    fn init() -> Self::State {
        0
    }

    fn apply(op: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match op {
            BudgetOperation::TopUp(tokens) => (true, state + tokens),
            BudgetOperation::Spend(tokens) if tokens <= state => (true, state - tokens),
            BudgetOperation::Spend(_) => (false, *state),
        }
    }
}

/// Returns whether the whole answers of a history are spends of one counter.
///
/// `payments` gives the amounts paid, each with the time at which the payment began.
pub fn is_budget_linearizable(operations: &[Operation], payments: &[(u64, u64)]) -> bool {
    let mut events = Vec::new();
    let mut process = 0;
    for (at_ms, tokens) in payments {
        let payment = BudgetOperation::TopUp(*tokens);
        // A payment counts from its beginning, the earliest moment at which it may have effect.
        events.push((*at_ms, 0, process, Action::Call(payment)));
        events.push((*at_ms, 1, process, Action::Response(payment)));
        process += 1;
    }
    for operation in operations {
        let Answer::Whole { billed_tokens, .. } = operation.answer else {
            continue;
        };
        let spend = BudgetOperation::Spend(billed_tokens);
        events.push((operation.started_ms, 0, process, Action::Call(spend)));
        events.push((operation.ended_ms, 1, process, Action::Response(spend)));
        process += 1;
    }
    if events.is_empty() {
        return true;
    }
    events.sort_by_key(|(at_ms, order, ..)| (*at_ms, *order));
    let mut actions = Vec::with_capacity(events.len());
    for (_, _, process, action) in events {
        actions.push((process, action));
    }
    WGLChecker::<BudgetCounter>::is_linearizable(History::from_actions(actions))
}
