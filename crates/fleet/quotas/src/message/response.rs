//! Responses of replicas.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{AccountId, Claim, FrontId, OrphanId};
use crate::definition::LimitDefinition;

/// The ledger's answer to one share.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The claim.
    pub claim: Claim,
    /// Units that the front holds.
    pub share: u64,
    /// Units that others lack and that the front is to give back as far as they are not in use.
    pub recall: u64,
    /// The limit was lowered below the sum: the front admits nobody and gives back what is not in use.
    pub closed: bool,
}

/// Why a request was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum Rejection {
    /// The account has ended.
    #[error("the account has ended")]
    NoAccount,
    /// The orphan does not exist: its front has returned, or nothing is left of it.
    #[error("nothing is left of that front's shares")]
    NoOrphan,
    /// The time to live is out of range.
    #[error("the time to live of the account is out of range")]
    TtlOutOfRange,
    /// A later request of the same front was applied already.
    #[error("a later request of the same front was applied already")]
    Superseded,
    /// There are too many accounts, shares or entries of a request.
    #[error("too many accounts or shares")]
    TooManyEntries,
}

/// The result of a request that was applied.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// The account is open, with the shares that the front held before.
    Opened(AccountId, Vec<ShareGrant>),
    /// The shares after the reports, and the revision of the limits.
    Settled(Vec<ShareGrant>, u64),
    /// All limits, and their revision.
    Limits(Vec<LimitDefinition>, u64),
    /// The limit is known.
    Declared,
    /// The account is closed.
    Closed,
    /// The shares after the takeover.
    Adopted(Vec<ShareGrant>),
    /// The survey was applied.
    Counted,
    /// Orphans that can be surveyed, with the id of their front.
    Orphans(Vec<(OrphanId, FrontId)>),
    /// Rejected.
    Rejected(Rejection),
}

/// A message from a replica to a front.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// The answer to a request.
    Answer {
        /// Who sent the request.
        front: FrontId,
        /// The sequence number of the request.
        seq: u64,
        /// The result.
        answer: Answer,
    },
    /// This replica does not lead or can't accept the request now; retry here or at another.
    Retry,
}
