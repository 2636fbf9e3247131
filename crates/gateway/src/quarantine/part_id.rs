//! The identifier of a prompt part.

use crate::request::PromptPart;
use std::{fmt, num::ParseIntError, str::FromStr};

/// The maximum number of parts of one prompt that are looked at.
const PARTS_MAX: usize = 16;

/// Identifies a part of prompts; equal texts have equal identifiers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

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

/// Returns the parts of a prompt that other prompts may have in common: all but the last.
pub(crate) fn shared_part_ids(prompt: &[PromptPart]) -> Vec<PartId> {
    let Some((_, shared)) = prompt.split_last() else {
        return Vec::new();
    };
    let mut parts = Vec::with_capacity(shared.len().min(PARTS_MAX));
    for part in shared.iter().take(PARTS_MAX) {
        parts.push(PartId(part.id));
    }
    parts
}
