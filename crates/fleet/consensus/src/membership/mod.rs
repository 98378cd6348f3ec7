//! Membership of a cluster (chapter 4).

mod change;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use change::{MembershipChange, MembershipChangeError};

use crate::ids::NodeId;

/// Maximum number of members, learners included.
pub const MAX_MEMBERS: usize = 15;
/// Maximum length of a member's address, in bytes.
pub const MAX_ADDRESS_BYTES: usize = 256;
/// Approximate size of a member in a message without its address, in bytes.
const MEMBER_BYTES: usize = 16;

/// Member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Whether the member votes and counts towards a quorum. A member that does not is a learner (section 4.2.1).
    pub voter: bool,
    /// Network address of the member, which this crate does not interpret.
    pub address: String,
}

/// Set of all members of the cluster. Clones share the content.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Membership(Arc<BTreeMap<NodeId, Member>>);

impl Membership {
    /// Creates an initial membership of the given voters.
    pub fn of(voters: impl IntoIterator<Item = (NodeId, String)>) -> Membership {
        let voter = |(id, address)| (id, Member { voter: true, address });
        Membership(Arc::new(voters.into_iter().map(voter).collect()))
    }

    /// Returns all members, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.0.iter().map(|(id, member)| (*id, member))
    }

    /// Returns the member with an id. Returns `None` if the node is not a member.
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.0.get(&id)
    }

    /// Returns whether a node is a voter.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.0.get(&id).is_some_and(|member| member.voter)
    }

    /// Returns the ids of all voters, in order.
    pub fn voters(&self) -> impl Iterator<Item = NodeId> {
        self.0.iter().filter(|(_, member)| member.voter).map(|(id, _)| *id)
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the voters that satisfy `predicate` are a majority.
    pub fn has_quorum(&self, predicate: impl Fn(NodeId) -> bool) -> bool {
        self.voters().filter(|id| predicate(*id)).count() >= self.quorum()
    }

    /// Returns the greatest value that a majority of the voters has reached.
    pub fn reached_by_quorum<T: Ord + Default>(&self, value: impl Fn(NodeId) -> T) -> T {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.quorum() - 1).unwrap_or_default()
    }

    /// Returns the approximate size of the membership in a message, in bytes.
    pub fn size(&self) -> usize {
        self.0.values().map(|member| member.address.len() + MEMBER_BYTES).sum()
    }
}
