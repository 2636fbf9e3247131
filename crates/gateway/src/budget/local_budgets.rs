//! The tokens that a router holds and spends without asking anyone.

use super::{ledger::Account, plan::Holding};
use mallowpath::WorkspaceId;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};
use tokio::sync::{Notify, futures::Notified};

/// The time after which a request counts half in the measured demand.
const DEMAND_HALF_LIFE_S: f64 = 3.0;

/// What a router holds of all budgets.
#[derive(Debug)]
pub struct LocalBudgets {
    /// A leaf lock.
    budgets: Mutex<HashMap<WorkspaceId, LocalBudget>>,
    /// Told when a holding runs low.
    low: Notify,
    /// Told when tokens were added, or when none are known to come.
    refilled: Notify,
}

#[derive(Debug)]
struct LocalBudget {
    granted: u64,
    spent: u64,
    reserved: u64,
    /// The largest request that found too little since the last draw.
    short: u64,
    /// What requests wait for.
    waiting: u64,
    /// Tokens asked for, each halved every [`DEMAND_HALF_LIFE_S`].
    demand: f64,
    demand_at: Instant,
    low_s: f64,
}

/// Tokens set aside for one request; what is not settled at its end goes back.
#[derive(Debug)]
pub struct Reservation {
    local_budgets: Arc<LocalBudgets>,
    workspace: WorkspaceId,
    tokens: u64,
    /// What is spent if the request ends now.
    spent: u64,
}

/// A request that waits for tokens; what comes is kept for it before requests that come later.
#[derive(Debug)]
pub struct Waiting {
    local_budgets: Arc<LocalBudgets>,
    workspace: WorkspaceId,
    tokens: u64,
}

/// The local budget does not hold enough tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// What it holds unspent.
    pub held: u64,
}

