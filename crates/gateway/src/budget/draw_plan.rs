//! Decides how many tokens a router draws from each budget or returns to it.

use super::ledger::{Account, AccountLedger, AccountLine};
use mallowpath::{WorkspaceId, floor_to_u64};

/// What a router holds of one budget, and its demand for more.
#[derive(Debug, Clone, PartialEq)]
pub struct Holding {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Tokens that the workspace has paid for so far.
    pub prepaid: u64,
    /// Tokens granted to the router and not returned.
    pub granted: u64,
    /// Tokens spent by the router.
    pub spent: u64,
    /// Tokens reserved for requests in progress.
    pub reserved: u64,
    /// The demand of the router's callers, in tokens per second.
    pub tokens_per_s: f64,
    /// The tokens that waiting requests need, or those of the largest request that could not
    /// reserve its tokens since the last draw, whichever is more.
    pub shortage_tokens: u64,
    /// The tokens that those waiting requests need that take up streams.
    pub take_up_tokens: u64,
    /// Undrawn tokens that are left for requests that take up streams.
    pub kept_tokens: u64,
    /// Whether the router keeps the budget for the fleet; if not, it holds no more than requests
    /// need at present.
    pub is_kept: bool,
}

impl Holding {
    /// Returns how many of the undrawn tokens the router may draw: all but those that are kept, of which
    /// it draws what requests need that take up streams.
    pub(super) fn drawable(&self, undrawn: u64) -> u64 {
        let for_all = undrawn.saturating_sub(self.kept_tokens);
        for_all.max(undrawn.min(self.take_up_tokens))
    }
}

/// The settings of [`plan_account`].
#[derive(Debug, Clone)]
pub struct DrawSettings {
    /// How long a full holding lasts at the current demand, in seconds; [`DrawTask`] adds the time
    /// that draws take.
    ///
    /// A longer horizon loses more tokens when a router is killed, as all tokens that it
    /// holds count as spent. A shorter one leaves less to spend during an outage of the store.
    ///
    /// [`DrawTask`]: super::DrawTask
    pub horizon_s: f64,
    /// The share of a full holding below which the router draws tokens.
    pub refill_below_share: f64,
    /// The multiple of a full holding above which the router returns the excess.
    pub return_above_factor: f64,
    /// The share of a budget's undrawn tokens that one draw takes at most, beyond what requests wait
    /// for.
    ///
    /// It bounds what a router takes after slow draws, which lengthen its horizon.
    pub draw_max_share: f64,
    /// The share of a budget's undrawn tokens that all routers together aim to hold at least.
    pub floor_share: f64,
    /// How long a router goes on at the current demand while nothing can be drawn, in seconds, as far as
    /// the next two settings allow.
    pub reserve_s: f64,
    /// The share of a budget's undrawn tokens that all routers together hold for that at most.
    pub reserve_undrawn_share: f64,
    /// The share of a budget that all routers together hold for that at most.
    pub reserve_prepaid_share: f64,
    /// The share of a budget that an excess must exceed to be returned by the router that keeps it, or
    /// while requests are in progress.
    pub return_min_share: f64,
    /// The undrawn share of a budget below which a router records what it has spent, although it draws
    /// nothing.
    pub scarce_share: f64,
    /// The share of a budget that is left for requests that take up streams at most, if a route has
    /// streams that can be.
    ///
    /// The unspent rest of a budget is useless to new requests, so that this is a small one.
    pub take_up_share: f64,
    /// How long no tokens are drawn after a restore of the store, so that other routers notice it
    /// and append their accounts again.
    pub raise_hold_ms: u64,
}

/// Returns the account that the router should append next, or `None` if no grant changes and the record
/// shows well enough what is spent.
///
/// `base` is the router's current account: its newest record, or the successor of the account of an
/// earlier incarnation.
pub fn plan_account(
    ledger: &AccountLedger,
    base: &Account,
    holdings: &[Holding],
    settings: &DrawSettings,
) -> Option<Account> {
    let mut account = base.clone();
    let mut changed = false;
    for holding in holdings {
        let current = base.lines.get(&holding.workspace).copied();
        let current = current.unwrap_or_default();
        let undrawn = holding
            .prepaid
            .saturating_sub(ledger.spent_or_held(&holding.workspace));
        let holders = ledger.holders_of(&holding.workspace).max(1) as f64;
        let free = holding.drawable(undrawn);
        let granted = next_grant(holding, free, holders, settings);
        // Compares with the ledger, not with the local budgets, which differ from it after an
        // append whose answer was lost.
        changed |= granted != current.granted;
        changed |= hides_spent_tokens(holding, &current, undrawn, settings);
        let line = AccountLine {
            spent_before: current.spent_before,
            granted,
            spent: holding.spent,
            tokens_per_s: scaled(1, holding.tokens_per_s),
        };
        account.lines.insert(holding.workspace.clone(), line);
    }
    changed.then_some(account)
}

