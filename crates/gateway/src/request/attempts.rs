//! The attempts of one request, at one backend server after another.
//!
//! An attempt that certainly has not run may be followed by another one, within the route's limit.
//! After an attempt that may have run, only a retryable request is sent again. Any other request
//! ends with an error that does not state whether it ran.

use super::{
    answer::AnswerBody,
    attempt::{
        AttemptOutcome, AttemptTarget, OutgoingRequest, StartedAnswer, WholeAnswer, millis,
        read_whole, send_attempt,
    },
    destination::Destination,
    message_heads::CallerRequest,
    request_log::{Reason, RequestLog},
};
use crate::{
    budget::Reservation,
    placement::{Backend, BackendQuery, InFlight},
    process::Gateway,
    quarantine::{Trial, record_completion, request_parts},
    version::Route,
};
use http::{Response, StatusCode};
use mallowpath::{
    AnswerProgress, BackendId, BackendVersion, Buffer, BusyConnection, ConnectionSlot, PartId,
    ServiceId,
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Number of unreachable backend servers after which a request ends.
const CONNECT_FAILURES_MAX: u32 = 3;

/// Timeout of an attempt of a retryable request, as a multiple of the route's latency objective.
const ATTEMPT_TIMEOUT_FACTOR: u64 = 3;

/// A request and the state of its attempts.
#[derive(Debug)]
pub(crate) struct RequestAttempts {
    pub(super) gateway: Arc<Gateway>,
    pub(super) route: Arc<Route>,
    pub(super) caller_request: CallerRequest,
    pub(super) outgoing_request: Arc<OutgoingRequest>,
    pub(super) service: ServiceId,
    /// The version of the backend server that began the stream; only servers of this version may go on
    /// with it.
    pub(super) version: Option<BackendVersion>,
    /// The parts that the quarantine knows, among them the whole request.
    pub(super) parts: Vec<PartId>,
    /// Present if the request tries a quarantined part.
    pub(super) trial: Option<Trial>,
    /// The backend servers that were chosen so far, reached or not.
    tried: Vec<BackendId>,
    /// The number of attempts in which the request was sent.
    pub(super) sent_count: u32,
    /// The number of attempts in which the backend server was not reached.
    connect_failures: u32,
    /// How far an answer had come that broke off; [`AnswerProgress::Head`] if any one had come so far.
    pub(super) broke_off_at: Option<AnswerProgress>,
    /// Whether a backend server may have run the request.
    pub(super) may_have_run: bool,
    memory: RequestMemory,
    /// The answer to deliver unless a later attempt gets a better one.
    pub(super) answer: Option<WholeAnswer>,
    /// Why there is no answer so far; the reason in the error response.
    pub(super) reason: Reason,
}

/// The memory of a request, and the connection whose caller gets the answer.
#[derive(Debug)]
pub(super) struct RequestMemory {
    buffer: Buffer,
    connection: Arc<ConnectionSlot>,
    /// Keeps the connection from being closed for another one.
    _busy: BusyConnection,
}

impl RequestMemory {
    /// Creates the memory of a request that has arrived whole.
    pub(super) fn new(buffer: Buffer, connection: Arc<ConnectionSlot>) -> Self {
        Self {
            buffer,
            _busy: connection.busy(),
            connection,
        }
    }

    /// Opens an empty buffer for the answer.
    fn open_answer(&self) -> Buffer {
        self.buffer.open_answer(&self.connection)
    }
}

/// The decision after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextStep {
    /// Send the request to another backend server.
    Retry,
    /// Answer the caller, with the answer received or with an error response.
    Finish,
}

impl RequestAttempts {
    pub(super) fn new(
        gateway: Arc<Gateway>,
        route: Arc<Route>,
        destination: Destination,
        caller_request: CallerRequest,
        outgoing_request: OutgoingRequest,
        trial: Option<Trial>,
        memory: RequestMemory,
    ) -> Self {
        Self {
            gateway,
            route,
            parts: request_parts(&caller_request.prompt, outgoing_request.id),
            trial,
            caller_request,
            outgoing_request: Arc::new(outgoing_request),
            service: destination.service,
            version: destination.version,
            tried: Vec::new(),
            sent_count: 0,
            connect_failures: 0,
            broke_off_at: None,
            may_have_run: false,
            memory,
            answer: None,
            reason: Reason::NoBackend,
        }
    }

