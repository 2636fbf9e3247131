//! Finds the prompt parts that end the backend servers that answer them, and quarantines them.

pub(crate) mod crash_evidence;
pub(crate) mod crash_probe;
pub(crate) mod part_id;
pub(crate) mod part_quarantine;
mod recent_parts;
pub(crate) mod router_quarantine;
