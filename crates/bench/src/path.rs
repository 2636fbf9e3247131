//! The cost of the request path: latency added to a direct call, and processor time per request.

use crate::{
    fleet::{Fleet, FleetSettings},
    load::{LoadClient, RequestSpec, Sample, count_complete, latency_histogram, quantile_ms},
    proc_stat::ProcStat,
};
use argh::FromArgs;
use mallowpath_e2e::BoxError;
use serde_json::json;
use std::{net::SocketAddr, sync::Arc};

/// latency added by router and sidecar, and processor time a request
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "path")]
pub struct PathArguments {
    /// seconds for each load; default 4
    #[argh(option, default = "4")]
    seconds: u64,
}

/// The kind of a request.
#[derive(Debug, Clone, Copy)]
enum Call {
    Lookup,
    Chat { tokens: u64 },
}

/// The number of engines, which precede the plain service in [`Fleet::backends`].
const ENGINES: u64 = 4;
const LATENCY_PER_S: f64 = 100.0;

/// Runs the experiment.
///
/// # Errors
///
/// Fails when the fleet does not start.
pub async fn run(arguments: &PathArguments) -> Result<(), BoxError> {
    let settings = FleetSettings {
        engine: json!({"model": "m", "max_running": 256, "kv_total_tokens": 10_000_000}),
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(settings).await?;
    let load_client = LoadClient::new();
    let lookup = fleet.backends[fleet.backends.len() - 1].address;
    let router = fleet.routers[0].callers;
    let count = arguments.seconds * 100;
    load_client
        .open_loop(LATENCY_PER_S, 100, |_| {
            request_spec(router, Call::Lookup, true)
        })
        .await;
    for (what, call) in [
        ("lookup", Call::Lookup),
        ("chat of 16 tokens", Call::Chat { tokens: 16 }),
    ] {
        let direct = |number: u64| match call {
            Call::Lookup => lookup,
            Call::Chat { .. } => {
                fleet.backends[usize::try_from(number % ENGINES).unwrap_or(0)].address
            }
        };
        let alone = load_client
            .open_loop(LATENCY_PER_S, count, |number| {
                let spec = request_spec(direct(number), call, false);
                RequestSpec {
                    id: number + 1,
                    ..spec
                }
            })
            .await;
        let routed = load_client
            .open_loop(LATENCY_PER_S, count, |_| request_spec(router, call, true))
            .await;
        for (way, samples) in [("direct", &alone), ("routed", &routed)] {
            print_latency(what, way, samples);
        }
    }
    for call in [
        Call::Lookup,
        Call::Chat { tokens: 8 },
        Call::Chat { tokens: 64 },
    ] {
        for per_s in [100, 200, 400] {
            measure_cpu(&fleet, &load_client, call, per_s, arguments.seconds).await?;
        }
    }
    Ok(())
}

fn print_latency(what: &str, way: &str, samples: &[Sample]) {
    let first = latency_histogram(samples, |sample| sample.first_us);
    let last = latency_histogram(samples, |sample| sample.last_us);
    let line = json!({
        "experiment": "path", "call": what, "way": way, "per_s": LATENCY_PER_S,
        "sent": samples.len(), "whole": count_complete(samples),
        "first_p50_ms": quantile_ms(&first, 0.5), "first_p99_ms": quantile_ms(&first, 0.99),
        "last_p50_ms": quantile_ms(&last, 0.5), "last_p99_ms": quantile_ms(&last, 0.99),
    });
    println!("{line}");
}

async fn measure_cpu(
    fleet: &Fleet,
    load_client: &LoadClient,
    call: Call,
    per_s: u64,
    seconds: u64,
) -> Result<(), BoxError> {
    let router = &fleet.routers[0];
    let router_before = ProcStat::read(router.process.id())?;
    let sidecars_before = sidecar_cpu_ms(fleet)?;
    let count = per_s * seconds;
    let samples = load_client
        .open_loop(per_s as f64, count, |_| {
            request_spec(router.callers, call, true)
        })
        .await;
    let router_ms = ProcStat::read(router.process.id())?.cpu_ms - router_before.cpu_ms;
    let sidecars_ms = sidecar_cpu_ms(fleet)? - sidecars_before;
    let line = json!({
        "experiment": "path cpu", "call": format!("{call:?}"), "per_s": per_s,
        "sent": count, "whole": count_complete(&samples),
        "router_us_per_request": router_ms * 1_000 / count,
        "sidecars_us_per_request": sidecars_ms * 1_000 / count,
    });
    println!("{line}");
    Ok(())
}

fn sidecar_cpu_ms(fleet: &Fleet) -> Result<u64, BoxError> {
    let mut cpu_ms = 0;
    for sidecar in &fleet.sidecars {
        cpu_ms += ProcStat::read(sidecar.id())?.cpu_ms;
    }
    Ok(cpu_ms)
}

fn request_spec(address: SocketAddr, call: Call, routed: bool) -> RequestSpec {
    let (method, path, body) = match call {
        Call::Lookup if routed => ("GET", "/services/lookup/x", String::new()),
        Call::Lookup => ("GET", "/x", String::new()),
        Call::Chat { tokens } => ("POST", "/v1/chat/completions", chat_body(tokens)),
    };
    RequestSpec {
        address,
        method,
        path: Arc::from(path),
        body: Arc::from(body),
        key: Fleet::key(0),
        id: 0,
    }
}

fn chat_body(tokens: u64) -> String {
    json!({
        "model": "m", "stream": true, "standin_tokens": tokens, "max_tokens": tokens * 2,
        "messages": [{"role": "user", "content": "Which rooms are free at noon?"}],
    })
    .to_string()
}
