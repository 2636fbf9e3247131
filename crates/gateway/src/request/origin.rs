//! Records the origin of a stream, for callers that take it up again.

use super::attempts::RequestAttempts;
use crate::stream_origin::{StreamKey, StreamOrigin};
use futures_util::future::BoxFuture;

impl RequestAttempts {
    /// Records which backend server has begun the stream, for callers that take it up again.
    ///
    /// Returns a future to wait for before the caller gets its first event; `None` if it need not
    /// wait.
    pub(super) fn record_origin(&self) -> Option<BoxFuture<'static, ()>> {
        let request = &self.caller_request;
        // A stream that was taken up several times is still named after its first attempt.
        let first_attempt = request.continued_attempt_id.as_ref();
        let version = self.version.as_ref()?;
        let attempt_id = first_attempt.or(request.attempt_id.as_ref())?;
        let key = StreamKey::new(self.outgoing_request.workspace.as_ref(), attempt_id);
        let origin = StreamOrigin {
            service: self.service.clone(),
            version: version.clone(),
        };
        let origins = &self.gateway.stream_origins;
        let number = origins.record(key, origin);
        let is_held = self.route.resumable
            && !request.takes_up_stream()
            && origins.holds_events()
            && self.gateway.service_versions(&self.service).len() > 1;
        is_held.then(|| origins.hold(number)).flatten()
    }
}
