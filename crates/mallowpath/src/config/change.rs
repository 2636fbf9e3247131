//! Records of the configuration stream.
//!
//! A change contains only the sections that differ from its base version. At 7,100 changes a day of
//! some hundred bytes each, a reader of the stream receives some tens of bytes per second. Only
//! checkpoints contain the whole configuration, split into parts that fit into a record.

use crate::{
    config::section::{Section, SectionName, Sections},
    id::{ParseIdError, Version, expected},
};
use prost::Message;
use std::{
    collections::BTreeSet,
    fmt::{self, Display},
    str::FromStr,
    sync::Arc,
};

/// Identifies a change; the id is the same in each repeated append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u64);

/// The sections that turn one configuration into another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Delta {
    /// Sections that are new or differ, each with all its entries.
    pub set: Vec<Section>,
    /// Sections that no longer exist.
    pub removed: Vec<SectionName>,
}

/// One record of the configuration stream.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigRecord {
    /// The content of the record; a record without known content is void.
    #[prost(oneof = "ConfigEntry", tags = "1, 2")]
    pub entry: Option<ConfigEntry>,
}

/// The content of a record of the configuration stream.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ConfigEntry {
    /// An operator's change.
    #[prost(message, tag = "1")]
    Change(Change),
    /// A part of a checkpoint.
    #[prost(message, tag = "2")]
    Checkpoint(ConfigCheckpoint),
}

/// An operator's change to a base version.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// The [`ChangeId`], the same in each repeated append.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The version that the change is based on.
    #[prost(uint64, tag = "2")]
    pub base_version: u64,
    /// The author of the change.
    #[prost(string, tag = "3")]
    pub author: String,
    /// The time of the change by the author's clock; informational only.
    #[prost(uint64, tag = "4")]
    pub at_ms: u64,
    /// Sections to add or replace.
    #[prost(message, repeated, tag = "5")]
    pub set: Vec<SectionRecord>,
    /// Sections to remove; unknown sections are ignored.
    #[prost(message, repeated, tag = "6")]
    pub removed: Vec<SectionNameRecord>,
}

/// One part of the state that results from a prefix of the stream.
///
/// Parts with equal `next_offset`, `state_hash` and number are identical, whichever process wrote
/// them.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigCheckpoint {
    /// The offset from which replay continues.
    #[prost(uint64, tag = "1")]
    pub next_offset: u64,
    /// Hash of the whole state.
    #[prost(fixed64, tag = "2")]
    pub state_hash: u64,
    /// Number of this part, from 0.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// Total number of parts.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// The version in force; in part 0 only.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// The author of that version; in part 0 only.
    #[prost(string, tag = "6")]
    pub author: String,
    /// The latest changes, oldest first, for the detection of duplicates; in part 0 only.
    #[prost(message, repeated, tag = "7")]
    pub recent: Vec<RecentChange>,
    /// Sections of this part, in the order of their kinds and names.
    #[prost(message, repeated, tag = "8")]
    pub sections: Vec<SectionRecord>,
}

/// A change that was replayed, kept for the detection of duplicates.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RecentChange {
    /// The [`ChangeId`].
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The version that it created, 0 if it was rejected.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// The log format of a section.
#[derive(Clone, PartialEq, Message)]
pub struct SectionRecord {
    /// Kind of the section.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Name of the section.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Values by key.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<EntryRecord>,
}

