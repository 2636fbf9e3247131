//! The life of one request at a router.
//!
//! A request is admitted, its tokens are reserved, a backend server is chosen, the answer is handed on
//! as it comes, the bill is made safe, and only then the answer is declared whole. A request that is
//! given up gets its final answer at once.

use crate::{
    admission::Ask,
    bill::{Bill, BillOutcome},
    chat::Usage,
    engine::end_code,
    fleet::{Service, ServiceKind, Workspace},
    id::{BackendId, Incarnation, RequestId, Tokens},
    key_client::JobKey,
    limbo,
    link::{Call, now_ms},
    permit::Permit,
    refusal::{Code, Outcome, Refusal},
    reservation::Reservation,
    router::Router,
    routes::{Chosen, Forecast},
    tries::{AttemptResult, Failed, Tries, attempt_result},
    wire::{Attach, Body, Chunk, End, Head, SlicePart, Submit},
};
use bytes::Bytes;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::mpsc, time::timeout};

/// How long a router tries to attach to a request again whose connection died.
const REATTACH_MS: u64 = 5000;
/// The same for a request that may not run twice, whose caller is to hear soon that it is lost.
const REATTACH_ONCE_MS: u64 = 1000;
const REATTACH_PAUSE_MS: u64 = 50;
/// How long a sidecar may take to say that it stopped a request.
const STOP_MS: u64 = 2000;
/// When a caller may come back after a refusal that says nothing better.
pub(crate) const RETRY_AFTER_MS: u64 = 1000;

/// A checked request.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// Its identifier.
    pub(crate) id: RequestId,
    /// The workspace that pays.
    pub(crate) workspace: Arc<Workspace>,
    /// The service called.
    pub(crate) service: Arc<Service>,
    /// Hashes of the prompt's prefixes.
    pub(crate) prefix_hashes: Vec<u64>,
    /// The adapter that a model needs.
    pub(crate) adapter: Option<Arc<str>>,
    /// Upper estimate of the prompt's tokens.
    pub(crate) prompt_tokens: u64,
    /// Most output tokens.
    pub(crate) cap_tokens: u64,
    /// HTTP method for the backend server.
    pub(crate) method: Arc<str>,
    /// Path and query for the backend server.
    pub(crate) path: Arc<str>,
    /// Body for the backend server.
    pub(crate) body: Bytes,
    /// The caller's idempotency key.
    pub(crate) key: Option<Arc<str>>,
    /// Whether the request may run more than once.
    pub(crate) repeatable: bool,
}

/// What a caller's answer is made of, in order.
#[derive(Debug)]
pub(crate) enum Output {
    /// Status and content type.
    Head(Head),
    /// Data.
    Data(Bytes),
    /// The answer is whole and its bill is safe.
    Whole(Receipt),
    /// There is no whole answer.
    Refused(Refusal),
}

/// What was billed for an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Receipt {
    /// The request under which the answer was billed; a retry with the same key shows the first one.
    pub(crate) request: RequestId,
    /// Token counts.
    pub(crate) usage: Usage,
}

impl Receipt {
    /// Returns the tokens billed.
    pub(crate) fn billed_tokens(&self) -> u64 {
        self.usage.prompt_tokens + self.usage.completion_tokens
    }
}

/// A submit that a sidecar took.
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
    /// The sidecar said how.
    End(End),
    /// The backend server did not run it; another may be tried.
    NotRun(Refusal),
    /// It did not reach the backend server; another may be tried.
    Refused(Refusal),
    /// The sidecar can't be reached or was replaced.
    Lost,
}

/// Why a request has no end.
pub(crate) enum NoEnd {
    /// It surely did not run and will not.
    NotRun(Refusal),
    /// Its sidecar was lost during this attempt.
    Lost(Box<Attempt>),
}

/// What one request knows while its answer is handed on.
pub(crate) struct Delivery {
    pub(crate) out: mpsc::Sender<Output>,
    pub(crate) next_chunk: u64,
    pub(crate) caller_left: bool,
    /// Whether another request's run is handed on, which goes on without this request.
    pub(crate) attached: bool,
    submitted_at_ms: u64,
    /// Time to the first chunk of the current attempt.
    first_chunk_ms: Option<u64>,
    /// Time to its last one.
    last_chunk_ms: u64,
    /// Chunks of the current attempt.
    pub(crate) chunks: u64,
    /// HTTP status of the current attempt.
    pub(crate) status: u32,
}

