//! The choice of a backend server for a request.
//!
//! Each backend server is scored by the estimated time to the first token: queueing time, prefill
//! of the prompt without its cached prefix, loading of the adapter, the round trip to another zone
//! and the wait for room in the KV cache. The lowest score wins.

use crate::{
    BackendId, Zone,
    rounding::ceil_to_u64,
    routing::backend::{Backend, BackendState},
    routing::candidates::EligibleBackends,
    routing::prefix::PREFIX_BLOCK_TOKENS,
};

/// The settings of a [`RouteTable`].
#[derive(Debug, Clone)]
pub struct RouteSettings {
    /// The number of backend servers that are sampled and compared.
    ///
    /// They are compared in random order, which distributes ties.
    pub choices: usize,
    /// The multiple of the mean load above which cached prefixes are ignored.
    pub affinity_load_bound: f64,
    /// The prefill time of one token.
    pub prefill_ms_per_token: f64,
    /// The time to load an adapter that is not loaded yet.
    pub adapter_load_ms: f64,
    /// The round trip time to a backend server in another zone.
    pub other_zone_ms: f64,
    /// The expected wait for room in a KV cache that is full.
    pub kv_full_ms: f64,
    /// How long a caller is told to wait before a retry, unless an ejection ends earlier.
    pub retry_after_ms: u64,
}

/// The properties of a request that routing depends on.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefix_hashes: &'a [u64],
    /// The adapter that the request needs.
    pub adapter: Option<&'a str>,
    /// The estimated length of the prompt.
    pub prompt_tokens: u64,
    /// The most completion tokens.
    pub cap_tokens: u64,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// Backend servers that earlier attempts were sent to.
    pub exclude: &'a [BackendId],
}

/// Why a backend server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It has the shortest expected wait, and a part of the prompt is expected in its cache.
    Prefix,
    /// It has the shortest expected wait, without a cached prefix.
    Load,
    /// No other backend server may get the request.
    Only,
}

/// The backend server chosen for a request.
#[derive(Debug, Clone, Copy)]
pub struct RouteChoice<'a> {
    /// The backend server.
    pub backend: &'a Backend,
    /// The estimated time to the first token, divided by the weight of the backend server.
    pub expected_wait_ms: u64,
    /// The estimated prefill time.
    pub prefill_ms: f64,
    /// The load from which the wait was estimated.
    pub load: f64,
    /// Why it was chosen.
    pub reason: ChoiceReason,
}

/// No backend server may get the request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoBackend {
    /// The time to wait before a retry.
    pub retry_after_ms: u64,
}

/// The routing table of one service: the backend servers that a router is connected to.
#[derive(Debug)]
pub struct RouteTable {
    zone: Zone,
    settings: RouteSettings,
    backends: Vec<Backend>,
}

/// The share of a prompt's prefix that its home is expected to have cached for other routers.
const HOME_CACHED_SHARE: f64 = 0.25;

/// The limits of prefix affinity for one request.
struct Affinity {
    /// The load above which cached prefixes are ignored.
    load_max: f64,
    home: Option<usize>,
}

struct ScoredBackend {
    index: usize,
    load: f64,
    wait_ms: f64,
    prefill_ms: f64,
    cached_tokens: f64,
}

impl RouteTable {
    /// Makes an empty table for a router in `zone`.
    pub fn new(zone: Zone, settings: RouteSettings) -> Self {
        Self {
            zone,
            settings,
            backends: Vec::new(),
        }
    }

    /// Returns all backend servers in the order of their names.
    pub fn backends(&self) -> &[Backend] {
        &self.backends
    }

    /// Returns all backend servers, to change their state and weight.
    pub(crate) fn backends_mut(&mut self) -> &mut [Backend] {
        &mut self.backends
    }

    /// Returns the backend server called `id`.
    pub fn get_mut(&mut self, id: &BackendId) -> Option<&mut Backend> {
        let index = self
            .backends
            .binary_search_by(|backend| backend.id.cmp(id))
            .ok()?;
        Some(&mut self.backends[index])
    }

    /// Adds a backend server, unless there is one of the same name already.
    pub fn insert(&mut self, backend: Backend) {
        let position = self
            .backends
            .binary_search_by(|other| other.id.cmp(&backend.id));
        if let Err(position) = position {
            self.backends.insert(position, backend);
        }
    }

    /// Removes the backend server called `id` and returns it.
    pub fn remove(&mut self, id: &BackendId) -> Option<Backend> {
        let index = self
            .backends
            .binary_search_by(|backend| backend.id.cmp(id))
            .ok()?;
        Some(self.backends.remove(index))
    }

