//! The callers' HTTP interface.
//!
//! | path | task |
//! |---|---|
//! | `POST /v1/chat/completions` | a chat completion, as JSON or as server-sent events |
//! | `GET /v1/models` | the models that the workspace may call |
//! | any `/services/{service}/{path}` | a call of a plain service |

use crate::{
    chat::{ChatRequest, StreamEvent, Usage},
    fleet::{BearerHash, Service, ServiceKind, Workspace},
    id::{RequestId, ServiceId},
    job::{Job, Output, Receipt},
    prefix::prefix_hashes,
    refusal::{Code, Refusal},
    router::Router,
    wire::Head,
};
use axum::{
    body::{Body, Bytes},
    extract::{Path, Request, State},
    http::{HeaderMap, HeaderValue, Response, StatusCode, header},
    routing::{any, get, post},
};
use futures_util::Stream;
use http_body_util::{BodyExt, Limited};
use serde_json::json;
use std::{convert::Infallible, fmt::Write, sync::Arc, time::Duration};
use tokio::{sync::mpsc, time::timeout};

/// Parts of an answer that wait for a slow caller.
const WAITING_OUTPUTS: usize = 256;
const REQUEST_ID: &str = "x-request-id";
const BILLED_TOKENS: &str = "x-mallowpath-billed-tokens";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header by which a caller marks a request as not repeatable: `no`.
const REPEATABLE: &str = "x-mallowpath-repeatable";
const MAX_KEY_BYTES: usize = 255;

/// A caller's answer to a refusal needs the request's identifier, once there is one.
type Refused = (Refusal, Option<RequestId>);

/// Returns the callers' paths.
pub(crate) fn routes(router: Arc<Router>) -> axum::Router {
    axum::Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/models", get(models))
        .route("/services/{service}", any(plain_root))
        .route("/services/{service}/{*path}", any(plain))
        .fallback(|| async { refusal_response(&not_found(), None) })
        .with_state(router)
}

fn not_found() -> Refusal {
    Refusal::not_run(
        Code::NotFound,
        "no such path; see /v1/chat/completions and /services/",
    )
}

async fn chat(State(router): State<Arc<Router>>, request: Request) -> Response<Body> {
    match start_chat(&router, request).await {
        Ok((id, true, outputs)) => event_stream(id, outputs).await,
        Ok((id, false, outputs)) => whole_chat(id, outputs).await,
        Err((refusal, id)) => refusal_response(&refusal, id),
    }
}

async fn start_chat(
    router: &Arc<Router>,
    request: Request,
) -> Result<(RequestId, bool, mpsc::Receiver<Output>), Refused> {
    let (parts, body) = request.into_parts();
    let workspace = authorize(router, &parts.headers)?;
    let body = read_body(router, body).await?;
    let chat = ChatRequest::from_slice(&body)
        .map_err(|text| (Refusal::not_run(Code::InvalidRequest, text), None))?;
    let service = find_service(router, &workspace, &chat.model, ServiceKind::Model)?;
    check_adapter(&service, &chat)?;
    let cap = cap_tokens(&workspace, &service, &chat);
    let key = idempotency_key(&parts.headers)?;
    let priority = u32::from(workspace.priority);
    let id = router.next_request();
    let job = Job {
        id,
        prefix_hashes: prefix_hashes(chat.prompt.as_bytes()),
        adapter: chat.adapter.as_deref().map(Arc::from),
        prompt_tokens: chat.reserved_prompt_tokens(),
        cap_tokens: cap,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        body: Bytes::from(chat.engine_body(cap, priority)),
        key,
        repeatable: repeatable(&parts.headers, &service),
        workspace,
        service,
    };
    Ok((id, chat.stream, start(router, job)))
}

fn cap_tokens(workspace: &Workspace, service: &Service, chat: &ChatRequest) -> u64 {
    let most = workspace
        .max_output_tokens
        .0
        .min(service.max_output_tokens.0);
    let asked = chat.max_tokens.unwrap_or(service.default_output_tokens.0);
    asked.min(most)
}

