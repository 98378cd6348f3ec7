//! In-memory log, which consists of the newest snapshot and the entries after a base position.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

use crate::entry::{Entry, Payload, Snapshot};
use crate::ids::{Index, LogPosition, Term};
use crate::membership::Membership;
use crate::storage::PersistentState;

/// Log of a node.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    /// Position of the last entry that was removed from the front. The term is 0 if it is unknown.
    base: LogPosition,
    entries: VecDeque<Entry>,
    /// For each entry, the total size of all entries up to it since the process started, in bytes. The size of any range is the
    /// difference of two of these.
    cumulative_sizes: VecDeque<usize>,
    /// Total size of all entries that were removed from the front, in bytes.
    removed_size: usize,
    pub snapshot: Option<Snapshot>,
    /// Memberships of entries that are newer than the snapshot, ordered by index.
    memberships: VecDeque<(Index, Membership)>,
}

/// Hashes only the content, because the sizes depend on which entries were removed earlier.
impl Hash for Log {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (self.base, &self.entries, &self.snapshot, &self.memberships).hash(into);
    }
}

impl Log {
    /// Restores the log of a node that starts.
    pub fn restore(stored: PersistentState) -> Log {
        let base = stored.snapshot.as_ref().map(|snapshot| snapshot.at).unwrap_or_default();
        let mut log = Log {
            base,
            entries: VecDeque::new(),
            cumulative_sizes: VecDeque::new(),
            removed_size: 0,
            snapshot: stored.snapshot,
            memberships: VecDeque::new(),
        };
        // Entries that the snapshot includes may have been retained for followers that are behind.
        if let Some(first) = stored.entries.first()
            && first.at.index <= base.index
        {
            // The term of the entry before the first one is unknown, so no follower is sent entries from the first one on.
            log.base = LogPosition { term: Term(0), index: first.at.index.previous() };
        }
        for entry in stored.entries {
            if entry.at.index == log.last().index.next() {
                log.push(entry);
            }
        }
        log
    }