    /// Sends the request to one backend server after another until one answers or no attempt is
    /// left.
    pub(super) async fn run(
        mut self,
        mut log: RequestLog,
        mut reservation: Option<Reservation>,
    ) -> Response<AnswerBody> {
        loop {
            if Instant::now() >= self.outgoing_request.deadline {
                self.reason = Reason::Timeout;
                return self.finish(&mut log, reservation);
            }
            if !self.is_allowed_in_grace_period() {
                self.reason = Reason::ShuttingDown;
                return self.finish(&mut log, reservation);
            }
            let Some((backend, prefill_tokens)) = self.choose_backend(&mut log) else {
                return self.finish(&mut log, reservation);
            };
            let target = AttemptTarget {
                backend: Arc::clone(&backend),
                prefill_tokens,
                last_event_id: self.caller_request.last_event_id,
                give_up_at: self.attempt_deadline(),
            };
            self.count_prompt_spent(&mut reservation);
            self.set_trial_may_have_run(true);
            let next = match send_attempt(&self.gateway, &self.outgoing_request, target).await {
                AttemptOutcome::StartedAnswer(started) if started.is_stream() => {
                    self.gateway
                        .backends
                        .record_success(&backend, self.gateway.now_ms());
                    return self.stream(*started, log, reservation);
                }
                AttemptOutcome::StartedAnswer(started) => {
                    self.receive_whole(&backend, *started, &mut log).await
                }
                AttemptOutcome::BrokenOff(detail) => {
                    self.suspect_crash(&backend, AnswerProgress::Nothing);
                    self.handle_lost(&backend, &detail, AnswerProgress::Nothing, &mut log)
                }
                AttemptOutcome::NoValidAnswer(detail) => {
                    self.handle_lost(&backend, &detail, AnswerProgress::Nothing, &mut log)
                }
                AttemptOutcome::NotRun(status) => self.handle_not_run(status, &mut log),
                AttemptOutcome::UnprovenRejection(status) => {
                    self.handle_unproven_rejection(status, &mut log)
                }
                AttemptOutcome::Unreached(detail) => {
                    self.handle_unreached(&backend, &detail, &mut log)
                }
            };
            if !self.may_have_run {
                reset_spent(&mut reservation);
                self.set_trial_may_have_run(false);
            }
            if next == NextStep::Finish {
                return self.finish(&mut log, reservation);
            }
        }
    }

    /// Returns whether the router, if it shuts down, goes on for as long as the request takes.
    fn is_allowed_in_grace_period(&self) -> bool {
        let grace_period = &self.gateway.grace_period;
        grace_period.allows(&self.route, self.outgoing_request.deadline)
    }

    /// Chooses the next backend server and counts it as tried.
    pub(super) fn choose_backend(&mut self, log: &mut RequestLog) -> Option<(Arc<Backend>, u64)> {
        let query = BackendQuery {
            service: &self.service,
            prompt_tokens: self.caller_request.tokens.map_or(0, |tokens| tokens.prompt),
            prompt: &self.caller_request.prompt,
            version: self.version.as_ref(),
            random: rand::random(),
        };
        let now_ms = self.gateway.now_ms();
        if !self.is_sendable(now_ms) {
            self.reason = Reason::Quarantined;
            return None;
        }
        let chosen = self.gateway.backends.choose(&query, &self.tried, now_ms)?;
        let id = &chosen.0.entry.id;
        log.add_attempt(&chosen.0.entry);
        self.tried.push(id.clone());
        Some(chosen)
    }

    /// Returns the time at which the next attempt is given up.
    ///
    /// This is the request's deadline unless the request is retryable, has attempts left and its
    /// route has a latency objective.
    pub(super) fn attempt_deadline(&self) -> Instant {
        let deadline = self.outgoing_request.deadline;
        let is_last = self.sent_count + 1 >= self.route.attempts_max;
        if !self.route.is_retryable() || is_last || self.route.latency_objective_ms == 0 {
            return deadline;
        }
        let timeout =
            Duration::from_millis(self.route.latency_objective_ms * ATTEMPT_TIMEOUT_FACTOR);
        deadline.min(Instant::now() + timeout)
    }

    /// Returns whether a backend server that was not tried yet takes work now, or by the end of its
    /// pause within `wait`.
    pub(super) fn has_untried_backend_within(&self, wait: Duration) -> bool {
        let now_ms = self.gateway.now_ms();
        self.is_sendable(now_ms)
            && self.gateway.backends.has_usable_backend(
                &self.service,
                self.version.as_ref(),
                &self.tried,
                now_ms.saturating_add(millis(wait)),
            )
    }

    /// Allows another attempt at a backend server that rejected the request and has asked for a pause.
    pub(super) fn allow_after_pause(&mut self, backend: &Backend) {
        if backend.availability.pause_ms(self.gateway.now_ms()) > 0 {
            self.tried.retain(|id| *id != backend.entry.id);
        }
    }

    /// Returns whether the request may be sent again, and if so, uses one of the service's retries.
    pub(super) fn acquire_retry(&self) -> bool {
        self.sent_count < self.route.attempts_max
            && Instant::now() < self.outgoing_request.deadline
            && !self.gateway.grace_period.has_ended()
            && self.gateway.try_retry(&self.service)
    }

    /// Counts an attempt in which the request was sent.
    pub(super) fn count_sent(&mut self) {
        self.sent_count += 1;
    }

    /// Logs a failed attempt and counts it as a failure of the backend server.
    pub(super) fn record_failure(
        &self,
        backend: &Backend,
        detail: &str,
        progress: AnswerProgress,
        log: &mut RequestLog,
    ) {
        log.set_failure(detail);
        log.set_progress(progress, &self.caller_request.prompt);
        self.gateway
            .backends
            .record_failure(backend, self.gateway.now_ms());
    }

