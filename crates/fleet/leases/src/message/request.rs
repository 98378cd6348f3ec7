//! Requests of holders and commands of the replicated log.

use serde::{Deserialize, Serialize};

use super::{HolderId, Token};
use crate::name::Name;

/// Operation on the lease of one task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// Acquires the lease.
    Acquire {
        /// Name of the task.
        name: Name,
        /// Maximum number of concurrent holders.
        #[serde(rename = "places")]
        slots: u16,
        /// Time to live of the grant, in milliseconds.
        ttl_ms: u32,
    },
    /// Renews a grant for its time to live.
    Renew {
        /// Name of the task.
        name: Name,
        /// Token of the grant.
        token: Token,
    },
    /// Releases a grant.
    Release {
        /// Name of the task.
        name: Name,
        /// Token of the grant.
        token: Token,
    },
    /// Acquires the lease as a named instance. The new grant takes over the slot that was handed off to the instance, if there
    /// is one.
    AcquireAs {
        /// Name of the task.
        name: Name,
        /// Maximum number of concurrent holders.
        #[serde(rename = "places")]
        slots: u16,
        /// Time to live of the grant, in milliseconds.
        ttl_ms: u32,
        /// Name of the instance.
        #[serde(rename = "seat")]
        instance: Name,
    },
    /// Hands the slot off to the next holder of the same instance. All use of the grant must have stopped permanently.
    #[serde(rename = "Leave")]
    HandOff {
        /// Name of the task.
        name: Name,
        /// Token of the grant.
        token: Token,
        /// State that the successor needs.
        #[serde(rename = "will")]
        handoff: Handoff,
    },
}

/// State that a holder passes to its successor together with its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handoff {
    /// Slot count that the holder used last.
    #[serde(rename = "of")]
    pub slot_count: u32,
    /// Time in milliseconds for which the holder's use of the slot still counts.
    #[serde(rename = "rest_ms")]
    pub remaining_ms: u32,
    /// Newest token of the table that the holder knew, as of its last grant or renewal.
    #[serde(rename = "newest")]
    pub newest_token: Token,
    /// Time in milliseconds for which the slot is reserved.
    #[serde(rename = "keep_ms")]
    pub reserve_ms: u32,
}

/// Request of a holder. A retransmission has the same sequence number and is applied only once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Holder that sent the request.
    pub holder: HolderId,
    /// Sequence number, which increases with each new request of a holder.
    pub seq: u64,
    /// Requested operation.
    pub op: Op,
}

/// Command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Applies the request of a holder.
    Request(Request),
    /// Expires a grant, unless it was renewed after the expiry was proposed.
    Expire {
        /// Token of the grant.
        token: Token,
        /// Number of renewals of the grant when its time to live elapsed.
        renewals: u64,
    },
}
