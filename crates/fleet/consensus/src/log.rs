//! The log in memory: entries behind a base, and the newest snapshot.

use std::collections::VecDeque;

use crate::membership::Membership;
use crate::outputs::{HardState, StateUpdate};
use crate::rope::SnapshotData;
use crate::types::{Entry, Index, LogPosition, Payload, Snapshot, Term};

/// What a member's disk holds.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PersistentState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The snapshot. A member begins with one at place 0 that names the first members, or without any and learns them.
    pub snapshot: Option<Snapshot>,
    /// Entries, in order.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// The start of one of the first members.
    pub fn first(members: Membership) -> PersistentState {
        let snapshot = Snapshot { at: LogPosition::default(), members, state: SnapshotData::default() };
        PersistentState { snapshot: Some(snapshot), ..PersistentState::default() }
    }

    /// Takes a save, as a disk that keeps it all in memory would.
    pub fn apply(&mut self, save: &StateUpdate) {
        if let Some(hard) = save.hard_state {
            self.hard_state = hard;
        }
        if let Some(snapshot) = &save.snapshot {
            self.snapshot = Some(snapshot.clone());
        }
        if let Some(through) = save.compact_through {
            self.entries.retain(|e| e.at.index > through);
        }
        if let Some(from) = save.truncate_from {
            self.entries.retain(|e| e.at.index < from);
        }
        self.entries.extend(save.entries.iter().cloned());
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Log {
    /// The last entry that is not here any more.
    base: LogPosition,
    entries: VecDeque<Entry>,
    /// Of each entry, the bytes of all up to it that ever were here; and of those that are not any more. So that bytes past a
    /// place are known without counting, as each proposal asks for them.
    sums: VecDeque<usize>,
    gone: usize,
    pub snapshot: Option<Snapshot>,
    /// Members as entries name them, by place, behind those of the snapshot.
    members: VecDeque<(Index, Membership)>,
}

/// What it says, whatever it once held.
impl std::hash::Hash for Log {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (self.base, &self.entries, &self.snapshot, &self.members).hash(into);
    }
}

impl Log {
    pub fn restore(stored: PersistentState) -> Log {
        let at = stored.snapshot.as_ref().map(|s| s.at).unwrap_or_default();
        let mut log = Log {
            base: at,
            entries: VecDeque::new(),
            sums: VecDeque::new(),
            gone: 0,
            snapshot: stored.snapshot,
            members: VecDeque::new(),
        };
        // What the snapshot has may lie behind it too, for members that are late.
        if let Some(first) = stored.entries.first()
            && first.at.index <= at.index
        {
            // The term of what came before is not known any more; nobody is sent entries from there.
            log.base = LogPosition { term: Term(0), index: first.at.index.before() };
        }
        for entry in stored.entries {
            if entry.at.index == log.last().index.next() {
                log.push(entry);
            }
        }
        log
    }

    pub fn push(&mut self, entry: Entry) {
        if let Payload::Membership(m) = &entry.payload {
            self.members.push_back((entry.at.index, m.clone()));
        }
        self.sums.push_back(self.sum() + entry.size());
        self.entries.push_back(entry);
    }

    /// Bytes of all entries that ever were here, in their order.
    fn sum(&self) -> usize {
        self.sums.back().copied().unwrap_or(self.gone)
    }

    fn pop_front(&mut self) {
        self.entries.pop_front();
        self.gone = self.sums.pop_front().unwrap_or(self.gone);
    }

    pub fn last(&self) -> LogPosition {
        self.entries.back().map_or(self.base, |e| e.at)
    }

    /// The first entry that is here, or the place for it.
    pub fn first(&self) -> Index {
        self.base.index.next()
    }

    /// The term of the entry at a place; none: it is not here, or not any more.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index && (index == Index(0) || self.base.term != Term(0)) {
            return Some(self.base.term);
        }
        if let Some(s) = self.snapshot.as_ref().filter(|s| s.at.index == index) {
            return Some(s.at.term);
        }
        self.get(index).map(|e| e.at.term)
    }

    pub fn get(&self, index: Index) -> Option<&Entry> {
        let at = index.0.checked_sub(self.first().0)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Entries from a place on, up to so many bytes; one at least, if there is one.
    pub fn from(&self, index: Index, bytes: usize) -> Vec<Entry> {
        let mut left = bytes;
        let mut all = Vec::new();
        let mut at = index;
        while let Some(entry) = self.get(at) {
            if !all.is_empty() && entry.size() > left {
                break;
            }
            left = left.saturating_sub(entry.size());
            all.push(entry.clone());
            at = at.next();
        }
        all
    }

    /// Entries past one place up to another.
    pub fn between(&self, after: Index, through: Index) -> impl Iterator<Item = &Entry> {
        (after.0 + 1..=through.0).filter_map(|i| self.get(Index(i)))
    }

    /// Bytes of entries past a place.
    pub fn bytes_after(&self, index: Index) -> usize {
        let through = index.0.checked_sub(self.first().0).and_then(|at| usize::try_from(at).ok());
        // Past the last: nothing; before the first: all that is here.
        let before = through.map_or(self.gone, |at| self.sums.get(at).copied().unwrap_or(self.sum()));
        self.sum() - before
    }

    /// Lets go of entries from a place on.
    pub fn cut(&mut self, from: Index) {
        while self.entries.back().is_some_and(|e| e.at.index >= from) {
            self.entries.pop_back();
            self.sums.pop_back();
        }
        while self.members.back().is_some_and(|m| m.0 >= from) {
            self.members.pop_back();
        }
    }

    /// The newest members in the log, committed or not; and the place that names them.
    pub fn members(&self) -> (Index, Membership) {
        let snapshot = || self.snapshot.as_ref().map(|s| (s.at.index, s.members.clone()));
        self.members.back().cloned().or_else(snapshot).unwrap_or_default()
    }

    /// The members as of a place.
    pub fn members_at(&self, index: Index) -> Membership {
        let of_entry = self.members.iter().rev().find(|m| m.0 <= index).map(|m| m.1.clone());
        of_entry.or_else(|| self.snapshot.as_ref().map(|s| s.members.clone())).unwrap_or_default()
    }

    /// Takes a snapshot of what is here, and keeps so many entries behind it, of so many bytes at most; through which entries
    /// were let go.
    pub fn compact(&mut self, snapshot: Snapshot, kept: u64, kept_bytes: usize) -> Index {
        let at = snapshot.at.index;
        let mut through = Index(at.0.saturating_sub(kept)).max(self.base.index);
        while through < at && self.bytes_after(through) - self.bytes_after(at) > kept_bytes {
            through = through.next();
        }
        let term = self.term_at(through).unwrap_or_default();
        while self.entries.front().is_some_and(|e| e.at.index <= through) {
            self.pop_front();
        }
        self.base = LogPosition { term, index: through };
        self.members.retain(|m| m.0 > snapshot.at.index);
        self.snapshot = Some(snapshot);
        through
    }

    /// Takes a snapshot of another member's. Entries that go on from it are kept; whether there are any.
    pub fn install(&mut self, snapshot: Snapshot) -> bool {
        let goes_on = self.term_at(snapshot.at.index) == Some(snapshot.at.term);
        if goes_on {
            self.compact(snapshot, 0, 0);
        } else {
            self.gone = self.sum();
            self.entries.clear();
            self.sums.clear();
            self.members.clear();
            self.base = snapshot.at;
            self.snapshot = Some(snapshot);
        }
        goes_on
    }
}
