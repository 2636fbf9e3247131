//! `mallowpath-router`: the process on an entry host that accepts callers' requests.

use argh::FromArgs;
use mallowpath::{DaemonOptions, Router, read_router_settings, run_daemon};
use std::{path::PathBuf, process::ExitCode};

/// Routes callers' requests to backend servers and bills them to prepaid token budgets.
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
        read_router_settings(&arguments.settings),
        options,
        |settings| &settings.host,
        Router::start,
        Router::drain,
        async |router| router.drained().await,
    )
    .await
}
