//! The quarantine of a router of the product's own platform.
//!
//! The parts of a request are its whole and the prefixes of its prompt. Each router convicts by the
//! crashes of its own requests.

use crate::{
    id::BackendId,
    quarantine::crash_report::{CrashReport, SuspectRequest},
    quarantine::part_id::PartId,
    quarantine::part_quarantine::{PartCheck, PartQuarantine},
    request::refusal::{Code, Refusal},
};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Interval between evaluations of the evidence.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// [`PartQuarantine`] behind a mutex, with a clock.
#[derive(Debug)]
pub(crate) struct RouterQuarantine {
    started_at: Instant,
    /// No other lock is acquired while this one is held.
    quarantine: Mutex<PartQuarantine>,
}

impl RouterQuarantine {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            started_at: Instant::now(),
            quarantine: Mutex::default(),
        })
    }

    /// Refuses a request that ends backend servers, or whose prompt begins with a prefix that does.
    pub(crate) fn admit(&self, parts: &[PartId]) -> Result<(), Refusal> {
        let now_ms = self.now_ms();
        match self.lock().check(parts, now_ms, |_| 0) {
            PartCheck::Free | PartCheck::Trial => Ok(()),
            PartCheck::Blocked {
                part,
                retry_after_ms,
            } => {
                let text = if part.is_request() {
                    format!("backend servers end at this request, {part}")
                } else {
                    format!("backend servers end at prompts that begin with prefix {part}")
                };
                let refusal = Refusal::not_run(Code::Quarantined, text);
                Err(refusal.with_retry_after(retry_after_ms))
            }
        }
    }

    /// Returns whether a request that was admitted may still be sent.
    pub(crate) fn may_send(&self, parts: &[PartId]) -> bool {
        let now_ms = self.now_ms();
        self.lock().may_send(parts, now_ms)
    }

    /// Returns whether a request at which a backend server ended may be sent to another one.
    pub(crate) fn may_resend(&self, suspect: &SuspectRequest) -> bool {
        self.lock().may_resend(suspect)
    }

    /// Counts the end of a backend server against the request that it was to answer.
    pub(crate) fn record_crash(&self, backend: &BackendId, suspect: SuspectRequest) {
        let report = CrashReport {
            backend: backend.clone(),
            started_at_ms: None,
            suspects: vec![suspect],
            age_ms: 0,
        };
        let now_ms = self.now_ms();
        self.lock().record_crash(report, now_ms);
        self.convict(now_ms);
    }

    /// Clears the parts of a request that was sent at `sent_at` and was answered completely.
    pub(crate) fn record_completion(&self, parts: &[PartId], sent_at: Instant) {
        let now_ms = self.now_ms();
        let sent_at_ms = millis_between(self.started_at, sent_at);
        self.lock().record_completion(parts, sent_at_ms, now_ms);
    }

    /// Convicts parts as the evidence allows; never returns.
    pub(crate) async fn run_evaluation(self: Arc<Self>) {
        loop {
            sleep(EVALUATION_INTERVAL).await;
            self.convict(self.now_ms());
        }
    }

    fn convict(&self, now_ms: u64) {
        for part in self.lock().evaluate(now_ms) {
            let kind = if part.is_request() {
                "request"
            } else {
                "prompt prefix"
            };
            log::warn!("{kind} {part} is blocked: backend servers end at it");
        }
    }

    /// Returns the quarantined requests and prefixes.
    pub(crate) fn dump(&self) -> Vec<String> {
        let parts = self.lock().parts();
        parts.iter().map(PartId::to_string).collect()
    }

    fn now_ms(&self) -> u64 {
        millis_between(self.started_at, Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, PartQuarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn millis_between(start: Instant, end: Instant) -> u64 {
    u64::try_from(end.saturating_duration_since(start).as_millis()).unwrap_or(u64::MAX)
}
