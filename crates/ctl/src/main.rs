//! `mallowpathctl`: the command line tool of operators.

use std::{env, process::ExitCode};

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = Vec::new();
    for argument in env::args_os().skip(1) {
        arguments.push(argument.to_string_lossy().into_owned());
    }
    let report = mallowpathctl::run(&arguments).await;
    print!("{}", report.stdout);
    eprint!("{}", report.stderr);
    ExitCode::from(report.exit_status)
}
