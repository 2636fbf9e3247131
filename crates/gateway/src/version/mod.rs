//! Versions of the configuration: routes, services, workspaces and caller limits.

mod configuration;

pub use configuration::{
    CallerLimits, Configuration, Route, RouteKind, ServiceConfig, ServiceWeight, Workspace,
};
