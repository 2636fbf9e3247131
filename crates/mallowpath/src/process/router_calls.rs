//! Handles the calls that other routers and sidecars open to a router.

use crate::{
    id::{Incarnation, Offset},
    peer::link::Responder,
    peer::wire::{CallFailed, Done, FrameBody},
    process::router::Router,
};
use std::sync::Arc;

/// Handles one call and sends its answer.
pub(crate) async fn serve_call(router: Arc<Router>, body: FrameBody, responder: Responder) {
    let answer = match body {
        FrameBody::SliceRequest(request) => match request.read() {
            Some(request) => match router.answer_slice_request(&request).await {
                Ok(reply) => FrameBody::SliceReply(reply),
                Err(error) => {
                    log::warn!("handing out a slice failed, refusing the call: {error}");
                    failed("ledger_unavailable")
                }
            },
            None => failed("bad_name"),
        },
        FrameBody::SliceReturn(returned) => match returned.read() {
            Some(returned) if router.accept_return(&returned).await => FrameBody::Done(Done {}),
            Some(_) => failed("slice_not_held"),
            None => failed("bad_name"),
        },
        FrameBody::KeepBills(keep) => {
            if router.bills.keep_for_peer(&keep, responder.link()) {
                FrameBody::Done(Done {})
            } else {
                failed("bad_bills")
            }
        }
        FrameBody::KeyCall(call) => match call.operation {
            Some(operation) => FrameBody::KeyReply(router.serve_key_call(operation).await),
            None => failed("not_served"),
        },
        FrameBody::FetchConfig(fetch) => {
            FrameBody::ConfigRecords(router.configuration.records_from(Offset(fetch.from)))
        }
        FrameBody::ReportKeepers(asked) => {
            match router.budgets.report_keepers(Incarnation(asked.router)) {
                Some(report) => FrameBody::KeepersReport(report),
                None => failed("not_fenced_here"),
            }
        }
        FrameBody::KeepersClosed(closed) => {
            router.budgets.forget_keepers(&closed.keepers);
            FrameBody::Done(Done {})
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
fn failed(code: &str) -> FrameBody {
    FrameBody::CallFailed(CallFailed { code: code.into() })
}
