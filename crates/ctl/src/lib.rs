//! The commands of `mallowpathctl` as a library that returns output and exit status.

mod admin_commands;
mod against;
mod args;
mod audit;
mod budget;
mod check;
mod differences;
mod explain;
mod publish;
mod report;
mod status;

pub use report::{EXIT_CONFLICT, EXIT_FAILED, EXIT_INVALID, EXIT_OK, Report};

use argh::{EarlyExit, FromArgs};
use args::{Arguments, BudgetCommand, Command};

/// Runs the command given by `arguments`, which exclude the name of the program.
pub async fn run(arguments: &[String]) -> Report {
    let mut borrowed = Vec::with_capacity(arguments.len());
    for argument in arguments {
        borrowed.push(argument.as_str());
    }
    match Arguments::from_args(&["mallowpathctl"], &borrowed) {
        Ok(parsed) => run_command(parsed.command).await,
        Err(EarlyExit {
            output,
            status: Ok(()),
        }) => Report::text(output.trim_end()),
        Err(EarlyExit { output, .. }) => {
            let hint = "Run mallowpathctl --help for more information.";
            Report::invalid(format!("{}\n{hint}", output.trim_end()))
        }
    }
}

async fn run_command(command: Command) -> Report {
    match command {
        Command::Check(check) => check::run(&check).await,
        Command::Publish(publish) => publish::run(&publish).await,
        Command::Status(status) => status::run(&status).await,
        Command::Dump(dump) => admin_commands::dump(&dump).await,
        Command::Drain(drain) => admin_commands::drain(&drain).await,
        Command::Audit(audit) => audit::run(&audit).await,
        Command::Explain(explain) => explain::run(&explain),
        Command::Budget(budget) => match budget.command {
            BudgetCommand::Show(show) => budget::show(&show).await,
            BudgetCommand::TopUp(top_up) => budget::top_up(&top_up).await,
        },
    }
}
