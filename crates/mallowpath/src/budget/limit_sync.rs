//! Propagates changed budget limits from the configuration to the ledgers.

use crate::{budget::keeper_task::KeeperTask, id::Version, process::router::Router};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// The interval at which the configuration version is checked.
const POLL_INTERVAL_MS: u64 = 250;

/// Queues changed limits of the budgets that the ledgers of this process's keepers contain.
///
/// A slice request already sets the limit of its budget. This task covers budgets without slice
/// requests, either unused or served from slices that the routers hold.
pub(crate) async fn run(router: Arc<Router>) {
    let mut applied_version = Version(0);
    let mut applied_keeper_count = 0;
    loop {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        let version = router.config_version();
        let tasks = router.budgets.keeper_tasks();
        if version == applied_version && tasks.len() == applied_keeper_count {
            continue;
        }
        for task in &tasks {
            queue_limits(&router, task, version);
        }
        applied_version = version;
        applied_keeper_count = tasks.len();
    }
}

fn queue_limits(router: &Router, task: &KeeperTask, version: Version) {
    let fleet = router.fleet();
    let mut budgets = Vec::new();
    task.with_keeper(|keeper| {
        for (budget, _) in keeper.ledger().balances() {
            budgets.push(budget.clone());
        }
    });
    for budget in budgets {
        if let Some(configured) = fleet.budgets.get(&budget) {
            task.set_limit(&budget, version, configured.tokens);
        }
    }
}
