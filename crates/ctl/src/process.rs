//! `dump` and `drain`: commands to one process.

use crate::{
    args::{Drain, Dump},
    report::Report,
};
use mallowpath::AdminClient;
use serde_json::json;

/// Prints the state of a process.
pub(crate) async fn dump(dump: &Dump) -> Report {
    match AdminClient::new(dump.admin).dump().await {
        Ok(value) => Report::json(&value),
        Err(error) => Report::failed(&error),
    }
}

/// Starts a graceful shutdown of a process.
pub(crate) async fn drain(drain: &Drain) -> Report {
    match AdminClient::new(drain.admin).drain().await {
        Ok(()) if drain.json => Report::json(&json!({"draining": true})),
        Ok(()) => Report::text(format_args!(
            "the process at {} takes no new work and ends once its work is done",
            drain.admin
        )),
        Err(error) => Report::failed(&error),
    }
}
