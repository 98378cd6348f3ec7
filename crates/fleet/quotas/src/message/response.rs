//! Responses of replicas.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{AccountId, Claim, FrontId, OrphanId};
use crate::definition::LimitDefinition;

/// The ledger's answer about one share.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The claim.
    pub claim: Claim,
    /// Units that the front holds.
    pub share: u64,
    /// Units that other fronts lack and that the front is to give back as far as they are unused.
    pub recall: u64,
    /// Whether the sum exceeds a limit that was lowered. The front then admits no sessions and gives back unused units.
    pub closed: bool,
}

/// Why a request was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum Rejection {
    /// The account has ended.
    #[error("the account has ended")]
    NoAccount,
    /// The orphan does not exist, because its front has returned or nothing is left of it, or it can't be surveyed.
    #[error("the orphan does not exist or can't be surveyed")]
    NoOrphan,
    /// The time to live is out of range.
    #[error("the time to live of the account is out of range")]
    TtlOutOfRange,
    /// A later request of the same front was applied already.
    #[error("a later request of the same front was applied already")]
    Superseded,
    /// There are too many accounts, or too many entries in the request.
    #[error("too many accounts or entries")]
    TooManyEntries,
}

/// The result of a request that was applied.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// The account is open, with the shares that the front has got back.
    Opened(AccountId, Vec<ShareGrant>),
    /// The reported shares after allocation, and the revision of the limits.
    Reported(Vec<ShareGrant>, u64),
    /// All limits and their revision.
    Limits(Vec<LimitDefinition>, u64),
    /// The limit is known.
    Declared,
    /// The account is closed.
    Closed,
    /// The shares after the takeover.
    Adopted(Vec<ShareGrant>),
    /// The result of the survey was applied.
    SurveyApplied,
    /// Orphans that can be surveyed, each with the id of its front.
    Orphans(Vec<(OrphanId, FrontId)>),
    /// The request was rejected.
    Rejected(Rejection),
}

/// A message from a replica to a front.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// The answer to a request.
    Answer {
        /// The sender of the request.
        front: FrontId,
        /// The sequence number of the request.
        seq: u64,
        /// The result.
        answer: Answer,
    },
    /// This replica does not lead or can't accept the request now; retry here or at another.
    Retry,
}
