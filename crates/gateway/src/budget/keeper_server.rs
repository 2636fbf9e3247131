//! Reserves tokens of the budgets that this router keeps for other routers.

use super::{
    remote_reservations::{RemoteReservations, ReservationKey},
    reserve::{ReserveError, TokenRequest, reserve_drawn, reserve_held},
};
use crate::{
    process::{Gateway, Phase},
    quarantine::{handle_crash_notice, handle_parts_cleared},
};
use mallowpath::{
    FrameBody, RateLimitNotice, ReserveAnswerKind, ReserveReply, ReserveTokens, Responder,
    SettleTokens, WorkspaceId,
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Interval between checks for expired reservations.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Handles a message of another router.
pub(crate) fn handle_peer_message(gateway: &Arc<Gateway>, body: FrameBody, responder: Responder) {
    match body {
        FrameBody::CrashNotice(notice) => handle_crash_notice(gateway, notice),
        FrameBody::RateLimitNotice(notice) => apply_rate_limit(gateway, &notice),
        FrameBody::PartsCleared(notice) => handle_parts_cleared(gateway, &notice),
        FrameBody::ReserveTokens(message) => {
            tokio::spawn(reserve(Arc::clone(gateway), message, responder));
        }
        FrameBody::SettleTokens(message) => settle(&gateway.remote_reservations, message),
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

/// Counts reservations as spent when they expire; never returns.
pub(crate) async fn run_expiry(gateway: Arc<Gateway>) {
    loop {
        sleep(EXPIRY_CHECK_INTERVAL).await;
        let count = gateway.remote_reservations.expire(Instant::now());
        if count > 0 {
            log::info!(
                target: "budget",
                "{count} reservations of other routers expired and count as spent",
            );
        }
    }
}

fn settle(reservations: &RemoteReservations, message: SettleTokens) {
    let key = ReservationKey {
        router: message.router,
        number: message.number,
    };
    reservations.settle(key, message.spent_tokens);
}

/// Reserves tokens and answers.
async fn reserve(gateway: Arc<Gateway>, message: ReserveTokens, responder: Responder) {
    if !keeps_budgets(&gateway) {
        send(&responder, reply(ReserveAnswerKind::Unavailable)).await;
        return;
    }
    if message.workspace.is_empty() {
        send(&responder, reply(ReserveAnswerKind::Granted)).await;
        return;
    }
    let Some((workspace, prepaid)) = prepaid(&gateway, &message.workspace) else {
        send(&responder, reply(ReserveAnswerKind::Unavailable)).await;
        return;
    };
    let request = TokenRequest {
        workspace: &workspace,
        prepaid,
        tokens: message.tokens,
    };
    reserve_tokens(&gateway, request, &message, &responder).await;
}

async fn reserve_tokens(
    gateway: &Gateway,
    request: TokenRequest<'_>,
    message: &ReserveTokens,
    responder: &Responder,
) {
    let key = ReservationKey {
        router: message.router,
        number: message.number,
    };
    let reservations = &gateway.remote_reservations;
    let draw_task = gateway.budgets.task(request.workspace);
    let expires_after = Duration::from_millis(message.expires_after_ms);
    reservations.open(key, Instant::now() + expires_after);
    let reserved = if let Ok(reservation) = reserve_held(draw_task, request) {
        Ok(reservation)
    } else {
        send(responder, reply(ReserveAnswerKind::Pending)).await;
        reserve_drawn(draw_task, request).await
    };
    let reply = match reserved {
        Ok(reservation) => {
            if !reservations.hold(key, reservation) {
                return;
            }
            reply(ReserveAnswerKind::Granted)
        }
        Err(error) => {
            reservations.settle(key, 0);
            error_reply(error)
        }
    };
    if !send(responder, reply).await {
        // The other router has not received the answer and sends nothing for this reservation.
        reservations.settle(key, 0);
    }
}

fn reply(kind: ReserveAnswerKind) -> ReserveReply {
    ReserveReply {
        kind: i32::from(kind),
        ..ReserveReply::default()
    }
}

fn error_reply(error: ReserveError) -> ReserveReply {
    let kind = match error {
        ReserveError::Spent => ReserveAnswerKind::Spent,
        ReserveError::Short { .. } => ReserveAnswerKind::Short,
        ReserveError::NoStore { .. } => ReserveAnswerKind::NoLedger,
    };
    ReserveReply {
        retry_after_ms: error.retry_after_ms().unwrap_or_default(),
        held_tokens: error.held_tokens().unwrap_or_default(),
        ..reply(kind)
    }
}

/// Returns whether this router keeps budgets at present.
fn keeps_budgets(gateway: &Gateway) -> bool {
    *gateway.phase().borrow() == Phase::Serving
        && gateway.budgets.is_loaded()
        && !gateway.budgets.is_fenced()
}

/// Returns a workspace with a limited budget and its prepaid tokens.
fn prepaid(gateway: &Gateway, name: &str) -> Option<(WorkspaceId, u64)> {
    let id = name.parse().ok()?;
    let configuration = gateway.configuration()?;
    let prepaid = configuration.workspace_by_id(&id)?.prepaid?;
    Some((id, prepaid))
}

/// Sends an answer and returns whether it was queued.
async fn send(responder: &Responder, reply: ReserveReply) -> bool {
    responder.send(FrameBody::ReserveReply(reply)).await
}
