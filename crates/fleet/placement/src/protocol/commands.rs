//! Commands of the replicated log.

use std::collections::BTreeSet;
use std::sync::Arc;

use beechloft_leases::Token;
use serde::{Deserialize, Serialize};

use super::names::{
    Customer, CustomerRequestId, Digest, DiskId, FrontId, Incarnation, Key, OrderId, RackId, Region,
    Revision, ServerId, ShardId, Version, Zone,
};
use super::request::Request;
use crate::plan::inventory::{RackInfo, ServerInfo};

/// Limits that an operator sets for a customer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Maximum number of bytes of all copies of all the customer's shards.
    pub bytes: u64,
    /// Regions that the customer may use.
    pub regions: BTreeSet<Region>,
    /// Maximum number of changes per hour of the log's clock.
    pub changes_an_hour: u32,
    /// Maximum number of shards.
    pub shards: u32,
}

/// Rules for the handling of copies. They are replicated, so that every holder of the lease applies the same ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Time for which sessions may continue at a copy that is to be deleted, in milliseconds.
    pub grace_ms: u64,
    /// Maximum number of copies that a media server reads or writes at once.
    #[serde(rename = "box_copies")]
    pub server_transfers: u16,
    /// Maximum rate of the transfer of one copy, in kB per second.
    pub copy_kb_s: u64,
    /// Percentage of a rack's uplink that transfers of copies may use at once. The rest is reserved for viewers.
    pub uplink_percent: u8,
    /// A region counts as lost once all its media servers have been unreachable for this time, in milliseconds.
    #[serde(rename = "lend_after_ms")]
    pub failover_after_ms: u64,
    /// A failover ends once the copies of its region have served again for this time, in milliseconds.
    #[serde(rename = "back_after_ms")]
    pub failback_after_ms: u64,
    /// A copy on an unreachable media server is replaced in its region after this time, in milliseconds.
    pub replace_after_ms: u64,
    /// Maximum number of attempts to make a copy on one media server.
    #[serde(rename = "tries")]
    pub max_attempts: u8,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            grace_ms: 600_000,
            server_transfers: 2,
            copy_kb_s: 20_000,
            uplink_percent: 25,
            failover_after_ms: 60_000,
            failback_after_ms: 120_000,
            replace_after_ms: 300_000,
            max_attempts: 4,
        }
    }
}

/// A command of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// Sets the zones of a region. Versions that are already admitted keep the zones of their admission.
    Region(Region, BTreeSet<Zone>),
    /// Sets the zone, rack and capacity of a media server. One that has copies can't change its zone or rack.
    Server(ServerId, ServerInfo),
    /// Removes a media server whose disk is lost for good.
    Decommission(ServerId),
    /// Sets the capacity of a rack's uplink.
    Rack(RackId, RackInfo),
    /// Sets the quota of a customer. Shards that are already pinned stay.
    Quota(Customer, Quota),
    /// Replaces the rules.
    Rules(Rules),
}

/// A change that a customer requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The shard and its customer.
    pub shard: ShardId,
    /// Idempotency key: a retry carries the same key and is applied once.
    pub key: Key,
    /// Version that the change is based on, or `None` if the shard must not exist yet.
    pub if_match: Option<Version>,
    /// The requested change.
    pub kind: ChangeKind,
}

/// The kind of a customer's change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeKind {
    /// Pins the shard as requested.
    Put(Arc<Request>),
    /// Removes the shard and its copies.
    Remove,
}

/// The reason why a copy failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Failure {
    /// The media server is out of space, whatever the inventory says.
    Full,
    /// The source of the copy could not be read.
    Source,
    /// The transfer stopped before it was complete.
    Interrupted,
    /// The media server has nothing of the copy.
    Missing,
    /// The copy was not complete in time.
    TimedOut,
}

/// The source that a copy is read from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Source {
    /// The origin, which holds the customer's content.
    Origin,
    /// A verified copy on another media server.
    Server(ServerId),
}

