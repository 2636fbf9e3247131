//! Requests to sidecars and routers for what was spent of the tokens to be reclaimed.

use crate::{
    backend_host::sidecar_calls::reserved_parts,
    billing::kept_bills::SidecarConfirmation,
    budget::slice::GrantSpent,
    id::{GrantId, Incarnation, Offset, Tokens},
    membership::members::{Fence, FenceTarget},
    membership::reclaim::RouterReclaim,
    peer::link::Link,
    peer::wire::{FrameBody, KeepersClosed, KeepersReport, ReportKeepers},
    process::router::Router,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::time::sleep;

/// The pause between two requests, which limits the request rate in a large fleet.
const REQUEST_PAUSE_MS: u64 = 5;
/// The timeout of one request to a sidecar or router.
const REQUEST_TIMEOUT_MS: u64 = 1000;

/// The confirmations of sidecars for one fenced router.
#[derive(Debug, Default)]
pub(crate) struct Confirmations {
    received: BTreeMap<Incarnation, SidecarConfirmation>,
}

impl Confirmations {
    /// Requests the missing confirmations and returns the proof.
    ///
    /// # Errors
    ///
    /// Fails with the sidecars whose confirmations are still missing.
    pub(crate) async fn collect(
        &mut self,
        router: &Router,
        fenced: Incarnation,
        fence: Offset,
    ) -> Result<RouterReclaim, BTreeSet<Incarnation>> {
        for (sidecar, address) in router.members.must_confirm(fence).unwrap_or_default() {
            if self.received.contains_key(&sidecar) {
                continue;
            }
            if let Some(confirmation) =
                request_confirmation(router, fenced, sidecar, &address).await
            {
                self.received.insert(sidecar, confirmation);
            }
            sleep(Duration::from_millis(REQUEST_PAUSE_MS)).await;
        }
        // A sidecar that left or was replaced meanwhile is no longer required. Callers compare the
        // offset at which it did so with those of the grants and slices that it may have billed.
        let required: BTreeSet<Incarnation> = router
            .members
            .must_confirm(fence)
            .unwrap_or_default()
            .into_keys()
            .collect();
        let mut missing = required.clone();
        missing.retain(|sidecar| !self.received.contains_key(sidecar));
        if !missing.is_empty() {
            return Err(missing);
        }
        let mut proof = RouterReclaim::new(fenced, required);
        for confirmation in self.received.values() {
            proof.confirm(confirmation);
        }
        Ok(proof)
    }
}

/// Asks a sidecar to refuse the fenced router; returns its confirmation once it runs nothing for
/// it.
async fn request_confirmation(
    router: &Router,
    fenced: Incarnation,
    sidecar: Incarnation,
    address: &str,
) -> Option<SidecarConfirmation> {
    let fence = FrameBody::Fence(Fence {
        target: Some(FenceTarget::Router(fenced.0)),
        author: router.incarnation.0,
    });
    match ask(router, sidecar, address, fence).await? {
        FrameBody::FenceReply(answer) if answer.idle => Some(SidecarConfirmation {
            sidecar,
            fenced,
            billed: reserved_parts(&answer.billed),
        }),
        FrameBody::FenceReply(_) => None,
        other => {
            log::warn!(
                "sidecar at {address} answered a fence unexpectedly; asking again: {other:?}"
            );
            None
        }
    }
}

/// Asks a router what it spent of a fenced router's grants; returns its report once it is settled.
pub(crate) async fn request_report(
    router: &Router,
    fenced: Incarnation,
    holder: Incarnation,
    address: &str,
) -> Option<Vec<GrantSpent>> {
    let report = if holder == router.incarnation {
        router.budgets.report_keepers(fenced)?
    } else {
        let request = FrameBody::ReportKeepers(ReportKeepers { router: fenced.0 });
        match ask(router, holder, address, request).await? {
            FrameBody::KeepersReport(report) => report,
            _ => return None,
        }
    };
    report.settled.then(|| spent_grants(&report))
}

/// Notifies a router of keepers whose grants are closed, so that it can discard their state.
pub(crate) async fn notify_closed_keepers(
    router: &Router,
    holder: Incarnation,
    address: &str,
    keepers: Vec<u64>,
) {
    if holder == router.incarnation {
        router.budgets.forget_keepers(&keepers);
        return;
    }
    let closed = FrameBody::KeepersClosed(KeepersClosed { keepers });
    if ask(router, holder, address, closed).await.is_none() {
        log::info!("router {holder} did not confirm the notice of closed keepers");
    }
}

fn spent_grants(report: &KeepersReport) -> Vec<GrantSpent> {
    let mut grants = Vec::with_capacity(report.grants.len());
    for sum in &report.grants {
        grants.push(GrantSpent {
            grant: GrantId::from(sum.grant),
            spent: Tokens(sum.tokens),
        });
    }
    grants
}

/// Sends a request to a process over the open connection, or over a temporary one if there is none.
async fn ask(
    router: &Router,
    peer: Incarnation,
    address: &str,
    body: FrameBody,
) -> Option<FrameBody> {
    let address: SocketAddr = address.parse().ok()?;
    let open = router.dialer.open_link(address);
    let is_temporary = open.is_none();
    let link = match open {
        Some(link) => link,
        None => match Link::dial(address, router.dialer.endpoint()).await {
            Ok(link) => link,
            Err(error) => {
                log::info!("connecting to process {peer} failed: {error}");
                return None;
            }
        },
    };
    let answer = ask_over(&link, peer, body).await;
    if is_temporary {
        link.close();
    }
    answer
}

async fn ask_over(link: &Arc<Link>, peer: Incarnation, body: FrameBody) -> Option<FrameBody> {
    if link.peer_incarnation() != peer {
        return None;
    }
    match link
        .call(body, Duration::from_millis(REQUEST_TIMEOUT_MS))
        .await
    {
        Ok(answer) => Some(answer),
        Err(error) => {
            log::info!("request to process {peer} failed: {error}");
            None
        }
    }
}
