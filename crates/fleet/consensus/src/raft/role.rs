//! The roles of a node, and what a node remembers only while it has one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::progress::Progress;
use crate::ids::{Index, LogPosition, NodeId, RequestId};

/// A node's role in its term (section 3.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether the others would vote for it (section 9.6).
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// A role with its state.
#[derive(Debug, Clone, Hash)]
pub(crate) enum RoleState {
    Follower { leader: Option<NodeId>, incoming_snapshot: Option<IncomingSnapshot> },
    PreCandidate { votes: BTreeSet<NodeId> },
    Candidate { votes: BTreeSet<NodeId> },
    Leader(LeaderState),
}

/// A snapshot that is being received.
#[derive(Debug, Clone, Hash)]
pub(crate) struct IncomingSnapshot {
    pub at: LogPosition,
    /// The transfer encoding, as far as it was received.
    pub encoded: Vec<u8>,
}

/// The state of a leader.
#[derive(Debug, Clone, Hash)]
pub(crate) struct LeaderState {
    /// What it knows of each other member.
    pub followers: BTreeMap<NodeId, Progress>,
    /// The number of the latest heartbeat round.
    pub round: u64,
    pub heartbeat_due: Duration,
    pub elected_at: Duration,
    pub reads: VecDeque<PendingRead>,
    pub transfer: Option<LeadershipTransfer>,
}

/// A read that waits until a quorum has answered a heartbeat round.
#[derive(Debug, Clone, Hash)]
pub(crate) struct PendingRead {
    pub request: RequestId,
    pub round: u64,
    /// The read index: what must be applied before the read is answered. `None` until the leader has committed an entry of its
    /// term.
    pub read_index: Option<Index>,
}

/// A leadership transfer in progress.
#[derive(Debug, Clone, Copy, Hash)]
pub(crate) struct LeadershipTransfer {
    pub target: NodeId,
    /// The transfer is given up then.
    pub deadline: Duration,
}
