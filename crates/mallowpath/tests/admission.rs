//! Tests of admission control: fairness between workspaces, early refusal, recovery after a burst.

use mallowpath::{
    Admission, AdmissionDecision, AdmissionRequest, AdmissionSettings, ConcurrencyLimit,
    ConcurrencySettings, QueueDecision, RefusalReason, WorkspaceId, WorkspaceShare,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{cmp::Reverse, collections::BinaryHeap};

/// The run time of a request, without its time in a queue.
const RUN_MS: u64 = 100;
/// The number of requests that run at once.
const SLOTS: u32 = 10;
/// The tokens that a request reserves.
const TOKENS: u64 = 100;

fn workspace_id(name: &str) -> WorkspaceId {
    name.parse().expect("a valid name")
}

fn index(number: u64) -> usize {
    usize::try_from(number).expect("a small number")
}

/// Returns settings with a fixed concurrency limit of `slots`.
fn fixed_limit(slots: u32) -> AdmissionSettings {
    let concurrency = ConcurrencySettings {
        initial: slots,
        min: slots,
        max: slots,
        ..Default::default()
    };
    AdmissionSettings {
        concurrency,
        tokens_per_ms: 1.0,
        ..AdmissionSettings::default()
    }
}

/// One simulated workspace and the decisions on its requests.
struct SimulatedWorkspace {
    id: WorkspaceId,
    tokens: u64,
    offers_per_ms: f64,
    ran: u64,
    refused: u64,
    longest_wait_ms: u64,
    running: u32,
    peak_running: u32,
}

fn simulated_workspace(name: &str, tokens: u64, offers_per_ms: f64) -> SimulatedWorkspace {
    let id = workspace_id(name);
    SimulatedWorkspace {
        id,
        tokens,
        offers_per_ms,
        ran: 0,
        refused: 0,
        longest_wait_ms: 0,
        running: 0,
        peak_running: 0,
    }
}

/// Simulates 20 s of requests of `workspaces`; a request runs for one millisecond per token.
fn simulate(admission: &mut Admission, workspaces: &mut [SimulatedWorkspace]) {
    let mut rng = StdRng::seed_from_u64(7);
    let mut ends = BinaryHeap::new();
    let mut offers = Vec::new();
    for now_ms in 0..20_000_u64 {
        while ends
            .peek()
            .is_some_and(|Reverse((end_ms, _))| *end_ms <= now_ms)
        {
            let Reverse((_, owner)): Reverse<(u64, usize)> = ends.pop().expect("peeked");
            let simulated = &mut workspaces[owner];
            simulated.running -= 1;
            admission.release(
                &simulated.id,
                simulated.tokens,
                simulated.tokens,
                simulated.tokens,
                now_ms,
            );
        }
        let mut started = Vec::new();
        for (owner, simulated) in workspaces.iter_mut().enumerate() {
            if !rng.random_bool(simulated.offers_per_ms) {
                continue;
            }
            let (ticket, deadline_ms) = (offers.len() as u64, now_ms + 2_000);
            let (workspace, tokens) = (&simulated.id, simulated.tokens);
            let offer = AdmissionRequest {
                ticket,
                workspace,
                priority: 1,
                tokens,
                deadline_ms,
            };
            offers.push((owner, now_ms));
            match admission.offer(&offer, now_ms, rng.random()) {
                AdmissionDecision::Run => started.push(ticket),
                AdmissionDecision::Queued => {}
                AdmissionDecision::Refused(refusal) => {
                    assert!(refusal.retry_after_ms > 0);
                    simulated.refused += 1;
                }
            }
        }
        for polled in admission.poll(now_ms) {
            match polled {
                QueueDecision::Run(ticket) => started.push(ticket),
                QueueDecision::Expired(ticket) => workspaces[offers[index(ticket)].0].refused += 1,
            }
        }
        for ticket in started {
            let (owner, offered_at_ms) = offers[index(ticket)];
            let simulated = &mut workspaces[owner];
            simulated.ran += 1;
            simulated.running += 1;
            simulated.peak_running = simulated.peak_running.max(simulated.running);
            simulated.longest_wait_ms = simulated.longest_wait_ms.max(now_ms - offered_at_ms);
            ends.push(Reverse((now_ms + simulated.tokens, owner)));
        }
    }
}

#[test]
fn a_low_rate_workspace_waits_boundedly_beside_a_flood() {
    let mut workspaces = [
        simulated_workspace("flood", TOKENS, 0.9),
        simulated_workspace("light", 20, 0.01),
    ];
    let settings = AdmissionSettings {
        queue_max: 64,
        ..fixed_limit(SLOTS)
    };
    simulate(&mut Admission::new(settings), &mut workspaces);
    let [flood, light] = &workspaces;
    println!(
        "longest wait: light {} ms, flood {} ms",
        light.longest_wait_ms, flood.longest_wait_ms
    );
    assert_eq!(light.refused, 0);
    assert!(
        light.longest_wait_ms <= RUN_MS,
        "{} ms",
        light.longest_wait_ms
    );
    assert!(
        flood.refused > 10_000 && flood.ran > 1_500,
        "{} {}",
        flood.refused,
        flood.ran
    );
}

#[test]
fn tokens_are_shared_by_weight_and_max_running_is_enforced() {
    let mut workspaces = [
        simulated_workspace("a", 100, 0.5),
        simulated_workspace("b", 50, 0.9),
        simulated_workspace("c", 100, 0.5),
    ];
    let mut admission = Admission::new(fixed_limit(SLOTS));
    let share = |weight, max_running| WorkspaceShare {
        weight,
        max_running,
    };
    admission.set_share(&workspaces[0].id, share(1.0, 100));
    admission.set_share(&workspaces[1].id, share(3.0, 100));
    admission.set_share(&workspaces[2].id, share(50.0, 2));
    simulate(&mut admission, &mut workspaces);
    let ratio = (workspaces[1].ran * 50) as f64 / (workspaces[0].ran * 100) as f64;
    assert!((2.8..3.2).contains(&ratio), "tokens of b to a: {ratio}");
    assert_eq!(workspaces[2].peak_running, 2);
}

#[test]
fn priority_orders_one_workspace_and_late_requests_are_refused_early() {
    let id = workspace_id("w");
    let mut admission = Admission::new(fixed_limit(1));
    let offer = |ticket, priority, deadline_ms| AdmissionRequest {
        ticket,
        workspace: &id,
        priority,
        tokens: TOKENS,
        deadline_ms,
    };
    assert_eq!(
        admission.offer(&offer(0, 1, 1_000), 0, 0),
        AdmissionDecision::Run
    );
    assert_eq!(
        admission.offer(&offer(1, 1, 1_000), 0, 0),
        AdmissionDecision::Queued
    );
    assert_eq!(
        admission.offer(&offer(2, 0, 1_000), 0, 0),
        AdmissionDecision::Queued
    );
    let AdmissionDecision::Refused(refusal) = admission.offer(&offer(3, 1, 50), 0, u64::MAX / 2)
    else {
        panic!("200 tokens at 1 token per millisecond are queued ahead of it");
    };
    assert_eq!(refusal.reason, RefusalReason::Late);
    assert!((150..=300).contains(&refusal.retry_after_ms), "{refusal:?}");
    admission.release(&id, TOKENS, TOKENS, RUN_MS, 100);
    assert_eq!(admission.poll(100), [QueueDecision::Run(2)]);
    assert_eq!(admission.poll(1_000), [QueueDecision::Expired(1)]);
    assert_eq!((admission.in_flight(), admission.waiting()), (1, 0));
    for _ in 0..20 {
        admission.record_first_token(400, 1_000);
    }
    assert_eq!(
        admission.offer(&offer(4, 1, 1_500), 1_000, 0),
        AdmissionDecision::Queued
    );
    let late = admission.offer(&offer(5, 0, 1_300), 1_000, 0);
    assert!(
        matches!(late, AdmissionDecision::Refused(_)),
        "the queueing delay at the backend servers alone is 400 ms"
    );
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call { attempts: u32 },
    Done { call: usize, queued_ms: u64 },
    Timeout { call: usize },
}

struct Call {
    attempts: u32,
    finished: bool,
    started_ms: u64,
}

/// Simulates callers with a timeout of 500 ms and at most four attempts, and one backend server
/// with a capacity of 100 requests per second.
struct BurstSimulation {
    admission: Option<Admission>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    calls: Vec<Call>,
    slots_free_at_ms: [u64; SLOTS as usize],
    completed_by_second: Vec<u64>,
}

impl BurstSimulation {
    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.events.push(Reverse((at_ms, event)));
    }

    fn start(&mut self, call: usize, now_ms: u64) {
        let slot = self.slots_free_at_ms.iter_mut().min().expect("slots");
        let start_ms = now_ms.max(*slot);
        *slot = start_ms + RUN_MS;
        self.calls[call].started_ms = now_ms;
        let queued_ms = start_ms - now_ms;
        self.schedule(start_ms + RUN_MS, Event::Done { call, queued_ms });
    }

    fn retry(&mut self, call: usize, at_ms: u64) {
        let attempts = self.calls[call].attempts + 1;
        self.calls[call].finished = true;
        if attempts <= 4 {
            self.schedule(at_ms, Event::Call { attempts });
        }
    }

    fn call(&mut self, attempts: u32, now_ms: u64, draw: u64) {
        let call = self.calls.len();
        self.calls.push(Call {
            attempts,
            finished: false,
            started_ms: 0,
        });
        self.schedule(now_ms + 500, Event::Timeout { call });
        let Some(admission) = &mut self.admission else {
            return self.start(call, now_ms);
        };
        let (ticket, deadline_ms) = (call as u64, now_ms + 500 - RUN_MS);
        let workspace = &workspace_id("w");
        let offer = AdmissionRequest {
            ticket,
            workspace,
            priority: 1,
            tokens: TOKENS,
            deadline_ms,
        };
        match admission.offer(&offer, now_ms, draw) {
            AdmissionDecision::Run => self.start(call, now_ms),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Refused(refusal) => {
                self.retry(call, now_ms + refusal.retry_after_ms);
            }
        }
    }

    fn handle(&mut self, event: Event, now_ms: u64, draw: u64) {
        match event {
            Event::Call { attempts } => self.call(attempts, now_ms, draw),
            Event::Timeout { call } if !self.calls[call].finished => {
                self.retry(call, now_ms);
                if let Some(admission) = &mut self.admission {
                    admission.cancel(call as u64);
                }
            }
            Event::Timeout { .. } => {}
            Event::Done { call, queued_ms } => {
                if !self.calls[call].finished {
                    self.completed_by_second[index(now_ms / 1_000)] += 1;
                }
                self.calls[call].finished = true;
                let run_ms = now_ms - self.calls[call].started_ms;
                if let Some(admission) = &mut self.admission {
                    admission.record_first_token(queued_ms, now_ms);
                    admission.release(&workspace_id("w"), TOKENS, TOKENS, run_ms, now_ms);
                }
            }
        }
    }
}

