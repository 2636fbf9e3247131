//! Handles the calls that other routers and sidecars open to a router.

use crate::{
    id::{Incarnation, Offset},
    peer::link::Responder,
    peer::wire::{Body, CallFailed, Done},
    process::router::Router,
};
use std::sync::Arc;

/// Handles one call and sends its answer.
pub(crate) async fn serve_call(router: Arc<Router>, body: Body, responder: Responder) {
    let answer = match body {
        Body::SliceRequest(request) => match request.read() {
            Some(request) => match router.keep(&request).await {
                Ok(reply) => Body::SliceReply(reply),
                Err(error) => {
                    log::warn!("handing out a slice failed, refusing the call: {error}");
                    failed("ledger_unavailable")
                }
            },
            None => failed("bad_name"),
        },
        Body::SliceReturn(returned) => match returned.read() {
            Some(returned) if router.keep_return(&returned).await => Body::Done(Done {}),
            Some(_) => failed("slice_not_held"),
            None => failed("bad_name"),
        },
        Body::KeepBills(keep) => {
            if router.bills.keep_for_peer(&keep, responder.link()) {
                Body::Done(Done {})
            } else {
                failed("bad_bills")
            }
        }
        Body::KeyCall(call) => match call.ask {
            Some(ask) => Body::KeyReply(router.serve_key_call(ask).await),
            None => failed("not_served"),
        },
        Body::FetchConfig(fetch) => {
            Body::ConfigRecords(router.configuration.records_from(Offset(fetch.from)))
        }
        Body::ReportKeepers(asked) => {
            match router.budgets.report_keepers(Incarnation(asked.router)) {
                Some(report) => Body::KeepersReport(report),
                None => failed("not_fenced_here"),
            }
        }
        Body::KeepersClosed(closed) => {
            router.budgets.forget_keepers(&closed.keepers);
            Body::Done(Done {})
        }
        other => {
            log::warn!(
                "refusing a call from {} that a router does not serve",
                responder.link().remote()
            );
            log::debug!("refused call: {other:?}");
            failed("not_served")
        }
    };
    if !responder.send(answer).await {
        log::debug!(
            "the connection to {} closed before its answer was sent",
            responder.link().remote()
        );
    }
}

/// Returns the answer to a call that failed with `code`.
fn failed(code: &str) -> Body {
    Body::CallFailed(CallFailed { code: code.into() })
}
