//! The tokens that a router holds and spends without a call to the store.

use super::{draw_plan::Holding, ledger::Account, reservation::Reservation};
use mallowpath::WorkspaceId;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};
use tokio::sync::{Notify, futures::Notified};

/// The half-life of a request's weight in the measured demand.
const DEMAND_HALF_LIFE_S: f64 = 3.0;

/// A router's holdings of all budgets.
#[derive(Debug)]
pub struct LocalBudgets {
    /// No other lock is taken while this one is held.
    budgets: Mutex<HashMap<WorkspaceId, LocalBudget>>,
    /// Notified when a holding runs low.
    refill_needed: Notify,
    /// Notified when tokens were added, or when a draw found none to add.
    refilled: Notify,
}

/// A router's holding of one budget, in tokens.
#[derive(Debug)]
struct LocalBudget {
    granted: u64,
    spent: u64,
    reserved: u64,
    /// Tokens of the largest request that could not reserve them since the last draw.
    largest_shortage: u64,
    /// Tokens that waiting requests need.
    waiting_tokens: u64,
    /// Those that waiting requests need that take up streams.
    take_up_tokens: u64,
    /// Undrawn tokens that are left for requests that take up streams.
    kept_tokens: u64,
    /// Tokens of all requests, with weights that halve every [`DEMAND_HALF_LIFE_S`].
    demand: f64,
    /// When `demand` was last decayed.
    decayed_at: Instant,
    /// The draw task is notified when the holding lasts for less than this at the current demand.
    refill_below_s: f64,
}

/// A request that waits for tokens, with priority over requests that do not wait yet.
///
/// Its tokens are kept from other requests until it is dropped.
#[derive(Debug)]
pub struct TokenWaiter {
    local_budgets: Arc<LocalBudgets>,
    workspace: WorkspaceId,
    tokens: u64,
    takes_up_stream: bool,
}

/// The error of a reservation that exceeds the available tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InsufficientTokens {
    /// Tokens that the router holds and that are neither spent nor reserved.
    pub available: u64,
}

