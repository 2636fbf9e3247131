//! Cluster membership: live processes, detection of lost routers, and reclaim of their unspent
//! tokens.

pub(crate) mod lost_routers;
pub(crate) mod members;
pub(crate) mod members_task;
pub(crate) mod peers;
pub(crate) mod reclaim;
pub(crate) mod reclaim_queries;
pub(crate) mod reclaim_task;
pub(crate) mod reclaims;
pub(crate) mod seen;
