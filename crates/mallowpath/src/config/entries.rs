//! The keys and values of a section, in one allocation.
//!
//! A configuration has tens of thousands of sections with few keys each. With a `BTreeMap` per
//! section, the tree nodes would account for most of the memory.

use std::sync::Arc;

/// Values by key, in the order of the keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Entries(Box<[(Arc<str>, Arc<str>)]>);

impl Entries {
    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&Arc<str>> {
        let index = self.0.binary_search_by(|entry| (*entry.0).cmp(key)).ok()?;
        Some(&self.0[index].1)
    }

    /// Returns whether the key has a value.
    pub fn contains_key(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    /// Returns the entries in the order of their keys.
    pub fn iter(&self) -> std::slice::Iter<'_, (Arc<str>, Arc<str>)> {
        self.0.iter()
    }
}

impl FromIterator<(Arc<str>, Arc<str>)> for Entries {
    /// Collects entries; of several entries with the same key the last one is kept.
    fn from_iter<T: IntoIterator<Item = (Arc<str>, Arc<str>)>>(iter: T) -> Self {
        let mut sorted: Vec<(Arc<str>, Arc<str>)> = iter.into_iter().collect();
        // Reversing before the stable sort puts the last entry of a key first; `dedup_by` keeps it.
        sorted.reverse();
        sorted.sort_by(|a, b| a.0.cmp(&b.0));
        sorted.dedup_by(|a, b| a.0 == b.0);
        Self(sorted.into_boxed_slice())
    }
}

impl<'a> IntoIterator for &'a Entries {
    type Item = &'a (Arc<str>, Arc<str>);
    type IntoIter = std::slice::Iter<'a, (Arc<str>, Arc<str>)>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}
