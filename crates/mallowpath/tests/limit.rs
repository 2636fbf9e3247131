//! Admission: fairness between workspaces, early refusal, recovery after a burst.

use mallowpath::{
    Admission, AdmissionSettings, Admitted, ConcurrencyLimit, ConcurrencySettings, Offer, Polled,
    RefusalReason, WorkspaceId, WorkspaceShare,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{cmp::Reverse, collections::BinaryHeap};

const RUN_MS: u64 = 100;
const SLOTS: u32 = 10;
const TOKENS: u64 = 100;

fn workspace(name: &str) -> WorkspaceId {
    name.parse().expect("a valid name")
}

fn index(number: u64) -> usize {
    usize::try_from(number).expect("a small number")
}

fn fixed(slots: u32) -> AdmissionSettings {
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

/// One workspace of a model and what became of its offers.
struct Client {
    id: WorkspaceId,
    tokens: u64,
    offers_per_ms: f64,
    ran: u64,
    refused: u64,
    longest_wait_ms: u64,
    running: u32,
    peak_running: u32,
}

fn client(name: &str, tokens: u64, offers_per_ms: f64) -> Client {
    let id = workspace(name);
    Client {
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

/// Offers the clients' requests for 20 s; a request runs a millisecond for each token.
fn run(admission: &mut Admission, clients: &mut [Client]) {
    let mut rng = StdRng::seed_from_u64(7);
    let mut ends = BinaryHeap::new();
    let mut offers = Vec::new();
    for now_ms in 0..20_000_u64 {
        while ends
            .peek()
            .is_some_and(|Reverse((end_ms, _))| *end_ms <= now_ms)
        {
            let Reverse((_, owner)): Reverse<(u64, usize)> = ends.pop().expect("peeked");
            let client = &mut clients[owner];
            client.running -= 1;
            admission.end(
                &client.id,
                client.tokens,
                client.tokens,
                client.tokens,
                now_ms,
            );
        }
        let mut started = Vec::new();
        for (owner, client) in clients.iter_mut().enumerate() {
            if !rng.random_bool(client.offers_per_ms) {
                continue;
            }
            let (ticket, deadline_ms) = (offers.len() as u64, now_ms + 2_000);
            let (workspace, tokens) = (&client.id, client.tokens);
            let offer = Offer {
                ticket,
                workspace,
                priority: 1,
                tokens,
                deadline_ms,
            };
            offers.push((owner, now_ms));
            match admission.offer(&offer, now_ms, rng.random()) {
                Admitted::Run => started.push(ticket),
                Admitted::Queued => {}
                Admitted::Refused(refusal) => {
                    assert!(refusal.retry_after_ms > 0);
                    client.refused += 1;
                }
            }
        }
        for polled in admission.poll(now_ms) {
            match polled {
                Polled::Run(ticket) => started.push(ticket),
                Polled::Expired(ticket) => clients[offers[index(ticket)].0].refused += 1,
            }
        }
        for ticket in started {
            let (owner, offered_at_ms) = offers[index(ticket)];
            let client = &mut clients[owner];
            client.ran += 1;
            client.running += 1;
            client.peak_running = client.peak_running.max(client.running);
            client.longest_wait_ms = client.longest_wait_ms.max(now_ms - offered_at_ms);
            ends.push(Reverse((now_ms + client.tokens, owner)));
        }
    }
}

#[test]
fn a_panel_waits_boundedly_beside_a_flood() {
    let mut clients = [client("fees", TOKENS, 0.9), client("panel", 20, 0.01)];
    let settings = AdmissionSettings {
        queue_max: 64,
        ..fixed(SLOTS)
    };
    run(&mut Admission::new(settings), &mut clients);
    let [flood, panel] = &clients;
    println!(
        "panel waits at most {} ms, flood {}",
        panel.longest_wait_ms, flood.longest_wait_ms
    );
    assert_eq!(panel.refused, 0);
    assert!(
        panel.longest_wait_ms <= RUN_MS,
        "{} ms",
        panel.longest_wait_ms
    );
    assert!(
        flood.refused > 10_000 && flood.ran > 1_500,
        "{} {}",
        flood.refused,
        flood.ran
    );
}

#[test]
fn weights_share_tokens_and_max_running_holds() {
    let mut clients = [
        client("a", 100, 0.5),
        client("b", 50, 0.9),
        client("c", 100, 0.5),
    ];
    let mut admission = Admission::new(fixed(SLOTS));
    let share = |weight, max_running| WorkspaceShare {
        weight,
        max_running,
    };
    admission.set_share(&clients[0].id, share(1.0, 100));
    admission.set_share(&clients[1].id, share(3.0, 100));
    admission.set_share(&clients[2].id, share(50.0, 2));
    run(&mut admission, &mut clients);
    let ratio = (clients[1].ran * 50) as f64 / (clients[0].ran * 100) as f64;
    assert!((2.8..3.2).contains(&ratio), "tokens of b to a: {ratio}");
    assert_eq!(clients[2].peak_running, 2);
}

#[test]
fn priority_orders_one_workspace_and_deadlines_refuse_early() {
    let id = workspace("w");
    let mut admission = Admission::new(fixed(1));
    let offer = |ticket, priority, deadline_ms| Offer {
        ticket,
        workspace: &id,
        priority,
        tokens: TOKENS,
        deadline_ms,
    };
    assert_eq!(admission.offer(&offer(0, 1, 1_000), 0, 0), Admitted::Run);
    assert_eq!(admission.offer(&offer(1, 1, 1_000), 0, 0), Admitted::Queued);
    assert_eq!(admission.offer(&offer(2, 0, 1_000), 0, 0), Admitted::Queued);
    let Admitted::Refused(refusal) = admission.offer(&offer(3, 1, 50), 0, u64::MAX / 2) else {
        panic!("200 tokens at 1 token a millisecond are before it");
    };
    assert_eq!(refusal.reason, RefusalReason::Late);
    assert!((150..=300).contains(&refusal.retry_after_ms), "{refusal:?}");
    admission.end(&id, TOKENS, TOKENS, RUN_MS, 100);
    assert_eq!(admission.poll(100), [Polled::Run(2)]);
    assert_eq!(admission.poll(1_000), [Polled::Expired(1)]);
    assert_eq!((admission.in_flight(), admission.waiting()), (1, 0));
    for _ in 0..20 {
        admission.first_token(400, 1_000);
    }
    assert_eq!(
        admission.offer(&offer(4, 1, 1_500), 1_000, 0),
        Admitted::Queued
    );
    let late = admission.offer(&offer(5, 0, 1_300), 1_000, 0);
    assert!(
        matches!(late, Admitted::Refused(_)),
        "the backends' queue alone takes 400 ms"
    );
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call { tries: u32 },
    Done { call: usize, queued_ms: u64 },
    Timeout { call: usize },
}

struct Call {
    tries: u32,
    over: bool,
    started_ms: u64,
}

/// Callers with a timeout of 500 ms and four tries before one engine of 100 requests a second.
struct Burst {
    admission: Option<Admission>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    calls: Vec<Call>,
    slots_free_at_ms: [u64; SLOTS as usize],
    good: Vec<u64>,
}

impl Burst {
    fn after(&mut self, at_ms: u64, event: Event) {
        self.events.push(Reverse((at_ms, event)));
    }

    fn start(&mut self, call: usize, now_ms: u64) {
        let slot = self.slots_free_at_ms.iter_mut().min().expect("slots");
        let start_ms = now_ms.max(*slot);
        *slot = start_ms + RUN_MS;
        self.calls[call].started_ms = now_ms;
        let queued_ms = start_ms - now_ms;
        self.after(start_ms + RUN_MS, Event::Done { call, queued_ms });
    }

    fn again(&mut self, call: usize, at_ms: u64) {
        let tries = self.calls[call].tries + 1;
        self.calls[call].over = true;
        if tries <= 4 {
            self.after(at_ms, Event::Call { tries });
        }
    }

    fn call(&mut self, tries: u32, now_ms: u64, draw: u64) {
        let call = self.calls.len();
        self.calls.push(Call {
            tries,
            over: false,
            started_ms: 0,
        });
        self.after(now_ms + 500, Event::Timeout { call });
        let Some(admission) = &mut self.admission else {
            return self.start(call, now_ms);
        };
        let (ticket, deadline_ms) = (call as u64, now_ms + 500 - RUN_MS);
        let workspace = &workspace("w");
        let offer = Offer {
            ticket,
            workspace,
            priority: 1,
            tokens: TOKENS,
            deadline_ms,
        };
        match admission.offer(&offer, now_ms, draw) {
            Admitted::Run => self.start(call, now_ms),
            Admitted::Queued => {}
            Admitted::Refused(refusal) => self.again(call, now_ms + refusal.retry_after_ms),
        }
    }

    fn handle(&mut self, event: Event, now_ms: u64, draw: u64) {
        match event {
            Event::Call { tries } => self.call(tries, now_ms, draw),
            Event::Timeout { call } if !self.calls[call].over => {
                self.again(call, now_ms);
                if let Some(admission) = &mut self.admission {
                    admission.cancel(call as u64);
                }
            }
            Event::Timeout { .. } => {}
            Event::Done { call, queued_ms } => {
                if !self.calls[call].over {
                    self.good[index(now_ms / 1_000)] += 1;
                }
                self.calls[call].over = true;
                let run_ms = now_ms - self.calls[call].started_ms;
                if let Some(admission) = &mut self.admission {
                    admission.first_token(queued_ms, now_ms);
                    admission.end(&workspace("w"), TOKENS, TOKENS, run_ms, now_ms);
                }
            }
        }
    }
}

/// Runs 80 requests a second, 240 from 10 s to 20 s; returns answers and first calls by second.
fn burst(admission: Option<Admission>, seed: u64) -> (Vec<u64>, Vec<u64>) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut burst = Burst {
        admission,
        events: BinaryHeap::new(),
        calls: Vec::new(),
        slots_free_at_ms: [0; SLOTS as usize],
        good: vec![0; 60],
    };
    let mut asked = vec![0; 60];
    for now_ms in 0..60_000 {
        let factor = if (10_000..20_000).contains(&now_ms) {
            3.0
        } else {
            1.0
        };
        if rng.random_bool(0.08 * factor) {
            burst.after(now_ms, Event::Call { tries: 1 });
            asked[index(now_ms / 1_000)] += 1;
        }
        while burst.events.peek().is_some_and(|event| event.0.0 <= now_ms) {
            let Reverse((_, event)) = burst.events.pop().expect("peeked");
            burst.handle(event, now_ms, rng.random());
        }
        let polled = burst
            .admission
            .as_mut()
            .map_or(Vec::new(), |a| a.poll(now_ms));
        for polled in polled {
            match polled {
                Polled::Run(call) => burst.start(index(call), now_ms),
                Polled::Expired(call) => burst.again(index(call), now_ms + 100),
            }
        }
    }
    (burst.good, asked)
}

#[test]
fn goodput_returns_to_normal_after_a_burst_with_retrying_callers() {
    for seed in 3..8 {
        let settings = AdmissionSettings {
            tokens_per_ms: 1.0,
            ..AdmissionSettings::default()
        };
        let (ours, asked) = burst(Some(Admission::new(settings)), seed);
        let (plain, plain_asked) = burst(None, seed);
        let sum = |counts: &[u64]| counts.iter().sum::<u64>() as f64;
        let in_burst = sum(&ours[10..20]) / 1_000.0;
        let after = sum(&ours[25..]) / sum(&asked[25..]);
        let plain_after = sum(&plain[25..]) / sum(&plain_asked[25..]);
        println!(
            "share of capacity in the burst {in_burst}, answered after {after}, {plain_after}"
        );
        assert!(in_burst > 0.9, "collapsed in the burst: {in_burst}");
        assert!(after > 0.99, "not back to normal: {after}");
        assert!(
            plain_after < 0.5,
            "the plain way is expected to stay down: {plain_after}"
        );
    }
}

#[test]
fn the_limit_settles_where_the_delay_meets_its_target() {
    for initial in [4, 10, 200] {
        let settings = ConcurrencySettings {
            initial,
            ..ConcurrencySettings::default()
        };
        let mut limit = ConcurrencyLimit::new(settings);
        for now_ms in (0..120_000).step_by(20) {
            // Ten requests run at once and each one beyond waits another 10 ms.
            let in_flight = whole_limit(&limit);
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

/// Returns the most requests that `limit` lets run.
fn whole_limit(limit: &ConcurrencyLimit) -> u32 {
    (0..1_000)
        .find(|&in_flight| !limit.allows(in_flight))
        .expect("a finite limit")
}
