//! Versions of the configuration: routes, services, workspaces and caller limits.

mod catalogue;

pub use catalogue::{
    CallerLimits, Catalogue, Route, RouteKind, RouteTarget, ServiceRule, Workspace,
};
