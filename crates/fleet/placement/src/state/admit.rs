//! Admission as a whole: a request gets all the room that it needs at once, or none.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::change::matches;
use super::pin::{Copy, CopyState, Pin, Scope};
use super::{MOST_PINS, Placements};
use crate::plan::ground::{Ground, Site};
use crate::plan::nearest::no_room;
use crate::plan::spread::{Want, choose};
use crate::planted::Fault;
use crate::words::answers::{Event, Reason};
use crate::words::commands::{Change, What};
use crate::words::names::*;
use crate::words::request::{Request, Room};

/// Where a version's copies are to be.
struct Fit {
    kept: Vec<(Region, BoxId)>,
    new: Vec<(Region, BoxId)>,
}

impl Placements {
    pub(super) fn admit(&mut self, change: &Change, events: &mut Vec<Event>) -> Result<Version, Reason> {
        let shard = &change.shard;
        let pin = self.pins.get(shard);
        if pin.is_some_and(|p| p.removing) {
            return Err(Reason::Removing);
        }
        matches(pin.map(|p| p.version), change.if_match)?;
        match &change.what {
            What::Remove => self.remove(shard, events).ok_or(Reason::Version { is: 0 }),
            What::Put(request) => self.put(shard, request, events),
        }
    }

    fn put(
        &mut self,
        shard: &ShardId,
        request: &Arc<Request>,
        events: &mut Vec<Event>,
    ) -> Result<Version, Reason> {
        request.check().map_err(|e| Reason::Senseless(e.to_string()))?;
        if let Some(pin) = self.pins.get(shard) {
            fixed(&pin.request, request)?;
        } else if self.pins.len() >= MOST_PINS {
            return Err(Reason::TooMany);
        }
        self.within_quota(shard, request)?;
        let zones = self.resolve(request)?;
        let fit = self.fit(shard, request, &zones)?;
        Ok(self.begin_version(shard, request, zones, fit, events))
    }

    /// The zones of the regions that a request names. A zone counts for one of them.
    fn resolve(&self, request: &Request) -> Result<BTreeMap<Region, BTreeSet<Zone>>, Reason> {
        let mut zones: BTreeMap<Region, BTreeSet<Zone>> = BTreeMap::new();
        for region in request.regions.keys() {
            let own = self.inventory.regions.get(region).ok_or_else(|| Reason::Region(region.clone()))?;
            for (other, theirs) in &zones {
                if let Some(zone) = own.intersection(theirs).next() {
                    return Err(Reason::Shared(other.clone(), region.clone(), zone.clone()));
                }
            }
            zones.insert(region.clone(), own.clone());
        }
        Ok(zones)
    }

    /// Copies that stay, and boxes for the others. What goes keeps its room until it is gone.
    fn fit(
        &self,
        shard: &ShardId,
        request: &Request,
        zones: &BTreeMap<Region, BTreeSet<Zone>>,
    ) -> Result<Fit, Reason> {
        let mut ground = self.ground();
        let room = request.room();
        let none = BTreeMap::new();
        let copies = self.pins.get(shard).map_or(&none, |p| &p.copies);
        let mut kept: Vec<(Region, Site)> = Vec::new();
        for (region, wanted) in &request.regions {
            let within =
                |c: &Copy| zones.get(region).is_some_and(|z| z.contains(&c.zone)) && !c.state.is_going();
            let mut open: Vec<(&BoxId, &Copy)> = copies.iter().filter(|(_, c)| within(c)).collect();
            // The furthest first, and of those alike the one that is spread best.
            for _ in 0..*wanted {
                let beside = |site: Site| {
                    let zones = kept.iter().filter(|k| ground.zone(k.1) == ground.zone(site)).count();
                    let racks = kept.iter().filter(|k| ground.rack(k.1) == ground.rack(site)).count();
                    (zones, racks)
                };
                let rank = |(id, copy): &(&BoxId, &Copy)| {
                    (rank(&copy.state), ground.site(**id).map_or((usize::MAX, 0), beside), **id)
                };
                let Some(at) = (0..open.len()).min_by_key(|n| open.get(*n).map(rank)) else { break };
                let (id, copy) = open.swap_remove(at);
                if let Some(site) = ground.site(*id)
                    && regrow(&mut ground, site, copy.room, room)
                {
                    kept.push((region.clone(), site));
                }
            }
        }
        let avoid: BTreeSet<Site> = copies.keys().filter_map(|id| ground.site(*id)).collect();
        let wants: Vec<Want<'_>> = request
            .regions
            .iter()
            .filter_map(|(region, n)| {
                Some(Want { region, zones: zones.get(region)?, copies: usize::from(*n) })
            })
            .collect();
        let before = ground.clone();
        let chosen = choose(&mut ground, room, &wants, &kept, &avoid);
        if !chosen.lacks.is_empty() {
            return Err(Reason::NoRoom(no_room(&before, room, &wants, &kept, &avoid, &chosen.lacks)));
        }
        let named = |all: Vec<(Region, Site)>| all.into_iter().map(|(r, s)| (r, before.id(s))).collect();
        Ok(Fit { kept: named(kept), new: named(chosen.new) })
    }

