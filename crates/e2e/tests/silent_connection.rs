//! Established connections on which nothing arrives any more, while new connections work.

use mallowpath_e2e::{BoxError, Call, CallKind, Cluster, ClusterSettings, History};
use mallowpath_standins::forwarder::Mode;
use std::time::Duration;
use tokio::time::sleep;

/// Upper bound of the time that an answer takes without a fault.
const MAX_ANSWER_MS: u64 = 1_600;
/// Upper bound of the delay: the silence is detected within the peer timeout, and the answer
/// continues at once over a new connection.
const MAX_DELAY_MS: u64 = 1_400;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_continues_over_a_new_connection() -> Result<(), BoxError> {
    let settings = ClusterSettings {
        forward_links: true,
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).await?;
    let history = History::new();
    let mut calls = Vec::new();
    for number in 0..8 {
        let call = Call {
            kind: [CallKind::Streamed, CallKind::Unstreamed][number % 2],
            prompt: format!("layout {number}"),
            max_tokens: 150,
            natural_tokens: 110,
            ..Call::default()
        };
        calls.push(history.spawn(cluster.callers()[0], call));
    }
    sleep(Duration::from_millis(500)).await;
    for sidecar in &cluster.sidecars {
        let link = cluster.network.forwarder("router-0", &sidecar.name);
        link.set_mode(Mode::StaleOld).await;
    }
    for call in calls {
        let operation = call.await?;
        assert!(operation.is_complete(), "{operation:?}");
        let took_ms = operation.ended_ms - operation.started_ms;
        assert!(took_ms < MAX_ANSWER_MS + MAX_DELAY_MS, "took {took_ms} ms");
    }
    cluster.verify(&history, 3_000).await?;
    assert_eq!(cluster.run_counts().await.len(), 8);
    Ok(())
}
