//! A map that forgets entries some time after they were inserted.

use std::{borrow::Borrow, collections::HashMap, hash::Hash, mem};

/// A bounded map that remembers each entry for a certain time at least, and for twice as long at most.
#[derive(Debug)]
pub struct RecentMap<K, V> {
    /// The entries of the period with the number `current_period`.
    current: HashMap<K, V>,
    /// The entries of the period before.
    previous: HashMap<K, V>,
    current_period: u64,
    memory_ms: u64,
    entries_max: usize,
}

impl<K: Eq + Hash, V> RecentMap<K, V> {
    /// Returns an empty map that remembers an entry for `memory_ms` at least and takes `entries_max`
    /// entries within that time.
    ///
    /// # Examples
    ///
    /// ```
    /// use mallowpath::RecentMap;
    ///
    /// let mut ages = RecentMap::new(1_000, 10);
    /// ages.insert("a", 7, 0);
    /// assert_eq!(ages.get("a", 999), Some(&7));
    /// assert_eq!(ages.get("a", 2_000), None);
    /// ```
    pub fn new(memory_ms: u64, entries_max: usize) -> Self {
        Self {
            current: HashMap::new(),
            previous: HashMap::new(),
            current_period: 0,
            memory_ms: memory_ms.max(1),
            entries_max,
        }
    }

    /// Inserts an entry unless the map is full.
    pub fn insert(&mut self, key: K, value: V, now_ms: u64) {
        let period = now_ms / self.memory_ms;
        if period > self.current_period {
            let last = mem::take(&mut self.current);
            self.previous = if period == self.current_period + 1 {
                last
            } else {
                HashMap::new()
            };
            self.current_period = period;
        }
        if self.current.len() < self.entries_max {
            self.current.insert(key, value);
        }
    }

    /// Returns the value that was inserted last for a key.
    pub fn get<Q>(&self, key: &Q, now_ms: u64) -> Option<&V>
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        let [newer, older] = self.remembered(now_ms);
        newer
            .and_then(|entries| entries.get(key))
            .or_else(|| older.and_then(|entries| entries.get(key)))
    }

    /// Returns all entries; a key that was inserted again may be there twice.
    pub fn iter(&self, now_ms: u64) -> impl Iterator<Item = (&K, &V)> {
        let maps = self.remembered(now_ms).into_iter().flatten();
        maps.flat_map(HashMap::iter)
    }

    /// Returns the entries of the current period and of the one before, as far as they are not
    /// forgotten.
    fn remembered(&self, now_ms: u64) -> [Option<&HashMap<K, V>>; 2] {
        let periods_ago = (now_ms / self.memory_ms).saturating_sub(self.current_period);
        [
            (periods_ago <= 1).then_some(&self.current),
            (periods_ago == 0).then_some(&self.previous),
        ]
    }
}
