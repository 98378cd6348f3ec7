//! What the log says, and what is answered.

use std::collections::BTreeSet;
use std::sync::Arc;

use beechloft_leases::Token;
use serde::{Deserialize, Serialize};

use super::names::*;
use super::request::Request;
use crate::plan::inventory::{BoxLine, RackLine};

/// What an operator allows a customer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Bytes of all copies of all its shards.
    pub bytes: u64,
    /// Regions that it may name.
    pub regions: BTreeSet<Region>,
    /// Changes an hour, by the log's clock.
    pub changes_an_hour: u32,
    /// Shards.
    pub shards: u32,
}

/// How copies are handled, the same at every holder of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// How long sessions may go on at a copy that is to go, milliseconds.
    pub grace_ms: u64,
    /// Copies that a box reads or writes at once.
    pub box_copies: u16,
    /// What one copy is paced to, kB a second.
    pub copy_kb_s: u64,
    /// What copies may take of a rack's uplink at once, in parts of a hundred: the rest is for viewers.
    pub uplink_percent: u8,
    /// A region is lost once all its boxes have been for so long, milliseconds.
    pub lend_after_ms: u64,
    /// A lend ends once its region's copies have served again for so long, milliseconds.
    pub back_after_ms: u64,
    /// A copy at a lost box is made elsewhere in its region after so long, milliseconds.
    pub replace_after_ms: u64,
    /// Tries of a copy at one box.
    pub tries: u8,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            grace_ms: 600_000,
            box_copies: 2,
            copy_kb_s: 20_000,
            uplink_percent: 25,
            lend_after_ms: 60_000,
            back_after_ms: 120_000,
            replace_after_ms: 300_000,
            tries: 4,
        }
    }
}

/// What operators say.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Operate {
    /// A region is these zones. Versions that were admitted go on by what it was then.
    Region(Region, BTreeSet<Zone>),
    /// A box is so. One that holds copies stays in its zone and rack.
    Box(BoxId, BoxLine),
    /// A box is gone for good, and its disk with it.
    Scrap(BoxId),
    /// A rack is so.
    Rack(RackId, RackLine),
    /// A customer may have so much; what it has already stays.
    Quota(Customer, Quota),
    /// The rules from now on.
    Rules(Rules),
}

/// A change by a customer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Whose, and which.
    pub shard: ShardId,
    /// Sent again it has the same key, and is done once.
    pub key: Key,
    /// The version that it is based on; none: there is none yet.
    pub if_match: Option<Version>,
    /// What.
    pub what: What,
}

/// What a customer wants.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum What {
    /// The shard pinned so.
    Put(Arc<Request>),
    /// It pinned no more, and its copies gone.
    Remove,
}

/// Why a copy failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Failure {
    /// The box has no room, whatever its line says.
    Full,
    /// What it read from could not be read.
    Source,
    /// It stopped half-way.
    Broken,
    /// It has nothing of it.
    Missing,
    /// It was not done in time.
    Late,
}

/// Where a copy is read from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Source {
    /// Where the customer's content came in.
    Origin,
    /// A verified copy.
    Box(BoxId),
}

/// A step of the work, done by the holder of the lease. Each says what it expects to find, and does nothing if that is not so.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Step {
    /// The log's clock stands there, milliseconds. It never goes back, and never runs ahead of true time by more than the drift.
    Clock(u64),
    /// A box is there, in this life, with this disk.
    Met {
        /// Which.
        id: BoxId,
        /// Its process.
        life: Life,
        /// Its disk.
        disk: DiskId,
        /// The number of the presence that it was told of before it said so: it replaces that and no other.
        told: Order,
    },
    /// A box that was met in this life is out of reach.
    Lost {
        /// Which.
        id: BoxId,
        /// The life that was lost.
        life: Life,
    },
    /// A request that is held is looked at again.
    Admit(AskId),
    /// A copy is begun.
    Begin {
        /// Of which shard.
        shard: ShardId,
        /// Where.
        at: BoxId,
        /// From where.
        from: Source,
    },
    /// What was written or found there has this digest.
    Read {
        /// Of which shard.
        shard: ShardId,
        /// Where.
        at: BoxId,
        /// By which order.
        order: Order,
        /// What was read.
        digest: Digest,
    },
    /// It failed.
    Failed {
        /// Of which shard.
        shard: ShardId,
        /// Where.
        at: BoxId,
        /// By which order.
        order: Order,
        /// Why.
        why: Failure,
    },
    /// The box plays it from now on, and fronts are told.
    Serve {
        /// Of which shard.
        shard: ShardId,
        /// Where.
        at: BoxId,
        /// By which order.
        order: Order,
    },
    /// A copy that was there before its box was lost is checked.
    Recheck {
        /// Of which shard.
        shard: ShardId,
        /// Where.
        at: BoxId,
    },
    /// A box has something of a shard that it is not to have.
    Stray {
        /// Of which shard.
        shard: ShardId,
        /// Where.
        at: BoxId,
    },
    /// Copies that the version does not want are offered no more.
    Narrow(ShardId),
    /// All fronts know that, or have lost their right: the copy's box takes no more sessions of it.
    Drain {
        /// Of which shard.
        shard: ShardId,
        /// Where.
        at: BoxId,
    },
    /// It is deleted: nothing plays there, or the grace is over.
    Delete {
        /// Of which shard.
        shard: ShardId,
        /// Where.
        at: BoxId,
        /// By this order its box was told to drain. Whoever proposes this has heard from it that nothing plays, or has counted the grace
        /// since it saw that order in the state.
        order: Order,
    },
    /// It is gone.
    Gone {
        /// Of which shard.
        shard: ShardId,
        /// Where.
        at: BoxId,
        /// By which order.
        order: Order,
    },
    /// Copies that can't be had where they were to be are placed elsewhere in their region.
    Replace(ShardId),
    /// A lost region's copies are made elsewhere.
    Lend(ShardId, Region),
    /// They are wanted there no more.
    Unlend(ShardId, Region),
    /// Versions before the latest are over: nothing lies any more where only they allowed it.
    Over(ShardId),
}

/// What a front says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renew {
    /// Who.
    pub front: FrontId,
    /// Its request's number.
    pub seq: u64,
    /// All records up to here are in its view, and it goes by nothing older any more. None: it is going, and places nothing.
    pub has: Option<Revision>,
    /// For how long it asks, milliseconds.
    pub ttl_ms: u32,
}

/// What the log says.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// An operator's word.
    Operate(Operate),
    /// A customer's change.
    Change(Change),
    /// A step of the work, under the token of the lease.
    Step(Token, Step),
    /// A front asks for the right to place.
    Renew(Renew),
    /// A front's right has run out, if it was not renewed since.
    Expire {
        /// Whose.
        front: FrontId,
        /// How often it had been renewed.
        renewals: u64,
    },
}
