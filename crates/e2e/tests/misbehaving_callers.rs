//! Callers that send too much or stop short keep neither a router nor a sidecar from staying within its
//! memory, nor from answering others.
//!
//! The tests run one at a time, and check nothing that depends on the speed of the host.

use mallowpath::Tokens;
use mallowpath_e2e::{
    BoxError, Cluster, ClusterSettings, Crowd, Sent, call_until_served, dump, peak_memory_kib,
    wait_until_steady,
};
use mallowpath_standins::{plain_service, simulated_engine};
use serde_json::json;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    sync::{Mutex, MutexGuard},
    time::{sleep, timeout},
};

/// Memory that a process may have by default, in MiB.
const MEMORY_MB: u64 = 256;

/// The largest body that a request may have by default.
const BODY_MAX_BYTES: usize = 4 << 20;

/// Callers that send bodies; the bodies of all are one and a half times the memory.
const CALLERS: usize = 96;

/// Of these callers, those that send a body at the same time.
const CALLERS_AT_A_TIME: usize = 2;

/// Callers that each ask for a stream of [`STREAM_TOKENS`] and read nothing; a router of
/// [`STREAM_MEMORY_MB`] would hold twice that if it kept what they don't read.
const STREAM_CALLERS: usize = 12;
const STREAM_TOKENS: u64 = 100_000;
const STREAM_MEMORY_MB: u64 = 64;

/// Callers at each of [`SLOW_ROUTERS`] that each send a body of the largest size, which a service takes its
/// time for; a sidecar of [`SIDECAR_MEMORY_MB`] would exceed that if it took all that the routers pass on.
const SLOW_CALLERS: usize = 8;
const SLOW_ROUTERS: usize = 4;
const SLOW_CALL_MS: u64 = 2_000;
const SIDECAR_MEMORY_MB: u64 = 48;

/// More than the timeout of a request.
const RUNNING_LIMIT_MS: u64 = 40_000;

/// Callers that send heads of requests of [`HEAD_BYTES`].
const HEAD_CALLERS: usize = 700;
const HEAD_BYTES: usize = 400_000;

/// Peers that send messages; the messages of all are one and a half times the memory.
const PEERS: usize = 80;
const FRAME_BYTES: u32 = 6 << 20;
const FRAME_BYTES_SENT: usize = 5 << 20;

/// The API key of the workspace of every cluster.
const KEY: (&str, &str) = ("authorization", "Bearer demo-key");

/// Keeps other tests of this file from running at the same time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A router with a sidecar.
struct Bed {
    cluster: Cluster,
    _alone: MutexGuard<'static, ()>,
}

impl Bed {
    async fn start() -> Result<Self, BoxError> {
        let alone = ONE_AT_A_TIME.lock().await;
        let settings = ClusterSettings {
            routers: 1,
            engines: Vec::new(),
            ..ClusterSettings::default()
        };
        Ok(Self {
            cluster: Cluster::start(settings).await?,
            _alone: alone,
        })
    }

    fn callers(&self) -> SocketAddr {
        self.cluster.routers[0].callers
    }

    /// Has a crowd send `sent` to `address`, and checks the processes while it stays and once it has left.
    async fn check(
        &self,
        address: SocketAddr,
        callers: usize,
        sent: &Sent,
    ) -> Result<(), BoxError> {
        self.call().await?;
        let crowd = Crowd::start(address, callers, sent);
        crowd.wait_until_sent().await;
        wait_until_steady(&self.process_ids()).await?;
        self.check_use()?;
        self.call().await?;
        self.check_use()?;
        drop(crowd);
        self.call().await?;
        self.check_use()
    }

    fn process_ids(&self) -> [u32; 2] {
        let router = self.cluster.routers[0].process.id();
        let sidecar = self.cluster.sidecars[0].process.id();
        [router, sidecar]
    }

    /// Sends an ordinary request until it is served.
    async fn call(&self) -> Result<(), BoxError> {
        call_until_served(self.callers(), "POST /services/lookup/one", &[KEY], "hi").await?;
        Ok(())
    }

    /// Checks that each process lives within its memory.
    fn check_use(&self) -> Result<(), BoxError> {
        for id in self.process_ids() {
            let memory_kib = peak_memory_kib(id)?;
            println!("process {id}: {memory_kib} KiB");
            assert!(memory_kib <= MEMORY_MB << 10, "{memory_kib} KiB of memory");
        }
        Ok(())
    }
}

