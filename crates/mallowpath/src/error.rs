//! The error type of the crate.

use crate::Offset;
use snafu::Snafu;
use std::{
    error::Error as StdError,
    fmt::{self, Display},
};

/// A result whose error is this crate's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A failed operation: its step, its peer, and whether it may have taken effect.
#[derive(Debug, Snafu)]
#[snafu(source(from(Failure, Box::new)))]
pub struct Error(Box<Failure>);

/// The kind of an error, which says whether the operation may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Category {
    /// The operation certainly had no effect.
    Refused,
    /// The operation may have taken effect: the answer was lost, late or ambiguous.
    Unknown,
    /// The requested data is no longer kept.
    Gone,
    /// The peer's answer violates the protocol.
    Protocol,
    /// The settings or the configuration are invalid.
    Config,
    /// An operation of the local system failed.
    Io,
}

#[derive(Debug, Snafu)]
enum Failure {
    #[snafu(display("{context}"))]
    WithoutSource { context: Context },
    #[snafu(display("{context}"))]
    WithSource {
        context: Context,
        source: Box<dyn StdError + Send + Sync>,
    },
}

#[derive(Debug)]
struct Context {
    category: Category,
    step: &'static str,
    peer: String,
    message: String,
    retry_after_ms: Option<u64>,
    bounds: Option<(Offset, Offset)>,
}

impl Error {
    /// Creates an error of `category` that occurred in `step` of an operation on `peer`.
    #[cold]
    pub fn new(
        category: Category,
        step: &'static str,
        peer: impl Display,
        message: impl Display,
    ) -> Self {
        let context = Context {
            category,
            step,
            peer: peer.to_string(),
            message: message.to_string(),
            retry_after_ms: None,
            bounds: None,
        };
        Self(Box::new(Failure::WithoutSource { context }))
    }

    /// Adds the error that caused this one.
    #[must_use]
    pub fn with_source(self, source: impl Into<Box<dyn StdError + Send + Sync>>) -> Self {
        let (Failure::WithoutSource { context } | Failure::WithSource { context, .. }) = *self.0;
        Self(Box::new(Failure::WithSource {
            context,
            source: source.into(),
        }))
    }

    /// Adds the delay after which to retry, in milliseconds.
    #[must_use]
    pub fn with_retry_after_ms(mut self, retry_after_ms: Option<u64>) -> Self {
        self.context_mut().retry_after_ms = retry_after_ms;
        self
    }

    /// Adds the first and the next offset of a stream that was read below its first offset.
    #[must_use]
    pub fn with_bounds(mut self, first: Offset, next: Offset) -> Self {
        self.context_mut().bounds = Some((first, next));
        self
    }

    /// Replaces the category, for example when an earlier attempt may have taken effect.
    #[must_use]
    pub fn with_category(mut self, category: Category) -> Self {
        self.context_mut().category = category;
        self
    }

    /// Returns the category, which says whether the operation may have taken effect.
    pub fn category(&self) -> Category {
        self.context().category
    }

    /// Returns the step that failed.
    pub fn step(&self) -> &'static str {
        self.context().step
    }

    /// Returns the peer that the step was for.
    pub fn peer(&self) -> &str {
        &self.context().peer
    }

    /// Returns the delay after which to retry in milliseconds, if the peer gave one.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.context().retry_after_ms
    }

    /// Returns the first and the next offset of the stream, for errors of [`Category::Gone`].
    pub fn bounds(&self) -> Option<(Offset, Offset)> {
        self.context().bounds
    }

    fn context(&self) -> &Context {
        match &*self.0 {
            Failure::WithoutSource { context } | Failure::WithSource { context, .. } => context,
        }
    }

    fn context_mut(&mut self) -> &mut Context {
        match &mut *self.0 {
            Failure::WithoutSource { context } | Failure::WithSource { context, .. } => context,
        }
    }
}

impl Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.peer, self.message)
    }
}
