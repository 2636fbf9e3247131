//! The draw tasks of all shards of the ledger.

use super::{
    draw_loop::{return_unspent, run_draws},
    draw_plan::{DrawSettings, Holding},
    draw_task::DrawTask,
    ledger::Account,
    ledger_shard::LedgerShard,
    local_budgets::LocalBudgets,
};
use crate::{
    process::{RouterDirectory, Store},
    version::Configuration,
};
use futures_util::future::join_all;
use mallowpath::WorkspaceId;
use std::{sync::Arc, time::Instant};

/// This router's part of each shard of the ledger.
#[derive(Debug)]
pub struct BudgetShards {
    /// In the order of the shards.
    tasks: Vec<Arc<DrawTask>>,
}

impl BudgetShards {
    /// Returns the shards of the router whose accounts have the key `router`; it holds tokens in
    /// advance of the budgets that `directory` assigns to it.
    pub(crate) fn new(
        store: &Store,
        router: &Arc<str>,
        settings: &DrawSettings,
        directory: &Arc<RouterDirectory>,
    ) -> Self {
        let mut tasks = Vec::new();
        for shard in LedgerShard::all() {
            let directory = Arc::clone(directory);
            let task = DrawTask::new(
                store.clone(),
                Arc::clone(router),
                LocalBudgets::new(),
                settings.clone(),
            );
            let task = task
                .with_shard(shard)
                .with_keeper_check(move |workspace| directory.is_keeper(workspace));
            tasks.push(Arc::new(task));
        }
        Self { tasks }
    }

    /// Returns the draw task of a workspace's budget.
    pub(crate) fn task(&self, workspace: &WorkspaceId) -> &Arc<DrawTask> {
        &self.tasks[LedgerShard::of(workspace).index()]
    }

    /// Returns whether the ledger was read once.
    pub(crate) fn is_loaded(&self) -> bool {
        self.tasks.iter().all(|task| task.ledger().lock().is_some())
    }

    /// Returns whether another process has taken over an account of this router.
    pub(crate) fn is_fenced(&self) -> bool {
        self.tasks.iter().any(|task| task.is_fenced())
    }

    /// Returns the tokens that the router holds of a workspace's budget of `prepaid` tokens.
    pub(crate) fn holding(&self, workspace: &WorkspaceId, prepaid: u64) -> Holding {
        let local_budgets = self.task(workspace).local_budgets();
        local_budgets.holding(workspace, prepaid, 0.0, Instant::now())
    }

    /// Returns the number of requests that wait here for tokens of a workspace's budget.
    pub(crate) fn queue_length(&self, workspace: &WorkspaceId) -> usize {
        let local_budgets = self.task(workspace).local_budgets();
        local_budgets.queue_length(workspace)
    }

    /// Makes the next draws check whether the ledger was restored from an older copy.
    pub(crate) fn check_for_restore(&self) {
        for task in &self.tasks {
            task.check_for_restore();
        }
    }

    /// Draws and returns tokens until `is_closing` returns true.
    pub(crate) async fn run(
        &self,
        configuration: impl Fn() -> Option<Arc<Configuration>>,
        is_closing: impl Fn() -> bool,
    ) {
        let mut loops = Vec::with_capacity(self.tasks.len());
        for task in &self.tasks {
            loops.push(run_draws(task, &configuration, &is_closing));
        }
        join_all(loops).await;
    }

    /// Returns all tokens that are neither spent nor reserved to the ledger, giving up at `until`.
    pub(crate) async fn return_unspent(&self, configuration: &Configuration, until: Instant) {
        let mut returns = Vec::with_capacity(self.tasks.len());
        for task in &self.tasks {
            returns.push(return_unspent(task, configuration, until));
        }
        join_all(returns).await;
    }

    /// Returns the newest accounts of this router, with the positions of their shards.
    pub(super) fn own_accounts(&self) -> Vec<(usize, Account)> {
        let mut accounts = Vec::new();
        for (shard, task) in self.tasks.iter().enumerate() {
            if let Some(account) = task.own_account() {
                accounts.push((shard, account));
            }
        }
        accounts
    }

    /// Counts the account of a router in the shard at a position from now on, unless a newer one is
    /// known; returns whether it does.
    pub(super) fn keep_account(&self, shard: usize, router: Arc<str>, account: Account) -> bool {
        let Some(task) = self.tasks.get(shard) else {
            return false;
        };
        let mut ledger = task.ledger().lock();
        let Some(ledger) = ledger.as_mut() else {
            return false;
        };
        ledger.set(router, account);
        true
    }

    /// Returns the time since a shard was last read, in milliseconds; `None` before the first read.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        let ages = self.tasks.iter().filter_map(|task| task.ledger().age_ms());
        ages.min()
    }

    /// Returns the end offset of each shard that was read, for the state dump.
    pub(crate) fn ends(&self) -> Vec<Option<u64>> {
        let mut ends = Vec::with_capacity(self.tasks.len());
        for task in &self.tasks {
            let ledger = task.ledger().lock();
            ends.push(ledger.as_ref().map(|ledger| ledger.end().0));
        }
        ends
    }
}
