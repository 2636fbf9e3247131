//! Replay of the configuration stream.
//!
//! Whether a record is valid depends only on the records before it, so all readers agree on the
//! version in force after each offset. Versions increase monotonically: a change accepted at offset
//! `n` creates version `n + 1`, and it is accepted only if its base is the version then in force.
//!
//! The validation of a [`FleetConfig`] is one of these rules. If a release made it stricter,
//! readers of different releases would disagree, so a stricter check requires a new kind of record.

use crate::{
    config::change::{
        Change, ConfigCheckpoint, ConfigEntry, ConfigRecord, RecentChange, SectionRecord,
        StringInterner,
    },
    config::fleet::FleetConfig,
    config::issue::IssueReport,
    config::section::{Section, SectionName, Sections},
    id::{Offset, Version},
};
use prost::Message;
use snafu::Snafu;
use std::{
    collections::{BTreeMap, VecDeque},
    fmt::{self, Display},
    mem,
    sync::Arc,
};
use xxhash_rust::xxh3::Xxh3;

/// Number of recent changes whose ids are kept for the detection of duplicates.
const MAX_RECENT_CHANGES: usize = 1_024;
/// Largest total size of the sections in one part of a checkpoint, unless one section alone is
/// larger. The log accepts records of up to 1 MiB.
const MAX_PART_BYTES: usize = 512 * 1024;

/// The result of replaying one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigOutcome {
    /// The change is accepted and in force as this version.
    Accepted(Version),
    /// The change is a repeated append. The first one created this version, or none if it was
    /// rejected.
    Duplicate(Option<Version>),
    /// The change has no effect.
    Rejected {
        /// The rule that it violates.
        reason: RejectReason,
        /// Author of the version in force, empty before the first.
        author: Arc<str>,
        /// The version in force.
        version: Version,
    },
    /// The record is a part of a checkpoint and does not change the state.
    Checkpoint,
}

/// The rule that a rejected record violates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RejectReason {
    /// Its base is not the version in force.
    OtherBase(Version),
    /// It would result in a configuration with these issues.
    Invalid(IssueReport),
    /// It cannot be decoded.
    Unreadable,
}

/// An error that stops the replay.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReplayError {
    /// A record is not the next one; the caller has to fetch from the expected offset.
    #[snafu(display("expected the configuration record at offset {expected}, found {found}"))]
    OutOfOrder {
        /// The offset of the next record.
        expected: Offset,
        /// The offset of the given record.
        found: Offset,
    },
    /// The stream holds neither its beginning nor a complete checkpoint.
    #[snafu(display(
        "configuration stream starts at offset {first} and holds no whole checkpoint from there on"
    ))]
    MissingStart {
        /// The oldest offset that the stream holds.
        first: Offset,
    },
}

/// The configuration that results from a prefix of the stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigState {
    next: Offset,
    version: Version,
    author: Arc<str>,
    recent: VecDeque<RecentChange>,
    sections: Sections,
    fleet: Arc<FleetConfig>,
}

/// Collects checkpoint parts until they form a state from which replay can start.
#[derive(Debug)]
pub struct ConfigLoader {
    first: Offset,
    parts: BTreeMap<(u64, u64), BTreeMap<u32, ConfigCheckpoint>>,
}

impl ConfigState {
    /// Returns the offset of the record to apply next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the author of the version in force.
    pub fn author(&self) -> &str {
        &self.author
    }

    /// Returns the sections in force.
    pub fn sections(&self) -> &Sections {
        &self.sections
    }

    /// Returns the configuration in force.
    pub fn fleet(&self) -> &Arc<FleetConfig> {
        &self.fleet
    }

    /// Validates the record at `offset` and applies it if it is valid.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if `offset` is not the next one.
    pub fn apply(
        &mut self,
        offset: Offset,
        record: &ConfigRecord,
    ) -> Result<ConfigOutcome, ReplayError> {
        if offset != self.next {
            return OutOfOrderSnafu {
                expected: self.next,
                found: offset,
            }
            .fail();
        }
        let outcome = match &record.entry {
            Some(ConfigEntry::Change(change)) => self.apply_change(change),
            Some(ConfigEntry::Checkpoint(_)) => ConfigOutcome::Checkpoint,
            None => self.rejected(RejectReason::Unreadable),
        };
        self.next = Offset(offset.0 + 1);
        Ok(outcome)
    }

