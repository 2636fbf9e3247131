//! Structured logging: one JSON object per line on standard error.

use crate::error::{Category, Error, Result};
use log::{LevelFilter, Record};
use serde::Serialize;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Serialize)]
struct LogLine<'a> {
    at_ms: u64,
    level: &'a str,
    target: &'a str,
    host: &'a str,
    message: &'a str,
}

/// Starts logging to standard error; every line names `host`.
///
/// # Errors
///
/// Fails with [`Category::Config`] when logging was started before.
pub fn start_logging(host: &str, level: LevelFilter) -> Result<()> {
    let host = host.to_owned();
    let format = move |record: &Record<'_>, text: &str| format_json_line(&host, record, text);
    start_logging_to(level, format, std::io::stderr().into())
}

/// Starts logging to `output`; `format` turns a record and its message into a line.
///
/// # Errors
///
/// Fails with [`Category::Config`] when logging was started before.
pub fn start_logging_to(
    level: LevelFilter,
    format: impl Fn(&Record<'_>, &str) -> String + Send + Sync + 'static,
    output: fern::Output,
) -> Result<()> {
    let dispatch = fern::Dispatch::new()
        .level(level)
        .level_for("hyper", LevelFilter::Warn)
        .format(move |out, message, record| {
            let text = message.to_string();
            out.finish(format_args!("{}", format(record, &text)));
        })
        .chain(output);
    match dispatch.apply() {
        Ok(()) => Ok(()),
        Err(error) => {
            let error = Error::new(Category::Config, "start logging", "this process", error);
            Err(error)
        }
    }
}

/// Returns the wall clock time in milliseconds since the Unix epoch, 0 if the clock is before it.
///
/// The time is for people to read. Nothing is decided by it, as the clocks of hosts differ.
pub fn wall_clock_ms() -> u64 {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(time) => u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
        Err(_) => 0,
    }
}

fn format_json_line(host: &str, record: &Record<'_>, message: &str) -> String {
    let line = LogLine {
        at_ms: wall_clock_ms(),
        level: record.level().as_str(),
        target: record.target(),
        host,
        message,
    };
    serde_json::to_string(&line).expect("a log line holds only text and numbers")
}
