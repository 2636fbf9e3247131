//! One version of the fleet's configuration, as the gateway uses it.

use super::request_rank::{RequestRank, ServicePriorities};
use crate::budget::LedgerShard;
use mallowpath::{ServiceId, WorkspaceId};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// Whether the requests of a route may be retried after they may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events; a request may run again only if the stream can be resumed.
    Streaming,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceWeight {
    /// The service.
    pub service: ServiceId,
    /// The service's weight relative to the other services of the route.
    pub weight: u64,
}

/// A route: which requests it matches, and how they are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The virtual host of the requests that it matches.
    pub host: Arc<str>,
    /// The prefix of the paths that it matches; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether its requests may be retried after they may have run.
    pub kind: RouteKind,
    /// The services among which its requests are split.
    pub service_weights: Vec<ServiceWeight>,
    /// The time that a request may take in total, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer should begin, in milliseconds; 0 for no objective.
    pub latency_objective_ms: u64,
    /// The time without an event of a stream after which callers abandon it, in milliseconds.
    pub silence_max_ms: u64,
    /// The priority of its requests where their workspace has none; 0 is the most urgent.
    pub priority: u8,
    /// The maximum number of backend servers that a request is sent to.
    pub attempts_max: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// Whether a stream that broke off may be resumed on another backend server.
    pub resumable: bool,
}

/// The configuration of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceConfig {
    /// Tokens per event of a stream; 0 for services that don't stream.
    pub tokens_per_event: u64,
    /// The requests per second that a backend server bears while it is slow after its start; `None`
    /// for no limit.
    pub cold_rate_per_s: Option<f64>,
}

/// A workspace and its prepaid budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub id: WorkspaceId,
    /// The tokens that it has paid for so far, including spent ones; `None` for no limit.
    pub prepaid: Option<u64>,
    /// The priority of its requests, which takes precedence over that of the route; 0 is the most
    /// urgent.
    pub priority: Option<u8>,
}

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request body.
    pub body_max_bytes: u64,
    /// The maximum size of the headers of a request.
    pub header_max_bytes: usize,
    /// The time that the headers of a request may take, in addition to the idle timeout.
    pub header_timeout_ms: u64,
    /// The time that a connection may be idle before it is closed.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration.
#[derive(Debug, Default)]
pub struct Configuration {
    /// The version number that the operators assign; rises with each version.
    pub version: u64,
    /// Limits on callers' connections and requests.
    pub limits: CallerLimits,
    /// The configuration of each service.
    pub services: BTreeMap<ServiceId, ServiceConfig>,
    /// The workspaces.
    pub workspaces: Vec<Arc<Workspace>>,
    /// The routes of each virtual host, with the longest path prefix first.
    routes_by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
    workspaces_by_key: HashMap<Arc<str>, Arc<Workspace>>,
    /// The workspaces whose budgets are in each shard of the ledger.
    workspaces_by_shard: Vec<Vec<Arc<Workspace>>>,
    workspaces_by_id: HashMap<WorkspaceId, Arc<Workspace>>,
    route_count: usize,
    has_resumable_streams: bool,
    priorities: HashMap<ServiceId, ServicePriorities>,
    /// The most and the least urgent of the workspaces' own priorities.
    workspace_priorities: Option<(u8, u8)>,
}

impl Configuration {
    /// Creates a version without routes and workspaces.
    pub fn new(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let has_resumable_streams = route.kind == RouteKind::Streaming && route.resumable;
        let routes = self
            .routes_by_host
            .entry(Arc::clone(&route.host))
            .or_default();
        for service in &route.service_weights {
            let priorities = self.priorities.entry(service.service.clone());
            priorities.or_default().add_route(&route);
        }
        let length = route.path_prefix.len();
        let position = routes.partition_point(|other| other.path_prefix.len() >= length);
        routes.insert(position, Arc::new(route));
        self.route_count += 1;
        self.has_resumable_streams |= has_resumable_streams;
    }

