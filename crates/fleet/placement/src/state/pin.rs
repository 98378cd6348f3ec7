//! Pinned shards and their copies.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::protocol::answers::Record;
use crate::protocol::commands::Rules;
use crate::protocol::names::{OrderId, RackId, Region, Revision, ServerId, Version, Zone};
use crate::protocol::request::{Request, Resources};

/// The state of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CopyState {
    /// Resources are reserved, and no transfer is in progress.
    Reserved,
    /// The copy is being written.
    Copying {
        /// The order to copy.
        order: OrderId,
        /// Media server and rack of the source, or `None` for the origin.
        from: Option<(ServerId, RackId)>,
    },
    /// The content that was on disk when the media server was lost is being read.
    Checking {
        /// The order to check.
        order: OrderId,
    },
    /// The content was read and has the right digest. The media server is being ordered to serve it.
    Checked {
        /// The order to serve.
        order: OrderId,
    },
    /// The copy is offered to fronts.
    Serving,
    /// The media server was lost or has a new incarnation: the content has to be checked before it counts.
    Unchecked,
    /// The copy is withdrawn by this revision, but fronts may not have the record yet.
    Withdrawing {
        /// Revision of the first record without the copy.
        revision: Revision,
    },
    /// No front offers the copy, and its media server accepts no further sessions of it. Existing sessions may end.
    Draining {
        /// The order to drain.
        order: OrderId,
    },
    /// The media server is ordered to delete the copy.
    Deleting {
        /// The order to delete.
        order: OrderId,
    },
}

impl CopyState {
    /// Returns the name of the state.
    pub fn name(&self) -> &'static str {
        match self {
            CopyState::Reserved => "reserved",
            CopyState::Copying { .. } => "copying",
            CopyState::Checking { .. } => "checking",
            CopyState::Checked { .. } => "checked",
            CopyState::Serving => "serving",
            CopyState::Unchecked => "unchecked",
            CopyState::Withdrawing { .. } => "narrowing",
            CopyState::Draining { .. } => "draining",
            CopyState::Deleting { .. } => "deleting",
        }
    }

    /// Returns whether the content was read by this incarnation of the media server and found to be right.
    pub fn is_verified(&self) -> bool {
        matches!(self, CopyState::Checked { .. } | CopyState::Serving)
    }

    /// Returns whether fronts may offer the copy.
    pub fn is_offered(&self) -> bool {
        matches!(self, CopyState::Serving)
    }

    /// Returns whether the copy is being drained or deleted, which can't be undone.
    pub fn is_leaving(&self) -> bool {
        matches!(self, CopyState::Draining { .. } | CopyState::Deleting { .. })
    }

    /// Returns whether a transfer or a check is in progress.
    pub fn is_transferring(&self) -> bool {
        matches!(self, CopyState::Copying { .. } | CopyState::Checking { .. })
    }
}

/// A copy of a shard on a media server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Copy {
    /// The region that the copy counts for.
    pub region: Region,
    /// The zone of the media server.
    pub zone: Zone,
    /// The rack whose uplink the copy has reserved a share of.
    pub rack: RackId,
    /// The reserved resources.
    pub resources: Resources,
    /// The state of the copy.
    pub state: CopyState,
    /// Time of the last change of the state, in milliseconds of the log's clock.
    pub since: u64,
    /// Whether the latest version wants the copy.
    pub wanted: bool,
    /// Whether data of the copy may have been written to the current disk of its media server.
    pub touched: bool,
    /// Whether any record has offered the copy to fronts.
    pub offered: bool,
    /// Number of failed attempts.
    pub attempts: u8,
    /// Earliest time of the next attempt, in milliseconds of the log's clock.
    pub not_before: u64,
}

/// Where a version allows copies and sessions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// Anywhere, because the shard was not pinned.
    Anywhere,
    /// In these zones.
    Zones(BTreeSet<Zone>),
}

/// The failover of a lost region.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Failover {
    /// The region that has the copies meanwhile.
    pub to: Region,
    /// Zones of that region when the failover started.
    pub zones: BTreeSet<Zone>,
    /// Start of the failover, in milliseconds of the log's clock.
    pub since: u64,
    /// Whether the failover has ended and its copies are being withdrawn.
    pub ending: bool,
}

/// A pinned shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pin {
    /// The latest version.
    pub version: Version,
    /// The request of the latest version.
    pub request: Arc<Request>,
    /// Zones of the allowed regions at the time of admission.
    pub zones: BTreeMap<Region, BTreeSet<Zone>>,
    /// Whether the shard is being removed. The pin disappears once its copies are deleted.
    pub removing: bool,
    /// Scopes of earlier versions that are not retired.
    pub older: BTreeMap<Version, Scope>,
    /// Failovers by lost region.
    pub failovers: BTreeMap<Region, Failover>,
    /// Regions whose failover reached its maximum duration, and that have not served since. They don't fail over again
    /// before they have served.
    pub exhausted_failovers: BTreeSet<Region>,
    /// Copies by media server.
    pub copies: BTreeMap<ServerId, Copy>,
    /// The last published record.
    pub record: Option<Record>,
    /// Revision of the first record of the latest version.
    pub first_revision: Revision,
}