fn check_adapter(service: &Service, chat: &ChatRequest) -> Result<(), Refused> {
    let Some(adapter) = &chat.adapter else {
        return Ok(());
    };
    if service.adapters.contains(adapter.as_str()) {
        return Ok(());
    }
    let text = format!("model {} has no adapter {adapter}", service.id);
    Err((Refusal::not_run(Code::NotFound, text), None))
}

async fn models(State(router): State<Arc<Router>>, headers: HeaderMap) -> Response<Body> {
    let workspace = match authorize(&router, &headers) {
        Ok(workspace) => workspace,
        Err((refusal, id)) => return refusal_response(&refusal, id),
    };
    let fleet = router.fleet();
    let mut data = Vec::new();
    for service in fleet.services.values() {
        if service.kind != ServiceKind::Model || !workspace.services.allows(&service.id) {
            continue;
        }
        data.push(model_entry(service.id.as_str()));
        for adapter in &service.adapters {
            data.push(model_entry(&format!("{}:{adapter}", service.id)));
        }
    }
    json_response(
        StatusCode::OK,
        json!({"object": "list", "data": data}).to_string(),
    )
}

fn model_entry(id: &str) -> serde_json::Value {
    json!({"id": id, "object": "model", "owned_by": "mallowpath"})
}

async fn plain_root(
    state: State<Arc<Router>>,
    Path(service): Path<String>,
    request: Request,
) -> Response<Body> {
    plain(state, Path((service, String::new())), request).await
}

async fn plain(
    State(router): State<Arc<Router>>,
    Path((service, path)): Path<(String, String)>,
    request: Request,
) -> Response<Body> {
    match start_plain(&router, &service, &path, request).await {
        Ok((id, outputs)) => whole_plain(id, outputs).await,
        Err((refusal, id)) => refusal_response(&refusal, id),
    }
}

async fn start_plain(
    router: &Arc<Router>,
    service: &str,
    path: &str,
    request: Request,
) -> Result<(RequestId, mpsc::Receiver<Output>), Refused> {
    let (parts, body) = request.into_parts();
    let workspace = authorize(router, &parts.headers)?;
    let service = find_service(router, &workspace, service, ServiceKind::Plain)?;
    let body = read_body(router, body).await?;
    let key = idempotency_key(&parts.headers)?;
    let id = router.next_request();
    let query = match parts.uri.query() {
        Some(query) => format!("?{query}"),
        None => String::new(),
    };
    let job = Job {
        id,
        prefix_hashes: Vec::new(),
        adapter: None,
        prompt_tokens: 0,
        cap_tokens: service.tokens_per_call.0,
        method: parts.method.as_str().into(),
        path: format!("/{path}{query}").into(),
        body,
        key,
        repeatable: repeatable(&parts.headers, &service),
        workspace,
        service,
    };
    Ok((id, start(router, job)))
}

fn start(router: &Arc<Router>, job: Job) -> mpsc::Receiver<Output> {
    let (sender, outputs) = mpsc::channel(WAITING_OUTPUTS);
    router.launch(job, sender);
    outputs
}

fn authorize(router: &Router, headers: &HeaderMap) -> Result<Arc<Workspace>, Refused> {
    let refuse = |text: &str| (Refusal::not_run(Code::Unauthorized, text), None);
    let Some(value) = headers.get(header::AUTHORIZATION) else {
        return Err(refuse(
            "header Authorization is missing; send Bearer and the key",
        ));
    };
    let key = value
        .to_str()
        .ok()
        .and_then(|text| text.strip_prefix("Bearer "));
    let Some(key) = key else {
        return Err(refuse("header Authorization must be Bearer and the key"));
    };
    match router.fleet().workspace_by_key(BearerHash::of(key.trim())) {
        Some(workspace) => Ok(Arc::clone(workspace)),
        None => Err(refuse("no workspace has this key")),
    }
}

