//! The sidecar process of a backend server: its run table, its calls and its bills.
//!
//! Every request to the backend server goes through its sidecar.

pub(crate) mod backend_client;
pub(crate) mod load_poll;
pub(crate) mod run_history;
pub(crate) mod run_signals;
pub(crate) mod run_table;
pub(crate) mod sidecar;
pub(crate) mod sidecar_bills;
pub(crate) mod sidecar_calls;
pub(crate) mod sidecar_join;
pub(crate) mod sidecar_orders;
