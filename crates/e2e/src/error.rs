//! The error type of the harness.

use std::error::Error;

/// An error of the harness or a failed check; tests only print it.
pub type BoxError = Box<dyn Error + Send + Sync>;
