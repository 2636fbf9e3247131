//! Execution of requests that have an idempotency key.
//!
//! The key is bound to the request before the request is submitted. A request whose key is already
//! bound attaches to the run that holds the key and returns that run's answer, which is billed
//! once.

use crate::{
    billing::bill::{Bill, BillRecord},
    id::{BackendId, RequestId, Tokens},
    keys::key_client::{BindingStatus, RequestKey},
    keys::key_records::KeyEntry,
    peer::link::{Link, now_ms},
    peer::wire::{AnswerEnd, Attach, FrameBody, SubmitIdempotencyKey},
    process::router::Router,
    request::delivery::Delivery,
    request::lost_request,
    request::permit::Permit,
    request::refusal::{Code, Refusal},
    request::request_run::{Attempt, AttemptEnd, RETRY_AFTER_MS, RequestRun, ResponsePart},
    request::reservation::Reservation,
    request::run_outcome::{Receipt, lost_refusal, receipt},
    routing::route_tables::{ChosenBackend, Forecast},
};
use prost::Message;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::mpsc;

/// How long a router tries to connect to the sidecar of a bound request.
const SIDECAR_CONNECT_TIMEOUT_MS: u64 = 1000;
/// Pause between attempts to connect to the sidecar of a bound request.
const SIDECAR_CONNECT_PAUSE_MS: u64 = 50;
/// How long a sidecar waits for the submission of a request to which a router attaches, as its key
/// may have been bound just before.
const SUBMIT_WAIT_MS: u64 = 300;

/// The progress of a request with a key.
struct KeyedRequest {
    /// The request, with its current identifier.
    run: RequestRun,
    key: RequestKey,
    deadline: Instant,
    /// The backend servers that were chosen so far.
    tried_backends: Vec<BackendId>,
    /// A binding to replace, whose request certainly never runs.
    displaced: Option<KeyEntry>,
    /// Whether the key may be bound to `run.id`.
    may_be_bound: bool,
    /// The binding that was last requested.
    requested: Option<KeyEntry>,
    /// Whether the request ran or may have run under `run.id`.
    may_have_run: bool,
    /// The refusal of the last attempt that did not run.
    last_refusal: Option<Refusal>,
}

/// The outcome of one attempt to get the answer.
enum StepOutcome {
    Done(Result<Receipt, Refusal>),
    /// The request bound to the key never runs, so the key can be bound to another one.
    Retry,
}

/// The outcome of attaching to a run.
enum AttachOutcome {
    Ended(Box<Attempt>, AnswerEnd),
    NeverRan,
    Lost,
}

impl Router {
    /// Runs a request with a key, or attaches it to the run that holds the key.
    pub(crate) async fn run_keyed(
        self: &Arc<Self>,
        run: &RequestRun,
        key: RequestKey,
        out: &mpsc::Sender<ResponsePart>,
    ) -> Result<Receipt, Refusal> {
        let mut keyed = KeyedRequest {
            run: run.clone(),
            key,
            deadline: Instant::now() + Duration::from_millis(run.service.timeout_ms),
            tried_backends: Vec::new(),
            displaced: None,
            may_be_bound: false,
            requested: None,
            may_have_run: false,
            last_refusal: None,
        };
        let mut delivery = Delivery::new(out.clone());
        let result = loop {
            match self.attempt_keyed_request(&mut keyed, &mut delivery).await {
                StepOutcome::Done(result) => break result,
                StepOutcome::Retry if Instant::now() < keyed.deadline => {}
                StepOutcome::Retry => {
                    let text = "the request's time was over before it ran";
                    break Err(Refusal::not_run(Code::DeadlineExceeded, text));
                }
            }
        };
        self.release_unused_id(&keyed);
        result
    }

