//! Overspend and false refusals of a prepaid budget, beside two plain ways.
//!
//! The same load runs three times against the same engines: through the fleet, with an even static
//! split of the budget over as many gates as there are routers, and with one log append a request.

use crate::{
    fleet::{Fleet, FleetSettings},
    load::{Gun, Hit, Shot, count_whole, quantile_ms, times},
};
use argh::FromArgs;
use mallowpath::{LogClient, LogClientSettings};
use mallowpath_e2e::Failure;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time::sleep_until};

/// overspend, false refusals and latency of ours, a static split and an append a request
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "budgets")]
pub struct BudgetsArguments {
    /// seed of which router gets a request; default 11
    #[argh(option, default = "11")]
    seed: u64,
    /// requests a second; default 60
    #[argh(option, default = "60")]
    per_s: u64,
    /// seconds of each load; default 15
    #[argh(option, default = "15")]
    seconds: u64,
}

const ROUTERS: usize = 4;
/// The share of requests that the first router gets.
const SKEW: f64 = 0.7;
const ANSWER_TOKENS: u64 = 16;
const CAP_TOKENS: u64 = 32;
const PROMPT: &str = "Invoice narrative for movement 7";
/// What the engine counts for prompt and answer, and what the fleet reserves at most.
const RESERVED_TOKENS: u64 = 8 + CAP_TOKENS + PROMPT_RESERVE_TOKENS;
const PROMPT_RESERVE_TOKENS: u64 = 64;

/// How a request gets its tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Fleet,
    StaticSplit,
    AppendEach,
}

/// What disturbs the load.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// The budget in parts of a hundred of what the whole load costs.
    budget_percent: u64,
    log_outage: bool,
    log_delay_ms: u64,
}

const SCENARIOS: [Scenario; 4] = [
    Scenario {
        name: "steady",
        budget_percent: 10_000,
        log_outage: false,
        log_delay_ms: 0,
    },
    Scenario {
        name: "nearly spent",
        budget_percent: 60,
        log_outage: false,
        log_delay_ms: 0,
    },
    Scenario {
        name: "log outage from a third to two thirds",
        budget_percent: 10_000,
        log_outage: true,
        log_delay_ms: 0,
    },
    Scenario {
        name: "log answers after 300 ms",
        budget_percent: 10_000,
        log_outage: false,
        log_delay_ms: 300,
    },
];

/// What becomes of a request, with what it cost and when.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    hit: Hit,
    began_us: u64,
    ended_us: u64,
}

