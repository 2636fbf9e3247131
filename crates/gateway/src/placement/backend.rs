//! A backend server and this router's requests in flight to it.

use super::{
    availability::Availability,
    cold_start::ColdStartWindow,
    shared_wait_estimator::SharedWaitEstimator,
    slowness::{RecentWaits, SlownessSettings, WaitSums},
    stated_rate_limit::StatedRateLimit,
    unidentified_rejections::UnidentifiedRejections,
};
use crate::connection::ConnectionPool;
use mallowpath::{BackendId, BackendVersion, ServiceId, Zone};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// The registration of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendEntry {
    /// The name of the backend server.
    pub id: BackendId,
    /// The start time by the backend server's own clock, in milliseconds since the Unix epoch.
    ///
    /// It distinguishes the incarnations of one name.
    pub started_at_ms: Option<u64>,
    /// The version of the backend server's software, if it states one.
    pub version: Option<BackendVersion>,
    /// The service that the backend server runs.
    pub service: ServiceId,
    /// The address for requests.
    pub address: SocketAddr,
    /// The availability zone of the backend server.
    pub zone: Zone,
    /// The maximum number of requests that the backend server processes concurrently.
    pub slots: u64,
    /// Whether the backend server is shutting down and accepts no new requests.
    pub draining: bool,
    /// How long the backend server stays slow after its start, in milliseconds.
    pub cold_remaining_ms: u64,
    /// Whether the backend server runs a language model; a sidecar then runs on the same host.
    pub runs_model: bool,
}

/// The state that this router keeps of a backend server.
#[derive(Debug)]
pub struct Backend {
    /// The registration.
    pub entry: BackendEntry,
    /// Idle connections to the backend server.
    pub(crate) pool: ConnectionPool,
    /// Estimates the waits of all requests of the service.
    wait_estimator: Arc<SharedWaitEstimator>,
    /// Whether the backend server takes new requests.
    pub availability: Availability,
    /// Its rejections that don't state which request they reject.
    pub(crate) unidentified_rejections: UnidentifiedRejections,
    /// The time by the router's clock until which the backend server is slow after its start.
    cold_until_ms: AtomicU64,
    /// Requests sent while it is slow. No other lock is taken while this one is held.
    cold_window: Mutex<ColdStartWindow>,
    /// The limit on requests that the backend server states. No other lock is taken while this one
    /// is held.
    rate_limit: Mutex<StatedRateLimit>,
    /// The waits for its answers. No other lock is taken while this one is held.
    waits: Mutex<BackendWaits>,
    in_flight: AtomicU64,
    prefill_tokens: AtomicU64,
}

/// The waits for the answers of a backend server.
#[derive(Debug, Default)]
struct BackendWaits {
    /// Those that this router and others have seen.
    recent: RecentWaits,
    /// Those that this router has seen.
    seen: RecentWaits,
    /// Those that this router has not reported to others.
    unreported: WaitSums,
}

/// A request in flight to a backend server; it is no longer counted once dropped.
#[derive(Debug)]
pub struct InFlight {
    backend: Arc<Backend>,
    /// Prompt tokens still counted at the backend server.
    prefill_tokens: u64,
    /// The prompt tokens that the backend server had to process before the answer, as far as this router
    /// knows.
    work_tokens: u64,
    sent_at: Instant,
    has_begun: bool,
}

impl Backend {
    /// Returns whether the backend server has this version; `None` stands for any.
    pub(crate) fn has_version(&self, version: Option<&BackendVersion>) -> bool {
        version.is_none() || self.entry.version.as_ref() == version
    }

    /// Returns a backend server without requests in flight.
    pub(crate) fn new(entry: BackendEntry, wait_estimator: Arc<SharedWaitEstimator>) -> Arc<Self> {
        Arc::new(Self {
            availability: Availability::new(entry.draining),
            entry,
            pool: ConnectionPool::default(),
            wait_estimator,
            unidentified_rejections: UnidentifiedRejections::default(),
            cold_until_ms: AtomicU64::new(0),
            cold_window: Mutex::default(),
            rate_limit: Mutex::default(),
            waits: Mutex::default(),
            in_flight: AtomicU64::new(0),
            prefill_tokens: AtomicU64::new(0),
        })
    }

