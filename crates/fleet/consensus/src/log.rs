//! The log in memory: the newest snapshot, and the entries behind a base.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

use crate::entry::{Entry, Payload, Snapshot};
use crate::ids::{Index, LogPosition, Term};
use crate::membership::Membership;
use crate::storage::PersistentState;

/// The log of a node.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    /// The last entry that was removed from the front. Its term is 0 if it is unknown.
    base: LogPosition,
    entries: VecDeque<Entry>,
    /// For each entry, the size of all entries up to it since the process started: the size of any range is a difference.
    cumulative_sizes: VecDeque<usize>,
    /// The size of all entries that were removed from the front.
    removed_size: usize,
    pub snapshot: Option<Snapshot>,
    /// The memberships of entries that are newer than the snapshot, by index.
    memberships: VecDeque<(Index, Membership)>,
}

/// The content alone: the sizes depend on what was removed.
impl Hash for Log {
    fn hash<H: Hasher>(&self, into: &mut H) {
        (self.base, &self.entries, &self.snapshot, &self.memberships).hash(into);
    }
}

impl Log {
    /// The log of a node that starts.
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
        // Entries that the snapshot includes may be retained for followers that are behind.
        if let Some(first) = stored.entries.first()
            && first.at.index <= base.index
        {
            // The term of the entry before them is unknown. No follower is sent entries from there.
            log.base = LogPosition { term: Term(0), index: first.at.index.previous() };
        }
        for entry in stored.entries {
            if entry.at.index == log.last().index.next() {
                log.push(entry);
            }
        }
        log
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push_back((entry.at.index, membership.clone()));
        }
        self.cumulative_sizes.push_back(self.total_size() + entry.size());
        self.entries.push_back(entry);
    }

    /// The size of all entries since the process started, up to the last one.
    fn total_size(&self) -> usize {
        self.cumulative_sizes.back().copied().unwrap_or(self.removed_size)
    }

    fn pop_front(&mut self) {
        self.entries.pop_front();
        self.removed_size = self.cumulative_sizes.pop_front().unwrap_or(self.removed_size);
    }

    /// The last entry.
    pub fn last(&self) -> LogPosition {
        self.entries.back().map_or(self.base, |entry| entry.at)
    }

    /// The index of the first entry that is present, or that the next one will have.
    pub fn first_index(&self) -> Index {
        self.base.index.next()
    }

    /// The term of the entry at an index, if it is known.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index && (index == Index(0) || self.base.term != Term(0)) {
            return Some(self.base.term);
        }
        if let Some(snapshot) = self.snapshot.as_ref().filter(|snapshot| snapshot.at.index == index) {
            return Some(snapshot.at.term);
        }
        self.get(index).map(|entry| entry.at.term)
    }

    /// The entry at an index.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.first_index().0)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from an index on, up to a number of bytes. At least one, if there is one.
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

    /// Entries after one index, up to and including another.
    pub fn entries_between(&self, after: Index, through: Index) -> impl Iterator<Item = &Entry> {
        (after.0 + 1..=through.0).filter_map(|index| self.get(Index(index)))
    }

    /// Bytes of the entries after an index.
    pub fn bytes_after(&self, index: Index) -> usize {
        let offset =
            index.0.checked_sub(self.first_index().0).and_then(|offset| usize::try_from(offset).ok());
        // After the last entry: none; before the first: all that are present.
        let size_through = offset.map_or(self.removed_size, |offset| {
            self.cumulative_sizes.get(offset).copied().unwrap_or(self.total_size())
        });
        self.total_size() - size_through
    }

    /// Removes the entries from an index on.
    pub fn truncate(&mut self, from: Index) {
        while self.entries.back().is_some_and(|entry| entry.at.index >= from) {
            self.entries.pop_back();
            self.cumulative_sizes.pop_back();
        }
        while self.memberships.back().is_some_and(|(index, _)| *index >= from) {
            self.memberships.pop_back();
        }
    }

    /// The latest membership in the log, committed or not: a node always uses that one (section 4.1).
    pub fn membership(&self) -> Membership {
        let of_snapshot = || self.snapshot.as_ref().map(|snapshot| snapshot.members.clone());
        let latest = self.memberships.back().map(|(_, membership)| membership.clone());
        latest.or_else(of_snapshot).unwrap_or_default()
    }

    /// The index of the entry, or of the snapshot, with the latest membership.
    pub fn membership_index(&self) -> Index {
        let of_snapshot = || self.snapshot.as_ref().map(|snapshot| snapshot.at.index);
        self.memberships.back().map(|(index, _)| *index).or_else(of_snapshot).unwrap_or_default()
    }

    /// The membership as of an index.
    pub fn membership_at(&self, index: Index) -> Membership {
        let of_entry = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        let of_snapshot = || self.snapshot.as_ref().map(|snapshot| snapshot.members.clone());
        of_entry.map(|(_, membership)| membership.clone()).or_else(of_snapshot).unwrap_or_default()
    }

    /// Replaces the snapshot by one of this node, and removes the entries that it includes, except for the newest `retained` ones
    /// of at most `max_bytes`. Returns the index of the last removed entry.
    pub fn compact(&mut self, snapshot: Snapshot, retained: u64, max_bytes: usize) -> Index {
        let at = snapshot.at.index;
        let mut through = Index(at.0.saturating_sub(retained)).max(self.base.index);
        while through < at && self.bytes_after(through) - self.bytes_after(at) > max_bytes {
            through = through.next();
        }
        let term = self.term_at(through).unwrap_or_default();
        while self.entries.front().is_some_and(|entry| entry.at.index <= through) {
            self.pop_front();
        }
        self.base = LogPosition { term, index: through };
        self.memberships.retain(|(index, _)| *index > snapshot.at.index);
        self.snapshot = Some(snapshot);
        through
    }

    /// Replaces the snapshot by one of the leader. Entries that continue from it are kept. Returns whether the log continues
    /// from the snapshot; otherwise it is empty.
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
