//! The error of the harness.

use std::error::Error;

/// Why the harness could not do what a test asks; tests only print it.
pub type Failure = Box<dyn Error + Send + Sync>;
