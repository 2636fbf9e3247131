//! Admission control of a router: permits, queued requests and retry budgets of all its services.
//!
//! Each service has its own [`Admission`] and [`RetryBudget`]. One lock protects them all; it is
//! held only for short sections and never together with another lock.

use crate::{
    config::fleet::{Service, ServiceKind, Workspace},
    id::ServiceId,
    peer::link::now_ms,
    request::estimate::Estimate,
    request::fair_queue::WorkspaceShare,
    request::permit::{Permit, PermitDetails, PermitUsage},
    request::refusal::{Code, Refusal},
    request::retry::{FailedAttempt, RetryBudget, RetryDenied, RetrySettings},
    request::service_admission::{
        Admission, AdmissionDecision, AdmissionRefusal, AdmissionRequest, AdmissionSettings,
        QueueDecision, RefusalReason,
    },
    rounding::ceil_to_u64,
};
use rand::random;
use serde_json::{Value, json};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    time::sleep,
};

/// The interval at which queued requests are checked against their deadlines.
const POLL_MS: u64 = 20;
/// The `Retry-After` of a request whose deadline passed while it was queued.
const EXPIRED_RETRY_AFTER_MS: u64 = 1000;
/// The fraction of the difference by which a slower response raises the baseline latency.
const BASELINE_RISE_FACTOR: f64 = 0.002;

/// The weight of one response in the moving average of run times.
const RUN_TIME_SAMPLE_WEIGHT: f64 = 0.1;

/// Admission control and retry budgets of all services of a router.
#[derive(Debug)]
pub(crate) struct RouterAdmission {
    settings: AdmissionSettings,
    services: Mutex<HashMap<ServiceId, ServiceAdmission>>,
    /// Notified when a request is queued, which wakes [`RouterAdmission::run_expiry`].
    waiting: Notify,
}

/// The running and queued requests of one service.
#[derive(Debug)]
struct ServiceAdmission {
    admission: Admission,
    retries: RetryBudget,
    waiters: HashMap<u64, Waiter>,
    next_ticket: u64,
    /// The time from a permit to the end of a complete response.
    run_ms: Estimate,
    /// The latency of a plain service without queueing: latency above it counts as queueing delay.
    baseline_latency_ms: Option<f64>,
}

#[derive(Debug)]
struct Waiter {
    permit: PermitDetails,
    decision: oneshot::Sender<Decision>,
}

/// The decision on a queued request.
#[derive(Debug)]
enum Decision {
    Run(Permit),
    Expired,
}

/// A request that was not refused: it runs now, or is queued under a ticket.
enum OfferOutcome {
    Run,
    Queued(u64, oneshot::Receiver<Decision>),
}

/// A request for a permit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PermitRequest<'a> {
    /// The service that is called.
    pub(crate) service: &'a Service,
    /// The workspace that pays.
    pub(crate) workspace: &'a Workspace,
    /// The tokens to reserve.
    pub(crate) tokens: u64,
    /// The time after which a response is useless.
    pub(crate) deadline_ms: u64,
}

/// Removes a queued request from the queue when its task stops waiting.
struct QueuedGuard<'a> {
    admission: &'a RouterAdmission,
    service: &'a ServiceId,
    ticket: u64,
}

impl RouterAdmission {
    /// Creates the admission control of a router that queues at most `queue_max` requests of a
    /// service.
    pub(crate) fn new(queue_max: u64) -> Arc<Self> {
        Arc::new(Self {
            settings: AdmissionSettings {
                queue_max: usize::try_from(queue_max).unwrap_or(usize::MAX),
                ..AdmissionSettings::default()
            },
            services: Mutex::new(HashMap::new()),
            waiting: Notify::new(),
        })
    }

    /// Waits until a request may run.
    ///
    /// # Errors
    ///
    /// Refuses the request if the queue is full, its deadline can't be met, or the caller
    /// disconnects.
    pub(crate) async fn acquire<T>(
        self: &Arc<Self>,
        request: PermitRequest<'_>,
        caller: &mpsc::Sender<T>,
    ) -> Result<Permit, Refusal> {
        let details = PermitDetails {
            service: request.service.id.clone(),
            workspace: request.workspace.id.clone(),
            tokens: request.tokens,
        };
        let (ticket, decision) = match self.offer(request, &details) {
            Ok(OfferOutcome::Run) => return Ok(self.permit(details)),
            Ok(OfferOutcome::Queued(ticket, decision)) => (ticket, decision),
            Err(refused) => return Err(refusal(request, refused)),
        };
        self.waiting.notify_one();
        let _guard = QueuedGuard {
            admission: self,
            service: &request.service.id,
            ticket,
        };
        let decision = tokio::select! {
            decision = decision => decision,
            () = caller.closed() => {
                return Err(Refusal::not_run(Code::Overloaded, "the caller left"));
            }
        };
        match decision {
            Ok(Decision::Run(permit)) => Ok(permit),
            Ok(Decision::Expired) | Err(_) => Err(expired(request)),
        }
    }

