//! Samples of histograms take no more and more memory while nobody reads the metrics.

use mallowpath::{AdminHooks, HostLimits, serve_admin};
use mallowpath_e2e::{BoxError, peak_memory_kib};
use serde_json::Value;
use std::{sync::Arc, time::Duration};
use tokio::{net::TcpListener, time::sleep};

/// The samples of all rounds together take over 120 MiB if they are kept.
const ROUNDS: usize = 8;
const SAMPLES_PER_ROUND: usize = 1_000_000;

/// By how much the peak of memory may grow, in KiB.
const GROWTH_MAX_KIB: u64 = 64 << 10;

#[tokio::test]
async fn samples_are_summarized_though_nobody_reads_the_metrics() -> Result<(), BoxError> {
    let process = Arc::new(());
    let hooks = AdminHooks::new(&process, |_| true, |_| Value::Null, |_| {}, |_| {});
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    serve_admin(listener, hooks, &HostLimits::default());
    let id = std::process::id();
    let before_kib = peak_memory_kib(id)?;
    for _ in 0..ROUNDS {
        for sample in 0..SAMPLES_PER_ROUND {
            metrics::histogram!("samples").record(sample as f64);
        }
        sleep(Duration::from_millis(1_500)).await;
    }
    let growth_kib = peak_memory_kib(id)? - before_kib;
    println!("the peak grew by {growth_kib} KiB");
    assert!(growth_kib <= GROWTH_MAX_KIB, "{growth_kib} KiB");
    Ok(())
}