async fn read_body(router: &Router, body: Body) -> Result<Bytes, Refused> {
    let max_bytes = router.fleet().rules.max_body_bytes;
    let limited = Limited::new(body, usize::try_from(max_bytes).unwrap_or(usize::MAX));
    let body_ms = router.settings.tuning.body_timeout_ms;
    match timeout(Duration::from_millis(body_ms), limited.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let text = format!("the body is larger than {max_bytes} bytes");
            Err((Refusal::not_run(Code::BodyTooLarge, text), None))
        }
        Ok(Err(error)) => {
            let text = format!("the body broke off: {error}");
            Err((Refusal::not_run(Code::InvalidRequest, text), None))
        }
        Err(_) => {
            let text = format!("the body did not arrive within {body_ms} ms");
            Err((Refusal::not_run(Code::InvalidRequest, text), None))
        }
    }
}

fn find_service(
    router: &Router,
    workspace: &Workspace,
    name: &str,
    kind: ServiceKind,
) -> Result<Arc<Service>, Refused> {
    let fleet = router.fleet();
    let found = name
        .parse::<ServiceId>()
        .ok()
        .and_then(|id| fleet.services.get(&id));
    let service = match found {
        Some(service) if service.kind == kind => service,
        _ => {
            let text = format!("no model or service is called {name:?}");
            return Err((Refusal::not_run(Code::NotFound, text), None));
        }
    };
    if !workspace.services.allows(&service.id) {
        let text = format!("workspace {} may not call {name}", workspace.id);
        return Err((Refusal::not_run(Code::Forbidden, text), None));
    }
    Ok(Arc::clone(service))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refused> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(Arc::from(key))),
        _ => {
            let text = format!("header Idempotency-Key must be 1 to {MAX_KEY_BYTES} ASCII letters");
            Err((Refusal::not_run(Code::InvalidRequest, text), None))
        }
    }
}

fn repeatable(headers: &HeaderMap, service: &Service) -> bool {
    let marked = headers.get(REPEATABLE).is_some_and(|value| value == "no");
    service.repeatable && !marked
}

/// Answers with server-sent events; `[DONE]` comes only behind a whole and billed answer.
///
/// A refusal before the first event gets its own HTTP status.
async fn event_stream(id: RequestId, mut outputs: mpsc::Receiver<Output>) -> Response<Body> {
    match outputs.recv().await {
        Some(Output::Refused(refusal)) => refusal_response(&refusal, Some(id)),
        Some(Output::Head(head)) if head.status >= 400 => {
            collect_plain(id, Some(head), outputs).await
        }
        Some(_) => {
            let body = Body::from_stream(events(id, outputs));
            response(StatusCode::OK, "text/event-stream", body, Some(id))
        }
        None => refusal_response(&broke_off(), Some(id)),
    }
}

#[cold]
fn broke_off() -> Refusal {
    Refusal::unknown(Code::BackendFailed, "the answer broke off")
}

fn events(
    id: RequestId,
    outputs: mpsc::Receiver<Output>,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    futures_util::stream::unfold(outputs, move |mut outputs| async move {
        let output = outputs.recv().await?;
        Some((Ok(event(id, output)), outputs))
    })
}

fn event(id: RequestId, output: Output) -> Bytes {
    match output {
        Output::Head(_) => Bytes::from_static(b": started\n\n"),
        Output::Data(data) => {
            let mut text = Vec::with_capacity(data.len() + 8);
            text.extend_from_slice(b"data: ");
            text.extend_from_slice(&data);
            text.extend_from_slice(b"\n\n");
            Bytes::from(text)
        }
        Output::Whole(receipt) => {
            let last = json!({
                "id": receipt.request.to_string(),
                "object": "chat.completion.chunk",
                "choices": [],
                "usage": usage(&receipt),
                "mallowpath": billed(&receipt),
            });
            Bytes::from(format!("data: {last}\n\ndata: [DONE]\n\n"))
        }
        Output::Refused(refusal) => {
            let text = refusal.to_json(Some(&id.to_string()));
            Bytes::from(format!("event: error\ndata: {text}\n\n"))
        }
    }
}