/// A step of the worker, proposed by the holder of the lease. Each step states its precondition and has no effect if
/// the precondition does not hold.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Step {
    /// Advances the log's clock to this time, in milliseconds. The clock never goes backwards, and never runs ahead of
    /// true time by more than the clock drift.
    Clock(u64),
    /// A media server is reachable, with this incarnation and disk.
    ServerUp {
        /// The media server.
        id: ServerId,
        /// The incarnation of its process.
        incarnation: Incarnation,
        /// Its disk.
        disk: DiskId,
        /// Number of the presence that the media server knew when it reported. The step replaces that presence and no
        /// other.
        presence: OrderId,
    },
    /// A media server with this incarnation is unreachable.
    ServerLost {
        /// The media server.
        id: ServerId,
        /// The incarnation that became unreachable.
        incarnation: Incarnation,
    },
    /// Retries the admission of a waiting request.
    Admit(CustomerRequestId),
    /// Starts a copy.
    BeginCopy {
        /// The shard.
        shard: ShardId,
        /// The media server that receives the copy.
        at: ServerId,
        /// The source of the copy.
        from: Source,
    },
    /// Records the digest of the content that a media server read from its disk.
    CopyRead {
        /// The shard.
        shard: ShardId,
        /// The media server.
        at: ServerId,
        /// The order that the report answers.
        order: OrderId,
        /// The digest of the content on disk.
        digest: Digest,
    },
    /// Records that a copy failed.
    CopyFailed {
        /// The shard.
        shard: ShardId,
        /// The media server.
        at: ServerId,
        /// The order that the report answers.
        order: OrderId,
        /// The reason.
        why: Failure,
    },
    /// Offers a copy to fronts, after its media server has started to serve it.
    Serve {
        /// The shard.
        shard: ShardId,
        /// The media server.
        at: ServerId,
        /// The order that the report answers.
        order: OrderId,
    },
    /// Checks the content of a copy that was on the disk before its media server became unreachable.
    Recheck {
        /// The shard.
        shard: ShardId,
        /// The media server.
        at: ServerId,
    },
    /// Records that a media server has data of a shard that should not be there.
    Orphan {
        /// The shard.
        shard: ShardId,
        /// The media server.
        at: ServerId,
    },
    /// Withdraws the copies that the latest version does not want.
    Withdraw(ShardId),
    /// Drains a withdrawn copy, once all fronts know of the withdrawal or have lost their lease. Its media server
    /// accepts no further sessions of it.
    Drain {
        /// The shard.
        shard: ShardId,
        /// The media server.
        at: ServerId,
    },
    /// Deletes a drained copy, once it has no session or the grace period is over.
    Delete {
        /// The shard.
        shard: ShardId,
        /// The media server.
        at: ServerId,
        /// The order to drain. The proposer has either received a report that no session is left, or has counted the
        /// grace period from when it saw this order in the state.
        order: OrderId,
    },
    /// Records that a copy has been deleted.
    Deleted {
        /// The shard.
        shard: ShardId,
        /// The media server.
        at: ServerId,
        /// The order to delete.
        order: OrderId,
    },
    /// Replaces copies that can't be made on their media servers by others in the same region.
    Replace(ShardId),
    /// Makes the copies of a lost region in another region.
    FailOver(ShardId, Region),
    /// Ends the failover of a region.
    FailBack(ShardId, Region),
    /// Retires the versions before the latest, once no copy is left that only they allowed.
    RetireVersions(ShardId),
}

/// A front's request for a placement lease, or for its renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renew {
    /// The front.
    pub front: FrontId,
    /// Number of the request.
    pub seq: u64,
    /// The front's view contains all records up to this one, and the front uses no older ones. `None` if the front is
    /// stopping and places nothing any more.
    pub revision: Option<Revision>,
    /// Requested duration of the lease, in milliseconds.
    pub ttl_ms: u32,
}

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A command of an operator.
    Operator(OperatorCommand),
    /// A change by a customer.
    Change(Change),
    /// A step of the worker, with the fencing token of its lease.
    Step(Token, Step),
    /// A front requests or renews its placement lease.
    Renew(Renew),
    /// A front's lease has expired, unless it has been renewed since.
    Expire {
        /// The front.
        front: FrontId,
        /// Number of renewals that the leader knew when the lease expired.
        renewals: u64,
    },
}
