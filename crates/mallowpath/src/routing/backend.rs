//! The state, load and latency estimates that a router keeps for a backend server.

use crate::{
    BackendId, HostId, Zone, request::estimate::Estimate, routing::prefix::PrefixCacheEstimate,
};
use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
};

/// Whether a backend server may get new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// It may get new requests.
    Live,
    /// It is shutting down and gets no new requests.
    Leaving,
    /// The connection to its sidecar is down, or has not brought a heartbeat yet.
    Silent,
    /// It is ejected as an outlier.
    Ejected {
        /// The time at which the ejection ends.
        until_ms: u64,
    },
}

/// A load report of a backend server.
#[derive(Debug, Clone, Copy)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u64,
    /// Requests in the backend server's own queue.
    pub waiting: u64,
    /// Tokens held in the KV cache by running requests.
    pub kv_used_tokens: u64,
    /// The size of the KV cache in tokens, 0 if it is not known.
    pub kv_total_tokens: u64,
    /// When the load was measured, on the router's clock.
    pub at_ms: u64,
}

/// The state of a backend server as known to one router.
#[derive(Debug)]
pub struct Backend {
    /// The name of the backend server.
    pub id: BackendId,
    /// The host of its sidecar.
    pub sidecar: HostId,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it may get new requests.
    pub state: BackendState,
    /// Its share of new requests relative to its peers; below 1 during a slow start.
    pub weight: f64,
    /// The prompt prefixes that its cache is expected to hold.
    pub prefixes: PrefixCacheEstimate,
    /// The adapters that it has loaded.
    pub adapters: HashSet<Arc<str>>,
    report: Option<LoadReport>,
    /// Submission times of this router's requests in flight, ascending.
    in_flight: VecDeque<u64>,
    /// This router's requests that ended recently; a delayed report may still count them.
    ended: VecDeque<EndedRequest>,
    /// Requests of other routers according to the last report.
    others_reported: f64,
    /// The long-term mean of `others_reported`.
    others_mean: Estimate,
    run_ms: Estimate,
    /// Queueing time per request that is already on the backend server.
    queue_ms_per_request: Estimate,
    first_token_ms: Estimate,
    token_interval_ms: Estimate,
}

/// A request of this router that has ended.
#[derive(Debug, Clone, Copy)]
struct EndedRequest {
    submitted_at_ms: u64,
    ended_at_ms: u64,
}

/// The most prefixes remembered per backend server: 280 backend servers at 24 bytes per prefix stay
/// near 14 MB.
const PREFIXES_PER_BACKEND_MAX: usize = 1024;

/// How long ended requests are kept to correct delayed load reports.
const REPORT_LAG_MAX_MS: u64 = 10_000;

/// The most ended requests kept to correct delayed load reports.
const ENDED_REQUESTS_MAX: usize = 1024;

/// The weight of a new sample in the latency estimates.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.2;

/// The weight of a new report in the mean number of other routers' requests.
///
/// All routers read the same reports. A mean that follows the noise of the reports would make all
/// routers send to the same backend server at once.
const OTHERS_SAMPLE_WEIGHT: f64 = 0.02;

// The priors of the latency estimates, to which each estimate decays while no samples arrive.
const QUEUE_PRIOR_MS_PER_REQUEST: f64 = 10.0;
const RUN_PRIOR_MS: f64 = 1_000.0;
const FIRST_TOKEN_PRIOR_MS: f64 = 200.0;
const TOKEN_INTERVAL_PRIOR_MS: f64 = 30.0;

impl Backend {
    /// Makes a live backend server without load.
    pub fn new(id: BackendId, sidecar: HostId, zone: Zone) -> Self {
        Self {
            id,
            sidecar,
            zone,
            state: BackendState::Live,
            weight: 1.0,
            prefixes: PrefixCacheEstimate::new(PREFIXES_PER_BACKEND_MAX),
            adapters: HashSet::new(),
            report: None,
            in_flight: VecDeque::new(),
            ended: VecDeque::new(),
            others_reported: 0.0,
            others_mean: Estimate::new(0.0, OTHERS_SAMPLE_WEIGHT),
            run_ms: Estimate::new(RUN_PRIOR_MS, LATENCY_SAMPLE_WEIGHT),
            queue_ms_per_request: Estimate::new(QUEUE_PRIOR_MS_PER_REQUEST, LATENCY_SAMPLE_WEIGHT),
            first_token_ms: Estimate::new(FIRST_TOKEN_PRIOR_MS, LATENCY_SAMPLE_WEIGHT),
            token_interval_ms: Estimate::new(TOKEN_INTERVAL_PRIOR_MS, LATENCY_SAMPLE_WEIGHT),
        }
    }

    /// Returns whether the backend server may get new requests at `now_ms`.
    pub fn takes_work(&self, now_ms: u64) -> bool {
        match self.state {
            BackendState::Live => self.weight > 0.0,
            BackendState::Leaving | BackendState::Silent => false,
            BackendState::Ejected { until_ms } => now_ms >= until_ms && self.weight > 0.0,
        }
    }

    /// Returns whether `adapter` is loaded; always true for a request without an adapter.
    pub fn has_adapter(&self, adapter: Option<&str>) -> bool {
        adapter.is_none_or(|name| self.adapters.contains(name))
    }

