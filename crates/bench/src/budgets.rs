//! Overspend and false refusals of a prepaid budget, compared with two simple strategies.
//!
//! The same load runs with three strategies: through the fleet, with an even static split of the
//! budget over as many counters as there are routers, and with one log append per request.

use crate::{
    fleet::{Fleet, FleetSettings},
    load::{LoadClient, RequestSpec, Sample, count_complete, latency_histogram, quantile_ms},
};
use argh::FromArgs;
use mallowpath::{LogClient, LogClientSettings};
use mallowpath_e2e::BoxError;
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
/// The share of requests that go to the first router.
const SKEW: f64 = 0.7;
const ANSWER_TOKENS: u64 = 16;
const CAP_TOKENS: u64 = 32;
const PROMPT: &str = "Invoice narrative for movement 7";
/// The most tokens that the fleet reserves for one request: prompt, output cap and a reserve for
/// the prompt estimate.
const RESERVED_TOKENS: u64 = 8 + CAP_TOKENS + PROMPT_RESERVE_TOKENS;
const PROMPT_RESERVE_TOKENS: u64 = 64;

/// How a request reserves its tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    Fleet,
    StaticSplit,
    AppendEach,
}

/// The budget and the faults of one run.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// The budget in percent of the tokens that the load needs in total.
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

/// The sample of a request with its start and end, since the start of the load.
#[derive(Debug, Clone, Copy)]
struct TimedSample {
    sample: Sample,
    started_us: u64,
    ended_us: u64,
}

/// The token counters of the strategies that bypass the fleet, and their log client.
#[derive(Debug)]
struct TokenCounters {
    left: Vec<AtomicU64>,
    log: LogClient,
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails when a fleet does not start.
pub async fn run(arguments: &BudgetsArguments) -> Result<(), BoxError> {
    for scenario in SCENARIOS {
        for strategy in [Strategy::Fleet, Strategy::StaticSplit, Strategy::AppendEach] {
            run_scenario(arguments, scenario, strategy).await?;
        }
    }
    Ok(())
}

async fn run_scenario(
    arguments: &BudgetsArguments,
    scenario: Scenario,
    strategy: Strategy,
) -> Result<(), BoxError> {
    let requests = arguments.per_s * arguments.seconds;
    let cost = tokens_per_request();
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
        let share = if strategy == Strategy::StaticSplit {
            budget / ROUTERS as u64
        } else {
            0
        };
        left.push(AtomicU64::new(share));
    }
    if strategy == Strategy::AppendEach {
        left[0].store(budget, Ordering::Relaxed);
    }
    let counters = Arc::new(TokenCounters {
        left,
        log: LogClient::new(fleet.log.address, LogClientSettings::default()),
    });
    if scenario.log_delay_ms > 0 {
        fleet
            .log
            .change_settings(json!({"delay_ms": scenario.log_delay_ms}))
            .await;
    }
    let appends = count_appends(&fleet).await;
    let timed_samples = run_load(arguments, scenario, strategy, &fleet, &counters).await?;
    let appends = self::count_appends(&fleet).await - appends;
    report(
        arguments,
        scenario,
        strategy,
        budget,
        appends,
        &timed_samples,
    );
    Ok(())
}

async fn run_load(
    arguments: &BudgetsArguments,
    scenario: Scenario,
    strategy: Strategy,
    fleet: &Fleet,
    counters: &Arc<TokenCounters>,
) -> Result<Vec<TimedSample>, BoxError> {
    let requests = arguments.per_s * arguments.seconds;
    let mut random = StdRng::seed_from_u64(arguments.seed);
    let load_client = LoadClient::new();
    let start = Instant::now();
    let mut in_flight = JoinSet::new();
    for number in 0..requests {
        let due = start + Duration::from_secs_f64(number as f64 / arguments.per_s as f64);
        sleep_until(due.into()).await;
        if scenario.log_outage && number == requests / 3 {
            fleet.log.change_settings(json!({"outage": "refuse"})).await;
        }
        if scenario.log_outage && number == requests * 2 / 3 {
            fleet.log.change_settings(json!({"outage": "none"})).await;
        }
        let router = if random.random_bool(SKEW) {
            0
        } else {
            random.random_range(1..ROUTERS)
        };
        let engine = fleet.backends[usize::try_from(number)? % 4].address;
        let address = match strategy {
            Strategy::Fleet => fleet.routers[router].callers,
            Strategy::StaticSplit | Strategy::AppendEach => engine,
        };
        let spec = RequestSpec {
            address,
            method: "POST",
            path: Arc::from("/v1/chat/completions"),
            body: body(),
            key: Fleet::key(0),
            id: number + 1,
        };
        let load_client = load_client.clone();
        let counters = Arc::clone(counters);
        in_flight.spawn(async move {
            let sample = send(&load_client, &counters, strategy, router, &spec, due).await;
            TimedSample {
                sample,
                started_us: micros(due - start),
                ended_us: micros(start.elapsed()),
            }
        });
    }
    let mut timed_samples = Vec::new();
    while let Some(timed_sample) = in_flight.join_next().await {
        timed_samples.push(timed_sample?);
    }
    Ok(timed_samples)
}

