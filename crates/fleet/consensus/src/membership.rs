//! Who takes part, and changes of it one member at a time.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::NodeId;

/// Members at most, learners included.
pub const MAX_MEMBERS: usize = 15;
/// Bytes of a member's address.
pub const MAX_ADDRESS_BYTES: usize = 256;

/// A member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// It votes and counts for a quorum; otherwise it learns.
    pub voter: bool,
    /// Where it is reached, not read here.
    pub address: String,
}

/// All members. Copies share them: each look at who takes part has one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Membership(Arc<BTreeMap<NodeId, Member>>);

/// A change of one member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipChange {
    /// A new member learns.
    AddLearner(NodeId, String),
    /// One that learns and has caught up votes from now on.
    Promote(NodeId),
    /// A member is let go.
    Remove(NodeId),
}

/// Why members can't be changed so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MembershipChangeError {
    /// It is a member already.
    #[error("{0} is a member already")]
    AlreadyMember(NodeId),
    /// It is none.
    #[error("{0} is no member")]
    NotMember(NodeId),
    /// It does not learn.
    #[error("{0} does not learn")]
    NotLearner(NodeId),
    /// It has not caught up.
    #[error("{0} has not caught up yet")]
    NotCaughtUp(NodeId),
    /// Nobody would be left to vote.
    #[error("nobody would be left to vote")]
    NoVoterLeft,
    /// There are as many as there may be.
    #[error("{MAX_MEMBERS} members at most")]
    TooManyMembers,
    /// Its address is too long.
    #[error("an address has {MAX_ADDRESS_BYTES} bytes at most")]
    AddressTooLong,
    /// The last change is not committed, or the leader has committed nothing in its term yet. Asking again is harmless.
    #[error("another change is under way")]
    ChangeInProgress,
}

impl Membership {
    /// Voters that begin together.
    pub fn of(voters: impl IntoIterator<Item = (NodeId, String)>) -> Membership {
        let voter = |(id, address)| (id, Member { voter: true, address });
        Membership(Arc::new(voters.into_iter().map(voter).collect()))
    }

    /// All members in order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.0.iter().map(|(id, m)| (*id, m))
    }

    /// A member.
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.0.get(&id)
    }

    /// Whether it votes.
    pub fn votes(&self, id: NodeId) -> bool {
        self.0.get(&id).is_some_and(|m| m.voter)
    }

    /// Those that vote.
    pub fn voters(&self) -> impl Iterator<Item = NodeId> {
        self.0.iter().filter(|(_, m)| m.voter).map(|(id, _)| *id)
    }

    /// How many voters make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether those for whom `yes` holds are a majority of the voters.
    pub fn has_quorum(&self, yes: impl Fn(NodeId) -> bool) -> bool {
        self.voters().filter(|id| yes(*id)).count() >= self.quorum()
    }

    /// The greatest figure that a majority of the voters has reached.
    pub fn reached<T: Ord + Default>(&self, figure: impl Fn(NodeId) -> T) -> T {
        let mut all: Vec<T> = self.voters().map(figure).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().nth(self.quorum() - 1).unwrap_or_default()
    }

    /// The members after a change.
    pub fn changed(&self, change: &MembershipChange) -> Result<Membership, MembershipChangeError> {
        let mut to = self.clone();
        let members = Arc::make_mut(&mut to.0);
        match change {
            MembershipChange::AddLearner(id, _) if self.0.contains_key(id) => {
                return Err(MembershipChangeError::AlreadyMember(*id));
            }
            MembershipChange::AddLearner(..) if self.0.len() >= MAX_MEMBERS => {
                return Err(MembershipChangeError::TooManyMembers);
            }
            MembershipChange::AddLearner(_, address) if address.len() > MAX_ADDRESS_BYTES => {
                return Err(MembershipChangeError::AddressTooLong);
            }
            MembershipChange::AddLearner(id, address) => {
                members.insert(*id, Member { voter: false, address: address.clone() });
            }
            MembershipChange::Promote(id) => match members.get_mut(id) {
                None => return Err(MembershipChangeError::NotMember(*id)),
                Some(m) if m.voter => return Err(MembershipChangeError::NotLearner(*id)),
                Some(m) => m.voter = true,
            },
            MembershipChange::Remove(id) => {
                if members.remove(id).is_none() {
                    return Err(MembershipChangeError::NotMember(*id));
                }
                if to.voters().next().is_none() {
                    return Err(MembershipChangeError::NoVoterLeft);
                }
            }
        }
        Ok(to)
    }

    /// Bytes it takes in a message, about.
    pub fn size(&self) -> usize {
        self.0.values().map(|m| m.address.len() + 16).sum()
    }
}
