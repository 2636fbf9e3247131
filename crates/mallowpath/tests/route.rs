//! Routing: corrected load reports, bounded prefix affinity, adapters, prefix evidence.

use mallowpath::{
    Backend, BackendState, CacheEvent, CacheEventKind, LoadReport, PREFIX_BLOCK_BYTES,
    PREFIX_BLOCK_TOKENS, PrefixSketch, Reason, RouteRequest, RouteSettings, RouteTable,
    least_outstanding, prefix_hashes, round_robin,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{cmp::Reverse, collections::BinaryHeap};

const BACKENDS: usize = 20;
const PLAIN: RouteRequest<'static> = RouteRequest {
    prefix_hashes: &[],
    adapter: None,
    prompt_tokens: 100,
    cap_tokens: 100,
    priority: 1,
    exclude: &[],
};

fn table(settings: RouteSettings) -> RouteTable {
    let mut table = RouteTable::new("z0".parse().expect("a name"), settings);
    for number in 0..BACKENDS {
        let id = format!("b{number:02}").parse().expect("a name");
        let host = format!("h{number:02}").parse().expect("a name");
        table.insert(Backend::new(id, host, "z0".parse().expect("a name")));
    }
    table
}

fn index_of(table: &RouteTable, backend: &Backend) -> usize {
    table
        .backends()
        .iter()
        .position(|other| other.id == backend.id)
        .expect("listed")
}

fn at(table: &mut RouteTable, index: usize) -> &mut Backend {
    let id = table.backends()[index].id.clone();
    table.get_mut(&id).expect("listed")
}

fn report(running: u64, waiting: u64, at_ms: u64) -> LoadReport {
    LoadReport {
        running,
        waiting,
        kv_used_tokens: 0,
        kv_total_tokens: 0,
        at_ms,
    }
}

/// An engine that runs eight requests at a time, first come first served.
#[derive(Clone, Default)]
struct Engine {
    slots_free_at_ms: [u64; 8],
    runs: Vec<(u64, u64)>,
}

impl Engine {
    fn submit(&mut self, now_ms: u64, run_ms: u64) -> (u64, u64) {
        let slot = self.slots_free_at_ms.iter_mut().min().expect("slots");
        let start_ms = now_ms.max(*slot);
        *slot = start_ms + run_ms;
        self.runs.push((start_ms, *slot));
        (start_ms - now_ms, *slot)
    }

    fn report(&mut self, now_ms: u64) -> LoadReport {
        self.runs.retain(|run| run.1 > now_ms);
        let waiting = self.runs.iter().filter(|run| run.0 > now_ms).count();
        report((self.runs.len() - waiting) as u64, waiting as u64, now_ms)
    }
}

type Rule = fn(&RouteTable, u64, u64) -> usize;

/// Runs `count` routers at 80% load with reports up to two seconds old; returns the p99 wait.
fn p99_wait_ms(count: usize, mean_run_ms: u64, rule: Rule) -> u64 {
    let mut rng = StdRng::seed_from_u64(11);
    let mut routers: Vec<_> = (0..count)
        .map(|_| table(RouteSettings::default()))
        .collect();
    let mut engines = vec![Engine::default(); BACKENDS];
    let mut pending = Vec::new();
    let mut ends: BinaryHeap<Reverse<(u64, usize, usize, u64)>> = BinaryHeap::new();
    let mut waits = Vec::new();
    for now_ms in 0..60_000.max(40 * mean_run_ms) {
        if now_ms % 1_000 == 0 {
            for (index, last) in pending.drain(..) {
                for router in &mut routers {
                    at(router, index).report(last);
                }
            }
            pending.extend(engines.iter_mut().map(|e| e.report(now_ms)).enumerate());
        }
        while ends.peek().is_some_and(|end| end.0.0 <= now_ms) {
            let Reverse((_, router, index, start_ms)) = ends.pop().expect("peeked");
            at(&mut routers[router], index).ended(start_ms, now_ms);
        }
        if !rng.random_bool(0.8 * (BACKENDS * 8) as f64 / mean_run_ms as f64) {
            continue;
        }
        let router = rng.random_range(0..routers.len());
        let index = rule(&routers[router], now_ms, rng.random());
        let (wait_ms, end_ms) = engines[index].submit(
            now_ms,
            rng.random_range(mean_run_ms / 2..mean_run_ms * 3 / 2),
        );
        at(&mut routers[router], index).submitted(&[], now_ms);
        ends.push(Reverse((end_ms, router, index, now_ms)));
        waits.push(wait_ms);
    }
    waits.sort_unstable();
    waits[waits.len() * 99 / 100]
}