/// The log format of a key with its value.
#[derive(Clone, PartialEq, Message)]
pub struct EntryRecord {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// The log format of a section's name.
#[derive(Clone, PartialEq, Message)]
pub struct SectionNameRecord {
    /// Kind of the section.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Name of the section.
    #[prost(string, tag = "2")]
    pub name: String,
}

impl ChangeId {
    /// Returns a random id; two changes have the same one with a probability of 1 in 2^64.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl Delta {
    /// Returns whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }
}

impl Change {
    /// Creates a change that applies `delta` to version `base`.
    pub fn new(id: ChangeId, base: Version, author: &str, at_ms: u64, delta: &Delta) -> Self {
        Self {
            id: id.0,
            base_version: base.0,
            author: author.to_owned(),
            at_ms,
            set: delta.set.iter().map(SectionRecord::from).collect(),
            removed: delta.removed.iter().map(SectionNameRecord::from).collect(),
        }
    }
}

impl ConfigRecord {
    /// Decodes a record; bytes that cannot be decoded result in a void record.
    ///
    /// This is not an error, because all readers have to skip such a record in the same way.
    pub fn decode_or_void(bytes: &[u8]) -> Self {
        Self::decode(bytes).unwrap_or_default()
    }
}

/// Interns the strings of the sections of one record, which repeat few kinds and keys many times.
#[derive(Debug, Default)]
pub(crate) struct StringInterner {
    strings: BTreeSet<Arc<str>>,
}

impl StringInterner {
    /// Builds a section that shares its kind and keys with the other sections of this interner.
    pub(crate) fn build_section(&mut self, record: &SectionRecord) -> Section {
        let mut entries = Vec::with_capacity(record.entries.len());
        for EntryRecord { key, value } in &record.entries {
            let key = self.intern(key);
            entries.push((key, self.intern_value(value)));
        }
        Section {
            kind: self.intern(&record.kind),
            name: Arc::from(record.name.as_str()),
            entries: entries.into_iter().collect(),
        }
    }

    /// Interns a value that starts with a letter, such as a name that many sections repeat.
    ///
    /// Numbers mostly differ between sections, so they are not interned.
    fn intern_value(&mut self, value: &str) -> Arc<str> {
        if value.starts_with(|c: char| c.is_ascii_alphabetic()) {
            return self.intern(value);
        }
        Arc::from(value)
    }

    fn intern(&mut self, string: &str) -> Arc<str> {
        if let Some(shared) = self.strings.get(string) {
            return Arc::clone(shared);
        }
        let shared = Arc::<str>::from(string);
        self.strings.insert(Arc::clone(&shared));
        shared
    }
}

/// Returns the difference that turns `old` into `new`.
pub fn diff(old: &Sections, new: &Sections) -> Delta {
    let mut delta = Delta::default();
    for (name, section) in new {
        if old.get(name) != Some(section) {
            delta.set.push(section.clone());
        }
    }
    for name in old.keys() {
        if !new.contains_key(name) {
            delta.removed.push(name.clone());
        }
    }
    delta
}

impl From<Change> for ConfigRecord {
    fn from(change: Change) -> Self {
        Self {
            entry: Some(ConfigEntry::Change(change)),
        }
    }
}

impl From<ConfigCheckpoint> for ConfigRecord {
    fn from(checkpoint: ConfigCheckpoint) -> Self {
        Self {
            entry: Some(ConfigEntry::Checkpoint(checkpoint)),
        }
    }
}

impl From<&Section> for SectionRecord {
    fn from(section: &Section) -> Self {
        let mut entries = Vec::new();
        for (key, value) in &section.entries {
            entries.push(EntryRecord {
                key: key.to_string(),
                value: value.to_string(),
            });
        }
        Self {
            kind: section.kind.to_string(),
            name: section.name.to_string(),
            entries,
        }
    }
}

impl From<&SectionRecord> for Section {
    fn from(record: &SectionRecord) -> Self {
        StringInterner::default().build_section(record)
    }
}

impl From<&SectionName> for SectionNameRecord {
    fn from(name: &SectionName) -> Self {
        Self {
            kind: name.kind.to_string(),
            name: name.name.to_string(),
        }
    }
}

impl From<&SectionNameRecord> for SectionName {
    fn from(record: &SectionNameRecord) -> Self {
        Self {
            kind: Arc::from(record.kind.as_str()),
            name: Arc::from(record.name.as_str()),
        }
    }
}

impl Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ChangeId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match u64::from_str_radix(text, 16) {
            Ok(value) if text.len() == 16 => Ok(Self(value)),
            _ => expected("sixteen hexadecimal digits"),
        }
    }
}
