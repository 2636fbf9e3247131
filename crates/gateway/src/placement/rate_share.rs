//! Shares the rate of requests to a backend server among routers without coordination.

use mallowpath::{BackendId, Candidate, pick_n, rendezvous_key};
use std::sync::Arc;

/// Returns how many requests per second the router `own` may send to `backend`, which takes
/// `backend_rate_per_s` from all `routers`; these include `own`.
///
/// Rendezvous hashing assigns at most `senders_max` routers to the backend server, and each of these
/// sends an equal part. Returns `None` for any other router.
pub fn rate_share(
    backend_rate_per_s: f64,
    senders_max: usize,
    own: &str,
    routers: &[Arc<str>],
    backend: &BackendId,
) -> Option<f64> {
    let mut candidates = Vec::with_capacity(routers.len());
    for name in routers {
        candidates.push(Candidate { name, weight: 1.0 });
    }
    let key = rendezvous_key(backend.as_str());
    let senders = pick_n(key, &candidates, senders_max);
    let is_sender = senders.iter().any(|&index| *routers[index] == *own);
    is_sender.then(|| backend_rate_per_s / senders.len() as f64)
}

/// Returns the integer part of a number; 0 if it is negative.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts from floating point saturate, as intended"
)]
pub(super) fn whole(value: f64) -> usize {
    value as usize
}
