//! Keeps requests in the availability zone of the router, as far as the share that may leave it says.

use super::{
    backend::Backend,
    backend_registry::State,
    selection::{BackendQuery, rendezvous_choice, shared_parts},
    slowness::WaitSums,
    zone_spill::{ZoneWaits, expected_wait_ms},
};
use mallowpath::{ServiceId, Zone};
use std::sync::Arc;

/// The backend servers of a service in the router's availability zone, or those in all others.
#[derive(Debug, Default)]
struct SideWaits {
    servers: usize,
    /// The waits that this router and others have seen.
    all: WaitSums,
    /// Those that this router has seen.
    seen: WaitSums,
}

impl SideWaits {
    fn expected_ms(&self) -> Option<f64> {
        expected_wait_ms(self.all.mean_wait_ms(), self.seen.mean_wait_ms())
    }
}

impl State {
    /// Updates the share of a service's requests that may leave `zone`, once an interval.
    pub(super) fn update_spill(&mut self, service: &ServiceId, zone: &Zone, now_ms: u64) {
        let Some(group) = self.services.get(service) else {
            return;
        };
        let is_due = group
            .spill
            .as_ref()
            .is_some_and(|spill| spill.is_due(now_ms));
        if !is_due {
            return;
        }
        let (mut own, mut others) = (SideWaits::default(), SideWaits::default());
        for backend in &group.members {
            if !self.is_usable(backend, &[], now_ms) {
                continue;
            }
            let side = if backend.entry.zone == *zone {
                &mut own
            } else {
                &mut others
            };
            side.servers += 1;
            side.all.add(backend.recent_waits(&self.slowness, now_ms));
            side.seen.add(backend.seen_waits(&self.slowness, now_ms));
        }
        let waits = ZoneWaits {
            own_ms: own.expected_ms(),
            others_ms: others.expected_ms(),
            own_servers: own.servers,
            other_servers: others.servers,
        };
        let spill = self.services.get_mut(service);
        let Some(spill) = spill.and_then(|group| group.spill.as_mut()) else {
            return;
        };
        spill.update(&waits, now_ms);
        let label = service.to_string();
        metrics::gauge!("gateway_zone_spill_share", "service" => label).set(spill.share());
    }

    /// Removes the backend servers of other availability zones that run models, except those that
    /// probably have the session of the request cached.
    pub(super) fn keep_in_zone(
        &self,
        query: &BackendQuery<'_>,
        usable: &mut Vec<&Arc<Backend>>,
        zone: &Zone,
        now_ms: u64,
    ) {
        let has_own = usable.iter().any(|backend| backend.entry.zone == *zone);
        if !has_own {
            return;
        }
        let home = rendezvous_choice(query, usable).map(|index| Arc::clone(usable[index]));
        let session = shared_parts(query.prompt).last();
        usable.retain(|backend| {
            let is_home = home.as_ref().is_some_and(|home| Arc::ptr_eq(home, backend));
            let is_cached = session.is_some_and(|session| {
                self.prefixes
                    .is_cached_at(session.id, &backend.entry.id, now_ms)
            });
            backend.entry.zone == *zone || !backend.entry.runs_model || is_home || is_cached
        });
    }
}
