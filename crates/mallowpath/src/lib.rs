//! Router fleet for prepaid token budgets.

mod backoff;
mod error;
mod host_client;
mod http_call;
mod id;
mod log_client;

pub use backoff::Backoff;
pub use error::{Category, Error, Result};
pub use host_client::{HostClient, HostClientSettings, HostEntry, HostList, HostRole, HostState};
pub use id::{
    BackendId, BudgetId, GrantId, HostId, Incarnation, Offset, ParseIdError, Region, RequestId,
    ServiceId, SliceId, Tokens, Version, WorkspaceId, Zone,
};
pub use log_client::{LogClient, LogClientSettings, LogPage, LogRecord};