    fn offer(
        &self,
        request: PermitRequest<'_>,
        details: &PermitDetails,
    ) -> Result<OfferOutcome, AdmissionRefusal> {
        let mut services = self.lock_services();
        let state = services
            .entry(request.service.id.clone())
            .or_insert_with(|| ServiceAdmission::new(self.settings.clone()));
        let share = WorkspaceShare {
            weight: f64::from(request.workspace.weight.max(1)),
            max_running: request.workspace.max_running,
        };
        state.admission.set_share(&request.workspace.id, share);
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        let now_ms = now_ms();
        let run_ms = ceil_to_u64(state.run_ms.at(now_ms));
        let admission_request = AdmissionRequest {
            ticket,
            workspace: &request.workspace.id,
            priority: request.workspace.priority,
            tokens: request.tokens,
            deadline_ms: request.deadline_ms.saturating_sub(run_ms),
        };
        match state.admission.offer(&admission_request, now_ms, random()) {
            AdmissionDecision::Run => Ok(OfferOutcome::Run),
            AdmissionDecision::Refused(refused) => Err(refused),
            AdmissionDecision::Queued => {
                let (sender, receiver) = oneshot::channel();
                let waiter = Waiter {
                    permit: details.clone(),
                    decision: sender,
                };
                state.waiters.insert(ticket, waiter);
                Ok(OfferOutcome::Queued(ticket, receiver))
            }
        }
    }

    /// Starts queued requests that may run now, and refuses those that can't meet their deadline.
    fn poll(self: &Arc<Self>, service: &ServiceId) {
        let mut decided = Vec::new();
        {
            let mut services = self.lock_services();
            let Some(state) = services.get_mut(service) else {
                return;
            };
            for decision in state.admission.poll(now_ms()) {
                let (ticket, runs) = match decision {
                    QueueDecision::Run(ticket) => (ticket, true),
                    QueueDecision::Expired(ticket) => (ticket, false),
                };
                if let Some(waiter) = state.waiters.remove(&ticket) {
                    decided.push((waiter, runs));
                }
            }
        }
        // A permit that the receiver no longer takes is dropped here, and its drop takes the lock.
        for (waiter, runs) in decided {
            let decision = if runs {
                Decision::Run(self.permit(waiter.permit))
            } else {
                Decision::Expired
            };
            drop(waiter.decision.send(decision));
        }
    }

    fn permit(self: &Arc<Self>, details: PermitDetails) -> Permit {
        Permit::new(Arc::downgrade(self), details)
    }

    /// Releases a permit that was held for `run_ms`.
    pub(crate) fn release(
        self: &Arc<Self>,
        details: &PermitDetails,
        usage: Option<PermitUsage>,
        run_ms: u64,
    ) {
        let PermitDetails {
            service,
            workspace,
            tokens,
        } = details;
        if let Some(state) = self.lock_services().get_mut(service) {
            let now_ms = now_ms();
            if usage.is_some_and(|usage| usage.complete) {
                state.run_ms.record(run_ms as f64, now_ms);
            }
            match usage {
                Some(PermitUsage {
                    tokens: used_tokens,
                    ..
                }) => {
                    state
                        .admission
                        .release(workspace, *tokens, used_tokens, run_ms, now_ms);
                }
                None => state.admission.release_unused(workspace, *tokens),
            }
        }
        self.poll(service);
    }

    /// Records the time to the first part of a response.
    ///
    /// For a model, `expected_ms` is the part of it that is not queueing. For a plain service the
    /// measured baseline latency is used instead.
    pub(crate) fn record_first_token(&self, service: &Service, first_ms: u64, expected_ms: f64) {
        let mut services = self.lock_services();
        let Some(state) = services.get_mut(&service.id) else {
            return;
        };
        let expected_ms = match service.kind {
            ServiceKind::Model => expected_ms,
            ServiceKind::Plain => state.update_baseline_latency(first_ms as f64),
        };
        let queued_ms = ceil_to_u64((first_ms as f64 - expected_ms).max(0.0));
        state.admission.record_first_token(queued_ms, now_ms());
    }

