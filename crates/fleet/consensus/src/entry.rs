//! Log entries and snapshots.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::LogPosition;
use crate::membership::Membership;
use crate::snapshot_data::SnapshotData;

/// Approximate bytes of an entry's position in a message.
const POSITION_BYTES: usize = 24;

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader's term, with which it commits entries of earlier terms (section 3.6.2).
    Noop,
    /// A command for the replicated state machine, which this crate does not interpret.
    Command(Arc<[u8]>),
    /// The membership from this entry on.
    Membership(Membership),
}

/// A log entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its term and index.
    pub at: LogPosition,
    /// Its content.
    pub payload: Payload,
}

impl Entry {
    /// Approximate bytes of the entry in a message.
    pub fn size(&self) -> usize {
        POSITION_BYTES
            + match &self.payload {
                Payload::Noop => 0,
                Payload::Command(bytes) => bytes.len(),
                Payload::Membership(membership) => membership.size(),
            }
    }
}

/// The replicated state up to an entry (chapter 5).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Snapshot {
    /// The last entry that the state includes.
    pub at: LogPosition,
    /// The membership as of that entry.
    pub members: Membership,
    /// The state, which this crate does not interpret.
    pub state: SnapshotData,
}
