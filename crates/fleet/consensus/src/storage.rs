//! Persistent state of a node, and the storage interface.

use crate::entry::{Entry, Snapshot};
use crate::ids::{Index, LogPosition, NodeId, Term};
use crate::membership::Membership;
use crate::snapshot_data::SnapshotData;

/// Term and vote, which together with the log must be persistent (figure 3.1 of the dissertation).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct HardState {
    /// Latest term that the node has seen.
    pub term: Term,
    /// Candidate that received the node's vote in that term.
    pub vote: Option<NodeId>,
}

/// Changes of the persistent state that become durable together.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StateUpdate {
    /// New term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces the previous one. Entries up to [`StateUpdate::compact_through`] are removed. If the log does not
    /// continue from the snapshot, all others are removed too ([`StateUpdate::truncate_from`]).
    pub snapshot: Option<Snapshot>,
    /// Last index to remove from the front of the log.
    pub compact_through: Option<Index>,
    /// First index to remove from the end of the log.
    pub truncate_from: Option<Index>,
    /// Entries to append after the removals, in order.
    pub entries: Vec<Entry>,
}

impl StateUpdate {
    /// Returns whether there is nothing to save.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none()
            && self.snapshot.is_none()
            && self.compact_through.is_none()
            && self.truncate_from.is_none()
            && self.entries.is_empty()
    }

    /// Removes all entries from an index on, both stored ones and those in this update.
    pub(crate) fn truncate(&mut self, from: Index) {
        self.truncate_from = Some(self.truncate_from.map_or(from, |earlier| earlier.min(from)));
        self.entries.retain(|entry| entry.at.index < from);
    }
}

/// Durable storage of a node's state.
pub trait Storage {
    /// Error that prevented an update from becoming durable.
    type Error;

    /// Saves an update atomically. The update is durable when this returns.
    ///
    /// # Errors
    /// After an error the node must stop permanently. The content of the storage is unknown, and a second attempt may succeed
    /// although data of the first was lost.
    fn save(&mut self, update: &StateUpdate) -> Result<(), Self::Error>;
}

/// Complete persistent state of a node.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PersistentState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Newest snapshot. A node of the initial membership starts with a snapshot at index 0 that contains the initial membership.
    /// Other nodes start without a snapshot and receive the membership from the leader.
    pub snapshot: Option<Snapshot>,
    /// Log entries, in order.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Returns the initial state of a node of the initial membership.
    pub fn first(members: Membership) -> PersistentState {
        let snapshot = Snapshot { at: LogPosition::default(), members, state: SnapshotData::default() };
        PersistentState { snapshot: Some(snapshot), ..PersistentState::default() }
    }

    /// Applies an update in memory.
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
