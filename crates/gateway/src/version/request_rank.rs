//! How urgent a request is among those of its service.

use super::configuration::Route;
use crate::request::Urgency;
use std::collections::BTreeMap;

/// The rank of a request among those of its service, by their priorities.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestRank {
    /// The priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Where it lies between the most urgent priority of the service, 0.0, and the least urgent, 1.0.
    pub position: f64,
    /// The shortest latency objective of the routes that may carry more urgent requests; `None` if
    /// there are none or they have no objective.
    pub urgent_objective_ms: Option<u64>,
}

/// The priorities of the routes that lead to a service.
#[derive(Debug, Default)]
pub(super) struct ServicePriorities {
    /// The shortest latency objective of the routes of each priority, `None` without an objective.
    objectives_ms: BTreeMap<u8, Option<u64>>,
    /// Whether any of the routes carries requests of workspaces.
    has_workspaces: bool,
}

impl RequestRank {
    /// Returns how urgent the request is to backend servers.
    ///
    /// The steps are few, as each more urgent request may end the run of a less urgent one.
    pub fn urgency(&self) -> Urgency {
        if self.position < 1.0 / 3.0 {
            Urgency::Raised
        } else if self.position <= 2.0 / 3.0 {
            Urgency::Usual
        } else {
            Urgency::Lowered
        }
    }
}

impl ServicePriorities {
    /// Adds a route that leads to the service.
    pub(super) fn add_route(&mut self, route: &Route) {
        self.has_workspaces |= !route.public;
        let shortest_ms = self.objectives_ms.entry(route.priority).or_default();
        if route.latency_objective_ms > 0 {
            let objective_ms = route.latency_objective_ms;
            *shortest_ms = Some(shortest_ms.map_or(objective_ms, |ms| ms.min(objective_ms)));
        }
    }

    /// Returns the rank of a request; `None` if all requests of the service are equally urgent.
    ///
    /// `workspaces` are the most and the least urgent of the workspaces' own priorities, which may
    /// replace that of any route.
    pub(super) fn rank(&self, priority: u8, workspaces: Option<(u8, u8)>) -> Option<RequestRank> {
        let workspaces = workspaces.filter(|_| self.has_workspaces);
        let (mut first, _) = self.objectives_ms.first_key_value()?;
        let (mut last, _) = self.objectives_ms.last_key_value()?;
        if let Some((first_own, last_own)) = &workspaces {
            first = first.min(first_own);
            last = last.max(last_own);
        }
        if first == last {
            return None;
        }
        let is_urgent_on_any_route = workspaces.is_some_and(|(first_own, _)| first_own < priority);
        let mut urgent_objective_ms: Option<u64> = None;
        for (route_priority, objective_ms) in &self.objectives_ms {
            if *route_priority >= priority && !is_urgent_on_any_route {
                break;
            }
            let Some(objective_ms) = *objective_ms else {
                continue;
            };
            urgent_objective_ms =
                Some(urgent_objective_ms.map_or(objective_ms, |ms| ms.min(objective_ms)));
        }
        let position =
            f64::from(priority.saturating_sub(*first)) / f64::from(last.saturating_sub(*first));
        Some(RequestRank {
            priority,
            position: position.min(1.0),
            urgent_objective_ms,
        })
    }
}
