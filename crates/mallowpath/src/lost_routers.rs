//! Which routers are lost, judged by their connections and the host list.
//!
//! A wrong judgement costs the router its life and no token: it is fenced first.

use crate::id::Incarnation;
use std::collections::{BTreeMap, BTreeSet};

/// How long a router may be without a connection once another one serves on its host.
const REPLACED_MS: u64 = 500;
/// How long a router may be without a connection once its host is gone from the host list.
const UNLISTED_MS: u64 = 3000;

/// The routers met by a keeper.
#[derive(Debug, Default)]
pub(crate) struct LostRouters {
    met: BTreeMap<Incarnation, Met>,
}

#[derive(Debug)]
struct Met {
    host: String,
    /// A router that just started may not be on the list yet.
    was_listed: bool,
    silent_since_ms: Option<u64>,
}

impl LostRouters {
    /// Notes a router that opened a connection.
    pub(crate) fn met(&mut self, router: Incarnation, host: &str) {
        let fresh = || Met {
            host: host.to_owned(),
            was_listed: false,
            silent_since_ms: None,
        };
        self.met.entry(router).or_insert_with(fresh).silent_since_ms = None;
    }

    /// Takes in who has a connection and which hosts are listed, and returns those that are lost.
    pub(crate) fn judge(
        &mut self,
        is_open: impl Fn(Incarnation) -> bool,
        listed: &BTreeSet<&str>,
        now_ms: u64,
    ) -> Vec<Incarnation> {
        let mut serving = BTreeSet::new();
        for (router, met) in &self.met {
            if is_open(*router) {
                serving.insert(met.host.clone());
            }
        }
        let mut lost = Vec::new();
        for (router, met) in &mut self.met {
            let is_listed = listed.contains(met.host.as_str());
            met.was_listed |= is_listed;
            if is_open(*router) {
                met.silent_since_ms = None;
                continue;
            }
            let silent_ms = now_ms.saturating_sub(*met.silent_since_ms.get_or_insert(now_ms));
            let replaced = serving.contains(&met.host) && silent_ms >= REPLACED_MS;
            let unlisted = met.was_listed && !is_listed && silent_ms >= UNLISTED_MS;
            if replaced || unlisted {
                lost.push(*router);
            }
        }
        lost
    }

    /// Forgets a router.
    pub(crate) fn forget(&mut self, router: Incarnation) {
        self.met.remove(&router);
    }
}
