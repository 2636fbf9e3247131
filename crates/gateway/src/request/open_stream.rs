//! The stream of events of one backend server.

use super::{attempt::StartedAnswer, stream_end::StreamPart};
use crate::{connection::BackendConnection, placement::InFlight};
use hyper::body::Incoming;
use mallowpath::AnswerProgress;

/// The stream of one backend server.
pub(super) struct OpenStream {
    pub(super) body: Incoming,
    pub(super) connection: BackendConnection,
    pub(super) in_flight: InFlight,
    pub(super) idle_timeout_ms: Option<u64>,
    /// Whether the body has a length or chunks, which show whether it is complete.
    pub(super) is_framed: bool,
    /// What the backend server was asked for.
    pub(super) part: StreamPart,
}

impl OpenStream {
    pub(super) fn new(started: StartedAnswer, part: StreamPart) -> Self {
        Self {
            is_framed: started.is_framed(),
            part,
            body: started.body,
            connection: started.connection,
            in_flight: started.in_flight,
            idle_timeout_ms: started.backend_answer.idle_timeout_ms,
        }
    }

    /// Closes the connection, so that the backend server cancels the request.
    pub(super) async fn close(self) {
        self.connection.close().await;
    }

    /// Returns how far the answer of this backend server has come.
    pub(super) fn progress(&self) -> AnswerProgress {
        if self.in_flight.has_begun() {
            AnswerProgress::Events
        } else {
            AnswerProgress::Head
        }
    }
}
