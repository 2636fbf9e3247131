//! The backend servers of one service.

use super::{
    backend::{Backend, BackendEntry},
    shared_wait_estimator::SharedWaitEstimator,
    zone_spill::{ZoneSpill, ZoneSpillSettings},
};
use crate::stream_origin::TAKE_UP_MAX_MS;
use mallowpath::{BackendVersion, OutlierDetector, OutlierSettings};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

/// How long the version of a backend server that left counts, as streams that it began may be taken up
/// again.
const DEPARTED_VERSION_MEMORY: Duration = Duration::from_millis(TAKE_UP_MAX_MS);

/// The backend servers of one service.
#[derive(Debug)]
pub(super) struct ServiceGroup {
    /// In the order of their names, so that routers that know the same backend servers select the
    /// same one for a session.
    pub(super) members: Vec<Arc<Backend>>,
    pub(super) outliers: OutlierDetector,
    pub(super) wait_estimator: Arc<SharedWaitEstimator>,
    /// The share of requests that may leave the availability zone; `None` if all may.
    pub(super) spill: Option<ZoneSpill>,
    /// When a backend server of each version left last.
    departed_versions: BTreeMap<Option<BackendVersion>, Instant>,
}

impl ServiceGroup {
    pub(super) fn new(spill: Option<ZoneSpillSettings>) -> Self {
        Self {
            members: Vec::new(),
            outliers: OutlierDetector::new(outlier_settings()),
            wait_estimator: Arc::new(SharedWaitEstimator::new()),
            spill: spill.map(ZoneSpill::new),
            departed_versions: BTreeMap::new(),
        }
    }

    /// Adds a backend server.
    pub(super) fn add(&mut self, entry: BackendEntry) -> Arc<Backend> {
        let backend = Backend::new(entry, Arc::clone(&self.wait_estimator));
        let id = &backend.entry.id;
        self.outliers.insert(id);
        let position = self
            .members
            .partition_point(|member| member.entry.id.as_str() < id.as_str());
        self.members.insert(position, Arc::clone(&backend));
        backend
    }

    /// Removes a backend server and remembers its version for some time.
    pub(super) fn remove(&mut self, backend: &Backend) {
        let id = &backend.entry.id;
        self.members.retain(|member| member.entry.id != *id);
        self.outliers.remove(id);
        self.departed_versions
            .retain(|_, departed_at| departed_at.elapsed() < DEPARTED_VERSION_MEMORY);
        self.departed_versions
            .insert(backend.entry.version.clone(), Instant::now());
    }

    /// Returns the versions of all backend servers, those that left lately included.
    pub(super) fn versions(&self) -> BTreeSet<&Option<BackendVersion>> {
        let mut versions = BTreeSet::new();
        for member in &self.members {
            versions.insert(&member.entry.version);
        }
        for (version, departed_at) in &self.departed_versions {
            if departed_at.elapsed() < DEPARTED_VERSION_MEMORY {
                versions.insert(version);
            }
        }
        versions
    }
}

/// Returns settings with short ejections.
///
/// At the request rate of one router, failures show within one or two seconds; a recovery must show
/// as fast.
fn outlier_settings() -> OutlierSettings {
    OutlierSettings {
        consecutive_failures: 3,
        ejection_ms: 1_000,
        ejection_max_ms: 8_000,
        slow_start_ms: 2_000,
        ejected_share_max: 0.5,
        ..OutlierSettings::default()
    }
}
