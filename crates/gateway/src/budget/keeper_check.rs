//! Whether this router keeps a budget, as a closure.

use mallowpath::WorkspaceId;
use std::{fmt, sync::Arc};

/// Returns whether this router keeps the budget of a workspace; by default, it keeps all.
#[derive(Clone)]
pub(super) struct KeeperCheck(Arc<dyn Fn(&WorkspaceId) -> bool + Send + Sync>);

impl KeeperCheck {
    pub(super) fn new(is_keeper: impl Fn(&WorkspaceId) -> bool + Send + Sync + 'static) -> Self {
        Self(Arc::new(is_keeper))
    }

    pub(super) fn check(&self, workspace: &WorkspaceId) -> bool {
        (self.0)(workspace)
    }
}

impl Default for KeeperCheck {
    fn default() -> Self {
        Self::new(|_| true)
    }
}

impl fmt::Debug for KeeperCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeeperCheck").finish_non_exhaustive()
    }
}
