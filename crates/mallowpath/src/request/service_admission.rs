//! Admission control of one service at a router.
//!
//! A request runs at once, is queued in a bounded fair queue, or is refused at once with a time
//! after which to retry. It is refused early if its expected wait in the queue would exceed its
//! deadline.

use crate::{
    WorkspaceId,
    request::concurrency::{ConcurrencyLimit, ConcurrencySettings},
    request::estimate::Estimate,
    request::fair_queue::{FairQueue, QueuedRequest, WorkspaceShare},
    rounding::ceil_to_u64,
    routing::rendezvous::unit_interval,
};

/// The settings of an [`Admission`].
#[derive(Debug, Clone)]
pub struct AdmissionSettings {
    /// The limit of requests that run at once.
    pub concurrency: ConcurrencySettings,
    /// The maximum number of queued requests.
    pub queue_max: usize,
    /// The longest expected wait for which a request is still queued.
    pub wait_max_ms: u64,
    /// The initial estimate of the tokens that one running request processes per millisecond.
    pub tokens_per_ms: f64,
    /// The minimum `Retry-After` of a refused request.
    pub retry_after_min_ms: u64,
    /// The maximum `Retry-After` of a refused request.
    pub retry_after_max_ms: u64,
}

/// A request that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// The number by which the router identifies the request.
    pub ticket: u64,
    /// The workspace that it belongs to.
    pub workspace: &'a WorkspaceId,
    /// Its priority among the requests of its workspace; 0 is the most urgent.
    pub priority: u8,
    /// The tokens reserved for it.
    pub tokens: u64,
    /// The latest time at which a backend server must start it for the response to be in time.
    pub deadline_ms: u64,
}

/// The decision on an [`AdmissionRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request runs now.
    Run,
    /// The request is queued; [`Admission::poll`] returns its ticket once it runs or expires.
    Queued,
    /// The request is refused and did not run.
    Refused(AdmissionRefusal),
}

/// A refusal; the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// The reason for the refusal.
    pub reason: RefusalReason,
    /// The time after which to retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The expected wait in the queue exceeds its deadline or the longest permitted wait.
    Late,
    /// The workspace's share of the queue is full.
    Full,
}

/// The decision of a poll on a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDecision {
    /// The request of this ticket runs now.
    Run(u64),
    /// The request of this ticket would miss its deadline and did not run.
    Expired(u64),
}

/// The admission control of one service at one router.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    limit: ConcurrencyLimit,
    queue: FairQueue,
    in_flight: u32,
    tokens_per_ms: Estimate,
    backend_delay_ms: Estimate,
}

/// The weight of one request in the moving average of the token rate.
const TOKEN_RATE_SAMPLE_WEIGHT: f64 = 0.05;

/// The weight of one request in the moving average of the queueing delay at the backend servers.
const DELAY_SAMPLE_WEIGHT: f64 = 0.2;

