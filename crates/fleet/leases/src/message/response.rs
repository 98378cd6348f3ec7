//! Responses of replicas.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{HolderId, ReplicaId, Token};

/// Why a request was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum Rejection {
    /// All slots are held.
    #[error("all slots are held")]
    #[serde(rename = "Taken")]
    NoFreeSlot,
    /// The grant has ended.
    #[error("the lease is not held")]
    NotHeld,
    /// The task is held with another number of slots, or the number is out of range.
    #[error("the lease is held with another number of slots, or the number is out of range")]
    #[serde(rename = "Places")]
    SlotCount,
    /// A time to live is out of range.
    #[error("the time to live of the lease is out of range")]
    #[serde(rename = "Time")]
    TtlOutOfRange,
    /// A later request of the same holder was applied already.
    #[error("a later request of the same holder was applied already")]
    #[serde(rename = "Overtaken")]
    Superseded,
    /// The table is full.
    #[error("too many leases")]
    #[serde(rename = "TooMany")]
    TooManyLeases,
}

/// The position of a grant among all grants of its task, as of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct GrantPosition {
    /// Its slot: the lowest that was free, counted from zero. It stays the same for as long as the grant is renewed.
    #[serde(rename = "place")]
    pub slot: u16,
    /// One more than the highest slot that was held.
    #[serde(rename = "reach")]
    pub slot_bound: u16,
    /// The longest time to live of all grants of the task, milliseconds.
    #[serde(rename = "longest_ms")]
    pub max_ttl_ms: u32,
}

/// What a successor takes over with a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Succession {
    /// See [`Handoff::slot_count`](super::Handoff::slot_count).
    #[serde(rename = "of")]
    pub slot_count: u32,
    /// See [`Handoff::remaining_ms`](super::Handoff::remaining_ms); counted from when the successor receives it.
    #[serde(rename = "rest_ms")]
    pub remaining_ms: u32,
}

/// What an answer tells a holder with an instance name in addition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct InstanceGrant {
    /// The newest token of the table, as of the answer.
    #[serde(rename = "newest")]
    pub newest_token: Token,
    /// Present if the slot was handed off to this instance and no unknown grant has ended in between.
    #[serde(rename = "inherited")]
    pub succession: Option<Succession>,
}

/// The result of a request that was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Granted.
    Granted(Token, GrantPosition),
    /// Renewed.
    Renewed(Token, GrantPosition),
    /// Released.
    Released,
    /// Rejected.
    #[serde(rename = "Unable")]
    Rejected(Rejection),
    /// Granted to or renewed by a holder with an instance name.
    #[serde(rename = "Seat")]
    HeldByInstance(Token, GrantPosition, InstanceGrant),
    /// The slot is reserved for the next holder of the instance.
    #[serde(rename = "Left")]
    HandedOff,
}

/// A message from a replica to a holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// The answer to a request. It names the holder, since several may share a connection.
    Answer {
        /// Who sent the request.
        holder: HolderId,
        /// The sequence number of the request.
        seq: u64,
        /// The result.
        answer: Answer,
    },
    /// This replica does not lead; the leader, if it knows one.
    NotLeader(Option<ReplicaId>),
    /// The request can't be accepted now and is to be retried later.
    Busy,
}

impl Response {
    /// The answer to the given request, if this is one.
    pub fn answer_to(&self, to_holder: HolderId, to_seq: u64) -> Option<Answer> {
        match self {
            Response::Answer { holder, seq, answer } if (*holder, *seq) == (to_holder, to_seq) => {
                Some(*answer)
            }
            _ => None,
        }
    }
}
