//! The processing of one request at a router.
//!
//! The router admits the request, reserves its tokens, chooses a backend server, forwards the
//! response as it arrives, makes the bill durable, and only then marks the response as complete. A
//! request that is abandoned gets its final response at once.

use crate::{
    config::fleet::{Service, ServiceKind, Workspace},
    id::{BackendId, Incarnation, RequestId, Tokens},
    keys::key_client::RequestKey,
    memory::unread_answer::{UnreadAnswer, UnreadPart},
    peer::link::{Call, now_ms},
    peer::wire::{AnswerEnd, AnswerHead, FrameBody, SlicePart, Submit},
    process::router::Router,
    quarantine::crash_report::{AnswerProgress, SuspectRequest},
    quarantine::part_id::PartId,
    request::attempts::{AttemptFailure, AttemptResult, Attempts, attempt_result},
    request::body::HeldBody,
    request::delivery::Delivery,
    request::lost_request,
    request::permit::Permit,
    request::refusal::{Code, Outcome, Refusal},
    request::reservation::Reservation,
    request::router_admission::PermitRequest,
    request::run_outcome::{Receipt, failed_without_cost, lost_refusal},
    routing::route_tables::{ChosenBackend, Forecast},
};
use bytes::Bytes;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::mpsc;

/// The default `Retry-After` of a refusal.
pub(crate) const RETRY_AFTER_MS: u64 = 1000;

/// An authorized and validated request.
#[derive(Debug, Clone)]
pub(crate) struct RequestRun {
    /// Its identifier.
    pub(crate) id: RequestId,
    /// The workspace that pays.
    pub(crate) workspace: Arc<Workspace>,
    /// The service that is called.
    pub(crate) service: Arc<Service>,
    /// The hashes of the prompt's prefixes.
    pub(crate) prefix_hashes: Vec<u64>,
    /// The adapter of the model, if one is requested.
    pub(crate) adapter: Option<Arc<str>>,
    /// An upper estimate of the prompt tokens.
    pub(crate) prompt_tokens: u64,
    /// The maximum number of output tokens.
    pub(crate) cap_tokens: u64,
    /// The HTTP method for the backend server.
    pub(crate) method: Arc<str>,
    /// The path and query for the backend server.
    pub(crate) path: Arc<str>,
    /// The request body for the backend server.
    pub(crate) body: HeldBody,
    /// The caller's idempotency key.
    pub(crate) key: Option<Arc<str>>,
    /// Whether the request may run more than once.
    pub(crate) repeatable: bool,
    /// What has arrived of the answer for the caller.
    pub(crate) unread: Arc<UnreadAnswer>,
}

/// A part of the response to a caller, in order.
#[derive(Debug)]
pub(crate) enum ResponsePart {
    /// The status and content type.
    Head(AnswerHead),
    /// A part of the body, and its memory.
    Data(Bytes, Option<UnreadPart>),
    /// The response is complete and its bill is durable.
    Whole(Receipt),
    /// There is no complete response.
    Refused(Refusal),
}

impl RequestRun {
    /// Returns the parts of the request that may end backend servers: the prefixes of its prompt, and
    /// the whole request of this workspace.
    pub(crate) fn quarantine_parts(&self) -> Vec<PartId> {
        let mut parts = Vec::with_capacity(self.prefix_hashes.len() + 1);
        for hash in &self.prefix_hashes {
            parts.push(PartId::of_text(*hash));
        }
        parts.push(self.quarantine_id());
        parts
    }

    /// Describes the request as one under which a backend server has ended.
    pub(crate) fn suspect(&self) -> SuspectRequest {
        let (request, parts) = (self.quarantine_id(), self.quarantine_parts());
        SuspectRequest::new(request, &parts, AnswerProgress::Head)
    }

    fn quarantine_id(&self) -> PartId {
        PartId::of_request(&[
            self.workspace.id.as_str().as_bytes(),
            self.service.id.as_str().as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            self.body.bytes(),
        ])
    }
}

/// An attempt to run a request, submitted to a sidecar.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) address: SocketAddr,
    pub(crate) sidecar: Incarnation,
    pub(crate) sidecar_zone: Arc<str>,
    pub(crate) submitted_at_ms: u64,
    pub(crate) forecast: Forecast,
    pub(crate) call: Call,
}

/// How an attempt ended.
pub(crate) enum AttemptEnd {
    /// The sidecar reported the end of the run.
    End(AnswerEnd),
    /// The backend server did not run the request; another may be tried.
    NotRun(Refusal),
    /// The request did not reach the backend server; another may be tried.
    Refused(Refusal),
    /// The sidecar can't be reached, was replaced, or no longer knows the request.
    Lost,
}

/// Why a request has no reported end.
pub(crate) enum RunError {
    /// It certainly did not run and will not.
    NotRun(Refusal),
    /// The connection to its sidecar was lost during this attempt.
    Lost(Box<Attempt>),
}

