//! What routers and sidecars share as processes: settings, startup, signals, logs and the admin
//! listener; and the router process itself.

pub(crate) mod admin;
pub(crate) mod admin_client;
pub(crate) mod clock;
pub(crate) mod daemon;
pub(crate) mod http_listener;
pub(crate) mod in_flight;
pub(crate) mod logging;
pub(crate) mod peer_timing;
pub(crate) mod router;
pub(crate) mod router_calls;
pub(crate) mod router_peers;
pub(crate) mod settings;
pub(crate) mod signal;