    /// The version counts from here on; those before it until nothing is left of them.
    fn begin_version(
        &mut self,
        shard: &ShardId,
        request: &Arc<Request>,
        zones: BTreeMap<Region, BTreeSet<Zone>>,
        fit: Fit,
        events: &mut Vec<Event>,
    ) -> Version {
        let mut pin = self.pins.remove(shard).unwrap_or_else(|| Pin {
            version: Version(0),
            request: request.clone(),
            zones: BTreeMap::new(),
            removing: false,
            older: BTreeMap::new(),
            lent: BTreeMap::new(),
            spent: BTreeSet::new(),
            copies: BTreeMap::new(),
            record: None,
            told: Revision(0),
        });
        let scope = if pin.version == Version(0) { Scope::Anywhere } else { pin.scope() };
        pin.older.insert(pin.version, scope);
        pin.version.0 += 1;
        pin.request = request.clone();
        pin.zones = zones;
        // Copies that are lent stay in the scope of the version before, until this one is complete or they are lent anew.
        pin.lent.clear();
        pin.spent.clear();
        let room = request.room();
        let kept: BTreeMap<BoxId, Region> = fit.kept.into_iter().map(|(r, id)| (id, r)).collect();
        for (id, copy) in &mut pin.copies {
            copy.wanted = false;
            let Some(region) = kept.get(id) else { continue };
            self.taken.give_back(*id, copy.rack, copy.room);
            self.taken.take(*id, copy.rack, room);
            (copy.wanted, copy.room, copy.region) = (true, room, region.clone());
            if matches!(copy.state, CopyState::Narrowing { .. }) {
                // Before it was to go it may have been anything: it is read again before it is offered.
                (copy.state, copy.since) = (CopyState::Unchecked, self.clock);
            }
        }
        for (region, id) in fit.new {
            self.reserve(&mut pin, id, region, room);
        }
        self.pins.insert(shard.clone(), pin);
        self.drop_unbegun(shard, events);
        self.publish(shard, true, events);
        self.pins.get(shard).map_or(Version(0), |p| p.version)
    }

    /// Takes room for a new copy.
    pub(super) fn reserve(&mut self, pin: &mut Pin, id: BoxId, region: Region, room: Room) {
        let Some(line) = self.inventory.boxes.get(&id) else { return };
        if !self.planted(Fault::RoomLate) {
            self.taken.take(id, line.rack, room);
        }
        let copy = Copy {
            region,
            zone: line.zone.clone(),
            rack: line.rack,
            room,
            state: CopyState::Reserved,
            since: self.clock,
            wanted: true,
            touched: false,
            offered: false,
            tries: 0,
            not_before: self.clock,
        };
        pin.copies.insert(id, copy);
    }

    fn remove(&mut self, shard: &ShardId, events: &mut Vec<Event>) -> Option<Version> {
        let pin = self.pins.get_mut(shard)?;
        pin.older.insert(pin.version, pin.scope());
        pin.version.0 += 1;
        pin.removing = true;
        pin.lent.clear();
        pin.spent.clear();
        pin.copies.values_mut().for_each(|c| c.wanted = false);
        let version = pin.version;
        self.drop_unbegun(shard, events);
        self.publish(shard, true, events);
        Some(version)
    }
}

/// What of a shard never changes.
fn fixed(is: &Request, new: &Request) -> Result<(), Reason> {
    let what = if is.titles != new.titles {
        "the titles"
    } else if is.bytes != new.bytes {
        "the size"
    } else if is.digest != new.digest {
        "the digest"
    } else {
        return Ok(());
    };
    Err(Reason::Fixed(what.to_owned()))
}

/// How far a copy is from serving.
fn rank(state: &CopyState) -> u8 {
    match state {
        CopyState::Serving => 0,
        CopyState::Narrowing { .. } => 1,
        CopyState::Checked { .. } => 2,
        CopyState::Checking { .. } => 3,
        CopyState::Copying { .. } => 4,
        CopyState::Unchecked => 5,
        CopyState::Reserved => 6,
        CopyState::Draining { .. } | CopyState::Deleting { .. } => 7,
    }
}

/// A copy that stays needs other room than it has.
fn regrow(ground: &mut Ground, site: Site, has: Room, needs: Room) -> bool {
    if has == needs {
        return true;
    }
    ground.give_back(site, has);
    let fits = ground.free(site).fits(needs) && needs.kb_s <= ground.uplink(site);
    ground.take(site, if fits { needs } else { has });
    fits
}
