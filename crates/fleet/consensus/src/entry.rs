//! Log entries and snapshots.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::LogPosition;
use crate::membership::Membership;
use crate::snapshot_data::SnapshotData;

/// Approximate size of an entry's position in a message, in bytes.
const POSITION_BYTES: usize = 24;

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// No content. A leader appends such an entry at the start of its term, to commit entries of earlier terms (section 3.6.2).
    Noop,
    /// Command for the replicated state machine, which this crate does not interpret.
    Command(Arc<[u8]>),
    /// Membership of the cluster from this entry on.
    Membership(Membership),
}

/// Entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Term and index of the entry.
    pub at: LogPosition,
    /// Content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate size of the entry in a message, in bytes.
    pub fn size(&self) -> usize {
        POSITION_BYTES
            + match &self.payload {
                Payload::Noop => 0,
                Payload::Command(bytes) => bytes.len(),
                Payload::Membership(membership) => membership.size(),
            }
    }
}

/// Snapshot of the replicated state as of a log entry (chapter 5).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Snapshot {
    /// Position of the last entry that the state includes.
    pub at: LogPosition,
    /// Membership as of that entry.
    pub members: Membership,
    /// Replicated state, which this crate does not interpret.
    pub state: SnapshotData,
}
