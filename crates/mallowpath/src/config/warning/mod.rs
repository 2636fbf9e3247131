//! Warnings about a valid configuration: entries without effect and limits that contradict each
//! other.
//!
//! A warning states a fact that follows from the configuration alone. What also depends on the
//! fleet, such as the number of its backend servers, results in none.

pub(crate) mod config_warning;
pub(crate) mod conflicting_limits;
pub(crate) mod document_warnings;
pub(crate) mod unused_entries;
