//! Who takes part, and changes of it one member at a time.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::MemberId;

/// Members at most, learners included.
pub const MOST_MEMBERS: usize = 15;
/// Bytes of a member's address.
pub const MOST_ADDRESS: usize = 256;

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
pub struct Membership(Arc<BTreeMap<MemberId, Member>>);

/// A change of one member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// A new member learns.
    Learn(MemberId, String),
    /// One that learns and has caught up votes from now on.
    Promote(MemberId),
    /// A member is let go.
    Remove(MemberId),
}

/// Why members can't be changed so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// It is a member already.
    #[error("{0} is a member already")]
    Known(MemberId),
    /// It is none.
    #[error("{0} is no member")]
    Unknown(MemberId),
    /// It does not learn.
    #[error("{0} does not learn")]
    Voter(MemberId),
    /// It has not caught up.
    #[error("{0} has not caught up yet")]
    Behind(MemberId),
    /// Nobody would be left to vote.
    #[error("nobody would be left to vote")]
    NoVoter,
    /// There are as many as there may be.
    #[error("{MOST_MEMBERS} members at most")]
    TooMany,
    /// Its address is too long.
    #[error("an address has {MOST_ADDRESS} bytes at most")]
    Address,
    /// The last change is not committed, or the leader has committed nothing in its term yet. Asking again is harmless.
    #[error("another change is under way")]
    UnderWay,
}

impl Membership {
    /// Voters that begin together.
    pub fn of(voters: impl IntoIterator<Item = (MemberId, String)>) -> Membership {
        let voter = |(id, address)| (id, Member { voter: true, address });
        Membership(Arc::new(voters.into_iter().map(voter).collect()))
    }

    /// All members in order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.0.iter().map(|(id, m)| (*id, m))
    }

    /// A member.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.0.get(&id)
    }

    /// Whether it votes.
    pub fn votes(&self, id: MemberId) -> bool {
        self.0.get(&id).is_some_and(|m| m.voter)
    }

    /// Those that vote.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.0.iter().filter(|(_, m)| m.voter).map(|(id, _)| *id)
    }

    /// How many voters make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether those for whom `yes` holds are a majority of the voters.
    pub fn has_quorum(&self, yes: impl Fn(MemberId) -> bool) -> bool {
        self.voters().filter(|id| yes(*id)).count() >= self.quorum()
    }

    /// The greatest figure that a majority of the voters has reached.
    pub fn reached<T: Ord + Default>(&self, figure: impl Fn(MemberId) -> T) -> T {
        let mut all: Vec<T> = self.voters().map(figure).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().nth(self.quorum() - 1).unwrap_or_default()
    }

    /// The members after a change.
    pub fn changed(&self, change: &Change) -> Result<Membership, ChangeError> {
        let mut to = self.clone();
        let members = Arc::make_mut(&mut to.0);
        match change {
            Change::Learn(id, _) if self.0.contains_key(id) => return Err(ChangeError::Known(*id)),
            Change::Learn(..) if self.0.len() >= MOST_MEMBERS => return Err(ChangeError::TooMany),
            Change::Learn(_, address) if address.len() > MOST_ADDRESS => return Err(ChangeError::Address),
            Change::Learn(id, address) => {
                members.insert(*id, Member { voter: false, address: address.clone() });
            }
            Change::Promote(id) => match members.get_mut(id) {
                None => return Err(ChangeError::Unknown(*id)),
                Some(m) if m.voter => return Err(ChangeError::Voter(*id)),
                Some(m) => m.voter = true,
            },
            Change::Remove(id) => {
                if members.remove(id).is_none() {
                    return Err(ChangeError::Unknown(*id));
                }
                if to.voters().next().is_none() {
                    return Err(ChangeError::NoVoter);
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
