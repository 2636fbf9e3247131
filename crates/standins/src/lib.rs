//! Small stand-ins of the platform and of the backend servers, with faults on demand.
//!
//! Every module has a `Settings` struct, which also switches the faults, and a `start` function. A
//! running stand-in changes its settings through its handle or by `POST /control` with a JSON
//! object of the fields to change.

pub mod log_service;
mod server;

pub use server::Handle;
