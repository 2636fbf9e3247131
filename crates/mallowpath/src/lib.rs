//! Router fleet for prepaid token budgets.

mod backend;
mod baseline;
mod candidates;
mod concurrency;
mod eject;
mod estimate;
mod fair;
mod health;
mod id;
mod limit;
mod prefix;
mod rendezvous;
mod retry;
mod route;

pub use backend::{Backend, BackendState, LoadReport};
pub use baseline::{least_outstanding, round_robin};
pub use concurrency::{ConcurrencyLimit, ConcurrencySettings};
pub use eject::{EjectSettings, Outliers};
pub use estimate::Estimate;
pub use fair::WorkspaceShare;
pub use health::{SilenceDetector, SilenceSettings};
pub use id::{
    BackendId, BudgetId, GrantId, HostId, Incarnation, Offset, ParseIdError, Region, RequestId,
    ServiceId, SliceId, Tokens, Version, WorkspaceId, Zone,
};
pub use limit::{Admission, AdmissionSettings, Admitted, Offer, Polled, Refusal, RefusalReason};
pub use prefix::{
    CacheEvent, CacheEventKind, PREFIX_BLOCK_BYTES, PREFIX_BLOCK_TOKENS, PrefixSketch,
    prefix_hashes,
};
pub use rendezvous::{Candidate, HostPlace, SubsetSettings, pick, pick_n, rendezvous_key, subset};
pub use retry::{FailedTry, NoRetry, RetryBudget, RetrySettings, TryOutcome};
pub use route::{Choice, NoBackend, Reason, RouteRequest, RouteSettings, RouteTable};
