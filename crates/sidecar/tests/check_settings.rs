//! Runs the sidecar binary with `--check`.

use std::{fs, path::Path, process::Command};

const SETTINGS: &str = "[sidecar]\nname = host-1\nzone = a\nregion = r\npeer_listen = 127.0.0.1:0\n\
    admin_listen = 127.0.0.1:0\nlog_service = 127.0.0.1:1\nhost_list = 127.0.0.1:2\n\
    backend = b\nbackend_address = 127.0.0.1:3\nservice = s\n";

#[test]
fn check_accepts_valid_settings_and_exits() {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("sidecar.ini");
    fs::write(&file, SETTINGS).expect("the folder can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_mallowpath-sidecar"));
    let status = command.arg("--check").arg("--settings").arg(&file).status();
    assert!(status.expect("the program starts").success());
}