fn corrected(table: &RouteTable, now_ms: u64, draw: u64) -> usize {
    index_of(
        table,
        table
            .choose(&PLAIN, now_ms, draw)
            .expect("a backend")
            .backend,
    )
}

fn trust_the_report(table: &RouteTable, _now_ms: u64, _draw: u64) -> usize {
    let reported = |b: &Backend| b.last_report().map_or(0, |r| r.running + r.waiting);
    let best = table
        .backends()
        .iter()
        .min_by_key(|b| reported(b))
        .expect("backends");
    index_of(table, best)
}

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-6
}

#[test]
fn stale_reports_do_not_herd() {
    for (count, mean_run_ms) in [(6, 400), (6, 8_000), (74, 8_000)] {
        let ours_ms = p99_wait_ms(count, mean_run_ms, corrected);
        let naive_ms = p99_wait_ms(count, mean_run_ms, trust_the_report);
        let random_ms = p99_wait_ms(count, mean_run_ms, |t, now, draw| {
            index_of(t, round_robin(t, &[], now, draw).expect("a backend"))
        });
        let least_ms = p99_wait_ms(count, mean_run_ms, |t, now, draw| {
            index_of(t, least_outstanding(t, &[], now, draw).expect("a backend"))
        });
        println!(
            "{count} routers, runs of {mean_run_ms}: p99 wait {ours_ms}, trust {naive_ms}, random {random_ms}, \
             least own {least_ms}"
        );
        assert!(ours_ms * 2 < naive_ms, "{ours_ms} ms against {naive_ms} ms");
        assert!(
            ours_ms * 4 < least_ms * 5,
            "{ours_ms} ms against {least_ms} ms"
        );
        assert!(ours_ms < random_ms, "{ours_ms} ms against {random_ms} ms");
    }
}

/// Sends `count` long prompts of one prefix without an end; returns the highest share of the mean.
fn skew(settings: RouteSettings, count: u64) -> f64 {
    let mut table = table(settings);
    let hashes = prefix_hashes(&[b'x'; 60 * PREFIX_BLOCK_BYTES]);
    let request = RouteRequest {
        prefix_hashes: &hashes,
        prompt_tokens: 4_000,
        ..PLAIN
    };
    for draw in 0..count {
        let index = index_of(
            &table,
            table.choose(&request, 0, draw).expect("any").backend,
        );
        at(&mut table, index).submitted(&hashes, 0);
    }
    let max = table
        .backends()
        .iter()
        .map(Backend::own_in_flight)
        .max()
        .expect("backends");
    max as f64 * BACKENDS as f64 / count as f64
}

#[test]
fn prefix_affinity_is_bounded_under_skew() {
    let bounded = skew(RouteSettings::default(), 200);
    let unbounded = skew(
        RouteSettings {
            affinity_load_bound: f64::INFINITY,
            ..RouteSettings::default()
        },
        200,
    );
    println!("busiest backend against the mean: {bounded} bounded, {unbounded} unbounded");
    assert!(bounded <= 1.5 && unbounded > 2.0, "{bounded} {unbounded}");
}

#[test]
fn a_cached_prefix_wins_at_equal_load_on_every_draw() {
    let mut table = table(RouteSettings::default());
    let hashes = prefix_hashes(&[b'x'; 9 * PREFIX_BLOCK_BYTES]);
    let request = RouteRequest {
        prefix_hashes: &hashes,
        prompt_tokens: 600,
        ..PLAIN
    };
    at(&mut table, 13).submitted(&hashes, 0);
    at(&mut table, 13).ended(0, 5);
    for draw in 0..200 {
        let choice = table.choose(&request, 10, draw).expect("a backend");
        assert_eq!(
            (choice.backend.id.as_str(), choice.reason),
            ("b13", Reason::Prefix)
        );
    }
}

#[test]
fn routers_without_evidence_agree_on_a_home() {
    let hashes = prefix_hashes(&[b'y'; 9 * PREFIX_BLOCK_BYTES]);
    let request = RouteRequest {
        prefix_hashes: &hashes,
        ..PLAIN
    };
    let mut agreed = 0;
    let (first, mut second) = (
        table(RouteSettings::default()),
        table(RouteSettings::default()),
    );
    let home = index_of(&first, first.choose(&request, 0, 1).expect("any").backend);
    at(&mut second, 3).state = BackendState::Leaving;
    for draw in 0..100 {
        let choice = second.choose(&request, 0, draw).expect("a backend");
        agreed += u32::from(choice.backend.id == first.backends()[home].id);
    }
    assert_eq!(agreed, 100);
}

