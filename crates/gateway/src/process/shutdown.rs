//! The graceful shutdown of a router.

use super::{gateway::Gateway, phase::Phase};
use crate::budget::tell_last_accounts;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout_at};

/// How long before the end of the grace period the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// The part of the grace period that is reserved for returning unspent tokens.
const TOKEN_RETURN_TIME: Duration = Duration::from_millis(600);

/// The part of the margin in which other routers are still told the last accounts.
const LAST_ACCOUNTS_TIME: Duration = Duration::from_millis(200);

/// The time before the end of the service in which the last answers are written.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Interval between checks for open reservations of other routers during the shutdown.
const RESERVATION_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The times of a graceful shutdown.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShutdownTimes {
    /// When all requests must have been answered.
    pub(super) service_end: Instant,
    /// When the connections of callers must have been closed.
    connections_end: Instant,
    /// When the unspent tokens must have been returned.
    end: Instant,
}

impl ShutdownTimes {
    /// Returns the times of a shutdown that begins at `now` and may take `grace`.
    pub(super) fn new(now: Instant, grace: Duration) -> Self {
        let end = now + grace.saturating_sub(GRACE_MARGIN);
        let connections_end = end.checked_sub(TOKEN_RETURN_TIME).unwrap_or(end);
        let service_end = connections_end.checked_sub(ANSWER_TIME);
        Self {
            service_end: service_end.unwrap_or(connections_end),
            connections_end,
            end,
        }
    }
}

/// Shuts down gracefully.
///
/// Waits for the load balancer to notice, closes idle connections, waits for requests to end, returns
/// the unspent tokens, and tells the other routers the last accounts.
pub(super) async fn shut_down(gateway: Arc<Gateway>, times: ShutdownTimes) {
    let ShutdownTimes {
        connections_end,
        end,
        ..
    } = times;
    sleep(Duration::from_millis(gateway.settings.drain_notice_ms)).await;
    gateway.phase.send_replace(Phase::Closing);
    if timeout_at(connections_end.into(), gateway.callers.all_closed())
        .await
        .is_err()
    {
        let open = gateway.callers.open_count();
        log::warn!(
            target: "process",
            "shutdown deadline reached; ending with {open} connections open",
        );
    }
    wait_for_reservations(&gateway, connections_end).await;
    let versions_in_use = gateway.backends.versions_in_use();
    let write_origins = gateway.stream_origins.write(&versions_in_use);
    let return_tokens = async {
        if let Some(configuration) = gateway.configuration() {
            gateway.budgets.return_unspent(&configuration, end).await;
        }
    };
    let (written, ()) = tokio::join!(timeout_at(end.into(), write_origins), return_tokens);
    if written.is_err() {
        log::warn!(target: "process", "the origins of the last streams were not written in time");
    }
    let told_by = end + LAST_ACCOUNTS_TIME;
    if timeout_at(told_by.into(), tell_last_accounts(&gateway))
        .await
        .is_err()
    {
        log::warn!(target: "budget", "not all routers were told the last accounts in time");
    }
    log::info!(target: "process", "drained");
    gateway.ended.notify_one();
}

/// Waits until other routers have settled their reservations, so that what they did not spend can be
/// returned; gives up at `deadline`.
async fn wait_for_reservations(gateway: &Gateway, deadline: Instant) {
    while !gateway.remote_reservations.is_empty() && Instant::now() < deadline {
        sleep(RESERVATION_CHECK_INTERVAL).await;
    }
}
