//! Writes the origins of streams to the store.

use super::gateway::Gateway;
use crate::stream_origin::WritePace;
use mallowpath::{BackendVersion, ServiceId};
use std::{collections::BTreeSet, sync::Arc, time::Duration};

/// The minimum interval between two writes of the origins of streams while backend servers of several
/// versions serve and first events wait for them.
const ORIGINS_INTERVAL_MS: u64 = 20;

/// The interval is at least this long times the number of routers, as the store appends to a topic one
/// record at a time.
const ORIGINS_INTERVAL_PER_ROUTER_MS: u64 = 8;

/// The minimum interval while there is one version of each service.
const ORIGINS_LAZY_INTERVAL_MS: u64 = 1_000;

/// The interval is at least this long times the number of routers while there is one version.
const ORIGINS_LAZY_INTERVAL_PER_ROUTER_MS: u64 = 16;

/// Writes the origins of streams to the store, more often while backend servers of several versions
/// serve.
pub(super) async fn store_origins(gateway: Arc<Gateway>) {
    let pace = || {
        let routers = u64::try_from(gateway.backends.router_count()).unwrap_or(u64::MAX);
        // A router that has just started knows from the store only which versions have left.
        let is_mixed = gateway.backends.has_several_versions()
            || gateway.stream_origins.has_several_versions();
        let (min_ms, per_router_ms) = if is_mixed {
            (ORIGINS_INTERVAL_MS, ORIGINS_INTERVAL_PER_ROUTER_MS)
        } else {
            (
                ORIGINS_LAZY_INTERVAL_MS,
                ORIGINS_LAZY_INTERVAL_PER_ROUTER_MS,
            )
        };
        let interval_ms = min_ms.max(routers.saturating_mul(per_router_ms));
        WritePace {
            interval: Duration::from_millis(interval_ms),
            is_mixed,
        }
    };
    let versions_in_use = || gateway.backends.versions_in_use();
    gateway
        .stream_origins
        .run_writes(pace, versions_in_use)
        .await;
}

impl Gateway {
    /// Returns the versions of the backend servers of a service, those that left lately included.
    pub(crate) fn service_versions(&self, service: &ServiceId) -> BTreeSet<Option<BackendVersion>> {
        let mut versions = self.backends.versions(service);
        for version in self.stream_origins.versions(service) {
            versions.insert(Some(version));
        }
        versions
    }
}
