//! Cost of an idle router and sidecar against the size of the fleet.

use crate::{
    fleet::{Fleet, FleetSettings},
    proc_stat::ProcStat,
};
use argh::FromArgs;
use mallowpath_e2e::BoxError;
use serde_json::json;
use std::{
    process::Command,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// processor time, memory and traffic of idle processes against budgets and connections
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesArguments {
    /// seconds over which an idle fleet is watched; default 10
    #[argh(option, default = "10")]
    seconds: u64,
}

/// The measured values of a router for one size of the fleet.
#[derive(Debug, Clone, Copy)]
struct Point {
    x: f64,
    resident_kb: f64,
    cpu_share: f64,
    bytes_per_s: f64,
}

/// The name of a metric and a function that reads it from a point.
type Metric = (&'static str, fn(&Point) -> f64);

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub async fn run(arguments: &SlopesArguments) -> Result<(), BoxError> {
    let mut points = Vec::new();
    for budgets in [1_000, 10_000, 30_000, 61_000] {
        let settings = FleetSettings {
            budgets,
            workspaces: budgets.min(1_400),
            zones: 1,
            routers: 1,
            ..FleetSettings::default()
        };
        points.push(measure_idle("budgets", budgets, settings, arguments.seconds).await?);
    }
    print_fit("budgets", &points);
    points.clear();
    for engines in [4, 16, 48] {
        let settings = FleetSettings {
            engines,
            zones: 1,
            routers: 1,
            router_settings: "sidecars_per_service = 1000\n".to_owned(),
            ..FleetSettings::default()
        };
        points.push(measure_idle("sidecars", engines, settings, arguments.seconds).await?);
    }
    print_fit("sidecars", &points);
    points.clear();
    for routers in [1, 4, 12] {
        let settings = FleetSettings {
            zones: 2,
            routers,
            ..FleetSettings::default()
        };
        points.push(measure_idle("routers", routers, settings, arguments.seconds).await?);
    }
    print_fit("routers", &points);
    Ok(())
}

async fn measure_idle(
    x_name: &str,
    x: usize,
    settings: FleetSettings,
    seconds: u64,
) -> Result<Point, BoxError> {
    let started_at = Instant::now();
    let fleet = Fleet::start(settings).await?;
    let ready_ms = started_at.elapsed().as_millis();
    sleep(Duration::from_secs(2)).await;
    let router = fleet.routers[0].process.id();
    let sidecar = fleet.sidecars[0].id();
    let appends = count_appends(&fleet).await;
    let before = (ProcStat::read(router)?, ProcStat::read(sidecar)?);
    let bytes_before = (socket_bytes(router), socket_bytes(sidecar));
    sleep(Duration::from_secs(seconds)).await;
    let after = (ProcStat::read(router)?, ProcStat::read(sidecar)?);
    let bytes_after = (socket_bytes(router), socket_bytes(sidecar));
    let share = |before: ProcStat, after: ProcStat| {
        (after.cpu_ms - before.cpu_ms) as f64 / (seconds as f64 * 1_000.0)
    };
    let point = Point {
        x: x as f64,
        resident_kb: after.0.resident_kb as f64,
        cpu_share: share(before.0, after.0),
        bytes_per_s: bytes_after.0.saturating_sub(bytes_before.0) as f64 / seconds as f64,
    };
    let line = json!({
        "experiment": "slopes", x_name: x, "seconds": seconds, "fleet_ready_ms": ready_ms,
        "router_resident_kb": after.0.resident_kb, "router_peak_kb": after.0.peak_kb,
        "router_cpu_percent": 100.0 * point.cpu_share,
        "router_payload_bytes_per_s": point.bytes_per_s,
        "sidecar_resident_kb": after.1.resident_kb,
        "sidecar_cpu_percent": 100.0 * share(before.1, after.1),
        "sidecar_payload_bytes_per_s":
            bytes_after.1.saturating_sub(bytes_before.1) as f64 / seconds as f64,
        "idle_appends_per_s": (self::count_appends(&fleet).await - appends) as f64 / seconds as f64,
    });
    println!("{line}");
    Ok(point)
}

async fn count_appends(fleet: &Fleet) -> u64 {
    fleet.log.stats().await["appends"]
        .as_u64()
        .unwrap_or_default()
}

/// Returns the payload bytes that the open TCP connections of a process have sent and received,
/// from `ss`; 0 if `ss` can't be run.
fn socket_bytes(id: u32) -> u64 {
    let Ok(output) = Command::new("ss").args(["-tinpH"]).output() else {
        return 0;
    };
    let text = String::from_utf8_lossy(&output.stdout);
    let owner = format!("pid={id},");
    let mut owned = false;
    let mut bytes = 0;
    for line in text.lines() {
        if !line.starts_with(char::is_whitespace) {
            owned = line.contains(&owner);
            continue;
        }
        if !owned {
            continue;
        }
        for field in line.split_whitespace() {
            for key in ["bytes_sent:", "bytes_received:"] {
                if let Some(number) = field.strip_prefix(key) {
                    bytes += number.parse::<u64>().unwrap_or_default();
                }
            }
        }
    }
    bytes
}

fn print_fit(x_name: &str, points: &[Point]) {
    let metrics: [Metric; 3] = [
        ("router_resident_kb", |point| point.resident_kb),
        ("router_cpu_share", |point| point.cpu_share),
        ("router_payload_bytes_per_s", |point| point.bytes_per_s),
    ];
    for (name, metric) in metrics {
        let (slope, intercept) = fit_line(points, metric);
        let line = json!({
            "experiment": "slopes fit", "per": x_name, "figure": name,
            "slope": slope, "at_zero": intercept,
        });
        println!("{line}");
    }
}

/// Fits a line by least squares and returns its slope and its intercept.
fn fit_line(points: &[Point], metric: fn(&Point) -> f64) -> (f64, f64) {
    let count = points.len() as f64;
    let (mut sum_x, mut sum_y, mut sum_xx, mut sum_xy) = (0.0, 0.0, 0.0, 0.0);
    for point in points {
        let y = metric(point);
        sum_x += point.x;
        sum_y += y;
        sum_xx += point.x * point.x;
        sum_xy += point.x * y;
    }
    let slope = (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
    (slope, (sum_y - slope * sum_x) / count)
}