    /// Chooses a backend server for `request`, with the uniform random number `draw` as the seed.
    ///
    /// # Errors
    ///
    /// Returns [`NoBackend`] with the time to wait before a retry if no backend server takes work.
    pub fn choose(
        &self,
        request: &RouteRequest<'_>,
        now_ms: u64,
        draw: u64,
    ) -> Result<RouteChoice<'_>, NoBackend> {
        let eligible = self.eligible(request.exclude, now_ms);
        if eligible.is_empty() {
            return Err(self.no_backend(now_ms));
        }
        let eligible = EligibleBackends::new(&self.backends, eligible, now_ms);
        let affinity = Affinity {
            load_max: (self.settings.affinity_load_bound * eligible.mean_load()).max(1.0),
            home: eligible.home(request),
        };
        let mut best: Option<ScoredBackend> = None;
        let choices = self.settings.choices;
        for index in eligible.candidates(request, affinity.home, choices, now_ms, draw) {
            let scored = self.score(index, request, &eligible, &affinity, now_ms);
            if best
                .as_ref()
                .is_none_or(|best| scored.wait_ms < best.wait_ms)
            {
                best = Some(scored);
            }
        }
        let Some(best) = best else {
            return Err(self.no_backend(now_ms));
        };
        let backend = &self.backends[best.index];
        Ok(RouteChoice {
            backend,
            expected_wait_ms: ceil_to_u64(best.wait_ms),
            prefill_ms: best.prefill_ms,
            load: best.load,
            reason: choice_reason(eligible.len(), best.cached_tokens),
        })
    }

    /// Returns the indices of the backend servers that may get a request.
    pub(crate) fn eligible(&self, exclude: &[BackendId], now_ms: u64) -> Vec<usize> {
        let mut eligible = Vec::with_capacity(self.backends.len());
        for (index, backend) in self.backends.iter().enumerate() {
            if !backend.takes_work(now_ms) || exclude.contains(&backend.id) {
                continue;
            }
            eligible.push(index);
        }
        eligible
    }

    fn score(
        &self,
        index: usize,
        request: &RouteRequest<'_>,
        eligible: &EligibleBackends<'_>,
        affinity: &Affinity,
        now_ms: u64,
    ) -> ScoredBackend {
        let backend = &self.backends[index];
        let settings = &self.settings;
        let load = eligible.load(backend, now_ms);
        let mut cached_tokens = 0.0;
        if load <= affinity.load_max {
            cached_tokens = backend
                .prefixes
                .cached_tokens(request.prefix_hashes, now_ms);
        }
        if load <= affinity.load_max && affinity.home == Some(index) {
            let prefix_tokens = request.prefix_hashes.len() as f64 * PREFIX_BLOCK_TOKENS as f64;
            cached_tokens = cached_tokens.max(prefix_tokens * HOME_CACHED_SHARE);
        }
        let mut queued_before = load;
        if request.priority == 0 {
            queued_before = (load - backend.overtakable_requests(now_ms)).max(0.0);
        }
        let prefill_tokens = (request.prompt_tokens as f64 - cached_tokens).max(0.0);
        let prefill_ms = prefill_tokens * settings.prefill_ms_per_token;
        let mut wait_ms = queued_before * backend.queue_ms_per_request(now_ms) + prefill_ms;
        if !backend.has_adapter(request.adapter) {
            wait_ms += settings.adapter_load_ms;
        }
        if backend.zone != self.zone {
            wait_ms += settings.other_zone_ms;
        }
        if backend.lacks_kv_room(request.prompt_tokens + request.cap_tokens) {
            wait_ms += settings.kv_full_ms;
        }
        ScoredBackend {
            index,
            load,
            wait_ms: wait_ms / backend.weight,
            prefill_ms,
            cached_tokens,
        }
    }

    #[cold]
    pub(crate) fn no_backend(&self, now_ms: u64) -> NoBackend {
        let mut retry_after_ms = self.settings.retry_after_ms;
        for backend in &self.backends {
            let BackendState::Ejected { until_ms } = backend.state else {
                continue;
            };
            retry_after_ms = retry_after_ms.min(until_ms.saturating_sub(now_ms).max(1));
        }
        NoBackend { retry_after_ms }
    }
}

fn choice_reason(eligible: usize, cached_tokens: f64) -> ChoiceReason {
    if eligible == 1 {
        return ChoiceReason::Only;
    }
    if cached_tokens > 0.0 {
        ChoiceReason::Prefix
    } else {
        ChoiceReason::Load
    }
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            choices: 2,
            affinity_load_bound: 1.25,
            prefill_ms_per_token: 0.1,
            adapter_load_ms: 1_500.0,
            other_zone_ms: 3.0,
            kv_full_ms: 500.0,
            retry_after_ms: 1_000,
        }
    }
}