    /// Credits the retry budget of `service` for a successful request.
    pub(crate) fn record_success(&self, service: &ServiceId) {
        if let Some(state) = self.lock_services().get_mut(service) {
            state.retries.record_success();
        }
    }

    /// Charges the retry budget of `service` for another attempt and returns the backoff before it.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the request must not be retried.
    pub(crate) fn charge_retry(
        &self,
        service: &ServiceId,
        failed: &FailedAttempt,
    ) -> Result<u64, RetryDenied> {
        let mut services = self.lock_services();
        let state = services
            .entry(service.clone())
            .or_insert_with(|| ServiceAdmission::new(self.settings.clone()));
        state.retries.charge_retry(failed, now_ms(), random())
    }

    /// Refuses queued requests that can no longer meet their deadline, until the process ends.
    pub(crate) async fn run_expiry(self: Arc<Self>) {
        loop {
            let services = self.services_with_waiting();
            if services.is_empty() {
                self.waiting.notified().await;
                continue;
            }
            for service in services {
                self.poll(&service);
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    fn services_with_waiting(&self) -> Vec<ServiceId> {
        let mut services = Vec::new();
        for (service, state) in self.lock_services().iter() {
            if !state.waiters.is_empty() {
                services.push(service.clone());
            }
        }
        services
    }

    /// Returns the running and queued requests and the limit of each service, for the state dump.
    pub(crate) fn dump(&self) -> Value {
        let mut dump = serde_json::Map::new();
        for (service, state) in self.lock_services().iter() {
            let entry = json!({
                "running": state.admission.in_flight(),
                "waiting": state.admission.waiting(),
                "limit": state.admission.limit(),
            });
            dump.insert(service.to_string(), entry);
        }
        Value::Object(dump)
    }

    fn lock_services(&self) -> MutexGuard<'_, HashMap<ServiceId, ServiceAdmission>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceAdmission {
    fn new(settings: AdmissionSettings) -> Self {
        Self {
            admission: Admission::new(settings),
            retries: RetryBudget::new(RetrySettings::default()),
            waiters: HashMap::new(),
            next_ticket: 0,
            run_ms: Estimate::new(0.0, RUN_TIME_SAMPLE_WEIGHT),
            baseline_latency_ms: None,
        }
    }

    /// Updates the baseline latency from a sample and returns it.
    ///
    /// A faster response lowers the baseline at once; slower ones raise it slowly.
    fn update_baseline_latency(&mut self, latency_ms: f64) -> f64 {
        let baseline = self.baseline_latency_ms.unwrap_or(latency_ms);
        let above = (latency_ms - baseline).max(0.0);
        let baseline = baseline.min(latency_ms) + above * BASELINE_RISE_FACTOR;
        self.baseline_latency_ms = Some(baseline);
        baseline
    }
}

#[cold]
fn refusal(request: PermitRequest<'_>, refused: AdmissionRefusal) -> Refusal {
    let (reason, text) = match refused.reason {
        RefusalReason::Late => ("late", "would wait too long"),
        RefusalReason::Full => ("full", "finds no place in the queue"),
    };
    metrics::counter!("mallowpath_admission_refused_total", "reason" => reason).increment(1);
    let text = format!(
        "a request of workspace {} to {} {text}",
        request.workspace.id, request.service.id
    );
    Refusal::not_run(Code::Overloaded, text).with_retry_after(refused.retry_after_ms)
}

#[cold]
fn expired(request: PermitRequest<'_>) -> Refusal {
    metrics::counter!("mallowpath_admission_refused_total", "reason" => "expired").increment(1);
    let text = format!("{} did not get to the request in time", request.service.id);
    Refusal::not_run(Code::Overloaded, text).with_retry_after(EXPIRED_RETRY_AFTER_MS)
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        let mut services = self.admission.lock_services();
        let Some(state) = services.get_mut(self.service) else {
            return;
        };
        if state.waiters.remove(&self.ticket).is_some() {
            state.admission.cancel(self.ticket);
        }
    }
}
