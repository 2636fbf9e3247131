//! Runs the router binary with `--check`.

use std::process::Command;

#[test]
fn missing_settings_file_exits_with_status_2_and_is_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_mallowpath-router"))
        .args(["--check", "--settings", "no-such-file.ini"])
        .output()
        .expect("the program starts");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("no-such-file.ini"), "{text}");
}
