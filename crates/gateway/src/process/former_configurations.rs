//! The configurations that were in force lately.

use crate::{
    stream_origin::TAKE_UP_MAX_MS,
    version::{Configuration, Route},
};
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// How long a configuration counts after its end, as streams that began under it may be taken up again.
const MEMORY: Duration = Duration::from_millis(TAKE_UP_MAX_MS);

/// The configurations that were in force lately, with the times at which they were replaced.
#[derive(Debug, Default)]
pub(super) struct FormerConfigurations(Mutex<Vec<(Instant, Arc<Configuration>)>>);

impl FormerConfigurations {
    /// Adds a configuration that is replaced now, and forgets old ones.
    pub(super) fn push(&self, configuration: Arc<Configuration>) {
        let mut former = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        former.retain(|(replaced_at, _)| replaced_at.elapsed() < MEMORY);
        former.push((Instant::now(), configuration));
    }

    /// Returns the routes that led from `host` and `path` lately.
    pub(super) fn routes(&self, host: &str, path: &str) -> Vec<Arc<Route>> {
        let former = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut routes = Vec::new();
        for (replaced_at, configuration) in &*former {
            if replaced_at.elapsed() < MEMORY {
                routes.extend(configuration.route(host, path).cloned());
            }
        }
        routes
    }
}
