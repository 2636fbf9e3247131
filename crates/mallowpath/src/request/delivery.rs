//! Forwarding of a response to its caller, which survives reconnects to the sidecar.

use crate::{
    memory::unread_answer::UnreadPart,
    peer::link::now_ms,
    peer::wire::{AnswerChunk, AnswerEnd, Attach, FrameBody, Stop},
    process::router::Router,
    request::refusal::{Code, Refusal},
    request::request_run::{Attempt, AttemptEnd, RETRY_AFTER_MS, RequestRun, ResponsePart},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::mpsc, time::timeout};

/// The time limit for reattaching to a run after its connection was lost.
const REATTACH_TIMEOUT_MS: u64 = 5000;
/// The time limit for reattaching a request that must not run twice, whose caller should learn soon
/// that it is lost.
const NON_REPEATABLE_REATTACH_TIMEOUT_MS: u64 = 1000;
/// The delay between attempts to reattach.
const REATTACH_DELAY_MS: u64 = 50;
/// The time limit for a sidecar to confirm that it stopped a run.
const STOP_TIMEOUT_MS: u64 = 2000;

/// The state of a response while it is forwarded.
pub(crate) struct Delivery {
    pub(crate) out: mpsc::Sender<ResponsePart>,
    pub(crate) next_chunk: u64,
    pub(crate) caller_left: bool,
    /// Whether the run belongs to another request, in which case it continues without this one.
    pub(crate) attached: bool,
    submitted_at_ms: u64,
    /// The time to the first chunk of the current attempt.
    first_chunk_ms: Option<u64>,
    /// The time to the latest chunk of the current attempt.
    last_chunk_ms: u64,
    /// The number of chunks of the current attempt.
    pub(crate) chunks: u64,
    /// The HTTP status of the current attempt; 0 until it is known.
    pub(crate) status: u32,
}

impl Router {
    /// Forwards a response until its end and reattaches to the run after a lost connection.
    ///
    /// A run whose caller disconnects is stopped, unless the request has an idempotency key.
    pub(crate) async fn deliver(
        &self,
        run: &RequestRun,
        attempt: &mut Attempt,
        deadline: Instant,
        delivery: &mut Delivery,
    ) -> AttemptEnd {
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let next = tokio::select! {
                next = timeout(remaining, attempt.call.next_part()) => next,
                () = delivery.out.closed(), if !delivery.caller_left => {
                    delivery.caller_left = true;
                    if run.key.is_none() {
                        return self.stop(run, attempt).await;
                    }
                    continue;
                }
            };
            match next {
                Ok(Some((FrameBody::Head(head), _))) => {
                    delivery.status = head.status;
                    delivery.send(ResponsePart::Head(head)).await;
                }
                Ok(Some((FrameBody::Chunk(chunk), part))) => {
                    if let Some(first_ms) = delivery.record_first_chunk(&chunk)
                        && !delivery.attached
                    {
                        self.first_token(run, attempt, first_ms);
                    }
                    if !delivery.forward_chunk(chunk, part).await
                        && !self.reattach(run, attempt, delivery).await
                    {
                        return AttemptEnd::Lost;
                    }
                }
                Ok(Some((FrameBody::End(end), _)))
                    if !end.whole || end.chunks == delivery.next_chunk =>
                {
                    attempt.call.finish();
                    return attempt_end(end);
                }
                Ok(Some((FrameBody::Refused(refused), _))) => {
                    attempt.call.finish();
                    let text = format!("the backend server refused: {}", refused.code);
                    let refusal = Refusal::not_run(Code::BackendRefused, text);
                    return AttemptEnd::Refused(refusal.with_retry_after(refused.retry_after_ms));
                }
                Ok(Some((FrameBody::CallFailed(failed), _))) => {
                    log::warn!(
                        "sidecar {} can't report the end of request {}, which counts as lost: {}",
                        attempt.address,
                        run.id,
                        failed.code
                    );
                    attempt.call.finish();
                    return AttemptEnd::Lost;
                }
                Ok(_) => {
                    if !self.reattach(run, attempt, delivery).await {
                        return AttemptEnd::Lost;
                    }
                }
                Err(_) if delivery.attached => return AttemptEnd::Lost,
                Err(_) => return self.stop(run, attempt).await,
            }
        }
    }

    fn first_token(&self, run: &RequestRun, attempt: &Attempt, first_ms: u64) {
        self.routes().first_token(run, attempt, first_ms);
        let unqueued_ms = attempt.forecast.unqueued_ms;
        self.admission
            .record_first_token(&run.service, first_ms, unqueued_ms);
    }

    /// Attaches to the same run on a new connection.
    ///
    /// Returns false if the sidecar was replaced or can't be reached in time.
    async fn reattach(&self, run: &RequestRun, attempt: &mut Attempt, delivery: &Delivery) -> bool {
        metrics::counter!("mallowpath_reattach_total").increment(1);
        let timeout_ms = if run.repeatable {
            REATTACH_TIMEOUT_MS
        } else {
            NON_REPEATABLE_REATTACH_TIMEOUT_MS
        };
        let give_up_at = Instant::now() + Duration::from_millis(timeout_ms);
        while Instant::now() < give_up_at {
            let attach = FrameBody::Attach(Attach {
                request: run.id.into(),
                from_chunk: delivery.next_chunk,
                sidecar: attempt.sidecar.0,
                wait_ms: 0,
                with_bill: delivery.attached,
            });
            if let Ok(link) = self.dialer.link(attempt.address).await {
                if link.peer_incarnation() != attempt.sidecar {
                    return false;
                }
                let unread = Some(Arc::clone(&run.unread));
                if let Ok(call) = link.open_answer_call(attach, unread).await {
                    attempt.call = call;
                    return true;
                }
            }
            tokio::time::sleep(Duration::from_millis(REATTACH_DELAY_MS)).await;
        }
        false
    }

    /// Stops a run and returns its end.
    async fn stop(&self, run: &RequestRun, attempt: &mut Attempt) -> AttemptEnd {
        attempt.call.finish();
        let stop = FrameBody::Stop(Stop {
            request: run.id.into(),
        });
        let Ok(link) = self.dialer.link(attempt.address).await else {
            return AttemptEnd::Lost;
        };
        if link.peer_incarnation() != attempt.sidecar {
            return AttemptEnd::Lost;
        }
        match link
            .call(stop, Duration::from_millis(STOP_TIMEOUT_MS))
            .await
        {
            Ok(FrameBody::End(end)) => attempt_end(end),
            Ok(FrameBody::Refused(_)) => {
                let text = "the request's time was over before it ran";
                AttemptEnd::Refused(Refusal::not_run(Code::DeadlineExceeded, text))
            }
            Ok(other) => {
                log::warn!(
                    "unexpected reply of sidecar {} to a stop, its request counts as lost: {other:?}",
                    attempt.address
                );
                AttemptEnd::Lost
            }
            Err(error) => {
                log::warn!("stopping a run failed, its request counts as lost: {error}");
                AttemptEnd::Lost
            }
        }
    }
}

