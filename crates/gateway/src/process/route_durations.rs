//! How long the requests of each route take.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// The part of a new duration in the mean, as a divisor.
const MEAN_DIVISOR: u32 = 8;

/// The part of a new difference in the mean deviation, as a divisor.
const DEVIATION_DIVISOR: u32 = 4;

/// The number of routes above which those without recent requests are forgotten.
const ROUTES_MAX: usize = 1_024;

/// The time without a request after which a route may be forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// The usual duration of a route's requests; recent ones count most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsualDuration {
    /// The mean.
    pub mean: Duration,
    /// The mean deviation from it.
    pub deviation: Duration,
}

/// The usual duration of the requests of each route, as in RFC 6298.
#[derive(Debug, Default)]
pub struct RouteDurations {
    /// No other lock is acquired while this one is held.
    routes: Mutex<HashMap<Arc<str>, Recorded>>,
}

#[derive(Debug)]
struct Recorded {
    usual: UsualDuration,
    recorded_at: Instant,
}

impl RouteDurations {
    /// Records that a request of `route` ended at `now`, `duration` after it arrived.
    pub fn record(&self, route: &Arc<str>, duration: Duration, now: Instant) {
        let mut routes = self.lock();
        if let Some(recorded) = routes.get_mut(route) {
            recorded.usual.record(duration);
            recorded.recorded_at = now;
            return;
        }
        if routes.len() >= ROUTES_MAX {
            routes.retain(|_, route| now.duration_since(route.recorded_at) < FORGET_AFTER);
        }
        let recorded = Recorded {
            usual: UsualDuration::first(duration),
            recorded_at: now,
        };
        routes.insert(Arc::clone(route), recorded);
    }

    /// Returns the usual duration; `None` if no request of `route` has ended.
    pub fn usual(&self, route: &str) -> Option<UsualDuration> {
        Some(self.lock().get(route)?.usual)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Recorded>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl UsualDuration {
    fn first(duration: Duration) -> Self {
        Self {
            mean: duration,
            deviation: duration / 2,
        }
    }

    fn record(&mut self, duration: Duration) {
        let difference = self.mean.abs_diff(duration);
        self.deviation = approach(self.deviation, difference, DEVIATION_DIVISOR);
        self.mean = approach(self.mean, duration, MEAN_DIVISOR);
    }
}

/// Moves `value` towards `target` by one part in `divisor` of the way.
fn approach(value: Duration, target: Duration, divisor: u32) -> Duration {
    (value * (divisor - 1) + target) / divisor
}
