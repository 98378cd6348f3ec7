//! What the worker and boxes say to each other.

use serde::{Deserialize, Serialize};

use super::commands::{Failure, Source};
use super::names::*;
use super::shard::Titles;

/// To a box.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Tell {
    /// Who it is, and what it holds. The number is that of its presence in the state: from then on it takes no order up to it.
    Look(Order),
    /// An order.
    Do {
        /// For the box in this life.
        life: Life,
        /// Its number.
        order: Order,
        /// Of which shard.
        shard: ShardId,
        /// What.
        what: Do,
    },
}

/// An order. Given again it is done once, and its outcome said again.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Do {
    /// Write a copy, and read what was written.
    Copy {
        /// From where.
        from: Source,
        /// Its size.
        bytes: u64,
        /// No faster than this, kB a second.
        kb_s: u64,
    },
    /// Read what is there.
    Check,
    /// Play these titles of it from now on.
    Arm(Titles),
    /// Take no more sessions of it; what plays goes on.
    Drain,
    /// Delete it, and end what may still play.
    Delete,
}

/// From a box.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Said {
    /// Who it is, and what it holds.
    Here {
        /// Its process.
        life: Life,
        /// Its disk.
        disk: DiskId,
        /// All shards of which it has anything, by what it says.
        holds: Vec<ShardId>,
        /// The highest number of its presence that it was told in this life.
        told: Order,
    },
    /// How an order stands.
    Of {
        /// Of which shard.
        shard: ShardId,
        /// Which.
        order: Order,
        /// How.
        news: News,
    },
}

/// How an order stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum News {
    /// It is being done.
    Under,
    /// What is there has this digest, computed from what is on disk.
    Read(Digest),
    /// It failed.
    Failed(Failure),
    /// It is played.
    Armed,
    /// It takes no more sessions, and so many play.
    Drained(u32),
    /// It is gone.
    Gone,
    /// A later order of this shard was seen.
    Old,
}