    /// Records a request submitted at `now_ms`, by which [`Self::record_end`] identifies it.
    pub fn record_submission(&mut self, prefix_hashes: &[u64], now_ms: u64) {
        let position = self.in_flight.partition_point(|&at_ms| at_ms <= now_ms);
        self.in_flight.insert(position, now_ms);
        self.prefixes.record_sent(prefix_hashes, now_ms);
    }

    /// Records the end of the request that was submitted at `submitted_at_ms`.
    pub fn record_end(&mut self, submitted_at_ms: u64, now_ms: u64) {
        let Ok(position) = self.in_flight.binary_search(&submitted_at_ms) else {
            return;
        };
        self.in_flight.remove(position);
        self.run_ms
            .record(now_ms.saturating_sub(submitted_at_ms) as f64, now_ms);
        self.ended.push_back(EndedRequest {
            submitted_at_ms,
            ended_at_ms: now_ms,
        });
        while self
            .ended
            .front()
            .is_some_and(|request| self.is_expired(request, now_ms))
        {
            self.ended.pop_front();
        }
    }

    fn is_expired(&self, request: &EndedRequest, now_ms: u64) -> bool {
        self.ended.len() > ENDED_REQUESTS_MAX || request.ended_at_ms + REPORT_LAG_MAX_MS < now_ms
    }

    /// Records the time to the first token of a request.
    ///
    /// `load_before` and `prefill_ms` are the load and prefill time estimated at its submission.
    pub fn record_first_token(
        &mut self,
        first_token_ms: u64,
        prefill_ms: f64,
        load_before: f64,
        now_ms: u64,
    ) {
        let queued_ms = (first_token_ms as f64 - prefill_ms).max(0.0);
        self.first_token_ms.record(first_token_ms as f64, now_ms);
        self.queue_ms_per_request
            .record(queued_ms / load_before.max(1.0), now_ms);
    }

    /// Records the mean time between the tokens of a request.
    pub fn record_token_interval(&mut self, interval_ms: f64, now_ms: u64) {
        self.token_interval_ms.record(interval_ms, now_ms);
    }

    /// Applies a load report, or ignores it if it is not newer than the last.
    pub fn apply_report(&mut self, report: LoadReport) {
        if self.report.is_some_and(|last| last.at_ms >= report.at_ms) {
            return;
        }
        let reported = (report.running + report.waiting) as f64;
        self.others_reported = (reported - self.own_in_flight_at(report.at_ms) as f64).max(0.0);
        self.others_mean.record(self.others_reported, report.at_ms);
        self.report = Some(report);
    }

    /// Returns the last load report.
    pub fn last_report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Returns the number of this router's requests in flight.
    pub fn own_in_flight(&self) -> u64 {
        self.in_flight.len() as u64
    }

    /// Returns the number of this router's requests that were in flight at `at_ms`.
    fn own_in_flight_at(&self, at_ms: u64) -> usize {
        let mut own = self
            .in_flight
            .partition_point(|&submitted_at_ms| submitted_at_ms <= at_ms);
        for request in &self.ended {
            if request.submitted_at_ms <= at_ms && at_ms < request.ended_at_ms {
                own += 1;
            }
        }
        own
    }

    /// Estimates the number of requests on the backend server at `now_ms`.
    ///
    /// This router's own requests are counted exactly. Those of other routers are forecast from the
    /// last report: its deviation from their long-term mean decays exponentially as the requests
    /// end, with the mean run time of a request as the time constant.
    pub fn load(&self, now_ms: u64) -> f64 {
        let others_mean = self.others_mean.at(now_ms);
        let others =
            others_mean + (self.others_reported - others_mean) * self.remaining_share(now_ms);
        self.in_flight.len() as f64 + others
    }

    /// Estimates the share of the requests in the last report that still run.
    fn remaining_share(&self, now_ms: u64) -> f64 {
        let Some(report) = &self.report else {
            return 0.0;
        };
        let age_ms = now_ms.saturating_sub(report.at_ms) as f64;
        (-age_ms / self.run_ms.at(now_ms).max(1.0)).exp()
    }

    /// Estimates the number of queued requests that a request of the highest priority may overtake.
    pub fn overtakable_requests(&self, now_ms: u64) -> f64 {
        let Some(report) = &self.report else {
            return 0.0;
        };
        report.waiting as f64 * self.remaining_share(now_ms)
    }

    /// Returns whether the last report shows too little room in the KV cache for `tokens` more.
    pub fn lacks_kv_room(&self, tokens: u64) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        report.kv_total_tokens > 0 && report.kv_used_tokens + tokens > report.kv_total_tokens
    }

    /// Estimates the queueing time per request that is already on the backend server.
    pub fn queue_ms_per_request(&self, now_ms: u64) -> f64 {
        self.queue_ms_per_request.at(now_ms)
    }

    /// Estimates the time to the first token of an average request.
    pub fn first_token_ms(&self, now_ms: u64) -> f64 {
        self.first_token_ms.at(now_ms)
    }

    /// Estimates the time between tokens.
    pub fn token_interval_ms(&self, now_ms: u64) -> f64 {
        self.token_interval_ms.at(now_ms)
    }
}
