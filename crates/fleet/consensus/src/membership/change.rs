//! Membership changes of one node at a time.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{MAX_ADDRESS_BYTES, MAX_MEMBERS, Member, Membership};
use crate::ids::NodeId;

/// Change of one member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner with its address.
    AddLearner(NodeId, String),
    /// Promotes a learner that has caught up to a voter.
    Promote(NodeId),
    /// Removes a member.
    Remove(NodeId),
}

/// Reason why a membership change was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MembershipChangeError {
    /// The node is already a member.
    #[error("node {0} is already a member")]
    AlreadyMember(NodeId),
    /// The node is not a member.
    #[error("node {0} is not a member")]
    NotMember(NodeId),
    /// The member is not a learner.
    #[error("node {0} is not a learner")]
    NotLearner(NodeId),
    /// The learner has not caught up with the log.
    #[error("learner {0} has not caught up with the log")]
    NotCaughtUp(NodeId),
    /// The change would remove the last voter.
    #[error("the change would remove the last voter")]
    NoVoterLeft,
    /// The maximum number of members is reached.
    #[error("a cluster has at most {MAX_MEMBERS} members")]
    TooManyMembers,
    /// The address is too long.
    #[error("an address has at most {MAX_ADDRESS_BYTES} bytes")]
    AddressTooLong,
    /// The last change is not committed, or the leader has not committed an entry of its term. The change may be retried later.
    #[error("another membership change is in progress")]
    ChangeInProgress,
}

impl Membership {
    /// Returns the membership after a change.
    ///
    /// # Errors
    /// Returns an error if the change does not apply to this membership or would exceed a limit.
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
