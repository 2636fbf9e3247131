//! `mallowpath-sidecar`: the process beside a backend server, and the only way to it.

use argh::FromArgs;
use mallowpath::{Sidecar, read_sidecar_settings, run_until_drained, start_logging};
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
    let settings = match read_sidecar_settings(&arguments.settings) {
        Ok(settings) => settings,
        Err(issues) => {
            eprintln!("{issues}");
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    if let Err(error) = start_logging(settings.host.name.as_str(), arguments.log_level) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    match Sidecar::start(settings).await {
        Ok((sidecar, addresses)) => {
            println!("{addresses}");
            let drain = || sidecar.drain();
            run_until_drained(drain, sidecar.drained()).await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::error!("can't start: {error}");
            ExitCode::FAILURE
        }
    }
}