impl LocalBudgets {
    /// Creates local budgets without tokens.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            budgets: Mutex::default(),
            refill_needed: Notify::new(),
            refilled: Notify::new(),
        })
    }

    /// Adds a request's tokens to the measured demand.
    ///
    /// Called once per request, however often the request tries to reserve its tokens.
    pub fn count_demand(&self, workspace: &WorkspaceId, tokens: u64, now: Instant) {
        let mut budgets = self.lock();
        let budget = budgets
            .entry(workspace.clone())
            .or_insert_with(|| LocalBudget::new(now));
        budget.decay(now);
        budget.demand += tokens as f64;
    }

    /// Reserves tokens for a new request; leaves those that waiting requests need.
    ///
    /// # Errors
    ///
    /// Fails when too few tokens are available, and notifies the draw task.
    pub fn reserve(
        self: &Arc<Self>,
        workspace: &WorkspaceId,
        tokens: u64,
        now: Instant,
    ) -> Result<Reservation, InsufficientTokens> {
        self.try_reserve(workspace, tokens, |budget| budget.waiting_tokens, now)
    }

    /// Registers a request that failed to reserve its tokens as waiting.
    ///
    /// The failed reservation has already notified the draw task.
    pub fn register_waiter(self: &Arc<Self>, workspace: &WorkspaceId, tokens: u64) -> TokenWaiter {
        self.register(workspace, tokens, false)
    }

    /// Registers a request that takes up a stream, as [`Self::register_waiter`] does.
    ///
    /// Other waiting requests leave its tokens to it.
    pub fn register_take_up(self: &Arc<Self>, workspace: &WorkspaceId, tokens: u64) -> TokenWaiter {
        self.register(workspace, tokens, true)
    }

    fn register(
        self: &Arc<Self>,
        workspace: &WorkspaceId,
        tokens: u64,
        takes_up_stream: bool,
    ) -> TokenWaiter {
        let mut budgets = self.lock();
        let budget = budgets
            .entry(workspace.clone())
            .or_insert_with(|| LocalBudget::new(Instant::now()));
        budget.waiting_tokens += tokens;
        if takes_up_stream {
            budget.take_up_tokens += tokens;
        }
        drop(budgets);
        TokenWaiter {
            local_budgets: Arc::clone(self),
            workspace: workspace.clone(),
            tokens,
            takes_up_stream,
        }
    }

    /// Reserves tokens; leaves as many as `left` returns to other requests.
    fn try_reserve(
        self: &Arc<Self>,
        workspace: &WorkspaceId,
        tokens: u64,
        left: impl FnOnce(&LocalBudget) -> u64,
        now: Instant,
    ) -> Result<Reservation, InsufficientTokens> {
        let mut budgets = self.lock();
        let budget = budgets
            .entry(workspace.clone())
            .or_insert_with(|| LocalBudget::new(now));
        budget.decay(now);
        let available = budget.available();
        if available < tokens.saturating_add(left(budget)) {
            budget.largest_shortage = budget.largest_shortage.max(tokens);
            drop(budgets);
            self.refill_needed.notify_one();
            return Err(InsufficientTokens { available });
        }
        budget.reserved += tokens;
        let is_low = (budget.available() as f64) < budget.tokens_per_s() * budget.refill_below_s;
        drop(budgets);
        if is_low {
            self.refill_needed.notify_one();
        }
        let local_budgets = Arc::clone(self);
        let workspace = workspace.clone();
        Ok(Reservation::new(tokens, move |spent| {
            local_budgets.settle(&workspace, tokens, spent);
        }))
    }

    /// Returns a future that completes when tokens are added after this call, or when a draw finds
    /// none to add.
    pub fn refill_notification(&self) -> Notified<'_> {
        self.refilled.notified()
    }

    /// Waits until a reservation fails or leaves a holding low.
    pub(crate) async fn wait_until_refill_needed(&self) {
        self.refill_needed.notified().await;
    }

    /// Returns whether a request waits for tokens or failed to reserve them since the last draw.
    pub(crate) fn has_unmet_demand(&self) -> bool {
        let budgets = self.lock();
        budgets.values().any(|budget| budget.shortage_tokens() > 0)
    }

    /// Returns the tokens of a budget that this process has spent.
    pub(crate) fn spent(&self, workspace: &WorkspaceId) -> u64 {
        let budgets = self.lock();
        budgets.get(workspace).map_or(0, |budget| budget.spent)
    }

    /// Sets how many undrawn tokens of a budget are left for requests that take up streams; `kept` returns
    /// it from the tokens that are reserved.
    pub(super) fn set_kept_tokens(&self, workspace: &WorkspaceId, kept: impl FnOnce(u64) -> u64) {
        let mut budgets = self.lock();
        let budget = budgets
            .entry(workspace.clone())
            .or_insert_with(|| LocalBudget::new(Instant::now()));
        budget.kept_tokens = kept(budget.reserved);
    }

    /// Returns the tokens of a budget that are reserved for requests in progress.
    pub(super) fn reserved(&self, workspace: &WorkspaceId) -> u64 {
        let budgets = self.lock();
        budgets.get(workspace).map_or(0, |budget| budget.reserved)
    }

    /// Returns how many undrawn tokens of a budget are left for requests that take up streams.
    pub(super) fn kept_tokens(&self, workspace: &WorkspaceId) -> u64 {
        let budgets = self.lock();
        budgets
            .get(workspace)
            .map_or(0, |budget| budget.kept_tokens)
    }

    /// Returns the holding of a budget with `prepaid` tokens.
    ///
    /// From now on, the draw task is notified when the holding lasts for less than `refill_below_s`
    /// seconds at the current demand.
    pub fn holding(
        &self,
        workspace: &WorkspaceId,
        prepaid: u64,
        refill_below_s: f64,
        now: Instant,
    ) -> Holding {
        let mut budgets = self.lock();
        let budget = budgets
            .entry(workspace.clone())
            .or_insert_with(|| LocalBudget::new(now));
        budget.decay(now);
        budget.refill_below_s = refill_below_s;
        Holding {
            workspace: workspace.clone(),
            prepaid,
            granted: budget.granted,
            spent: budget.spent,
            reserved: budget.reserved,
            tokens_per_s: budget.tokens_per_s(),
            shortage_tokens: budget.shortage_tokens(),
            take_up_tokens: budget.take_up_tokens,
            kept_tokens: budget.kept_tokens,
            is_kept: true,
        }
    }

    /// Applies the grants of `account` that are lower than before, down to what is spent or
    /// reserved.
    ///
    /// Must be called before the account is appended, so that returned tokens can't be spent here
    /// once other routers may draw them.
    pub fn apply_decreases(&self, account: &Account) {
        let mut budgets = self.lock();
        for (workspace, line) in &account.lines {
            let Some(budget) = budgets.get_mut(workspace) else {
                continue;
            };
            let floor = budget.spent + budget.reserved;
            budget.granted = budget.granted.min(line.granted.max(floor));
        }
    }

    /// Applies the grants of `account` that are higher than before, for workspaces that
    /// `is_within_budget` accepts.
    ///
    /// Must be called only after the account was appended and read back with the ledger.
    pub fn apply_increases(
        &self,
        account: &Account,
        is_within_budget: impl Fn(&WorkspaceId) -> bool,
    ) {
        let mut budgets = self.lock();
        for (workspace, line) in &account.lines {
            if !is_within_budget(workspace) {
                continue;
            }
            let budget = budgets
                .entry(workspace.clone())
                .or_insert_with(|| LocalBudget::new(Instant::now()));
            budget.granted = budget.granted.max(line.granted);
            budget.largest_shortage = 0;
        }
        drop(budgets);
        self.wake_waiting();
    }

    /// Wakes all requests that wait for tokens, so that they try again or are rejected.
    pub(crate) fn wake_waiting(&self) {
        self.refilled.notify_waiters();
    }

    /// Returns whether `account` grants at least what this process may use of each budget.
    pub fn is_covered_by(&self, account: &Account) -> bool {
        let budgets = self.lock();
        for (workspace, budget) in budgets.iter() {
            let granted = account.lines.get(workspace).map_or(0, |line| line.granted);
            if budget.granted > granted {
                return false;
            }
        }
        true
    }

    /// Ends a reservation and counts its spent tokens.
    fn settle(&self, workspace: &WorkspaceId, reserved: u64, spent: u64) {
        let mut budgets = self.lock();
        let Some(budget) = budgets.get_mut(workspace) else {
            return;
        };
        budget.reserved -= reserved;
        budget.spent += spent;
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<WorkspaceId, LocalBudget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LocalBudget {
    fn new(now: Instant) -> Self {
        Self {
            granted: 0,
            spent: 0,
            reserved: 0,
            largest_shortage: 0,
            waiting_tokens: 0,
            take_up_tokens: 0,
            kept_tokens: 0,
            demand: 0.0,
            decayed_at: now,
            refill_below_s: 0.0,
        }
    }

    /// Returns the tokens that should be drawn for requests that lack them.
    fn shortage_tokens(&self) -> u64 {
        self.largest_shortage.max(self.waiting_tokens)
    }

    /// Returns the tokens that are neither spent nor reserved.
    fn available(&self) -> u64 {
        self.granted.saturating_sub(self.spent + self.reserved)
    }

    /// Returns the demand, in tokens per second.
    ///
    /// At a constant rate, `demand` converges to the rate times the half-life divided by ln 2.
    fn tokens_per_s(&self) -> f64 {
        self.demand * std::f64::consts::LN_2 / DEMAND_HALF_LIFE_S
    }

    /// Decays the demand up to `now`.
    fn decay(&mut self, now: Instant) {
        let age_s = now.saturating_duration_since(self.decayed_at).as_secs_f64();
        self.demand *= (-age_s / DEMAND_HALF_LIFE_S).exp2();
        self.decayed_at = now;
    }
}

impl TokenWaiter {
    /// Reserves the tokens for the waiting request.
    ///
    /// # Errors
    ///
    /// Fails when too few tokens are available, and notifies the draw task.
    pub fn reserve(&self, now: Instant) -> Result<Reservation, InsufficientTokens> {
        // A draw covers all waiting requests, so they need not be served in order.
        let left = |budget: &LocalBudget| {
            if self.takes_up_stream {
                0
            } else {
                budget.take_up_tokens
            }
        };
        self.local_budgets
            .try_reserve(&self.workspace, self.tokens, left, now)
    }
}

impl Drop for TokenWaiter {
    fn drop(&mut self) {
        let mut budgets = self.local_budgets.lock();
        if let Some(budget) = budgets.get_mut(&self.workspace) {
            budget.waiting_tokens -= self.tokens;
            if self.takes_up_stream {
                budget.take_up_tokens -= self.tokens;
            }
        }
    }
}
