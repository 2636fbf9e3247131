//! Newtypes for identifiers, token counts and log positions.
//!
//! `FromStr` of each type accepts the text that its `Display` writes and returns an equal value.

use serde::{Deserialize, Serialize};
use std::{
    fmt::{self, Debug, Display},
    str::FromStr,
    sync::Arc,
};

/// An error of `FromStr`: the text is not a valid value of the type.
#[derive(Debug)]
pub struct ParseIdError {
    expected: &'static str,
}

impl ParseIdError {
    /// Creates the error from a description of the expected text.
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

/// Returns the error for a text that is not what was `expected`.
#[cold]
pub(crate) fn expected<T>(expected: &'static str) -> Result<T, ParseIdError> {
    Err(ParseIdError { expected })
}

/// Declares a newtype over `Arc<str>` for names of letters, digits, `-`, `_`, `.`, `/` and `:`.
macro_rules! define_name {
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

            /// Checks a name and shares its text without a copy.
            fn try_from(text: &Arc<str>) -> Result<Self, Self::Error> {
                if !is_name(text) {
                    return expected("a name of letters, digits and - _ . / :");
                }
                Ok(Self(Arc::clone(text)))
            }
        }
    };
}

/// Declares a newtype over `u64` whose text form is a decimal number.
macro_rules! define_number {
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

/// Declares an identifier composed of a process's incarnation and a sequence number.
macro_rules! define_sequence_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name {
            /// The incarnation of the process that allocated the identifier.
            pub incarnation: Incarnation,
            /// The sequence number among the identifiers that the process allocated.
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

define_name! {
    /// The name of a workspace, which owns budgets.
    WorkspaceId
}
define_name! {
    /// The name of a prepaid token budget, unique within the fleet.
    BudgetId
}
define_name! {
    /// The name of a backend server.
    BackendId
}

define_name! {
    /// The version of a backend server's software.
    BackendVersion
}
define_name! {
    /// The name of a host.
    HostId
}
define_name! {
    /// The name of an availability zone.
    Zone
}
define_name! {
    /// The name of a region, a group of availability zones.
    Region
}
define_name! {
    /// The name of a model or plain service that backend servers provide.
    ServiceId
}
define_number! {
    /// A number of tokens.
    Tokens
}
define_number! {
    /// The offset of a record in a stream of the log service.
    Offset
}
define_number! {
    /// A version of the configuration: the offset of its record plus one, 0 before the first.
    Version
}
define_sequence_id! {
    /// Identifies a request, its run and its bill.
    RequestId
}
define_sequence_id! {
    /// Identifies a grant, the tokens that a keeper drew from a budget.
    GrantId
}
define_sequence_id! {
    /// Identifies a slice, the tokens that a keeper handed to a router.
    SliceId
}

/// Identifies one start of a process; a restarted process has a new incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns a random incarnation, which equals a given other one with a probability of 2^-64.
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

    /// Subtracts, saturating at zero.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Adds, saturating at the largest number.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

/// Returns whether `text` has 1 to 200 characters, all of them allowed in names.
fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_./:".contains(c);
    !text.is_empty() && text.len() <= 200 && text.chars().all(allowed)
}
