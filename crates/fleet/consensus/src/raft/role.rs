//! Roles of a node and the state that belongs to each.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::progress::Progress;
use crate::ids::{Index, LogPosition, NodeId, RequestId};

/// Role of a node in its term (section 3.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// The node follows a leader or waits for one.
    Follower,
    /// The node asks whether the others would vote for it (section 9.6).
    PreCandidate,
    /// The node requests votes.
    Candidate,
    /// The node is the leader.
    Leader,
}

/// Role of a node with the state that belongs to it.
#[derive(Debug, Clone, Hash)]
pub(crate) enum RoleState {
    Follower { leader: Option<NodeId>, incoming_snapshot: Option<IncomingSnapshot> },
    PreCandidate { votes: BTreeSet<NodeId> },
    Candidate { votes: BTreeSet<NodeId> },
    Leader(LeaderState),
}

/// Snapshot that is being received.
#[derive(Debug, Clone, Hash)]
pub(crate) struct IncomingSnapshot {
    pub at: LogPosition,
    /// Received part of the transfer encoding.
    pub encoded: Vec<u8>,
}

/// State of a leader.
#[derive(Debug, Clone, Hash)]
pub(crate) struct LeaderState {
    /// Replication progress of each other member.
    pub followers: BTreeMap<NodeId, Progress>,
    /// Number of the latest heartbeat round.
    pub round: u64,
    pub heartbeat_due: Duration,
    pub elected_at: Duration,
    pub reads: VecDeque<PendingRead>,
    pub transfer: Option<LeadershipTransfer>,
}

/// Read that waits until a quorum has answered a heartbeat round.
#[derive(Debug, Clone, Hash)]
pub(crate) struct PendingRead {
    pub request: RequestId,
    pub round: u64,
    /// Index that must be applied before the read is answered. `None` until the leader has committed an entry of its term.
    pub read_index: Option<Index>,
}

/// Leadership transfer in progress.
#[derive(Debug, Clone, Copy, Hash)]
pub(crate) struct LeadershipTransfer {
    pub target: NodeId,
    /// Time at which the transfer is abandoned.
    pub deadline: Duration,
}