/// Simulates 60 s with 80 new requests per second, and 240 per second from 10 s to 20 s.
///
/// Returns the responses in time and the new requests of each second.
fn simulate_burst(admission: Option<Admission>, seed: u64) -> (Vec<u64>, Vec<u64>) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut simulation = BurstSimulation {
        admission,
        events: BinaryHeap::new(),
        calls: Vec::new(),
        slots_free_at_ms: [0; SLOTS as usize],
        completed_by_second: vec![0; 60],
    };
    let mut offered = vec![0; 60];
    for now_ms in 0..60_000 {
        let factor = if (10_000..20_000).contains(&now_ms) {
            3.0
        } else {
            1.0
        };
        if rng.random_bool(0.08 * factor) {
            simulation.schedule(now_ms, Event::Call { attempts: 1 });
            offered[index(now_ms / 1_000)] += 1;
        }
        while simulation
            .events
            .peek()
            .is_some_and(|event| event.0.0 <= now_ms)
        {
            let Reverse((_, event)) = simulation.events.pop().expect("peeked");
            simulation.handle(event, now_ms, rng.random());
        }
        let polled = simulation
            .admission
            .as_mut()
            .map_or(Vec::new(), |a| a.poll(now_ms));
        for polled in polled {
            match polled {
                QueueDecision::Run(call) => simulation.start(index(call), now_ms),
                QueueDecision::Expired(call) => simulation.retry(index(call), now_ms + 100),
            }
        }
    }
    (simulation.completed_by_second, offered)
}

