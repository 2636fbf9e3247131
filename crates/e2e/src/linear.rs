//! A model of a budget for the linearizability checker.
//!
//! Spends and top-ups of one budget must be linearizable: some order that respects real time keeps
//! the sum of spends within the amount paid so far. Refusals are not part of the model, because a
//! router may refuse a request while other routers hold the remaining tokens in their slices; tests
//! count false refusals separately. The configuration is not modelled as a register, because
//! readers may lag by design; only a version that goes back is a fault.

use crate::{Answer, Operation};
use todc_utils::{Action, History, Specification, WGLChecker};

/// An operation on a budget.
#[derive(Debug, Clone, Copy)]
pub enum BudgetOperation {
    /// Adds paid tokens.
    TopUp(u64),
    /// Spends tokens.
    Spend(u64),
}

/// A counter of the tokens left in a budget.
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

/// Returns whether the complete answers and the payments are linearizable as operations on one
/// [`BudgetCounter`].
///
/// `payments` holds the start time in milliseconds and the tokens of each payment.
pub fn is_budget_linearizable(operations: &[Operation], payments: &[(u64, u64)]) -> bool {
    let mut events = Vec::new();
    let mut process = 0;
    for (at_ms, tokens) in payments {
        let payment = BudgetOperation::TopUp(*tokens);
        // A payment takes effect at its start, the earliest time at which its tokens can be spent.
        events.push((*at_ms, 0, process, Action::Call(payment)));
        events.push((*at_ms, 1, process, Action::Response(payment)));
        process += 1;
    }
    for operation in operations {
        let Answer::Complete { billed_tokens, .. } = operation.answer else {
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