    /// Appends an entry, which must have the index after the last one.
    pub fn push(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push_back((entry.at.index, membership.clone()));
        }
        self.cumulative_sizes.push_back(self.total_size() + entry.size());
        self.entries.push_back(entry);
    }

    /// Returns the total size of all entries since the process started, in bytes.
    fn total_size(&self) -> usize {
        self.cumulative_sizes.back().copied().unwrap_or(self.removed_size)
    }

    fn pop_front(&mut self) {
        self.entries.pop_front();
        self.removed_size = self.cumulative_sizes.pop_front().unwrap_or(self.removed_size);
    }

    /// Returns the position of the last entry.
    pub fn last(&self) -> LogPosition {
        self.entries.back().map_or(self.base, |entry| entry.at)
    }

    /// Returns the index of the first entry that is present. If the log is empty, this is the index of the next entry.
    pub fn first_index(&self) -> Index {
        self.base.index.next()
    }

    /// Returns the term of the entry at an index. Returns `None` if it is unknown.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index && (index == Index(0) || self.base.term != Term(0)) {
            return Some(self.base.term);
        }
        if let Some(snapshot) = self.snapshot.as_ref().filter(|snapshot| snapshot.at.index == index) {
            return Some(snapshot.at.term);
        }
        self.get(index).map(|entry| entry.at.term)
    }

    /// Returns the entry at an index. Returns `None` if it is not present.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.first_index().0)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from an index on, up to `max_bytes`. A first entry that is larger is returned by itself.
    pub fn entries_from(&self, first: Index, max_bytes: usize) -> Vec<Entry> {
        let mut remaining = max_bytes;
        let mut entries = Vec::new();
        let mut index = first;
        while let Some(entry) = self.get(index) {
            if !entries.is_empty() && entry.size() > remaining {
                break;
            }
            remaining = remaining.saturating_sub(entry.size());
            entries.push(entry.clone());
            index = index.next();
        }
        entries
    }

    /// Returns the entries after the index `after`, up to and including the index `through`.
    pub fn entries_between(&self, after: Index, through: Index) -> impl Iterator<Item = &Entry> {
        (after.0 + 1..=through.0).filter_map(|index| self.get(Index(index)))
    }

    /// Returns the size of the entries after an index, in bytes.
    pub fn bytes_after(&self, index: Index) -> usize {
        let offset =
            index.0.checked_sub(self.first_index().0).and_then(|offset| usize::try_from(offset).ok());
        // No bytes follow an index beyond the last entry. All bytes present follow an index before the first entry.
        let size_through = offset.map_or(self.removed_size, |offset| {
            self.cumulative_sizes.get(offset).copied().unwrap_or(self.total_size())
        });
        self.total_size() - size_through
    }

    /// Removes all entries from an index on.
    pub fn truncate(&mut self, from: Index) {
        while self.entries.back().is_some_and(|entry| entry.at.index >= from) {
            self.entries.pop_back();
            self.cumulative_sizes.pop_back();
        }
        while self.memberships.back().is_some_and(|(index, _)| *index >= from) {
            self.memberships.pop_back();
        }
    }

    /// Returns the latest membership in the log. A node uses it whether it is committed or not (section 4.1).
    pub fn membership(&self) -> Membership {
        let of_snapshot = || self.snapshot.as_ref().map(|snapshot| snapshot.members.clone());
        let latest = self.memberships.back().map(|(_, membership)| membership.clone());
        latest.or_else(of_snapshot).unwrap_or_default()
    }

    /// Returns the index of the entry or snapshot with the latest membership.
    pub fn membership_index(&self) -> Index {
        let of_snapshot = || self.snapshot.as_ref().map(|snapshot| snapshot.at.index);
        self.memberships.back().map(|(index, _)| *index).or_else(of_snapshot).unwrap_or_default()
    }

    /// Returns the membership as of an index.
    pub fn membership_at(&self, index: Index) -> Membership {
        let of_entry = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        let of_snapshot = || self.snapshot.as_ref().map(|snapshot| snapshot.members.clone());
        of_entry.map(|(_, membership)| membership.clone()).or_else(of_snapshot).unwrap_or_default()
    }

    /// Replaces the snapshot with one of this node, and removes the entries that it includes.
    ///
    /// Of these entries, the newest `retained` ones are kept, up to `max_bytes`. Returns the index of the last removed entry.
    pub fn compact(&mut self, snapshot: Snapshot, retained: u64, max_bytes: usize) -> Index {
        let snapshot_index = snapshot.at.index;
        let mut through = Index(snapshot_index.0.saturating_sub(retained)).max(self.base.index);
        while through < snapshot_index
            && self.bytes_after(through) - self.bytes_after(snapshot_index) > max_bytes
        {
            through = through.next();
        }
        let term = self.term_at(through).unwrap_or_default();
        while self.entries.front().is_some_and(|entry| entry.at.index <= through) {
            self.pop_front();
        }
        self.base = LogPosition { term, index: through };
        self.memberships.retain(|(index, _)| *index > snapshot_index);
        self.snapshot = Some(snapshot);
        through
    }

    /// Replaces the snapshot with one of the leader. Returns whether the log continues from the snapshot.
    ///
    /// If it does, the entries after the snapshot are kept. Otherwise all entries are removed.
    pub fn install(&mut self, snapshot: Snapshot) -> bool {
        let continues = self.term_at(snapshot.at.index) == Some(snapshot.at.term);
        if continues {
            self.compact(snapshot, 0, 0);
        } else {
            self.removed_size = self.total_size();
            self.entries.clear();
            self.cumulative_sizes.clear();
            self.memberships.clear();
            self.base = snapshot.at;
            self.snapshot = Some(snapshot);
        }
        continues
    }
}
