//! The choice of a backend server for each request, and orders to backend servers.

pub(crate) mod backend;
pub(crate) mod baseline;
pub(crate) mod candidates;
pub(crate) mod order;
pub(crate) mod order_task;
pub(crate) mod outlier_ejection;
pub(crate) mod prefix;
pub(crate) mod rendezvous;
pub(crate) mod route;
pub(crate) mod route_tables;
pub(crate) mod weight_load_queue;
