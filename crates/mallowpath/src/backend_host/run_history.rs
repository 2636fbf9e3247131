//! Outcomes that a sidecar remembers of requests that are not in its run table.

use crate::{Incarnation, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// Tombstones and evicted runs of each router.
///
/// Entries below the floor, the lowest sequence number that a router may still submit, are dropped;
/// no request below it starts, so the history stays small without an expiry by time.
#[derive(Debug, Default)]
pub(crate) struct RunHistory {
    routers: BTreeMap<Incarnation, RouterHistory>,
}

#[derive(Debug, Default)]
struct RouterHistory {
    floor: u64,
    tombstones: BTreeSet<u64>,
    /// Runs that started and whose answers the run table has dropped.
    ran: BTreeSet<u64>,
}

impl RunHistory {
    /// Raises the floor of a router and drops its entries below it; a lower floor is ignored.
    pub(crate) fn raise_floor(&mut self, router: Incarnation, lowest_open: u64) {
        let history = self.routers.entry(router).or_default();
        if lowest_open <= history.floor {
            return;
        }
        history.floor = lowest_open;
        history.tombstones = history.tombstones.split_off(&lowest_open);
        history.ran = history.ran.split_off(&lowest_open);
    }

    /// Records that a request never runs here.
    pub(crate) fn add_tombstone(&mut self, id: RequestId) {
        let history = self.routers.entry(id.incarnation).or_default();
        history.tombstones.insert(id.sequence);
    }

    /// Records that a request ran and that its answer was dropped.
    pub(crate) fn add_ran(&mut self, id: RequestId) {
        let history = self.routers.entry(id.incarnation).or_default();
        if id.sequence >= history.floor {
            history.ran.insert(id.sequence);
        }
    }

    pub(crate) fn is_tombstoned(&self, id: RequestId) -> bool {
        let history = self.routers.get(&id.incarnation);
        history.is_some_and(|history| history.tombstones.contains(&id.sequence))
    }

    /// Returns whether a request that is not in the run table ran or may have run.
    ///
    /// Every request below the floor may have run, as the entries there were dropped.
    pub(crate) fn may_have_run(&self, id: RequestId) -> bool {
        let Some(history) = self.routers.get(&id.incarnation) else {
            return false;
        };
        id.sequence < history.floor || history.ran.contains(&id.sequence)
    }
}
