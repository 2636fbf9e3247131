//! Which requests a router that shuts down still takes.
//!
//! A router ends a fixed time after it was told to. A request that it has sent to a backend server by
//! then and not answered is lost, and its caller can't know whether it ran. Another router can serve one
//! that is rejected in time.

use super::route_durations::UsualDuration;
use std::time::Instant;

/// How many mean deviations more than the mean a request may take that is lost if it is cut off.
const RUN_ONCE_DEVIATIONS: u32 = 4;

/// The same for a request that its caller may send again.
const REPEATABLE_DEVIATIONS: u32 = 1;

/// The times of a request that decide whether a router that shuts down takes it.
#[derive(Debug, Clone, Copy)]
pub struct GraceRequest {
    /// When its caller or its route gives it up.
    pub deadline: Instant,
    /// How long requests of its route take; `None` if none has ended.
    pub usual: Option<UsualDuration>,
    /// Whether it may be sent again after it may have run.
    pub is_repeatable: bool,
}

impl GraceRequest {
    /// Returns whether the request ends by `service_end` if it is sent at `now`.
    ///
    /// It does if its deadline is no later, and is expected to if the usual duration leaves a margin.
    pub fn ends_in_time(&self, now: Instant, service_end: Instant) -> bool {
        if now >= service_end {
            return false;
        }
        if self.deadline <= service_end {
            return true;
        }
        let Some(usual) = self.usual else {
            return false;
        };
        let deviations = if self.is_repeatable {
            REPEATABLE_DEVIATIONS
        } else {
            RUN_ONCE_DEVIATIONS
        };
        now + usual.mean + usual.deviation * deviations <= service_end
    }
}