impl Router {
    /// Runs a request and sends its answer to `out`.
    pub(crate) fn launch(self: &Arc<Self>, job: Job, out: mpsc::Sender<Output>) {
        let router = Arc::clone(self);
        tokio::spawn(async move {
            let _running = router.running.enter();
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
                log::debug!("the caller of {} left before its end", job.id);
            }
        });
    }

    async fn run(
        self: &Arc<Self>,
        job: &Job,
        out: &mpsc::Sender<Output>,
    ) -> Result<Receipt, Refusal> {
        let deadline = Instant::now() + Duration::from_millis(job.service.timeout_ms);
        self.check_accepting(job)?;
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
            Err(NoEnd::NotRun(refusal)) => {
                self.settle(reservation, Tokens::ZERO);
                Err(refusal)
            }
            Err(NoEnd::Lost(attempt)) => {
                let refusal = lost(&attempt);
                let router = Arc::clone(self);
                let (address, sidecar) = (attempt.address, attempt.sidecar);
                let job = job.clone();
                tokio::spawn(limbo::resolve(router, job, reservation, address, sidecar));
                Err(refusal)
            }
        }
    }

    /// Gets a request its permit and its tokens.
    ///
    /// A permit is not held while tokens are awaited: it would take a place from other workspaces.
    pub(crate) async fn admit(
        &self,
        job: &Job,
        deadline: Instant,
        out: &mpsc::Sender<Output>,
    ) -> Result<(Permit, Reservation), Refusal> {
        let budget = &job.workspace.budget;
        let tokens = Tokens(job.prompt_tokens + job.cap_tokens);
        let left = deadline.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let ask = Ask {
            service: &job.service,
            workspace: &job.workspace,
            tokens: tokens.0,
            deadline_ms: now_ms().saturating_add(left_ms),
        };
        let permit = self.admissions.enter(ask, out).await?;
        if let Ok(reservation) = self.reserve_now(budget, tokens)? {
            return Ok((permit, reservation));
        }
        drop(permit);
        let reservation = self.reserve(budget, tokens, deadline).await?;
        match self.admissions.enter(ask, out).await {
            Ok(permit) => Ok((permit, reservation)),
            Err(refusal) => {
                self.settle(reservation, Tokens::ZERO);
                Err(refusal)
            }
        }
    }

    fn check_accepting(&self, job: &Job) -> Result<(), Refusal> {
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

    /// Tries backend servers until one takes the request and its answer ends.
    async fn run_reserved(
        self: &Arc<Self>,
        job: &Job,
        reservation: &Reservation,
        deadline: Instant,
        delivery: &mut Delivery,
    ) -> Result<(Attempt, End), NoEnd> {
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
                Ended::Lost => return Err(NoEnd::Lost(Box::new(attempt))),
            }
            if !self.may_try_again(job, &tries, deadline).await {
                let text = "the request was tried as often as it may";
                return tries.give_up(Refusal::not_run(Code::NoBackend, text));
            }
        }
    }

    pub(crate) fn submit_message(
        &self,
        job: &Job,
        reservation: &Reservation,
        deadline: Instant,
    ) -> Submit {
        let left = deadline.saturating_duration_since(Instant::now());
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
            within_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
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

    pub(crate) async fn submit(
        &self,
        job: &Job,
        chosen: Chosen,
        mut submit: Submit,
    ) -> Result<Attempt, Refusal> {
        let Chosen {
            backend,
            link,
            forecast,
        } = chosen;
        submit.sidecar = link.peer().incarnation;
        let submitted_at_ms = now_ms();
        let call = match link.open(Body::Submit(submit)).await {
            Ok(call) => call,
            Err(error) => {
                log::info!("request {} was not sent: {error}", job.id);
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

    /// Hands an answer on until its end, over as many connections as it takes.
    pub(crate) async fn deliver(
        &self,
        job: &Job,
        attempt: &mut Attempt,
        deadline: Instant,
        delivery: &mut Delivery,
    ) -> Ended {
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let next = tokio::select! {
                next = timeout(left, attempt.call.next()) => next,
                () = delivery.out.closed(), if !delivery.caller_left => {
                    delivery.caller_left = true;
                    if job.key.is_none() {
                        return self.stop(job, attempt).await;
                    }
                    continue;
                }
            };
            match next {
                Ok(Some(Body::Head(head))) => {
                    delivery.status = head.status;
                    delivery.send(Output::Head(head)).await;
                }
                Ok(Some(Body::Chunk(chunk))) => {
                    if let Some(first_ms) = delivery.first_chunk(&chunk)
                        && !delivery.attached
                    {
                        self.first_token(job, attempt, first_ms);
                    }
                    if !delivery.take(chunk).await && !self.reattach(job, attempt, delivery).await {
                        return Ended::Lost;
                    }
                }
                Ok(Some(Body::End(end))) if !end.whole || end.chunks == delivery.next_chunk => {
                    attempt.call.finish();
                    return ended(end);
                }
                Ok(Some(Body::Refused(refused))) => {
                    attempt.call.finish();
                    let text = format!("the backend server refused: {}", refused.code);
                    let refusal = Refusal::not_run(Code::BackendRefused, text);
                    return Ended::Refused(refusal.after(refused.retry_after_ms));
                }
                Ok(Some(Body::CallFailed(failed))) => {
                    log::warn!(
                        "{} can't say how {} went: {}",
                        attempt.address,
                        job.id,
                        failed.code
                    );
                    attempt.call.finish();
                    return Ended::Lost;
                }
                Ok(_) => {
                    if !self.reattach(job, attempt, delivery).await {
                        return Ended::Lost;
                    }
                }
                Err(_) if delivery.attached => return Ended::Lost,
                Err(_) => return self.stop(job, attempt).await,
            }
        }
    }

    /// Takes in how an attempt ended, for routing and retries.
    pub(crate) fn count_attempt(
        &self,
        job: &Job,
        attempt: &Attempt,
        ended: &Ended,
        delivery: &Delivery,
    ) {
        let result = attempt_result(ended, delivery);
        self.routes()
            .ended(job, attempt, result, delivery.interval_ms());
        if result == AttemptResult::Success {
            self.admissions.succeeded(&job.service.id);
        }
    }

    fn first_token(&self, job: &Job, attempt: &Attempt, first_ms: u64) {
        self.routes().first_token(job, attempt, first_ms);
        let unqueued_ms = attempt.forecast.unqueued_ms;
        self.admissions
            .first_token(&job.service, first_ms, unqueued_ms);
    }

    /// Attaches to the same run on a new connection.
    async fn reattach(&self, job: &Job, attempt: &mut Attempt, delivery: &Delivery) -> bool {
        metrics::counter!("mallowpath_reattach_total").increment(1);
        let wait_ms = if job.repeatable {
            REATTACH_MS
        } else {
            REATTACH_ONCE_MS
        };
        let give_up = Instant::now() + Duration::from_millis(wait_ms);
        while Instant::now() < give_up {
            let attach = Body::Attach(Attach {
                request: job.id.into(),
                from_chunk: delivery.next_chunk,
                sidecar: attempt.sidecar.0,
                wait_ms: 0,
                with_bill: delivery.attached,
            });
            if let Ok(link) = self.dialer.link(attempt.address).await {
                if link.peer_incarnation() != attempt.sidecar {
                    return false;
                }
                if let Ok(call) = link.open(attach).await {
                    attempt.call = call;
                    return true;
                }
            }
            tokio::time::sleep(Duration::from_millis(REATTACH_PAUSE_MS)).await;
        }
        false
    }

    /// Stops a run and returns how it ended.
    async fn stop(&self, job: &Job, attempt: &mut Attempt) -> Ended {
        attempt.call.finish();
        let stop = Body::Stop(crate::wire::Stop {
            request: job.id.into(),
        });
        let Ok(link) = self.dialer.link(attempt.address).await else {
            return Ended::Lost;
        };
        if link.peer_incarnation() != attempt.sidecar {
            return Ended::Lost;
        }
        match link.ask(stop, Duration::from_millis(STOP_MS)).await {
            Ok(Body::End(end)) => ended(end),
            Ok(Body::Refused(_)) => {
                let text = "the request's time was over before it ran";
                Ended::Refused(Refusal::not_run(Code::DeadlineExceeded, text))
            }
            Ok(other) => {
                log::warn!("{} answered a stop with {other:?}", attempt.address);
                Ended::Lost
            }
            Err(error) => {
                log::warn!("{error}");
                Ended::Lost
            }
        }
    }

    /// Bills a request whose sidecar said how it ended.
    pub(crate) async fn close(
        self: &Arc<Self>,
        job: &Job,
        reservation: Reservation,
        attempt: &Attempt,
        end: &End,
    ) -> Result<Receipt, Refusal> {
        let bill = self.settle_bill(job, reservation, end);
        let safe = self.make_safe(bill, attempt).await;
        receipt(job.id, end, safe)
    }

    /// Frees what a request did not spend and returns its bill.
    pub(crate) fn settle_bill(&self, job: &Job, reservation: Reservation, end: &End) -> Bill {
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

/// Returns how a bill says that a request ended.
pub(crate) fn bill_outcome(end: &End) -> BillOutcome {
    match end.code.as_str() {
        "" => BillOutcome::Complete,
        end_code::STOPPED => BillOutcome::Cancelled,
        _ => BillOutcome::Cut,
    }
}

impl Delivery {
    /// Begins to hand an answer on.
    pub(crate) fn new(out: mpsc::Sender<Output>) -> Self {
        Self {
            out,
            next_chunk: 0,
            caller_left: false,
            attached: false,
            submitted_at_ms: 0,
            first_chunk_ms: None,
            last_chunk_ms: 0,
            chunks: 0,
            status: 0,
        }
    }

    /// Begins an attempt that was submitted at `submitted_at_ms`.
    pub(crate) fn begin(&mut self, submitted_at_ms: u64) {
        self.submitted_at_ms = submitted_at_ms;
        self.first_chunk_ms = None;
        self.chunks = 0;
        self.status = 0;
    }

    /// Returns the time to the first chunk of the attempt, when `chunk` is that one.
    fn first_chunk(&mut self, chunk: &Chunk) -> Option<u64> {
        if self.first_chunk_ms.is_some() || chunk.index != self.next_chunk {
            return None;
        }
        self.first_chunk_ms = Some(now_ms().saturating_sub(self.submitted_at_ms));
        self.first_chunk_ms
    }

    /// Returns the mean time between the chunks of the attempt.
    pub(crate) fn interval_ms(&self) -> Option<f64> {
        let first_ms = self.first_chunk_ms?;
        if self.chunks < 2 {
            return None;
        }
        let span_ms = self.last_chunk_ms.saturating_sub(first_ms);
        Some(span_ms as f64 / (self.chunks - 1) as f64)
    }

    /// Takes a chunk; returns false when one before it is missing.
    async fn take(&mut self, chunk: Chunk) -> bool {
        if chunk.index > self.next_chunk {
            return false;
        }
        if chunk.index < self.next_chunk {
            // A repeated chunk of an earlier connection.
            return true;
        }
        self.next_chunk += 1;
        self.chunks += 1;
        self.last_chunk_ms = now_ms().saturating_sub(self.submitted_at_ms);
        self.send(Output::Data(chunk.data)).await;
        true
    }

    async fn send(&mut self, output: Output) {
        if !self.caller_left && self.out.send(output).await.is_err() {
            log::debug!("a caller left during its answer");
        }
    }
}

fn ended(end: End) -> Ended {
    if end.ran {
        return Ended::End(end);
    }
    let text = format!("the backend server did not take the request: {}", end.code);
    Ended::NotRun(Refusal::not_run(Code::BackendRefused, text).after(RETRY_AFTER_MS))
}

/// Returns whether a run failed before it produced or cost anything.
fn failed_without_cost(end: &End) -> bool {
    let cost = end.prompt_tokens + end.completion_tokens;
    end.code == end_code::FAILED && end.chunks == 0 && cost == 0
}

fn end_refusal(end: &End) -> Code {
    match end.code.as_str() {
        end_code::DEADLINE => Code::DeadlineExceeded,
        _ => Code::BackendFailed,
    }
}

/// Returns what a caller is told at the end of an answer, once its bill is safe or did not become so.
pub(crate) fn receipt(request: RequestId, end: &End, safe: bool) -> Result<Receipt, Refusal> {
    if !end.whole {
        let text = format!("the answer was cut off: {}", end.code);
        return Err(Refusal::ran(end_refusal(end), text));
    }
    if !safe {
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
