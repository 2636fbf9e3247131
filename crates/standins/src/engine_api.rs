//! The HTTP API of the simulated engine.

use crate::{
    engine_batch::{Finish, GenerationRequest, SubmittedRequest, floor_ms},
    engine_stream::CompletionStream,
    engine_text::text_seed,
    prefix_cache::{EventOptions, prefix_hashes},
    server::{crash, error, lock},
    simulated_engine::{Fencing, Service},
};
use axum::{
    Json, Router,
    extract::{Path, Query, Request, State},
    http::{HeaderMap, StatusCode},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{delete, get, post},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// The length of a completion when the request sets neither `standin_tokens` nor `max_tokens`.
const DEFAULT_COMPLETION_TOKENS: u64 = 64;

/// The size of an exported KV cache block, whose content is zeros.
const KV_EXPORT_BYTES: usize = 4096;

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<Message>,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: u32,
    standin_tokens: Option<u64>,
}

impl ChatRequest {
    fn contains(&self, text: &str) -> bool {
        let mut messages = self.messages.iter();
        messages.any(|message| message.content.contains(text))
    }
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

#[derive(Debug, Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from_token: u64,
}

#[derive(Debug, Deserialize)]
struct EventsQuery {
    #[serde(default)]
    from: u64,
}

#[derive(Debug, Deserialize)]
struct OrderRequest {
    fence: u64,
    order: Order,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Order {
    kind: OrderKind,
    name: String,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OrderKind {
    LoadModel,
    LoadAdapter,
    UnloadAdapter,
    SetRole,
}

/// Returns the routes of the engine.
pub(crate) fn router(service: Arc<Service>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(complete))
        .route("/v1/requests/{id}/stream", get(resume))
        .route("/v1/requests/{id}", delete(cancel))
        .route("/v1/load", get(load))
        .route("/v1/cache/events", get(cache_events))
        .route("/v1/orders", post(submit_order).get(order_status))
        .route("/v1/kv/{prefix_hash}", get(export_kv).put(import_kv))
        .layer(middleware::from_fn_with_state(
            Arc::clone(&service),
            wait_while_frozen,
        ))
        .route("/v1/stats", get(stats))
        .with_state(service)
}

async fn wait_while_frozen(
    State(service): State<Arc<Service>>,
    request: Request,
    next: Next,
) -> Response {
    let mut settings = service.settings.subscribe();
    // The service owns the sender, so the wait cannot fail.
    drop(settings.wait_for(|settings| !settings.freeze).await);
    next.run(request).await
}

async fn complete(
    State(service): State<Arc<Service>>,
    headers: HeaderMap,
    Json(request): Json<ChatRequest>,
) -> Response {
    let (base_model, adapter) = match request.model.split_once(':') {
        Some((base_model, adapter)) => (base_model, Some(adapter.to_owned())),
        None => (request.model.as_str(), None),
    };
    if !lock(&service.orders).models.contains(base_model) {
        return error(StatusCode::NOT_FOUND, "model is not loaded");
    }
    let crash_text = service.settings.get().crash_text;
    if !crash_text.is_empty() && request.contains(&crash_text) {
        return crash();
    }
    let run = service.submit(&request, adapter, &headers);
    let miscount_tokens = service.settings.get().miscount_tokens;
    let mut stream = CompletionStream::new(run, 0, miscount_tokens);
    if request.stream {
        return stream.into_response();
    }
    stream.wait_finished().await;
    Json(stream.to_completion_json()).into_response()
}

async fn resume(
    State(service): State<Arc<Service>>,
    Path(id): Path<String>,
    Query(query): Query<ResumeQuery>,
) -> Response {
    let run = lock(&service.batch).runs.get(&id).cloned();
    let Some(run) = run else {
        return error(StatusCode::NOT_FOUND, "request is not known");
    };
    let miscount_tokens = service.settings.get().miscount_tokens;
    CompletionStream::new(run, query.from_token, miscount_tokens).into_response()
}

async fn cancel(State(service): State<Arc<Service>>, Path(id): Path<String>) -> Response {
    let now_ms = service.now_ms();
    match lock(&service.batch).cancel(&id, now_ms) {
        Some(progress) => Json(json!({ "completion_tokens": progress.produced })).into_response(),
        None => error(StatusCode::NOT_FOUND, "request is not known"),
    }
}

async fn load(State(service): State<Arc<Service>>) -> Response {
    Json(service.load()).into_response()
}

async fn cache_events(
    State(service): State<Arc<Service>>,
    Query(query): Query<EventsQuery>,
) -> Json<Value> {
    let lag_ms = service.settings.get().event_lag_ms;
    let now_ms = floor_ms(service.now_ms());
    let (next, events) = lock(&service.batch)
        .cache
        .events(query.from, now_ms, lag_ms);
    Json(json!({ "next": next, "events": events }))
}

async fn submit_order(
    State(service): State<Arc<Service>>,
    Json(request): Json<OrderRequest>,
) -> Response {
    let settings = service.settings.get();
    if let Err(highest_fence) = service.accept(&request, settings.fencing) {
        return (
            StatusCode::CONFLICT,
            Json(json!({ "fence": highest_fence })),
        )
            .into_response();
    }
    let name = request.order.name;
    let wait_ms = match request.order.kind {
        OrderKind::LoadModel => settings.model_load_ms,
        OrderKind::LoadAdapter => lock(&service.batch).load_adapter(&name, &settings),
        OrderKind::UnloadAdapter => {
            lock(&service.batch).adapters.remove(&name);
            0
        }
        OrderKind::SetRole => {
            lock(&service.orders).role.clone_from(&name);
            0
        }
    };
    // A separate task, so that the order completes even if the client disconnects.
    let is_model = matches!(request.order.kind, OrderKind::LoadModel);
    let work = tokio::spawn(execute_order(service, is_model.then_some(name), wait_ms));
    match work.await {
        Ok(()) => Json(json!({})).into_response(),
        Err(_) => error(StatusCode::INTERNAL_SERVER_ERROR, "the order failed"),
    }
}

async fn execute_order(service: Arc<Service>, model: Option<String>, wait_ms: u64) {
    lock(&service.orders).in_progress += 1;
    sleep(Duration::from_millis(wait_ms)).await;
    let mut orders = lock(&service.orders);
    orders.in_progress -= 1;
    orders.models.extend(model);
}

async fn order_status(State(service): State<Arc<Service>>) -> Response {
    let orders = lock(&service.orders);
    Json(json!({
        "in_progress": orders.in_progress,
        "models": orders.models,
        "role": orders.role,
    }))
    .into_response()
}

async fn export_kv(State(service): State<Arc<Service>>, Path(prefix): Path<String>) -> Response {
    let Ok(hash) = u64::from_str_radix(&prefix, 16) else {
        return error(
            StatusCode::BAD_REQUEST,
            "prefix hash has 16 hexadecimal digits",
        );
    };
    if !lock(&service.batch).cache.contains(hash) {
        return error(StatusCode::NOT_FOUND, "prefix is not cached");
    }
    vec![0; KV_EXPORT_BYTES].into_response()
}

async fn import_kv(
    State(service): State<Arc<Service>>,
    Path(prefix): Path<String>,
    _kv: Bytes,
) -> Response {
    let Ok(hash) = u64::from_str_radix(&prefix, 16) else {
        return error(
            StatusCode::BAD_REQUEST,
            "prefix hash has 16 hexadecimal digits",
        );
    };
    let settings = service.settings.get();
    let event_options = EventOptions {
        now_ms: floor_ms(service.now_ms()),
        gap_probability: settings.event_gap_probability,
    };
    lock(&service.batch)
        .cache
        .store(&[hash], settings.cache_blocks, event_options);
    Json(json!({})).into_response()
}

async fn stats(State(service): State<Arc<Service>>) -> Json<Value> {
    let mut stats = {
        let batch = lock(&service.batch);
        let adapters: Vec<&String> = batch.adapters.keys().collect();
        json!({ "runs": batch.stats, "adapters": adapters })
    };
    let orders = lock(&service.orders);
    stats["models"] = json!(orders.models);
    stats["role"] = json!(orders.role);
    stats["orders"] = json!(orders.accepted);
    Json(stats)
}

impl Service {
    fn submit(
        &self,
        request: &ChatRequest,
        adapter: Option<String>,
        headers: &HeaderMap,
    ) -> Arc<SubmittedRequest> {
        let mut prompt = String::new();
        for message in &request.messages {
            prompt.push_str(&message.content);
        }
        let (tokens, finish) = self.completion_length(request);
        let id = headers.get("x-request-id").and_then(|id| id.to_str().ok());
        let generation = GenerationRequest {
            id: id.map_or_else(|| format!("{:016x}", rand::random::<u64>()), str::to_owned),
            model: request.model.clone(),
            priority: request.priority,
            prompt_bytes: prompt.len(),
            prefixes: prefix_hashes(&prompt),
            text_seed: text_seed(&request.model, &prompt),
            tokens,
            finish,
            adapter,
        };
        let run = lock(&self.batch).submit(generation);
        self.submitted.notify_one();
        run
    }