/// Returns whether the router's record makes other routers take a budget for unspent that is nearly
/// spent.
///
/// They would tell callers to come back for tokens that never come back.
fn hides_spent_tokens(
    holding: &Holding,
    current: &AccountLine,
    undrawn: u64,
    settings: &DrawSettings,
) -> bool {
    // A router that keeps no budget hardly reads the ledger, so it does not know what is left.
    let is_scarce = !holding.is_kept || undrawn < scaled(holding.prepaid, settings.scarce_share);
    let recorded = current.granted.saturating_sub(current.spent);
    let unspent = holding.granted.saturating_sub(holding.spent);
    let hidden_min = scaled(holding.prepaid, settings.return_min_share);
    is_scarce && recorded > unspent.saturating_mul(2).saturating_add(hidden_min)
}

/// Returns the router's next grant in total; `undrawn` tokens of the budget are free to draw, and
/// `holders` routers hold tokens of it.
fn next_grant(holding: &Holding, undrawn: u64, holders: f64, settings: &DrawSettings) -> u64 {
    let in_use = holding.spent.saturating_add(holding.reserved);
    let available = holding.granted.saturating_sub(in_use);
    let target = target_tokens(holding, undrawn, holders, settings);
    let refill_below = scaled(target, settings.refill_below_share).max(holding.shortage_tokens);
    let full = target.max(holding.shortage_tokens);
    if available < refill_below {
        let missing = full.saturating_sub(available);
        // Concurrent draws of all holders fit into the budget if each takes no more than its share.
        // A draw that exceeds its share because requests want more may have to be returned.
        let share = settings.draw_max_share.max(settings.floor_share);
        let share = share.min(1.0 / holders);
        let share = scaled(undrawn, share).max(holding.shortage_tokens);
        return holding.granted + missing.min(share).min(undrawn);
    }
    let excess = available.saturating_sub(full);
    // What is left over at a router that does not keep the budget is returned to the last token.
    let return_min = if holding.is_kept || holding.reserved > 0 {
        scaled(holding.prepaid, settings.return_min_share)
    } else {
        0
    };
    let exceeds_return_min = excess > return_min;
    if available as f64 > full as f64 * settings.return_above_factor && exceeds_return_min {
        return in_use.saturating_add(full);
    }
    holding.granted
}

/// Returns the tokens that the router should have available while no request waits for tokens.
fn target_tokens(holding: &Holding, undrawn: u64, holders: f64, settings: &DrawSettings) -> u64 {
    if !holding.is_kept {
        return 0;
    }
    let for_demand = scaled(1, holding.tokens_per_s * settings.horizon_s);
    let floor = scaled(undrawn, settings.floor_share / holders);
    for_demand
        .max(floor)
        .max(reserve_tokens(holding, undrawn, holders, settings))
}

/// Returns the tokens that the router holds so that it can go on while nothing can be drawn.
///
/// A kill of all routers costs what they hold, so this is a small part of the budget and of what is left
/// of it.
fn reserve_tokens(holding: &Holding, undrawn: u64, holders: f64, settings: &DrawSettings) -> u64 {
    let for_demand = scaled(1, holding.tokens_per_s * settings.reserve_s);
    let of_undrawn = scaled(undrawn, settings.reserve_undrawn_share / holders);
    let of_prepaid = scaled(holding.prepaid, settings.reserve_prepaid_share / holders);
    for_demand.min(of_undrawn).min(of_prepaid)
}

fn scaled(tokens: u64, factor: f64) -> u64 {
    floor_to_u64(tokens as f64 * factor)
}

impl Default for DrawSettings {
    fn default() -> Self {
        Self {
            horizon_s: 0.2,
            refill_below_share: 0.5,
            return_above_factor: 2.0,
            draw_max_share: 1.0 / 32.0,
            floor_share: 1.0 / 512.0,
            reserve_s: 3.0,
            reserve_undrawn_share: 1.0 / 16.0,
            reserve_prepaid_share: 1.0 / 40.0,
            return_min_share: 1.0 / 2_048.0,
            scarce_share: 1.0 / 32.0,
            take_up_share: 1.0 / 128.0,
            raise_hold_ms: 3_000,
        }
    }
}
