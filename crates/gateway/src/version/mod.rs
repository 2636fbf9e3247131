//! Versions of the configuration: routes, services, workspaces and caller limits.

mod configuration;
mod request_rank;

pub use configuration::{
    CallerLimits, Configuration, Route, RouteKind, ServiceConfig, ServiceWeight, Workspace,
};
pub use request_rank::RequestRank;
