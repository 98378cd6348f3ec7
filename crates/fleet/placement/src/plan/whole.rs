//! All shards anew over all boxes: what lies where it may stay stays, what is missing is placed, and where one does not fit, others
//! make room, as few as can be.
//!
//! To move as little as possible is bin packing in several dimensions, so NP-hard; this is a heuristic, measured against exact
//! solutions of small cases (`tests/plans.rs`). Copies are placed the largest first, and one that finds no room has others moved by
//! ejection chains of two links at most.

use std::collections::BTreeSet;

use super::ground::{Ground, Site};
use super::inventory::{Inventory, Taken};
use super::spread::best;
use crate::words::names::{BoxId, Region};
use crate::words::request::Room;

/// A shard to be placed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Shard {
    /// What a copy needs.
    pub room: Room,
    /// Copies wanted, by region.
    pub wants: Vec<(Region, usize)>,
    /// Copies that there are.
    pub has: Vec<(Region, BoxId)>,
}

/// A plan.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// Of each shard, where its copies are to be.
    pub places: Vec<Vec<(Region, BoxId)>>,
    /// Copies that are to be made.
    pub moves: usize,
    /// Copies that found no place: which shard's, in which region.
    pub lacks: Vec<(usize, Region)>,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    region: usize,
    site: Site,
}

struct Work<'a> {
    ground: Ground,
    shards: &'a [Shard],
    regions: Vec<(Region, Vec<Site>)>,
    slots: Vec<Vec<Slot>>,
    /// Shards at each site.
    at: Vec<Vec<usize>>,
}

/// Links of a chain of moves at most.
const LINKS: usize = 2;
/// Copies at one box that are tried for a chain at most.
const TRIES: usize = 48;

/// Plans all shards. Boxes that are not `usable` keep and take nothing.
pub fn plan(inventory: &Inventory, shards: &[Shard], usable: impl Fn(BoxId) -> bool) -> Plan {
    let ground = Ground::new(inventory, &Taken::default(), usable);
    let regions = inventory.regions.iter().map(|(r, zones)| (r.clone(), ground.within(zones))).collect();
    let at = vec![Vec::new(); ground.len()];
    let mut work = Work { ground, shards, regions, slots: vec![Vec::new(); shards.len()], at };
    let mut missing = work.keep();
    missing.sort_by_key(|(n, region)| {
        let room = work.shards.get(*n).map(|s| s.room).unwrap_or_default();
        (std::cmp::Reverse((room.bytes, room.kb_s)), *n, *region)
    });
    let mut lacks = Vec::new();
    for (n, region) in missing {
        if !work.place(n, region, LINKS) {
            lacks.extend(work.regions.get(region).map(|(name, _)| (n, name.clone())));
        }
    }
    work.finish(lacks)
}

