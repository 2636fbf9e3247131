//! Time to the first token and prefix hits of three ways to choose an engine.

use crate::load::{Gun, Hit, Shot, count_whole, quantile_ms, times};
use argh::FromArgs;
use mallowpath::{
    Backend, BackendId, LoadReport, RouteRequest, RouteSettings, RouteTable, least_outstanding,
    prefix_hashes, round_robin,
};
use mallowpath_e2e::{Failure, Standin};
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
/// Tokens of a prompt that callers of one kind share.
const PREFIX_CHARS: usize = 6_000;
const POLL_MS: u64 = 500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Ours,
    RoundRobin,
    LeastOutstanding,
}

/// The view of one router.
#[derive(Debug)]
struct View {
    table: Mutex<RouteTable>,
    turn: Mutex<u64>,
}

/// A request as it is sent.
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
pub async fn run(arguments: &RoutingArguments) -> Result<(), Failure> {
    for way in [Way::RoundRobin, Way::LeastOutstanding, Way::Ours] {
        run_one(arguments, way).await?;
    }
    Ok(())
}

async fn run_one(arguments: &RoutingArguments, way: Way) -> Result<(), Failure> {
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
        views.push(View {
            table: Mutex::new(table()?),
            turn: Mutex::new(0),
        });
    }
    let views = Arc::new(views);
    let start = Instant::now();
    let poll = tokio::spawn(poll_loads(Arc::clone(&engines), Arc::clone(&views), start));
    let hits = fire_all(arguments, way, &engines, &views, start).await?;
    poll.abort();
    report(arguments, way, &engines, &hits).await;
    Ok(())
}

async fn fire_all(
    arguments: &RoutingArguments,
    way: Way,
    engines: &Arc<Vec<Standin>>,
    views: &Arc<Vec<View>>,
    start: Instant,
) -> Result<Vec<Hit>, Failure> {
    let mut random = StdRng::seed_from_u64(arguments.seed);
    let gun = Gun::new();
    let mut flying = JoinSet::new();
    for number in 0..arguments.per_s * arguments.seconds {
        let due = start + Duration::from_secs_f64(number as f64 / arguments.per_s as f64);
        sleep_until(due.into()).await;
        let call = draw(&mut random, number);
        let draw = random.random();
        let (engines, views, gun) = (Arc::clone(engines), Arc::clone(views), gun.clone());
        flying.spawn(async move {
            let view = &views[call.router];
            fire(way, view, &engines, &gun, &call, draw, due, start).await
        });
    }
    let mut hits = Vec::new();
    while let Some(hit) = flying.join_next().await {
        hits.extend(hit?);
    }
    Ok(hits)
}

fn draw(random: &mut StdRng, number: u64) -> Call {
    // Few prefixes are frequent: the lesser of two draws leans to the first ones.
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

#[expect(clippy::too_many_arguments, reason = "one call of one experiment")]
async fn fire(
    way: Way,
    view: &View,
    engines: &[Standin],
    gun: &Gun,
    call: &Call,
    draw: u64,
    due: Instant,
    start: Instant,
) -> Option<Hit> {
    let hashes = prefix_hashes(call.prompt.as_bytes());
    let submitted_ms = millis(start);
    let (id, prefill_ms, load) = choose(way, view, call, &hashes, submitted_ms, draw)?;
    let engine = &engines[id.as_str().parse::<usize>().ok()?];
    let body = json!({
        "model": "m", "stream": true, "standin_tokens": call.tokens, "max_tokens": 128,
        "messages": [{"role": "user", "content": &*call.prompt}],
    });
    let shot = Shot {
        address: engine.address,
        method: "POST",
        path: Arc::from("/v1/chat/completions"),
        body: Arc::from(body.to_string()),
        key: Arc::from(""),
        id: call.id,
    };
    let hit = gun.fire(&shot, due).await;
    let mut table = view.table.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(backend) = table.get_mut(&id) {
        backend.record_first_token(hit.first_us / 1_000, prefill_ms, load, millis(start));
        backend.record_end(submitted_ms, millis(start));
    }
    Some(hit)
}

fn choose(
    way: Way,
    view: &View,
    call: &Call,
    hashes: &[u64],
    now_ms: u64,
    draw: u64,
) -> Option<(BackendId, f64, f64)> {
    let mut table = view.table.lock().unwrap_or_else(PoisonError::into_inner);
    let chosen = match way {
        Way::Ours => {
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
        Way::RoundRobin => {
            let mut turn = view.turn.lock().unwrap_or_else(PoisonError::into_inner);
            *turn += 1;
            let backend = round_robin(&table, &[], now_ms, *turn).ok()?;
            (backend.id.clone(), 0.0, 0.0)
        }
        Way::LeastOutstanding => {
            let backend = least_outstanding(&table, &[], now_ms, draw).ok()?;
            (backend.id.clone(), 0.0, 0.0)
        }
    };
    table.get_mut(&chosen.0)?.record_submission(hashes, now_ms);
    Some(chosen)
}

fn table() -> Result<RouteTable, Failure> {
    let zone: mallowpath::Zone = "zone-0".parse()?;
    let mut table = RouteTable::new(zone.clone(), RouteSettings::default());
    for number in 0..ENGINES {
        let name = number.to_string();
        table.insert(Backend::new(name.parse()?, name.parse()?, zone.clone()));
    }
    Ok(table)
}

async fn poll_loads(engines: Arc<Vec<Standin>>, views: Arc<Vec<View>>, start: Instant) {
    loop {
        for (number, engine) in engines.iter().enumerate() {
            let Ok(answer) = client::call(engine.address, "GET /v1/load", &[], "").await else {
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
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

async fn report(arguments: &RoutingArguments, way: Way, engines: &[Standin], hits: &[Hit]) {
    let (mut prompt, mut hit) = (0, 0);
    for engine in engines {
        let stats = engine.stats().await;
        for run in stats["runs"]
            .as_object()
            .into_iter()
            .flat_map(|runs| runs.values())
        {
            prompt += run["prompt_tokens"].as_u64().unwrap_or_default();
            hit += run["prefix_hit_tokens"].as_u64().unwrap_or_default();
        }
    }
    let first = times(hits, |hit| hit.first_us);
    let line = json!({
        "experiment": "routing", "way": format!("{way:?}"), "seed": arguments.seed,
        "per_s": arguments.per_s, "sent": hits.len(), "whole": count_whole(hits),
        "first_p50_ms": quantile_ms(&first, 0.5), "first_p95_ms": quantile_ms(&first, 0.95),
        "first_p99_ms": quantile_ms(&first, 0.99),
        "prefix_hit_share": hit as f64 / (prompt as f64).max(1.0),
    });
    println!("{line}");
}

fn millis(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
