//! What the quarantine says of a request, and what the request's failures say to it.

use super::attempts::RequestAttempts;
use crate::{placement::Backend, quarantine::check_for_crash};
use mallowpath::{AnswerProgress, SuspectRequest};

impl RequestAttempts {
    /// Returns whether the quarantine allows that the request is sent to a backend server.
    pub(super) fn is_sendable(&self, now_ms: u64) -> bool {
        let quarantine = &self.gateway.quarantine;
        if !quarantine.may_send(&self.parts, now_ms) {
            return false;
        }
        let Some(progress) = self.broke_off_at else {
            return true;
        };
        quarantine.may_resend(&self.suspect(progress))
    }

    /// Describes this request as one that may have ended a backend server.
    fn suspect(&self, progress: AnswerProgress) -> SuspectRequest {
        SuspectRequest::new(self.outgoing_request.id, &self.parts, progress)
    }

    /// Checks whether the backend server ended under this request.
    pub(super) fn suspect_crash(&mut self, backend: &Backend, progress: AnswerProgress) {
        if self.broke_off_at != Some(AnswerProgress::Head) {
            self.broke_off_at = Some(progress);
        }
        check_for_crash(&self.gateway, backend, self.suspect(progress));
    }

    /// Sets whether a backend server may have run a request that tries a quarantined part.
    pub(super) fn set_trial_may_have_run(&mut self, may_have_run: bool) {
        if let Some(trial) = &mut self.trial {
            trial.set_may_have_run(may_have_run);
        }
    }
}
