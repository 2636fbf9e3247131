//! The limit on requests that a backend server states in its answers.
//!
//! The limit is one of all routers together. A few routers share it; the others send a request now
//! and then, so that they learn when the limit ends even if no router tells them.

use super::rate_share::{rate_share, whole};
use mallowpath::BackendId;
use std::{ops::Range, sync::Arc};

/// The number of routers that share a limit, in addition to one for each request per second.
const SENDERS_MIN: f64 = 4.0;

/// How long the unused part of a router's share is kept.
const UNUSED_SHARE_KEPT_S: f64 = 0.2;

/// The time between the requests of two routers that have no share, for a limit of one request per
/// second.
const PROBE_INTERVAL_MS: f64 = 8_000.0;

/// The lowest limit from which the time between these requests follows; a limit may be 0.
const PROBED_RATE_MIN_PER_S: f64 = 0.3;

/// The longest time between two requests of a router that has no share.
const PROBE_INTERVAL_MAX_MS: f64 = 3_600_000.0;

/// Range from which the time to the next request of a router without a share is drawn, as a share of
/// the interval.
const PROBE_JITTER: Range<f64> = 0.5..1.5;

/// The routers that share a limit.
#[derive(Debug, Clone, Copy)]
pub struct RateSharers<'a> {
    /// This router.
    pub own: &'a str,
    /// All routers, this one included.
    pub routers: &'a [Arc<str>],
}

/// The limit that a backend server states for the requests of all routers together, and this
/// router's requests under it.
#[derive(Debug, Default)]
pub struct StatedRateLimit {
    stated: Option<Stated>,
}

#[derive(Debug, Clone, Copy)]
struct Stated {
    rate_per_s: f64,
    /// When it was last stated.
    at_ms: u64,
    /// The requests that this router may send now.
    allowance: f64,
    /// When the allowance was last raised.
    raised_at_ms: u64,
    /// When a router without a share may send its next request; `None` until it is drawn.
    probe_at_ms: Option<u64>,
}

impl StatedRateLimit {
    /// Returns the requests per second of all routers; `None` if there is no limit.
    pub fn rate_per_s(&self) -> Option<f64> {
        self.stated.map(|stated| stated.rate_per_s)
    }

    /// Records what an answer states to a request that was sent at `sent_at_ms`; returns whether a
    /// limit begins or ends.
    ///
    /// An answer without a limit ends one only if its request was sent after the limit was last
    /// stated, as answers may overtake each other.
    pub fn record(&mut self, rate_per_s: Option<f64>, sent_at_ms: u64, now_ms: u64) -> bool {
        match (rate_per_s, &mut self.stated) {
            (Some(rate_per_s), Some(stated)) => {
                stated.rate_per_s = rate_per_s;
                stated.at_ms = now_ms;
                false
            }
            (Some(rate_per_s), None) => {
                self.stated = Some(Stated::new(rate_per_s, now_ms));
                true
            }
            (None, Some(stated)) if sent_at_ms > stated.at_ms => {
                self.stated = None;
                true
            }
            (None, _) => false,
        }
    }

    /// Returns whether this router may send a request at `now_ms`.
    pub fn allows(&mut self, sharers: RateSharers<'_>, backend: &BackendId, now_ms: u64) -> bool {
        let Some(stated) = &mut self.stated else {
            return true;
        };
        let rate_per_s = stated.rate_per_s;
        let senders_max = whole(rate_per_s + SENDERS_MIN);
        let RateSharers { own, routers } = sharers;
        match rate_share(rate_per_s, senders_max, own, routers, backend) {
            Some(share_per_s) if share_per_s > 0.0 => stated.raise_allowance(share_per_s, now_ms),
            // A limit of 0 leaves every router without a share.
            _ => stated.is_probe_due(routers.len(), now_ms),
        }
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self) {
        if let Some(stated) = &mut self.stated {
            stated.allowance = (stated.allowance - 1.0).max(0.0);
            stated.probe_at_ms = None;
        }
    }
}

impl Stated {
    fn new(rate_per_s: f64, now_ms: u64) -> Self {
        Self {
            rate_per_s,
            at_ms: now_ms,
            allowance: 0.0,
            raised_at_ms: now_ms,
            probe_at_ms: None,
        }
    }

    /// Raises the allowance by the share since the last time; returns whether it suffices for a
    /// request.
    fn raise_allowance(&mut self, share_per_s: f64, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.raised_at_ms);
        self.raised_at_ms = now_ms;
        let allowance_max = (share_per_s * UNUSED_SHARE_KEPT_S).max(1.0);
        let raised = self.allowance + share_per_s * elapsed_ms as f64 / 1_000.0;
        self.allowance = raised.min(allowance_max);
        self.allowance >= 1.0
    }

    /// Returns whether it is time for a request of a router without a share.
    fn is_probe_due(&mut self, router_count: usize, now_ms: u64) -> bool {
        let rate_per_s = self.rate_per_s.max(PROBED_RATE_MIN_PER_S);
        let interval_ms = router_count as f64 * PROBE_INTERVAL_MS / rate_per_s;
        let interval_ms = interval_ms.min(PROBE_INTERVAL_MAX_MS);
        let probe_at_ms = *self.probe_at_ms.get_or_insert_with(|| {
            let delay_ms = interval_ms * rand::random_range(PROBE_JITTER);
            now_ms + u64::try_from(whole(delay_ms)).unwrap_or(u64::MAX)
        });
        now_ms >= probe_at_ms
    }
}
