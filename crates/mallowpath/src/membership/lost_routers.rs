//! Detection of lost routers by the host list and the open connections.
//!
//! A wrong decision ends a live router but loses no tokens, because the router is fenced before its
//! tokens are reclaimed.

use crate::id::Incarnation;
use std::collections::{BTreeMap, BTreeSet};

/// The factor on the timeout of a router that was never listed, because the host list lags.
const UNLISTED_TIMEOUT_FACTOR: u64 = 5;

/// Finds routers that are neither listed nor connected for a timeout.
#[derive(Debug, Default)]
pub(crate) struct LostRouterDetector {
    observations: BTreeMap<Incarnation, Observation>,
}

#[derive(Debug)]
struct Observation {
    was_listed: bool,
    missing_since_ms: Option<u64>,
}

impl LostRouterDetector {
    /// Updates the observations and returns the lost routers.
    ///
    /// A router is lost if its host was not listed and it had no connection for `lost_ms`, or for
    /// `UNLISTED_TIMEOUT_FACTOR` times as long if its host was never listed.
    ///
    /// `live` holds the live routers of the `members` stream with the names of their hosts.
    pub(crate) fn update(
        &mut self,
        live: &BTreeMap<Incarnation, String>,
        listed: &BTreeSet<&str>,
        is_connected: impl Fn(Incarnation) -> bool,
        lost_ms: u64,
        now_ms: u64,
    ) -> BTreeSet<Incarnation> {
        self.observations
            .retain(|router, _| live.contains_key(router));
        let mut lost = BTreeSet::new();
        for (router, host) in live {
            let observation = self.observations.entry(*router).or_insert(Observation {
                was_listed: false,
                missing_since_ms: None,
            });
            let is_listed = listed.contains(host.as_str());
            observation.was_listed |= is_listed;
            if is_listed || is_connected(*router) {
                observation.missing_since_ms = None;
                continue;
            }
            let since_ms = *observation.missing_since_ms.get_or_insert(now_ms);
            let factor = if observation.was_listed {
                1
            } else {
                UNLISTED_TIMEOUT_FACTOR
            };
            if now_ms.saturating_sub(since_ms) >= lost_ms.saturating_mul(factor) {
                lost.insert(*router);
            }
        }
        lost
    }
}
