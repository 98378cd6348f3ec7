//! What became of a command, and what others are told.

use std::collections::BTreeSet;

use beechloft_leases::Token;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::names::*;
use super::shard::Titles;
use crate::plan::nearest::NoRoom;

/// Why a request is refused or held. Each says what to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Nobody has given this customer anything.
    #[error("customer {0} has no quota; an operator gives one")]
    NoQuota(Customer),
    /// A region that there is not, or that it may not name.
    #[error("region {0} is none that this customer may name")]
    Region(Region),
    /// Two regions that share a zone.
    #[error("regions {0} and {1} share zone {2}; name one of them")]
    Shared(Region, Region, Zone),
    /// Over its bytes.
    #[error(
        "its copies would take {would} bytes in all, and its quota is {quota}; {fits} bytes more would fit"
    )]
    Bytes {
        /// What all would take.
        would: u64,
        /// What it may have.
        quota: u64,
        /// What is left.
        fits: u64,
    },
    /// Too many shards.
    #[error("it has {0} shards, as many as it may have; remove one")]
    Shards(u32),
    /// Too many changes.
    #[error("it has made {made} changes within an hour, as many as it may; the next in {wait_ms} ms")]
    Changes {
        /// Within the last hour.
        made: u32,
        /// Until the next.
        wait_ms: u64,
    },
    /// Another version is in force.
    #[error("its version is {is}, and the change is based on another; read it and ask again")]
    Version {
        /// The latest; nought: there is none.
        is: u64,
    },
    /// It is being removed.
    #[error("it is being removed; ask again once it is gone")]
    Removing,
    /// A shard's content does not change.
    #[error("{0} of a shard never changes; pin the new content as another shard")]
    Fixed(String),
    /// Its titles lie in another shard of its own.
    #[error("{what} lies in shard {shard} already")]
    Overlap {
        /// What both have.
        what: String,
        /// Which has it.
        shard: ShardName,
    },
    /// The same key for something else.
    #[error("this key was used for another request; draw a new one")]
    KeyReused,
    /// No room.
    #[error("{0}")]
    NoRoom(NoRoom),
    /// It makes no sense by itself.
    #[error("{0}")]
    Senseless(String),
    /// A later one has taken its place while it was held.
    #[error("a later request took its place while it waited")]
    Superseded,
    /// There are as many as there may be.
    #[error("there are as many shards, customers or requests as there may be")]
    TooMany,
}

/// What became of a customer's request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is this version of its shard.
    Admitted(Version),
    /// It waits for room.
    Held(Reason),
    /// It is refused.
    Refused(Reason),
}

/// Why a word of an operator's can't be taken.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum Unfit {
    /// A region without zones.
    #[error("a region needs 1 to 256 zones")]
    NoZones,
    /// Boxes of one rack in two zones.
    #[error("rack {rack} has boxes in zone {0} already; a rack lies in one zone", rack = .1.0)]
    RackZone(Zone, RackId),
    /// A box that holds copies is moved.
    #[error("it holds copies; drain it, or scrap it, before it is moved")]
    Moved,
    /// A box that is up is scrapped.
    #[error("it is up; stop it first")]
    Up,
    /// Rules that can't hold.
    #[error("rules: {0}")]
    Rules(String),
    /// There are as many as there may be.
    #[error("there are as many as there may be")]
    TooMany,
}

/// What a front's word is answered with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Renewed {
    /// It may place for as long as it asked, counted from before it asked.
    Right,
    /// Not with a view as old as that: it needs all records up to this one.
    Behind(Revision),
    /// Not with this time, or there are too many fronts.
    Unable,
    /// It has no right any more, as it said.
    Released,
}

/// What became of a command, for who gave it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Taken.
    Done,
    /// What it expected is not so; nothing was done.
    Nothing,
    /// A higher token has been seen: whoever asks holds the lease no more.
    Stale(Token),
    /// To an operator.
    Unfit(Unfit),
    /// To a customer: its number, and what became of it.
    Asked(AskId, Outcome),
    /// To a front.
    Front {
        /// Whose.
        front: FrontId,
        /// Of which request.
        seq: u64,
        /// What.
        renewed: Renewed,
    },
}

/// What fronts are told of a shard: the latest counts, by its revision.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Its number among all records.
    pub revision: Revision,
    /// The version that is aimed at.
    pub version: Version,
    /// Its titles.
    pub titles: Titles,
    /// Boxes that play it.
    pub boxes: BTreeSet<BoxId>,
    /// Those of them in its home region, if it is to be played there first.
    pub home: BTreeSet<BoxId>,
    /// Told without delay: something is offered no more.
    pub narrows: bool,
}

/// What has changed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// For the topic: the shard's record; none: it is pinned no more.
    Published {
        /// Its number.
        revision: Revision,
        /// Which.
        shard: ShardId,
        /// What.
        record: Option<Record>,
    },
    /// A right was given or renewed.
    Right {
        /// Whose.
        front: FrontId,
        /// For how long, milliseconds.
        ttl_ms: u32,
        /// How often it has been renewed.
        renewals: u64,
    },
    /// A right is over.
    RightOver(FrontId),
    /// A copy's state has changed.
    Copy {
        /// Of which shard.
        shard: ShardId,
        /// Where.
        at: BoxId,
        /// To what; none: it is gone.
        to: Option<&'static str>,
    },
    /// A shard's versions before the latest are over.
    Over(ShardId, Version),
}