async fn send(
    load_client: &LoadClient,
    counters: &TokenCounters,
    strategy: Strategy,
    router: usize,
    spec: &RequestSpec,
    due: Instant,
) -> Sample {
    let refused = Sample {
        status: 402,
        is_complete: false,
        first_us: 0,
        last_us: 0,
    };
    let counter = match strategy {
        Strategy::Fleet => return load_client.send(spec, due).await,
        Strategy::StaticSplit => &counters.left[router],
        Strategy::AppendEach => {
            let record = vec![0; 64];
            if counters.log.append("each", record.into()).await.is_err() {
                return refused;
            }
            &counters.left[0]
        }
    };
    let reserved = tokens_per_request() - ANSWER_TOKENS + CAP_TOKENS;
    let taken = counter.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
        left.checked_sub(reserved)
    });
    if taken.is_err() {
        return refused;
    }
    let sample = load_client.send(spec, due).await;
    let unused = if sample.is_complete {
        reserved - tokens_per_request()
    } else {
        reserved
    };
    counter.fetch_add(unused, Ordering::Relaxed);
    sample
}

/// Returns the prompt and output tokens that the stand-in engine counts for one request.
fn tokens_per_request() -> u64 {
    PROMPT.len().div_ceil(4) as u64 + ANSWER_TOKENS
}

fn body() -> Arc<str> {
    let body = json!({
        "model": "m", "stream": true, "standin_tokens": ANSWER_TOKENS, "max_tokens": CAP_TOKENS,
        "messages": [{"role": "user", "content": PROMPT}],
    });
    Arc::from(body.to_string())
}

async fn count_appends(fleet: &Fleet) -> u64 {
    fleet.log.stats().await["appends"]
        .as_u64()
        .unwrap_or_default()
}

/// Counts the requests that were refused although the budget could have covered them.
///
/// A request that was in progress at the refusal and answered later counts with its full
/// reservation, as it might still have spent it.
fn false_refusals(timed_samples: &[TimedSample], budget: u64) -> usize {
    let mut count = 0;
    for refused in timed_samples {
        if refused.sample.is_complete {
            continue;
        }
        let mut committed = 0;
        for other in timed_samples {
            if !other.sample.is_complete || other.started_us > refused.ended_us {
                continue;
            }
            let has_ended = other.ended_us < refused.ended_us;
            committed += if has_ended {
                tokens_per_request()
            } else {
                RESERVED_TOKENS
            };
        }
        count += usize::from(committed + RESERVED_TOKENS <= budget);
    }
    count
}

fn report(
    arguments: &BudgetsArguments,
    scenario: Scenario,
    strategy: Strategy,
    budget: u64,
    appends: u64,
    timed_samples: &[TimedSample],
) {
    let mut samples = Vec::new();
    for timed_sample in timed_samples {
        samples.push(timed_sample.sample);
    }
    let complete = count_complete(&samples);
    let spent = complete as u64 * tokens_per_request();
    let last = latency_histogram(&samples, |sample| sample.last_us);
    let line = json!({
        "experiment": "budgets", "scenario": scenario.name, "way": format!("{strategy:?}"),
        "seed": arguments.seed, "sent": samples.len(), "whole": complete,
        "refused": samples.len() - complete,
        "false_refusals": false_refusals(timed_samples, budget),
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
