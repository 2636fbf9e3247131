//! A simulated backend server with continuous batching, which generates deterministic text
//! instead of running a model.

use crate::{
    engine_api,
    engine_batch::{Batch, Load, floor_ms},
    server::{self, SharedSettings, lock},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeSet,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, Weak},
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, sleep_until},
};

/// The minimum duration of a batch step.
const MIN_STEP_MS: f64 = 0.05;

/// The interval at which a frozen engine rereads its settings.
const FROZEN_POLL_MS: u64 = 5;

/// A running engine.
pub type Handle = crate::Handle<Settings>;

/// How the engine treats the fencing token of an order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Rejects an order whose token is lower than the highest one seen.
    #[default]
    Refuse,
    /// Accepts every order.
    Ignore,
}

/// Settings and faults of the engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The address to listen at.
    pub listen: SocketAddr,
    /// The base model served at the start; a request may add an adapter as `model:adapter`.
    pub model: String,
    /// The maximum number of requests in the batch.
    pub max_running: usize,
    /// The capacity of the KV cache in tokens, prompts and completions together.
    pub kv_total_tokens: u64,
    /// The prefill time of 1000 uncached prompt tokens.
    pub prefill_ms_per_1k_tokens: u64,
    /// The base duration of a batch step, which generates one token for each request.
    pub decode_ms: f64,
    /// The time that each request in the batch adds to a step.
    pub decode_per_running_us: u64,
    /// The capacity of the prefix cache in blocks of prompt text.
    pub cache_blocks: usize,
    /// The delay until a cache event can be read.
    pub event_lag_ms: u64,
    /// The probability that a cache event is lost; its sequence number is skipped.
    pub event_gap_probability: f64,
    /// The maximum age of a load report; 0 reports the current load.
    pub load_lag_ms: u64,
    /// How long the stream of a finished request can be resumed.
    pub finished_kept_ms: u64,
    /// The number of adapters that can be loaded at once.
    pub adapter_slots: usize,
    /// The time to load an adapter.
    pub adapter_load_ms: u64,
    /// The time to load a model.
    pub model_load_ms: u64,
    /// How orders with a stale fencing token are treated.
    pub fencing: Fencing,
    /// The number of tokens generated beyond `max_tokens`.
    pub overrun_tokens: u64,
    /// The error added to the reported number of completion tokens.
    pub miscount_tokens: i64,
    /// A text; the engine crashes at prompts that contain it, and restarts. Empty for none.
    pub crash_text: String,
    /// Accepts connections without responding; running requests make no progress.
    pub freeze: bool,
    /// The seed that decides which cache events are lost; read at the start.
    pub seed: u64,
}

/// The state shared by the request handlers and the background tasks.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) settings: Arc<SharedSettings<Settings>>,
    pub(crate) batch: Mutex<Batch>,
    pub(crate) orders: Mutex<OrderState>,
    pub(crate) submitted: Notify,
    published_load: Mutex<Load>,
    started: Instant,
}

/// The accepted orders and the state that they set.
#[derive(Debug)]
pub(crate) struct OrderState {
    pub(crate) highest_fence: u64,
    pub(crate) models: BTreeSet<String>,
    pub(crate) role: String,
    /// The number of orders that were accepted and are not finished.
    pub(crate) in_progress: usize,
    pub(crate) accepted: Vec<serde_json::Value>,
}

/// Starts an engine.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn start(settings: Settings) -> io::Result<Handle> {
    let listen = settings.listen;
    let orders = OrderState {
        highest_fence: 0,
        models: BTreeSet::from([settings.model.clone()]),
        role: String::new(),
        in_progress: 0,
        accepted: Vec::new(),
    };
    let batch = Batch::new(settings.seed);
    let load = batch.load(&settings, 0);
    let settings = SharedSettings::new(settings);
    let service = Arc::new(Service {
        settings: Arc::clone(&settings),
        batch: Mutex::new(batch),
        orders: Mutex::new(orders),
        submitted: Notify::new(),
        published_load: Mutex::new(load),
        started: Instant::now(),
    });
    let weak = Arc::downgrade(&service);
    let handle = server::start(listen, settings, engine_api::router(service)).await?;
    // Both tasks hold weak references, so they end after the server drops the service.
    tokio::spawn(run_batch(Weak::clone(&weak)));
    tokio::spawn(publish_load(weak));
    Ok(handle)
}

async fn run_batch(service: Weak<Service>) {
    let mut next_step = Instant::now();
    loop {
        let Some(service) = service.upgrade() else {
            return;
        };
        let settings = service.settings.get();
        if settings.freeze {
            drop(service);
            sleep(Duration::from_millis(FROZEN_POLL_MS)).await;
            next_step = Instant::now();
            continue;
        }
        let now_ms = service.now_ms();
        let step_ms = lock(&service.batch).step(&settings, now_ms);
        if let Some(step_ms) = step_ms {
            drop(service);
            next_step += Duration::from_secs_f64(step_ms.max(MIN_STEP_MS) / 1000.0);
            sleep_until(next_step).await;
        } else {
            service.wait_for_work().await;
            next_step = Instant::now();
        }
    }
}

async fn publish_load(service: Weak<Service>) {
    loop {
        let Some(service) = service.upgrade() else {
            return;
        };
        let load = service.load_now();
        let lag_ms = service.settings.get().load_lag_ms;
        *lock(&service.published_load) = load;
        drop(service);
        sleep(Duration::from_millis(lag_ms.max(1))).await;
    }
}

impl Service {
    /// Returns the milliseconds since the engine started.
    pub(crate) fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Returns the load report, which is up to `load_lag_ms` old.
    pub(crate) fn load(&self) -> Load {
        if self.settings.get().load_lag_ms == 0 {
            return self.load_now();
        }
        *lock(&self.published_load)
    }

    fn load_now(&self) -> Load {
        lock(&self.batch).load(&self.settings.get(), floor_ms(self.now_ms()))
    }

    /// Waits for a submitted request, for a limited time: the caller holds a reference to the
    /// service, which would otherwise keep a stopped engine in memory.
    async fn wait_for_work(&self) {
        let max_wait = Duration::from_millis(100);
        drop(tokio::time::timeout(max_wait, self.submitted.notified()).await);
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            model: "model".to_owned(),
            max_running: 32,
            kv_total_tokens: 200_000,
            prefill_ms_per_1k_tokens: 50,
            decode_ms: 10.0,
            decode_per_running_us: 100,
            cache_blocks: 4096,
            event_lag_ms: 200,
            event_gap_probability: 0.0,
            load_lag_ms: 200,
            finished_kept_ms: 10_000,
            adapter_slots: 4,
            adapter_load_ms: 500,
            model_load_ms: 2_000,
            fencing: Fencing::Refuse,
            overrun_tokens: 0,
            miscount_tokens: 0,
            crash_text: String::new(),
            freeze: false,
            seed: 1,
        }
    }
}