    /// Returns the waits for the recent answers.
    pub(crate) fn recent_waits(&self, settings: &SlownessSettings, now_ms: u64) -> WaitSums {
        self.lock_waits().recent.sums(settings, now_ms)
    }

    /// Returns those of them that this router has seen itself.
    pub(crate) fn seen_waits(&self, settings: &SlownessSettings, now_ms: u64) -> WaitSums {
        self.lock_waits().seen.sums(settings, now_ms)
    }

    /// Adds waits that another router has seen.
    pub(crate) fn add_reported_waits(
        &self,
        waits: WaitSums,
        settings: &SlownessSettings,
        now_ms: u64,
    ) {
        self.lock_waits().recent.add(waits, settings, now_ms);
    }

    /// Returns the waits that were not reported yet, and counts them as seen; `None` if there are none.
    pub(crate) fn take_unreported_waits(
        &self,
        settings: &SlownessSettings,
        now_ms: u64,
    ) -> Option<WaitSums> {
        let mut waits = self.lock_waits();
        let unreported = std::mem::take(&mut waits.unreported);
        if unreported.work_tokens <= 0.0 {
            return None;
        }
        waits.recent.add(unreported, settings, now_ms);
        waits.seen.add(unreported, settings, now_ms);
        Some(unreported)
    }

    fn lock_waits(&self) -> std::sync::MutexGuard<'_, BackendWaits> {
        self.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the time until which the backend server is slow after its start.
    pub fn set_cold_until(&self, cold_until_ms: u64) {
        self.cold_until_ms.store(cold_until_ms, Ordering::Relaxed);
    }

    /// Returns whether the backend server is still slow after its start.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms.load(Ordering::Relaxed)
    }

    /// Runs `update` on the requests sent while the backend server is slow.
    pub(crate) fn with_cold_window<T>(&self, update: impl FnOnce(&mut ColdStartWindow) -> T) -> T {
        let mut window = self
            .cold_window
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        update(&mut window)
    }

    /// Runs `update` on the limit on requests that the backend server states.
    pub(crate) fn with_rate_limit<T>(&self, update: impl FnOnce(&mut StatedRateLimit) -> T) -> T {
        let mut rate_limit = self
            .rate_limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        update(&mut rate_limit)
    }

    /// Returns the number of this router's requests in flight to the backend server.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the uncached prompt tokens of this router's requests whose answers have not begun.
    pub fn prefill_tokens(&self) -> u64 {
        self.prefill_tokens.load(Ordering::Relaxed)
    }

    /// Counts a request for which the backend server has to process `prefill_tokens`.
    pub fn start_request(self: &Arc<Self>, prefill_tokens: u64) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let queued_tokens = self
            .prefill_tokens
            .fetch_add(prefill_tokens, Ordering::Relaxed);
        self.wait_estimator.record_sent();
        InFlight {
            backend: Arc::clone(self),
            prefill_tokens,
            work_tokens: queued_tokens.saturating_add(prefill_tokens),
            sent_at: Instant::now(),
            has_begun: false,
        }
    }
}

impl InFlight {
    /// Returns the backend server that processes the request.
    pub fn backend(&self) -> &Arc<Backend> {
        &self.backend
    }

    /// Records that the answer has begun, so the prompt has been processed.
    pub fn record_answer_start(&mut self) {
        if !self.has_begun {
            self.has_begun = true;
            let wait = self.sent_at.elapsed();
            self.backend.wait_estimator.record_answer_start(wait);
            let request_work_tokens = SlownessSettings::default().request_work_tokens;
            self.backend.lock_waits().unreported.add(WaitSums {
                wait_ms: wait.as_secs_f64() * 1_000.0,
                work_tokens: self.work_tokens as f64 + request_work_tokens,
                requests: 1.0,
            });
        }
        self.release_prefill_tokens();
    }

    /// Returns the time since the request was sent.
    pub fn elapsed(&self) -> Duration {
        self.sent_at.elapsed()
    }

    /// Returns whether the answer has begun.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    fn release_prefill_tokens(&mut self) {
        let tokens = std::mem::take(&mut self.prefill_tokens);
        self.backend
            .prefill_tokens
            .fetch_sub(tokens, Ordering::Relaxed);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.has_begun {
            self.backend.wait_estimator.record_wait_end();
        }
        self.release_prefill_tokens();
        self.backend.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