/// The gates of the plain ways.
#[derive(Debug)]
struct Gates {
    left: Vec<AtomicU64>,
    log: LogClient,
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub async fn run(arguments: &BudgetsArguments) -> Result<(), Failure> {
    for scenario in SCENARIOS {
        for way in [Way::Fleet, Way::StaticSplit, Way::AppendEach] {
            run_one(arguments, scenario, way).await?;
        }
    }
    Ok(())
}

async fn run_one(
    arguments: &BudgetsArguments,
    scenario: Scenario,
    way: Way,
) -> Result<(), Failure> {
    let requests = arguments.per_s * arguments.seconds;
    let cost = cost_of_one();
    let budget = requests * cost * scenario.budget_percent / 100;
    let settings = FleetSettings {
        zones: ROUTERS,
        routers: ROUTERS,
        engines: 4,
        engine: json!({"model": "m", "max_running": 64, "decode_ms": 5.0}),
        workspaces: 1,
        budgets: 1,
        tokens: budget,
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(settings).await?;
    let mut left = Vec::new();
    for _ in 0..ROUTERS {
        let share = if way == Way::StaticSplit {
            budget / ROUTERS as u64
        } else {
            0
        };
        left.push(AtomicU64::new(share));
    }
    if way == Way::AppendEach {
        left[0].store(budget, Ordering::Relaxed);
    }
    let gates = Arc::new(Gates {
        left,
        log: LogClient::new(fleet.log.address, LogClientSettings::default()),
    });
    if scenario.log_delay_ms > 0 {
        fleet
            .log
            .change(json!({"delay_ms": scenario.log_delay_ms}))
            .await;
    }
    let appends = appends(&fleet).await;
    let outcomes = fire_all(arguments, scenario, way, &fleet, &gates).await?;
    let appends = self::appends(&fleet).await - appends;
    report(arguments, scenario, way, budget, appends, &outcomes);
    Ok(())
}

async fn fire_all(
    arguments: &BudgetsArguments,
    scenario: Scenario,
    way: Way,
    fleet: &Fleet,
    gates: &Arc<Gates>,
) -> Result<Vec<Outcome>, Failure> {
    let requests = arguments.per_s * arguments.seconds;
    let mut random = StdRng::seed_from_u64(arguments.seed);
    let gun = Gun::new();
    let start = Instant::now();
    let mut flying = JoinSet::new();
    for number in 0..requests {
        let due = start + Duration::from_secs_f64(number as f64 / arguments.per_s as f64);
        sleep_until(due.into()).await;
        if scenario.log_outage && number == requests / 3 {
            fleet.log.change(json!({"outage": "refuse"})).await;
        }
        if scenario.log_outage && number == requests * 2 / 3 {
            fleet.log.change(json!({"outage": "none"})).await;
        }
        let router = if random.random_bool(SKEW) {
            0
        } else {
            random.random_range(1..ROUTERS)
        };
        let engine = fleet.backends[usize::try_from(number)? % 4].address;
        let address = match way {
            Way::Fleet => fleet.routers[router].callers,
            Way::StaticSplit | Way::AppendEach => engine,
        };
        let shot = Shot {
            address,
            method: "POST",
            path: Arc::from("/v1/chat/completions"),
            body: body(),
            key: Fleet::key(0),
            id: number + 1,
        };
        let gun = gun.clone();
        let gates = Arc::clone(gates);
        flying.spawn(async move {
            let hit = fire(&gun, &gates, way, router, &shot, due).await;
            Outcome {
                hit,
                began_us: micros(due - start),
                ended_us: micros(start.elapsed()),
            }
        });
    }
    let mut outcomes = Vec::new();
    while let Some(outcome) = flying.join_next().await {
        outcomes.push(outcome?);
    }
    Ok(outcomes)
}

async fn fire(gun: &Gun, gates: &Gates, way: Way, router: usize, shot: &Shot, due: Instant) -> Hit {
    let refused = Hit {
        status: 402,
        whole: false,
        first_us: 0,
        last_us: 0,
    };
    let gate = match way {
        Way::Fleet => return gun.fire(shot, due).await,
        Way::StaticSplit => &gates.left[router],
        Way::AppendEach => {
            let record = vec![0; 64];
            if gates.log.append("each", record.into()).await.is_err() {
                return refused;
            }
            &gates.left[0]
        }
    };
    let reserved = cost_of_one() - ANSWER_TOKENS + CAP_TOKENS;
    let taken = gate.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
        left.checked_sub(reserved)
    });
    if taken.is_err() {
        return refused;
    }
    let hit = gun.fire(shot, due).await;
    let unused = if hit.whole {
        reserved - cost_of_one()
    } else {
        reserved
    };
    gate.fetch_add(unused, Ordering::Relaxed);
    hit
}

/// Returns the tokens of one answer as the stand-in engine counts them.
fn cost_of_one() -> u64 {
    PROMPT.len().div_ceil(4) as u64 + ANSWER_TOKENS
}

fn body() -> Arc<str> {
    let body = json!({
        "model": "m", "stream": true, "standin_tokens": ANSWER_TOKENS, "max_tokens": CAP_TOKENS,
        "messages": [{"role": "user", "content": PROMPT}],
    });
    Arc::from(body.to_string())
}

async fn appends(fleet: &Fleet) -> u64 {
    fleet.log.stats().await["appends"]
        .as_u64()
        .unwrap_or_default()
}

/// Counts refusals while the budget could have covered the request.
///
/// What others might still spend counts as spent: the whole reservation of each answer that was
/// under way at the refusal.
fn false_refusals(outcomes: &[Outcome], budget: u64) -> usize {
    let mut count = 0;
    for refused in outcomes {
        if refused.hit.whole {
            continue;
        }
        let mut gone = 0;
        for other in outcomes {
            if !other.hit.whole || other.began_us > refused.ended_us {
                continue;
            }
            let over = other.ended_us < refused.ended_us;
            gone += if over { cost_of_one() } else { RESERVED_TOKENS };
        }
        count += usize::from(gone + RESERVED_TOKENS <= budget);
    }
    count
}

fn report(
    arguments: &BudgetsArguments,
    scenario: Scenario,
    way: Way,
    budget: u64,
    appends: u64,
    outcomes: &[Outcome],
) {
    let mut hits = Vec::new();
    for outcome in outcomes {
        hits.push(outcome.hit);
    }
    let whole = count_whole(&hits);
    let spent = whole as u64 * cost_of_one();
    let last = times(&hits, |hit| hit.last_us);
    let line = json!({
        "experiment": "budgets", "scenario": scenario.name, "way": format!("{way:?}"),
        "seed": arguments.seed, "sent": hits.len(), "whole": whole,
        "refused": hits.len() - whole,
        "false_refusals": false_refusals(outcomes, budget),
        "budget_tokens": budget, "spent_tokens": spent,
        "overspent_tokens": spent.saturating_sub(budget),
        "unspent_at_end_tokens": budget.saturating_sub(spent),
        "appends_per_s": appends as f64 / arguments.seconds as f64,
        "p50_ms": quantile_ms(&last, 0.5), "p99_ms": quantile_ms(&last, 0.99),
    });
    println!("{line}");
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
