//! How much a router draws from each budget and gives back.

use super::ledger::{Account, Ledger, Line};
use mallowpath::WorkspaceId;

/// What a router holds and needs of one budget.
#[derive(Debug, Clone, PartialEq)]
pub struct Holding {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// All tokens that it has paid for.
    pub prepaid: u64,
    /// Granted to the router and not given back, in tokens.
    pub granted: u64,
    /// Spent by the router, in tokens.
    pub spent: u64,
    /// Reserved for requests in progress, in tokens.
    pub reserved: u64,
    /// What the router's callers ask for, in tokens a second.
    pub tokens_per_s: f64,
    /// What requests wait for, or the largest one that found too little since the last draw,
    /// whichever is more; in tokens.
    pub wanted: u64,
}

/// The settings of [`plan`].
#[derive(Debug, Clone)]
pub struct PlanSettings {
    /// How long a full holding lasts, in seconds, beside the time that drawing takes.
    ///
    /// What a router holds when it is killed counts as spent, and in an outage of the store it can
    /// spend no more than it holds.
    pub horizon_s: f64,
    /// The part of a full holding below which it is filled up.
    pub refill_below: f64,
    /// The multiple of a full holding above which the excess is given back.
    pub return_above: f64,
    /// The part of what is left of a budget that all routers together hold at least.
    pub floor_share: f64,
    /// The part of a budget below which an excess is not worth giving back.
    pub return_min_share: f64,
}

/// Returns the account that the router should write next, if it should change.
///
/// `base` is the router's account without changes: its newest record, or the one that succeeds an
/// earlier incarnation.
pub fn plan(
    ledger: &Ledger,
    base: &Account,
    holdings: &[Holding],
    settings: &PlanSettings,
) -> Option<Account> {
    let mut account = base.clone();
    let mut changed = false;
    let routers = ledger.len().max(1) as f64;
    for holding in holdings {
        let old = base.lines.get(&holding.workspace).copied();
        let old = old.unwrap_or_default();
        let left = holding
            .prepaid
            .saturating_sub(ledger.taken(&holding.workspace));
        let granted = next_grant(holding, left, routers, settings);
        // The ledger differs from the local budgets after an append whose answer was lost.
        changed |= granted != old.granted;
        let line = Line {
            closed: old.closed,
            granted,
            spent: holding.spent,
        };
        account.lines.insert(holding.workspace.clone(), line);
    }
    changed.then_some(account)
}

fn next_grant(holding: &Holding, left: u64, routers: f64, settings: &PlanSettings) -> u64 {
    let in_use = holding.spent.saturating_add(holding.reserved);
    let held = holding.granted.saturating_sub(in_use);
    let target = target(holding, left, routers, settings);
    let low = scaled(target, settings.refill_below).max(holding.wanted);
    let full = target.max(holding.wanted);
    if held < low {
        let missing = full.saturating_sub(held);
        // Routers that draw at the same moment fit together if each takes no more than its part.
        let share = scaled(left, 1.0 / routers.max(2.0)).max(holding.wanted);
        return holding.granted + missing.min(share).min(left);
    }
    let excess = held.saturating_sub(full);
    let is_worth_it = excess > scaled(holding.prepaid, settings.return_min_share);
    if held as f64 > full as f64 * settings.return_above && is_worth_it {
        return in_use.saturating_add(full);
    }
    holding.granted
}

/// Returns the tokens that the router wants to hold unspent while nothing waits.
fn target(holding: &Holding, left: u64, routers: f64, settings: &PlanSettings) -> u64 {
    let by_rate = scaled(1, holding.tokens_per_s * settings.horizon_s);
    let floor = scaled(left, settings.floor_share / routers);
    by_rate.max(floor)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts from floating point saturate, which is what is wanted"
)]
fn scaled(tokens: u64, factor: f64) -> u64 {
    (tokens as f64 * factor) as u64
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            horizon_s: 0.2,
            refill_below: 0.5,
            return_above: 2.0,
            floor_share: 1.0 / 512.0,
            return_min_share: 1.0 / 2_048.0,
        }
    }
}