impl Work<'_> {
    fn region(&self, name: &Region) -> Option<usize> {
        self.regions.binary_search_by(|r| r.0.cmp(name)).ok()
    }

    fn room(&self, n: usize) -> Room {
        self.shards.get(n).map(|s| s.room).unwrap_or_default()
    }

    fn put(&mut self, n: usize, slot: Slot) {
        self.ground.take(slot.site, self.room(n));
        if let (Some(slots), Some(at)) = (self.slots.get_mut(n), self.at.get_mut(slot.site)) {
            slots.push(slot);
            at.push(n);
        }
    }

    fn drop_slot(&mut self, n: usize, site: Site) -> Option<Slot> {
        let slots = self.slots.get_mut(n)?;
        let place = slots.iter().position(|s| s.site == site)?;
        let slot = slots.remove(place);
        if let Some(at) = self.at.get_mut(site) {
            at.retain(|m| *m != n);
        }
        self.ground.give_back(site, self.room(n));
        Some(slot)
    }

    /// Keeps what may stay; what is missing, by shard and region. Where a box or an uplink has become too small, the fewest go:
    /// smaller copies are kept first.
    fn keep(&mut self) -> Vec<(usize, usize)> {
        let mut kept: Vec<(usize, Slot)> = Vec::new();
        for (n, shard) in self.shards.iter().enumerate() {
            for (name, id) in &shard.has {
                let Some((region, site)) = self.region(name).zip(self.ground.site(*id)) else { continue };
                let within = self.regions.get(region).is_some_and(|r| r.1.binary_search(&site).is_ok());
                if within && self.ground.usable(site) {
                    kept.push((n, Slot { region, site }));
                }
            }
        }
        kept.sort_by_key(|(n, slot)| (self.room(*n).bytes, self.room(*n).kb_s, *n, slot.site));
        for (n, slot) in kept {
            let wanted = self.wanted(n, slot.region);
            let has = self.count(n, slot.region);
            let twice = self.slots.get(n).is_some_and(|s| s.iter().any(|s| s.site == slot.site));
            if has < wanted && !twice && self.ground.fits(slot.site, self.room(n)) {
                self.put(n, slot);
            }
        }
        let mut missing = Vec::new();
        for (n, shard) in self.shards.iter().enumerate() {
            for (name, copies) in &shard.wants {
                let Some(region) = self.region(name) else { continue };
                missing.extend((self.count(n, region)..*copies).map(|_| (n, region)));
            }
        }
        missing
    }

    fn wanted(&self, n: usize, region: usize) -> usize {
        let name = self.regions.get(region).map(|r| &r.0);
        let of = self.shards.get(n).and_then(|s| s.wants.iter().find(|w| Some(&w.0) == name));
        of.map_or(0, |w| w.1)
    }

    fn count(&self, n: usize, region: usize) -> usize {
        self.slots.get(n).map_or(0, |s| s.iter().filter(|s| s.region == region).count())
    }

    fn sites(&self, n: usize) -> Vec<Site> {
        self.slots.get(n).map_or_else(Vec::new, |s| s.iter().map(|s| s.site).collect())
    }

    /// Places a copy, and has others moved for it if it must.
    fn place(&mut self, n: usize, region: usize, links: usize) -> bool {
        let Some((_, all)) = self.regions.get(region) else { return false };
        let (room, sites) = (self.room(n), self.sites(n));
        if let Some(site) = best(&self.ground, room, all, &sites) {
            self.put(n, Slot { region, site });
            return true;
        }
        if links == 0 {
            return false;
        }
        let open: Vec<Site> =
            all.iter().copied().filter(|s| self.ground.usable(*s) && !sites.contains(s)).collect();
        open.into_iter().any(|site| self.make_room(n, region, site, links))
    }

    /// Moves one copy away from a box, so that another fits there.
    fn make_room(&mut self, n: usize, region: usize, site: Site, links: usize) -> bool {
        let room = self.room(n);
        // The smallest first that is enough: it finds another place most easily.
        let mut others: Vec<usize> = self.at.get(site).cloned().unwrap_or_default();
        others.sort_by_key(|m| (self.room(*m).bytes, *m));
        others.truncate(TRIES);
        for other in others {
            let Some(slot) = self.drop_slot(other, site) else { continue };
            if self.ground.fits(site, room) {
                self.put(n, Slot { region, site });
                if self.place(other, slot.region, links - 1) {
                    return true;
                }
                self.drop_slot(n, site);
            }
            self.put(other, slot);
        }
        false
    }

    fn finish(self, lacks: Vec<(usize, Region)>) -> Plan {
        let mut plan = Plan { places: Vec::with_capacity(self.shards.len()), moves: 0, lacks };
        for (shard, slots) in self.shards.iter().zip(&self.slots) {
            let had: BTreeSet<BoxId> = shard.has.iter().map(|h| h.1).collect();
            let named = slots.iter().filter_map(|s| Some((self.regions.get(s.region)?.0.clone(), s.site)));
            let places: Vec<(Region, BoxId)> = named.map(|(r, s)| (r, self.ground.id(s))).collect();
            plan.moves += places.iter().filter(|p| !had.contains(&p.1)).count();
            plan.places.push(places);
        }
        plan
    }
}