impl Router {
    /// Spawns a task that runs a request and sends the response to `out`.
    pub(crate) fn spawn_request(
        self: &Arc<Self>,
        run: RequestRun,
        out: mpsc::Sender<ResponsePart>,
    ) {
        let router = Arc::clone(self);
        tokio::spawn(async move {
            let _in_flight_guard = router.in_flight.enter();
            let last = match router.run(&run, &out).await {
                Ok(receipt) => ResponsePart::Whole(receipt),
                Err(refusal) => {
                    count_refusal(&refusal);
                    if refusal.outcome == Outcome::NotRun {
                        router.bills.abandon(run.id);
                    }
                    ResponsePart::Refused(refusal)
                }
            };
            if out.send(last).await.is_err() {
                log::debug!(
                    "the caller of request {} disconnected before the end of the response",
                    run.id
                );
            }
        });
    }

    async fn run(
        self: &Arc<Self>,
        run: &RequestRun,
        out: &mpsc::Sender<ResponsePart>,
    ) -> Result<Receipt, Refusal> {
        let deadline = Instant::now() + Duration::from_millis(run.service.timeout_ms);
        self.check_accepts_work(run)?;
        self.quarantine.admit(&run.quarantine_parts())?;
        if let Some(key) = RequestKey::of(run) {
            return self.run_keyed(run, key, out).await;
        }
        let (permit, reservation) = self.admit(run, deadline, out).await?;
        let mut delivery = Delivery::new(out.clone());
        match self
            .run_reserved(run, &reservation, deadline, &mut delivery)
            .await
        {
            Ok((attempt, end)) => {
                permit.finish(end.prompt_tokens + end.completion_tokens, end.whole);
                self.close(run, reservation, &attempt, &end).await
            }
            Err(RunError::NotRun(refusal)) => {
                self.settle(reservation, Tokens::ZERO);
                Err(refusal)
            }
            Err(RunError::Lost(attempt)) => {
                let refusal = lost_refusal(&attempt);
                let router = Arc::clone(self);
                let (address, sidecar) = (attempt.address, attempt.sidecar);
                let run = run.clone();
                tokio::spawn(lost_request::settle_lost_request(
                    router,
                    run,
                    reservation,
                    address,
                    sidecar,
                ));
                Err(refusal)
            }
        }
    }

    /// Acquires a permit and reserves the tokens of a request.
    ///
    /// The permit is released while the request waits for tokens, as it would block other
    /// workspaces.
    pub(crate) async fn admit(
        &self,
        run: &RequestRun,
        deadline: Instant,
        out: &mpsc::Sender<ResponsePart>,
    ) -> Result<(Permit, Reservation), Refusal> {
        let budget = &run.workspace.budget;
        let tokens = Tokens(run.prompt_tokens + run.cap_tokens);
        let remaining = deadline.saturating_duration_since(Instant::now());
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let request = PermitRequest {
            service: &run.service,
            workspace: &run.workspace,
            tokens: tokens.0,
            deadline_ms: now_ms().saturating_add(remaining_ms),
        };
        let permit = self.admission.acquire(request, out).await?;
        if let Ok(reservation) = self.reserve_now(budget, tokens)? {
            return Ok((permit, reservation));
        }
        drop(permit);
        let reservation = self.reserve(budget, tokens, deadline).await?;
        match self.admission.acquire(request, out).await {
            Ok(permit) => Ok((permit, reservation)),
            Err(refusal) => {
                self.settle(reservation, Tokens::ZERO);
                Err(refusal)
            }
        }
    }

    fn check_accepts_work(&self, run: &RequestRun) -> Result<(), Refusal> {
        if self.is_draining() {
            let text = "this router is shutting down, ask another";
            return Err(Refusal::not_run(Code::ShuttingDown, text).with_retry_after(RETRY_AFTER_MS));
        }
        if !self.configuration.serves(&run.workspace) {
            let text = "the configuration can't be confirmed as current";
            return Err(Refusal::not_run(Code::Unconfirmed, text).with_retry_after(RETRY_AFTER_MS));
        }
        Ok(())
    }

