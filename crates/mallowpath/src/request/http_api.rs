//! The HTTP API for callers.
//!
//! | path | purpose |
//! |---|---|
//! | `POST /v1/chat/completions` | a chat completion, as JSON or as server-sent events |
//! | `GET /v1/models` | the models that the workspace may call |
//! | any `/services/{service}/{path}` | a call of a plain service |

use crate::{
    config::fleet::{BearerHash, Service, ServiceKind, Workspace},
    id::{RequestId, ServiceId},
    memory::{
        buffer_budget::Buffer,
        buffer_table::{BufferKind, CallerId},
        connection_limiter::ConnectionSlot,
        unread_answer::UnreadAnswer,
    },
    process::router::Router,
    request::body::{BodyError, HeldBody, read_body},
    request::chat::ChatRequest,
    request::refusal::{Code, Refusal},
    request::request_run::{RETRY_AFTER_MS, RequestRun, ResponsePart},
    request::response::{
        chat_response, event_stream, json_response, plain_response, refusal_response,
    },
    routing::prefix::prefix_hashes,
};
use axum::{
    body::{Body, Bytes},
    extract::{Extension, Path, Request, State},
    http::{HeaderMap, HeaderValue, Response, StatusCode, header},
    routing::{any, get, post},
};
use serde_json::json;
use std::{sync::Arc, time::Duration};
use tokio::{sync::mpsc, time::timeout};

/// The maximum number of response parts that are buffered for a slow caller.
const RESPONSE_BUFFER_LEN: usize = 256;
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The header by which a caller marks a request as not repeatable, with the value `no`.
const REPEATABLE_HEADER: &str = "x-mallowpath-repeatable";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// The response header with the maximum number of output tokens that was granted to the request.
const MAX_TOKENS_HEADER: &str = "x-mallowpath-max-tokens";

/// How often the content of a chat completion request is in memory besides its body while the request for
/// the backend server is built: in one piece, as its prompt, and as the new body.
const CHAT_COPIES: usize = 3;

/// How often the body of a plain request is in memory besides its segments: in one piece.
const PLAIN_COPIES: usize = 1;

/// A chat completion request that was started.
struct StartedChat {
    id: RequestId,
    is_stream: bool,
    cap_tokens: u64,
    response_parts: mpsc::Receiver<ResponsePart>,
    /// Accounts for the memory of the answer.
    answer: Buffer,
}

/// Returns the routes of the API.
pub(crate) fn routes(router: Arc<Router>) -> axum::Router {
    axum::Router::new()
        .route("/v1/chat/completions", post(chat_completion))
        .route("/v1/models", get(list_models))
        .route("/services/{service}", any(call_service_root))
        .route("/services/{service}/{*path}", any(call_service))
        .fallback(unknown_path)
        .with_state(router)
}

async fn unknown_path(State(router): State<Arc<Router>>) -> Response<Body> {
    refuse(&router, &not_found())
}

/// Refuses a request before an identifier was assigned; the response gets an unused one.
fn refuse(router: &Router, refusal: &Refusal) -> Response<Body> {
    refusal_response(refusal, router.unused_request())
}

fn not_found() -> Refusal {
    Refusal::not_run(
        Code::NotFound,
        "no such path; see /v1/chat/completions and /services/",
    )
}

async fn chat_completion(
    State(router): State<Arc<Router>>,
    Extension(connection): Extension<Arc<ConnectionSlot>>,
    request: Request,
) -> Response<Body> {
    let started = match start_chat(&router, &connection, request).await {
        Ok(started) => started,
        Err(refusal) => return refuse(&router, &refusal),
    };
    let _busy = connection.busy();
    let mut response = if started.is_stream {
        event_stream(started.id, started.response_parts, started.answer).await
    } else {
        chat_response(started.id, started.response_parts, started.answer).await
    };
    let cap = HeaderValue::from(started.cap_tokens);
    response.headers_mut().insert(MAX_TOKENS_HEADER, cap);
    response
}

