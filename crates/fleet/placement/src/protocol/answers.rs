//! Answers to commands, records for fronts, and events of the state.

use std::collections::BTreeSet;

use beechloft_leases::Token;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::names::{
    Customer, CustomerRequestId, FrontId, RackId, Region, Revision, ServerId, ShardId, ShardName, Version,
    Zone,
};
use super::shard::Titles;
use crate::plan::shortage::Shortage;

/// The reason why a request is refused or has to wait. The message names a remedy.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The customer has no quota.
    #[error("customer {0} has no quota; ask an operator for one")]
    NoQuota(Customer),
    /// The region does not exist, or the customer may not use it.
    #[error("region {0} does not exist or is not in the quota of the customer")]
    Region(Region),
    /// Two requested regions share a zone.
    #[error("regions {0} and {1} share zone {2}; name only one of them")]
    #[serde(rename = "shared")]
    SharedZone(Region, Region, Zone),
    /// The copies exceed the customer's quota of bytes.
    #[error(
        "copies would take {would} bytes in total, but the quota is {quota}; {fits} more bytes would fit"
    )]
    Bytes {
        /// Bytes of all copies if the request were admitted.
        would: u64,
        /// The customer's quota in bytes.
        quota: u64,
        /// Bytes that are left of the quota.
        fits: u64,
    },
    /// The customer has as many shards as its quota allows.
    #[error("customer has {0} shards, as many as its quota allows; remove one")]
    Shards(u32),
    /// The customer has made as many changes as its quota allows.
    #[error(
        "customer has made {made} changes within an hour, as many as its quota allows; retry in {wait_ms} ms"
    )]
    Changes {
        /// Changes within the last hour.
        made: u32,
        /// Time until the next change is allowed, in milliseconds.
        wait_ms: u64,
    },
    /// The change is based on a version that is not the latest.
    #[error("latest version is {is}, but the change is based on another; read the shard and retry")]
    Version {
        /// The latest version, or 0 if the shard does not exist.
        is: u64,
    },
    /// The shard is being removed.
    #[error("shard is being removed; retry once it is gone")]
    Removing,
    /// The request changes a property of the shard that can't change.
    #[error("{0} of a shard can't change; pin the new content as another shard")]
    #[serde(rename = "fixed")]
    Immutable(String),
    /// Another shard of the customer contains some of the titles.
    #[error("{what} is already in shard {shard}")]
    Overlap {
        /// The titles or hashes that both shards contain.
        what: String,
        /// The other shard.
        shard: ShardName,
    },
    /// The key was used for a different request.
    #[error("key was used for a different request; use a new key")]
    KeyReused,
    /// There is not enough capacity.
    #[error("{0}")]
    #[serde(rename = "no_room")]
    InsufficientCapacity(Shortage),
    /// The request is invalid by itself.
    #[error("{0}")]
    #[serde(rename = "senseless")]
    Invalid(String),
    /// A later request for the same shard replaced this one while it waited.
    #[error("a later request replaced this one while it waited")]
    Superseded,
    /// The maximum number of shards, customers or requests is reached.
    #[error("maximum number of shards, customers or requests is reached")]
    TooMany,
}

/// The outcome of a customer's request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request is admitted as this version of its shard.
    Admitted(Version),
    /// The request waits for capacity.
    #[serde(rename = "held")]
    Waiting(Reason),
    /// The request is refused.
    Refused(Reason),
}

/// The reason why an operator's command is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum OperatorError {
    /// A region has no zones or too many.
    #[error("a region needs 1 to 256 zones")]
    NoZones,
    /// Media servers of one rack would be in two zones.
    #[error("rack {rack} already has media servers in zone {0}, and a rack is in one zone only", rack = .1.0)]
    RackZone(Zone, RackId),
    /// A media server with copies would change its zone or rack.
    #[error("media server has copies; drain or scrap it before it is moved")]
    ServerHasCopies,
    /// A media server that is reachable would be decommissioned.
    #[error("media server is reachable; stop it first")]
    ServerUp,
    /// The rules are invalid.
    #[error("rules: {0}")]
    Rules(String),
    /// The maximum number of items is reached.
    #[error("maximum number of items is reached")]
    TooMany,
}

/// The outcome of a front's request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RenewOutcome {
    /// The lease is granted for the requested duration, counted from before the request was sent.
    Granted,
    /// The front's view is too old: it has to contain all records up to this one.
    Behind(Revision),
    /// The requested duration is out of range, or there are too many fronts.
    Refused,
    /// The front has released its lease.
    Released,
}

/// The answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// The command was applied.
    Done,
    /// The precondition of the command does not hold, and nothing was done.
    NotApplicable,
    /// A higher fencing token has been seen: the sender no longer holds the lease.
    StaleToken(Token),
    /// The operator's command is rejected.
    Rejected(OperatorError),
    /// The number and the outcome of a customer's request.
    Request(CustomerRequestId, Outcome),
    /// The answer to a front.
    Front {
        /// The front.
        front: FrontId,
        /// Number of the front's request.
        seq: u64,
        /// The outcome of the request.
        outcome: RenewOutcome,
    },
}

/// The description of a shard for fronts. The record with the highest revision counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Number of the record among all records.
    pub revision: Revision,
    /// The latest version of the shard.
    pub version: Version,
    /// Titles of the shard.
    pub titles: Titles,
    /// Media servers that serve the shard.
    pub servers: BTreeSet<ServerId>,
    /// The media servers of `servers` that are in the home region. Empty if no region is preferred.
    pub home: BTreeSet<ServerId>,
    /// Whether the record withdraws a media server, so that fronts have to acknowledge it without delay.
    pub withdraws: bool,
}

/// A change of the state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// A shard's record has changed and is to be published to the topic.
    Published {
        /// Number of the record.
        revision: Revision,
        /// The shard.
        shard: ShardId,
        /// The record, or `None` if the shard is no longer pinned.
        record: Option<Record>,
    },
    /// A front's lease was granted or renewed.
    LeaseGranted {
        /// The front.
        front: FrontId,
        /// Duration of the lease, in milliseconds.
        ttl_ms: u32,
        /// Number of renewals so far.
        renewals: u64,
    },
    /// A front's lease has ended.
    LeaseEnded(FrontId),
    /// The state of a copy has changed.
    Copy {
        /// The shard.
        shard: ShardId,
        /// The media server.
        at: ServerId,
        /// Name of the new state, or `None` if the copy was removed.
        to: Option<&'static str>,
    },
    /// The versions of a shard before this one are retired.
    VersionsRetired(ShardId, Version),
}