#[test]
fn goodput_returns_to_normal_after_a_burst_with_retrying_callers() {
    for seed in 3..8 {
        let settings = AdmissionSettings {
            tokens_per_ms: 1.0,
            ..AdmissionSettings::default()
        };
        let (completed, offered) = simulate_burst(Some(Admission::new(settings)), seed);
        let (uncontrolled, uncontrolled_offered) = simulate_burst(None, seed);
        let sum = |counts: &[u64]| counts.iter().sum::<u64>() as f64;
        let in_burst = sum(&completed[10..20]) / 1_000.0;
        let after = sum(&completed[25..]) / sum(&offered[25..]);
        let uncontrolled_after = sum(&uncontrolled[25..]) / sum(&uncontrolled_offered[25..]);
        println!(
            "goodput in the burst: {in_burst} of capacity; completed after it: {after}, \
             {uncontrolled_after} without admission control"
        );
        assert!(
            in_burst > 0.9,
            "goodput in the burst is only {in_burst} of capacity"
        );
        assert!(
            after > 0.99,
            "only {after} of requests complete after the burst"
        );
        assert!(
            uncontrolled_after < 0.5,
            "without admission control {uncontrolled_after} of requests complete after the burst"
        );
    }
}

#[test]
fn the_limit_settles_where_the_delay_meets_the_target() {
    for initial in [4, 10, 200] {
        let settings = ConcurrencySettings {
            initial,
            ..ConcurrencySettings::default()
        };
        let mut limit = ConcurrencyLimit::new(settings);
        for now_ms in (0..120_000).step_by(20) {
            // Ten requests run at once; each request beyond that adds 10 ms of queueing delay.
            let in_flight = max_in_flight(&limit);
            limit.record(
                u64::from(in_flight.saturating_sub(SLOTS)) * 10,
                in_flight,
                now_ms,
            );
            let settled = (f64::from(SLOTS)..20.0).contains(&limit.limit());
            assert!(
                now_ms < 60_000 || settled,
                "{} after {now_ms} ms",
                limit.limit()
            );
        }
    }
}

/// Returns the maximum number of requests that `limit` permits to run at once.
fn max_in_flight(limit: &ConcurrencyLimit) -> u32 {
    (0..1_000)
        .find(|&in_flight| !limit.allows(in_flight))
        .expect("a finite limit")
}
