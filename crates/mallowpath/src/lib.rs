//! Router fleet for prepaid token budgets.

mod id;

pub use id::{
    BackendId, BudgetId, GrantId, HostId, Incarnation, Offset, ParseIdError, Region, RequestId,
    ServiceId, SliceId, Tokens, Version, WorkspaceId, Zone,
};
