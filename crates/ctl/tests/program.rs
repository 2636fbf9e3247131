//! The program itself: what goes to which stream, and the exit status.

use std::process::{Command, Output};

fn program(words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mallowpathctl"));
    command.args(words).output().expect("the program runs")
}

#[test]
fn results_and_problems_go_apart() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../embedded/example");
    let valid = program(&["check", example]);
    assert_eq!(valid.status.code(), Some(0));
    assert!(valid.stdout.starts_with(b"valid;"));
    assert!(valid.stderr.is_empty());
    let invalid = program(&["check", "/nowhere"]);
    assert_eq!(invalid.status.code(), Some(2));
    assert!(invalid.stdout.is_empty());
    assert!(invalid.stderr.starts_with(b"/nowhere"));
    let failed = program(&["dump", "127.0.0.1:1"]);
    assert_eq!(failed.status.code(), Some(1));
    let help = program(&["publish", "--help"]);
    assert_eq!(help.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&help.stdout).contains("--base <base>"));
}
