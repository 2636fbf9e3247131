//! Stand-ins for the platform services and the backend servers, with fault injection.
//!
//! Every stand-in module has a `Settings` struct, which also configures its faults, and a `start`
//! function. The settings of a running stand-in are changed through its handle or with
//! `POST /control`, whose body is a JSON object of the fields to replace.

pub mod client;
mod engine_api;
mod engine_batch;
mod engine_stream;
mod engine_text;
pub mod forwarder;
pub mod host_list;
pub mod log_service;
pub mod plain_service;
mod prefix_cache;
mod server;
pub mod simulated_engine;
mod token_bucket;
pub mod weight_store;

pub use engine_text::expected_text;
pub use prefix_cache::prefix_hashes;
pub use server::{Handle, Outage, merge_settings};
