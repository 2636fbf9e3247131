//! The result of a command: its output and exit status.

use mallowpath::{Category, Error};
use serde_json::Value;
use std::{error::Error as _, fmt::Display};

/// Exit status of a command that succeeded.
pub const OK: u8 = 0;
/// Exit status of a command that failed, or that found a fault in the fleet or the log.
pub const FAILED: u8 = 1;
/// Exit status of wrong usage or an invalid configuration or argument.
pub const INVALID: u8 = 2;
/// Exit status of a change that was refused because another version is in force than the one it
/// builds on.
pub const CONFLICT: u8 = 3;

/// The output and exit status of a command.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Text for the standard output.
    pub out: String,
    /// Text for the standard error.
    pub err: String,
    /// The exit status.
    pub status: u8,
}

impl Report {
    /// Returns the report of a command that succeeded and prints `text`.
    pub(crate) fn text(text: impl Display) -> Self {
        Self {
            out: format!("{text}\n"),
            ..Self::default()
        }
    }

    /// Returns the report of a command that succeeded and prints `value` as JSON.
    pub(crate) fn json(value: &Value) -> Self {
        Self::text(format_args!("{value:#}"))
    }

    /// Returns the report of wrong usage or an invalid configuration or argument.
    pub(crate) fn invalid(text: impl Display) -> Self {
        Self {
            err: format!("{text}\n"),
            status: INVALID,
            ..Self::default()
        }
    }

    /// Returns the report of `error` and its sources.
    ///
    /// A source whose text the message contains already is left out.
    pub(crate) fn failed(error: &Error) -> Self {
        let mut err = error.to_string();
        let mut source = error.source();
        while let Some(cause) = source {
            let text = cause.to_string();
            if !err.contains(&text) {
                err += ": ";
                err += &text;
            }
            source = cause.source();
        }
        err.push('\n');
        let status = match error.category() {
            Category::Config => INVALID,
            _ => FAILED,
        };
        Self {
            err,
            status,
            ..Self::default()
        }
    }

    /// Adds a line to the standard error.
    #[must_use]
    pub(crate) fn note(mut self, text: impl Display) -> Self {
        self.err += &text.to_string();
        self.err.push('\n');
        self
    }

    /// Replaces the exit status.
    #[must_use]
    pub(crate) fn with_status(self, status: u8) -> Self {
        Self { status, ..self }
    }
}
