//! Reserves tokens of the budgets that this router keeps for other routers.

use super::{
    remote_reservations::{RemoteReservations, ReservationKey},
    reserve::{ReserveError, TokenRequest, reserve_drawn, reserve_held},
};
use crate::process::{Gateway, Phase};
use mallowpath::{
    FrameBody, ReserveAnswerKind, ReserveReply, ReserveTokens, Responder, SettleTokens, WorkspaceId,
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Interval between checks for expired reservations.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

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

/// Ends a reservation of another router.
pub(crate) fn settle_for_peer(reservations: &RemoteReservations, message: SettleTokens) {
    let key = ReservationKey {
        router: message.router,
        number: message.number,
    };
    reservations.settle(key, message.spent_tokens);
}

/// Reserves tokens for another router and answers it.
pub(crate) async fn reserve_for_peer(
    gateway: Arc<Gateway>,
    message: ReserveTokens,
    responder: Responder,
) {
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
        takes_up_stream: message.takes_up_stream,
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
