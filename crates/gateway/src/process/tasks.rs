//! Keeps the tasks of a router running that never return.

use super::{
    gateway::Gateway,
    reports::{report_host_load, report_waits},
    store::Store,
    store_origins::store_origins,
    watch::{Decoders, watch_configuration},
    watch_backends::watch_backends,
    watch_quarantine::{store_quarantine, watch_quarantine},
    watch_routers::watch_routers,
};
use crate::{budget::run_expiry, quarantine::run_evaluation};
use mallowpath::Backoff;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// The delays before a task that panicked starts again.
const RESTART_BACKOFF: Backoff = Backoff {
    min_ms: 200,
    max_ms: 5_000,
};

/// What the tasks start with.
#[derive(Debug, Clone)]
pub(super) struct TaskInputs {
    pub(super) gateway: Arc<Gateway>,
    pub(super) store: Store,
    pub(super) decoders: Decoders,
}

/// Starts the tasks that apply the records of the store, and those that act at intervals.
pub(super) fn start_tasks(inputs: &TaskInputs) {
    supervise("watch_configuration", inputs, |inputs| {
        watch_configuration(inputs.gateway, inputs.store, inputs.decoders)
    });
    supervise("watch_backends", inputs, |inputs| {
        watch_backends(inputs.gateway, inputs.store, inputs.decoders)
    });
    supervise("watch_quarantine", inputs, |inputs| {
        watch_quarantine(inputs.gateway, inputs.store)
    });
    supervise("store_quarantine", inputs, |inputs| {
        store_quarantine(inputs.gateway, inputs.store)
    });
    supervise("run_evaluation", inputs, |inputs| {
        run_evaluation(inputs.gateway)
    });
    supervise("store_origins", inputs, |inputs| {
        store_origins(inputs.gateway)
    });
    supervise("report_host_load", inputs, |inputs| {
        report_host_load(inputs.gateway)
    });
    supervise("report_waits", inputs, |inputs| {
        report_waits(inputs.gateway)
    });
    supervise("watch_routers", inputs, |inputs| {
        watch_routers(inputs.gateway, inputs.store)
    });
    supervise("run_expiry", inputs, |inputs| run_expiry(inputs.gateway));
}

/// Runs the task that `start` returns, and starts it again if it panics.
///
/// A follower of a topic then reads the newest record of each key, so that it goes on once the record
/// at which it panicked is replaced.
fn supervise<F>(name: &'static str, inputs: &TaskInputs, start: fn(TaskInputs) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let inputs = inputs.clone();
    tokio::spawn(async move {
        let mut panics = 0;
        loop {
            let Err(error) = tokio::spawn(start(inputs.clone())).await else {
                return;
            };
            if !error.is_panic() {
                return;
            }
            let delay_ms = RESTART_BACKOFF.delay_ms(panics, rand::random());
            panics += 1;
            metrics::counter!("gateway_task_panics_total", "task" => name).increment(1);
            log::error!(
                target: "process",
                "task {name} panicked, {panics} times so far, starting it again in {delay_ms} ms: {error}",
            );
            sleep(Duration::from_millis(delay_ms)).await;
        }
    });
}
