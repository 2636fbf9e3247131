//! Time and memory until a new router and a new sidecar serve, against the number of budgets.

use crate::{
    fleet::{Fleet, FleetSettings},
    load::{LoadClient, RequestSpec},
    proc_stat::ProcStat,
};
use argh::FromArgs;
use mallowpath_e2e::BoxError;
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// time and memory until a replaced router and sidecar serve, against the number of budgets
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "recovery")]
pub struct RecoveryArguments {
    /// replacements for each number of budgets; default 3
    #[argh(option, default = "3")]
    rounds: usize,
}

const POLL_INTERVAL_MS: u64 = 5;
/// The number of configuration changes, each of one section.
const CHANGES: usize = 10;
const SERVING_TIMEOUT_MS: u64 = 30_000;

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub async fn run(arguments: &RecoveryArguments) -> Result<(), BoxError> {
    for budgets in [1_000, 10_000, 61_000] {
        let settings = FleetSettings {
            budgets,
            workspaces: budgets.min(1_400),
            ..FleetSettings::default()
        };
        let mut fleet = Fleet::start(settings).await?;
        let log_bytes = fleet.log.stats().await["bytes"].as_u64();
        for _ in 0..arguments.rounds {
            let started_at = Instant::now();
            fleet.add_router().await?;
            let listening_ms = started_at.elapsed().as_millis();
            let router = &fleet.routers[fleet.routers.len() - 1];
            wait_until_served(router.callers).await?;
            let serving_ms = started_at.elapsed().as_millis();
            let stat = ProcStat::read(router.process.id())?;
            let line = json!({
                "experiment": "recovery", "role": "router", "budgets": budgets,
                "log_bytes": log_bytes, "listening_ms": listening_ms, "serving_ms": serving_ms,
                "cpu_ms": stat.cpu_ms, "resident_kb": stat.resident_kb, "peak_kb": stat.peak_kb,
            });
            println!("{line}");
        }
        measure_changes(&fleet, budgets).await?;
        let started_at = Instant::now();
        let before = fleet.count_live_backends(&fleet.routers[0]).await;
        fleet.add_lookup().await?;
        while fleet.count_live_backends(&fleet.routers[0]).await <= before {
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        let line = json!({
            "experiment": "recovery", "role": "sidecar", "budgets": budgets,
            "taking_work_ms": started_at.elapsed().as_millis(),
        });
        println!("{line}");
    }
    Ok(())
}

/// Measures the processor time that a router spends on each small configuration change.
async fn measure_changes(fleet: &Fleet, budgets: usize) -> Result<(), BoxError> {
    let router = fleet.routers[0].process.id();
    let before = ProcStat::read(router)?;
    for number in 0..CHANGES {
        fleet.publish_change(number).await?;
    }
    sleep(Duration::from_secs(1)).await;
    let after = ProcStat::read(router)?;
    let line = json!({
        "experiment": "recovery", "role": "router", "budgets": budgets, "changes": CHANGES,
        "cpu_ms_per_change": (after.cpu_ms - before.cpu_ms) as f64 / CHANGES as f64,
        "resident_kb": after.resident_kb, "peak_kb": after.peak_kb,
    });
    println!("{line}");
    Ok(())
}

async fn wait_until_served(address: SocketAddr) -> Result<(), BoxError> {
    let load_client = LoadClient::new();
    let spec = RequestSpec {
        address,
        method: "GET",
        path: Arc::from("/services/lookup/x"),
        body: Arc::from(""),
        key: Fleet::key(0),
        id: 0,
    };
    let deadline = Instant::now() + Duration::from_millis(SERVING_TIMEOUT_MS);
    while !load_client.send(&spec, Instant::now()).await.is_complete {
        if Instant::now() > deadline {
            return Err("the new router did not serve a request in time".into());
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    Ok(())
}