fn usage(receipt: &Receipt) -> serde_json::Value {
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

fn billed(receipt: &Receipt) -> serde_json::Value {
    json!({"request_id": receipt.request.to_string(), "billed_tokens": receipt.billed_tokens()})
}

/// Answers with one JSON object once the answer is whole.
async fn whole_chat(id: RequestId, mut outputs: mpsc::Receiver<Output>) -> Response<Body> {
    let mut text = String::new();
    let mut finish_reason = None;
    let mut failed_head = None;
    let mut raw = Vec::new();
    while let Some(output) = outputs.recv().await {
        match output {
            Output::Head(head) if head.status >= 400 => failed_head = Some(head),
            Output::Head(_) => {}
            Output::Data(data) if failed_head.is_some() => raw.extend_from_slice(&data),
            Output::Data(data) => {
                let Ok(event) = serde_json::from_slice::<StreamEvent>(&data) else {
                    continue;
                };
                if let Some(content) = event.content {
                    text.push_str(&content);
                }
                finish_reason = event.finish_reason.or(finish_reason);
            }
            Output::Whole(receipt) => {
                if let Some(head) = failed_head {
                    return passed_on(&head, raw, &receipt);
                }
                let answer = json!({
                    "id": receipt.request.to_string(),
                    "object": "chat.completion",
                    "choices": [{
                        "index": 0,
                        "message": {"role": "assistant", "content": text},
                        "finish_reason": finish_reason,
                    }],
                    "usage": usage(&receipt),
                    "mallowpath": billed(&receipt),
                });
                let body = Body::from(answer.to_string());
                let response = response(
                    StatusCode::OK,
                    "application/json",
                    body,
                    Some(receipt.request),
                );
                return with_bill(response, &receipt);
            }
            Output::Refused(refusal) => return refusal_response(&refusal, Some(id)),
        }
    }
    refusal_response(&broke_off(), Some(id))
}

async fn whole_plain(id: RequestId, outputs: mpsc::Receiver<Output>) -> Response<Body> {
    collect_plain(id, None, outputs).await
}

async fn collect_plain(
    id: RequestId,
    mut answer_head: Option<Head>,
    mut outputs: mpsc::Receiver<Output>,
) -> Response<Body> {
    let mut raw = Vec::new();
    while let Some(output) = outputs.recv().await {
        match output {
            Output::Head(head) => answer_head = Some(head),
            Output::Data(data) => raw.extend_from_slice(&data),
            Output::Whole(receipt) => {
                let Some(head) = answer_head else { break };
                return passed_on(&head, raw, &receipt);
            }
            Output::Refused(refusal) => return refusal_response(&refusal, Some(id)),
        }
    }
    refusal_response(&broke_off(), Some(id))
}

/// Hands on an answer of a backend server with its own status.
fn passed_on(head: &Head, raw: Vec<u8>, receipt: &Receipt) -> Response<Body> {
    let status = u16::try_from(head.status)
        .ok()
        .and_then(|code| StatusCode::from_u16(code).ok());
    let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let response = response(
        status,
        &head.content_type,
        Body::from(raw),
        Some(receipt.request),
    );
    with_bill(response, receipt)
}

fn with_bill(mut response: Response<Body>, receipt: &Receipt) -> Response<Body> {
    let value = HeaderValue::from(receipt.billed_tokens());
    response.headers_mut().insert(BILLED_TOKENS, value);
    response
}

fn refusal_response(refusal: &Refusal, id: Option<RequestId>) -> Response<Body> {
    let mut name = String::new();
    if let Some(id) = id {
        write!(name, "{id}").expect("writing to a string does not fail");
    }
    let text = refusal.to_json(id.is_some().then_some(name.as_str()));
    let mut response = response(refusal.status(), "application/json", Body::from(text), id);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = HeaderValue::from(retry_after_ms.div_ceil(1000));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn json_response(status: StatusCode, text: String) -> Response<Body> {
    response(status, "application/json", Body::from(text), None)
}

fn response(
    status: StatusCode,
    content_type: &str,
    body: Body,
    id: Option<RequestId>,
) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(content_type)
        && !content_type.is_empty()
    {
        headers.insert(header::CONTENT_TYPE, value);
    }
    if let Some(id) = id
        && let Ok(value) = HeaderValue::from_str(&id.to_string())
    {
        headers.insert(REQUEST_ID, value);
    }
    response
}
