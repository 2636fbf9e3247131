//! Hands the bills that a sidecar keeps to another router when their own router can't log them.

use crate::{
    backend_host::sidecar::Sidecar,
    billing::bill::BillBatch,
    id::Incarnation,
    peer::link::{Link, now_ms},
    peer::wire::{FrameBody, KeepBills},
};
use prost::Message;
use std::{sync::Arc, time::Duration};

const KEEP_BILLS_TIMEOUT_MS: u64 = 1000;
/// Delay between two attempts to hand over the bills of a fenced router.
const HANDOVER_RETRY_MS: u64 = 1000;
/// How long a draining sidecar waits for routers to log the bills that it keeps.
const DRAIN_BILLS_TIMEOUT_MS: u64 = 15_000;
/// Interval at which a draining sidecar checks whether it still keeps bills.
const DRAIN_POLL_MS: u64 = 200;

impl Sidecar {
    /// Hands over a router's bills when its last connection has been closed for `lost_router_ms`.
    ///
    /// Retries until no bill is left or the router has connected again.
    pub(crate) async fn watch_router(&self, link: Arc<Link>) {
        let router = link.peer_incarnation();
        self.router_connections.opened(router);
        self.links().push(Arc::clone(&link));
        link.closed().await;
        self.links().retain(|open| !Arc::ptr_eq(open, &link));
        self.router_connections.closed(router);
        let pause = Duration::from_millis(self.settings.timing.lost_router_ms);
        tokio::time::sleep(pause).await;
        while !self.router_connections.is_open(router) && !self.hand_over_bills(router).await {
            tokio::time::sleep(pause).await;
        }
    }

    /// Hands over the bills of a fenced router, which can't log them itself, until all are logged.
    pub(crate) async fn hand_over_until_logged(&self, router: Incarnation) {
        while !self.hand_over_bills(router).await {
            tokio::time::sleep(Duration::from_millis(HANDOVER_RETRY_MS)).await;
        }
    }

    /// Asks another router to log the bills of a lost one; returns true if none are kept any more.
    async fn hand_over_bills(&self, router: Incarnation) -> bool {
        let bills = self.bills().bills_to_hand_over(router);
        if bills.is_empty() {
            return true;
        }
        let mut batch = BillBatch::default();
        for bill in &bills {
            batch.bills.push(bill.to_record());
        }
        let keep = KeepBills {
            batch: batch.encode_to_vec().into(),
            adopt: true,
        };
        let links = self.links().clone();
        for link in links {
            if link.peer_incarnation() == router {
                continue;
            }
            let asked = link.call(
                FrameBody::KeepBills(keep.clone()),
                Duration::from_millis(KEEP_BILLS_TIMEOUT_MS),
            );
            if let Ok(FrameBody::Done(_)) = asked.await {
                log::info!(
                    "{} logs {} bills of {router}",
                    link.peer().host,
                    bills.len()
                );
                break;
            }
        }
        false
    }

    /// Waits until routers have logged every bill kept here, up to [`DRAIN_BILLS_TIMEOUT_MS`].
    pub(crate) async fn wait_for_bills(&self) {
        let deadline = now_ms() + DRAIN_BILLS_TIMEOUT_MS;
        while self.bills().count() > 0 && now_ms() < deadline {
            tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
        if self.bills().count() > 0 {
            log::warn!(
                "ending with {} bills that routers still hold",
                self.bills().count()
            );
        }
    }
}
