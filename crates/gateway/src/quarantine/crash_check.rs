//! Finds out whether a backend server has ended after an answer broke off.

use super::{
    notices::announce_crash,
    request_parts::part_list,
    shared_quarantine::record_own_crash,
    unconfirmed_crashes::{UnconfirmedCrash, UnconfirmedCrashes},
};
use crate::{
    placement::{Backend, BackendEntry},
    process::Gateway,
};
use mallowpath::{
    AnswerProgress, BackendId, CrashReport, PartId, SuspectRequest, refuses_connections,
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::sleep;

/// Time in which the answers of all requests to the backend server break off.
const COLLECTION_TIME: Duration = Duration::from_millis(20);

/// The maximum number of suspects in one report.
const SUSPECTS_MAX: usize = 64;

/// The backend servers that are being checked, with the requests whose answers broke off.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    /// No other lock is acquired while this one is held.
    suspects: Mutex<HashMap<BackendId, Vec<SuspectRequest>>>,
    /// No other lock is acquired while this one is held.
    unconfirmed: Mutex<UnconfirmedCrashes>,
}

impl CrashChecks {
    /// Adds a suspect; returns whether it is the first one of its backend server.
    fn add(&self, backend: &BackendId, suspect: SuspectRequest) -> bool {
        let mut suspects = self.lock();
        let known = suspects.entry(backend.clone()).or_default();
        known.push(suspect);
        known.len() == 1
    }

    /// Removes and returns the suspects of a backend server, the most likely ones first.
    fn take(&self, backend: &BackendId) -> Vec<SuspectRequest> {
        let mut suspects = self.lock().remove(backend).unwrap_or_default();
        suspects.sort_by_key(|suspect| match suspect.progress {
            AnswerProgress::Head => 0,
            AnswerProgress::Nothing => 1,
            AnswerProgress::Events => 2,
        });
        suspects.truncate(SUSPECTS_MAX);
        suspects
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<BackendId, Vec<SuspectRequest>>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_unconfirmed(&self) -> MutexGuard<'_, UnconfirmedCrashes> {
        self.unconfirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reports a crash to all routers if `backend` has ended, with `suspect` among those that may be its
/// cause.
pub(crate) fn check_for_crash(gateway: &Arc<Gateway>, backend: &Backend, suspect: SuspectRequest) {
    let id = &backend.entry.id;
    if !gateway.quarantine.crash_checks.add(id, suspect) {
        return;
    }
    let entry = backend.entry.clone();
    tokio::spawn(check_backend(Arc::clone(gateway), entry));
}

async fn check_backend(gateway: Arc<Gateway>, entry: BackendEntry) {
    let broke_off_at_ms = gateway.now_ms();
    sleep(COLLECTION_TIME).await;
    let refuses = refuses_connections(entry.address).await;
    let crash_checks = &gateway.quarantine.crash_checks;
    let suspects = crash_checks.take(&entry.id);
    let crash = UnconfirmedCrash {
        entry,
        suspects,
        broke_off_at_ms,
    };
    if refuses || gateway.backends.has_started_again(&crash.entry) {
        report_crash(&gateway, crash);
        return;
    }
    if !crash.entry.draining {
        let now_ms = gateway.now_ms();
        crash_checks.lock_unconfirmed().add(crash, now_ms);
    }
}

/// Reports a crash to all routers if `entry`, a new registration, shows that a backend server ended
/// under requests whose answers broke off, and has started again since.
///
/// A router that was stopped at that time finds a server that accepts connections.
pub(crate) fn check_registration(gateway: &Arc<Gateway>, entry: &BackendEntry) {
    let now_ms = gateway.now_ms();
    let crash_checks = &gateway.quarantine.crash_checks;
    let confirmed = crash_checks.lock_unconfirmed().confirm(entry, now_ms);
    for crash in confirmed {
        report_crash(gateway, crash);
    }
}

fn report_crash(gateway: &Arc<Gateway>, crash: UnconfirmedCrash) {
    let UnconfirmedCrash {
        entry,
        suspects,
        broke_off_at_ms,
    } = crash;
    let backend = entry.id;
    let mut begun = Vec::new();
    for suspect in &suspects {
        if suspect.progress == AnswerProgress::Head {
            begun.push(part_list(&suspect.parts));
        }
    }
    let requests: Vec<PartId> = suspects.iter().map(|suspect| suspect.request).collect();
    let age_ms = gateway.now_ms().saturating_sub(broke_off_at_ms);
    log::warn!(
        target: "quarantine",
        "{backend} has ended, {age_ms} ms ago; it was to answer the requests {}; answers had begun \
         to prompts with the parts {begun:?}",
        part_list(&requests),
    );
    metrics::counter!("gateway_backend_crashes_total").increment(1);
    let report = CrashReport {
        backend,
        started_at_ms: entry.started_at_ms,
        suspects,
        age_ms,
    };
    announce_crash(gateway, &report);
    if record_own_crash(gateway, report) {
        gateway.quarantine.request_convicted.notify_one();
    }
}
