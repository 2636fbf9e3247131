//! `mallowpath-embedded`: a complete fleet in one process, for trying it out locally.

use argh::FromArgs;
use mallowpath::{run_until_drained, start_logging};
use mallowpath_embedded::{EXAMPLE_BEARER_KEY, EmbeddedFleet, EmbeddedFleetSettings};
use std::{net::SocketAddr, process::ExitCode};

/// Runs a router, sidecars and stand-ins of all they need in one process on loopback.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// where to take callers; default 127.0.0.1:8080
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    listen: SocketAddr,
    /// least level of log lines: error, warn, info, debug or trace; default warn
    #[argh(option, default = "log::LevelFilter::Warn")]
    log_level: log::LevelFilter,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if let Err(error) = start_logging("embedded", arguments.log_level) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let settings = EmbeddedFleetSettings {
        callers_listen: arguments.listen,
        ..EmbeddedFleetSettings::default()
    };
    let fleet = match EmbeddedFleet::start(settings).await {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    let (router, addresses) = &fleet.routers[0];
    println!("mallowpath is up. Try:\n");
    println!(
        "curl -N http://{}/v1/chat/completions \\",
        addresses.callers
    );
    println!("  -H 'Authorization: Bearer {EXAMPLE_BEARER_KEY}' \\");
    println!(
        "  -d '{{\"model\":\"small\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'\n"
    );
    println!("State: curl http://{}/dump", addresses.admin);
    println!("Ctrl-C ends it.");
    run_until_drained(|| router.drain(), router.drained()).await;
    ExitCode::SUCCESS
}
