//! Output streams and exit status of the program itself.

use std::process::{Command, Output};

fn run_program(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mallowpathctl"));
    command.args(arguments).output().expect("the program runs")
}

#[test]
fn results_go_to_stdout_and_problems_to_stderr() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../embedded/example");
    let valid = run_program(&["check", example]);
    assert_eq!(valid.status.code(), Some(0));
    assert!(valid.stdout.starts_with(b"valid;"));
    assert!(valid.stderr.is_empty());
    let invalid = run_program(&["check", "/nowhere"]);
    assert_eq!(invalid.status.code(), Some(2));
    assert!(invalid.stdout.is_empty());
    assert!(invalid.stderr.starts_with(b"/nowhere"));
    let failed = run_program(&["dump", "127.0.0.1:1"]);
    assert_eq!(failed.status.code(), Some(1));
    let help = run_program(&["publish", "--help"]);
    assert_eq!(help.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&help.stdout).contains("--base <base>"));
}
