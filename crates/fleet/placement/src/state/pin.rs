//! A pinned shard, and its copies.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::words::answers::Record;
use crate::words::commands::Rules;
use crate::words::names::*;
use crate::words::request::{Request, Room};

/// Where a copy is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CopyState {
    /// Its room is taken; nothing is there.
    Reserved,
    /// It is being written.
    Copying {
        /// By this order.
        order: Order,
        /// From this box, in this rack; none: from the origin.
        from: Option<(BoxId, RackId)>,
    },
    /// What was there when its box was lost is read anew.
    Checking {
        /// By this order.
        order: Order,
    },
    /// It was read, and its digest is right. Its box is being told to play it.
    Checked {
        /// By this order.
        order: Order,
    },
    /// It is offered to fronts.
    Serving,
    /// Its box was lost, or has another life: what is there must be checked before it counts.
    Unchecked,
    /// It is offered no more by this revision, once every front has it.
    Narrowing {
        /// The record without it.
        at: Revision,
    },
    /// No front offers it, and its box takes no more sessions of it; what plays may end.
    Draining {
        /// Its box is told by this order.
        order: Order,
    },
    /// Its box is told to delete it.
    Deleting {
        /// By this order.
        order: Order,
    },
}

impl CopyState {
    /// Its name.
    pub fn name(&self) -> &'static str {
        match self {
            CopyState::Reserved => "reserved",
            CopyState::Copying { .. } => "copying",
            CopyState::Checking { .. } => "checking",
            CopyState::Checked { .. } => "checked",
            CopyState::Serving => "serving",
            CopyState::Unchecked => "unchecked",
            CopyState::Narrowing { .. } => "narrowing",
            CopyState::Draining { .. } => "draining",
            CopyState::Deleting { .. } => "deleting",
        }
    }

    /// Whether it has been read and found right, in this life of its box.
    pub fn is_verified(&self) -> bool {
        matches!(self, CopyState::Checked { .. } | CopyState::Serving)
    }

    /// Whether fronts may offer it.
    pub fn is_offered(&self) -> bool {
        matches!(self, CopyState::Serving)
    }

    /// Whether it is on its way out for good.
    pub fn is_going(&self) -> bool {
        matches!(self, CopyState::Draining { .. } | CopyState::Deleting { .. })
    }

    /// Whether it takes of the pace.
    pub fn is_moving(&self) -> bool {
        matches!(self, CopyState::Copying { .. } | CopyState::Checking { .. })
    }
}

/// A copy of a shard at a box.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Copy {
    /// The region that it counts for.
    pub region: Region,
    /// The zone that it lies in.
    pub zone: Zone,
    /// The rack whose uplink it has room of.
    pub rack: RackId,
    /// The room that it has.
    pub room: Room,
    /// Where it is in its life.
    pub state: CopyState,
    /// Since when, by the log's clock.
    pub since: u64,
    /// The latest version wants it.
    pub wanted: bool,
    /// Something may have been written for it to the disk that its box has now.
    pub touched: bool,
    /// Fronts have been told of it.
    pub offered: bool,
    /// Tries that failed.
    pub tries: u8,
    /// The next try not before, by the log's clock.
    pub not_before: u64,
}

/// Where versions before the latest allowed copies and sessions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// Anywhere: it was not pinned.
    Anywhere,
    /// In these zones.
    Zones(BTreeSet<Zone>),
}

/// Copies of a lost region that are lent to another.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lent {
    /// To which.
    pub to: Region,
    /// Its zones, as they were then.
    pub zones: BTreeSet<Zone>,
    /// Since when, by the log's clock.
    pub since: u64,
    /// It is over: its copies go.
    pub ending: bool,
}

/// A pinned shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pin {
    /// Its latest version.
    pub version: Version,
    /// What it asks for.
    pub request: Arc<Request>,
    /// Zones of the regions allowed, as they were at admission.
    pub zones: BTreeMap<Region, BTreeSet<Zone>>,
    /// It is pinned no more once its copies are gone.
    pub removing: bool,
    /// Where earlier versions that are not over allowed it.
    pub older: BTreeMap<Version, Scope>,
    /// Lost regions whose copies are elsewhere for a time. One that ended is not lent again before its region has served.
    pub lent: BTreeMap<Region, Lent>,
    /// Regions that were lent for as long as they may be, and have not served since.
    pub spent: BTreeSet<Region>,
    /// Its copies, by box.
    pub copies: BTreeMap<BoxId, Copy>,
    /// What fronts were told last.
    pub record: Option<Record>,
    /// The first record of the latest version.
    pub told: Revision,
}

