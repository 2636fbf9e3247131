//! Runs a small fleet in one process, with stand-ins for the platform services and backend servers.
//!
//! The quick start in the README, integration tests and measurements use it.

mod configuration;
mod process;
mod site;

pub use configuration::{EXAMPLE_KEY, example_configuration};
pub use site::{Site, SiteSettings};