    /// Returns the time by the router's clock at which a request was sent.
    pub(super) fn sent_at_ms(&self, in_flight: &InFlight) -> u64 {
        let now_ms = self.gateway.now_ms();
        now_ms.saturating_sub(millis(in_flight.elapsed()))
    }

    /// Records that an answer to this request, sent at `sent_at_ms`, was completed.
    pub(super) fn record_completion(&self, sent_at_ms: u64) {
        record_completion(&self.gateway, &self.parts, sent_at_ms);
    }

    /// Counts the prompt as spent.
    ///
    /// It is called before each attempt, since the request may run from then on. If the caller
    /// closes its connection, it is unknown whether the request ran, so the prompt stays spent.
    fn count_prompt_spent(&self, reservation: &mut Option<Reservation>) {
        if let (Some(reservation), Some(tokens)) = (reservation, self.caller_request.tokens) {
            reservation.set_spent(tokens.prompt);
        }
    }

    /// Reads a complete answer and decides whether it is delivered.
    async fn receive_whole(
        &mut self,
        backend: &Backend,
        started: StartedAnswer,
        log: &mut RequestLog,
    ) -> NextStep {
        let sent_at_ms = self.sent_at_ms(&started.in_flight);
        let deadline = self.outgoing_request.deadline;
        let buffer = self.memory.open_answer();
        let Some(answer) = read_whole(&self.gateway, started, deadline, buffer).await else {
            self.suspect_crash(backend, AnswerProgress::Head);
            let detail = "the answer broke off";
            return self.handle_lost(backend, detail, AnswerProgress::Head, log);
        };
        self.record_completion(sent_at_ms);
        let now_ms = self.gateway.now_ms();
        let status = answer.head.status;
        let failed = status.is_server_error();
        if failed {
            log.set_failure("the backend server answered with a 5xx status");
            self.gateway.backends.record_failure(backend, now_ms);
        } else {
            self.gateway.backends.record_success(backend, now_ms);
        }
        self.sent_count += 1;
        self.may_have_run = true;
        if promises_not_run(status) && !self.route.is_retryable() {
            self.reason = Reason::AnswerLost;
            log.set_failure(&format!(
                "status {} of a request that may have run",
                status.as_u16()
            ));
            return NextStep::Finish;
        }
        self.answer = Some(answer);
        // Another backend server may answer without a failure.
        if failed && self.route.is_retryable() && self.acquire_retry() {
            NextStep::Retry
        } else {
            NextStep::Finish
        }
    }

    /// Handles an attempt without a valid answer, which may have run.
    fn handle_lost(
        &mut self,
        backend: &Backend,
        detail: &str,
        progress: AnswerProgress,
        log: &mut RequestLog,
    ) -> NextStep {
        self.record_failure(backend, detail, progress, log);
        self.sent_count += 1;
        self.may_have_run = true;
        self.reason = if Instant::now() >= self.outgoing_request.deadline {
            Reason::Timeout
        } else {
            Reason::AnswerLost
        };
        if self.route.is_retryable() && self.acquire_retry() {
            NextStep::Retry
        } else {
            NextStep::Finish
        }
    }

    /// Handles a rejection by the backend server, which has not run the request.
    fn handle_not_run(&mut self, status: StatusCode, log: &mut RequestLog) -> NextStep {
        log.set_failure(&format!(
            "rejected without a run, status {}",
            status.as_u16()
        ));
        self.sent_count += 1;
        if !self.may_have_run {
            self.reason = Reason::Rejected;
        }
        if self.acquire_retry() {
            NextStep::Retry
        } else {
            NextStep::Finish
        }
    }

    /// Handles a rejection that may be a copy of an earlier one; this request may have run.
    fn handle_unproven_rejection(&mut self, status: StatusCode, log: &mut RequestLog) -> NextStep {
        log.set_failure(&format!(
            "rejected without an identifier on a connection used before, status {}",
            status.as_u16()
        ));
        self.sent_count += 1;
        self.may_have_run = true;
        self.reason = Reason::AnswerLost;
        if self.route.is_retryable() && self.acquire_retry() {
            NextStep::Retry
        } else {
            NextStep::Finish
        }
    }

    /// Handles an attempt in which no byte was sent; it does not count towards the route's limit.
    fn handle_unreached(
        &mut self,
        backend: &Backend,
        detail: &str,
        log: &mut RequestLog,
    ) -> NextStep {
        self.record_failure(backend, detail, AnswerProgress::Nothing, log);
        self.connect_failures += 1;
        if self.connect_failures < CONNECT_FAILURES_MAX {
            NextStep::Retry
        } else {
            NextStep::Finish
        }
    }
}

/// Returns whether callers take a status for the statement that their request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Counts nothing as spent, since no backend server has run the request.
fn reset_spent(reservation: &mut Option<Reservation>) {
    if let Some(reservation) = reservation {
        reservation.set_spent(0);
    }
}
