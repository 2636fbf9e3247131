//! What the caller gets once the attempts of its request have ended or a stream has begun.

use super::{
    answer::AnswerBody,
    attempt::{StartedAnswer, WholeAnswer},
    attempts::RequestAttempts,
    headers::strip_connection_headers,
    held_events::HeldEvents,
    rejection::Rejection,
    request_log::{Reason, RequestLog},
    stream::{StreamAnswer, StreamSettings},
};
use crate::{budget::Reservation, version::RouteKind};
use http::{Response, StatusCode, header};
use mallowpath::HeldAnswer;
use std::time::{Duration, Instant};

impl RequestAttempts {
    /// Answers the caller with the answer received or with an error response.
    ///
    /// The error response has no `Retry-After` if the request may have run.
    pub(super) fn finish(
        mut self,
        log: &mut RequestLog,
        mut reservation: Option<Reservation>,
    ) -> Response<AnswerBody> {
        self.record_duration(log);
        if let Some(answer) = self.answer.take() {
            let head = &answer.head;
            log.set_first_byte();
            log.set_outcome(Reason::Delivered, head.status.as_u16());
            if let Some(reservation) = &mut reservation
                && head.status.is_success()
            {
                // The number of tokens in a body that is not a stream is unknown.
                reservation.mark_all_spent();
            }
            log_spent(log, reservation.as_ref());
            return whole_response(answer);
        }
        log_spent(log, reservation.as_ref());
        let rejection = match (self.may_have_run, self.reason) {
            (false, Reason::ShuttingDown) => Rejection::shutting_down(),
            (false, reason) => {
                let backends = &self.gateway.backends;
                let pause_ms = backends.shortest_pause_ms(&self.service, self.gateway.now_ms());
                let deadline = self.outgoing_request.deadline;
                let remaining = deadline.saturating_duration_since(Instant::now());
                Rejection::no_capacity(reason, remaining).after_pause(pause_ms)
            }
            (true, Reason::Timeout) => Rejection::new(StatusCode::GATEWAY_TIMEOUT, Reason::Timeout),
            (true, _) => Rejection::new(StatusCode::BAD_GATEWAY, Reason::AnswerLost),
        };
        rejection.into_response(log)
    }

    /// Records how long the request took if a backend server may have run it.
    pub(super) fn record_duration(&self, log: &RequestLog) {
        if self.may_have_run {
            let grace_period = &self.gateway.grace_period;
            grace_period.record_request(&self.route, log.started());
        }
    }

    /// Returns an answer that forwards a stream.
    pub(super) fn stream(
        mut self,
        started: StartedAnswer,
        log: RequestLog,
        reservation: Option<Reservation>,
    ) -> Response<AnswerBody> {
        self.sent_count += 1;
        self.may_have_run = true;
        let configuration = self.gateway.configuration();
        let service_config = configuration
            .as_ref()
            .and_then(|configuration| configuration.services.get(&self.service));
        let settings = StreamSettings {
            tokens: self.caller_request.tokens,
            tokens_per_event: service_config
                .map_or(0, |service_config| service_config.tokens_per_event),
            resumable: self.route.kind == RouteKind::Streaming && self.route.resumable,
            silence_max: Duration::from_millis(self.route.silence_max_ms),
        };
        if self.version.is_none() {
            let backend = started.in_flight.backend();
            self.version.clone_from(&backend.entry.version);
        }
        let head = response_head(started.head.status, started.head.headers.clone());
        let held = HeldEvents::new(self.record_origin());
        let stream = StreamAnswer::new(self, started, log, reservation, settings, held);
        head.map(|()| AnswerBody::Stream(Box::new(stream)))
    }
}

fn log_spent(log: &mut RequestLog, reservation: Option<&Reservation>) {
    if let Some(reservation) = reservation {
        log.set_spent(reservation.spent());
    }
}

fn whole_response(answer: WholeAnswer) -> Response<AnswerBody> {
    let WholeAnswer { head, body, buffer } = answer;
    let body = HeldAnswer::new(body, buffer);
    response_head(head.status, head.headers).map(|()| AnswerBody::Whole(body))
}

/// Returns the head of an answer without hop-by-hop headers and `Content-Length`.
fn response_head(status: StatusCode, headers: http::HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    strip_connection_headers(response.headers_mut());
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}
