//! What a command prints and its exit status.

use mallowpath::{Category, Error};
use serde_json::Value;
use std::{error::Error as _, fmt::Display};

/// Exit status of a command that did what it was asked.
pub const OK: u8 = 0;
/// Exit status of a command that failed, or found a fault.
pub const FAILED: u8 = 1;
/// Exit status of wrong usage, configuration or arguments.
pub const INVALID: u8 = 2;
/// Exit status of a change that another operator's came before.
pub const LOST: u8 = 3;

/// What a command prints and its exit status.
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
    /// Makes the report of a success that prints a text.
    pub(crate) fn text(text: impl Display) -> Self {
        Self {
            out: format!("{text}\n"),
            ..Self::default()
        }
    }

    /// Makes the report of a success that prints a value for programs.
    pub(crate) fn json(value: &Value) -> Self {
        Self::text(format_args!("{value:#}"))
    }

    /// Makes the report of a command that can't be carried out as it stands.
    pub(crate) fn invalid(text: impl Display) -> Self {
        Self {
            err: format!("{text}\n"),
            status: INVALID,
            ..Self::default()
        }
    }

    /// Makes the report of an error.
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