#[test]
fn adapters_zone_kv_room_and_exclusion_count() {
    let mut table = table(RouteSettings::default());
    let with_adapter = RouteRequest {
        adapter: Some("fees"),
        ..PLAIN
    };
    at(&mut table, 5).adapters.insert("fees".into());
    at(&mut table, 5).report(report(40, 0, 1));
    for draw in 0..50 {
        let choice = table.choose(&with_adapter, 2, draw).expect("a backend");
        assert_eq!(
            choice.backend.id.as_str(),
            "b05",
            "40 x 10 ms against a load of 1,500 ms"
        );
    }
    at(&mut table, 5).report(LoadReport {
        kv_used_tokens: 900,
        kv_total_tokens: 1_000,
        ..report(110, 0, 2)
    });
    let choice = table.choose(&with_adapter, 2, 0).expect("a backend");
    assert_ne!(
        choice.backend.id.as_str(),
        "b05",
        "110 x 10 ms and no KV room is more"
    );
    for index in 1..BACKENDS {
        at(&mut table, index).state = BackendState::Ejected { until_ms: 400 };
    }
    let exclude = [table.backends()[0].id.clone()];
    let tried = RouteRequest {
        exclude: &exclude,
        ..PLAIN
    };
    assert_eq!(
        table
            .choose(&tried, 100, 0)
            .expect_err("none left")
            .retry_after_ms,
        300
    );
    assert!(
        table
            .choose(&PLAIN, 100, 0)
            .is_ok_and(|choice| choice.reason == Reason::Only)
    );
}

#[test]
fn reports_are_corrected_by_own_submits_and_ends() {
    let mut table = table(RouteSettings::default());
    let backend = at(&mut table, 0);
    backend.submitted(&[], 10);
    backend.submitted(&[], 20);
    backend.submitted(&[], 40);
    backend.ended(20, 50);
    backend.report(report(7, 2, 30));
    assert!(
        close(backend.load(30), 2.0 + 7.0),
        "two own then and two now, seven of others"
    );
    let later = backend.load(1_030);
    assert!(
        later > 2.0 + 7.0 * 0.2 && later < 2.0 + 7.0 * 0.6,
        "others end: {later}"
    );
    backend.report(report(100, 0, 25));
    assert!(
        close(backend.load(1_030), later),
        "an older report is ignored"
    );
    assert!(
        close(backend.load(10_000_000), 2.0),
        "an old report fades to own requests"
    );
}

#[test]
fn cache_events_add_or_age_evidence() {
    let hashes = prefix_hashes(&[b'x'; 4 * PREFIX_BLOCK_BYTES]);
    let full = 4.0 * PREFIX_BLOCK_TOKENS as f64;
    let event = |seq, kind, prefix_hash| CacheEvent {
        seq,
        kind,
        prefix_hash,
    };
    let mut sketch = PrefixSketch::new(8);
    sketch.event(&event(5, CacheEventKind::Stored, hashes[3]), 0);
    assert!(
        close(sketch.cached_tokens(&hashes, 0), full),
        "a prefix implies the shorter ones"
    );
    sketch.event(&event(8, CacheEventKind::Evicted, 1), 0);
    let after_gap = sketch.cached_tokens(&hashes, 0);
    assert!(
        after_gap > 0.0 && after_gap < full,
        "a gap ages: {after_gap}"
    );
    sketch.event(&event(9, CacheEventKind::Evicted, hashes[3]), 0);
    let evicted = sketch.cached_tokens(&hashes, 0);
    assert!(
        evicted > 0.0 && evicted < after_gap / 10.0,
        "eviction ages: {evicted}"
    );
    sketch.event(&event(6, CacheEventKind::Stored, hashes[3]), 0);
    assert!(
        close(sketch.cached_tokens(&hashes, 0), evicted),
        "a late copy changes nothing"
    );
    sketch.sent(&hashes, 1);
    assert!(close(sketch.cached_tokens(&hashes, 1), full));
    for other in 0..100 {
        sketch.sent(&[other], 2 + other);
        assert!(sketch.len() <= 8);
    }
}
