//! A backend server and what this router has under way there.

use super::service_waits::ServiceWaits;
use crate::connection::Pool;
use mallowpath::{BackendId, ServiceId, Zone};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Instant,
};

/// What a backend server says of itself where it registers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendEntry {
    /// Its name.
    pub id: BackendId,
    /// When it started, in milliseconds since 1970 by its own clock; tells incarnations of one
    /// name apart.
    pub started_at_ms: Option<u64>,
    /// The service that it serves.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The most requests that it works on at once.
    pub slots: u64,
    /// Whether it is leaving and takes no new work.
    pub draining: bool,
    /// Whether it runs a language model, and so has a process of the fleet beside it.
    pub runs_model: bool,
}

/// A backend server as this router sees it.
#[derive(Debug)]
pub struct Backend {
    /// Its entry.
    pub entry: BackendEntry,
    /// Connections to it that are not in use.
    pub(crate) pool: Pool,
    /// How long requests of its service wait.
    waits: Arc<ServiceWaits>,
    draining: AtomicBool,
    in_flight: AtomicU64,
    prefill_tokens: AtomicU64,
}

/// One request under way at a backend server; it is counted until this is dropped.
#[derive(Debug)]
pub struct InFlight {
    backend: Arc<Backend>,
    prefill_tokens: u64,
    sent_at: Instant,
    /// Whether the answer has begun.
    begun: bool,
}

impl Backend {
    /// Makes a backend server without requests.
    pub(crate) fn new(entry: BackendEntry, waits: Arc<ServiceWaits>) -> Arc<Self> {
        Arc::new(Self {
            draining: AtomicBool::new(entry.draining),
            entry,
            pool: Pool::default(),
            waits,
            in_flight: AtomicU64::new(0),
            prefill_tokens: AtomicU64::new(0),
        })
    }

    /// Tells whether it takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Marks it as leaving or staying.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    /// Returns the requests that this router has under way there.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the prompt tokens of this router's requests that it has not answered yet.
    pub fn prefill_tokens(&self) -> u64 {
        self.prefill_tokens.load(Ordering::Relaxed)
    }

    /// Counts a request with so many prompt tokens to read.
    pub fn start(self: &Arc<Self>, prefill_tokens: u64) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.prefill_tokens
            .fetch_add(prefill_tokens, Ordering::Relaxed);
        self.waits.sent();
        InFlight {
            backend: Arc::clone(self),
            prefill_tokens,
            sent_at: Instant::now(),
            begun: false,
        }
    }
}

impl InFlight {
    /// Returns the backend server.
    pub fn backend(&self) -> &Arc<Backend> {
        &self.backend
    }

    /// Counts the beginning of the answer; the prompt has been read.
    pub fn answer_begun(&mut self) {
        if !self.begun {
            self.begun = true;
            self.backend.waits.begun(self.sent_at.elapsed());
        }
        self.uncount_prompt();
    }

    fn uncount_prompt(&mut self) {
        let tokens = std::mem::take(&mut self.prefill_tokens);
        self.backend
            .prefill_tokens
            .fetch_sub(tokens, Ordering::Relaxed);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.begun {
            self.backend.waits.ended();
        }
        self.uncount_prompt();
        self.backend.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
