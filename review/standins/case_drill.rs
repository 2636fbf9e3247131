//! An entry host is taken away in the seconds that a drill of the store then loses.

use crate::{
    Outcome,
    case_epoch::{EVENTS, ask, verdict, whole_stream},
    client::{ClientRequest, send},
    deployment::{Deployment, RESUMABLE, STRIDE},
    process::SIGTERM,
    record::Record,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle, sleep},
    time::{Duration, Instant},
};

/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time after the drill for routers and engines to notice it.
const AFTER_DRILL: Duration = Duration::from_secs(8);

/// Time between two requests of other tenants.
const TRAFFIC_INTERVAL: Duration = Duration::from_millis(200);

/// How often a refused request is sent again at most.
const TRIES: usize = 6;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut deployment = Deployment::start(record, 2, [whole_stream(), whole_stream()])?;
    sleep(Duration::from_secs(2));
    let (tenant, others) = choose_tenants(&deployment)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let traffic = send_traffic(deployment.front(0), others, Arc::clone(&is_over), record);
    sleep(Duration::from_secs(1));
    deployment.store.take_copy();
    let copied = Instant::now();
    record.line("store: a copy is taken");
    let (answer, mut spent) = ask(&deployment, record, 1, &tenant, "first");
    if answer.status != 200 {
        return Err("the first request was not served".to_owned());
    }
    // Planned work: the host is stopped and leaves.
    deployment.signal_router(1, SIGTERM);
    deployment.wait_for_end(1, Duration::from_secs(8));
    if trouble {
        deployment.set_heartbeats(false);
        deployment.store.go_away();
        record.line("store: away");
        sleep(AWAY);
        deployment.store.come_back_from_copy();
        record.line(&format!(
            "store: back from the copy, {:.1} s old",
            copied.elapsed().as_secs_f64()
        ));
        // What the operator and the engines wrote is written again.
        deployment.write_configuration();
        deployment.write_entries(100);
        deployment.set_heartbeats(true);
    }
    sleep(AFTER_DRILL);
    for number in 0..TRIES {
        let attempt = format!("second-{number}");
        let (answer, tokens) = ask(&deployment, record, 0, &tenant, &attempt);
        spent += tokens;
        if matches!(answer.status, 200 | 402) {
            break;
        }
        sleep(Duration::from_secs(1));
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    verdict(&deployment, record, &tenant, spent)
}

/// Returns a tenant whose budget the host keeps that leaves, in a topic of the ledger in which the other
/// one keeps none, and the tenants whose budgets the other one keeps.
fn choose_tenants(deployment: &Deployment) -> Result<(String, Vec<String>), String> {
    let (staying, leaving) = (deployment.account(0), deployment.account(1));
    let grants = deployment.store.grants();
    let of_staying = || grants.iter().filter(|grant| grant.holder == staying);
    let others = of_staying().map(|grant| grant.tenant.clone()).collect();
    for grant in &grants {
        if grant.holder == leaving && !of_staying().any(|other| other.topic == grant.topic) {
            return Ok((grant.tenant.clone(), others));
        }
    }
    Err("the routers keep budgets in the same topics".to_owned())
}

/// Sends small requests of other tenants to the router that stays, until the case is over.
fn send_traffic(
    router: SocketAddr,
    tenants: Vec<String>,
    is_over: Arc<AtomicBool>,
    record: &Record,
) -> JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            for tenant in &tenants {
                number += 1;
                let request = ClientRequest {
                    path: RESUMABLE,
                    key: &tenant.replacen('t', "key-", 1),
                    attempt: &format!("traffic-{number}"),
                    tokens: (100, EVENTS * STRIDE),
                    deadline_ms: 6_000,
                };
                send(router, &request, &record);
                sleep(TRAFFIC_INTERVAL);
            }
        }
    })
}
