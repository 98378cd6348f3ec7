//! The inventory as planning works on it: boxes by index, free room as plain numbers.

use std::collections::{BTreeMap, BTreeSet};

use super::inventory::{Inventory, Taken};
use crate::words::names::{BoxId, Zone};
use crate::words::request::Room;

/// A box by its place in the ground.
pub type Site = usize;

/// The ground.
#[derive(Debug, Clone)]
pub struct Ground {
    ids: Vec<BoxId>,
    /// Zones and racks, as dense numbers.
    zone: Vec<u16>,
    rack: Vec<u16>,
    usable: Vec<bool>,
    has: Vec<Room>,
    free: Vec<Room>,
    /// How full, kept beside what is free: planning looks at it far more often than it changes.
    full: Vec<u64>,
    uplink: Vec<u64>,
    zones: BTreeMap<Zone, u16>,
    places: BTreeMap<BoxId, Site>,
}

impl Ground {
    /// As an inventory stands. Boxes that are not `usable` take nothing new.
    pub fn new(inventory: &Inventory, taken: &Taken, usable: impl Fn(BoxId) -> bool) -> Ground {
        let zones: BTreeSet<&Zone> = inventory.boxes.values().map(|b| &b.zone).collect();
        let zones: BTreeMap<Zone, u16> = zones.into_iter().cloned().zip(0..).collect();
        let racks: BTreeSet<_> = inventory.boxes.values().map(|b| b.rack).collect();
        let racks: BTreeMap<_, u16> = racks.into_iter().zip(0..).collect();
        let uplink = racks.keys().map(|rack| {
            // A rack that nobody has described carries nothing.
            let line = inventory.racks.get(rack).copied().unwrap_or_default();
            line.uplink_kb_s.saturating_sub(line.held_kb_s).saturating_sub(taken.of_uplink(*rack))
        });
        let mut ground = Ground {
            ids: Vec::new(),
            zone: Vec::new(),
            rack: Vec::new(),
            usable: Vec::new(),
            has: Vec::new(),
            free: Vec::new(),
            full: Vec::new(),
            uplink: uplink.collect(),
            zones: BTreeMap::new(),
            places: BTreeMap::new(),
        };
        for (id, line) in &inventory.boxes {
            ground.places.insert(*id, ground.ids.len());
            ground.ids.push(*id);
            ground.zone.push(zones.get(&line.zone).copied().unwrap_or(u16::MAX));
            ground.rack.push(racks.get(&line.rack).copied().unwrap_or(u16::MAX));
            ground.usable.push(usable(*id));
            let has = line.has.less(line.held);
            ground.has.push(has);
            let free = has.less(taken.of_box(*id));
            ground.free.push(free);
            ground.full.push(fullness(has, free));
        }
        ground.zones = zones;
        ground
    }

    /// Boxes.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// The number of a box.
    pub fn id(&self, site: Site) -> BoxId {
        self.ids.get(site).copied().unwrap_or_default()
    }

    /// Where a box lies.
    pub fn site(&self, id: BoxId) -> Option<Site> {
        self.places.get(&id).copied()
    }

    /// Its zone, as a number.
    pub fn zone(&self, site: Site) -> u16 {
        self.zone.get(site).copied().unwrap_or(u16::MAX)
    }

    /// Its rack, as a number.
    pub fn rack(&self, site: Site) -> u16 {
        self.rack.get(site).copied().unwrap_or(u16::MAX)
    }

    /// Whether it takes anything new.
    pub fn usable(&self, site: Site) -> bool {
        self.usable.get(site).copied().unwrap_or_default()
    }

    /// What is free there, its uplink left aside.
    pub fn free(&self, site: Site) -> Room {
        self.free.get(site).copied().unwrap_or_default()
    }

    /// What is free of its rack's uplink, kB a second.
    pub fn uplink(&self, site: Site) -> u64 {
        self.uplink.get(usize::from(self.rack(site))).copied().unwrap_or_default()
    }

    /// Boxes in some zones, usable or not.
    pub fn within(&self, zones: &BTreeSet<Zone>) -> Vec<Site> {
        let within: BTreeSet<u16> = zones.iter().filter_map(|z| self.zones.get(z).copied()).collect();
        (0..self.len()).filter(|s| within.contains(&self.zone(*s))).collect()
    }

    /// Whether a copy fits.
    pub fn fits(&self, site: Site, room: Room) -> bool {
        self.usable(site) && self.free(site).fits(room) && room.kb_s <= self.uplink(site)
    }

    /// How full a box is, by what it has least of: parts of 1024.
    pub fn fullness(&self, site: Site) -> u64 {
        self.full.get(site).copied().unwrap_or(u64::MAX)
    }

    fn recount(&mut self, site: Site) {
        let now = fullness(self.has.get(site).copied().unwrap_or_default(), self.free(site));
        if let Some(full) = self.full.get_mut(site) {
            *full = now;
        }
    }

    /// Takes room.
    pub fn take(&mut self, site: Site, room: Room) {
        let rack = usize::from(self.rack(site));
        if let Some(free) = self.free.get_mut(site) {
            *free = free.less(room);
        }
        if let Some(uplink) = self.uplink.get_mut(rack) {
            *uplink = uplink.saturating_sub(room.kb_s);
        }
        self.recount(site);
    }

    /// Gives it back.
    pub fn give_back(&mut self, site: Site, room: Room) {
        let rack = usize::from(self.rack(site));
        if let Some(free) = self.free.get_mut(site) {
            *free = free.plus(room);
        }
        if let Some(uplink) = self.uplink.get_mut(rack) {
            *uplink = uplink.saturating_add(room.kb_s);
        }
        self.recount(site);
    }
}

fn fullness(has: Room, free: Room) -> u64 {
    let part =
        |has: u64, free: u64| has.saturating_sub(free).saturating_mul(1_024).checked_div(has).unwrap_or(0);
    part(has.bytes >> 20, free.bytes >> 20)
        .max(part(has.kb_s, free.kb_s))
        .max(part(has.streams, free.streams))
}
