//! Settlement of requests whose sidecar was lost before it reported their end.
//!
//! The reservation of such a request is kept until the sidecar reports what it billed, or is gone
//! for good. A sidecar that is gone may have billed the whole reservation, so all of it counts as
//! spent.

use crate::{
    id::{Incarnation, Tokens},
    peer::wire::{AnswerEnd, FrameBody, Stop},
    process::router::Router,
    request::request_run::RequestRun,
    request::reservation::Reservation,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// The interval at which a sidecar that can't be reached is queried.
const POLL_MS: u64 = 1000;
/// The time limit of a query.
const QUERY_TIMEOUT_MS: u64 = 2000;

/// The result of a query about a lost request.
enum QueryResult {
    /// The request did not run and will not.
    NeverRan,
    /// The request ended with this result.
    Ended(AnswerEnd),
    /// The sidecar is gone for good or no longer knows the request.
    Gone,
    /// The sidecar can't be reached at present.
    Unreachable,
}

/// Queries the sidecar of a lost request until it answers or is gone, and settles the reservation.
pub(crate) async fn settle_lost_request(
    router: Arc<Router>,
    run: RequestRun,
    reservation: Reservation,
    address: SocketAddr,
    sidecar: Incarnation,
) {
    metrics::gauge!("mallowpath_lost_requests").increment(1.0);
    let result = loop {
        match query_sidecar(&router, &run, address, sidecar).await {
            QueryResult::Unreachable => tokio::time::sleep(Duration::from_millis(POLL_MS)).await,
            result => break result,
        }
    };
    metrics::gauge!("mallowpath_lost_requests").decrement(1.0);
    match result {
        QueryResult::NeverRan => {
            router.settle(reservation, Tokens::ZERO);
            router.bills.abandon(run.id);
        }
        QueryResult::Ended(end) => {
            let bill = router.settle_bill(&run, reservation, &end);
            router.bills.record(bill);
        }
        QueryResult::Gone | QueryResult::Unreachable => {
            let mut reserved_tokens = 0;
            for part in &reservation.parts {
                reserved_tokens += part.tokens.0;
            }
            log::warn!(
                "request {} has no known end; its {reserved_tokens} reserved tokens count as spent",
                run.id
            );
            metrics::counter!("mallowpath_written_off_tokens_total").increment(reserved_tokens);
            router.settle(reservation, Tokens(reserved_tokens));
            router.bills.abandon(run.id);
        }
    }
}

async fn query_sidecar(
    router: &Router,
    run: &RequestRun,
    address: SocketAddr,
    sidecar: Incarnation,
) -> QueryResult {
    let Ok(link) = router.dialer.link(address).await else {
        let is_listed = router
            .hosts()
            .hosts
            .iter()
            .any(|host| host.address == address);
        return if is_listed {
            QueryResult::Unreachable
        } else {
            QueryResult::Gone
        };
    };
    if link.peer_incarnation() != sidecar {
        return QueryResult::Gone;
    }
    let stop = FrameBody::Stop(Stop {
        request: run.id.into(),
    });
    match link
        .call(stop, Duration::from_millis(QUERY_TIMEOUT_MS))
        .await
    {
        Ok(FrameBody::End(end)) if end.ran => QueryResult::Ended(end),
        Ok(FrameBody::End(_) | FrameBody::Refused(_)) => QueryResult::NeverRan,
        Ok(FrameBody::CallFailed(_)) => QueryResult::Gone,
        Ok(other) => {
            log::warn!(
                "unexpected reply of sidecar {} to a stop, the sidecar counts as gone: {other:?}",
                link.remote()
            );
            QueryResult::Gone
        }
        Err(_) => QueryResult::Unreachable,
    }
}
