//! Admission of requests. A request reserves all the resources that it needs at once, or none.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::change::check_version;
use super::pin::{Copy, CopyState, Pin, Scope};
use super::{MAX_PINS, Placements};
use crate::fault_injection::Fault;
use crate::plan::capacity::{Capacity, Site};
use crate::plan::selection::{RegionDemand, choose};
use crate::plan::shortage::explain_shortage;
use crate::protocol::answers::{Event, Reason};
use crate::protocol::commands::{Change, ChangeKind};
use crate::protocol::names::{Region, Revision, ServerId, ShardId, Version, Zone};
use crate::protocol::request::{Request, Resources};

/// The media servers of a version's copies.
struct Assignment {
    kept: Vec<(Region, ServerId)>,
    new: Vec<(Region, ServerId)>,
}

impl Placements {
    pub(super) fn admit(&mut self, change: &Change, events: &mut Vec<Event>) -> Result<Version, Reason> {
        let shard = &change.shard;
        let pin = self.pins.get(shard);
        if pin.is_some_and(|p| p.removing) {
            return Err(Reason::Removing);
        }
        check_version(pin.map(|p| p.version), change.if_match)?;
        match &change.kind {
            ChangeKind::Remove => self.remove(shard, events).ok_or(Reason::Version { is: 0 }),
            ChangeKind::Put(request) => self.put(shard, request, events),
        }
    }

    fn put(
        &mut self,
        shard: &ShardId,
        request: &Arc<Request>,
        events: &mut Vec<Event>,
    ) -> Result<Version, Reason> {
        request.check().map_err(|e| Reason::Invalid(e.to_string()))?;
        if let Some(pin) = self.pins.get(shard) {
            check_immutable(&pin.request, request)?;
        } else if self.pins.len() >= MAX_PINS {
            return Err(Reason::TooMany);
        }
        self.check_quota(shard, request)?;
        let zones = self.resolve(request)?;
        let assignment = self.assign(shard, request, &zones)?;
        Ok(self.start_version(shard, request, zones, assignment, events))
    }

    /// Returns the zones of the requested regions, which must have no zone in common.
    fn resolve(&self, request: &Request) -> Result<BTreeMap<Region, BTreeSet<Zone>>, Reason> {
        let mut zones: BTreeMap<Region, BTreeSet<Zone>> = BTreeMap::new();
        for region in request.regions.keys() {
            let own = self.inventory.regions.get(region).ok_or_else(|| Reason::Region(region.clone()))?;
            for (other, theirs) in &zones {
                if let Some(zone) = own.intersection(theirs).next() {
                    return Err(Reason::SharedZone(other.clone(), region.clone(), zone.clone()));
                }
            }
            zones.insert(region.clone(), own.clone());
        }
        Ok(zones)
    }

    /// Selects the copies that are kept and the media servers of new ones. Copies that are not kept retain their
    /// resources until they are deleted.
    fn assign(
        &self,
        shard: &ShardId,
        request: &Request,
        zones: &BTreeMap<Region, BTreeSet<Zone>>,
    ) -> Result<Assignment, Reason> {
        let mut capacity = self.capacity();
        let resources = request.resources();
        let none = BTreeMap::new();
        let copies = self.pins.get(shard).map_or(&none, |p| &p.copies);
        let mut kept: Vec<(Region, Site)> = Vec::new();
        for (region, wanted) in &request.regions {
            let within =
                |c: &Copy| zones.get(region).is_some_and(|z| z.contains(&c.zone)) && !c.state.is_leaving();
            let mut open: Vec<(&ServerId, &Copy)> = copies.iter().filter(|(_, c)| within(c)).collect();
            // Prefers the copies that are closest to serving, and among those the ones that are spread best.
            for _ in 0..*wanted {
                let beside = |site: Site| {
                    let same_zone = kept.iter().filter(|k| capacity.zone(k.1) == capacity.zone(site)).count();
                    let same_rack = kept.iter().filter(|k| capacity.rack(k.1) == capacity.rack(site)).count();
                    (same_zone, same_rack)
                };
                let rank = |(id, copy): &(&ServerId, &Copy)| {
                    (
                        distance_to_serving(&copy.state),
                        capacity.site(**id).map_or((usize::MAX, 0), beside),
                        **id,
                    )
                };
                let Some(at) = (0..open.len()).min_by_key(|n| open.get(*n).map(rank)) else { break };
                let (id, copy) = open.swap_remove(at);
                if let Some(site) = capacity.site(*id)
                    && resize_reservation(&mut capacity, site, copy.resources, resources)
                {
                    kept.push((region.clone(), site));
                }
            }
        }
        let excluded: BTreeSet<Site> = copies.keys().filter_map(|id| capacity.site(*id)).collect();
        let demands: Vec<RegionDemand<'_>> = request
            .regions
            .iter()
            .filter_map(|(region, n)| {
                Some(RegionDemand { region, zones: zones.get(region)?, copies: usize::from(*n) })
            })
            .collect();
        let before = capacity.clone();
        let chosen = choose(&mut capacity, resources, &demands, &kept, &excluded);
        if !chosen.unplaced.is_empty() {
            return Err(Reason::InsufficientCapacity(explain_shortage(
                &before,
                resources,
                &demands,
                &kept,
                &excluded,
                &chosen.unplaced,
            )));
        }
        let named = |all: Vec<(Region, Site)>| all.into_iter().map(|(r, s)| (r, before.id(s))).collect();
        Ok(Assignment { kept: named(kept), new: named(chosen.new) })
    }

