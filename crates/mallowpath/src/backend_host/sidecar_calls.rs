//! Handles the calls that routers open to a sidecar.

use crate::{
    backend_host::backend_client::{AnswerPart, end_code},
    backend_host::run_table::{AttachAnswer, RunEnd, RunKey, Submit as RunSubmit, SubmitAnswer},
    backend_host::sidecar::Sidecar,
    billing::bill::Bill,
    id::{Incarnation, RequestId, Tokens},
    keys::key_records::KeyHash,
    membership::members::{Fence, FenceTarget},
    memory::{
        buffer_budget::{Buffer, MemoryShort},
        buffer_table::{BufferKind, CallerId},
    },
    peer::link::{Responder, now_ms},
    peer::wire::{
        self, AnswerChunk, AnswerEnd, Attach, BillsLogged, CallFailed, Done, FenceReply, FrameBody,
        Refused, Stop, Submit, SubmitIdempotencyKey,
    },
    request::reservation::SlicePart,
    request::run_outcome::bill_outcome,
};
use prost::Message;
use std::{sync::Arc, time::Duration};

/// Bytes up to which the body of a request is part of the memory of the process itself.
const BODY_FREE_BYTES: usize = 16 << 10;
/// Interval at which an attach checks whether its submit has arrived.
const SUBMIT_POLL_MS: u64 = 5;

/// Handles one call and sends its answer.
pub(crate) async fn serve_call(sidecar: Arc<Sidecar>, body: FrameBody, responder: Responder) {
    match body {
        FrameBody::Submit(submit) => serve_submit(sidecar, submit, responder).await,
        FrameBody::Attach(attach) => serve_attach(&sidecar, &attach, &responder).await,
        FrameBody::Stop(stop) => serve_stop(&sidecar, &stop, &responder).await,
        FrameBody::Order(order) => {
            let reply = sidecar.orders.forward(&order).await;
            send_answer(&responder, FrameBody::OrderReply(reply)).await;
        }
        FrameBody::Fence(fence) => serve_fence(&sidecar, &fence, &responder).await,
        FrameBody::BillsLogged(logged) => {
            sidecar.bills_logged(&logged);
            send_answer(&responder, FrameBody::Done(Done {})).await;
        }
        other => {
            log::warn!(
                "refusing a call from {} that a sidecar does not serve",
                responder.link().remote()
            );
            log::debug!("refused call: {other:?}");
            let failed = CallFailed {
                code: "not_served".into(),
            };
            send_answer(&responder, FrameBody::CallFailed(failed)).await;
        }
    }
}

async fn serve_submit(sidecar: Arc<Sidecar>, submit: Submit, responder: Responder) {
    let id = RequestId::from(submit.request);
    let mut body_memory = sidecar.hold_body(&submit);
    let decision = {
        // The check and the insertion share one lock, so that a later drain counts the run.
        let accepting = sidecar.accepting();
        let mut runs = sidecar.runs();
        let decision = if accepting {
            runs.table
                .submit(&table_submit(&submit, body_memory.is_ok()))
        } else {
            SubmitAnswer::Leaving
        };
        if decision == SubmitAnswer::Start {
            runs.signals.insert(id, Arc::default());
            let in_flight_guard = sidecar.in_flight.enter();
            let sidecar = Arc::clone(&sidecar);
            let body_memory = std::mem::replace(&mut body_memory, Err(MemoryShort));
            tokio::spawn(async move {
                execute_run(&sidecar, id, submit).await;
                drop((in_flight_guard, body_memory));
            });
        }
        decision
    };
    drop(body_memory);
    let (code, retry_after_ms) = match decision {
        SubmitAnswer::Start => {
            stream_answer(&sidecar, id, 0, &responder, false).await;
            sidecar.runs().table.detach(id, now_ms());
            return;
        }
        SubmitAnswer::AlreadyRunning => {
            let attach = Attach {
                request: id.into(),
                from_chunk: 0,
                sidecar: sidecar.incarnation.0,
                ..Attach::default()
            };
            return serve_attach(&sidecar, &attach, &responder).await;
        }
        SubmitAnswer::Evicted => {
            let failed = CallFailed {
                code: "forgotten".into(),
            };
            return send_answer(&responder, FrameBody::CallFailed(failed)).await;
        }
        SubmitAnswer::Tombstoned => ("tombstoned", 0),
        SubmitAnswer::Fenced(_) => ("fenced", 0),
        SubmitAnswer::EpochFenced => ("epoch_fenced", 0),
        SubmitAnswer::Leaving => ("leaving", 0),
        SubmitAnswer::OtherIncarnation => ("other_incarnation", 0),
        SubmitAnswer::Full { retry_after_ms } => ("full", retry_after_ms),
    };
    send_answer(
        &responder,
        FrameBody::Refused(Refused {
            code: code.into(),
            retry_after_ms,
        }),
    )
    .await;
}

