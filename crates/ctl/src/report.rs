//! The result of a command: its output and exit status.

use mallowpath::{Category, Error};
use serde_json::Value;
use std::{error::Error as _, fmt::Display};

/// Exit status of a command that succeeded.
pub const EXIT_OK: u8 = 0;
/// Exit status of a command that failed, or that found a fault in the fleet or the log.
pub const EXIT_FAILED: u8 = 1;
/// Exit status of wrong usage or an invalid configuration or argument.
pub const EXIT_INVALID: u8 = 2;
/// Exit status of a change that was refused because another version is in force than the one it
/// builds on.
pub const EXIT_CONFLICT: u8 = 3;

/// The output and exit status of a command.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Text for the standard output.
    pub stdout: String,
    /// Text for the standard error.
    pub stderr: String,
    /// The exit status.
    pub exit_status: u8,
}

impl Report {
    /// Returns the report of a command that succeeded and prints `text`.
    pub(crate) fn text(text: impl Display) -> Self {
        Self {
            stdout: format!("{text}\n"),
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
            stderr: format!("{text}\n"),
            exit_status: EXIT_INVALID,
            ..Self::default()
        }
    }

    /// Returns the report of `error` and its sources.
    ///
    /// A source whose text the message contains already is left out.
    pub(crate) fn from_error(error: &Error) -> Self {
        let mut stderr = error.to_string();
        let mut source = error.source();
        while let Some(cause) = source {
            let text = cause.to_string();
            if !stderr.contains(&text) {
                stderr += ": ";
                stderr += &text;
            }
            source = cause.source();
        }
        stderr.push('\n');
        let exit_status = match error.category() {
            Category::Config => EXIT_INVALID,
            _ => EXIT_FAILED,
        };
        Self {
            stderr,
            exit_status,
            ..Self::default()
        }
    }

    /// Adds a line to the standard error.
    #[must_use]
    pub(crate) fn with_note(mut self, text: impl Display) -> Self {
        self.stderr += &text.to_string();
        self.stderr.push('\n');
        self
    }

    /// Replaces the exit status.
    #[must_use]
    pub(crate) fn with_exit_status(self, exit_status: u8) -> Self {
        Self {
            exit_status,
            ..self
        }
    }
}
