//! The origins of recent streams.

use super::TAKE_UP_MAX_MS;
use mallowpath::{BackendVersion, RecentMap, ServiceId, WorkspaceId, rendezvous_key};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of origins that are inserted within [`TAKE_UP_MAX_MS`].
const ORIGINS_MAX: usize = 32_768;

/// Identifies a stream by its caller's workspace and the attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of a stream; callers of other workspaces can't name it.
    pub fn new(workspace: Option<&WorkspaceId>, attempt_id: &str) -> Self {
        let workspace = workspace.map_or("", WorkspaceId::as_str);
        Self(rendezvous_key(&format!("{workspace}\n{attempt_id}")))
    }
}

/// The backend server that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamOrigin {
    /// Its service.
    pub service: ServiceId,
    /// The version of its software.
    pub version: BackendVersion,
}

/// A stream whose origin is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownStream {
    /// Where it began.
    pub origin: StreamOrigin,
    /// When its origin was recorded, by the clock of the caller of [`OriginTable::insert`].
    pub recorded_at_ms: u64,
}

/// A map from streams to their origins that forgets entries some time after they were inserted.
#[derive(Debug)]
pub struct OriginTable {
    streams: RecentMap<StreamKey, KnownStream>,
    /// When each version of a service was last known to be in use.
    origins: BTreeMap<StreamOrigin, u64>,
}

impl Default for OriginTable {
    fn default() -> Self {
        Self {
            streams: RecentMap::new(TAKE_UP_MAX_MS, ORIGINS_MAX),
            origins: BTreeMap::new(),
        }
    }
}

impl OriginTable {
    /// Records that a version of a service is in use.
    pub fn insert_version(&mut self, origin: &StreamOrigin, now_ms: u64) {
        match self.origins.get_mut(origin) {
            Some(inserted_at_ms) => *inserted_at_ms = now_ms,
            None => self.insert_origin(origin.clone(), now_ms),
        }
    }

    /// Inserts the origin of a stream, unless it is known.
    pub fn insert(&mut self, key: StreamKey, origin: StreamOrigin, now_ms: u64) {
        if self.get(key, now_ms).is_some() {
            return;
        }
        let stream = KnownStream {
            origin,
            recorded_at_ms: now_ms,
        };
        self.streams.insert(key, stream, now_ms);
    }

    /// Returns a stream whose origin is known.
    pub fn get(&self, key: StreamKey, now_ms: u64) -> Option<&KnownStream> {
        self.streams.get(&key, now_ms)
    }

    /// Returns the versions of a service that were in use lately.
    pub fn versions(&self, service: &ServiceId, now_ms: u64) -> BTreeSet<&BackendVersion> {
        let mut versions = BTreeSet::new();
        for (origin, inserted_at_ms) in &self.origins {
            if origin.service == *service && is_remembered(*inserted_at_ms, now_ms) {
                versions.insert(&origin.version);
            }
        }
        versions
    }

    /// Returns whether several versions of any service were in use lately.
    pub fn has_several_versions(&self, now_ms: u64) -> bool {
        let mut last_service = None;
        // The origins are in the order of their services.
        for (origin, inserted_at_ms) in &self.origins {
            if !is_remembered(*inserted_at_ms, now_ms) {
                continue;
            }
            if last_service == Some(&origin.service) {
                return true;
            }
            last_service = Some(&origin.service);
        }
        false
    }

    /// Returns the number of streams that are remembered.
    pub fn len(&self, now_ms: u64) -> usize {
        self.streams.iter(now_ms).count()
    }

    fn insert_origin(&mut self, origin: StreamOrigin, now_ms: u64) {
        self.origins
            .retain(|_, inserted_at_ms| is_remembered(*inserted_at_ms, now_ms));
        self.origins.insert(origin, now_ms);
    }
}

fn is_remembered(inserted_at_ms: u64, now_ms: u64) -> bool {
    now_ms < inserted_at_ms.saturating_add(TAKE_UP_MAX_MS)
}
