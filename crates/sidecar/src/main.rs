//! `mallowpath-sidecar`: the process beside a backend server, through which all its requests pass.

use argh::FromArgs;
use mallowpath::{DaemonOptions, Sidecar, read_sidecar_settings, run_daemon};
use std::{path::PathBuf, process::ExitCode};

/// Passes requests of routers to the backend server beside it; counts, cuts and bills them.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// file with the process's settings, see docs/SETTINGS.md
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
    /// least level of log lines: error, warn, info, debug or trace; default info
    #[argh(option, default = "log::LevelFilter::Info")]
    log_level: log::LevelFilter,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let options = DaemonOptions {
        check: arguments.check,
        log_level: arguments.log_level,
    };
    run_daemon(
        read_sidecar_settings(&arguments.settings),
        options,
        |settings| &settings.host,
        Sidecar::start,
        Sidecar::drain,
        async |sidecar| sidecar.drained().await,
    )
    .await
}
