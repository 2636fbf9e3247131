//! `dump` and `drain`: commands that call the admin listener of one process.

use crate::{
    args::{Drain, Dump},
    report::Report,
};
use mallowpath::AdminClient;
use serde_json::json;

/// Runs `dump`, which prints the state of a process as JSON.
pub(crate) async fn dump(dump: &Dump) -> Report {
    match AdminClient::new(dump.admin).dump().await {
        Ok(value) => Report::json(&value),
        Err(error) => Report::from_error(&error),
    }
}

/// Runs `drain`, which starts the graceful shutdown of a process.
pub(crate) async fn drain(drain: &Drain) -> Report {
    match AdminClient::new(drain.admin).drain().await {
        Ok(()) if drain.json => Report::json(&json!({"draining": true})),
        Ok(()) => Report::text(format_args!(
            "the process at {} takes no new work and ends once its work is done",
            drain.admin
        )),
        Err(error) => Report::from_error(&error),
    }
}
