//! A small fleet in one process, with stand-ins for the platform and the backend servers.
//!
//! It is what the README's first command runs, and a base for measurements.

mod configuration;
mod process;
mod site;

pub use configuration::{EXAMPLE_KEY, example_configuration};
pub use site::{Site, SiteSettings};
