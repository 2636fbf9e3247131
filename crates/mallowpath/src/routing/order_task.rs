//! Orders that bring backend servers to the role and model version of the configuration.
//!
//! One router of each region coordinates the orders there; it is chosen among the live routers by
//! rendezvous hashing. Two may coordinate at once while their host lists differ. Each order carries
//! a fencing token, derived from the offset of the sender's claim in the `orders` stream, so only
//! the orders of the newer claim are accepted.

use crate::{
    config::fleet::BackendRule,
    error::Result,
    id::{BackendId, Offset},
    membership::peer_selection::order_coordinator,
    peer::link::{Link, now_ms},
    peer::wire::{FrameBody, Order, OrderOutcome, OrderSpec},
    process::router::Router,
    routing::order::{OrderClaim, OrderGrant, OrderRights, OrdersChange, OrdersRecord},
    routing::weight_load_queue::{WeightLoadOrder, WeightLoadQueue, WeightLoadSettings},
    stream::follower::{Follower, sleep_backoff},
};
use prost::Message;
use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// The stream of claims of the right to send orders to backend servers.
pub const ORDERS_STREAM: &str = "orders";
const LOAD_MODEL: &str = "load_model";
const SET_ROLE: &str = "set_role";
/// The interval at which the coordinator compares the backend servers with their rules.
const POLL_INTERVAL_MS: u64 = 250;
/// How long a sidecar may take to answer an order.
const ORDER_TIMEOUT_MS: u64 = 120_000;
/// The number of stream offsets between two checkpoints of the `orders` stream.
const CHECKPOINT_INTERVAL_OFFSETS: u64 = 512;

/// The state of a router that coordinates orders.
#[derive(Debug)]
pub(crate) struct OrderCoordinator {
    rights: Mutex<OrderRights>,
    weight_load_queue: Mutex<WeightLoadQueue>,
    /// Backend servers with an order in flight.
    in_flight: Mutex<HashSet<BackendId>>,
    /// The orders that each backend server has carried out, as reported by its sidecar.
    reported: Mutex<HashMap<BackendId, Vec<OrderSpec>>>,
}

impl Default for OrderCoordinator {
    fn default() -> Self {
        Self {
            rights: Mutex::new(OrderRights::default()),
            weight_load_queue: Mutex::new(WeightLoadQueue::new(WeightLoadSettings::default())),
            in_flight: Mutex::new(HashSet::new()),
            reported: Mutex::new(HashMap::new()),
        }
    }
}

impl OrderCoordinator {
    /// Records the orders that a backend server has carried out, as reported by its sidecar.
    pub(crate) fn record_carried_out(&self, link: &Link, carried_out: &[OrderSpec]) {
        let Ok(backend) = link.peer().backend.parse() else {
            return;
        };
        let mut reported = lock(&self.reported);
        reported.insert(backend, carried_out.to_vec());
    }

    /// Returns the queued loads and the orders in flight for the state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let in_flight: Vec<String> = lock(&self.in_flight)
            .iter()
            .map(ToString::to_string)
            .collect();
        serde_json::json!({
            "waiting_loads": lock(&self.weight_load_queue).waiting(),
            "orders_under_way": in_flight,
        })
    }

    fn grant(&self, backend: &BackendId) -> Option<OrderGrant> {
        lock(&self.rights).grant(backend)
    }

    /// Returns the next order that a backend server needs: its model version first, then its role.
    ///
    /// Returns `None` if it needs none, or if its sidecar has not reported yet.
    fn next_order(&self, rule: &BackendRule) -> Option<OrderSpec> {
        let reported = lock(&self.reported);
        let carried_out = reported.get(&rule.id)?;
        let mut wanted = Vec::new();
        if let Some(version) = &rule.version {
            let name = format!("{}@{version}", rule.service);
            wanted.push(new_order(LOAD_MODEL, &name));
        }
        if let Some(role) = &rule.role {
            wanted.push(new_order(SET_ROLE, role));
        }
        wanted
            .into_iter()
            .find(|order| !carried_out.contains(order))
    }
}

fn new_order(kind: &str, name: &str) -> OrderSpec {
    OrderSpec {
        kind: kind.to_owned(),
        name: name.to_owned(),
    }
}

/// Coordinates the orders of the region while this router is chosen to, until the process ends.
pub(crate) async fn coordinate(router: Arc<Router>) {
    let mut follower = None;
    let mut failures = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        if !router.is_order_coordinator() {
            // The replayed state becomes stale; the next time it is loaded from the stream again.
            follower = None;
            continue;
        }
        let caught_up = match &mut follower {
            Some(follower) => router.replay_order_claims(follower).await,
            None => router
                .load_order_rights()
                .await
                .map(|loaded| follower = Some(loaded)),
        };
        match caught_up {
            Ok(()) => failures = 0,
            Err(error) => {
                log::warn!("catching up with the stream of order claims failed, retrying: {error}");
                failures += 1;
                sleep_backoff(failures).await;
                continue;
            }
        }
        router.queue_orders();
        router.start_loads();
    }
}

impl Router {
    /// Returns whether this router is the order coordinator of its region.
    ///
    /// There is none if no backend rule sets a version or a role.
    fn is_order_coordinator(&self) -> bool {
        let rules = &self.fleet().backends;
        let needs_orders = |rule: &BackendRule| rule.version.is_some() || rule.role.is_some();
        if !rules.values().any(needs_orders) {
            return false;
        }
        let own_host = &self.settings.host;
        order_coordinator(&own_host.region, &self.hosts())
            .is_none_or(|host| host.name == own_host.name)
    }