async fn start_chat(
    router: &Arc<Router>,
    connection: &ConnectionSlot,
    request: Request,
) -> Result<StartedChat, Refusal> {
    let (parts, body) = request.into_parts();
    let workspace = authorize(router, &parts.headers)?;
    let held = read_request_body(router, &workspace, body, CHAT_COPIES).await?;
    let chat = ChatRequest::from_slice(held.bytes())
        .map_err(|text| Refusal::not_run(Code::InvalidRequest, text))?;
    let service = find_service(router, &workspace, &chat.model, ServiceKind::Model)?;
    check_adapter(&service, &chat)?;
    let cap = cap_tokens(&workspace, &service, &chat);
    let key = idempotency_key(&parts.headers)?;
    let priority = u32::from(workspace.priority);
    let id = router.next_request();
    let body = Bytes::from(chat.engine_body(cap, priority));
    let answer = held.open_answer(connection);
    let unread = UnreadAnswer::new(held.open_answer(connection));
    let body = held.replace(body);
    let run = RequestRun {
        id,
        prefix_hashes: prefix_hashes(chat.prompt.as_bytes()),
        adapter: chat.adapter.as_deref().map(Arc::from),
        prompt_tokens: chat.reserved_prompt_tokens(),
        cap_tokens: cap,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        body,
        key,
        repeatable: is_repeatable(&parts.headers, &service),
        unread,
        workspace,
        service,
    };
    Ok(StartedChat {
        id,
        is_stream: chat.stream,
        cap_tokens: cap,
        response_parts: start(router, run),
        answer,
    })
}

fn cap_tokens(workspace: &Workspace, service: &Service, chat: &ChatRequest) -> u64 {
    let limit = workspace
        .max_output_tokens
        .0
        .min(service.max_output_tokens.0);
    let requested = chat.max_tokens.unwrap_or(service.default_output_tokens.0);
    requested.min(limit)
}

fn check_adapter(service: &Service, chat: &ChatRequest) -> Result<(), Refusal> {
    let Some(adapter) = &chat.adapter else {
        return Ok(());
    };
    if service.adapters.contains(adapter.as_str()) {
        return Ok(());
    }
    let text = format!("model {} has no adapter {adapter}", service.id);
    Err(Refusal::not_run(Code::NotFound, text))
}

async fn list_models(State(router): State<Arc<Router>>, headers: HeaderMap) -> Response<Body> {
    let workspace = match authorize(&router, &headers) {
        Ok(workspace) => workspace,
        Err(refusal) => return refuse(&router, &refusal),
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
        router.unused_request(),
    )
}

fn model_entry(id: &str) -> serde_json::Value {
    json!({"id": id, "object": "model", "owned_by": "mallowpath"})
}

async fn call_service_root(
    state: State<Arc<Router>>,
    connection: Extension<Arc<ConnectionSlot>>,
    Path(service): Path<String>,
    request: Request,
) -> Response<Body> {
    let path = Path((service, String::new()));
    call_service(state, connection, path, request).await
}

async fn call_service(
    State(router): State<Arc<Router>>,
    Extension(connection): Extension<Arc<ConnectionSlot>>,
    Path((service, path)): Path<(String, String)>,
    request: Request,
) -> Response<Body> {
    match start_plain(&router, &connection, &service, &path, request).await {
        Ok((id, response_parts, answer)) => {
            let _busy = connection.busy();
            plain_response(id, response_parts, answer).await
        }
        Err(refusal) => refuse(&router, &refusal),
    }
}

async fn start_plain(
    router: &Arc<Router>,
    connection: &ConnectionSlot,
    service: &str,
    path: &str,
    request: Request,
) -> Result<(RequestId, mpsc::Receiver<ResponsePart>, Buffer), Refusal> {
    let (parts, body) = request.into_parts();
    let workspace = authorize(router, &parts.headers)?;
    let service = find_service(router, &workspace, service, ServiceKind::Plain)?;
    let held = read_request_body(router, &workspace, body, PLAIN_COPIES).await?;
    let answer = held.open_answer(connection);
    let unread = UnreadAnswer::new(held.open_answer(connection));
    let key = idempotency_key(&parts.headers)?;
    let id = router.next_request();
    let query = match parts.uri.query() {
        Some(query) => format!("?{query}"),
        None => String::new(),
    };
    let run = RequestRun {
        id,
        prefix_hashes: Vec::new(),
        adapter: None,
        prompt_tokens: 0,
        cap_tokens: service.tokens_per_call.0,
        method: parts.method.as_str().into(),
        path: format!("/{path}{query}").into(),
        body: held.compact(),
        key,
        repeatable: is_repeatable(&parts.headers, &service),
        unread,
        workspace,
        service,
    };
    Ok((id, start(router, run), answer))
}

