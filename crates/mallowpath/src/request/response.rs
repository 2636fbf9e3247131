//! HTTP responses to callers: event streams, JSON objects and refusals.

use crate::{
    id::RequestId,
    memory::{buffer_budget::Buffer, held_answer::HeldAnswer, segments::Segments},
    peer::wire::AnswerHead,
    request::chat::{StreamEvent, Usage},
    request::refusal::{Code, Refusal},
    request::request_run::ResponsePart,
    request::run_outcome::Receipt,
};
use axum::{
    body::{Body, Bytes},
    http::{HeaderValue, Response, StatusCode, header},
};
use futures_util::Stream;
use serde_json::json;
use std::convert::Infallible;
use tokio::sync::mpsc;

const REQUEST_ID_HEADER: &str = "x-request-id";
const BILLED_TOKENS_HEADER: &str = "x-mallowpath-billed-tokens";

/// Responds with server-sent events; `[DONE]` follows only a complete and billed response.
///
/// A refusal before the first event is returned with its own HTTP status, and so is an error
/// response of the backend server.
pub(crate) async fn event_stream(
    id: RequestId,
    mut parts: mpsc::Receiver<ResponsePart>,
    buffer: Buffer,
) -> Response<Body> {
    match parts.recv().await {
        Some(ResponsePart::Refused(refusal)) => refusal_response(&refusal, id),
        Some(ResponsePart::Head(head)) if head.status >= 400 => {
            collect_response(id, Some(head), parts, buffer).await
        }
        Some(_) => {
            let body = Body::from_stream(event_stream_body(id, parts));
            response(StatusCode::OK, "text/event-stream", body, id)
        }
        None => refusal_response(&interrupted(), id),
    }
}

#[cold]
fn interrupted() -> Refusal {
    Refusal::unknown(Code::BackendFailed, "the answer broke off")
}

fn event_stream_body(
    id: RequestId,
    parts: mpsc::Receiver<ResponsePart>,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    futures_util::stream::unfold(parts, move |mut parts| async move {
        let part = parts.recv().await?;
        Some((Ok(encode_event(id, part)), parts))
    })
}

fn encode_event(id: RequestId, part: ResponsePart) -> Bytes {
    match part {
        ResponsePart::Head(_) => Bytes::from_static(b": started\n\n"),
        ResponsePart::Data(data, _) => {
            let mut text = Vec::with_capacity(data.len() + 8);
            text.extend_from_slice(b"data: ");
            text.extend_from_slice(&data);
            text.extend_from_slice(b"\n\n");
            Bytes::from(text)
        }
        ResponsePart::Whole(receipt) => {
            let last = json!({
                "id": receipt.request.to_string(),
                "object": "chat.completion.chunk",
                "choices": [],
                "usage": usage_json(&receipt),
                "mallowpath": billing_json(&receipt),
            });
            Bytes::from(format!("data: {last}\n\ndata: [DONE]\n\n"))
        }
        ResponsePart::Refused(refusal) => {
            let text = refusal.to_json(&id.to_string());
            Bytes::from(format!("event: error\ndata: {text}\n\n"))
        }
    }
}

fn usage_json(receipt: &Receipt) -> serde_json::Value {
    let Usage {
        prompt_tokens,
        completion_tokens,
    } = receipt.usage;
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    })
}

fn billing_json(receipt: &Receipt) -> serde_json::Value {
    json!({"request_id": receipt.request.to_string(), "billed_tokens": receipt.billed_tokens()})
}

