//! Permits, which count a request as running from its admission to its end.

use crate::{
    id::{ServiceId, WorkspaceId},
    peer::link::now_ms,
    request::router_admission::RouterAdmission,
};
use std::sync::Weak;

/// A permit of one request to run, released on drop.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Weak<RouterAdmission>,
    details: PermitDetails,
    started_at_ms: u64,
    usage: Option<PermitUsage>,
}

/// The resources used by a request that ran.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PermitUsage {
    pub(crate) tokens: u64,
    /// Whether the response was complete.
    pub(crate) complete: bool,
}

/// What a permit was issued for.
#[derive(Debug, Clone)]
pub(crate) struct PermitDetails {
    pub(crate) service: ServiceId,
    pub(crate) workspace: WorkspaceId,
    pub(crate) tokens: u64,
}

impl Permit {
    /// Creates a permit that starts now.
    pub(crate) fn new(admission: Weak<RouterAdmission>, details: PermitDetails) -> Self {
        Self {
            admission,
            details,
            started_at_ms: now_ms(),
            usage: None,
        }
    }

    /// Releases the permit of a request that ran.
    ///
    /// `tokens` is the number of tokens used, `complete` whether the response was complete.
    pub(crate) fn finish(mut self, tokens: u64, complete: bool) {
        self.usage = Some(PermitUsage { tokens, complete });
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(admission) = self.admission.upgrade() {
            let run_ms = now_ms().saturating_sub(self.started_at_ms);
            admission.release(&self.details, self.usage, run_ms);
        }
    }
}