/// Converts a submit from its wire form.
fn table_submit(submit: &Submit, has_memory: bool) -> RunSubmit {
    let key = submit.key.as_ref().and_then(run_key);
    RunSubmit {
        id: submit.request.into(),
        sidecar: Incarnation(submit.sidecar),
        lowest_open: submit.lowest_open,
        key,
        tombstone_on_refusal: key.is_some(),
        has_memory,
    }
}

/// Converts a key from its wire form; returns `None` when its hash has the wrong length.
fn run_key(key: &SubmitIdempotencyKey) -> Option<RunKey> {
    let hash = <[u8; 16]>::try_from(key.hash.as_ref()).ok()?;
    Some(RunKey {
        hash: KeyHash(hash),
        body_hash: key.body_hash,
        committed_in: key.committed_in,
    })
}

/// Runs a request at the backend server and stores its answer and its bill.
async fn execute_run(sidecar: &Arc<Sidecar>, id: RequestId, submit: Submit) {
    let Some(signals) = sidecar.runs().signals.get(&id).map(Arc::clone) else {
        return;
    };
    let request_id = id.to_string();
    let mut chunks = 0;
    let emit = |part| {
        match part {
            AnswerPart::Head(head) => drop(signals.head.set(head)),
            AnswerPart::Data(data) => {
                sidecar.runs().table.push_chunk(id, data);
                chunks += 1;
            }
        }
        signals.progress.notify_waiters();
    };
    let mut end = sidecar
        .backend_client
        .run(&submit, &request_id, &signals.stop, emit)
        .await;
    end.chunks = chunks;
    if end.code == end_code::FAILED && chunks == 0 {
        end.backend_ended = sidecar.backend_client.has_ended().await;
    }
    let bill = make_bill(id, &submit, &end);
    // A run that failed at no cost gets no bill, as it may be retried elsewhere under the same
    // identifier.
    if bill.amount() > Tokens::ZERO || end.whole {
        sidecar.bills().keep(bill);
    }
    let run_end = if end.whole {
        RunEnd::Complete
    } else {
        RunEnd::Incomplete
    };
    signals.set_end(end);
    sidecar.runs().table.end(id, run_end, now_ms());
    signals.progress.notify_waiters();
}

fn make_bill(id: RequestId, submit: &Submit, end: &AnswerEnd) -> Bill {
    Bill {
        request: id,
        workspace: submit.workspace.parse().expect("the router sends names"),
        budget: submit.budget.parse().expect("the router sends names"),
        parts: reserved_parts(&submit.parts),
        prompt_tokens: Tokens(end.prompt_tokens),
        completion_tokens: Tokens(end.completion_tokens),
        outcome: bill_outcome(end),
    }
    .charged()
}

/// Converts the parts of a reservation from their wire form.
pub(crate) fn reserved_parts(parts: &[wire::SlicePart]) -> Vec<SlicePart> {
    let mut reserved = Vec::with_capacity(parts.len());
    for part in parts {
        reserved.push(SlicePart {
            slice: part.slice.into(),
            grant: part.grant.into(),
            tokens: Tokens(part.tokens),
        });
    }
    reserved
}

