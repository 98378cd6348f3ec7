//! Responses of replicas to holders.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{HolderId, ReplicaId, Token};

/// Reason why a request was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum Rejection {
    /// All slots are held.
    #[error("all slots are held")]
    #[serde(rename = "Taken")]
    NoFreeSlot,
    /// The holder does not hold the grant, because it has ended or belongs to another holder.
    #[error("the lease is not held")]
    NotHeld,
    /// The lease is held with a different number of slots, or the number is out of range.
    #[error("the lease is held with another number of slots, or the number is out of range")]
    #[serde(rename = "Places")]
    SlotCount,
    /// A time to live is out of range.
    #[error("the time to live of the lease is out of range")]
    #[serde(rename = "Time")]
    TtlOutOfRange,
    /// A later request of the same holder has already been applied.
    #[error("a later request of the same holder was applied already")]
    #[serde(rename = "Overtaken")]
    Superseded,
    /// The table has reached its maximum number of leases.
    #[error("too many leases")]
    #[serde(rename = "TooMany")]
    TooManyLeases,
}

/// Position of a grant among all grants of its task, as of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct GrantPosition {
    /// Zero-based slot of the grant, the lowest one that was free. It stays the same as long as the grant is renewed.
    #[serde(rename = "place")]
    pub slot: u16,
    /// Exclusive upper bound of the slots that were held.
    #[serde(rename = "reach")]
    pub slot_bound: u16,
    /// Longest time to live of all grants of the task, in milliseconds.
    #[serde(rename = "longest_ms")]
    pub max_ttl_ms: u32,
}

/// State that a successor inherits together with a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Succession {
    /// Slot count that the predecessor used last. See [`Handoff::slot_count`](super::Handoff::slot_count).
    #[serde(rename = "of")]
    pub slot_count: u32,
    /// Time in milliseconds for which the predecessor's use of the slot still counts, measured from when the successor receives
    /// it. See [`Handoff::remaining_ms`](super::Handoff::remaining_ms).
    #[serde(rename = "rest_ms")]
    pub remaining_ms: u32,
}

/// Additional part of an answer to a holder with an instance name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct InstanceGrant {
    /// Newest token of the table, as of the answer.
    #[serde(rename = "newest")]
    pub newest_token: Token,
    /// State inherited from the predecessor. Present if the slot was handed off to this instance and no grant unknown to the
    /// predecessor has ended in between.
    #[serde(rename = "inherited")]
    pub succession: Option<Succession>,
}

/// Result of an applied request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// The lease was granted to a holder without an instance name.
    Granted(Token, GrantPosition),
    /// The grant was renewed by a holder without an instance name.
    Renewed(Token, GrantPosition),
    /// The grant was released.
    Released,
    /// The request was rejected.
    #[serde(rename = "Unable")]
    Rejected(Rejection),
    /// The lease was granted to, or renewed by, a holder with an instance name.
    #[serde(rename = "Seat")]
    HeldByInstance(Token, GrantPosition, InstanceGrant),
    /// The slot is reserved for the next holder of the instance.
    #[serde(rename = "Left")]
    HandedOff,
}

/// Message from a replica to a holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// Result of a request. It names the holder, because several holders may share a connection.
    Answer {
        /// Holder that sent the request.
        holder: HolderId,
        /// Sequence number of the request.
        seq: u64,
        /// Result of the request.
        answer: Answer,
    },
    /// The replica is not the leader. Contains the leader, if the replica knows it.
    NotLeader(Option<ReplicaId>),
    /// The replica cannot accept the request now. The holder should retry later.
    Busy,
}

impl Response {
    /// Returns the answer to the given request. Returns `None` if this is another message.
    pub fn answer_to(&self, to_holder: HolderId, to_seq: u64) -> Option<Answer> {
        match self {
            Response::Answer { holder, seq, answer } if (*holder, *seq) == (to_holder, to_seq) => {
                Some(*answer)
            }
            _ => None,
        }
    }
}
