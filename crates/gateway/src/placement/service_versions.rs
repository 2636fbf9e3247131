//! The versions of the backend servers of each service.

use super::backend_registry::BackendRegistry;
use crate::stream_origin::StreamOrigin;
use mallowpath::{BackendVersion, ServiceId};
use std::collections::BTreeSet;

impl BackendRegistry {
    /// Returns the versions of the backend servers of the service, those that left lately included;
    /// `None` stands for the ones that state none.
    pub fn versions(&self, service: &ServiceId) -> BTreeSet<Option<BackendVersion>> {
        let state = self.lock();
        let Some(group) = state.services.get(service) else {
            return BTreeSet::new();
        };
        group.versions().into_iter().cloned().collect()
    }

    /// Returns the services and versions of all backend servers that state one.
    pub(crate) fn versions_in_use(&self) -> Vec<StreamOrigin> {
        let mut origins = Vec::new();
        for (service, group) in &self.lock().services {
            for version in group.versions().into_iter().flatten() {
                origins.push(StreamOrigin {
                    service: service.clone(),
                    version: version.clone(),
                });
            }
        }
        origins
    }

    /// Returns whether the backend servers of any service, those that left lately included, have
    /// several versions.
    pub fn has_several_versions(&self) -> bool {
        let state = self.lock();
        let mut groups = state.services.values();
        groups.any(|group| group.versions().len() > 1)
    }
}
