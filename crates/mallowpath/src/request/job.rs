//! The processing of one request at a router.
//!
//! The router admits the request, reserves its tokens, chooses a backend server, forwards the
//! response as it arrives, makes the bill durable, and only then marks the response as complete. A
//! request that is abandoned gets its final response at once.

use crate::{
    backend_host::backend_client::end_code,
    billing::bill::{Bill, BillOutcome},
    config::fleet::{Service, ServiceKind, Workspace},
    id::{BackendId, Incarnation, RequestId, Tokens},
    keys::key_client::JobKey,
    peer::link::{Call, now_ms},
    peer::wire::{AnswerEnd, AnswerHead, FrameBody, SlicePart, Submit},
    process::router::Router,
    request::admission::PermitRequest,
    request::chat::Usage,
    request::delivery::Delivery,
    request::limbo,
    request::permit::Permit,
    request::refusal::{Code, Outcome, Refusal},
    request::reservation::Reservation,
    request::tries::{AttemptResult, Failed, Tries, attempt_result},
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
pub(crate) struct Job {
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
    pub(crate) body: Bytes,
    /// The caller's idempotency key.
    pub(crate) key: Option<Arc<str>>,
    /// Whether the request may run more than once.
    pub(crate) repeatable: bool,
}

/// A part of the response to a caller, in order.
#[derive(Debug)]
pub(crate) enum Output {
    /// The status and content type.
    Head(AnswerHead),
    /// A part of the body.
    Data(Bytes),
    /// The response is complete and its bill is durable.
    Whole(Receipt),
    /// There is no complete response.
    Refused(Refusal),
}

/// What was billed for a response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Receipt {
    /// The request that was billed; a retry with the same idempotency key gets the first request's
    /// id.
    pub(crate) request: RequestId,
    /// The token counts.
    pub(crate) usage: Usage,
}

