//! Messages between nodes. The network may lose, delay, duplicate or reorder any of them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::ids::{Index, LogPosition, NodeId, Term};
use crate::membership::Membership;

/// Message from one node to another. Nodes encode it with postcard, so the order of fields and variants is part of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Sender of the message.
    pub from: NodeId,
    /// Receiver of the message.
    pub to: NodeId,
    /// Term of the sender. In a pre-vote request and in a response that grants it, this is the term of the proposed election.
    pub term: Term,
    /// Content of the message.
    pub body: MessageBody,
}

/// Outcome of an AppendEntries or InstallSnapshot request at a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendResult {
    /// The follower's log matches the leader's log up to this index and is durable up to there.
    Match(Index),
    /// The follower has no entry, or a different one, at the previous position. Contains the index that the leader may try next.
    Conflict(Index),
}

/// Content of a message. The variants are named as in the paper.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether the receiver would grant a vote, without a change of either node's state (section 9.6).
    PreVoteRequest {
        /// Position of the sender's last entry.
        last_entry: LogPosition,
    },
    /// Reports whether the sender would grant its vote.
    PreVoteResponse(bool),
    /// Requests a vote (section 3.4).
    VoteRequest {
        /// Position of the candidate's last entry.
        last_entry: LogPosition,
        /// Whether the previous leader transferred leadership to the candidate. The receiver then handles the request even if
        /// it has heard from a leader recently.
        leadership_transfer: bool,
    },
    /// Reports whether the sender grants its vote.
    VoteResponse(bool),
    /// Sends entries of the leader, or none as a heartbeat (section 3.5).
    AppendEntries {
        /// Position of the entry that precedes `entries`.
        prev: LogPosition,
        /// Entries to append, in order.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: Index,
        /// Heartbeat round of the leader, which confirms reads and contact with a quorum.
        round: u64,
    },
    /// Answers `AppendEntries`, or the `InstallSnapshot` message with the last part of a snapshot.
    AppendEntriesResponse {
        /// Outcome of the request.
        result: AppendResult,
        /// Heartbeat round of the request.
        round: u64,
    },
    /// Sends a part of a snapshot (section 5.3).
    InstallSnapshot {
        /// Position of the last entry that the snapshot includes.
        last_included: LogPosition,
        /// Membership as of that entry.
        membership: Membership,
        /// Offset of the part in the encoded snapshot, in bytes.
        offset: u64,
        /// Bytes of the part.
        data: Arc<[u8]>,
        /// Whether this is the last part.
        is_last: bool,
        /// Heartbeat round of the leader.
        round: u64,
    },
    /// Answers an `InstallSnapshot` message with a part that is not the last one.
    InstallSnapshotResponse {
        /// Position of the last entry that the snapshot includes.
        last_included: LogPosition,
        /// Number of bytes received so far.
        offset: u64,
        /// Heartbeat round of the request.
        round: u64,
    },
    /// Transfers leadership to the receiver, which starts an election immediately (section 3.10).
    TimeoutNow,
}
