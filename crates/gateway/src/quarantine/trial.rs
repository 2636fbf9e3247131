//! A request that tries quarantined parts.

use crate::process::Gateway;
use mallowpath::PartId;
use std::sync::Arc;

/// Ends the trial when it is dropped, unless the request may have run; another one may try then.
#[derive(Debug)]
pub(crate) struct Trial {
    gateway: Arc<Gateway>,
    parts: Vec<PartId>,
    may_have_run: bool,
}

impl Trial {
    pub(crate) fn new(gateway: Arc<Gateway>, parts: Vec<PartId>) -> Self {
        Self {
            gateway,
            parts,
            may_have_run: false,
        }
    }

    /// Sets whether a backend server may have run the request.
    pub(crate) fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !self.may_have_run {
            self.gateway.quarantine.lock().cancel_trial(&self.parts);
        }
    }
}
