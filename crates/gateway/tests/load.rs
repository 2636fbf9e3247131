//! Replays a load of shared prompts against a model of the engines, for the choice of a server.
//!
//! The load: sessions of 6,300 shared tokens of which 3,780 are the session's own, and 2,890 new ones,
//! in bursts; four routers that see only their own requests; 18 engines that read 51 tokens a
//! millisecond, one prompt after the other, and keep what they have read.

mod common;

use common::clock::whole_ms;
use mallowpath::ServiceId;
use mallowpath_gateway::{BackendEntry, Demand, Fleet, InFlight, PromptPart};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::HashSet;

const ENGINES: usize = 18;
const ROUTERS: usize = 4;
const SESSIONS: u64 = 440;
const REQUESTS: usize = 6_000;
const COMMON_TOKENS: u64 = 2_520;
const SESSION_TOKENS: u64 = 3_780;
const OWN_TOKENS: u64 = 2_890;
const READ_TOKENS_PER_MS: f64 = 51.0;
const ARRIVALS_PER_MS: f64 = 0.11;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rule {
    RoundRobin,
    LeastOutstanding,
    Gateway,
}

#[derive(Debug)]
struct Outcome {
    first_p50_ms: f64,
    first_p95_ms: f64,
    tokens_read: u64,
}

struct Engine {
    free_at_ms: f64,
    cached: HashSet<u64>,
}

struct Under {
    router: usize,
    engine: usize,
    first_at_ms: f64,
    _flight: Option<InFlight>,
}

fn play(rule: Rule, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let service: ServiceId = "s".parse().unwrap();
    let mut routers = Vec::new();
    for _ in 0..ROUTERS {
        let fleet = Fleet::new("z0".parse().unwrap());
        for index in 0..ENGINES {
            fleet.insert(entry(index));
        }
        fleet.set_routers(ROUTERS);
        routers.push(fleet);
    }
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        engines.push(Engine {
            free_at_ms: 0.0,
            cached: HashSet::new(),
        });
    }
    let mut under: Vec<Under> = Vec::new();
    let mut firsts = Vec::new();
    let mut tokens_read = 0;
    let mut now_ms = 0.0;
    for number in 0..REQUESTS {
        // Every second of four carries twice the load of the others.
        let burst = if (now_ms / 1_000.0) % 4.0 < 1.0 {
            2.0
        } else {
            1.0
        };
        now_ms += -rng.random_range(1e-9_f64..1.0).ln() / (ARRIVALS_PER_MS * burst);
        under.retain(|one| one.first_at_ms > now_ms);
        let router = rng.random_range(0..ROUTERS);
        let session = 10 + rng.random_range(0..SESSIONS);
        let prompt = [
            part(session % 4, COMMON_TOKENS),
            part(session, SESSION_TOKENS),
            part(1_000_000 + number as u64, OWN_TOKENS),
        ];
        let (engine, flight) = match rule {
            Rule::RoundRobin => (number % ENGINES, None),
            Rule::LeastOutstanding => (least_outstanding(&under, router, &mut rng), None),
            Rule::Gateway => {
                let demand = Demand {
                    service: &service,
                    prompt_tokens: COMMON_TOKENS + SESSION_TOKENS + OWN_TOKENS,
                    prompt: &prompt,
                    draw: rng.random(),
                };
                let (backend, uncached) = routers[router]
                    .choose(&demand, &[], whole_ms(now_ms))
                    .unwrap();
                let engine = backend.entry.id.as_str()[1..].parse().unwrap();
                (engine, Some(backend.start(uncached)))
            }
        };
        let mut tokens = OWN_TOKENS;
        for shared in &prompt[..2] {
            if engines[engine].cached.insert(shared.id) {
                tokens += shared.tokens;
            }
        }
        tokens_read += tokens;
        let start_ms = engines[engine].free_at_ms.max(now_ms);
        let first_at_ms = start_ms + tokens as f64 / READ_TOKENS_PER_MS;
        engines[engine].free_at_ms = first_at_ms;
        firsts.push(first_at_ms - now_ms);
        under.push(Under {
            router,
            engine,
            first_at_ms,
            _flight: flight,
        });
    }
    firsts.sort_by(f64::total_cmp);
    Outcome {
        first_p50_ms: firsts[REQUESTS / 2],
        first_p95_ms: firsts[REQUESTS * 95 / 100],
        tokens_read,
    }
}

fn least_outstanding(under: &[Under], router: usize, rng: &mut StdRng) -> usize {
    let mut counts = [0; ENGINES];
    for one in under {
        if one.router == router {
            counts[one.engine] += 1;
        }
    }
    let least = counts.iter().min().copied().unwrap_or(0);
    let first = rng.random_range(0..ENGINES);
    for step in 0..ENGINES {
        let engine = (first + step) % ENGINES;
        if counts[engine] == least {
            return engine;
        }
    }
    first
}

fn part(id: u64, tokens: u64) -> PromptPart {
    PromptPart { id, tokens }
}

fn entry(index: usize) -> BackendEntry {
    BackendEntry {
        id: format!("e{index}").parse().unwrap(),
        started_at_ms: None,
        service: "s".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z0".parse().unwrap(),
        slots: 64,
        draining: false,
        runs_model: true,
    }
}

#[test]
fn shared_prompts_are_read_less_often_and_first_tokens_come_sooner() {
    for seed in 1..=3 {
        let even = play(Rule::RoundRobin, seed);
        let least = play(Rule::LeastOutstanding, seed);
        let gateway = play(Rule::Gateway, seed);
        println!("seed {seed}: round robin {even:?}");
        println!("seed {seed}: least outstanding {least:?}");
        println!("seed {seed}: gateway {gateway:?}");
        assert!(gateway.tokens_read < even.tokens_read * 8 / 10);
        assert!(gateway.tokens_read < least.tokens_read * 8 / 10);
        assert!(gateway.first_p50_ms < even.first_p50_ms.min(least.first_p50_ms));
        assert!(gateway.first_p95_ms < even.first_p95_ms.min(least.first_p95_ms));
    }
}
