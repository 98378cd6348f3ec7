//! Messages between the worker and media servers.

use serde::{Deserialize, Serialize};

use super::commands::{Failure, Source};
use super::names::{Digest, DiskId, Incarnation, OrderId, ShardId};
use super::shard::Titles;

/// A message to a media server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ServerRequest {
    /// Requests the media server's status. The number is that of its presence in the state. From then on the media
    /// server accepts no order up to that number.
    GetStatus(OrderId),
    /// Gives an order.
    Execute {
        /// The incarnation that the order is for.
        incarnation: Incarnation,
        /// Number of the order.
        order: OrderId,
        /// The shard.
        shard: ShardId,
        /// The action to take.
        action: OrderAction,
    },
}

/// The action of an order. A repeated order is executed once, and its status is reported again.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OrderAction {
    /// Writes a copy, then reads it back.
    Copy {
        /// The source of the copy.
        from: Source,
        /// Size of the copy in bytes.
        bytes: u64,
        /// Maximum rate of the transfer, in kB per second.
        kb_s: u64,
    },
    /// Reads the copy that is on disk.
    Check,
    /// Serves these titles of the shard from now on.
    Serve(Titles),
    /// Accepts no further sessions of the shard. Existing sessions continue.
    Drain,
    /// Deletes the copy, and ends the sessions that are left.
    Delete,
}

/// A message from a media server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ServerReport {
    /// The status of the media server.
    Status {
        /// The incarnation of its process.
        incarnation: Incarnation,
        /// Its disk.
        disk: DiskId,
        /// All shards of which the media server reports any data.
        shards: Vec<ShardId>,
        /// Highest number of its presence that this incarnation has received.
        presence: OrderId,
    },
    /// The status of an order.
    Order {
        /// The shard.
        shard: ShardId,
        /// Number of the order.
        order: OrderId,
        /// The status.
        status: OrderStatus,
    },
}

/// The status of an order at a media server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OrderStatus {
    /// The order is being executed.
    InProgress,
    /// The content on disk has this digest.
    Read(Digest),
    /// The order failed.
    Failed(Failure),
    /// The shard is being served.
    Serving,
    /// The shard accepts no further sessions, and this number of sessions is left.
    Drained(u32),
    /// The copy is deleted.
    Deleted,
    /// The media server has seen a later order of this shard.
    Superseded,
}
