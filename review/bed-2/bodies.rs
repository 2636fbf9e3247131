//! Many clients at once send bodies of the largest size that the configuration allows.

use crate::{Verdict, client::Attempt, fleet::Fleet, record::Record};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// The clients in the burst: under 1.7 times as many as usual, as in the site file.
const CLIENTS: usize = 40;
const BODY_BYTES: usize = 4_000_000;
const MEMORY_MB: u64 = 110;
const ROUNDS: usize = 6;
/// The time in which clients begin requests, one after the other, in each round.
const BURST_TIME: Duration = Duration::from_secs(3);
const ROUND_TIME: Duration = Duration::from_secs(8);
/// How many clients send at a time without the disruption.
const USUAL_CLIENTS: usize = 24;

const CONFIGURATION: &str = "{\"version\":7,\"routes\":[{\"name\":\"push\",\
    \"host\":\"review.example\",\"path-prefix\":\"/push/\",\"route-type\":\"non_idempotent\",\
    \"timeout-ms\":5000,\"target-latency-ms\":300,\"priority\":1,\"service\":\"panel\",\
    \"max-attempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}],\
    \"services\":[{\"name\":\"panel\",\"health-path\":\"/health\",\"max-connections\":370,\
    \"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
    \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\
    \"tenants\":[{\"name\":\"tenant-w\",\"api-keys\":[\"key-w\"],\"priority\":1}]}";

pub fn play(trouble: &str, record_path: &str) -> Verdict {
    let mut fleet = Fleet::new(2, MEMORY_MB);
    fleet.store.put("keyed.op", "config", Some(CONFIGURATION));
    for index in 0..2 {
        fleet.add_engine(index, "panel", "v1", Duration::ZERO);
    }
    let record = Arc::clone(&fleet.record);
    if !fleet.start_all() {
        record.tell("the routers did not become ready".to_owned());
        record.write(record_path);
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let fronts = [fleet.front(0), fleet.front(1)];
    let lost = Arc::new(AtomicUsize::new(0));
    let answered = Arc::new(AtomicUsize::new(0));
    let mut ends = [0_u32; 2];
    let mut peaks_mb = [0.0_f64; 2];
    for round in 0..ROUNDS {
        record.line(format!("round {round}"));
        let senders = if trouble == "0" { USUAL_CLIENTS } else { CLIENTS };
        let stop_at = Instant::now() + BURST_TIME;
        let threads: Vec<JoinHandle<()>> = (0..senders)
            .map(|sender| {
                let (record, lost, answered) =
                    (Arc::clone(&record), Arc::clone(&lost), Arc::clone(&answered));
                thread::spawn(move || {
                    let mut number = 0;
                    while Instant::now() < stop_at {
                        let id = (round << 32) + (sender << 16) + number;
                        number += 1;
                        let is_answered = push(id, fronts[sender % 2], &record);
                        let count = if is_answered { &answered } else { &lost };
                        count.fetch_add(1, Ordering::SeqCst);
                        if !is_answered {
                            thread::sleep(Duration::from_millis(500));
                        }
                    }
                })
            })
            .collect();
        let until = Instant::now() + ROUND_TIME;
        let mut restarts: [Option<Instant>; 2] = [None; 2];
        while Instant::now() < until {
            for router in 0..2 {
                if restarts[router].is_some_and(|at| Instant::now() >= at) {
                    restarts[router] = None;
                    fleet.start(router);
                }
                let memory_mb = fleet.memory_mb(router);
                peaks_mb[router] = peaks_mb[router].max(memory_mb);
                if memory_mb > MEMORY_MB as f64 {
                    record.line(format!("router {router} uses {memory_mb:.0} MB of {MEMORY_MB}"));
                    fleet.kill(router);
                    ends[router] += 1;
                    restarts[router] = Some(Instant::now() + Duration::from_secs(1));
                } else if fleet.has_ended(router) {
                    record.line(format!("router {router} has ended by itself"));
                    fleet.kill(router);
                    ends[router] += 1;
                    restarts[router] = Some(Instant::now() + Duration::from_secs(1));
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        for thread in threads {
            thread.join().expect("clients don't panic");
        }
    }
    record.tell(format!(
        "routers that exceeded their {MEMORY_MB} MB: {ends:?} times, peaks {:.0} and {:.0} MB; \
         {} requests answered, {} without an answer",
        peaks_mb[0],
        peaks_mb[1],
        answered.load(Ordering::SeqCst),
        lost.load(Ordering::SeqCst)
    ));
    record.write(record_path);
    if ends.iter().all(|ends| *ends >= 3) { Verdict::Broken } else { Verdict::Held }
}

/// Sends a request; returns whether it got an answer.
fn push(id: usize, router: SocketAddr, record: &Record) -> bool {
    let attempt = Attempt {
        id: format!("{id:016x}"),
        path: "/push/2f",
        key: "key-w",
        deadline_ms: 5_000,
        tokens: None,
        last_event_id: None,
        resumes: None,
        body_bytes: BODY_BYTES,
    };
    attempt.send(router, record).status.is_some()
}