    async fn attempt_keyed_request(
        self: &Arc<Self>,
        keyed: &mut KeyedRequest,
        delivery: &mut Delivery,
    ) -> StepOutcome {
        let admitted = self.admit(&keyed.run, keyed.deadline, &delivery.out).await;
        let (permit, reservation) = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => return self.attach_or_refuse(keyed, refusal, delivery).await,
        };
        let chosen = match self.choose(&keyed.run, &keyed.tried_backends) {
            Ok(chosen) => chosen,
            Err(refusal) => {
                self.settle(reservation, Tokens::ZERO);
                return self.attach_or_refuse(keyed, refusal, delivery).await;
            }
        };
        let requested = keyed.entry(&chosen.link);
        let displaced = keyed.displaced.take();
        let may_have_been_bound = std::mem::replace(&mut keyed.may_be_bound, true);
        keyed.requested = Some(requested.clone());
        let bind = self.bind_key(&keyed.key, &requested, displaced.as_ref());
        let (status, repeated) = bind.await;
        match status {
            BindingStatus::Own(submit_key) => {
                keyed.tried_backends.push(chosen.backend.clone());
                let admitted = (permit, reservation);
                self.run_bound(keyed, admitted, chosen, submit_key, delivery)
                    .await
            }
            status => {
                self.settle(reservation, Tokens::ZERO);
                if let BindingStatus::Other { .. } = status {
                    keyed.may_be_bound = may_have_been_bound || repeated;
                    if keyed.may_be_bound {
                        // The key may have been bound to this identifier and then rebound, so the
                        // identifier is not used again.
                        self.assign_new_id(keyed);
                    }
                }
                self.answer(keyed, status, delivery).await
            }
        }
    }

    /// Submits a request whose key is bound to it.
    async fn run_bound(
        self: &Arc<Self>,
        keyed: &mut KeyedRequest,
        (permit, reservation): (Permit, Reservation),
        chosen: ChosenBackend,
        submit_key: SubmitIdempotencyKey,
        delivery: &mut Delivery,
    ) -> StepOutcome {
        let entry = keyed.entry(&chosen.link);
        let mut submit = self.submit_message(&keyed.run, &reservation, keyed.deadline);
        submit.key = Some(submit_key);
        let mut attempt = match self.submit(&keyed.run, chosen, submit).await {
            Ok(attempt) => attempt,
            Err(refusal) => return self.prepare_retry(keyed, reservation, entry, refusal),
        };
        delivery.begin(attempt.submitted_at_ms);
        let deadline = keyed.deadline;
        let ended = self
            .deliver(&keyed.run, &mut attempt, deadline, delivery)
            .await;
        self.count_attempt(&keyed.run, &attempt, &ended, delivery);
        match ended {
            AttemptEnd::End(end) => {
                keyed.may_have_run = true;
                permit.finish(end.prompt_tokens + end.completion_tokens, end.whole);
                self.notify_key_finished(keyed.key, &entry);
                let closed = self.close(&keyed.run, reservation, &attempt, &end).await;
                StepOutcome::Done(closed)
            }
            AttemptEnd::NotRun(refusal) | AttemptEnd::Refused(refusal) => {
                self.prepare_retry(keyed, reservation, entry, refusal)
            }
            AttemptEnd::Lost => {
                keyed.may_have_run = true;
                let refusal = lost_refusal(&attempt);
                let (router, run) = (Arc::clone(self), keyed.run.clone());
                let (address, sidecar) = (attempt.address, attempt.sidecar);
                tokio::spawn(lost_request::settle_lost_request(
                    router,
                    run,
                    reservation,
                    address,
                    sidecar,
                ));
                StepOutcome::Done(Err(refusal))
            }
        }
    }

    /// Releases the reservation of a request that certainly does not run under its binding, and
    /// prepares another attempt.
    fn prepare_retry(
        &self,
        keyed: &mut KeyedRequest,
        reservation: Reservation,
        entry: KeyEntry,
        refusal: Refusal,
    ) -> StepOutcome {
        self.settle(reservation, Tokens::ZERO);
        keyed.displaced = Some(entry);
        keyed.last_refusal = Some(refusal);
        StepOutcome::Retry
    }

    /// Answers a request that can't run now from the run of another request with its key, if there
    /// is one, else with the refusal.
    async fn attach_or_refuse(
        self: &Arc<Self>,
        keyed: &mut KeyedRequest,
        refusal: Refusal,
        delivery: &mut Delivery,
    ) -> StepOutcome {
        let refusal = keyed.last_refusal.take().unwrap_or(refusal);
        let status = self.find_key(&keyed.key).await;
        match &status {
            BindingStatus::Other { entry, .. } if entry.request_id == keyed.run.id => {
                return StepOutcome::Done(Err(refusal));
            }
            BindingStatus::Own(_) | BindingStatus::Free => return StepOutcome::Done(Err(refusal)),
            BindingStatus::Other { .. }
            | BindingStatus::Mismatch
            | BindingStatus::Unknown
            | BindingStatus::Unavailable => {}
        }
        match self.answer(keyed, status, delivery).await {
            StepOutcome::Retry => StepOutcome::Done(Err(refusal)),
            StepOutcome::Done(result) => StepOutcome::Done(result),
        }
    }

    /// Answers a request according to the binding of its key.
    async fn answer(
        self: &Arc<Self>,
        keyed: &mut KeyedRequest,
        status: BindingStatus,
        delivery: &mut Delivery,
    ) -> StepOutcome {
        match status {
            BindingStatus::Other { entry, finished } => {
                self.attach_to_run(keyed, entry, finished, delivery).await
            }
            BindingStatus::Mismatch => {
                let text = "the idempotency key was used for another request";
                StepOutcome::Done(Err(Refusal::not_run(Code::KeyReused, text)))
            }
            BindingStatus::Unknown => {
                let text = "it is not known whether a request with this key ran";
                StepOutcome::Done(Err(Refusal::unknown(Code::KeyUnavailable, text)))
            }
            BindingStatus::Own(_) | BindingStatus::Free | BindingStatus::Unavailable => {
                // An earlier request with the key may have run.
                let text = "the idempotency key can't be checked at the moment";
                let refusal = Refusal::unknown(Code::KeyUnavailable, text);
                StepOutcome::Done(Err(refusal.with_retry_after(RETRY_AFTER_MS)))
            }
        }
    }

    /// Answers a request from the run that holds its key.
    async fn attach_to_run(
        self: &Arc<Self>,
        keyed: &mut KeyedRequest,
        entry: KeyEntry,
        finished: bool,
        delivery: &mut Delivery,
    ) -> StepOutcome {
        metrics::counter!("mallowpath_key_attached_total").increment(1);
        let run = RequestRun {
            id: entry.request_id,
            ..keyed.run.clone()
        };
        match self.attach(&run, &entry, keyed.deadline, delivery).await {
            AttachOutcome::Ended(attempt, end) => {
                self.notify_key_finished(keyed.key, &entry);
                StepOutcome::Done(self.close_attached(&run, &attempt, &end).await)
            }
            AttachOutcome::NeverRan if !finished => {
                keyed.displaced = Some(entry);
                StepOutcome::Retry
            }
            AttachOutcome::NeverRan | AttachOutcome::Lost if finished => {
                let text = "the request ran; its answer is no longer kept";
                StepOutcome::Done(Err(Refusal::ran(Code::AnswerGone, text)))
            }
            AttachOutcome::NeverRan | AttachOutcome::Lost => {
                let text = format!("request {} has this key and was lost", entry.request_id);
                StepOutcome::Done(Err(Refusal::unknown(Code::BackendFailed, text)))
            }
        }
    }

    /// Attaches to the run of a binding and delivers its answer.
    async fn attach(
        &self,
        run: &RequestRun,
        entry: &KeyEntry,
        deadline: Instant,
        delivery: &mut Delivery,
    ) -> AttachOutcome {
        let Some(link) = self.connect_to_sidecar(entry).await else {
            return AttachOutcome::Lost;
        };
        let attach = FrameBody::Attach(Attach {
            request: entry.request_id.into(),
            from_chunk: delivery.next_chunk,
            sidecar: entry.sidecar.0,
            wait_ms: SUBMIT_WAIT_MS,
            with_bill: true,
        });
        let backend = link.peer().backend.parse::<BackendId>();
        let unread = Some(Arc::clone(&run.unread));
        let call = link.open_answer_call(attach, unread).await;
        let (Ok(call), Ok(backend)) = (call, backend) else {
            return AttachOutcome::Lost;
        };
        let mut attempt = Attempt {
            backend,
            address: link.remote(),
            sidecar: entry.sidecar,
            sidecar_zone: Arc::from(link.peer().zone.as_str()),
            submitted_at_ms: now_ms(),
            forecast: Forecast::default(),
            call,
        };
        delivery.attached = true;
        let ended = self.deliver(run, &mut attempt, deadline, delivery).await;
        delivery.attached = false;
        match ended {
            AttemptEnd::End(end) => AttachOutcome::Ended(Box::new(attempt), end),
            AttemptEnd::NotRun(_) | AttemptEnd::Refused(_) => AttachOutcome::NeverRan,
            AttemptEnd::Lost => AttachOutcome::Lost,
        }
    }

    /// Returns a connection to the sidecar that a binding names, or `None` when it can't be reached
    /// or was replaced by another incarnation.
    async fn connect_to_sidecar(&self, entry: &KeyEntry) -> Option<Arc<Link>> {
        let address = entry.sidecar_address.parse::<SocketAddr>().ok()?;
        let deadline = Instant::now() + Duration::from_millis(SIDECAR_CONNECT_TIMEOUT_MS);
        loop {
            if let Ok(link) = self.dialer.link(address).await {
                return (link.peer_incarnation() == entry.sidecar).then_some(link);
            }
            if Instant::now() >= deadline {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(SIDECAR_CONNECT_PAUSE_MS)).await;
        }
    }

    /// Returns the receipt of a request to which this router attached, after its bill is safe.
    async fn close_attached(
        self: &Arc<Self>,
        run: &RequestRun,
        attempt: &Attempt,
        end: &AnswerEnd,
    ) -> Result<Receipt, Refusal> {
        let record = BillRecord::decode(end.bill.clone()).ok();
        let bill = record.as_ref().and_then(Bill::from_record);
        let safe = match bill {
            Some(bill) => self.replicate_bill(bill, attempt).await,
            // The log already has the bill, or no bill is due.
            None => true,
        };
        receipt(run.id, end, safe)
    }

    /// Gives the request another identifier, as the binding to the current one may have been
    /// replaced.
    fn assign_new_id(self: &Arc<Self>, keyed: &mut KeyedRequest) {
        self.release_unused_id(keyed);
        keyed.run.id = self.next_request();
        keyed.may_be_bound = false;
    }

    /// Releases the identifier of a request that certainly did not run under it.
    fn release_unused_id(self: &Arc<Self>, keyed: &KeyedRequest) {
        if keyed.may_have_run {
            return;
        }
        let id: RequestId = keyed.run.id;
        if keyed.may_be_bound {
            self.keys.retain_tombstone(id);
            if let Some(requested) = &keyed.requested {
                self.notify_key_released(keyed.key, requested);
            }
        }
        self.bills.abandon(id);
    }
}

impl KeyedRequest {
    /// Returns the binding of the key to this request at the sidecar of a connection.
    fn entry(&self, link: &Link) -> KeyEntry {
        KeyEntry {
            request_id: self.run.id,
            body_hash: self.key.body_hash,
            sidecar: link.peer_incarnation(),
            sidecar_address: Arc::from(link.remote().to_string()),
        }
    }
}
