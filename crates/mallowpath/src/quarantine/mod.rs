//! Finds the requests and prompt parts that end the backend servers that run them, and quarantines
//! them.

mod block;
mod crash;
pub(crate) mod crash_evidence;
pub(crate) mod crash_probe;
pub(crate) mod crash_report;
pub(crate) mod part_id;
pub(crate) mod part_quarantine;
mod recent_parts;
pub(crate) mod router_quarantine;