    /// Adds a workspace and the API keys that authenticate its requests.
    pub fn add_workspace(&mut self, workspace: Workspace, keys: &[Arc<str>]) {
        let workspace = Arc::new(workspace);
        if let Some(priority) = workspace.priority {
            let (first, last) = self.workspace_priorities.unwrap_or((priority, priority));
            self.workspace_priorities = Some((first.min(priority), last.max(priority)));
        }
        for key in keys {
            self.workspaces_by_key
                .insert(Arc::clone(key), Arc::clone(&workspace));
        }
        self.workspaces_by_id
            .insert(workspace.id.clone(), Arc::clone(&workspace));
        let shard = LedgerShard::of(&workspace.id).index();
        if self.workspaces_by_shard.len() <= shard {
            self.workspaces_by_shard.resize_with(shard + 1, Vec::new);
        }
        self.workspaces_by_shard[shard].push(Arc::clone(&workspace));
        self.workspaces.push(workspace);
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes_by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the workspace of an API key.
    pub fn workspace(&self, api_key: &str) -> Option<&Arc<Workspace>> {
        self.workspaces_by_key.get(api_key)
    }

    /// Returns the workspaces whose budgets are in a shard of the ledger.
    pub fn workspaces_of(&self, shard: LedgerShard) -> &[Arc<Workspace>] {
        let workspaces = self.workspaces_by_shard.get(shard.index());
        workspaces.map_or(&[], Vec::as_slice)
    }

    /// Returns a workspace by its name.
    pub fn workspace_by_id(&self, id: &WorkspaceId) -> Option<&Arc<Workspace>> {
        self.workspaces_by_id.get(id)
    }

    /// Returns whether a route has streams that callers may take up.
    pub fn has_resumable_streams(&self) -> bool {
        self.has_resumable_streams
    }

    /// Returns whether there are workspaces; if so, requests need an API key on routes that are not
    /// public.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the rank of a request of `priority` among those of the service; `None` if all of them
    /// are equally urgent.
    pub fn rank(&self, service: &ServiceId, priority: u8) -> Option<RequestRank> {
        let priorities = self.priorities.get(service)?;
        priorities.rank(priority, self.workspace_priorities)
    }

    /// Returns the requests per second that a cold backend server of each limited service bears.
    pub fn cold_rates_per_s(&self) -> BTreeMap<ServiceId, f64> {
        let mut rates = BTreeMap::new();
        for (service, service_config) in &self.services {
            if let Some(rate_per_s) = service_config.cold_rate_per_s {
                rates.insert(service.clone(), rate_per_s);
            }
        }
        rates
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.route_count
    }
}

impl Route {
    /// Returns whether a request of the route may run more than once.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Returns the priority of a request of `workspace`; 0 is the most urgent.
    pub fn priority(&self, workspace: Option<&Workspace>) -> u8 {
        workspace
            .and_then(|workspace| workspace.priority)
            .unwrap_or(self.priority)
    }

    /// Returns the service for a request, chosen by weight from the uniform random number `random`;
    /// `None` if the weights add up to 0.
    pub fn choose_service(&self, random: u64) -> Option<&ServiceId> {
        let total: u64 = self
            .service_weights
            .iter()
            .map(|service| service.weight)
            .sum();
        let mut remaining = random.checked_rem(total)?;
        for candidate in &self.service_weights {
            if remaining < candidate.weight {
                return Some(&candidate.service);
            }
            remaining -= candidate.weight;
        }
        None
    }

    /// Returns whether requests on the route may be sent to a service.
    pub(crate) fn leads_to(&self, service: &ServiceId) -> bool {
        let mut services = self.service_weights.iter();
        services.any(|candidate| candidate.service == *service && candidate.weight > 0)
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_max_bytes: 4 << 20,
            header_max_bytes: 16 << 10,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
