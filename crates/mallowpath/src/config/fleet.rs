//! The typed configuration of the fleet.
//!
//! A [`FleetConfig`] is immutable: a process builds one per version, shares it through an `Arc` and
//! replaces it as a whole, so a request sees one version from its start to its end.

use crate::id::{
    BackendId, BudgetId, ParseIdError, Region, ServiceId, Tokens, WorkspaceId, expected,
};
use sha2::{Digest, Sha256};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt::{self, Debug, Display},
    str::FromStr,
    sync::Arc,
};

/// SHA-256 of a caller's bearer key; the key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BearerHash([u8; 32]);

/// The services that a workspace may call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Services {
    /// Every service of the fleet.
    All,
    /// The named services only.
    Named(BTreeSet<ServiceId>),
}

/// How requests of a workspace are handled while the configuration can't be confirmed as current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WhenUnconfirmed {
    /// Requests are served by the last known version.
    Serve,
    /// Requests are refused with the outcome `not_run`.
    Refuse,
}

/// How a service is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// A model that generates tokens.
    Model,
    /// Any HTTP service, billed per call.
    Plain,
}

/// The state that an operator sets for a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendMode {
    /// It accepts new work.
    Active,
    /// It finishes its work and accepts no more.
    Leaving,
    /// It is never used, whatever its state in the host list is.
    Excluded,
}

/// A workspace with the limits and permissions of its callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub id: WorkspaceId,
    /// Hashes of its bearer keys.
    pub keys: Vec<BearerHash>,
    /// The budget that its requests spend.
    pub budget: BudgetId,
    /// The services that it may call.
    pub services: Services,
    /// The region that stores its idempotency keys.
    pub home_region: Region,
    /// Its share of a contended backend server, relative to other workspaces.
    pub weight: u32,
    /// The largest number of its requests that may run on one router at a time.
    pub max_running: u32,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// The largest number of output tokens of one request.
    pub max_output_tokens: Tokens,
    /// How its requests are handled while the configuration can't be confirmed.
    pub when_unconfirmed: WhenUnconfirmed,
}

/// A prepaid budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    /// Its name.
    pub id: BudgetId,
    /// The workspace that spends it.
    pub workspace: WorkspaceId,
    /// The number of prepaid tokens.
    pub tokens: Tokens,
}

/// A model or plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name, the base of `base:adapter` for a model.
    pub id: ServiceId,
    /// How it is called.
    pub kind: ServiceKind,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// The largest number of output tokens of one request, whatever the caller asks for.
    pub max_output_tokens: Tokens,
    /// The output limit of a request that sets none.
    pub default_output_tokens: Tokens,
    /// The price of one call of a plain service.
    pub tokens_per_call: Tokens,
    /// The time limit of one request.
    pub timeout_ms: u64,
    /// The adapters that a model may be asked for.
    pub adapters: BTreeSet<Arc<str>>,
}

/// A rule for one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRule {
    /// Its name.
    pub id: BackendId,
    /// The state that the operator sets.
    pub state: BackendMode,
    /// The service that it provides.
    pub service: ServiceId,
    /// The role that it is ordered to take, such as `prefill`.
    pub role: Option<Arc<str>>,
    /// The model version that it is ordered to load.
    pub version: Option<Arc<str>>,
}

/// Rules that hold for the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetRules {
    /// The time within which a leaving backend server stops accepting work.
    pub leave_within_ms: u64,
    /// The largest size of a request body.
    pub max_body_bytes: u64,
    /// The age of the last confirmation above which `when_unconfirmed` applies.
    pub unconfirmed_after_ms: u64,
}

/// One version of the whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetConfig {
    /// Rules that hold for the whole fleet.
    pub rules: FleetRules,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Arc<Workspace>>,
    /// Budgets by name.
    pub budgets: BTreeMap<BudgetId, Budget>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Arc<Service>>,
    /// Rules for backend servers by name.
    pub backends: BTreeMap<BackendId, BackendRule>,
    /// Workspaces by the hash of each of their bearer keys.
    pub(crate) workspaces_by_key: HashMap<BearerHash, Arc<Workspace>>,
}

impl BearerHash {
    /// Returns the hash of a bearer key in the form in which a caller sends it.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl Services {
    /// Returns whether the workspace may call `service`.
    pub fn allows(&self, service: &ServiceId) -> bool {
        match self {
            Self::All => true,
            Self::Named(named) => named.contains(service),
        }
    }
}

impl FleetConfig {
    /// Returns the workspace that a bearer key belongs to, in constant time.
    pub fn workspace_by_key(&self, key: BearerHash) -> Option<&Arc<Workspace>> {
        self.workspaces_by_key.get(&key)
    }

    /// Returns the service of a `model` field, `base` or `base:adapter`, and the adapter's name.
    ///
    /// Returns `None` if the service is unknown or not a model, or lacks the adapter.
    pub fn find_model_service<'a>(
        &self,
        model: &'a str,
    ) -> Option<(&Arc<Service>, Option<&'a str>)> {
        let (base, adapter) = match model.split_once(':') {
            Some((base, adapter)) => (base, Some(adapter)),
            None => (model, None),
        };
        let service = self.services.get(&base.parse().ok()?)?;
        if service.kind != ServiceKind::Model {
            return None;
        }
        if adapter.is_some_and(|adapter| !service.adapters.contains(adapter)) {
            return None;
        }
        Some((service, adapter))
    }
}

impl Default for FleetRules {
    fn default() -> Self {
        Self {
            leave_within_ms: 2_000,
            max_body_bytes: 4 * 1024 * 1024,
            unconfirmed_after_ms: 30_000,
        }
    }
}

impl FromStr for BearerHash {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const EXPECTED: &str = "64 hexadecimal digits";
        let mut bytes = [0; 32];
        if text.len() != 2 * bytes.len() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return expected(EXPECTED);
        }
        for (byte, index) in bytes.iter_mut().zip((0..).step_by(2)) {
            let Ok(value) = u8::from_str_radix(&text[index..index + 2], 16) else {
                return expected(EXPECTED);
            };
            *byte = value;
        }
        Ok(Self(bytes))
    }
}

impl Display for BearerHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl Debug for BearerHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Display::fmt(self, f)
    }
}
