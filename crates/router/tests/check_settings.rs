//! The program as an operator starts it.

use std::process::Command;

#[test]
fn a_file_that_is_not_there_is_an_error_of_its_own_status() {
    let output = Command::new(env!("CARGO_BIN_EXE_mallowpath-router"))
        .args(["--check", "--settings", "no-such-file.ini"])
        .output()
        .expect("the program starts");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("no-such-file.ini"), "{text}");
}
