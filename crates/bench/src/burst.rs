//! Goodput around a burst of three times the capacity, with callers that retry.

use crate::{
    fleet::{Fleet, FleetSettings},
    load::{LoadClient, RequestSpec},
    plot::{Curve, draw},
};
use argh::FromArgs;
use mallowpath_e2e::BoxError;
use serde_json::json;
use std::{
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time::sleep_until};

/// goodput before, during and after a burst of three times the capacity
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "burst")]
pub struct BurstArguments {
    /// where to draw the curves as SVG
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// Requests per second before and after the burst, about two thirds of the capacity.
const NORMAL_PER_S: u64 = 60;
/// Requests per second during the burst.
const BURST_PER_S: u64 = 270;
const BURST_FROM_S: u64 = 8;
const BURST_TO_S: u64 = 18;
const END_S: u64 = 40;
const MAX_ATTEMPTS: u32 = 5;
/// The time within which an answer counts as useful.
const USEFUL_MS: u64 = 2_000;

/// Runs the experiment.
///
/// # Errors
///
/// Fails when the fleet does not start.
pub async fn run(arguments: &BurstArguments) -> Result<(), BoxError> {
    let settings = FleetSettings {
        engines: 5,
        engine: json!({"model": "m", "max_running": 4}),
        timeout_ms: USEFUL_MS,
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(settings).await?;
    let load_client = LoadClient::new();
    let start = Instant::now();
    let mut calls = JoinSet::new();
    let mut offered = vec![0; usize::try_from(END_S)? + 1];
    let mut due = start;
    let mut number = 0;
    while due < start + Duration::from_secs(END_S) {
        sleep_until(due.into()).await;
        let second = (due - start).as_secs();
        let burst = (BURST_FROM_S..BURST_TO_S).contains(&second);
        let per_s = if burst { BURST_PER_S } else { NORMAL_PER_S };
        offered[usize::try_from(second)?] += 1;
        let address = fleet.routers[number % fleet.routers.len()].callers;
        number += 1;
        let spec = RequestSpec {
            address,
            method: "POST",
            path: Arc::from("/v1/chat/completions"),
            body: body(),
            key: Fleet::key(number % 10),
            id: 0,
        };
        calls.spawn(call(load_client.clone(), spec, due));
        due += Duration::from_micros(1_000_000 / per_s);
    }
    let mut useful_per_second = vec![0; offered.len()];
    let mut useful_first_try_per_second = vec![0; offered.len()];
    while let Some(done) = calls.join_next().await {
        let (due, attempts, useful) = done?;
        let second = usize::try_from((due - start).as_secs())?;
        useful_per_second[second] += u64::from(useful);
        useful_first_try_per_second[second] += u64::from(useful && attempts == 1);
    }
    report(
        arguments,
        &offered,
        &useful_per_second,
        &useful_first_try_per_second,
    )
}

fn body() -> Arc<str> {
    let body = json!({
        "model": "m", "standin_tokens": 20, "max_tokens": 32,
        "messages": [{"role": "user", "content": "Draft a notice for room 4."}],
    });
    Arc::from(body.to_string())
}

/// Sends a request until it is answered or too late; returns when it was first due, the number of
/// attempts and whether the answer was useful.
async fn call(load_client: LoadClient, spec: RequestSpec, due: Instant) -> (Instant, u32, bool) {
    for attempts in 1..=MAX_ATTEMPTS {
        let sample = load_client.send(&spec, Instant::now()).await;
        let useful = due.elapsed() < Duration::from_millis(USEFUL_MS);
        if sample.is_complete || !useful {
            return (due, attempts, sample.is_complete && useful);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    (due, MAX_ATTEMPTS, false)
}

fn report(
    arguments: &BurstArguments,
    offered: &[u64],
    useful_per_second: &[u64],
    useful_first_try_per_second: &[u64],
) -> Result<(), BoxError> {
    for (name, from, to) in [
        ("before", 3, BURST_FROM_S),
        ("burst", BURST_FROM_S, BURST_TO_S),
        ("0 to 5 s after", BURST_TO_S, BURST_TO_S + 5),
        ("5 to 20 s after", BURST_TO_S + 5, BURST_TO_S + 20),
    ] {
        let range = usize::try_from(from)?..usize::try_from(to)?;
        let seconds = (to - from) as f64;
        let sum = |counts: &[u64]| counts[range.clone()].iter().sum::<u64>() as f64 / seconds;
        let line = json!({
            "experiment": "burst", "span": name, "offered_per_s": sum(offered),
            "useful_per_s": sum(useful_per_second),
            "useful_first_try_per_s": sum(useful_first_try_per_second),
        });
        println!("{line}");
    }
    let Some(file) = &arguments.svg else {
        return Ok(());
    };
    let mut curves = Vec::new();
    for (name, counts) in [("offered", offered), ("useful", useful_per_second)] {
        let mut points = Vec::new();
        for (second, count) in counts.iter().enumerate() {
            points.push((second as f64, *count as f64));
        }
        curves.push(Curve { name, points });
    }
    draw(
        file,
        "requests a second by the time of their first call",
        &curves,
    )
}
