//! The quarantine of this router, shared by all requests of the process.

use super::{announced_parts::AnnouncedParts, crash_check::CrashChecks, notices::announce_cleared};
use crate::process::Gateway;
use mallowpath::{
    Candidate, CrashReport, PartCheck, PartId, PartQuarantine, SuspectRequest, pick_n,
};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::Notify, time::sleep};

/// Interval between evaluations of the evidence.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// How much later each further router may try a part.
const TRIAL_STEP_MS: u64 = 2_000;

/// The number of routers that try a part at different times; the others do so with the last.
const TRIAL_STEPS_MAX: usize = 8;

/// [`PartQuarantine`] behind a mutex, and what is needed to feed it.
#[derive(Debug, Default)]
pub(crate) struct SharedQuarantine {
    /// No other lock is acquired while this one is held.
    quarantine: Mutex<PartQuarantine>,
    /// The backend servers that are being checked for a crash.
    pub(super) crash_checks: CrashChecks,
    /// The parts that were lately announced as harmless, here or elsewhere.
    pub(super) announced_parts: AnnouncedParts,
    /// Notified when a crash that this router reported has convicted a whole request, whose record
    /// is stored at once.
    pub(crate) request_convicted: Notify,
}

impl SharedQuarantine {
    /// Returns the quarantine, locked.
    pub(crate) fn lock(&self) -> MutexGuard<'_, PartQuarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a request that was admitted may still be sent.
    pub(crate) fn may_send(&self, parts: &[PartId], now_ms: u64) -> bool {
        self.lock().may_send(parts, now_ms)
    }

    /// Returns whether a request at which a backend server probably ended may be sent to another one.
    pub(crate) fn may_resend(&self, suspect: &SuspectRequest) -> bool {
        self.lock().may_resend(suspect)
    }

    /// Decides whether a request that this router has received may be sent.
    pub(crate) fn check(&self, gateway: &Gateway, parts: &[PartId]) -> PartCheck {
        if !self.lock().contains_any(parts) {
            return PartCheck::Free;
        }
        let routers = gateway.directory.names();
        let own = &gateway.settings.account;
        self.lock().check(parts, gateway.now_ms(), |part| {
            trial_delay_ms(part, own, &routers)
        })
    }
}

/// Returns how much later than the first router `own` may try a part.
fn trial_delay_ms(part: PartId, own: &str, routers: &[Arc<str>]) -> u64 {
    let mut candidates = Vec::with_capacity(routers.len());
    for name in routers {
        candidates.push(Candidate { name, weight: 1.0 });
    }
    let order = pick_n(part.0, &candidates, TRIAL_STEPS_MAX);
    let rank = order.iter().position(|&index| *routers[index] == *own);
    let rank = rank.unwrap_or(TRIAL_STEPS_MAX);
    u64::try_from(rank).unwrap_or(u64::MAX) * TRIAL_STEP_MS
}

/// Counts the end of a backend server, as seen by this router, against its requests; returns whether
/// a whole request is convicted by that.
pub(super) fn record_own_crash(gateway: &Gateway, report: CrashReport) -> bool {
    let now_ms = gateway.now_ms();
    gateway.quarantine.lock().record_crash(report, now_ms);
    convict(gateway)
}

/// Clears the parts of a request that was sent at `sent_at_ms` and was answered completely.
pub(crate) fn record_completion(gateway: &Arc<Gateway>, parts: &[PartId], sent_at_ms: u64) {
    if parts.is_empty() {
        return;
    }
    let now_ms = gateway.now_ms();
    let mut quarantine = gateway.quarantine.lock();
    let cleared = quarantine.record_completion(parts, sent_at_ms, now_ms);
    drop(quarantine);
    if !cleared.is_empty() {
        announce_cleared(gateway, cleared, sent_at_ms);
    }
}

/// Convicts parts as the evidence allows; never returns.
pub(crate) async fn run_evaluation(gateway: Arc<Gateway>) {
    loop {
        sleep(EVALUATION_INTERVAL).await;
        convict(&gateway);
    }
}

/// Convicts parts as the evidence allows; returns whether a whole request is among them.
fn convict(gateway: &Gateway) -> bool {
    let added = gateway.quarantine.lock().evaluate(gateway.now_ms());
    let mut has_request = false;
    for part in added {
        if part.is_request() {
            has_request = true;
            log::warn!(
                target: "quarantine",
                "request {part} is blocked: backend servers end when they run it",
            );
            continue;
        }
        log::warn!(
            target: "quarantine",
            "prompt part {part} is blocked: backend servers end when they answer requests with it",
        );
    }
    has_request
}
