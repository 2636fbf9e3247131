//! `mallowpathctl`: the operators' command line.

use std::{env, process::ExitCode};

#[tokio::main]
async fn main() -> ExitCode {
    let mut words = Vec::new();
    for word in env::args_os().skip(1) {
        words.push(word.to_string_lossy().into_owned());
    }
    let report = mallowpathctl::run(&words).await;
    print!("{}", report.out);
    eprint!("{}", report.err);
    ExitCode::from(report.status)
}
