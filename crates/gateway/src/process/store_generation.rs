//! Detects that the store was restored from an older copy.
//!
//! The store counts its restores in a generation, which each of its answers states. After a restore the
//! records that were appended since the copy are gone, and their offsets are assigned again.

use std::{fmt, num::ParseIntError, str::FromStr};

/// The number of times that the store was restored.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreGeneration(pub u64);

/// What the generation of an answer states about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GenerationChange {
    /// The store was not restored since the last answer, or the answer states no generation.
    Same,
    /// The store was restored since the last answer.
    Restored,
    /// The answer is older than the last restore and must be discarded.
    Outdated,
}

/// The highest generation that the answers to one reader have stated.
#[derive(Debug, Default)]
pub struct GenerationTracker {
    current: Option<StoreGeneration>,
}

impl GenerationTracker {
    /// Returns the highest generation so far; generation 0 before the first one.
    pub fn current(&self) -> StoreGeneration {
        self.current.unwrap_or_default()
    }

    /// Records the generation that an answer states.
    pub fn observe(&mut self, generation: Option<StoreGeneration>) -> GenerationChange {
        let Some(generation) = generation else {
            return GenerationChange::Same;
        };
        let Some(current) = self.current else {
            self.current = Some(generation);
            return GenerationChange::Same;
        };
        if generation < current {
            return GenerationChange::Outdated;
        }
        self.current = Some(generation);
        if generation > current {
            GenerationChange::Restored
        } else {
            GenerationChange::Same
        }
    }
}

impl fmt::Display for StoreGeneration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StoreGeneration {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.trim().parse().map(Self)
    }
}
