//! Forwards orders to the backend server, such as loading a model, under fencing tokens.

use crate::{
    peer::link::now_ms,
    peer::wire::{Order, OrderOutcome, OrderReply, OrderSpec},
    routing::order::{OrderDecision, OrderFence, OrderSettings},
    stream::http_call::{HttpCall, HttpCaller},
};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

const CONNECT_TIMEOUT_MS: u64 = 1000;
const ORDERS_READ_TIMEOUT_MS: u64 = 2000;

/// Forwards orders to the backend server and keeps the ones that took effect.
#[derive(Debug)]
pub(crate) struct SidecarOrders {
    server: HttpCaller,
    timeout_ms: u64,
    fence: Mutex<OrderFence>,
    /// The latest successful order of each kind.
    ordered: Mutex<Vec<OrderSpec>>,
}

/// The body of the backend server's answer to `GET /v1/orders`.
#[derive(Deserialize)]
struct OrdersResponse {
    in_progress: u64,
}

impl SidecarOrders {
    /// Creates the state of a sidecar that has just started and has forwarded no order.
    pub(crate) fn new(server: SocketAddr, settings: OrderSettings) -> Self {
        Self {
            server: HttpCaller::new(server, CONNECT_TIMEOUT_MS),
            timeout_ms: settings.timeout_ms,
            fence: Mutex::new(OrderFence::new(settings, 0)),
            ordered: Mutex::new(Vec::new()),
        }
    }

    /// Returns the latest successful order of each kind.
    pub(crate) fn ordered(&self) -> Vec<OrderSpec> {
        self.ordered
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns whether an order without a known outcome may still take effect.
    pub(crate) fn is_state_unknown(&self) -> bool {
        self.fence().is_state_unknown(now_ms())
    }

    /// Forwards an order if the [`OrderFence`] allows it, and returns the outcome.
    ///
    /// Only the sender with the highest fencing token may give orders.
    pub(crate) async fn forward(&self, order: &Order) -> OrderReply {
        if self.is_state_unknown() {
            self.resolve_unknown_state().await;
        }
        let decision = self.fence().admit(order.fencing_token, now_ms());
        let (outcome, fencing_token) = match decision {
            OrderDecision::Send { ticket } => (self.send(order, ticket).await, order.fencing_token),
            OrderDecision::TooOld {
                highest_fencing_token,
            } => (OrderOutcome::TooOld, highest_fencing_token),
            OrderDecision::Busy => (OrderOutcome::Busy, order.fencing_token),
            OrderDecision::StateUnknown => (OrderOutcome::Unknown, order.fencing_token),
        };
        OrderReply {
            outcome: outcome.into(),
            fencing_token,
        }
    }

    /// Asks the server whether an order is in progress there; if none is, its state is known.
    async fn resolve_unknown_state(&self) {
        let call = HttpCall {
            operation: "read the orders",
            method: Method::GET,
            path: "/v1/orders".into(),
            body: Bytes::new(),
            timeout_ms: ORDERS_READ_TIMEOUT_MS,
        };
        let Ok(answer) = self.server.call(call).await else {
            return;
        };
        match serde_json::from_slice::<OrdersResponse>(&answer.body) {
            Ok(state) if state.in_progress == 0 => self.fence().mark_state_known(),
            Ok(state) => log::info!(
                "orders in progress at the backend server: {}",
                state.in_progress
            ),
            Err(error) => log::warn!("the backend server sent an invalid list of orders: {error}"),
        }
    }

    async fn send(&self, order: &Order, ticket: u64) -> OrderOutcome {
        let OrderSpec { kind, name } = &order.order;
        let body = json!({"fence": order.fencing_token, "order": {"kind": kind, "name": name}});
        let call = HttpCall {
            operation: "give an order",
            method: Method::POST,
            path: "/v1/orders".into(),
            body: body.to_string().into(),
            timeout_ms: self.timeout_ms,
        };
        let status = match self.server.call(call).await {
            Ok(answer) => answer.status,
            Err(error) => {
                // The order may still take effect, so its ticket stays in flight.
                log::warn!("sending an order failed, its outcome is unknown: {error}");
                return OrderOutcome::Unknown;
            }
        };
        self.fence().record_outcome(ticket);
        if status.is_success() {
            self.record_order(&order.order);
            return OrderOutcome::Done;
        }
        if status == StatusCode::CONFLICT {
            return OrderOutcome::TooOld;
        }
        OrderOutcome::Refused
    }

    fn record_order(&self, order: &OrderSpec) {
        let mut ordered = self.ordered.lock().unwrap_or_else(PoisonError::into_inner);
        ordered.retain(|earlier| earlier.kind != order.kind);
        ordered.push(order.clone());
    }

    fn fence(&self) -> MutexGuard<'_, OrderFence> {
        self.fence.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
