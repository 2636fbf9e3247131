//! A harness for end-to-end tests: the fleet as separate processes, with faults between them.
//!
//! A [`Cluster`] starts the stand-ins, sidecars and routers. A [`History`] records what callers
//! see, and [`LogContent`] holds what the log service keeps; the functions `check_*` compare both.

mod call;
mod check;
mod cluster;
mod error;
mod history;
mod linear;
mod log_content;
mod network;
mod process;
mod program;
mod settings_file;

pub use call::{Answer, Call, CallKind, Operation};
pub use check::{Verdicts, check_answers, check_bills, check_budget, check_runs};
pub use cluster::{Cluster, ClusterSettings, RouterProcess, SidecarProcess};
pub use error::Failure;
pub use history::{History, expect_whole};
pub use linear::{BudgetCounter, BudgetOperation, is_budget_linearizable};
pub use log_content::{LedgerContent, LogContent};
pub use network::{Forwarder, Network, Standin};
pub use process::Process;
pub use program::Program;
