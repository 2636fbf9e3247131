//! Runs a small fleet in one process, with stand-ins for the platform services and backend servers.
//!
//! The quick start in the README, integration tests and measurements use it.

mod example_configuration;
mod fleet;
mod simulated_process;

pub use example_configuration::{EXAMPLE_BEARER_KEY, example_configuration};
pub use fleet::{EmbeddedFleet, EmbeddedFleetSettings};
