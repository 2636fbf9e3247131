//! Outlier ejection of backend servers that fail more than their peers, and their slow start.

use crate::BackendId;
use std::collections::BTreeMap;

/// The settings of [`OutlierDetector`].
#[derive(Debug, Clone)]
pub struct OutlierSettings {
    /// The number of consecutive failures that eject a backend server.
    pub consecutive_failures: u32,
    /// The number of results that a backend server needs before its failure rate is compared with
    /// that of its peers.
    pub results_min: f64,
    /// How far the failure rate may exceed that of the peers, as an absolute difference.
    pub rate_above_peers: f64,
    /// The highest share of a service's backend servers that may be ejected at once.
    pub ejected_share_max: f64,
    /// The duration of the first ejection of a backend server; it doubles with each further one.
    pub ejection_ms: u64,
    /// The longest duration of an ejection.
    pub ejection_max_ms: u64,
    /// The time after an ejection over which the weight rises to 1.
    ///
    /// The first success after it resets the count of ejections.
    pub slow_start_ms: u64,
}

/// The outlier detector of one service: counts results and decides on ejections.
#[derive(Debug)]
pub struct OutlierDetector {
    settings: OutlierSettings,
    backends: BTreeMap<BackendId, BackendResults>,
}

#[derive(Debug, Default)]
struct BackendResults {
    consecutive_failures: u32,
    successes: f64,
    failures: f64,
    ejections: u32,
    /// The end of the last ejection.
    ejected_until_ms: Option<u64>,
}

/// The factor by which each new result reduces the weight of the earlier ones.
const RESULT_DECAY: f64 = 0.98;

/// The weight of a backend server at the end of its ejection.
const SLOW_START_WEIGHT_MIN: f64 = 0.1;

impl OutlierDetector {
    /// Makes a detector without backend servers.
    pub fn new(settings: OutlierSettings) -> Self {
        Self {
            settings,
            backends: BTreeMap::new(),
        }
    }

    /// Adds a backend server, so that it counts among the peers and can be ejected.
    pub fn insert(&mut self, id: &BackendId) {
        self.backends.entry(id.clone()).or_default();
    }

    /// Removes a backend server and its results.
    pub fn remove(&mut self, id: &BackendId) {
        self.backends.remove(id);
    }

    /// Records a success of `id`.
    pub fn success(&mut self, id: &BackendId, now_ms: u64) {
        let slow_start_ms = self.settings.slow_start_ms;
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        backend.consecutive_failures = 0;
        backend.record_result(1.0, 0.0);
        if backend.is_slow_start_over(now_ms, slow_start_ms) {
            backend.ejections = 0;
            backend.ejected_until_ms = None;
        }
    }

    /// Records a failure of `id`; returns the end of the ejection if the failure causes one.
    pub fn failure(&mut self, id: &BackendId, now_ms: u64) -> Option<u64> {
        let peer_rate = self.peer_rate(id);
        let may_eject = self.may_eject_one_more(now_ms);
        let settings = &self.settings;
        let backend = self.backends.get_mut(id)?;
        backend.consecutive_failures += 1;
        backend.record_result(0.0, 1.0);
        if backend.is_ejected(now_ms) || !may_eject || !backend.is_outlier(settings, peer_rate) {
            return None;
        }
        Some(backend.eject(settings, now_ms))
    }

    /// Returns the weight of `id`: 0 while it is ejected, rising to 1 during the slow start.
    pub fn weight(&self, id: &BackendId, now_ms: u64) -> f64 {
        let Some(until_ms) = self
            .backends
            .get(id)
            .and_then(|backend| backend.ejected_until_ms)
        else {
            return 1.0;
        };
        if now_ms < until_ms {
            return 0.0;
        }
        let returned_for_ms = (now_ms - until_ms) as f64;
        let progress = returned_for_ms / self.settings.slow_start_ms.max(1) as f64;
        (SLOW_START_WEIGHT_MIN + (1.0 - SLOW_START_WEIGHT_MIN) * progress).min(1.0)
    }

    /// Returns the number of backend servers ejected at `now_ms`.
    pub fn ejected(&self, now_ms: u64) -> usize {
        let mut ejected = 0;
        for backend in self.backends.values() {
            ejected += usize::from(backend.is_ejected(now_ms));
        }
        ejected
    }

    /// Returns whether one more ejection stays within the allowed share.
    fn may_eject_one_more(&self, now_ms: u64) -> bool {
        let ejected = (self.ejected(now_ms) + 1) as f64;
        ejected <= self.backends.len() as f64 * self.settings.ejected_share_max
    }

    /// Returns the failure rate of all backend servers but `id`.
    fn peer_rate(&self, id: &BackendId) -> f64 {
        let mut failures = 0.0;
        let mut results = 0.0;
        for (other, backend) in &self.backends {
            if other == id {
                continue;
            }
            failures += backend.failures;
            results += backend.failures + backend.successes;
        }
        if results > 0.0 {
            failures / results
        } else {
            0.0
        }
    }
}

impl BackendResults {
    fn record_result(&mut self, success: f64, failure: f64) {
        self.successes = self.successes * RESULT_DECAY + success;
        self.failures = self.failures * RESULT_DECAY + failure;
    }

    fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejected_until_ms
            .is_some_and(|until_ms| now_ms < until_ms)
    }

    fn is_slow_start_over(&self, now_ms: u64, slow_start_ms: u64) -> bool {
        self.ejected_until_ms
            .is_some_and(|until_ms| now_ms >= until_ms + slow_start_ms)
    }

    fn is_outlier(&self, settings: &OutlierSettings, peer_rate: f64) -> bool {
        if self.consecutive_failures >= settings.consecutive_failures {
            return true;
        }
        let results = self.successes + self.failures;
        results >= settings.results_min
            && self.failures / results > peer_rate + settings.rate_above_peers
    }

    fn eject(&mut self, settings: &OutlierSettings, now_ms: u64) -> u64 {
        let factor = 1_u64.checked_shl(self.ejections).unwrap_or(u64::MAX);
        let ejection_ms = settings
            .ejection_ms
            .saturating_mul(factor)
            .min(settings.ejection_max_ms);
        let ejections = self.ejections + 1;
        let until_ms = now_ms + ejection_ms;
        *self = Self {
            ejections,
            ejected_until_ms: Some(until_ms),
            ..Self::default()
        };
        until_ms
    }
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            consecutive_failures: 5,
            results_min: 20.0,
            rate_above_peers: 0.3,
            ejected_share_max: 0.34,
            ejection_ms: 5_000,
            ejection_max_ms: 300_000,
            slow_start_ms: 10_000,
        }
    }
}
