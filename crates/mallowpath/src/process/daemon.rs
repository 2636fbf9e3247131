//! Runs a router or sidecar process from its settings to its exit status.

use crate::{
    config::issue::IssueReport,
    error::Result,
    process::{logging::start_logging, settings::HostSettings, signal::run_until_drained},
};
use log::LevelFilter;
use std::{fmt::Display, process::ExitCode};

/// Exit status for invalid settings.
const INVALID_SETTINGS_STATUS: u8 = 2;

/// Command line options that every process has.
#[derive(Debug, Clone, Copy)]
pub struct DaemonOptions {
    /// Whether to check the settings and exit.
    pub check: bool,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
}

/// Runs a process until it has drained and returns its exit status.
///
/// `host` returns the host's part of the settings. `start` starts the process and returns it with
/// the addresses to print. `drain` starts its graceful shutdown, and `drained` waits for its end.
///
/// The status is 2 for invalid settings and 1 when the process can't start.
pub async fn run_daemon<S, P, A: Display>(
    settings: Result<S, IssueReport>,
    options: DaemonOptions,
    host: impl Fn(&S) -> &HostSettings,
    start: impl AsyncFnOnce(S) -> Result<(P, A)>,
    drain: impl Fn(&P),
    drained: impl AsyncFn(&P),
) -> ExitCode {
    let settings = match settings {
        Ok(settings) => settings,
        Err(issues) => {
            eprintln!("{issues}");
            return ExitCode::from(INVALID_SETTINGS_STATUS);
        }
    };
    if options.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    if let Err(error) = start_logging(host(&settings).name.as_str(), options.log_level) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    match start(settings).await {
        Ok((process, addresses)) => {
            println!("{addresses}");
            run_until_drained(|| drain(&process), drained(&process)).await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::error!("can't start: {error}");
            ExitCode::FAILURE
        }
    }
}
