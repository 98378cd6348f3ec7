//! Requests of holders, and the commands that the log carries.

use serde::{Deserialize, Serialize};

use super::{HolderId, Token};
use crate::name::Name;

/// An operation on one task's lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// Acquires the lease.
    Acquire {
        /// The task.
        name: Name,
        /// Maximum number of concurrent holders.
        #[serde(rename = "places")]
        slots: u16,
        /// Time to live of the grant, milliseconds.
        ttl_ms: u32,
    },
    /// Renews a grant for its time to live.
    Renew {
        /// The task.
        name: Name,
        /// The grant.
        token: Token,
    },
    /// Releases a grant.
    Release {
        /// The task.
        name: Name,
        /// The grant.
        token: Token,
    },
    /// Acquires the lease as a named instance: takes over the slot that was handed off to the instance, if there is one.
    AcquireAs {
        /// The task.
        name: Name,
        /// Maximum number of concurrent holders.
        #[serde(rename = "places")]
        slots: u16,
        /// Time to live of the grant, milliseconds.
        ttl_ms: u32,
        /// The instance.
        #[serde(rename = "seat")]
        instance: Name,
    },
    /// Hands the slot off to the next holder of the same instance. Whoever used the grant must have stopped for good.
    #[serde(rename = "Leave")]
    HandOff {
        /// The task.
        name: Name,
        /// The grant.
        token: Token,
        /// What the successor needs to know.
        #[serde(rename = "will")]
        handoff: Handoff,
    },
}

/// What a holder that ends hands off with its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handoff {
    /// The slot count that it last used.
    #[serde(rename = "of")]
    pub slot_count: u32,
    /// For how long its use of the slot still counts, milliseconds.
    #[serde(rename = "rest_ms")]
    pub remaining_ms: u32,
    /// The newest token of the table that it knew of, from when it was last granted or renewed.
    #[serde(rename = "newest")]
    pub newest_token: Token,
    /// For how long the slot is reserved, milliseconds.
    #[serde(rename = "keep_ms")]
    pub reserve_ms: u32,
}

/// A request. A retransmission has the same sequence number and is applied once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Who sent it.
    pub holder: HolderId,
    /// Its sequence number, which increases with each request of a holder.
    pub seq: u64,
    /// The operation.
    pub op: Op,
}

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A holder's request.
    Request(Request),
    /// Expires a grant, unless it was renewed since.
    Expire {
        /// The grant.
        token: Token,
        /// The number of renewals when its time to live had passed.
        renewals: u64,
    },
}
