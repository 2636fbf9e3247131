//! Scheduling of the loads of model weights within the limits of the weight store.

use crate::{BackendId, Zone};
use std::{cmp::Reverse, sync::Arc};

/// The default of [`WeightLoadSettings::interval_ms`].
const DEFAULT_INTERVAL_MS: u64 = 2000;
/// The default of [`WeightLoadSettings::max_running`].
const DEFAULT_MAX_RUNNING: usize = 4;

/// Settings of a [`WeightLoadQueue`].
#[derive(Debug, Clone, Copy)]
pub struct WeightLoadSettings {
    /// The least time between the starts of two loads.
    pub interval_ms: u64,
    /// The most loads that run at once.
    pub max_running: usize,
}

/// An order to a backend server to load model weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightLoadOrder {
    /// The backend server.
    pub backend: BackendId,
    /// The availability zone of the backend server.
    pub zone: Zone,
    /// The name of the weights.
    pub weights: Arc<str>,
    /// The demand for the weights, such as the number of waiting requests.
    ///
    /// The order with the highest demand starts first.
    pub demand: u64,
}

/// A queue of load orders, with those that are running.
#[derive(Debug)]
pub struct WeightLoadQueue {
    settings: WeightLoadSettings,
    waiting: Vec<WeightLoadOrder>,
    running: Vec<WeightLoadOrder>,
    last_start_ms: Option<u64>,
}

impl WeightLoadQueue {
    /// Makes an empty queue.
    pub fn new(settings: WeightLoadSettings) -> Self {
        Self {
            settings,
            waiting: Vec::new(),
            running: Vec::new(),
            last_start_ms: None,
        }
    }

    /// Queues an order, or updates the demand of the same order if it is queued already.
    ///
    /// An order that is running already is ignored.
    pub fn push(&mut self, order: WeightLoadOrder) {
        if self
            .running
            .iter()
            .any(|running| running.is_same_load(&order))
        {
            return;
        }
        match self
            .waiting
            .iter_mut()
            .find(|waiting| waiting.is_same_load(&order))
        {
            Some(waiting) => waiting.demand = order.demand,
            None => self.waiting.push(order),
        }
    }

    /// Starts the next order and returns it, if the limits allow one.
    ///
    /// The order with the highest demand goes first; among equals, that in the zone with the fewest
    /// running loads, then that of the weights with the fewest, then the oldest. A backend server
    /// runs one load at a time.
    pub fn start_next(&mut self, now_ms: u64) -> Option<WeightLoadOrder> {
        let interval_ms = self.settings.interval_ms;
        let is_too_soon = |last_ms: u64| now_ms < last_ms.saturating_add(interval_ms);
        if self.running.len() >= self.settings.max_running
            || self.last_start_ms.is_some_and(is_too_soon)
        {
            return None;
        }
        let mut best = None;
        for (index, order) in self.waiting.iter().enumerate() {
            if self.count_running(|running| running.backend == order.backend) > 0 {
                continue;
            }
            let in_zone = self.count_running(|running| running.zone == order.zone);
            let same_weights = self.count_running(|running| running.weights == order.weights);
            let rank = (order.demand, Reverse((in_zone, same_weights, index)));
            best = best.max(Some(rank));
        }
        let (_, Reverse((_, _, index))) = best?;
        let order = self.waiting.remove(index);
        self.running.push(order.clone());
        self.last_start_ms = Some(now_ms);
        Some(order)
    }

    /// Removes the running load of a backend server, which has succeeded or failed.
    pub fn end(&mut self, backend: &BackendId) {
        self.running.retain(|running| running.backend != *backend);
    }

    /// Removes the queued orders of a backend server.
    pub fn remove(&mut self, backend: &BackendId) {
        self.waiting.retain(|waiting| waiting.backend != *backend);
    }

    /// Returns the number of queued orders.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn count_running(&self, wanted: impl Fn(&WeightLoadOrder) -> bool) -> usize {
        self.running
            .iter()
            .filter(|running| wanted(running))
            .count()
    }
}

impl WeightLoadOrder {
    fn is_same_load(&self, other: &Self) -> bool {
        self.backend == other.backend && self.weights == other.weights
    }
}

impl Default for WeightLoadSettings {
    fn default() -> Self {
        Self {
            interval_ms: DEFAULT_INTERVAL_MS,
            max_running: DEFAULT_MAX_RUNNING,
        }
    }
}
