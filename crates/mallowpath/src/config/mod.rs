//! Configuration of the fleet: parsing, validation, versioning, distribution and freshness.

pub(crate) mod change;
pub(crate) mod change_split;
pub(crate) mod config_task;
pub(crate) mod configuration;
pub(crate) mod entries;
pub(crate) mod fleet;
pub(crate) mod fleet_parse;
pub(crate) mod fleet_references;
pub(crate) mod ini;
pub(crate) mod issue;
pub(crate) mod propagation;
pub(crate) mod publish;
pub(crate) mod replay;
pub(crate) mod section;
pub(crate) mod warning;
pub(crate) mod work_eligibility;