fn start(router: &Arc<Router>, run: RequestRun) -> mpsc::Receiver<ResponsePart> {
    let (sender, response_parts) = mpsc::channel(RESPONSE_BUFFER_LEN);
    router.spawn_request(run, sender);
    response_parts
}

fn authorize(router: &Router, headers: &HeaderMap) -> Result<Arc<Workspace>, Refusal> {
    let refuse = |text: &str| Refusal::not_run(Code::Unauthorized, text);
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

/// Reads a body whose buffer grows to `copies` times its size while the request is built.
async fn read_request_body(
    router: &Router,
    workspace: &Workspace,
    body: Body,
    copies: usize,
) -> Result<HeldBody, Refusal> {
    let caller = CallerId::of(workspace.id.as_str().as_bytes());
    let buffer = router.buffers.open(caller, BufferKind::Arriving);
    let max_bytes = router.fleet().rules.max_body_bytes;
    let memory_max_bytes = router.buffers.max_bytes() / (copies + 1);
    let limit = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let limit = limit.min(memory_max_bytes);
    let timeout_ms = router.settings.tuning.body_timeout_ms;
    let read = async {
        let body = read_body(body, limit, &buffer).await?;
        match buffer.grow(body.len() * copies).await {
            Ok(()) => Ok(body.into_bytes()),
            Err(_) => Err(BodyError::NoMemory),
        }
    };
    match timeout(Duration::from_millis(timeout_ms), read).await {
        Ok(Ok(bytes)) => {
            buffer.set_whole();
            Ok(HeldBody::new(bytes, buffer))
        }
        Ok(Err(BodyError::TooLarge)) => {
            let text = format!("the body is larger than {limit} bytes");
            Err(Refusal::not_run(Code::BodyTooLarge, text))
        }
        Ok(Err(BodyError::NoMemory)) => {
            let text = "the router has no memory for the body at the moment";
            let refusal = Refusal::not_run(Code::Overloaded, text);
            Err(refusal.with_retry_after(RETRY_AFTER_MS))
        }
        Ok(Err(BodyError::Interrupted(error))) => {
            let text = format!("the body broke off: {error}");
            Err(Refusal::not_run(Code::InvalidRequest, text))
        }
        Err(_) => {
            let text = format!("the body did not arrive within {timeout_ms} ms");
            Err(Refusal::not_run(Code::InvalidRequest, text))
        }
    }
}

fn find_service(
    router: &Router,
    workspace: &Workspace,
    name: &str,
    kind: ServiceKind,
) -> Result<Arc<Service>, Refusal> {
    let fleet = router.fleet();
    let found = name
        .parse::<ServiceId>()
        .ok()
        .and_then(|id| fleet.services.get(&id));
    let service = match found {
        Some(service) if service.kind == kind => service,
        _ => {
            let text = format!("no model or service is called {name:?}");
            return Err(Refusal::not_run(Code::NotFound, text));
        }
    };
    if !workspace.services.allows(&service.id) {
        let text = format!("workspace {} may not call {name}", workspace.id);
        return Err(Refusal::not_run(Code::Forbidden, text));
    }
    Ok(Arc::clone(service))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES => {
            Ok(Some(Arc::from(key)))
        }
        _ => {
            let text = format!(
                "header Idempotency-Key must be 1 to {MAX_IDEMPOTENCY_KEY_BYTES} ASCII letters"
            );
            Err(Refusal::not_run(Code::InvalidRequest, text))
        }
    }
}

fn is_repeatable(headers: &HeaderMap, service: &Service) -> bool {
    let is_opted_out = headers
        .get(REPEATABLE_HEADER)
        .is_some_and(|value| value == "no");
    service.repeatable && !is_opted_out
}
