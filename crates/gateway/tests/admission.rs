//! Admission control by expected wait, and a simulated burst with and without it.
//!
//! In the simulation, four routers that know only their own requests share 18 backend servers,
//! which prefill 51 prompt tokens per millisecond, one prompt after the other. For 4 s out of 18,
//! requests arrive at 2.5 times the usual rate, more than the backend servers can prefill. Callers
//! want their first token within 600 ms, give up after 2,400 ms without one, and retry once if
//! refused.

mod common;

use common::clock::to_whole_ms;
use mallowpath_gateway::{Overload, RequestTimes, WaitEstimator, WaitEstimatorSettings};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{cmp::Reverse, collections::BinaryHeap};

const BACKENDS: usize = 18;
const ROUTERS: usize = 4;
const PREFILL_TOKENS_PER_MS: f64 = 51.0;
/// The mean number of uncached prompt tokens per request.
const MEAN_PROMPT_TOKENS: f64 = 5_000.0;
const ARRIVALS_PER_MS: f64 = 0.11;
const BURST_FACTOR: f64 = 2.5;
/// The start and the end of the burst.
const BURST_SPAN_MS: (u64, u64) = (4_000, 8_000);
const ARRIVALS_END_MS: u64 = 18_000;
const OBJECTIVE_MS: u64 = 600;
const FIRST_TOKEN_TIMEOUT_MS: u64 = 2_400;
const DEADLINE_MS: u64 = 6_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A router receives the first token of an answer `wait_ms` after it sent the request.
    FirstToken { router: usize, wait_ms: u64 },
    /// A request arrives at a router; its first attempt was at `first_ms`.
    Arrival { router: usize, first_ms: u64 },
}

#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct Outcome {
    requests: u32,
    on_time: u32,
    late: u32,
    /// Refused twice, or given up by the caller.
    unserved: u32,
    /// Requests whose first attempt came at least 4 s after the burst.
    requests_after: u32,
    /// Those of `requests_after` that were on time.
    on_time_after: u32,
}

/// Simulates the burst; without `admission`, no request is refused.
fn simulate(admission: bool, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events = arrivals(&mut rng);
    let mut routers: Vec<WaitEstimator> = Vec::new();
    routers.resize_with(ROUTERS, || {
        WaitEstimator::new(WaitEstimatorSettings::default())
    });
    let mut free_at_ms = [0.0_f64; BACKENDS];
    let mut outcome = Outcome::default();
    while let Some(Reverse((now_ms, event))) = events.pop() {
        let (router, first_ms) = match event {
            Event::FirstToken { router, wait_ms } => {
                routers[router].record_answer_start(wait_ms, now_ms);
                continue;
            }
            Event::Arrival { router, first_ms } => (router, first_ms),
        };
        let is_first = first_ms == now_ms;
        let is_after = first_ms >= BURST_SPAN_MS.1 + 4_000;
        if is_first {
            outcome.requests += 1;
            outcome.requests_after += u32::from(is_after);
        }
        let elapsed_ms = now_ms - first_ms;
        let times = RequestTimes {
            latency_objective_ms: OBJECTIVE_MS,
            elapsed_ms,
            remaining_ms: DEADLINE_MS - elapsed_ms,
        };
        if admission && routers[router].admit(times, now_ms).is_err() {
            if is_first {
                let retry_ms = now_ms + rng.random_range(960..1_920);
                let retry_router = rng.random_range(0..ROUTERS);
                let retry = Event::Arrival {
                    router: retry_router,
                    first_ms,
                };
                events.push(Reverse((retry_ms, retry)));
            } else {
                outcome.unserved += 1;
            }
            continue;
        }
        let tokens = MEAN_PROMPT_TOKENS * rng.random_range(0.3..1.7);
        let backend = least_loaded_of_three(&free_at_ms, &mut rng);
        let start_ms = free_at_ms[backend].max(now_ms as f64);
        if start_ms - now_ms as f64 > FIRST_TOKEN_TIMEOUT_MS as f64 {
            // The caller gives up before the backend server starts on the request.
            outcome.unserved += 1;
            continue;
        }
        let first_token_ms = start_ms + tokens / PREFILL_TOKENS_PER_MS;
        free_at_ms[backend] = first_token_ms;
        let wait_ms = to_whole_ms(first_token_ms) - now_ms;
        routers[router].record_sent();
        events.push(Reverse((
            to_whole_ms(first_token_ms),
            Event::FirstToken { router, wait_ms },
        )));
        if to_whole_ms(first_token_ms) - first_ms <= OBJECTIVE_MS {
            outcome.on_time += 1;
            outcome.on_time_after += u32::from(is_after);
        } else {
            outcome.late += 1;
        }
    }
    outcome
}