    /// Submits the request to one backend server after another until an attempt succeeds or no
    /// retry is permitted.
    async fn run_reserved(
        self: &Arc<Self>,
        run: &RequestRun,
        reservation: &Reservation,
        deadline: Instant,
        delivery: &mut Delivery,
    ) -> Result<(Attempt, AnswerEnd), RunError> {
        let mut attempts = Attempts::default();
        let parts = run.quarantine_parts();
        loop {
            let may_resend =
                !attempts.ended_backend() || self.quarantine.may_resend(&run.suspect());
            if !may_resend || !self.quarantine.may_send(&parts) {
                let text = "backend servers end at this request or at prompts that begin like it";
                return attempts.give_up(Refusal::not_run(Code::Quarantined, text));
            }
            let chosen = match self.choose(run, &attempts.backends) {
                Ok(chosen) => chosen,
                Err(refusal) => return attempts.give_up(refusal),
            };
            attempts.backends.push(chosen.backend.clone());
            let submit = self.submit_message(run, reservation, deadline);
            let mut attempt = match self.submit(run, chosen, submit).await {
                Ok(attempt) => attempt,
                Err(refusal) => {
                    attempts.refused_count += 1;
                    attempts.last = Some(AttemptFailure::NotRun(refusal));
                    continue;
                }
            };
            delivery.begin(attempt.submitted_at_ms);
            let ended = self.deliver(run, &mut attempt, deadline, delivery).await;
            self.count_attempt(run, &attempt, &ended, delivery);
            match ended {
                AttemptEnd::End(end) if run.repeatable && failed_without_cost(&end) => {
                    attempts.reached_count += 1;
                    attempts.last = Some(AttemptFailure::Ran(attempt, end));
                }
                AttemptEnd::End(end) => return Ok((attempt, end)),
                AttemptEnd::NotRun(refusal) => {
                    attempts.reached_count += 1;
                    attempts.last = Some(AttemptFailure::NotRun(refusal));
                }
                AttemptEnd::Refused(refusal) => {
                    attempts.refused_count += 1;
                    attempts.last = Some(AttemptFailure::NotRun(refusal));
                }
                AttemptEnd::Lost => return Err(RunError::Lost(Box::new(attempt))),
            }
            if !self.wait_for_retry(run, &attempts, deadline).await {
                let text = "the request was tried as often as it may";
                return attempts.give_up(Refusal::not_run(Code::NoBackend, text));
            }
        }
    }

    /// Returns the message that submits a request to a sidecar.
    pub(crate) fn submit_message(
        &self,
        run: &RequestRun,
        reservation: &Reservation,
        deadline: Instant,
    ) -> Submit {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let mut parts = Vec::new();
        for part in &reservation.parts {
            parts.push(SlicePart {
                slice: part.slice.into(),
                grant: part.grant.into(),
                tokens: part.tokens.0,
            });
        }
        Submit {
            request: run.id.into(),
            workspace: run.workspace.id.to_string(),
            budget: reservation.budget.to_string(),
            parts,
            prompt_tokens: run.prompt_tokens,
            cap_tokens: run.cap_tokens,
            within_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            priority: u32::from(run.workspace.priority),
            method: run.method.to_string(),
            path: run.path.to_string(),
            body: run.body.bytes().clone(),
            model: run.service.kind == ServiceKind::Model,
            sidecar: 0,
            lowest_open: self
                .keys
                .lowest_retained_sequence(self.bills.logged_below()),
            key: None,
        }
    }

    /// Submits a request to the sidecar of the chosen backend server.
    ///
    /// # Errors
    ///
    /// Fails if the connection to the sidecar is closed; the request did not run then.
    pub(crate) async fn submit(
        &self,
        run: &RequestRun,
        chosen: ChosenBackend,
        mut submit: Submit,
    ) -> Result<Attempt, Refusal> {
        let ChosenBackend {
            backend,
            link,
            forecast,
        } = chosen;
        submit.sidecar = link.peer().incarnation;
        let submitted_at_ms = now_ms();
        let unread = Some(Arc::clone(&run.unread));
        let submit = FrameBody::Submit(submit);
        let call = match link.open_answer_call(submit, unread).await {
            Ok(call) => call,
            Err(error) => {
                log::info!(
                    "submitting request {} failed, another backend server may be tried: {error}",
                    run.id
                );
                let text = "the connection to the backend server closed";
                return Err(
                    Refusal::not_run(Code::NoBackend, text).with_retry_after(RETRY_AFTER_MS)
                );
            }
        };
        self.routes().submitted(run, &backend, submitted_at_ms);
        Ok(Attempt {
            backend,
            address: link.remote(),
            sidecar: link.peer_incarnation(),
            sidecar_zone: Arc::from(link.peer().zone.as_str()),
            submitted_at_ms,
            forecast,
            call,
        })
    }

    /// Records the result of an attempt for routing and for the retry budget.
    pub(crate) fn count_attempt(
        &self,
        run: &RequestRun,
        attempt: &Attempt,
        ended: &AttemptEnd,
        delivery: &Delivery,
    ) {
        let result = attempt_result(ended, delivery);
        self.routes()
            .attempt_ended(run, attempt, result, delivery.interval_ms());
        if result == AttemptResult::Success {
            self.admission.record_success(&run.service.id);
        }
        self.record_survival(run, attempt, ended);
    }
}

fn count_refusal(refusal: &Refusal) {
    let code = format!("{:?}", refusal.code);
    metrics::counter!("mallowpath_refusals_total", "code" => code).increment(1);
}
