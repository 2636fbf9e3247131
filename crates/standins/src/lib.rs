//! Small stand-ins of the platform and of the backend servers, with faults on demand.
//!
//! Every module has a `Settings` struct, which also switches the faults, and a `start` function. A
//! running stand-in changes its settings through its handle or by `POST /control` with a JSON
//! object of the fields to change.

pub mod client;
pub mod engine;
mod engine_api;
mod engine_batch;
mod engine_stream;
mod engine_text;
pub mod forwarder;
pub mod host_list;
pub mod log_service;
pub mod plain_service;
mod prefix_cache;
mod rate_limit;
mod server;
pub mod weight_store;

pub use engine_text::expected_text;
pub use prefix_cache::prefix_hashes;
pub use server::{Handle, Outage, merged};
