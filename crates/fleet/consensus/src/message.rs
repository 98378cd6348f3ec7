//! What members say to each other. Any message may be lost, late, doubled or overtaken.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::membership::Membership;
use crate::types::{Entry, Index, LogPosition, NodeId, Term};

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Who says it.
    pub from: NodeId,
    /// To whom.
    pub to: NodeId,
    /// The sender's term; for a pre-vote and its consent, the term that would begin.
    pub term: Term,
    /// What it says.
    pub body: MessageBody,
}

/// What became of a message with entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendResult {
    /// The log is the leader's up to here, and lasts.
    Match(Index),
    /// It is not at the place before the entries; the leader may try at this one.
    Conflict(Index),
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Would you vote for me? Changes nothing at who asks, nor at who answers.
    PreVoteRequest {
        /// The last entry of who asks.
        last: LogPosition,
    },
    /// I would, or not.
    PreVoteResponse(bool),
    /// Vote for me.
    VoteRequest {
        /// The last entry of who asks.
        last: LogPosition,
        /// A leader has handed over to who asks: a leader heard of lately is no reason against it.
        leadership_transfer: bool,
    },
    /// You have my vote, or not.
    VoteResponse(bool),
    /// A leader's entries, or none as a sign of life.
    AppendEntries {
        /// The entry before them.
        prev: LogPosition,
        /// The entries, in order.
        entries: Vec<Entry>,
        /// The leader has committed up to here.
        commit: Index,
        /// The leader's round, for reads and to see who hears it.
        round: u64,
    },
    /// What became of that.
    AppendEntriesResponse {
        /// Which.
        verdict: AppendResult,
        /// The round as it came.
        round: u64,
    },
    /// A part of a snapshot.
    InstallSnapshot {
        /// The snapshot's last entry.
        at: LogPosition,
        /// Its members.
        members: Membership,
        /// Where the part begins.
        offset: u64,
        /// The part.
        part: Arc<[u8]>,
        /// It is the last.
        last: bool,
        /// The leader's round.
        round: u64,
    },
    /// So much of a snapshot is there.
    InstallSnapshotResponse {
        /// Which snapshot.
        at: LogPosition,
        /// Bytes of it so far.
        offset: u64,
        /// The round as it came.
        round: u64,
    },
    /// Ask for votes at once: the lead is handed over.
    TimeoutNow,
}
