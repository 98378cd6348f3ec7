//! Messages between nodes. Any message may be lost, delayed, duplicated or reordered.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::ids::{Index, LogPosition, NodeId, Term};
use crate::membership::Membership;

/// A message. Nodes encode it with postcard: the order of fields and variants is part of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
    /// The sender's term. For a pre-vote request and its consent it is the term that the election would have.
    pub term: Term,
    /// The content.
    pub body: MessageBody,
}

/// The outcome of an AppendEntries or InstallSnapshot request at a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendResult {
    /// The follower's log matches the leader's up to this index, and is durable.
    Match(Index),
    /// The follower has no entry, or another one, at the previous position. Holds the index that the leader may try next.
    Conflict(Index),
}

/// The content of a message, named as in the paper.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether the receiver would grant a vote (section 9.6). It changes the state of neither node.
    PreVoteRequest {
        /// The sender's last entry.
        last_entry: LogPosition,
    },
    /// Whether the sender would grant its vote.
    PreVoteResponse(bool),
    /// Asks for a vote (section 3.4).
    VoteRequest {
        /// The candidate's last entry.
        last_entry: LogPosition,
        /// The previous leader transferred leadership to the candidate: the request counts although a leader was heard recently.
        leadership_transfer: bool,
    },
    /// Whether the sender grants its vote.
    VoteResponse(bool),
    /// Entries of a leader, or none as a heartbeat (section 3.5).
    AppendEntries {
        /// The entry before them.
        prev: LogPosition,
        /// The entries, in order.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The leader's heartbeat round, for reads and for the check of its quorum.
        round: u64,
    },
    /// The answer to `AppendEntries`, and to the last part of a snapshot.
    AppendEntriesResponse {
        /// The outcome.
        result: AppendResult,
        /// The round of the request.
        round: u64,
    },
    /// A part of a snapshot (section 5.3).
    InstallSnapshot {
        /// The last entry that the snapshot includes.
        last_included: LogPosition,
        /// The membership as of that entry.
        membership: Membership,
        /// The offset of the part, in bytes.
        offset: u64,
        /// The bytes of the part.
        data: Arc<[u8]>,
        /// Whether this is the last part.
        is_last: bool,
        /// The leader's heartbeat round.
        round: u64,
    },
    /// The answer to a part that is not the last one.
    InstallSnapshotResponse {
        /// The last entry that the snapshot includes.
        last_included: LogPosition,
        /// Bytes received so far.
        offset: u64,
        /// The round of the request.
        round: u64,
    },
    /// The leader transfers leadership: the receiver starts an election at once (section 3.10).
    TimeoutNow,
}
