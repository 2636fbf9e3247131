//! Handles the messages of other routers.

use super::{
    gateway::Gateway,
    reports::{apply_host_load_report, apply_wait_report},
};
use crate::{
    budget::{keep_last_accounts, reserve_for_peer, settle_for_peer},
    quarantine::{handle_crash_notice, handle_parts_cleared},
};
use mallowpath::{FrameBody, RateLimitNotice, Responder};
use std::sync::Arc;

/// Handles a message of another router.
pub(crate) fn handle_peer_message(gateway: &Arc<Gateway>, body: FrameBody, responder: Responder) {
    match body {
        FrameBody::CrashNotice(notice) => handle_crash_notice(gateway, notice),
        FrameBody::RateLimitNotice(notice) => apply_rate_limit(gateway, &notice),
        FrameBody::PartsCleared(notice) => handle_parts_cleared(gateway, &notice),
        FrameBody::BackendWaitReport(report) => apply_wait_report(gateway, &report),
        FrameBody::HostLoadReport(report) => apply_host_load_report(gateway, report),
        FrameBody::ReserveTokens(message) => {
            tokio::spawn(reserve_for_peer(Arc::clone(gateway), message, responder));
        }
        FrameBody::SettleTokens(message) => settle_for_peer(&gateway.remote_reservations, message),
        FrameBody::LastAccounts(message) => {
            tokio::spawn(keep_last_accounts(Arc::clone(gateway), message, responder));
        }
        other => log::debug!(target: "router", "ignoring a message of another router: {other:?}"),
    }
}

/// Applies what another router reports about the limit on requests that a backend server states.
fn apply_rate_limit(gateway: &Gateway, notice: &RateLimitNotice) {
    let rate_per_s = notice
        .rate_per_s
        .filter(|rate_per_s| rate_per_s.is_finite() && *rate_per_s >= 0.0);
    match notice.backend.parse() {
        Ok(id) => gateway
            .backends
            .set_stated_rate(&id, rate_per_s, gateway.now_ms()),
        Err(error) => log::warn!(
            target: "backend",
            "ignoring the limit of {:?}: {error}",
            notice.backend,
        ),
    }
}