impl Pin {
    /// Copies wanted in a region of the latest version's.
    pub fn wanted_in(&self, region: &Region) -> usize {
        if self.removing { 0 } else { self.request.regions.get(region).map_or(0, |c| usize::from(*c)) }
    }

    /// Whether copies and sessions may be in a zone: by the latest version, one before it that is not over, or a lend.
    pub fn allows(&self, zone: &Zone) -> bool {
        let latest = !self.removing && self.zones.values().any(|z| z.contains(zone));
        let lent = self.lent.values().any(|l| l.zones.contains(zone));
        let older = self.older.values().any(|s| match s {
            Scope::Anywhere => true,
            Scope::Zones(zones) => zones.contains(zone),
        });
        latest || lent || older
    }

    /// The zones of the latest version, lends included.
    pub fn scope(&self) -> Scope {
        let latest = self.zones.values().flatten().filter(|_| !self.removing);
        Scope::Zones(latest.chain(self.lent.values().flat_map(|l| &l.zones)).cloned().collect())
    }

    /// Copies that are verified.
    pub fn verified(&self) -> usize {
        self.copies.values().filter(|c| c.state.is_verified()).count()
    }

    /// Whether all that the latest version wants serves.
    pub fn is_complete(&self) -> bool {
        self.copies.values().filter(|c| c.wanted).all(|c| c.state.is_offered())
            && self.request.regions.keys().all(|r| {
                let home = self.copies.values().filter(|c| c.wanted && c.region == *r).count();
                home >= self.wanted_in(r)
            })
    }

    /// Whether a region of the latest version's has all its copies, serving for so long.
    pub fn has_served(&self, region: &Region, clock: u64, for_ms: u64) -> bool {
        let serving = self.copies.values().filter(|c| {
            c.wanted && c.region == *region && c.state.is_offered() && clock.saturating_sub(c.since) >= for_ms
        });
        serving.count() >= self.wanted_in(region)
    }

    /// Whether nothing is left to be done.
    pub fn is_settled(&self) -> bool {
        !self.removing
            && self.older.is_empty()
            && self.lent.is_empty()
            && self.copies.values().all(|c| c.wanted && c.state.is_offered())
    }

    /// How it stands, for its customer.
    pub fn standing(&self, rules: &Rules) -> Standing {
        let any = |is: fn(&CopyState) -> bool, wanted: bool| {
            self.copies.values().any(|c| c.wanted == wanted && is(&c.state))
        };
        let unwanted = |is: fn(&CopyState) -> bool| any(is, false);
        if self.removing && self.copies.is_empty() {
            Standing::Removed
        } else if !self.removing && self.copies.values().any(|c| c.wanted && c.tries >= rules.tries) {
            Standing::Held
        } else if any(|s| matches!(s, CopyState::Copying { .. } | CopyState::Checking { .. }), true) {
            Standing::Copying
        } else if any(|s| matches!(s, CopyState::Reserved | CopyState::Unchecked), true) {
            Standing::Admitted
        } else if any(|s| matches!(s, CopyState::Checked { .. }), true) {
            Standing::Checked
        } else if unwanted(|s| !s.is_going()) {
            Standing::Narrowing
        } else if unwanted(CopyState::is_going) {
            Standing::Draining
        } else if self.older.is_empty() {
            Standing::Serving
        } else {
            Standing::Narrowing
        }
    }
}

/// How a shard stands as a whole: what is furthest from done says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Its room is taken, and copies wait for their turn.
    Admitted,
    /// Copies are being made.
    Copying,
    /// They are made and verified, and boxes are told to play them.
    Checked,
    /// All as asked for, and nothing else.
    Serving,
    /// Copies that are not wanted any more are still known to fronts.
    Narrowing,
    /// They are not, and are played out and deleted.
    Draining,
    /// A copy can't be made anywhere: an operator is needed, or room.
    Held,
    /// Nothing is left of it.
    Removed,
}
