//! What differs between two configurations, by section and key, with old and new values.

use mallowpath::{Delta, Entries, SectionName, Sections};
use serde_json::{Value, json};
use std::{
    fmt::{self, Display},
    sync::Arc,
};

/// How a section differs.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum SectionChange {
    Added,
    Removed,
    Changed,
}

/// A section that differs, with the entries that differ.
#[derive(Debug)]
pub(crate) struct SectionDifference {
    name: SectionName,
    pub(crate) change: SectionChange,
    pub(crate) entries: Vec<EntryDifference>,
}

/// An entry that differs; at least one of its values is present.
#[derive(Debug)]
pub(crate) struct EntryDifference {
    pub(crate) key: Arc<str>,
    old: Option<Arc<str>>,
    pub(crate) new: Option<Arc<str>>,
}

/// Returns what `delta` changes in `old`: sections that it sets, then those that it removes.
pub(crate) fn differences(old: &Sections, delta: &Delta) -> Vec<SectionDifference> {
    let mut differences = Vec::with_capacity(delta.set.len() + delta.removed.len());
    for section in &delta.set {
        let name = section.section_name();
        let before = old.get(&name);
        let change = match before {
            Some(_) => SectionChange::Changed,
            None => SectionChange::Added,
        };
        let old_entries = before.map(|before| &before.entries);
        let entries = entry_differences(old_entries, Some(&section.entries));
        differences.push(SectionDifference {
            name,
            change,
            entries,
        });
    }
    for name in &delta.removed {
        let old_entries = old.get(name).map(|before| &before.entries);
        differences.push(SectionDifference {
            name: name.clone(),
            change: SectionChange::Removed,
            entries: entry_differences(old_entries, None),
        });
    }
    differences
}

/// Returns the entries that differ: those of `new`, then those that only `old` has.
fn entry_differences(old: Option<&Entries>, new: Option<&Entries>) -> Vec<EntryDifference> {
    let mut differences = Vec::new();
    for (key, value) in new.into_iter().flatten() {
        let before = old.and_then(|old| old.get(key));
        if before == Some(value) {
            continue;
        }
        differences.push(EntryDifference {
            key: Arc::clone(key),
            old: before.cloned(),
            new: Some(Arc::clone(value)),
        });
    }
    for (key, value) in old.into_iter().flatten() {
        if new.is_some_and(|new| new.contains_key(key)) {
            continue;
        }
        differences.push(EntryDifference {
            key: Arc::clone(key),
            old: Some(Arc::clone(value)),
            new: None,
        });
    }
    differences
}

impl SectionDifference {
    /// Returns the difference as JSON.
    pub(crate) fn to_json(&self) -> Value {
        let mut entries = Vec::new();
        for entry in &self.entries {
            entries.push(json!({"key": entry.key, "old": entry.old, "new": entry.new}));
        }
        json!({
            "section": self.name.to_string(),
            "change": self.change.to_string(),
            "entries": entries,
        })
    }
}

impl Display for SectionChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed => "changed",
        })
    }
}

/// Writes the sign and the name of the section, without its entries.
impl Display for SectionDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.change {
            SectionChange::Added => '+',
            SectionChange::Removed => '-',
            SectionChange::Changed => '~',
        };
        write!(f, "{sign} [{}]", self.name)
    }
}

impl Display for EntryDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.key)?;
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, " = {old} -> {new}"),
            (None, Some(new)) => write!(f, " = {new} (new)"),
            (Some(old), None) => write!(f, " = {old} (dropped)"),
            (None, None) => Ok(()),
        }
    }
}
