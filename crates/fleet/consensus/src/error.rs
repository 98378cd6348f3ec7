//! Errors of requests to a node.

use thiserror::Error;

use crate::ids::NodeId;
use crate::membership::MembershipChangeError;

/// Why a node did not accept a proposal, a read or a membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// It is not the leader. Holds the leader, as far as it is known.
    #[error("not the leader")]
    NotLeader(Option<NodeId>),
    /// It is the leader, and transfers leadership or has too many uncommitted entries. The request may be retried later.
    #[error("busy")]
    Busy,
    /// The proposal is larger than [`Settings::max_proposal_bytes`](crate::Settings::max_proposal_bytes).
    #[error("too long")]
    ProposalTooLarge,
    /// Leadership was lost before the outcome was known: the request may still take effect, or never.
    #[error("the lead was lost")]
    LeadershipLost,
    /// The membership change is not possible.
    #[error(transparent)]
    Change(#[from] MembershipChangeError),
}
