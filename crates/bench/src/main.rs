//! `mallowpath-bench`: experiments against stand-ins, which print their results as JSON lines.

mod budgets;
mod burst;
mod fleet;
mod load;
mod path;
mod plot;
mod proc_stat;
mod recovery;
mod routing;
mod slopes;

use argh::FromArgs;
use std::process::ExitCode;

/// Measures the fleet's policies against stand-ins on loopback.
#[derive(Debug, FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    experiment: Experiment,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Experiment {
    Path(path::PathArguments),
    Budgets(budgets::BudgetsArguments),
    Burst(burst::BurstArguments),
    Recovery(recovery::RecoveryArguments),
    Routing(routing::RoutingArguments),
    Slopes(slopes::SlopesArguments),
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.experiment {
        Experiment::Path(arguments) => path::run(&arguments).await,
        Experiment::Budgets(arguments) => budgets::run(&arguments).await,
        Experiment::Burst(arguments) => burst::run(&arguments).await,
        Experiment::Recovery(arguments) => recovery::run(&arguments).await,
        Experiment::Routing(arguments) => routing::run(&arguments).await,
        Experiment::Slopes(arguments) => slopes::run(&arguments).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
