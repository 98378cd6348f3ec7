//! The state of a node that survives restarts, and the interface to whatever keeps it.

use crate::entry::{Entry, Snapshot};
use crate::ids::{Index, LogPosition, NodeId, Term};
use crate::membership::Membership;
use crate::snapshot_data::SnapshotData;

/// The current term and vote: what a node must never forget beside its log (figure 3.1 of the dissertation).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct HardState {
    /// The latest term that the node has seen.
    pub term: Term,
    /// The candidate that received its vote in that term.
    pub vote: Option<NodeId>,
}

/// Changes of the persistent state that become durable together.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StateUpdate {
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces the previous one. Entries up to [`StateUpdate::compact_through`] are removed, and all others too
    /// if the log does not continue from the snapshot ([`StateUpdate::truncate_from`]).
    pub snapshot: Option<Snapshot>,
    /// Entries up to this index are removed from the front of the log.
    pub compact_through: Option<Index>,
    /// Entries from this index on are removed from the end of the log.
    pub truncate_from: Option<Index>,
    /// Entries to append after that, in order.
    pub entries: Vec<Entry>,
}

impl StateUpdate {
    /// Whether there is nothing to save.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none()
            && self.snapshot.is_none()
            && self.compact_through.is_none()
            && self.truncate_from.is_none()
            && self.entries.is_empty()
    }

    /// Removes entries from an index on, both those already stored and those of this update.
    pub(crate) fn truncate(&mut self, from: Index) {
        self.truncate_from = Some(self.truncate_from.map_or(from, |earlier| earlier.min(from)));
        self.entries.retain(|entry| entry.at.index < from);
    }
}

/// Durable storage of a node's state.
pub trait Storage {
    /// Why an update is not durable.
    type Error;

    /// Makes the update durable, all of it or nothing, before it returns.
    ///
    /// # Errors
    /// After an error the node must stop for good: what the storage holds is unknown, and a second attempt may succeed
    /// although data of the first was lost.
    fn save(&mut self, save: &StateUpdate) -> Result<(), Self::Error>;
}

/// All of a node's persistent state.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PersistentState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The snapshot. An initial node starts with one at index 0 that contains the initial membership. Other nodes start without a
    /// snapshot and receive the membership from the leader.
    pub snapshot: Option<Snapshot>,
    /// The log entries, in order.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// The state of a node of the initial membership.
    pub fn first(members: Membership) -> PersistentState {
        let snapshot = Snapshot { at: LogPosition::default(), members, state: SnapshotData::default() };
        PersistentState { snapshot: Some(snapshot), ..PersistentState::default() }
    }

    /// Applies an update, as a storage in memory would.
    pub fn apply(&mut self, update: &StateUpdate) {
        if let Some(hard_state) = update.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &update.snapshot {
            self.snapshot = Some(snapshot.clone());
        }
        if let Some(through) = update.compact_through {
            self.entries.retain(|entry| entry.at.index > through);
        }
        if let Some(from) = update.truncate_from {
            self.entries.retain(|entry| entry.at.index < from);
        }
        self.entries.extend(update.entries.iter().cloned());
    }
}