impl Receipt {
    /// Returns the number of billed tokens.
    pub(crate) fn billed_tokens(&self) -> u64 {
        self.usage.prompt_tokens + self.usage.completion_tokens
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
pub(crate) enum Ended {
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
    pub(crate) fn spawn_request(self: &Arc<Self>, job: Job, out: mpsc::Sender<Output>) {
        let router = Arc::clone(self);
        tokio::spawn(async move {
            let _in_flight_guard = router.in_flight.enter();
            let last = match router.run(&job, &out).await {
                Ok(receipt) => Output::Whole(receipt),
                Err(refusal) => {
                    count_refusal(&refusal);
                    if refusal.outcome == Outcome::NotRun {
                        router.bills.abandon(job.id);
                    }
                    Output::Refused(refusal)
                }
            };
            if out.send(last).await.is_err() {
                log::debug!(
                    "the caller of request {} disconnected before the end of the response",
                    job.id
                );
            }
        });
    }

    async fn run(
        self: &Arc<Self>,
        job: &Job,
        out: &mpsc::Sender<Output>,
    ) -> Result<Receipt, Refusal> {
        let deadline = Instant::now() + Duration::from_millis(job.service.timeout_ms);
        self.check_accepts_work(job)?;
        if let Some(key) = JobKey::of(job) {
            return self.run_keyed(job, key, out).await;
        }
        let (permit, reservation) = self.admit(job, deadline, out).await?;
        let mut delivery = Delivery::new(out.clone());
        match self
            .run_reserved(job, &reservation, deadline, &mut delivery)
            .await
        {
            Ok((attempt, end)) => {
                permit.finish(end.prompt_tokens + end.completion_tokens, end.whole);
                self.close(job, reservation, &attempt, &end).await
            }
            Err(RunError::NotRun(refusal)) => {
                self.settle(reservation, Tokens::ZERO);
                Err(refusal)
            }
            Err(RunError::Lost(attempt)) => {
                let refusal = lost(&attempt);
                let router = Arc::clone(self);
                let (address, sidecar) = (attempt.address, attempt.sidecar);
                let job = job.clone();
                tokio::spawn(limbo::resolve(router, job, reservation, address, sidecar));
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
        job: &Job,
        deadline: Instant,
        out: &mpsc::Sender<Output>,
    ) -> Result<(Permit, Reservation), Refusal> {
        let budget = &job.workspace.budget;
        let tokens = Tokens(job.prompt_tokens + job.cap_tokens);
        let remaining = deadline.saturating_duration_since(Instant::now());
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let request = PermitRequest {
            service: &job.service,
            workspace: &job.workspace,
            tokens: tokens.0,
            deadline_ms: now_ms().saturating_add(remaining_ms),
        };
        let permit = self.admissions.enter(request, out).await?;
        if let Ok(reservation) = self.reserve_now(budget, tokens)? {
            return Ok((permit, reservation));
        }
        drop(permit);
        let reservation = self.reserve(budget, tokens, deadline).await?;
        match self.admissions.enter(request, out).await {
            Ok(permit) => Ok((permit, reservation)),
            Err(refusal) => {
                self.settle(reservation, Tokens::ZERO);
                Err(refusal)
            }
        }
    }

    fn check_accepts_work(&self, job: &Job) -> Result<(), Refusal> {
        if self.is_draining() {
            let text = "this router is shutting down, ask another";
            return Err(Refusal::not_run(Code::ShuttingDown, text).after(RETRY_AFTER_MS));
        }
        if !self.configuration.serves(&job.workspace) {
            let text = "the configuration can't be confirmed as current";
            return Err(Refusal::not_run(Code::Unconfirmed, text).after(RETRY_AFTER_MS));
        }
        Ok(())
    }

    /// Submits the request to one backend server after another until an attempt succeeds or no
    /// retry is permitted.
    async fn run_reserved(
        self: &Arc<Self>,
        job: &Job,
        reservation: &Reservation,
        deadline: Instant,
        delivery: &mut Delivery,
    ) -> Result<(Attempt, AnswerEnd), RunError> {
        let mut tries = Tries::default();
        loop {
            let chosen = match self.choose(job, &tries.backends) {
                Ok(chosen) => chosen,
                Err(refusal) => return tries.give_up(refusal),
            };
            tries.backends.push(chosen.backend.clone());
            let submit = self.submit_message(job, reservation, deadline);
            let mut attempt = match self.submit(job, chosen, submit).await {
                Ok(attempt) => attempt,
                Err(refusal) => {
                    tries.refused += 1;
                    tries.last = Some(Failed::NotRun(refusal));
                    continue;
                }
            };
            delivery.begin(attempt.submitted_at_ms);
            let ended = self.deliver(job, &mut attempt, deadline, delivery).await;
            self.count_attempt(job, &attempt, &ended, delivery);
            match ended {
                Ended::End(end) if job.repeatable && failed_without_cost(&end) => {
                    tries.reached += 1;
                    tries.last = Some(Failed::Ran(attempt, end));
                }
                Ended::End(end) => return Ok((attempt, end)),
                Ended::NotRun(refusal) => {
                    tries.reached += 1;
                    tries.last = Some(Failed::NotRun(refusal));
                }
                Ended::Refused(refusal) => {
                    tries.refused += 1;
                    tries.last = Some(Failed::NotRun(refusal));
                }
                Ended::Lost => return Err(RunError::Lost(Box::new(attempt))),
            }
            if !self.wait_for_retry(job, &tries, deadline).await {
                let text = "the request was tried as often as it may";
                return tries.give_up(Refusal::not_run(Code::NoBackend, text));
            }
        }
    }

    /// Returns the message that submits a request to a sidecar.
    pub(crate) fn submit_message(
        &self,
        job: &Job,
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
            request: job.id.into(),
            workspace: job.workspace.id.to_string(),
            budget: reservation.budget.to_string(),
            parts,
            prompt_tokens: job.prompt_tokens,
            cap_tokens: job.cap_tokens,
            within_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            priority: u32::from(job.workspace.priority),
            method: job.method.to_string(),
            path: job.path.to_string(),
            body: job.body.clone(),
            model: job.service.kind == ServiceKind::Model,
            sidecar: 0,
            lowest_open: self.keys.lowest_open(self.bills.logged_below()),
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
        job: &Job,
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
        let call = match link.open_call(FrameBody::Submit(submit)).await {
            Ok(call) => call,
            Err(error) => {
                log::info!(
                    "submitting request {} failed, another backend server may be tried: {error}",
                    job.id
                );
                let text = "the connection to the backend server closed";
                return Err(Refusal::not_run(Code::NoBackend, text).after(RETRY_AFTER_MS));
            }
        };
        self.routes().submitted(job, &backend, submitted_at_ms);
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
        job: &Job,
        attempt: &Attempt,
        ended: &Ended,
        delivery: &Delivery,
    ) {
        let result = attempt_result(ended, delivery);
        self.routes()
            .attempt_ended(job, attempt, result, delivery.interval_ms());
        if result == AttemptResult::Success {
            self.admissions.record_success(&job.service.id);
        }
    }

    /// Settles and bills a request whose end the sidecar reported.
    pub(crate) async fn close(
        self: &Arc<Self>,
        job: &Job,
        reservation: Reservation,
        attempt: &Attempt,
        end: &AnswerEnd,
    ) -> Result<Receipt, Refusal> {
        let bill = self.settle_bill(job, reservation, end);
        let bill_durable = self.replicate_bill(bill, attempt).await;
        receipt(job.id, end, bill_durable)
    }

    /// Releases the unspent part of a reservation and returns the bill of the request.
    pub(crate) fn settle_bill(&self, job: &Job, reservation: Reservation, end: &AnswerEnd) -> Bill {
        let bill = Bill {
            request: job.id,
            workspace: job.workspace.id.clone(),
            budget: reservation.budget.clone(),
            parts: reservation.parts.clone(),
            prompt_tokens: Tokens(end.prompt_tokens),
            completion_tokens: Tokens(end.completion_tokens),
            outcome: bill_outcome(end),
        }
        .charged();
        self.settle(reservation, bill.amount());
        bill
    }
}

/// Returns the outcome that the bill of an ended request records.
pub(crate) fn bill_outcome(end: &AnswerEnd) -> BillOutcome {
    match end.code.as_str() {
        "" => BillOutcome::Complete,
        end_code::STOPPED => BillOutcome::Cancelled,
        _ => BillOutcome::Cut,
    }
}

/// Returns whether a run failed without producing output or using tokens.
fn failed_without_cost(end: &AnswerEnd) -> bool {
    let cost = end.prompt_tokens + end.completion_tokens;
    end.code == end_code::FAILED && end.chunks == 0 && cost == 0
}

fn refusal_code(end: &AnswerEnd) -> Code {
    match end.code.as_str() {
        end_code::DEADLINE => Code::DeadlineExceeded,
        _ => Code::BackendFailed,
    }
}

/// Returns the receipt of a complete response with a durable bill.
///
/// # Errors
///
/// Fails if the response was cut off, or if its bill did not become durable in time.
pub(crate) fn receipt(
    request: RequestId,
    end: &AnswerEnd,
    bill_durable: bool,
) -> Result<Receipt, Refusal> {
    if !end.whole {
        let text = format!("the answer was cut off: {}", end.code);
        return Err(Refusal::ran(refusal_code(end), text));
    }
    if !bill_durable {
        let text = "the bill could not be made safe in time";
        return Err(Refusal::ran(Code::BillUnsafe, text).after(RETRY_AFTER_MS));
    }
    metrics::counter!("mallowpath_whole_answers_total").increment(1);
    let usage = Usage {
        prompt_tokens: end.prompt_tokens,
        completion_tokens: end.completion_tokens,
    };
    Ok(Receipt { request, usage })
}

#[cold]
pub(crate) fn lost(attempt: &Attempt) -> Refusal {
    let text = format!(
        "backend server {} was lost during the request",
        attempt.backend
    );
    Refusal::unknown(Code::BackendFailed, text)
}

fn count_refusal(refusal: &Refusal) {
    let code = format!("{:?}", refusal.code);
    metrics::counter!("mallowpath_refusals_total", "code" => code).increment(1);
}
