//! The backend servers that one routing decision compares, and their estimated load.

use crate::{
    routing::backend::Backend,
    routing::rendezvous::{Candidate, pick},
    routing::route::RouteRequest,
};

/// The backend servers of a table that may get a request, and this router's share of their load.
pub(crate) struct EligibleBackends<'a> {
    backends: &'a [Backend],
    eligible: Vec<usize>,
    own_share: f64,
    own_estimate_weight: f64,
    mean_load: f64,
}

/// The number of leading prompt blocks that determine the home of a prompt.
///
/// These blocks mostly hold instructions that many prompts share.
const HOME_KEY_BLOCKS: usize = 4;

/// The highest weight of the estimate from this router's own requests; the reports get the rest.
const OWN_ESTIMATE_WEIGHT_MAX: f64 = 0.8;

/// The weight of the own estimate from which only the backend servers with the fewest own requests
/// are sampled.
///
/// These counts differ between routers, so the routers do not all choose the same backend server.
const FEWEST_OWN_SAMPLING_WEIGHT_MIN: f64 = 0.5;

/// The multiple of the mean load above which a backend server is left out of a sample of those with
/// the fewest own requests.
const FEWEST_OWN_SAMPLING_LOAD_FACTOR_MAX: f64 = 2.0;

impl<'a> EligibleBackends<'a> {
    pub(crate) fn new(backends: &'a [Backend], eligible: Vec<usize>, now_ms: u64) -> Self {
        let mut own = 0.0;
        let mut total = 0.0;
        for &index in &eligible {
            own += backends[index].own_in_flight() as f64;
            total += backends[index].load(now_ms);
        }
        let count = eligible.len().max(1) as f64;
        Self {
            backends,
            eligible,
            own_share: if own > 0.0 { own / total } else { 1.0 },
            own_estimate_weight: (own / count).min(OWN_ESTIMATE_WEIGHT_MAX),
            mean_load: total / count,
        }
    }

    /// Returns the number of backend servers that may get the request.
    pub(crate) fn len(&self) -> usize {
        self.eligible.len()
    }

    /// Returns the mean load of the backend servers.
    pub(crate) fn mean_load(&self) -> f64 {
        self.mean_load
    }

    /// Estimates the number of requests on `backend` as a weighted mean of two estimates.
    ///
    /// Load reports cover all requests, but are delayed, and all routers send to a backend server
    /// at once when the reports show it as idle. The count of this router's requests, scaled up as
    /// if other routers distributed theirs alike, is exact and differs between routers, but is a
    /// small sample. Its weight grows with the number of own requests.
    pub(crate) fn load(&self, backend: &Backend, now_ms: u64) -> f64 {
        let scaled = backend.own_in_flight() as f64 / self.own_share;
        backend.load(now_ms) * (1.0 - self.own_estimate_weight) + scaled * self.own_estimate_weight
    }

    /// Returns the home of a prompt: the backend server that all routers prefer for its prefix when
    /// they do not know of a cached copy.
    pub(crate) fn home(&self, request: &RouteRequest<'_>) -> Option<usize> {
        let hashes = request.prefix_hashes;
        let key = hashes.get(HOME_KEY_BLOCKS - 1).or(hashes.last())?;
        let mut candidates = Vec::with_capacity(self.eligible.len());
        for &index in &self.eligible {
            let backend = &self.backends[index];
            candidates.push(Candidate {
                name: backend.id.as_str(),
                weight: backend.weight,
            });
        }
        Some(self.eligible[pick(*key, &candidates)?])
    }

    /// Returns the backend servers to compare.
    ///
    /// They are `choices` at random, the one with the most cached prompt tokens, the home, and for
    /// a request with an adapter `choices` at random of those that have it loaded.
    pub(crate) fn candidates(
        &self,
        request: &RouteRequest<'_>,
        home: Option<usize>,
        choices: usize,
        now_ms: u64,
        draw: u64,
    ) -> Vec<usize> {
        let mut candidates = sample(&self.sampling_pool(now_ms), choices, draw);
        candidates.extend(self.longest_prefix_holder(request, now_ms));
        candidates.extend(home);
        if request.adapter.is_some() {
            candidates.extend(sample(
                &self.adapter_holders(request.adapter),
                choices,
                draw,
            ));
        }
        candidates
    }

    /// Returns the backend servers to sample from.
    ///
    /// They are all, or only those with the fewest own requests if this router has enough requests
    /// in flight for these counts to matter. In the latter case backend servers far above the mean
    /// load are left out: other routers keep them busy, and as this router avoids them, they would
    /// always have the fewest own requests.
    fn sampling_pool(&self, now_ms: u64) -> Vec<usize> {
        if self.own_estimate_weight < FEWEST_OWN_SAMPLING_WEIGHT_MIN {
            return self.eligible.clone();
        }
        let mut pool = Vec::new();
        let mut fewest = u64::MAX;
        for &index in &self.eligible {
            let backend = &self.backends[index];
            if backend.load(now_ms) > self.mean_load * FEWEST_OWN_SAMPLING_LOAD_FACTOR_MAX {
                continue;
            }
            let own = backend.own_in_flight();
            if own < fewest {
                pool.clear();
                fewest = own;
            }
            if own == fewest {
                pool.push(index);
            }
        }
        pool
    }

    fn adapter_holders(&self, adapter: Option<&str>) -> Vec<usize> {
        let mut indices = Vec::new();
        for &index in &self.eligible {
            if self.backends[index].has_adapter(adapter) {
                indices.push(index);
            }
        }
        indices
    }

    /// Returns the backend server with the most cached prompt tokens.
    fn longest_prefix_holder(&self, request: &RouteRequest<'_>, now_ms: u64) -> Option<usize> {
        let mut best = None;
        let mut best_tokens = 0.0;
        for &index in &self.eligible {
            let prefixes = &self.backends[index].prefixes;
            let tokens = prefixes.cached_tokens(request.prefix_hashes, now_ms);
            if tokens > best_tokens {
                best = Some(index);
                best_tokens = tokens;
            }
        }
        best
    }
}

/// Draws `n` distinct members by a partial Fisher-Yates shuffle.
fn sample(members: &[usize], n: usize, draw: u64) -> Vec<usize> {
    let mut shuffled = members.to_vec();
    let mut state = draw;
    for position in 0..n.min(shuffled.len()) {
        state = splitmix64(state);
        let left = (shuffled.len() - position) as u64;
        let offset = usize::try_from(state % left).unwrap_or(0);
        shuffled.swap(position, position + offset);
    }
    shuffled.truncate(n);
    shuffled
}

/// Returns the random number that follows `state` (`SplitMix64`).
fn splitmix64(state: u64) -> u64 {
    let mut mixed = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
