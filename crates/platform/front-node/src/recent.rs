//! Bounded records of what happened recently.

use std::collections::BTreeMap;

use beechloft::api::Micros;

/// Map of which only the newest entries are kept: both their number and their age are bounded.
#[derive(Debug)]
pub(crate) struct RecentRecord<K, V> {
    entries: BTreeMap<K, Entry<V>>,
    /// Keys in the order in which they were last recorded.
    order: BTreeMap<u64, K>,
    last_sequence: u64,
    max_entries: usize,
    retention: Micros,
}

/// Value of a key.
#[derive(Debug)]
struct Entry<V> {
    value: V,
    recorded_at: Micros,
    /// Position in the order of all entries.
    sequence: u64,
}

impl<K: Ord + Copy, V> RecentRecord<K, V> {
    /// Creates an empty record of at most `max_entries`, which [`RecentRecord::expire`] removes after `retention`.
    pub fn new(max_entries: usize, retention: Micros) -> Self {
        RecentRecord {
            entries: BTreeMap::new(),
            order: BTreeMap::new(),
            last_sequence: 0,
            max_entries,
            retention,
        }
    }

    /// Records a value, which replaces an earlier one of the same key. The oldest entry is removed if there are too many.
    pub fn insert(&mut self, now: Micros, key: K, value: V) {
        self.remove(&key);
        if self.entries.len() >= self.max_entries {
            self.remove_oldest();
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.order.insert(sequence, key);
        self.entries.insert(key, Entry { value, recorded_at: now, sequence });
    }

    /// Returns the value of a key that was recorded recently.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Returns whether a key was recorded recently.
    pub fn contains(&self, key: &K) -> bool {
        self.entries.contains_key(key)
    }

    /// Removes a key, and returns whether it was recorded recently.
    pub fn remove(&mut self, key: &K) -> bool {
        let Some(entry) = self.entries.remove(key) else { return false };
        self.order.remove(&entry.sequence);
        true
    }

    /// Removes all entries that are older than the retention.
    pub fn expire(&mut self, now: Micros) {
        while self.oldest_recorded_at().is_some_and(|recorded_at| now - recorded_at > self.retention) {
            self.remove_oldest();
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn oldest_recorded_at(&self) -> Option<Micros> {
        let (_, key) = self.order.first_key_value()?;
        self.entries.get(key).map(|entry| entry.recorded_at)
    }

    fn remove_oldest(&mut self) {
        if let Some((_, key)) = self.order.pop_first() {
            self.entries.remove(&key);
        }
    }
}
