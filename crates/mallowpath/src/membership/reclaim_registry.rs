//! The progress of the reclaims that one process runs, for its tasks, the metrics and the state
//! dump.

use crate::id::{GrantId, Incarnation, Tokens};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
};

/// The progress of each reclaim of one process, by fenced router.
#[derive(Debug, Default)]
pub(crate) struct ReclaimRegistry {
    progress: Mutex<BTreeMap<Incarnation, ReclaimProgress>>,
}

/// The progress of the reclaim from one router.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReclaimProgress {
    /// Processes whose final reports are missing.
    pub(crate) missing: BTreeSet<Incarnation>,
    /// Tokens returned to the keepers of this process.
    pub(crate) returned: Tokens,
    /// Tokens of slices that remain outstanding because a sidecar that may have billed them is
    /// gone.
    pub(crate) unproven: Tokens,
    /// Grants that remain outstanding because what was spent of them can't be proven any more.
    pub(crate) unproven_grants: BTreeSet<GrantId>,
    pub(crate) done: bool,
}

impl ReclaimRegistry {
    /// Describes the reclaims for the state dump.
    pub(crate) fn dump(&self) -> Value {
        let mut described = serde_json::Map::new();
        for (router, progress) in self.progress().iter() {
            let entry = json!({
                "missing": progress.missing,
                "returned": progress.returned,
                "unproven": progress.unproven,
                "unproven_grants": progress.unproven_grants,
                "done": progress.done,
            });
            described.insert(router.to_string(), entry);
        }
        Value::Object(described)
    }

    /// Marks the reclaim from a router as running; returns false if it is running already.
    pub(crate) fn begin(&self, router: Incarnation) -> bool {
        let mut progress = self.progress();
        let known = progress.get_mut(&router);
        if known.as_ref().is_some_and(|known| !known.done) {
            return false;
        }
        match known {
            Some(known) => known.done = false,
            None => drop(progress.insert(router, ReclaimProgress::default())),
        }
        true
    }

    /// Updates the progress of the reclaim from a router and the metrics.
    pub(crate) fn update(&self, router: Incarnation, change: impl FnOnce(&mut ReclaimProgress)) {
        let mut progress = self.progress();
        change(progress.entry(router).or_default());
        let (mut missing, mut unproven) = (0, 0);
        for progress in progress.values() {
            missing += progress.missing.len();
            unproven += progress.unproven.0;
        }
        metrics::gauge!("mallowpath_reclaim_missing_words").set(missing as f64);
        metrics::gauge!("mallowpath_reclaim_unproven_tokens").set(unproven as f64);
    }

    /// Returns whether a grant of a router remains outstanding because its spending can't be
    /// proven.
    pub(crate) fn is_unproven(&self, router: Incarnation, grant: GrantId) -> bool {
        let progress = self.progress();
        let known = progress.get(&router);
        known.is_some_and(|known| known.unproven_grants.contains(&grant))
    }

    fn progress(&self) -> MutexGuard<'_, BTreeMap<Incarnation, ReclaimProgress>> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