async fn serve_attach(sidecar: &Arc<Sidecar>, attach: &Attach, responder: &Responder) {
    let id = RequestId::from(attach.request);
    if Incarnation(attach.sidecar) != sidecar.incarnation {
        let failed = CallFailed {
            code: "other_incarnation".into(),
        };
        return send_answer(responder, FrameBody::CallFailed(failed)).await;
    }
    wait_for_submit(sidecar, id, attach.wait_ms).await;
    let attached = sidecar.runs().table.attach(id, usize::MAX);
    match attached {
        AttachAnswer::Chunks { .. } => {
            stream_answer(sidecar, id, attach.from_chunk, responder, attach.with_bill).await;
            sidecar.runs().table.detach(id, now_ms());
        }
        AttachAnswer::NeverRuns => {
            let refused = Refused {
                code: "never_ran".into(),
                retry_after_ms: 0,
            };
            send_answer(responder, FrameBody::Refused(refused)).await;
        }
        AttachAnswer::Evicted => {
            let failed = CallFailed {
                code: "forgotten".into(),
            };
            send_answer(responder, FrameBody::CallFailed(failed)).await;
        }
    }
}

/// Waits up to `wait_ms` for a submit still in transit, before an attach writes its tombstone.
async fn wait_for_submit(sidecar: &Sidecar, id: RequestId, wait_ms: u64) {
    let deadline = now_ms().saturating_add(wait_ms);
    while sidecar.runs().table.is_new(id) && now_ms() < deadline {
        tokio::time::sleep(Duration::from_millis(SUBMIT_POLL_MS)).await;
    }
}

/// Sends an answer from `from_chunk` on until its end, or until the router cancels the call.
async fn stream_answer(
    sidecar: &Arc<Sidecar>,
    id: RequestId,
    from_chunk: u64,
    responder: &Responder,
    with_bill: bool,
) {
    let Some(signals) = sidecar.runs().signals.get(&id).map(Arc::clone) else {
        return;
    };
    let mut next = from_chunk;
    let mut head_sent = false;
    loop {
        let changed = signals.progress.notified();
        // The end is read before the chunks: chunks that precede it are then always sent first.
        let end = signals.ended();
        if let Some(head) = signals.head.get()
            && !head_sent
        {
            head_sent = true;
            if !responder.send(FrameBody::Head(head.clone())).await {
                return;
            }
        }
        let first = usize::try_from(next).unwrap_or(usize::MAX);
        let chunks = sidecar.runs().table.chunks_from(id, first);
        let no_new_chunks = chunks.is_empty();
        for data in chunks {
            let chunk = AnswerChunk { index: next, data };
            if !responder.send(FrameBody::Chunk(chunk)).await {
                return;
            }
            next += 1;
        }
        if let Some(mut end) = end {
            if with_bill && let Some(bill) = sidecar.bills().get(id) {
                end.bill = bill.to_record().encode_to_vec().into();
            }
            responder.send(FrameBody::End(end)).await;
            return;
        }
        if !no_new_chunks {
            continue;
        }
        tokio::select! {
            () = changed => {}
            () = responder.cancelled() => return,
        }
    }
}

async fn serve_stop(sidecar: &Arc<Sidecar>, stop: &Stop, responder: &Responder) {
    let id = RequestId::from(stop.request);
    let (attached, signals) = {
        let mut runs = sidecar.runs();
        let attached = runs.table.attach(id, usize::MAX);
        (attached, runs.signals.get(&id).map(Arc::clone))
    };
    let (AttachAnswer::Chunks { .. }, Some(signals)) = (&attached, signals) else {
        if attached == AttachAnswer::NeverRuns {
            let refused = Refused {
                code: "never_ran".into(),
                retry_after_ms: 0,
            };
            return send_answer(responder, FrameBody::Refused(refused)).await;
        }
        if let Some(end) = sidecar.end_from_bill(id) {
            return send_answer(responder, FrameBody::End(end)).await;
        }
        let failed = CallFailed {
            code: "forgotten".into(),
        };
        return send_answer(responder, FrameBody::CallFailed(failed)).await;
    };
    signals.stop.cancel();
    let end = signals.wait_for_end().await;
    send_answer(responder, FrameBody::End(end)).await;
    sidecar.runs().table.detach(id, now_ms());
}