impl Pin {
    /// Returns the number of copies that the latest version wants in a region.
    pub fn wanted_in(&self, region: &Region) -> usize {
        if self.removing { 0 } else { self.request.regions.get(region).map_or(0, |c| usize::from(*c)) }
    }

    /// Returns whether copies and sessions are allowed in a zone by the latest version, a version that is not retired,
    /// or a failover.
    pub fn allows(&self, zone: &Zone) -> bool {
        let latest = !self.removing && self.zones.values().any(|z| z.contains(zone));
        let in_failover = self.failovers.values().any(|l| l.zones.contains(zone));
        let older = self.older.values().any(|s| match s {
            Scope::Anywhere => true,
            Scope::Zones(zones) => zones.contains(zone),
        });
        latest || in_failover || older
    }

    /// Returns the zones of the latest version, including those of failovers.
    pub fn scope(&self) -> Scope {
        let latest = self.zones.values().flatten().filter(|_| !self.removing);
        Scope::Zones(latest.chain(self.failovers.values().flat_map(|l| &l.zones)).cloned().collect())
    }

    /// Returns the number of verified copies.
    pub fn verified(&self) -> usize {
        self.copies.values().filter(|c| c.state.is_verified()).count()
    }

    /// Returns whether all copies that the latest version wants are serving.
    pub fn is_complete(&self) -> bool {
        self.copies.values().filter(|c| c.wanted).all(|c| c.state.is_offered())
            && self.request.regions.keys().all(|r| {
                let home = self.copies.values().filter(|c| c.wanted && c.region == *r).count();
                home >= self.wanted_in(r)
            })
    }

    /// Returns whether all copies of a region have served for this time.
    pub fn has_served(&self, region: &Region, clock: u64, duration_ms: u64) -> bool {
        let serving = self.copies.values().filter(|c| {
            c.wanted
                && c.region == *region
                && c.state.is_offered()
                && clock.saturating_sub(c.since) >= duration_ms
        });
        serving.count() >= self.wanted_in(region)
    }

    /// Returns whether nothing is left to be done for the shard.
    pub fn is_settled(&self) -> bool {
        !self.removing
            && self.older.is_empty()
            && self.failovers.is_empty()
            && self.copies.values().all(|c| c.wanted && c.state.is_offered())
    }

    /// Returns the status of the shard, for its customer.
    pub fn status(&self, rules: &Rules) -> PinStatus {
        let any = |is: fn(&CopyState) -> bool, wanted: bool| {
            self.copies.values().any(|c| c.wanted == wanted && is(&c.state))
        };
        let unwanted = |is: fn(&CopyState) -> bool| any(is, false);
        if self.removing && self.copies.is_empty() {
            PinStatus::Removed
        } else if !self.removing && self.copies.values().any(|c| c.wanted && c.attempts >= rules.max_attempts)
        {
            PinStatus::Blocked
        } else if any(|s| matches!(s, CopyState::Copying { .. } | CopyState::Checking { .. }), true) {
            PinStatus::Copying
        } else if any(|s| matches!(s, CopyState::Reserved | CopyState::Unchecked), true) {
            PinStatus::Admitted
        } else if any(|s| matches!(s, CopyState::Checked { .. }), true) {
            PinStatus::Checked
        } else if unwanted(|s| !s.is_leaving()) {
            PinStatus::Withdrawing
        } else if unwanted(CopyState::is_leaving) {
            PinStatus::Draining
        } else if self.older.is_empty() {
            PinStatus::Serving
        } else {
            PinStatus::Withdrawing
        }
    }
}

/// The status of a shard, determined by the copy that is furthest from its goal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PinStatus {
    /// Resources are reserved, and transfers have not started.
    Admitted,
    /// Copies are being transferred or checked.
    Copying,
    /// Copies are verified, and media servers are being ordered to serve them.
    Checked,
    /// Everything is as requested, and nothing else is left.
    Serving,
    /// Copies that are no longer wanted are still known to fronts.
    #[serde(rename = "narrowing")]
    Withdrawing,
    /// Copies that are no longer wanted are being drained and deleted.
    Draining,
    /// A copy can't be made anywhere: it needs an operator or more capacity.
    #[serde(rename = "held")]
    Blocked,
    /// Nothing is left of the shard.
    Removed,
}