impl Admission {
    /// Creates admission control without requests.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            limit: ConcurrencyLimit::new(settings.concurrency.clone()),
            queue: FairQueue::new(),
            in_flight: 0,
            tokens_per_ms: Estimate::new(settings.tokens_per_ms, TOKEN_RATE_SAMPLE_WEIGHT),
            backend_delay_ms: Estimate::new(0.0, DELAY_SAMPLE_WEIGHT),
            settings,
        }
    }

    /// Sets the share of a workspace.
    pub fn set_share(&mut self, workspace: &WorkspaceId, share: WorkspaceShare) {
        self.queue.set_share(workspace, share);
    }

    /// Returns the number of running requests.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the concurrency limit.
    pub fn limit(&self) -> f64 {
        self.limit.limit()
    }

    /// Decides on a request; `draw` is a uniform random number that adds jitter to the retry time.
    pub fn offer(
        &mut self,
        request: &AdmissionRequest<'_>,
        now_ms: u64,
        draw: u64,
    ) -> AdmissionDecision {
        let can_run_now =
            self.queue.len_of(request.workspace) == 0 && self.limit.allows(self.in_flight);
        if can_run_now && self.queue.may_run(request.workspace) {
            self.queue.start(request.workspace, request.tokens);
            self.in_flight += 1;
            return AdmissionDecision::Run;
        }
        let wait_ms = self.expected_wait_ms(request, now_ms);
        let latest_ms = self.latest_start_ms(request.deadline_ms, now_ms);
        let wait_max_ms = latest_ms
            .saturating_sub(now_ms)
            .min(self.settings.wait_max_ms);
        if latest_ms <= now_ms || wait_ms > wait_max_ms as f64 {
            return self.refuse(RefusalReason::Late, wait_ms - wait_max_ms as f64, draw);
        }
        if !self.has_room(request.workspace) {
            return self.refuse(RefusalReason::Full, wait_ms, draw);
        }
        let AdmissionRequest {
            ticket,
            tokens,
            deadline_ms,
            ..
        } = *request;
        self.queue.push(
            request.workspace,
            request.priority,
            QueuedRequest {
                ticket,
                tokens,
                deadline_ms,
            },
        );
        AdmissionDecision::Queued
    }

    /// Decides on the queued requests.
    ///
    /// Must be called after every change, and often enough that requests expire at their deadlines.
    pub fn poll(&mut self, now_ms: u64) -> Vec<QueueDecision> {
        let mut decisions = Vec::new();
        let delay_ms = self.backend_delay_ms(now_ms);
        let late = |queued: &QueuedRequest| queued.deadline_ms <= now_ms + delay_ms;
        for ticket in self.queue.remove(late) {
            decisions.push(QueueDecision::Expired(ticket));
        }
        while self.limit.allows(self.in_flight) {
            let Some((_, queued)) = self.queue.pop() else {
                break;
            };
            self.in_flight += 1;
            decisions.push(QueueDecision::Run(queued.ticket));
        }
        decisions
    }

    /// Removes a queued request whose caller disconnected.
    pub fn cancel(&mut self, ticket: u64) {
        self.queue.remove(|queued| queued.ticket == ticket);
    }

    /// Records the queueing delay of a running request at its backend server.
    pub fn record_first_token(&mut self, queue_delay_ms: u64, now_ms: u64) {
        self.limit.record(queue_delay_ms, self.in_flight, now_ms);
        self.backend_delay_ms.record(queue_delay_ms as f64, now_ms);
    }

    /// Releases a request that ran for `run_ms` and used `used_tokens` of those reserved.
    pub fn release(
        &mut self,
        workspace: &WorkspaceId,
        reserved_tokens: u64,
        used_tokens: u64,
        run_ms: u64,
        now_ms: u64,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.queue
            .end(workspace, reserved_tokens.saturating_sub(used_tokens));
        let tokens_per_ms = reserved_tokens as f64 / run_ms.max(1) as f64;
        self.tokens_per_ms.record(tokens_per_ms, now_ms);
    }

    /// Releases a request that was admitted and did not run.
    pub fn release_unused(&mut self, workspace: &WorkspaceId, reserved_tokens: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.queue.end(workspace, reserved_tokens);
    }

    /// Returns the expected queueing delay at the backend servers, which adds to that of this
    /// queue.
    fn backend_delay_ms(&self, now_ms: u64) -> u64 {
        ceil_to_u64(self.backend_delay_ms.at(now_ms))
    }

    /// Returns the latest time to leave this queue so that the backend server starts in time.
    fn latest_start_ms(&self, deadline_ms: u64, now_ms: u64) -> u64 {
        deadline_ms.saturating_sub(self.backend_delay_ms(now_ms))
    }

    /// Estimates the wait from the workspace's queued tokens and its share of the drain rate.
    fn expected_wait_ms(&mut self, request: &AdmissionRequest<'_>, now_ms: u64) -> f64 {
        let tokens = self.queue.tokens_ahead(request.workspace, request.priority);
        let limit = self.limit.limit();
        let drain_rate = self.tokens_per_ms.at(now_ms) * limit;
        let share = self.queue.share_of(request.workspace, limit);
        tokens as f64 / (drain_rate * share).max(f64::MIN_POSITIVE)
    }

    /// Returns whether the queue has room for one more request of a workspace.
    ///
    /// A workspace may fill at most as many places as it leaves free, so that others can queue too.
    fn has_room(&self, workspace: &WorkspaceId) -> bool {
        let free = self.settings.queue_max.saturating_sub(self.queue.len());
        self.queue.len_of(workspace) < free
    }

    #[cold]
    fn refuse(&self, reason: RefusalReason, drain_ms: f64, draw: u64) -> AdmissionDecision {
        let retry_after_ms = ceil_to_u64(drain_ms * (1.0 + unit_interval(draw)));
        let (min, max) = (
            self.settings.retry_after_min_ms,
            self.settings.retry_after_max_ms,
        );
        AdmissionDecision::Refused(AdmissionRefusal {
            reason,
            retry_after_ms: retry_after_ms.clamp(min, max),
        })
    }
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            concurrency: ConcurrencySettings::default(),
            queue_max: 1_024,
            wait_max_ms: 10_000,
            tokens_per_ms: 0.1,
            retry_after_min_ms: 100,
            retry_after_max_ms: 30_000,
        }
    }
}
