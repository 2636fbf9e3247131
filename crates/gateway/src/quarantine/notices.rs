//! Tells the other routers about crashes and about prompt parts that are harmless.

use crate::process::Gateway;
use mallowpath::{
    CrashNotice, CrashReport, FrameBody, PartId, PartsCleared, SuspectNotice, SuspectRequest,
};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// The longest random delay of a notice about harmless parts, within which another router's notice
/// makes it needless.
const CLEARED_DELAY_MAX_MS: u64 = 100;

/// Reports a crash to all routers.
pub(super) fn announce_crash(gateway: &Arc<Gateway>, report: &CrashReport) {
    let mut suspects = Vec::with_capacity(report.suspects.len());
    for suspect in &report.suspects {
        suspects.push(SuspectNotice {
            request: suspect.request.0,
            parts: suspect.parts.iter().map(|part| part.0).collect(),
            progress: suspect.progress.into(),
        });
    }
    let notice = CrashNotice {
        backend: report.backend.to_string(),
        suspects,
        age_ms: report.age_ms,
        started_at_ms: report.started_at_ms,
    };
    gateway
        .keeper_client
        .broadcast(&FrameBody::CrashNotice(notice));
}

/// Reports to all routers that requests with these parts, sent at `sent_at_ms`, were answered
/// completely, unless another router does so first.
pub(super) fn announce_cleared(gateway: &Arc<Gateway>, parts: Vec<PartId>, sent_at_ms: u64) {
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        let delay_ms = rand::random_range(0..CLEARED_DELAY_MAX_MS);
        sleep(Duration::from_millis(delay_ms)).await;
        let now_ms = gateway.now_ms();
        let mut parts = parts;
        parts.retain(|part| {
            gateway
                .quarantine
                .announced_parts
                .try_announce(*part, now_ms)
        });
        if parts.is_empty() {
            return;
        }
        let notice = PartsCleared {
            parts: parts.iter().map(|part| part.0).collect(),
            sent_ago_ms: now_ms.saturating_sub(sent_at_ms),
        };
        gateway
            .keeper_client
            .broadcast(&FrameBody::PartsCleared(notice));
    });
}

/// Applies another router's report of a crash.
pub(crate) fn handle_crash_notice(gateway: &Gateway, notice: CrashNotice) {
    let Ok(backend) = notice.backend.parse() else {
        log::warn!(target: "quarantine", "ignoring the end of {:?}", notice.backend);
        return;
    };
    let mut suspects = Vec::with_capacity(notice.suspects.len());
    for suspect in notice.suspects {
        suspects.push(SuspectRequest {
            request: PartId(suspect.request),
            progress: suspect.progress(),
            parts: suspect.parts.into_iter().map(PartId).collect(),
        });
    }
    let report = CrashReport {
        backend,
        suspects,
        age_ms: notice.age_ms,
        started_at_ms: notice.started_at_ms,
    };
    // The next regular evaluation may convict; there may be a notice of each router for one crash.
    let now_ms = gateway.now_ms();
    gateway.quarantine.lock().record_crash(report, now_ms);
}

/// Applies another router's report that requests were answered completely.
pub(crate) fn handle_parts_cleared(gateway: &Gateway, notice: &PartsCleared) {
    let now_ms = gateway.now_ms();
    let sent_at_ms = now_ms.saturating_sub(notice.sent_ago_ms);
    for part in &notice.parts {
        let part = PartId(*part);
        gateway.quarantine.announced_parts.record(part, now_ms);
        gateway.quarantine.lock().clear(part, sent_at_ms, now_ms);
    }
}
