//! Time and memory until a replaced router and sidecar serve, against the number of budgets.

use crate::{
    fleet::{Fleet, FleetSettings},
    load::{Gun, Shot},
    proc_stat::ProcStat,
};
use argh::FromArgs;
use mallowpath_e2e::Failure;
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

const PAUSE_MS: u64 = 5;
const SERVING_MS: u64 = 30_000;

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub async fn run(arguments: &RecoveryArguments) -> Result<(), Failure> {
    for budgets in [1_000, 10_000, 61_000] {
        let settings = FleetSettings {
            budgets,
            workspaces: budgets.min(1_400),
            ..FleetSettings::default()
        };
        let mut fleet = Fleet::start(settings).await?;
        let log_bytes = fleet.log.stats().await["bytes"].as_u64();
        for _ in 0..arguments.rounds {
            let began = Instant::now();
            fleet.add_router().await?;
            let listening_ms = began.elapsed().as_millis();
            let router = &fleet.routers[fleet.routers.len() - 1];
            until_served(router.callers).await?;
            let serving_ms = began.elapsed().as_millis();
            let stat = ProcStat::read(router.process.id())?;
            let line = json!({
                "experiment": "recovery", "role": "router", "budgets": budgets,
                "log_bytes": log_bytes, "listening_ms": listening_ms, "serving_ms": serving_ms,
                "cpu_ms": stat.cpu_ms, "resident_kb": stat.resident_kb, "peak_kb": stat.peak_kb,
            });
            println!("{line}");
        }
        let began = Instant::now();
        let before = fleet.live_backends(&fleet.routers[0]).await;
        fleet.add_lookup().await?;
        while fleet.live_backends(&fleet.routers[0]).await <= before {
            sleep(Duration::from_millis(PAUSE_MS)).await;
        }
        let line = json!({
            "experiment": "recovery", "role": "sidecar", "budgets": budgets,
            "taking_work_ms": began.elapsed().as_millis(),
        });
        println!("{line}");
    }
    Ok(())
}

async fn until_served(address: SocketAddr) -> Result<(), Failure> {
    let gun = Gun::new();
    let shot = Shot {
        address,
        method: "GET",
        path: Arc::from("/services/lookup/x"),
        body: Arc::from(""),
        key: Fleet::key(0),
        id: 0,
    };
    let give_up = Instant::now() + Duration::from_millis(SERVING_MS);
    while !gun.fire(&shot, Instant::now()).await.whole {
        if Instant::now() > give_up {
            return Err("a new router does not serve".into());
        }
        sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    Ok(())
}
