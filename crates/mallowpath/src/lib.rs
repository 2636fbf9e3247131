//! Router fleet for prepaid token budgets.

mod backend;
mod baseline;
mod candidates;
mod estimate;
mod id;
mod prefix;
mod rendezvous;
mod route;

pub use backend::{Backend, BackendState, LoadReport};
pub use baseline::{least_outstanding, round_robin};
pub use estimate::Estimate;
pub use id::{
    BackendId, BudgetId, GrantId, HostId, Incarnation, Offset, ParseIdError, Region, RequestId,
    ServiceId, SliceId, Tokens, Version, WorkspaceId, Zone,
};
pub use prefix::{
    CacheEvent, CacheEventKind, PREFIX_BLOCK_BYTES, PREFIX_BLOCK_TOKENS, PrefixSketch,
    prefix_hashes,
};
pub use rendezvous::{Candidate, HostPlace, SubsetSettings, pick, pick_n, rendezvous_key, subset};
pub use route::{Choice, NoBackend, Reason, RouteRequest, RouteSettings, RouteTable};