impl LocalBudgets {
    /// Makes local budgets without tokens.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            budgets: Mutex::default(),
            low: Notify::new(),
            refilled: Notify::new(),
        })
    }

    /// Counts tokens that a request asks for in the measured demand; once for each request.
    pub fn count_demand(&self, workspace: &WorkspaceId, tokens: u64, now: Instant) {
        let mut budgets = self.lock();
        let budget = budgets
            .entry(workspace.clone())
            .or_insert_with(|| LocalBudget::new(now));
        budget.decay(now);
        budget.demand += tokens as f64;
    }

    /// Sets tokens aside for a request that comes; those that wait go first.
    ///
    /// # Errors
    ///
    /// Fails when the local budget holds too few; the draw task is told.
    pub fn reserve(
        self: &Arc<Self>,
        workspace: &WorkspaceId,
        tokens: u64,
        now: Instant,
    ) -> Result<Reservation, Shortage> {
        self.try_reserve(workspace, tokens, false, now)
    }

    /// Lets a request wait that has found too few tokens; its failure has told the draw task.
    pub fn wait(self: &Arc<Self>, workspace: &WorkspaceId, tokens: u64) -> Waiting {
        let mut budgets = self.lock();
        let budget = budgets
            .entry(workspace.clone())
            .or_insert_with(|| LocalBudget::new(Instant::now()));
        budget.waiting += tokens;
        drop(budgets);
        Waiting {
            local_budgets: Arc::clone(self),
            workspace: workspace.clone(),
            tokens,
        }
    }

    /// Sets tokens aside; a request that does not wait leaves what others wait for.
    fn try_reserve(
        self: &Arc<Self>,
        workspace: &WorkspaceId,
        tokens: u64,
        is_waiting: bool,
        now: Instant,
    ) -> Result<Reservation, Shortage> {
        let mut budgets = self.lock();
        let budget = budgets
            .entry(workspace.clone())
            .or_insert_with(|| LocalBudget::new(now));
        budget.decay(now);
        let held = budget.held();
        let kept = if is_waiting { 0 } else { budget.waiting };
        if held < tokens.saturating_add(kept) {
            budget.short = budget.short.max(tokens);
            drop(budgets);
            self.low.notify_one();
            return Err(Shortage { held });
        }
        budget.reserved += tokens;
        let is_low = (budget.held() as f64) < budget.tokens_per_s() * budget.low_s;
        drop(budgets);
        if is_low {
            self.low.notify_one();
        }
        Ok(Reservation {
            local_budgets: Arc::clone(self),
            workspace: workspace.clone(),
            tokens,
            spent: 0,
        })
    }

    /// Waits until tokens were added after this call, or none are known to come.
    pub fn refilled(&self) -> Notified<'_> {
        self.refilled.notified()
    }

    /// Waits until a reservation failed.
    pub(crate) async fn low(&self) {
        self.low.notified().await;
    }

    /// Tells whether a request was refused or waits for want of tokens since the last draw.
    pub(crate) fn is_waited_for(&self) -> bool {
        let budgets = self.lock();
        budgets.values().any(|budget| budget.wanted() > 0)
    }

    /// Returns what this process has spent of a budget.
    pub(crate) fn spent(&self, workspace: &WorkspaceId) -> u64 {
        let budgets = self.lock();
        budgets.get(workspace).map_or(0, |budget| budget.spent)
    }

    /// Describes the holding of a budget of which `prepaid` tokens were paid.
    ///
    /// The draw task is told when the holding lasts for less than `low_s` seconds from now on.
    pub fn holding(
        &self,
        workspace: &WorkspaceId,
        prepaid: u64,
        low_s: f64,
        now: Instant,
    ) -> Holding {
        let mut budgets = self.lock();
        let budget = budgets
            .entry(workspace.clone())
            .or_insert_with(|| LocalBudget::new(now));
        budget.decay(now);
        budget.low_s = low_s;
        Holding {
            workspace: workspace.clone(),
            prepaid,
            granted: budget.granted,
            spent: budget.spent,
            reserved: budget.reserved,
            tokens_per_s: budget.tokens_per_s(),
            wanted: budget.wanted(),
        }
    }

    /// Takes over what the account grants where that is less than before.
    ///
    /// To be called before the account is written, so that what is given back is spent by nobody.
    pub fn lower(&self, account: &Account) {
        let mut budgets = self.lock();
        for (workspace, line) in &account.lines {
            let Some(budget) = budgets.get_mut(workspace) else {
                continue;
            };
            let floor = budget.spent + budget.reserved;
            budget.granted = budget.granted.min(line.granted.max(floor));
        }
    }

    /// Takes over what the account grants where that is more and `fits`; to be called once the
    /// account is written.
    pub fn raise(&self, account: &Account, fits: impl Fn(&WorkspaceId) -> bool) {
        let mut budgets = self.lock();
        for (workspace, line) in &account.lines {
            if !fits(workspace) {
                continue;
            }
            let budget = budgets
                .entry(workspace.clone())
                .or_insert_with(|| LocalBudget::new(Instant::now()));
            budget.granted = budget.granted.max(line.granted);
            budget.short = 0;
        }
        drop(budgets);
        self.wake();
    }

    /// Lets requests that wait for tokens try again.
    pub(crate) fn wake(&self) {
        self.refilled.notify_waiters();
    }

    /// Tells whether no more is held than the account grants.
    pub fn is_within(&self, account: &Account) -> bool {
        let budgets = self.lock();
        for (workspace, budget) in budgets.iter() {
            let granted = account.lines.get(workspace).map_or(0, |line| line.granted);
            if budget.granted > granted {
                return false;
            }
        }
        true
    }

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
            short: 0,
            waiting: 0,
            demand: 0.0,
            demand_at: now,
            low_s: 0.0,
        }
    }

    /// Returns the tokens that should be drawn for requests that came.
    fn wanted(&self) -> u64 {
        self.short.max(self.waiting)
    }

    fn held(&self) -> u64 {
        self.granted.saturating_sub(self.spent + self.reserved)
    }

    /// Returns the demand, in tokens a second.
    fn tokens_per_s(&self) -> f64 {
        self.demand * std::f64::consts::LN_2 / DEMAND_HALF_LIFE_S
    }

    fn decay(&mut self, now: Instant) {
        let age_s = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand *= (-age_s / DEMAND_HALF_LIFE_S).exp2();
        self.demand_at = now;
    }
}

impl Reservation {
    /// Sets what the request has cost so far; it is spent when the reservation is dropped.
    pub fn set_spent(&mut self, tokens: u64) {
        self.spent = tokens.min(self.tokens);
    }

    /// Returns what is spent if the request ends now.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Counts all reserved tokens as spent, as the cost can't be known.
    pub fn set_all_spent(&mut self) {
        self.spent = self.tokens;
    }
}

impl Waiting {
    /// Sets the tokens aside.
    ///
    /// # Errors
    ///
    /// Fails when the local budget holds too few; the draw task is told.
    pub fn reserve(&self, now: Instant) -> Result<Reservation, Shortage> {
        // What is drawn covers all that wait, so they need not go in order.
        self.local_budgets
            .try_reserve(&self.workspace, self.tokens, true, now)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut budgets = self.local_budgets.lock();
        if let Some(budget) = budgets.get_mut(&self.workspace) {
            budget.waiting -= self.tokens;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.local_budgets
            .settle(&self.workspace, self.tokens, self.spent);
    }
}
