//! What the end of a run means for the caller and for the bill.

use crate::{
    backend_host::backend_client::end_code,
    billing::bill::{Bill, BillOutcome},
    id::{RequestId, Tokens},
    peer::wire::AnswerEnd,
    process::router::Router,
    request::chat::Usage,
    request::refusal::{Code, Refusal},
    request::request_run::{Attempt, RETRY_AFTER_MS, RequestRun},
    request::reservation::Reservation,
};
use std::sync::Arc;

/// What was billed for a response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Receipt {
    /// The request that was billed; a retry with the same idempotency key gets the first request's
    /// id.
    pub(crate) request: RequestId,
    /// The token counts.
    pub(crate) usage: Usage,
}

impl Receipt {
    /// Returns the number of billed tokens.
    pub(crate) fn billed_tokens(&self) -> u64 {
        self.usage.prompt_tokens + self.usage.completion_tokens
    }
}

impl Router {
    /// Settles and bills a request whose end the sidecar reported.
    pub(crate) async fn close(
        self: &Arc<Self>,
        run: &RequestRun,
        reservation: Reservation,
        attempt: &Attempt,
        end: &AnswerEnd,
    ) -> Result<Receipt, Refusal> {
        let bill = self.settle_bill(run, reservation, end);
        let bill_durable = self.replicate_bill(bill, attempt).await;
        receipt(run.id, end, bill_durable)
    }

    /// Releases the unspent part of a reservation and returns the bill of the request.
    pub(crate) fn settle_bill(
        &self,
        run: &RequestRun,
        reservation: Reservation,
        end: &AnswerEnd,
    ) -> Bill {
        let bill = Bill {
            request: run.id,
            workspace: run.workspace.id.clone(),
            budget: reservation.budget.clone(),
            parts: reservation.parts.clone(),
            prompt_tokens: Tokens(end.prompt_tokens),
            completion_tokens: Tokens(end.completion_tokens),
            outcome: bill_outcome(end),
        }
        .charged();
        self.settle(reservation, bill.amount());
        bill
    }
}

/// Returns the outcome that the bill of an ended request records.
pub(crate) fn bill_outcome(end: &AnswerEnd) -> BillOutcome {
    match end.code.as_str() {
        "" => BillOutcome::Complete,
        end_code::STOPPED => BillOutcome::Cancelled,
        _ => BillOutcome::Cut,
    }
}

/// Returns whether a run failed without producing output or using tokens.
pub(crate) fn failed_without_cost(end: &AnswerEnd) -> bool {
    let cost = end.prompt_tokens + end.completion_tokens;
    end.code == end_code::FAILED && end.chunks == 0 && cost == 0
}

fn refusal_code(end: &AnswerEnd) -> Code {
    match end.code.as_str() {
        end_code::DEADLINE => Code::DeadlineExceeded,
        _ => Code::BackendFailed,
    }
}

/// Returns the receipt of a complete response with a durable bill.
///
/// # Errors
///
/// Fails if the response was cut off, or if its bill did not become durable in time.
pub(crate) fn receipt(
    request: RequestId,
    end: &AnswerEnd,
    bill_durable: bool,
) -> Result<Receipt, Refusal> {
    if !end.whole {
        let text = format!("the answer was cut off: {}", end.code);
        return Err(Refusal::ran(refusal_code(end), text));
    }
    if !bill_durable {
        let text = "the bill could not be made safe in time";
        return Err(Refusal::ran(Code::BillUnsafe, text).with_retry_after(RETRY_AFTER_MS));
    }
    metrics::counter!("mallowpath_whole_answers_total").increment(1);
    let usage = Usage {
        prompt_tokens: end.prompt_tokens,
        completion_tokens: end.completion_tokens,
    };
    Ok(Receipt { request, usage })
}

#[cold]
pub(crate) fn lost_refusal(attempt: &Attempt) -> Refusal {
    let text = format!(
        "backend server {} was lost during the request",
        attempt.backend
    );
    Refusal::unknown(Code::BackendFailed, text)
}
