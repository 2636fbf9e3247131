//! The values of a section by key.

use std::{collections::BTreeMap, sync::Arc};

/// The values of a section by key, in the order of the keys.
///
/// A sorted slice takes a fraction of the memory of a map, and most sections are budgets, which
/// have two values.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Entries(Box<[(Arc<str>, Arc<str>)]>);

impl Entries {
    /// Returns the value of `key`.
    pub fn get(&self, key: &str) -> Option<&Arc<str>> {
        let found = self.0.binary_search_by(|(other, _)| (**other).cmp(key));
        Some(&self.0[found.ok()?].1)
    }

    /// Tells whether `key` has a value.
    pub fn contains_key(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    /// Returns keys and values in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        self.0.iter().map(|(key, value)| (key, value))
    }
}

impl From<BTreeMap<Arc<str>, Arc<str>>> for Entries {
    fn from(map: BTreeMap<Arc<str>, Arc<str>>) -> Self {
        Self(map.into_iter().collect())
    }
}