    async fn load_order_rights(&self) -> Result<Follower> {
        let (first, _) = self.log.bounds(ORDERS_STREAM).await?;
        let mut orders = (first == Offset(0)).then(OrderRights::default);
        let mut reader = Follower::new(self.log.clone(), ORDERS_STREAM, first);
        let read = reader.catch_up(|record| {
            let record = OrdersRecord::decode(record.data).unwrap_or_default();
            if let Some(OrdersChange::Checkpoint(checkpoint)) = record.change
                && checkpoint.next_offset >= first.0
            {
                orders = Some(OrderRights::from_checkpoint(&checkpoint));
            }
        });
        read.await?;
        // A new claim supersedes a right also where the stream no longer holds its record.
        let orders = orders.unwrap_or_default();
        let next = Offset(orders.checkpoint().next_offset.max(first.0));
        *lock(&self.orders.rights) = orders;
        let mut follower = Follower::new(self.log.clone(), ORDERS_STREAM, next);
        self.replay_order_claims(&mut follower).await?;
        Ok(follower)
    }

    async fn replay_order_claims(&self, follower: &mut Follower) -> Result<()> {
        let mut checkpoint_due = false;
        let replay = follower.catch_up(|record| {
            let decoded = OrdersRecord::decode(record.data).unwrap_or_default();
            lock(&self.orders.rights).apply(record.offset, &decoded);
            checkpoint_due |=
                record.offset.0 % CHECKPOINT_INTERVAL_OFFSETS == CHECKPOINT_INTERVAL_OFFSETS - 1;
        });
        replay.await?;
        if checkpoint_due {
            let checkpoint = lock(&self.orders.rights).checkpoint();
            let record = OrdersRecord::from(OrdersChange::Checkpoint(checkpoint));
            self.log
                .append(ORDERS_STREAM, record.encode_to_vec().into())
                .await?;
        }
        Ok(())
    }

    /// Queues a load, or starts another order, for each backend server that differs from its rule.
    fn queue_orders(self: &Arc<Self>) {
        for rule in self.fleet().backends.values() {
            let Some(order) = self.orders.next_order(rule) else {
                lock(&self.orders.weight_load_queue).remove(&rule.id);
                continue;
            };
            let Some(link) = self.routes().link(&rule.id) else {
                continue;
            };
            if order.kind != LOAD_MODEL {
                self.start_order(&rule.id, order, link);
                continue;
            }
            let Ok(zone) = link.peer().zone.parse() else {
                continue;
            };
            lock(&self.orders.weight_load_queue).push(WeightLoadOrder {
                backend: rule.id.clone(),
                zone,
                weights: Arc::from(order.name),
                demand: 1,
            });
        }
    }

    /// Starts as many queued loads as the limits of the weight store allow.
    fn start_loads(self: &Arc<Self>) {
        while let Some(load) = self.next_load() {
            let order = new_order(LOAD_MODEL, &load.weights);
            match self.routes().link(&load.backend) {
                Some(link) => self.start_order(&load.backend, order, link),
                None => lock(&self.orders.weight_load_queue).end(&load.backend),
            }
        }
    }

    /// Sends an order in a new task, unless the backend server has one in flight.
    fn start_order(self: &Arc<Self>, backend: &BackendId, order: OrderSpec, link: Arc<Link>) {
        if !lock(&self.orders.in_flight).insert(backend.clone()) {
            return;
        }
        let router = Arc::clone(self);
        let backend = backend.clone();
        tokio::spawn(async move {
            router.send_order(&backend, order, &link).await;
            lock(&router.orders.weight_load_queue).end(&backend);
            lock(&router.orders.in_flight).remove(&backend);
        });
    }

    fn next_load(&self) -> Option<WeightLoadOrder> {
        lock(&self.orders.weight_load_queue).start_next(now_ms())
    }

    async fn send_order(&self, backend: &BackendId, order: OrderSpec, link: &Arc<Link>) {
        let grant = self.orders.grant(backend);
        let own_grant = grant.filter(|grant| grant.author == self.incarnation);
        let Some(grant) = own_grant else {
            self.claim(backend, grant.map_or(0, |grant| grant.fencing_token))
                .await;
            return;
        };
        let name = format!("{} {}", order.kind, order.name);
        let body = FrameBody::Order(Order {
            fencing_token: grant.fencing_token,
            order,
        });
        match link
            .call(body, Duration::from_millis(ORDER_TIMEOUT_MS))
            .await
        {
            Ok(FrameBody::OrderReply(reply)) => {
                let outcome =
                    OrderOutcome::try_from(reply.outcome).unwrap_or(OrderOutcome::Unknown);
                log::info!(
                    "order {name} to backend server {backend} with fencing token {}: {outcome:?}",
                    grant.fencing_token
                );
                metrics::counter!("mallowpath_orders_total", "outcome" => format!("{outcome:?}"))
                    .increment(1);
            }
            Ok(other) => log::warn!(
                "unexpected answer to order {name} from {}, sending it again: {other:?}",
                link.remote()
            ),
            Err(error) => log::warn!(
                "order {name} to backend server {backend} failed, sending it again: {error}"
            ),
        }
    }

    /// Appends a claim of the right to send orders; a later replay shows whether it is valid.
    async fn claim(&self, backend: &BackendId, previous_fencing_token: u64) {
        let claim = OrderClaim {
            backend: backend.to_string(),
            author: self.incarnation.0,
            previous_fencing_token,
        };
        let record = OrdersRecord::from(OrdersChange::Claim(claim));
        if let Err(error) = self
            .log
            .append(ORDERS_STREAM, record.encode_to_vec().into())
            .await
        {
            log::warn!("can't claim the right to send orders to {backend}, retrying: {error}");
        }
    }
}

fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
