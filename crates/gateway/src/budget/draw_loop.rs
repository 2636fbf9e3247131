//! Draws tokens while the process serves requests, and returns them when it ends.

use super::draw_task::{DRAW_INTERVAL_MIN_MS, DrawTask};
use crate::{
    budget::{DrawSettings, Holding},
    version::Configuration,
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

/// The interval at which holdings are reviewed while none runs low.
const REVIEW_INTERVAL_MS: u64 = 250;

/// Draws and returns tokens of the budgets in the current configuration until `is_closing` returns true.
pub(super) async fn run_draws(
    task: &DrawTask,
    configuration: impl Fn() -> Option<Arc<Configuration>>,
    is_closing: impl Fn() -> bool,
) {
    task.load_ledger().await;
    let mut next_refill = Instant::now();
    while !is_closing() {
        let review = Duration::from_millis(REVIEW_INTERVAL_MS);
        // Holdings are reviewed after a timeout as well, so that excess tokens are returned.
        let _ = timeout(review, task.local_budgets().wait_until_refill_needed()).await;
        let Some(configuration) = configuration() else {
            continue;
        };
        // Requests that lack tokens don't wait for the interval between refills.
        if !task.local_budgets().has_unmet_demand() && Instant::now() < next_refill {
            continue;
        }
        if task.draw_once(&configuration).await {
            let interval = task
                .refill_interval()
                .mul_f64(rand::random_range(0.75..1.25));
            next_refill = Instant::now() + interval;
            sleep(Duration::from_millis(DRAW_INTERVAL_MIN_MS)).await;
        }
    }
}

/// Returns all tokens that are neither spent nor reserved to the ledger, giving up at `until`.
pub(super) async fn return_unspent(task: &DrawTask, configuration: &Configuration, until: Instant) {
    let without_demand = |holding: &mut Holding| {
        holding.tokens_per_s = 0.0;
        holding.shortage_tokens = 0;
    };
    let settings = DrawSettings {
        floor_share: 0.0,
        return_above_factor: 0.0,
        return_min_share: 0.0,
        ..task.settings().clone()
    };
    let return_draw = task.draw(configuration, without_demand, &settings);
    if tokio::time::timeout_at(until.into(), return_draw)
        .await
        .is_err()
    {
        log::warn!(
            target: "budget",
            "returning unspent tokens timed out; \
             those that the ledger still shows as granted count as spent"
        );
    }
}
