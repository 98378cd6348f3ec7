//! The status of a node, for operators and tests.

use std::time::Duration;

use super::role::{Role, RoleState};
use super::{Raft, progress::Progress};
use crate::ids::{Index, LogPosition, NodeId, Term};
use crate::membership::Membership;

/// The status of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Its id.
    pub id: NodeId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader, if it is known.
    pub leader: Option<NodeId>,
    /// The last entry of its log.
    pub last: LogPosition,
    /// Its commit index.
    pub commit: Index,
    /// The latest membership in its log.
    pub members: Membership,
    /// For a leader: all other members.
    pub followers: Vec<FollowerStatus>,
}

/// What a leader knows of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerStatus {
    /// The member.
    pub id: NodeId,
    /// Its log matches the leader's up to here.
    pub match_index: Index,
    /// When its last message arrived, by the leader's clock.
    pub last_contact: Duration,
}

impl Raft {
    /// The status of the node.
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
