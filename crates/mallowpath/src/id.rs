//! Newtypes for identifiers, sizes and positions.
//!
//! Every newtype converts to text with `Display` and back with `FromStr`, and the two agree.

use serde::{Deserialize, Serialize};
use std::{
    fmt::{self, Debug, Display},
    str::FromStr,
    sync::Arc,
};

/// The text given to a `FromStr` of this module is not a value of the type.
#[derive(Debug)]
pub struct ParseIdError {
    expected: &'static str,
}

impl ParseIdError {
    /// Makes the error from a description of what was expected.
    pub(crate) const fn new(expected: &'static str) -> Self {
        Self { expected }
    }
}

impl Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {}", self.expected)
    }
}

impl std::error::Error for ParseIdError {}

#[cold]
pub(crate) fn expected<T>(expected: &'static str) -> Result<T, ParseIdError> {
    Err(ParseIdError { expected })
}

/// Declares a newtype over `Arc<str>`: a name of letters, digits, `-`, `_`, `.`, `/` and `:`.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::try_from(&Arc::from(text))
            }
        }

        impl TryFrom<&Arc<str>> for $name {
            type Error = ParseIdError;

            /// Takes over a name without a copy of its text.
            fn try_from(text: &Arc<str>) -> Result<Self, Self::Error> {
                if !is_name(text) {
                    return expected("a name of letters, digits and - _ . / :");
                }
                Ok(Self(Arc::clone(text)))
            }
        }
    };
}

/// Declares a newtype over `u64` that prints as a decimal number.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text.parse() {
                    Ok(value) => Ok(Self(value)),
                    Err(_) => expected("a whole number"),
                }
            }
        }
    };
}

/// Declares an identifier made by one process: its incarnation and a sequence number.
macro_rules! sequence_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name {
            /// The process that made the identifier.
            pub incarnation: Incarnation,
            /// Its number among those that the process made.
            pub sequence: u64,
        }

        impl Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}-{}", self.incarnation, self.sequence)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let Some((incarnation, sequence)) = text.split_once('-') else {
                    return expected("an incarnation and a sequence number joined by -");
                };
                let Ok(sequence) = sequence.parse() else {
                    return expected("a sequence number behind -");
                };
                Ok(Self { incarnation: incarnation.parse()?, sequence })
            }
        }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }
    };
}

name_type! {
    /// The name of a workspace, the unit that holds budgets.
    WorkspaceId
}
name_type! {
    /// The name of a prepaid token budget, unique in the fleet.
    BudgetId
}
name_type! {
    /// The name of a backend server.
    BackendId
}
name_type! {
    /// The name of a host.
    HostId
}
name_type! {
    /// The name of an availability zone.
    Zone
}
name_type! {
    /// The name of a region, a group of availability zones.
    Region
}
name_type! {
    /// The name of a model or plain service that backend servers serve.
    ServiceId
}
number_type! {
    /// A number of tokens.
    Tokens
}
number_type! {
    /// The position of a record in a stream of the log service.
    Offset
}
number_type! {
    /// A version of the configuration: one more than the offset of its record, 0 before the first.
    Version
}
sequence_type! {
    /// Identifies one request over its whole life, including its bill.
    RequestId
}
sequence_type! {
    /// Identifies tokens taken out of a budget by a keeper.
    GrantId
}
sequence_type! {
    /// Identifies tokens handed from a keeper to a router.
    SliceId
}

/// One run of a process, from its start to its end; a restart makes a new one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Makes an incarnation that no other process has, but for a chance of one in 2^64.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match u64::from_str_radix(text, 16) {
            Ok(value) if text.len() == 16 => Ok(Self(value)),
            _ => expected("sixteen hexadecimal digits"),
        }
    }
}

impl Serialize for Incarnation {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// Subtracts, stopping at zero.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Adds, stopping at the largest number.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_./:".contains(c);
    !text.is_empty() && text.len() <= 200 && text.chars().all(allowed)
}
