//! A harness for end-to-end tests that runs the fleet as separate processes and injects faults.
//!
//! A [`Cluster`] starts the stand-ins, sidecars and routers. A [`History`] records the calls and
//! their answers, and a [`LogContent`] holds the bills and ledgers read from the log service. The
//! functions `check_*` compare the two. A [`Crowd`] stands for callers that keep to no limit.

mod call;
mod check;
mod cluster;
mod crowd;
mod error;
mod history;
mod linear;
mod log_content;
mod network;
mod operator;
mod process;
mod process_use;
mod program;
mod settings_file;
mod verify;

pub use call::{Answer, Call, CallKind, Operation};
pub use check::{Violations, check_answers, check_bills, check_budget, check_keys, check_runs};
pub use cluster::{Cluster, ClusterSettings, RouterProcess, SidecarProcess, dump};
pub use crowd::{Crowd, Sent};
pub use error::BoxError;
pub use history::{History, expect_complete};
pub use linear::{BudgetCounter, BudgetOperation, is_budget_linearizable};
pub use log_content::{LedgerContent, LogContent};
pub use network::{Forwarder, Network, Standin};
pub use process::Process;
pub use process_use::{call_until_served, open_descriptors, peak_memory_kib, wait_until_steady};
pub use program::Program;
