//! Connections accepted from callers and connections opened to backend servers.

mod backend_connection;
mod caller;
mod pool;

pub(crate) use backend_connection::{BackendConnection, SendOutcome, connect};
pub(crate) use caller::{CallerConnections, serve_callers};
pub(crate) use pool::ConnectionPool;
