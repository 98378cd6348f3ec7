//! Errors of client requests to a node.

use thiserror::Error;

use crate::ids::NodeId;
use crate::membership::MembershipChangeError;

/// Reason why a node did not accept a proposal, a read or a membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The node is not the leader. Contains the leader, if the node knows it.
    #[error("not the leader")]
    NotLeader(Option<NodeId>),
    /// The node is the leader, but it is transferring leadership, or has too many uncommitted entries or pending reads. The
    /// request may be retried later.
    #[error("busy")]
    Busy,
    /// The proposal is larger than [`Settings::max_proposal_bytes`](crate::Settings::max_proposal_bytes).
    #[error("proposal too large")]
    ProposalTooLarge,
    /// The node lost leadership before the outcome was known. The request may or may not take effect later.
    #[error("leadership lost before the outcome was known")]
    LeadershipLost,
    /// The membership change was rejected.
    #[error(transparent)]
    Change(#[from] MembershipChangeError),
}
