//! Limits the requests to a backend server that has just started.
//!
//! Such a server is slow and fails under a rate of requests that it bears later. The rate that it
//! bears is that of all routers together. Routers share it without coordination: rendezvous hashing
//! assigns a few routers to each backend server, and each of these sends its part of the rate.

use super::rate_share::{rate_share, whole};
use mallowpath::BackendId;
use std::{collections::VecDeque, sync::Arc};

/// The requests per second of one router to one backend server, if there are enough routers.
const ROUTER_RATE_PER_S: f64 = 2.0;

/// The length of the sliding window in which requests are counted.
const WINDOW_MS: u64 = 1_000;

/// Returns how many requests per second the router `own` may send to `backend`, which bears
/// `backend_rate_per_s` from all `routers`; these include `own`.
pub fn cold_rate_share(
    backend_rate_per_s: f64,
    own: &str,
    routers: &[Arc<str>],
    backend: &BackendId,
) -> u64 {
    let senders_max = whole(backend_rate_per_s / ROUTER_RATE_PER_S).max(1);
    let share = rate_share(backend_rate_per_s, senders_max, own, routers, backend);
    u64::try_from(whole(share.unwrap_or(0.0))).unwrap_or(u64::MAX)
}

/// The requests that this router has sent to a backend server within the window.
#[derive(Debug, Default)]
pub struct ColdStartWindow {
    /// The times of the requests, oldest first.
    sent_at_ms: VecDeque<u64>,
}

impl ColdStartWindow {
    /// Returns whether another request may be sent at `now_ms`, if `requests_max` are allowed
    /// within the window.
    pub fn allows(&mut self, requests_max: u64, now_ms: u64) -> bool {
        while self
            .sent_at_ms
            .front()
            .is_some_and(|&sent_at_ms| sent_at_ms + WINDOW_MS <= now_ms)
        {
            self.sent_at_ms.pop_front();
        }
        u64::try_from(self.sent_at_ms.len()).unwrap_or(u64::MAX) < requests_max
    }

    /// Counts a request that is sent at `now_ms`.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.sent_at_ms.push_back(now_ms);
    }
}
