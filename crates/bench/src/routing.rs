//! Time to first token and prefix cache hits of three strategies to choose an engine.

use crate::load::{
    LoadClient, RequestSpec, Sample, count_complete, latency_histogram, quantile_ms,
};
use argh::FromArgs;
use mallowpath::{
    Backend, BackendId, LoadReport, RouteRequest, RouteSettings, RouteTable, least_outstanding,
    prefix_hashes, round_robin,
};
use mallowpath_e2e::{BoxError, Standin};
use mallowpath_standins::client;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time::sleep_until};

/// time to the first token and prefix hits: ours, round robin, least outstanding
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "routing")]
pub struct RoutingArguments {
    /// seed of prompts and answer lengths; default 11
    #[argh(option, default = "11")]
    seed: u64,
    /// requests a second over all routers; default 120
    #[argh(option, default = "120")]
    per_s: u64,
    /// seconds of each load; default 15
    #[argh(option, default = "15")]
    seconds: u64,
}

const ENGINES: usize = 20;
const ROUTERS: usize = 4;
const PREFIXES: usize = 60;
/// The approximate number of characters that prompts of one kind share.
const PREFIX_CHARS: usize = 6_000;
const LOAD_POLL_MS: u64 = 500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    Ours,
    RoundRobin,
    LeastOutstanding,
}

/// The routing state of one simulated router.
#[derive(Debug)]
struct RouterView {
    table: Mutex<RouteTable>,
    turn: Mutex<u64>,
}

/// A request of the load.
#[derive(Debug, Clone)]
struct Call {
    id: u64,
    router: usize,
    prompt: Arc<str>,
    tokens: u64,
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails when an engine does not start.
pub async fn run(arguments: &RoutingArguments) -> Result<(), BoxError> {
    for strategy in [
        Strategy::RoundRobin,
        Strategy::LeastOutstanding,
        Strategy::Ours,
    ] {
        run_strategy(arguments, strategy).await?;
    }
    Ok(())
}

async fn run_strategy(arguments: &RoutingArguments, strategy: Strategy) -> Result<(), BoxError> {
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let settings = json!({
            "model": "m", "max_running": 8, "cache_blocks": 300, "load_lag_ms": 1_000,
        });
        engines.push(Standin::start(
            &format!("engine-{number}"),
            "engine",
            &settings,
        )?);
    }
    let engines = Arc::new(engines);
    let mut views = Vec::new();
    for _ in 0..ROUTERS {
        views.push(RouterView {
            table: Mutex::new(table()?),
            turn: Mutex::new(0),
        });
    }
    let views = Arc::new(views);
    let start = Instant::now();
    let poll = tokio::spawn(poll_loads(Arc::clone(&engines), Arc::clone(&views), start));
    let samples = run_load(arguments, strategy, &engines, &views, start).await?;
    poll.abort();
    report(arguments, strategy, &engines, &samples).await;
    Ok(())
}

async fn run_load(
    arguments: &RoutingArguments,
    strategy: Strategy,
    engines: &Arc<Vec<Standin>>,
    views: &Arc<Vec<RouterView>>,
    start: Instant,
) -> Result<Vec<Sample>, BoxError> {
    let mut random = StdRng::seed_from_u64(arguments.seed);
    let load_client = LoadClient::new();
    let mut in_flight = JoinSet::new();
    for number in 0..arguments.per_s * arguments.seconds {
        let due = start + Duration::from_secs_f64(number as f64 / arguments.per_s as f64);
        sleep_until(due.into()).await;
        let call = random_request(&mut random, number);
        let draw = random.random();
        let (engines, views, load_client) =
            (Arc::clone(engines), Arc::clone(views), load_client.clone());
        in_flight.spawn(async move {
            let view = &views[call.router];
            send(
                strategy,
                view,
                &engines,
                &load_client,
                &call,
                draw,
                due,
                start,
            )
            .await
        });
    }
    let mut samples = Vec::new();
    while let Some(sample) = in_flight.join_next().await {
        samples.extend(sample?);
    }
    Ok(samples)
}

fn random_request(random: &mut StdRng, number: u64) -> Call {
    // The lesser of two draws makes the first prefixes more frequent than the others.
    let kind = random
        .random_range(0..PREFIXES)
        .min(random.random_range(0..PREFIXES));
    let prefix = format!("kind {kind} ").repeat(PREFIX_CHARS / 8);
    let prompt = format!("{prefix}request {number}");
    Call {
        id: number + 1,
        router: random.random_range(0..ROUTERS),
        prompt: Arc::from(prompt),
        tokens: random.random_range(8..64),
    }
}

