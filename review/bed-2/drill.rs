//! A drill of the store beside the planned restart of the router that keeps a tenant's budget.
//!
//! `TROUBLE=0` leaves the drill out, `TROUBLE=drill` the restart; with `TROUBLE=kill` the router is killed
//! in place of the restart.

use crate::{
    Verdict,
    client::Attempt,
    engine::STRIDE,
    fleet::Fleet,
};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const TENANT: &str = "tenant-w";
const PREPAID: u64 = 70_000;
const TOKENS: (u64, u64) = (900, 100);
const CLIENTS: usize = 4;
/// How long clients spend after the copy before the router is stopped.
const SPEND_TIME: Duration = Duration::from_secs(3);
/// How long the store is away.
const AWAY: Duration = Duration::from_secs(1);
const KILLED_AFTER: Duration = Duration::from_millis(400);
/// The time from the store's return to the start of the router.
const STARTED_AFTER: Duration = Duration::from_millis(200);
/// How long clients go on after the drill.
const AFTER: Duration = Duration::from_secs(30);

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"chat\",\"host\":\"review.example\",\
         \"path-prefix\":\"/chat/\",\"route-type\":\"streaming\",\"timeout-ms\":6000,\
         \"target-latency-ms\":600,\"priority\":1,\"service\":\"chat\",\"max-attempts\":2,\
         \"public\":false,\"sticky\":true,\"resumable\":true,\"gap-aim-ms\":500}}],\
         \"services\":[{{\"name\":\"chat\",\"health-path\":\"/health\",\"max-connections\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slot-count\":64,\
         \"kv-capacity-tokens\":294699,\"stride\":{STRIDE},\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api-keys\":[\"key-w\"],\"priority\":1,\
         \"prepaid\":{PREPAID}}}]}}"
    )
}

/// What the clients of the tenant do.
struct Clients {
    /// The routers to which the platform sends them.
    rotation: Mutex<Vec<usize>>,
    stop: AtomicBool,
    attempts: AtomicU64,
    consumed: AtomicU64,
}

pub fn play(trouble: &str, record_path: &str) -> Verdict {
    let mut fleet = Fleet::new(2, 110);
    fleet.store.put("keyed.op", "config", Some(&configuration()));
    let pace = Duration::from_millis(20);
    let engines = [0, 1].map(|index| fleet.add_engine(index, "chat", "v1", pace));
    for engine in &engines {
        fleet.register(engine, 1);
    }
    let record = Arc::clone(&fleet.record);
    let store = Arc::clone(&fleet.store);
    if !fleet.start_all() {
        record.tell("the routers did not become ready".to_owned());
        record.write(record_path);
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(3));
    store.copy();
    let copied_at = Instant::now();
    record.line("the store's copy is made".to_owned());
    let clients = Arc::new(Clients {
        rotation: Mutex::new(vec![0, 1]),
        stop: AtomicBool::new(false),
        attempts: AtomicU64::new(0),
        consumed: AtomicU64::new(0),
    });
    let fronts = [fleet.front(0), fleet.front(1)];
    let threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let clients = Arc::clone(&clients);
            let record = Arc::clone(&record);
            thread::spawn(move || run_client(number, &clients, fronts, &record))
        })
        .collect();
    thread::sleep(SPEND_TIME);
    // The account of the router that keeps the budget is the only one that names the tenant.
    let keepers = store.keys_with("keyed.budgets-", TENANT);
    let keeper = (0..2).find(|index| {
        let ip = &fleet.machines[*index].ip;
        keepers.len() == 1 && keepers[0].ends_with(&format!("@{ip}"))
    });
    let Some(keeper) = keeper else {
        record.tell(format!("no single router keeps the budget: {keepers:?}"));
        record.write(record_path);
        clients.stop.store(true, Ordering::SeqCst);
        return Verdict::NotRun;
    };
    let is_restart = matches!(trouble, "0" | "1");
    if is_restart {
        // The router has left the rotation when its process ends.
        *clients.rotation.lock().expect("no panics") = vec![1 - keeper];
        if !fleet.stop(keeper) {
            record.line("the router did not end in time".to_owned());
        }
        thread::sleep(Duration::from_millis(500));
    }
    let before = clients.consumed.load(Ordering::SeqCst);
    if trouble != "0" {
        record.line("the store goes away".to_owned());
        store.set_away();
        thread::sleep(KILLED_AFTER);
        if trouble == "kill" {
            *clients.rotation.lock().expect("no panics") = vec![1 - keeper];
            fleet.kill(keeper);
        }
        thread::sleep(AWAY - KILLED_AFTER);
        store.come_back_from_copy();
        let age = copied_at.elapsed().as_secs_f64();
        record.tell(format!("the store is back from a copy {age:.1} s old, in the next era"));
        store.put("keyed.op", "config", Some(&configuration()));
        for engine in &engines {
            fleet.register(engine, 2);
        }
    }
    thread::sleep(STARTED_AFTER);
    if trouble != "drill" {
        fleet.start(keeper);
        let until = Instant::now() + Duration::from_secs(5);
        while !fleet.is_ready(keeper) && Instant::now() < until {
            thread::sleep(Duration::from_millis(100));
        }
        *clients.rotation.lock().expect("no panics") = vec![0, 1];
    }
    let until = Instant::now() + AFTER;
    while Instant::now() < until && threads.iter().any(|thread| !thread.is_finished()) {
        thread::sleep(Duration::from_millis(100));
    }
    clients.stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().expect("clients don't panic");
    }
    let consumed = clients.consumed.load(Ordering::SeqCst);
    record.tell(format!(
        "{TENANT} has prepaid {PREPAID} tokens; it consumed {before} before the drill and {consumed} in all"
    ));
    record.write(record_path);
    if consumed > PREPAID { Verdict::Broken } else { Verdict::Held }
}

/// Sends one request after the other until the budget is spent.
fn run_client(
    number: usize,
    clients: &Clients,
    fronts: [std::net::SocketAddr; 2],
    record: &crate::record::Record,
) {
    while !clients.stop.load(Ordering::SeqCst) {
        let attempt_number = clients.attempts.fetch_add(1, Ordering::SeqCst);
        let router = {
            let rotation = clients.rotation.lock().expect("no panics");
            rotation[(number + attempt_number as usize) % rotation.len()]
        };
        let attempt = Attempt {
            id: format!("{attempt_number:016x}"),
            path: "/chat/2f",
            key: "key-w",
            deadline_ms: 6_000,
            tokens: Some(TOKENS),
            last_event_id: None,
            resumes: None,
            body_bytes: 100,
        };
        let answer = attempt.send(fronts[router], record);
        // Tokens in, once for each request that ran, and tokens out that were delivered.
        let prompt = record.run(&attempt.id).unwrap_or(0);
        let delivered = answer.events.len() as u64 * STRIDE;
        clients.consumed.fetch_add(prompt + delivered, Ordering::SeqCst);
        match answer.status {
            Some(402) => return,
            Some(200) => {}
            _ => {
                let wait = answer.retry_after.unwrap_or(Duration::from_millis(200));
                thread::sleep(wait.min(Duration::from_secs(2)));
            }
        }
    }
}
