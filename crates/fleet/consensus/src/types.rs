//! Names and figures that all parts share.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use crate::ids::{Index, LogPosition, NodeId, RequestId, Term};
use crate::membership::Membership;
use crate::rope::SnapshotData;

/// What an entry says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader's term, which lets it commit what came before.
    Noop,
    /// A command for the replicated state, not read here.
    Command(Arc<[u8]>),
    /// The members from here on.
    Membership(Membership),
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its place and term.
    pub at: LogPosition,
    /// What it says.
    pub payload: Payload,
}

impl Entry {
    /// Bytes that it takes in a message, about.
    pub fn size(&self) -> usize {
        24 + match &self.payload {
            Payload::Noop => 0,
            Payload::Command(bytes) => bytes.len(),
            Payload::Membership(m) => m.size(),
        }
    }
}

/// The replicated state up to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Snapshot {
    /// The last entry that is in it.
    pub at: LogPosition,
    /// The members as of that entry.
    pub members: Membership,
    /// The state, not read here.
    pub state: SnapshotData,
}

/// Times and bounds of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Settings {
    /// A follower that hears no leader for this, and up to as long again by chance, asks for votes. A leader that hears no
    /// quorum for this steps down.
    pub election_timeout: Duration,
    /// From one word of a leader to the next.
    pub heartbeat_interval: Duration,
    /// Bytes of entries in one message.
    pub max_message_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Messages with entries on their way to one member.
    pub max_in_flight: usize,
    /// Bytes of entries that are not committed; past this a leader refuses proposals.
    pub max_uncommitted_bytes: usize,
    /// Bytes of one proposal.
    pub max_proposal_bytes: usize,
    /// Bytes of a snapshot that a member takes. Whatever makes the state keeps it under this: a member whose disk was lost could
    /// never be replaced otherwise.
    pub max_snapshot_bytes: usize,
    /// Entries kept behind a snapshot, for members that are a little late.
    pub retained_entries: u64,
    /// Bytes of them at most.
    pub max_retained_bytes: usize,
    /// Bytes of the log past its newest snapshot that a leader puts up with while a member is being sent that snapshot. Guards
    /// against a member that is never done, as a newer snapshot comes each time before it has the last one.
    pub max_log_bytes_during_transfer: usize,
    /// Reads that wait for their round.
    pub max_pending_reads: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            election_timeout: Duration::from_millis(500),
            heartbeat_interval: Duration::from_millis(100),
            max_message_bytes: 64 << 10,
            snapshot_chunk_bytes: 64 << 10,
            max_in_flight: 16,
            max_uncommitted_bytes: 1 << 20,
            max_proposal_bytes: 72 << 10,
            max_snapshot_bytes: 200 << 20,
            retained_entries: 256,
            max_retained_bytes: 4 << 20,
            max_log_bytes_during_transfer: 32 << 20,
            max_pending_reads: 1024,
        }
    }
}

/// Why a member did not take what was asked of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// It does not lead; who does, as far as it knows.
    #[error("not the leader")]
    NotLeader(Option<NodeId>),
    /// It leads and hands the lead over, or has too much on its way. Asking again later is harmless.
    #[error("busy")]
    Busy,
    /// Longer than one proposal may be.
    #[error("too long")]
    ProposalTooLarge,
    /// It lost the lead before it was known what became of it: it may come yet, or never.
    #[error("the lead was lost")]
    LeadershipLost,
    /// A change of members that can't be.
    #[error(transparent)]
    Change(#[from] crate::membership::MembershipChangeError),
}