/// Responds to a chat completion with one JSON object once the response is complete.
pub(crate) async fn chat_response(
    id: RequestId,
    mut parts: mpsc::Receiver<ResponsePart>,
    buffer: Buffer,
) -> Response<Body> {
    let mut text = String::new();
    let mut text_bytes = 0;
    let mut finish_reason = None;
    let mut error_head = None;
    let mut backend_body = Segments::new(None);
    while let Some(part) = parts.recv().await {
        match part {
            ResponsePart::Head(head) if head.status >= 400 => error_head = Some(head),
            ResponsePart::Head(_) => {}
            ResponsePart::Data(data, _part) if error_head.is_some() => {
                backend_body.push_when_released(data, &buffer).await;
            }
            ResponsePart::Data(data, _) => {
                let Ok(event) = serde_json::from_slice::<StreamEvent>(&data) else {
                    continue;
                };
                if let Some(content) = event.content {
                    text.push_str(&content);
                }
                if text.capacity() > text_bytes {
                    let more_bytes = text.capacity() - text_bytes;
                    buffer.grow_when_released(more_bytes).await;
                    text_bytes += more_bytes;
                }
                finish_reason = event.finish_reason.or(finish_reason);
            }
            ResponsePart::Whole(receipt) => {
                if let Some(head) = error_head {
                    let body = HeldAnswer::new(backend_body.finish(), buffer);
                    return backend_response(&head, body, &receipt);
                }
                let completion = json!({
                    "id": receipt.request.to_string(),
                    "object": "chat.completion",
                    "choices": [{
                        "index": 0,
                        "message": {"role": "assistant", "content": text},
                        "finish_reason": finish_reason,
                    }],
                    "usage": usage_json(&receipt),
                    "mallowpath": billing_json(&receipt),
                });
                let completion = Bytes::from(completion.to_string());
                buffer.grow_when_released(completion.len()).await;
                let body = Body::new(HeldAnswer::new(completion.into(), buffer));
                let response = response(StatusCode::OK, "application/json", body, receipt.request);
                return with_billed_tokens(response, &receipt);
            }
            ResponsePart::Refused(refusal) => return refusal_response(&refusal, id),
        }
    }
    refusal_response(&interrupted(), id)
}

/// Responds with the body of a plain service once it is complete.
pub(crate) async fn plain_response(
    id: RequestId,
    parts: mpsc::Receiver<ResponsePart>,
    buffer: Buffer,
) -> Response<Body> {
    collect_response(id, None, parts, buffer).await
}

async fn collect_response(
    id: RequestId,
    mut head: Option<AnswerHead>,
    mut parts: mpsc::Receiver<ResponsePart>,
    buffer: Buffer,
) -> Response<Body> {
    let mut backend_body = Segments::new(None);
    while let Some(part) = parts.recv().await {
        match part {
            ResponsePart::Head(received) => head = Some(received),
            ResponsePart::Data(data, _part) => {
                backend_body.push_when_released(data, &buffer).await;
            }
            ResponsePart::Whole(receipt) => {
                let Some(head) = head else { break };
                let body = HeldAnswer::new(backend_body.finish(), buffer);
                return backend_response(&head, body, &receipt);
            }
            ResponsePart::Refused(refusal) => return refusal_response(&refusal, id),
        }
    }
    refusal_response(&interrupted(), id)
}

/// Returns the response of a backend server with its own status and the number of billed tokens.
fn backend_response(head: &AnswerHead, body: HeldAnswer, receipt: &Receipt) -> Response<Body> {
    let status = u16::try_from(head.status)
        .ok()
        .and_then(|code| StatusCode::from_u16(code).ok());
    let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let response = response(status, &head.content_type, Body::new(body), receipt.request);
    with_billed_tokens(response, receipt)
}

fn with_billed_tokens(mut response: Response<Body>, receipt: &Receipt) -> Response<Body> {
    let value = HeaderValue::from(receipt.billed_tokens());
    response.headers_mut().insert(BILLED_TOKENS_HEADER, value);
    response
}

pub(crate) fn refusal_response(refusal: &Refusal, id: RequestId) -> Response<Body> {
    let text = refusal.to_json(&id.to_string());
    let mut response = response(refusal.status(), "application/json", Body::from(text), id);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = HeaderValue::from(retry_after_ms.div_ceil(1000));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

pub(crate) fn json_response(status: StatusCode, text: String, id: RequestId) -> Response<Body> {
    response(status, "application/json", Body::from(text), id)
}

fn response(status: StatusCode, content_type: &str, body: Body, id: RequestId) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(content_type)
        && !content_type.is_empty()
    {
        headers.insert(header::CONTENT_TYPE, value);
    }
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    response
}
