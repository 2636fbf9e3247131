//! Runs one stand-in as a separate process.

use argh::FromArgs;
use mallowpath_standins::{
    forwarder, host_list, log_service, merge_settings, plain_service, simulated_engine,
    weight_store,
};
use serde_json::{Value, json};
use std::{error::Error, net::SocketAddr};

/// A stand-in of the platform or of a backend server.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Log(Log),
    Hosts(Hosts),
    Weights(Weights),
    Engine(Engine),
    Service(Service),
    Forwarder(Forwarder),
}

/// Declares a subcommand with the options that all stand-ins share.
macro_rules! command {
    ($type:ident, $name:tt, $description:tt) => {
        #[derive(Debug, FromArgs)]
        #[argh(subcommand, name = $name, description = $description)]
        struct $type {
            /// address to listen at
            #[argh(option)]
            listen: Option<SocketAddr>,
            /// JSON object of settings that differ from the defaults
            #[argh(option, default = "String::from(\"{}\")")]
            settings: String,
        }

        impl $type {
            fn changed_settings(&self) -> serde_json::Result<Value> {
                let mut changes: Value = serde_json::from_str(&self.settings)?;
                if let Some(listen) = self.listen {
                    changes["listen"] = json!(listen);
                }
                Ok(changes)
            }
        }
    };
}

command!(Log, "log", "log service");
command!(Hosts, "hosts", "host list");
command!(Weights, "weights", "weight store");
command!(Engine, "engine", "model engine");
command!(Service, "service", "plain service");
command!(Forwarder, "forwarder", "TCP forwarder");

/// Starts a stand-in with the default settings, changed by the command line, prints its address
/// and runs until the process is killed.
macro_rules! run {
    ($module:ident, $command:expr) => {{
        let settings = merge_settings(&$module::Settings::default(), $command.changed_settings()?)?;
        let handle = $module::start(settings).await?;
        println!("{}", json!({ "listening": handle.address }));
        std::future::pending::<()>().await;
        drop(handle);
    }};
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Log(command) => run!(log_service, command),
        Command::Hosts(command) => run!(host_list, command),
        Command::Weights(command) => run!(weight_store, command),
        Command::Engine(command) => run!(simulated_engine, command),
        Command::Service(command) => run!(plain_service, command),
        Command::Forwarder(command) => run_forwarder(&command).await?,
    }
    Ok(())
}

/// Runs a forwarder; also prints the address of its control server.
async fn run_forwarder(command: &Forwarder) -> Result<(), Box<dyn Error>> {
    let settings = merge_settings(&forwarder::Settings::default(), command.changed_settings()?)?;
    let handle = forwarder::start(settings).await?;
    println!(
        "{}",
        json!({ "listening": handle.address, "admin": handle.admin.address })
    );
    std::future::pending::<()>().await;
    drop(handle);
    Ok(())
}