    /// Returns a hash of all state that affects the outcomes of later records.
    pub fn state_hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.checkpoint_header().encode_to_vec());
        for section in self.sections.values() {
            hasher.update(&SectionRecord::from(section).encode_length_delimited_to_vec());
        }
        hasher.digest()
    }

    /// Returns the state as checkpoint parts to append.
    ///
    /// The parts depend only on the replayed prefix, so all processes produce the same ones.
    pub fn checkpoint(&self) -> Vec<ConfigCheckpoint> {
        let state_hash = self.state_hash();
        let mut parts = vec![self.checkpoint_header()];
        let mut part_bytes = 0;
        for section in self.sections.values() {
            let section = SectionRecord::from(section);
            part_bytes += section.encoded_len();
            if part_bytes > MAX_PART_BYTES {
                part_bytes = section.encoded_len();
                parts.push(ConfigCheckpoint {
                    next_offset: self.next.0,
                    ..Default::default()
                });
            }
            if let Some(part) = parts.last_mut() {
                part.sections.push(section);
            }
        }
        let part_count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        for (number, part) in (0..).zip(&mut parts) {
            part.state_hash = state_hash;
            part.part = number;
            part.parts = part_count;
        }
        parts
    }

    fn apply_change(&mut self, change: &Change) -> ConfigOutcome {
        for recent in &self.recent {
            if recent.id == change.id {
                return ConfigOutcome::Duplicate(
                    (recent.version > 0).then_some(Version(recent.version)),
                );
            }
        }
        let outcome = self.apply_new_change(change);
        let version = match outcome {
            ConfigOutcome::Accepted(version) => version.0,
            _ => 0,
        };
        self.recent.push_back(RecentChange {
            id: change.id,
            version,
        });
        if self.recent.len() > MAX_RECENT_CHANGES {
            self.recent.pop_front();
        }
        outcome
    }

    fn apply_new_change(&mut self, change: &Change) -> ConfigOutcome {
        let base = Version(change.base_version);
        if base != self.version {
            return self.rejected(RejectReason::OtherBase(base));
        }
        let replaced = self.replace_sections(change);
        let changed: Vec<&SectionName> = replaced.iter().map(|(name, _)| name).collect();
        match self.fleet.updated(&self.sections, &changed) {
            Ok(fleet) => {
                self.fleet = Arc::new(fleet);
                self.version = Version(self.next.0 + 1);
                self.author = Arc::from(change.author.as_str());
                ConfigOutcome::Accepted(self.version)
            }
            Err(report) => {
                self.restore_sections(replaced);
                self.rejected(RejectReason::Invalid(report))
            }
        }
    }

    /// Applies a change's sections and returns the replaced ones, in the order of replacement.
    fn replace_sections(&mut self, change: &Change) -> Vec<(SectionName, Option<Section>)> {
        let mut replaced = Vec::new();
        for record in &change.removed {
            let name = SectionName::from(record);
            let old = self.sections.remove(&name);
            replaced.push((name, old));
        }
        let mut interner = StringInterner::default();
        for record in &change.set {
            let section = interner.build_section(record);
            let name = section.section_name();
            let old = self.sections.insert(name.clone(), section);
            replaced.push((name, old));
        }
        replaced
    }

    /// Reverts [`Self::replace_sections`].
    fn restore_sections(&mut self, replaced: Vec<(SectionName, Option<Section>)>) {
        for (name, old) in replaced.into_iter().rev() {
            match old {
                Some(section) => self.sections.insert(name, section),
                None => self.sections.remove(&name),
            };
        }
    }

    #[cold]
    fn rejected(&self, reason: RejectReason) -> ConfigOutcome {
        ConfigOutcome::Rejected {
            reason,
            author: Arc::clone(&self.author),
            version: self.version,
        }
    }

    /// Builds part 0 of a checkpoint, without sections, hash and part count.
    fn checkpoint_header(&self) -> ConfigCheckpoint {
        ConfigCheckpoint {
            next_offset: self.next.0,
            version: self.version.0,
            author: self.author.to_string(),
            recent: self.recent.iter().copied().collect(),
            ..Default::default()
        }
    }
}

impl ConfigLoader {
    /// Creates a loader for a stream whose oldest record is at `first`.
    pub fn new(first: Offset) -> Self {
        Self {
            first,
            parts: BTreeMap::new(),
        }
    }

    /// Adds a record and returns the state of its checkpoint once that is complete.
    ///
    /// The caller then replays from the state's next offset, because changes may lie between that
    /// offset and the last part of the checkpoint. A stream that still holds its beginning needs no
    /// checkpoint: replay starts from an empty state.
    pub fn push(&mut self, record: &ConfigRecord) -> Option<ConfigState> {
        let Some(ConfigEntry::Checkpoint(part)) = &record.entry else {
            return None;
        };
        if part.next_offset < self.first.0 {
            return None;
        }
        let key = (part.next_offset, part.state_hash);
        let parts = self.parts.entry(key).or_default();
        parts.insert(part.part, part.clone());
        if parts.len() != usize::try_from(part.parts).ok()? {
            return None;
        }
        let parts = self.parts.remove(&key)?;
        build_state(parts)
    }

    /// Returns the state to start from when the stream holds no complete checkpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream no longer holds its beginning.
    pub fn finish(self) -> Result<ConfigState, ReplayError> {
        if self.first > Offset(0) {
            return MissingStartSnafu { first: self.first }.fail();
        }
        Ok(ConfigState::default())
    }
}

/// Builds the state from a complete set of parts; returns `None` if it is invalid or its hash does
/// not match.
fn build_state(mut parts: BTreeMap<u32, ConfigCheckpoint>) -> Option<ConfigState> {
    let mut header = parts.remove(&0)?;
    let mut records = vec![mem::take(&mut header.sections)];
    records.extend(parts.into_values().map(|part| part.sections));
    let mut sections = Sections::new();
    let mut interner = StringInterner::default();
    for part_sections in records {
        for record in part_sections {
            let section = interner.build_section(&record);
            sections.insert(section.section_name(), section);
        }
    }
    let state = ConfigState {
        next: Offset(header.next_offset),
        version: Version(header.version),
        author: Arc::from(header.author.as_str()),
        recent: header.recent.iter().copied().collect(),
        fleet: Arc::new(FleetConfig::from_sections(&sections).ok()?),
        sections,
    };
    (state.state_hash() == header.state_hash).then_some(state)
}

impl Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OtherBase(base) => write!(f, "it builds on version {base}"),
            Self::Invalid(report) => write!(f, "it leads to an invalid configuration:\n{report}"),
            Self::Unreadable => f.write_str("it cannot be decoded"),
        }
    }
}
