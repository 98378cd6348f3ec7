//! Status of a node, for operators and tests.

use std::time::Duration;

use super::role::{Role, RoleState};
use super::{Raft, progress::Progress};
use crate::ids::{Index, LogPosition, NodeId, Term};
use crate::membership::Membership;

/// Status of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Id of the node.
    pub id: NodeId,
    /// Role of the node.
    pub role: Role,
    /// Current term of the node.
    pub term: Term,
    /// Leader of the term. `None` if it is unknown.
    pub leader: Option<NodeId>,
    /// Position of the last log entry.
    pub last: LogPosition,
    /// Commit index of the node.
    pub commit: Index,
    /// Latest membership in the log.
    pub members: Membership,
    /// Status of all other members. Empty if the node is not the leader.
    pub followers: Vec<FollowerStatus>,
}

/// Status of another member, as known by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerStatus {
    /// Id of the member.
    pub id: NodeId,
    /// Index up to which the member's log matches the leader's.
    pub match_index: Index,
    /// Time at which the last message of the member arrived, by the leader's clock.
    pub last_contact: Duration,
}

impl Raft {
    /// Returns the status of the node.
    pub fn status(&self) -> Status {
        let (role, leader) = match &self.role {
            RoleState::Follower { leader, .. } => (Role::Follower, *leader),
            RoleState::PreCandidate { .. } => (Role::PreCandidate, None),
            RoleState::Candidate { .. } => (Role::Candidate, None),
            RoleState::Leader(_) => (Role::Leader, Some(self.id)),
        };
        let followers = match &self.role {
            RoleState::Leader(state) => state.followers.iter().map(follower_status).collect(),
            _ => Vec::new(),
        };
        Status {
            id: self.id,
            role,
            term: self.hard_state.term,
            leader,
            last: self.log.last(),
            commit: self.commit_index,
            members: self.log.membership(),
            followers,
        }
    }
}

fn follower_status((id, progress): (&NodeId, &Progress)) -> FollowerStatus {
    FollowerStatus { id: *id, match_index: progress.match_index, last_contact: progress.last_contact }
}
