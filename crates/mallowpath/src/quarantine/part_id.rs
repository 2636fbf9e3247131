//! The identifier of a part of requests.

use crate::memory::segments::SegmentedBody;
use std::{fmt, num::ParseIntError, str::FromStr};
use xxhash_rust::xxh3::Xxh3;

/// The bit that is set in the identifiers of whole requests only, so that no caller can name a text
/// that is taken for another caller's request.
const WHOLE_REQUEST_BIT: u64 = 1 << 63;

/// Identifies a part of requests: a text that prompts may have in common, or a whole request.
///
/// Equal texts and equal requests have equal identifiers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

impl PartId {
    /// Returns the identifier of the text with this number.
    pub fn of_text(number: u64) -> Self {
        Self(number & !WHOLE_REQUEST_BIT)
    }

    /// Returns the identifier of the request that these fields describe.
    ///
    /// # Examples
    ///
    /// ```
    /// use mallowpath::PartId;
    ///
    /// let id = PartId::of_request(&[b"GET", b"/fees"]);
    /// assert_eq!(id, PartId::of_request(&[b"GET", b"/fees"]));
    /// assert_ne!(id, PartId::of_request(&[b"GET/", b"fees"]));
    /// ```
    pub fn of_request(fields: &[&[u8]]) -> Self {
        Self::of_hash(&hash_fields(fields))
    }

    /// Returns the identifier of the request that these fields, and its body as the last one, describe.
    pub fn of_request_with_body(fields: &[&[u8]], body: &SegmentedBody) -> Self {
        let mut hasher = hash_fields(fields);
        hasher.update(&body.len().to_le_bytes());
        for segment in body.segments() {
            hasher.update(segment);
        }
        Self::of_hash(&hasher)
    }

    fn of_hash(hasher: &Xxh3) -> Self {
        Self(hasher.digest() | WHOLE_REQUEST_BIT)
    }

    /// Returns whether this identifies a whole request.
    pub fn is_request(self) -> bool {
        self.0 & WHOLE_REQUEST_BIT != 0
    }
}

fn hash_fields(fields: &[&[u8]]) -> Xxh3 {
    let mut hasher = Xxh3::new();
    for field in fields {
        hasher.update(&field.len().to_le_bytes());
        hasher.update(field);
    }
    hasher
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
