//! Membership changes of one node, and why they are rejected.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{MAX_ADDRESS_BYTES, MAX_MEMBERS, Member, Membership};
use crate::ids::NodeId;

/// A change of one member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner with its address.
    AddLearner(NodeId, String),
    /// Makes a learner that has caught up a voter.
    Promote(NodeId),
    /// Removes a member.
    Remove(NodeId),
}

/// Why a membership change is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MembershipChangeError {
    /// The node is a member already.
    #[error("{0} is a member already")]
    AlreadyMember(NodeId),
    /// The node is not a member.
    #[error("{0} is no member")]
    NotMember(NodeId),
    /// The member is not a learner.
    #[error("{0} does not learn")]
    NotLearner(NodeId),
    /// The learner has not caught up with the log.
    #[error("{0} has not caught up yet")]
    NotCaughtUp(NodeId),
    /// No voter would be left.
    #[error("nobody would be left to vote")]
    NoVoterLeft,
    /// The maximum number of members is reached.
    #[error("{MAX_MEMBERS} members at most")]
    TooManyMembers,
    /// The address is too long.
    #[error("an address has {MAX_ADDRESS_BYTES} bytes at most")]
    AddressTooLong,
    /// The last change is not committed, or the leader has not committed an entry of its term. The change may be retried later.
    #[error("another change is under way")]
    ChangeInProgress,
}

impl Membership {
    /// The membership after a change.
    ///
    /// # Errors
    /// The change does not fit this membership, or a bound is exceeded.
    pub fn changed(&self, change: &MembershipChange) -> Result<Membership, MembershipChangeError> {
        let mut changed = self.clone();
        let members = Arc::make_mut(&mut changed.0);
        match change {
            MembershipChange::AddLearner(id, address) => add_learner(members, *id, address)?,
            MembershipChange::Promote(id) => promote(members, *id)?,
            MembershipChange::Remove(id) => {
                members.remove(id).ok_or(MembershipChangeError::NotMember(*id))?;
                if changed.voters().next().is_none() {
                    return Err(MembershipChangeError::NoVoterLeft);
                }
            }
        }
        Ok(changed)
    }
}

fn add_learner(
    members: &mut BTreeMap<NodeId, Member>,
    id: NodeId,
    address: &str,
) -> Result<(), MembershipChangeError> {
    if members.contains_key(&id) {
        return Err(MembershipChangeError::AlreadyMember(id));
    }
    if members.len() >= MAX_MEMBERS {
        return Err(MembershipChangeError::TooManyMembers);
    }
    if address.len() > MAX_ADDRESS_BYTES {
        return Err(MembershipChangeError::AddressTooLong);
    }
    members.insert(id, Member { voter: false, address: address.to_owned() });
    Ok(())
}

fn promote(members: &mut BTreeMap<NodeId, Member>, id: NodeId) -> Result<(), MembershipChangeError> {
    let member = members.get_mut(&id).ok_or(MembershipChangeError::NotMember(id))?;
    if member.voter {
        return Err(MembershipChangeError::NotLearner(id));
    }
    member.voter = true;
    Ok(())
}