    /// Starts a new version. The versions before it remain in effect until they are retired.
    fn start_version(
        &mut self,
        shard: &ShardId,
        request: &Arc<Request>,
        zones: BTreeMap<Region, BTreeSet<Zone>>,
        assignment: Assignment,
        events: &mut Vec<Event>,
    ) -> Version {
        let mut pin = self.pins.remove(shard).unwrap_or_else(|| Pin {
            version: Version(0),
            request: request.clone(),
            zones: BTreeMap::new(),
            removing: false,
            older: BTreeMap::new(),
            failovers: BTreeMap::new(),
            exhausted_failovers: BTreeSet::new(),
            copies: BTreeMap::new(),
            record: None,
            first_revision: Revision(0),
        });
        let scope = if pin.version == Version(0) { Scope::Anywhere } else { pin.scope() };
        pin.older.insert(pin.version, scope);
        pin.version.0 += 1;
        pin.request = request.clone();
        pin.zones = zones;
        // Copies of a failover stay allowed by the scope of the previous version, until this version is complete or a
        // new failover starts.
        pin.failovers.clear();
        pin.exhausted_failovers.clear();
        let resources = request.resources();
        let kept: BTreeMap<ServerId, Region> = assignment.kept.into_iter().map(|(r, id)| (id, r)).collect();
        for (id, copy) in &mut pin.copies {
            copy.wanted = false;
            let Some(region) = kept.get(id) else { continue };
            self.usage.release(*id, copy.rack, copy.resources);
            self.usage.reserve(*id, copy.rack, resources);
            (copy.wanted, copy.resources, copy.region) = (true, resources, region.clone());
            if matches!(copy.state, CopyState::Withdrawing { .. }) {
                // Its state before the withdrawal is unknown, so that its content is checked before it is offered
                // again.
                (copy.state, copy.since) = (CopyState::Unchecked, self.clock);
            }
        }
        for (region, id) in assignment.new {
            self.reserve(&mut pin, id, region, resources);
        }
        self.pins.insert(shard.clone(), pin);
        self.discard_unoffered(shard, events);
        self.publish(shard, true, events);
        self.pins.get(shard).map_or(Version(0), |p| p.version)
    }

    /// Reserves the resources of a new copy.
    pub(super) fn reserve(&mut self, pin: &mut Pin, id: ServerId, region: Region, resources: Resources) {
        let Some(info) = self.inventory.servers.get(&id) else { return };
        if !self.has_fault(Fault::ReserveLate) {
            self.usage.reserve(id, info.rack, resources);
        }
        let copy = Copy {
            region,
            zone: info.zone.clone(),
            rack: info.rack,
            resources,
            state: CopyState::Reserved,
            since: self.clock,
            wanted: true,
            touched: false,
            offered: false,
            attempts: 0,
            not_before: self.clock,
        };
        pin.copies.insert(id, copy);
    }

    fn remove(&mut self, shard: &ShardId, events: &mut Vec<Event>) -> Option<Version> {
        let pin = self.pins.get_mut(shard)?;
        pin.older.insert(pin.version, pin.scope());
        pin.version.0 += 1;
        pin.removing = true;
        pin.failovers.clear();
        pin.exhausted_failovers.clear();
        pin.copies.values_mut().for_each(|c| c.wanted = false);
        let version = pin.version;
        self.discard_unoffered(shard, events);
        self.publish(shard, true, events);
        Some(version)
    }
}

/// Rejects changes of properties that a shard keeps for its lifetime.
fn check_immutable(is: &Request, new: &Request) -> Result<(), Reason> {
    let what = if is.titles != new.titles {
        "the titles"
    } else if is.bytes != new.bytes {
        "the size"
    } else if is.digest != new.digest {
        "the digest"
    } else {
        return Ok(());
    };
    Err(Reason::Immutable(what.to_owned()))
}

/// Returns how far a copy is from serving, with 0 for one that serves.
fn distance_to_serving(state: &CopyState) -> u8 {
    match state {
        CopyState::Serving => 0,
        CopyState::Withdrawing { .. } => 1,
        CopyState::Checked { .. } => 2,
        CopyState::Checking { .. } => 3,
        CopyState::Copying { .. } => 4,
        CopyState::Unchecked => 5,
        CopyState::Reserved => 6,
        CopyState::Draining { .. } | CopyState::Deleting { .. } => 7,
    }
}

/// Changes the resources that a kept copy reserves, and returns whether the new amount fits.
fn resize_reservation(capacity: &mut Capacity, site: Site, has: Resources, needs: Resources) -> bool {
    if has == needs {
        return true;
    }
    capacity.release(site, has);
    let fits = capacity.free(site).fits(needs) && needs.kb_s <= capacity.uplink(site);
    capacity.reserve(site, if fits { needs } else { has });
    fits
}