#[expect(clippy::too_many_arguments, reason = "called in one place")]
async fn send(
    strategy: Strategy,
    view: &RouterView,
    engines: &[Standin],
    load_client: &LoadClient,
    call: &Call,
    draw: u64,
    due: Instant,
    start: Instant,
) -> Option<Sample> {
    let hashes = prefix_hashes(call.prompt.as_bytes());
    let submitted_ms = millis(start);
    let (id, prefill_ms, load) = choose(strategy, view, call, &hashes, submitted_ms, draw)?;
    let engine = &engines[id.as_str().parse::<usize>().ok()?];
    let body = json!({
        "model": "m", "stream": true, "standin_tokens": call.tokens, "max_tokens": 128,
        "messages": [{"role": "user", "content": &*call.prompt}],
    });
    let spec = RequestSpec {
        address: engine.address,
        method: "POST",
        path: Arc::from("/v1/chat/completions"),
        body: Arc::from(body.to_string()),
        key: Arc::from(""),
        id: call.id,
    };
    let sample = load_client.send(&spec, due).await;
    let mut table = view.table.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(backend) = table.get_mut(&id) {
        backend.record_first_token(sample.first_us / 1_000, prefill_ms, load, millis(start));
        backend.record_end(submitted_ms, millis(start));
    }
    Some(sample)
}

fn choose(
    strategy: Strategy,
    view: &RouterView,
    call: &Call,
    hashes: &[u64],
    now_ms: u64,
    draw: u64,
) -> Option<(BackendId, f64, f64)> {
    let mut table = view.table.lock().unwrap_or_else(PoisonError::into_inner);
    let chosen = match strategy {
        Strategy::Ours => {
            let request = RouteRequest {
                prefix_hashes: hashes,
                adapter: None,
                prompt_tokens: call.prompt.len().div_ceil(4) as u64,
                cap_tokens: 128,
                priority: 5,
                exclude: &[],
            };
            let choice = table.choose(&request, now_ms, draw).ok()?;
            (choice.backend.id.clone(), choice.prefill_ms, choice.load)
        }
        Strategy::RoundRobin => {
            let mut turn = view.turn.lock().unwrap_or_else(PoisonError::into_inner);
            *turn += 1;
            let backend = round_robin(&table, &[], now_ms, *turn).ok()?;
            (backend.id.clone(), 0.0, 0.0)
        }
        Strategy::LeastOutstanding => {
            let backend = least_outstanding(&table, &[], now_ms, draw).ok()?;
            (backend.id.clone(), 0.0, 0.0)
        }
    };
    table.get_mut(&chosen.0)?.record_submission(hashes, now_ms);
    Some(chosen)
}

fn table() -> Result<RouteTable, BoxError> {
    let zone: mallowpath::Zone = "zone-0".parse()?;
    let mut table = RouteTable::new(zone.clone(), RouteSettings::default());
    for number in 0..ENGINES {
        let name = number.to_string();
        table.insert(Backend::new(name.parse()?, name.parse()?, zone.clone()));
    }
    Ok(table)
}

async fn poll_loads(engines: Arc<Vec<Standin>>, views: Arc<Vec<RouterView>>, start: Instant) {
    loop {
        for (number, engine) in engines.iter().enumerate() {
            let Ok(answer) = client::send_and_read(engine.address, "GET /v1/load", &[], "").await
            else {
                continue;
            };
            let load = answer.json();
            let report = LoadReport {
                running: load["running"].as_u64().unwrap_or_default(),
                waiting: load["waiting"].as_u64().unwrap_or_default(),
                kv_used_tokens: load["kv_used_tokens"].as_u64().unwrap_or_default(),
                kv_total_tokens: load["kv_total_tokens"].as_u64().unwrap_or_default(),
                at_ms: millis(start),
            };
            let Ok(id) = number.to_string().parse() else {
                continue;
            };
            for view in views.iter() {
                let mut table = view.table.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(backend) = table.get_mut(&id) {
                    backend.apply_report(report);
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(LOAD_POLL_MS)).await;
    }
}

async fn report(
    arguments: &RoutingArguments,
    strategy: Strategy,
    engines: &[Standin],
    samples: &[Sample],
) {
    let (mut prompt_tokens, mut hit_tokens) = (0, 0);
    for engine in engines {
        let stats = engine.stats().await;
        for run in stats["runs"]
            .as_object()
            .into_iter()
            .flat_map(|runs| runs.values())
        {
            prompt_tokens += run["prompt_tokens"].as_u64().unwrap_or_default();
            hit_tokens += run["prefix_hit_tokens"].as_u64().unwrap_or_default();
        }
    }
    let first = latency_histogram(samples, |sample| sample.first_us);
    let line = json!({
        "experiment": "routing", "way": format!("{strategy:?}"), "seed": arguments.seed,
        "per_s": arguments.per_s, "sent": samples.len(), "whole": count_complete(samples),
        "first_p50_ms": quantile_ms(&first, 0.5), "first_p95_ms": quantile_ms(&first, 0.95),
        "first_p99_ms": quantile_ms(&first, 0.99),
        "prefix_hit_share": hit_tokens as f64 / (prompt_tokens as f64).max(1.0),
    });
    println!("{line}");
}

fn millis(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
