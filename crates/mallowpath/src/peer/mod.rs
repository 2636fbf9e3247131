//! Connections and messages between the processes of the fleet.

pub(crate) mod dialer;
pub(crate) mod link;
pub(crate) mod link_tasks;
pub(crate) mod silence_detector;
pub(crate) mod wire;
pub(crate) mod wire_backend;
pub(crate) mod wire_budget;
pub(crate) mod wire_router;
pub(crate) mod wire_run;