fn head() -> String {
    let (name, key) = KEY;
    format!("POST /services/lookup/crowd HTTP/1.1\r\nhost: h\r\n{name}: {key}\r\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies() -> Result<(), BoxError> {
    let bed = Bed::start().await?;
    let sent = Sent::announced(&head(), BODY_MAX_BYTES, BODY_MAX_BYTES, 1 << 16);
    bed.check(bed.callers(), CALLERS, &sent).await
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short() -> Result<(), BoxError> {
    let bed = Bed::start().await?;
    let sent = Sent::announced(&head(), BODY_MAX_BYTES, BODY_MAX_BYTES - 1, 1 << 16);
    bed.check(bed.callers(), CALLERS, &sent).await
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_that_stop_short() -> Result<(), BoxError> {
    let bed = Bed::start().await?;
    let sent = Sent::chunked(&head(), BODY_MAX_BYTES - 1, 1 << 16);
    bed.check(bed.callers(), CALLERS, &sent).await
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_over_the_limit() -> Result<(), BoxError> {
    let bed = Bed::start().await?;
    let length = 16 * BODY_MAX_BYTES;
    let sent = Sent::announced(&head(), length, length / 4, 1 << 16);
    bed.check(bed.callers(), CALLERS, &sent).await
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_over_the_limit() -> Result<(), BoxError> {
    let bed = Bed::start().await?;
    let sent = Sent::chunked(&head(), 4 * BODY_MAX_BYTES, 1 << 16);
    bed.check(bed.callers(), CALLERS, &sent).await
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_that_stop_short() -> Result<(), BoxError> {
    let bed = Bed::start().await?;
    let sent = Sent::unfinished_head(&head(), HEAD_BYTES);
    bed.check(bed.callers(), HEAD_CALLERS, &sent).await
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_at_the_admin_listener_of_a_router() -> Result<(), BoxError> {
    let bed = Bed::start().await?;
    let sent = Sent::unfinished_head("GET /dump HTTP/1.1\r\n", HEAD_BYTES);
    let admin = bed.cluster.routers[0].admin;
    bed.check(admin, HEAD_CALLERS, &sent).await
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_at_the_admin_listener_of_a_sidecar() -> Result<(), BoxError> {
    let bed = Bed::start().await?;
    let sent = Sent::unfinished_head("GET /dump HTTP/1.1\r\n", HEAD_BYTES);
    let admin = bed.cluster.sidecars[0].admin;
    bed.check(admin, HEAD_CALLERS, &sent).await
}

#[tokio::test(flavor = "multi_thread")]
async fn frames_that_stop_short_at_a_router() -> Result<(), BoxError> {
    let bed = Bed::start().await?;
    let sent = Sent::frame(FRAME_BYTES, FRAME_BYTES_SENT);
    let peers = bed.cluster.routers[0].peers;
    bed.check(peers, PEERS, &sent).await
}

#[tokio::test(flavor = "multi_thread")]
async fn frames_that_stop_short_at_a_sidecar() -> Result<(), BoxError> {
    let bed = Bed::start().await?;
    let sent = Sent::frame(FRAME_BYTES, FRAME_BYTES_SENT);
    let peers = bed.cluster.sidecars[0].peers;
    bed.check(peers, PEERS, &sent).await
}

/// The service echoes the bodies; few callers at a time send one, so that there is room for it.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_nobody_reads() -> Result<(), BoxError> {
    let bed = Bed::start().await?;
    let sent = Sent::announced(&head(), BODY_MAX_BYTES, BODY_MAX_BYTES, 1 << 16);
    let mut crowds = Vec::new();
    for _ in 0..CALLERS / CALLERS_AT_A_TIME {
        let crowd = Crowd::start(bed.callers(), CALLERS_AT_A_TIME, &sent);
        crowd.wait_until_sent().await;
        crowds.push(crowd);
        bed.call().await?;
    }
    wait_until_steady(&bed.process_ids()).await?;
    bed.check_use()?;
    drop(crowds);
    bed.call().await?;
    bed.check_use()
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_nobody_reads() -> Result<(), BoxError> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let engine = simulated_engine::Settings {
        decode_ms: 0.0,
        decode_per_running_us: 0,
        max_running: STREAM_CALLERS + 1,
        kv_total_tokens: u64::MAX >> 1,
        ..simulated_engine::Settings::default()
    };
    let cluster = Cluster::start(ClusterSettings {
        routers: 1,
        engines: vec![engine],
        budget: Tokens(1_000_000_000),
        router_memory_mb: STREAM_MEMORY_MB,
        max_output_tokens: STREAM_TOKENS,
        ..ClusterSettings::default()
    })
    .await?;
    let router = &cluster.routers[0];
    let (id, callers) = (router.process.id(), router.callers);
    let (name, key) = KEY;
    let path = "POST /v1/chat/completions";
    let head = format!("{path} HTTP/1.1\r\nhost: h\r\n{name}: {key}\r\n");
    let long = Sent::request(&head, &stream_request(STREAM_TOKENS));
    let crowd = Crowd::start(callers, STREAM_CALLERS, &long);
    crowd.wait_until_sent().await;
    let sidecar = cluster.sidecars[0].admin;
    wait_until_running(sidecar, |running| running > STREAM_CALLERS / 2).await?;
    wait_until_running(sidecar, |running| running == 0).await?;
    call_until_served(callers, path, &[KEY], &stream_request(8)).await?;
    drop(crowd);
    call_until_served(callers, path, &[KEY], &stream_request(8)).await?;
    let memory_kib = peak_memory_kib(id)?;
    println!("process {id}: {memory_kib} KiB");
    assert!(
        memory_kib <= STREAM_MEMORY_MB << 10,
        "{memory_kib} KiB of memory"
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_requests_that_run_at_a_sidecar() -> Result<(), BoxError> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let service = plain_service::Settings {
        delay_ms: SLOW_CALL_MS,
        ..plain_service::Settings::default()
    };
    let cluster = Cluster::start(ClusterSettings {
        routers: SLOW_ROUTERS,
        engines: Vec::new(),
        services: vec![("lookup", service)],
        sidecar_memory_mb: SIDECAR_MEMORY_MB,
        ..ClusterSettings::default()
    })
    .await?;
    let callers = cluster.callers();
    let id = cluster.sidecars[0].process.id();
    let sent = Sent::announced(&head(), BODY_MAX_BYTES, BODY_MAX_BYTES, 1 << 16);
    let mut crowds = Vec::new();
    for router in &callers {
        crowds.push(Crowd::start(*router, SLOW_CALLERS, &sent));
    }
    for crowd in &crowds {
        crowd.wait_until_sent().await;
    }
    wait_until_running(cluster.sidecars[0].admin, |running| running == 0).await?;
    let path = "POST /services/lookup/one";
    call_until_served(callers[0], path, &[KEY], "hi").await?;
    drop(crowds);
    let memory_kib = peak_memory_kib(id)?;
    println!("process {id}: {memory_kib} KiB");
    assert!(
        memory_kib <= SIDECAR_MEMORY_MB << 10,
        "{memory_kib} KiB of memory"
    );
    Ok(())
}

/// Waits until the number of requests that a sidecar runs is as wanted.
async fn wait_until_running(admin: SocketAddr, wanted: fn(usize) -> bool) -> Result<(), BoxError> {
    let limit = Duration::from_millis(RUNNING_LIMIT_MS);
    let running = async {
        while !wanted(serde_json::from_value(dump(admin).await["running"].take())?) {
            sleep(Duration::from_millis(100)).await;
        }
        Ok::<_, BoxError>(())
    };
    timeout(limit, running).await?
}

/// Returns the body of a request for a stream of `tokens`.
fn stream_request(tokens: u64) -> String {
    json!({
        "model": "small",
        "stream": true,
        "max_tokens": tokens,
        "standin_tokens": tokens,
        "messages": [{ "role": "user", "content": "weather" }],
    })
    .to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_body_of_the_largest_size_is_served() -> Result<(), BoxError> {
    let bed = Bed::start().await?;
    let body = "x".repeat(BODY_MAX_BYTES);
    let path = "POST /services/lookup/one";
    let answer =
        mallowpath_standins::client::send_and_read(bed.callers(), path, &[KEY], &body).await?;
    assert_eq!(answer.status, 200, "{}", answer.text);
    bed.check_use()
}
