//! The membership of a cluster, and changes of it by one node at a time (chapter 4).

mod change;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use change::{MembershipChange, MembershipChangeError};

use crate::ids::NodeId;

/// Maximum number of members, learners included.
pub const MAX_MEMBERS: usize = 15;
/// Maximum bytes of a member's address.
pub const MAX_ADDRESS_BYTES: usize = 256;
/// Approximate bytes of a member in a message, without its address.
const MEMBER_BYTES: usize = 16;

/// A member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Whether it votes and counts for a quorum. A member that does not is a learner (section 4.2.1).
    pub voter: bool,
    /// Its network address, which this crate does not interpret.
    pub address: String,
}

/// All members. Clones share the content.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Membership(Arc<BTreeMap<NodeId, Member>>);

impl Membership {
    /// The initial membership: these voters.
    pub fn of(voters: impl IntoIterator<Item = (NodeId, String)>) -> Membership {
        let voter = |(id, address)| (id, Member { voter: true, address });
        Membership(Arc::new(voters.into_iter().map(voter).collect()))
    }

    /// All members, by id.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.0.iter().map(|(id, member)| (*id, member))
    }

    /// A member.
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.0.get(&id)
    }

    /// Whether a node is a voter.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.0.get(&id).is_some_and(|member| member.voter)
    }

    /// All voters, by id.
    pub fn voters(&self) -> impl Iterator<Item = NodeId> {
        self.0.iter().filter(|(_, member)| member.voter).map(|(id, _)| *id)
    }

    /// The number of voters in a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters for which `predicate` holds are a majority.
    pub fn has_quorum(&self, predicate: impl Fn(NodeId) -> bool) -> bool {
        self.voters().filter(|id| predicate(*id)).count() >= self.quorum()
    }

    /// The greatest value that a majority of the voters has reached.
    pub fn reached_by_quorum<T: Ord + Default>(&self, value: impl Fn(NodeId) -> T) -> T {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.into_iter().nth(self.quorum() - 1).unwrap_or_default()
    }

    /// Approximate bytes in a message.
    pub fn size(&self) -> usize {
        self.0.values().map(|member| member.address.len() + MEMBER_BYTES).sum()
    }
}
