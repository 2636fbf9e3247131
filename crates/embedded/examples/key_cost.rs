//! Measures the cost of an idempotency key: added latency, and refusals during a log outage.
//!
//! `cargo run --release -p mallowpath-embedded --example key_cost`
//!
//! All processes run in this one on loopback, so the figures include no network delay. Between
//! hosts, a commit adds the delay from the router to the owner and from the owner to the witness.

use mallowpath_embedded::{EXAMPLE_BEARER_KEY, EmbeddedFleet, EmbeddedFleetSettings};
use mallowpath_standins::{Outage, client};
use std::{
    error::Error,
    net::SocketAddr,
    time::{Duration, Instant},
};

const ROUTERS: usize = 6;
const ZONES: usize = 3;
const REQUESTS: usize = 500;
const OUTAGE_REQUESTS: usize = 200;
/// Time for the key shards to get their owners and witnesses.
const SETTLE_MS: u64 = 2000;

type BoxError = Box<dyn Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let settings = EmbeddedFleetSettings {
        routers: ROUTERS,
        zones: ZONES,
        ..EmbeddedFleetSettings::default()
    };
    let fleet = EmbeddedFleet::start(settings).await?;
    tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    for round in ["warm-up", "measured"] {
        let mut plain = Vec::new();
        let mut keyed = Vec::new();
        let mut retried = Vec::new();
        for number in 0..REQUESTS {
            let callers = fleet.routers[number % ROUTERS].1.callers;
            let other = fleet.routers[(number + 1) % ROUTERS].1.callers;
            let key = format!("{round}-{number}");
            plain.push(call(callers, None).await?.0);
            keyed.push(call(callers, Some(&key)).await?.0);
            retried.push(call(other, Some(&key)).await?.0);
        }
        println!("{round}: {REQUESTS} requests each, one at a time");
        print_latency("without a key", plain);
        print_latency("with a new key", keyed);
        print_latency("retry through another router", retried);
    }
    fleet.log_service.change(|log| log.outage = Outage::Refuse);
    let refused = count_refused(&fleet, "pairs").await?;
    println!("log out, all pairs whole: {refused} of {OUTAGE_REQUESTS} refused");
    Ok(())
}

async fn count_refused(fleet: &EmbeddedFleet, prefix: &str) -> Result<usize, BoxError> {
    let mut refused = 0;
    for number in 0..OUTAGE_REQUESTS {
        let callers = fleet.routers[number % ROUTERS].1.callers;
        let (_, status) = call(callers, Some(&format!("{prefix}-{number}"))).await?;
        refused += usize::from(status != 200);
    }
    Ok(refused)
}

async fn call(callers: SocketAddr, key: Option<&str>) -> Result<(Duration, u16), BoxError> {
    let bearer = format!("Bearer {EXAMPLE_BEARER_KEY}");
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let started = Instant::now();
    let answer = client::send_and_read(callers, "POST /services/notices/a", &headers, "a").await?;
    Ok((started.elapsed(), answer.status))
}

fn print_latency(name: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let percentile_us = |percent: usize| times[(times.len() - 1) * percent / 100].as_micros();
    println!(
        "  {name}: p50 {} us, p99 {} us",
        percentile_us(50),
        percentile_us(99)
    );
}