async fn serve_fence(sidecar: &Arc<Sidecar>, fence: &Fence, responder: &Responder) {
    let Some(target) = fence.target else { return };
    let (idle, billed, newly_sealed) = {
        let mut runs = sidecar.runs();
        for id in runs.table.fence(target) {
            if let Some(signals) = runs.signals.get(&id) {
                signals.stop.cancel();
            }
        }
        let idle = runs.table.fence_done(target);
        // A run's bill is stored before its end is recorded in the table, so no bill is added after
        // the seal.
        match target {
            FenceTarget::Router(router) if idle => {
                let router = Incarnation(router);
                let is_first = !sidecar.bills().is_sealed(router);
                (
                    idle,
                    sidecar.billed_parts(router),
                    is_first.then_some(router),
                )
            }
            _ => (idle, Vec::new(), None),
        }
    };
    if let Some(router) = newly_sealed {
        let sidecar = Arc::clone(sidecar);
        tokio::spawn(async move { sidecar.hand_over_until_logged(router).await });
    }
    send_answer(
        responder,
        FrameBody::FenceReply(FenceReply { idle, billed }),
    )
    .await;
}

/// Sends the single answer of a call; a peer whose connection closed has to ask again.
async fn send_answer(responder: &Responder, body: FrameBody) {
    if !responder.send(body).await {
        log::debug!(
            "the connection to {} closed before its answer was sent",
            responder.link().remote()
        );
    }
}

impl Sidecar {
    /// Accounts for the body of a request until the request has run.
    ///
    /// Routers divide the memory among their callers, so here each request counts as a caller of its own.
    fn hold_body(&self, submit: &Submit) -> Result<Buffer, MemoryShort> {
        let request = RequestId::from(submit.request).to_string();
        let caller = CallerId::of(request.as_bytes());
        let buffer = self.buffers.open(caller, BufferKind::Whole);
        if submit.body.len() > BODY_FREE_BYTES {
            buffer.grow_now(submit.body.len())?;
        }
        Ok(buffer)
    }

    /// Seals the bills of a fenced router and returns what was billed to each of its slices.
    ///
    /// A later bill of the router is refused.
    fn billed_parts(&self, router: Incarnation) -> Vec<wire::SlicePart> {
        let confirmation = self.bills().seal(self.incarnation, router);
        let mut parts = Vec::with_capacity(confirmation.billed.len());
        for part in confirmation.billed {
            parts.push(wire::SlicePart {
                slice: part.slice.into(),
                tokens: part.tokens.0,
                grant: part.grant.into(),
            });
        }
        parts
    }

    /// Returns the end of a request whose answer was evicted while its bill is still kept.
    ///
    /// Without that end the router would write the request off, and its watermark would then drop
    /// the bill.
    fn end_from_bill(&self, request: RequestId) -> Option<AnswerEnd> {
        let bills = self.bills();
        let bill = bills.get(request)?;
        Some(AnswerEnd {
            ran: true,
            prompt_tokens: bill.prompt_tokens.0,
            completion_tokens: bill.completion_tokens.0,
            code: "forgotten".into(),
            ..AnswerEnd::default()
        })
    }

    /// Drops the bills that another router has logged.
    fn bills_logged(&self, logged: &BillsLogged) {
        let mut bills = self.bills();
        for request in &logged.requests {
            bills.logged((*request).into());
        }
    }
}