    /// Returns the number of completion tokens and why generation ends there.
    ///
    /// `standin_tokens` is the length without a limit; `max_tokens` cuts it off.
    fn completion_length(&self, request: &ChatRequest) -> (u64, Finish) {
        let tokens_until_stop = match (request.standin_tokens, request.max_tokens) {
            (Some(tokens), _) | (None, Some(tokens)) => tokens,
            (None, None) => DEFAULT_COMPLETION_TOKENS,
        };
        match request.max_tokens {
            Some(max_tokens) if max_tokens <= tokens_until_stop => {
                let overrun_tokens = self.settings.get().overrun_tokens;
                (max_tokens + overrun_tokens, Finish::Length)
            }
            _ => (tokens_until_stop, Finish::Stop),
        }
    }

    /// Records an order, or returns the higher fencing token because of which it is rejected.
    fn accept(&self, request: &OrderRequest, fencing: Fencing) -> Result<(), u64> {
        let mut orders = lock(&self.orders);
        if fencing == Fencing::Refuse && request.fence < orders.highest_fence {
            return Err(orders.highest_fence);
        }
        orders.highest_fence = orders.highest_fence.max(request.fence);
        let accepted = json!({ "fence": request.fence, "order": request.order });
        orders.accepted.push(accepted);
        Ok(())
    }
}
