//! Cluster membership: live processes, detection of lost routers, and reclaim of their unspent
//! tokens.

pub(crate) mod lost_routers;
pub(crate) mod members;
pub(crate) mod members_follower;
pub(crate) mod peer_connections;
pub(crate) mod peer_selection;
pub(crate) mod reclaim;
pub(crate) mod reclaim_queries;
pub(crate) mod reclaim_registry;
pub(crate) mod reclaim_task;