impl Delivery {
    /// Creates the state of a response before its first attempt.
    pub(crate) fn new(out: mpsc::Sender<ResponsePart>) -> Self {
        Self {
            out,
            next_chunk: 0,
            caller_left: false,
            attached: false,
            submitted_at_ms: 0,
            first_chunk_ms: None,
            last_chunk_ms: 0,
            chunks: 0,
            status: 0,
        }
    }

    /// Resets the state for an attempt that was submitted at `submitted_at_ms`.
    pub(crate) fn begin(&mut self, submitted_at_ms: u64) {
        self.submitted_at_ms = submitted_at_ms;
        self.first_chunk_ms = None;
        self.chunks = 0;
        self.status = 0;
    }

    /// Records and returns the time to the first chunk of the attempt, if `chunk` is the first one.
    fn record_first_chunk(&mut self, chunk: &AnswerChunk) -> Option<u64> {
        if self.first_chunk_ms.is_some() || chunk.index != self.next_chunk {
            return None;
        }
        self.first_chunk_ms = Some(now_ms().saturating_sub(self.submitted_at_ms));
        self.first_chunk_ms
    }

    /// Returns the mean time between the chunks of the attempt, if there are at least two.
    pub(crate) fn interval_ms(&self) -> Option<f64> {
        let first_ms = self.first_chunk_ms?;
        if self.chunks < 2 {
            return None;
        }
        let span_ms = self.last_chunk_ms.saturating_sub(first_ms);
        Some(span_ms as f64 / (self.chunks - 1) as f64)
    }

    /// Forwards a chunk; returns false if a chunk before it is missing.
    async fn forward_chunk(&mut self, chunk: AnswerChunk, part: Option<UnreadPart>) -> bool {
        if chunk.index > self.next_chunk {
            return false;
        }
        if chunk.index < self.next_chunk {
            // The chunk already arrived on an earlier connection.
            return true;
        }
        self.next_chunk += 1;
        self.chunks += 1;
        self.last_chunk_ms = now_ms().saturating_sub(self.submitted_at_ms);
        self.send(ResponsePart::Data(chunk.data, part)).await;
        true
    }

    async fn send(&mut self, part: ResponsePart) {
        if !self.caller_left && self.out.send(part).await.is_err() {
            log::debug!("a caller disconnected during its response");
        }
    }
}

fn attempt_end(end: AnswerEnd) -> AttemptEnd {
    if end.ran {
        return AttemptEnd::End(end);
    }
    let text = format!("the backend server did not take the request: {}", end.code);
    AttemptEnd::NotRun(
        Refusal::not_run(Code::BackendRefused, text).with_retry_after(RETRY_AFTER_MS),
    )
}
