//! `mallowpath-router`: the process on an entry host that callers speak to.

use argh::FromArgs;
use mallowpath::{Router, read_router_settings, run_until_drained, start_logging};
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
    let settings = match read_router_settings(&arguments.settings) {
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
    match Router::start(settings).await {
        Ok((router, addresses)) => {
            println!("{addresses}");
            let drain = || router.drain();
            run_until_drained(drain, router.drained()).await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::error!("can't start: {error}");
            ExitCode::FAILURE
        }
    }
}