/// Returns the first attempts of all requests, a Poisson process whose rate rises during the burst.
fn arrivals(rng: &mut StdRng) -> BinaryHeap<Reverse<(u64, Event)>> {
    let mut events = BinaryHeap::new();
    let mut at_ms = 0.0;
    while at_ms < ARRIVALS_END_MS as f64 {
        let in_burst = BURST_SPAN_MS.0 as f64 <= at_ms && at_ms < BURST_SPAN_MS.1 as f64;
        let rate = if in_burst { BURST_FACTOR } else { 1.0 } * ARRIVALS_PER_MS;
        at_ms += -rng.random_range(1e-9_f64..1.0).ln() / rate;
        let first_ms = to_whole_ms(at_ms);
        let router = rng.random_range(0..ROUTERS);
        events.push(Reverse((first_ms, Event::Arrival { router, first_ms })));
    }
    events
}

/// Returns the backend server with the shortest queue among three random ones.
///
/// Routers know only their own requests, so they can't find the shortest queue of all.
fn least_loaded_of_three(free_at_ms: &[f64; BACKENDS], rng: &mut StdRng) -> usize {
    let mut best = rng.random_range(0..BACKENDS);
    for _ in 0..2 {
        let other = rng.random_range(0..BACKENDS);
        if free_at_ms[other] < free_at_ms[best] {
            best = other;
        }
    }
    best
}

/// Returns the times of a request on its first attempt.
fn first_attempt() -> RequestTimes {
    RequestTimes {
        latency_objective_ms: OBJECTIVE_MS,
        elapsed_ms: 0,
        remaining_ms: DEADLINE_MS,
    }
}

/// Returns an estimator with answers that began every `interval_ms` until 10 s, each after
/// `wait_ms`, and with `waiting` requests that still wait.
fn wait_estimator(interval_ms: u64, wait_ms: u64, waiting: u64) -> WaitEstimator {
    let settings = WaitEstimatorSettings::default();
    let samples = settings.samples as u64;
    let mut estimator = WaitEstimator::new(settings);
    for index in 1..=samples {
        estimator.record_sent();
        estimator.record_answer_start(wait_ms, 10_000 - (samples - index) * interval_ms);
    }
    for _ in 0..waiting {
        estimator.record_sent();
    }
    estimator
}

#[test]
fn in_a_burst_admission_control_serves_more_on_time_and_no_fewer_in_total() {
    for seed in 1..=5 {
        let unlimited = simulate(false, seed);
        let limited = simulate(true, seed);
        println!("seed {seed}: without admission control {unlimited:?}");
        println!("seed {seed}: with admission control {limited:?}");
        assert!(limited.on_time > unlimited.on_time);
        assert!(limited.unserved <= unlimited.unserved);
        // Answers are on time again 4 s after the burst.
        assert!(limited.on_time_after * 100 >= limited.requests_after * 95);
    }
}

#[test]
fn a_queue_at_all_servers_refuses_requests_with_the_expected_wait() {
    // The last 12 answers began 20 ms apart, over 220 ms, and 30 requests wait.
    let estimator = wait_estimator(20, 700, 30);
    let expected_wait_ms = 30 * 220 / 12;
    assert_eq!(
        estimator.admit(first_attempt(), 10_000),
        Err(Overload { expected_wait_ms })
    );
}

#[test]
fn a_retried_request_is_admitted_while_it_can_meet_its_deadline() {
    let estimator = wait_estimator(20, 700, 30);
    let retried = RequestTimes {
        elapsed_ms: 1_500,
        remaining_ms: 4_500,
        ..first_attempt()
    };
    assert_eq!(estimator.admit(retried, 10_000), Ok(()));
    let retried_too_late = RequestTimes {
        remaining_ms: 1_000,
        ..retried
    };
    assert!(estimator.admit(retried_too_late, 10_000).is_err());
}

#[test]
fn requests_waiting_at_silent_servers_cause_no_refusals() {
    let estimator = wait_estimator(20, 100, 200);
    assert_eq!(estimator.admit(first_attempt(), 10_000), Ok(()));
}

#[test]
fn a_short_queue_after_a_burst_causes_no_refusals() {
    let estimator = wait_estimator(20, 700, 5);
    assert_eq!(estimator.admit(first_attempt(), 10_000), Ok(()));
}

#[test]
fn too_few_or_outdated_answers_cause_no_refusals() {
    let mut few_answers = WaitEstimator::new(WaitEstimatorSettings::default());
    for _ in 0..50 {
        few_answers.record_sent();
    }
    few_answers.record_answer_start(2_000, 10_000);
    assert_eq!(few_answers.admit(first_attempt(), 10_000), Ok(()));
    let old_answers = wait_estimator(20, 2_000, 50);
    assert_eq!(old_answers.admit(first_attempt(), 12_000), Ok(()));
}

#[test]
fn a_request_without_an_objective_is_admitted() {
    let estimator = wait_estimator(20, 700, 30);
    let times = RequestTimes {
        latency_objective_ms: 0,
        ..first_attempt()
    };
    assert_eq!(estimator.admit(times, 10_000), Ok(()));
}
