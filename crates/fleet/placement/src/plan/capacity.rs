//! The free capacity of the inventory, in a form that planning can work on: media servers by index, and plain numbers.

use std::collections::{BTreeMap, BTreeSet};

use super::inventory::{Inventory, Usage};
use crate::protocol::names::{ServerId, Zone};
use crate::protocol::request::Resources;

/// The fullness of a media server that has none left of some resource.
const FULLNESS_SCALE: u64 = 1_024;

/// The index of a media server in a [`Capacity`].
pub type Site = usize;

/// The free capacity of all media servers and uplinks.
#[derive(Debug, Clone)]
pub struct Capacity {
    ids: Vec<ServerId>,
    /// Zones and racks as dense indices.
    zone: Vec<u16>,
    rack: Vec<u16>,
    usable: Vec<bool>,
    total: Vec<Resources>,
    free: Vec<Resources>,
    /// Cached fullness: planning reads it far more often than it changes.
    fullness: Vec<u64>,
    uplink: Vec<u64>,
    zones: BTreeMap<Zone, u16>,
    sites: BTreeMap<ServerId, Site>,
}

impl Capacity {
    /// Returns the capacity that is left by `usage`. Media servers that are not `usable` accept no new copies.
    pub fn new(inventory: &Inventory, usage: &Usage, usable: impl Fn(ServerId) -> bool) -> Capacity {
        let zones: BTreeSet<&Zone> = inventory.servers.values().map(|b| &b.zone).collect();
        let zones: BTreeMap<Zone, u16> = zones.into_iter().cloned().zip(0..).collect();
        let racks: BTreeSet<_> = inventory.servers.values().map(|b| b.rack).collect();
        let racks: BTreeMap<_, u16> = racks.into_iter().zip(0..).collect();
        let uplink = racks.keys().map(|rack| {
            // A rack without an entry has no uplink capacity.
            let info = inventory.racks.get(rack).copied().unwrap_or_default();
            info.uplink_kb_s.saturating_sub(info.reserved_kb_s).saturating_sub(usage.of_uplink(*rack))
        });
        let mut capacity = Capacity {
            ids: Vec::new(),
            zone: Vec::new(),
            rack: Vec::new(),
            usable: Vec::new(),
            total: Vec::new(),
            free: Vec::new(),
            fullness: Vec::new(),
            uplink: uplink.collect(),
            zones: BTreeMap::new(),
            sites: BTreeMap::new(),
        };
        for (id, info) in &inventory.servers {
            capacity.sites.insert(*id, capacity.ids.len());
            capacity.ids.push(*id);
            capacity.zone.push(zones.get(&info.zone).copied().unwrap_or(u16::MAX));
            capacity.rack.push(racks.get(&info.rack).copied().unwrap_or(u16::MAX));
            capacity.usable.push(usable(*id));
            let total = info.total.saturating_sub(info.reserved);
            capacity.total.push(total);
            let free = total.saturating_sub(usage.of_server(*id));
            capacity.free.push(free);
            capacity.fullness.push(fullness(total, free));
        }
        capacity.zones = zones;
        capacity
    }

    /// Returns the number of media servers.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns whether there are no media servers.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Returns the id of a media server.
    pub fn id(&self, site: Site) -> ServerId {
        self.ids.get(site).copied().unwrap_or_default()
    }

    /// Returns the index of a media server.
    pub fn site(&self, id: ServerId) -> Option<Site> {
        self.sites.get(&id).copied()
    }

    /// Returns the index of the media server's zone.
    pub fn zone(&self, site: Site) -> u16 {
        self.zone.get(site).copied().unwrap_or(u16::MAX)
    }

    /// Returns the index of the media server's rack.
    pub fn rack(&self, site: Site) -> u16 {
        self.rack.get(site).copied().unwrap_or(u16::MAX)
    }

    /// Returns whether the media server accepts new copies.
    pub fn usable(&self, site: Site) -> bool {
        self.usable.get(site).copied().unwrap_or_default()
    }

    /// Returns the free resources of the media server, not considering its rack's uplink.
    pub fn free(&self, site: Site) -> Resources {
        self.free.get(site).copied().unwrap_or_default()
    }

    /// Returns the free rate of the rack's uplink, in kB per second.
    pub fn uplink(&self, site: Site) -> u64 {
        self.uplink.get(usize::from(self.rack(site))).copied().unwrap_or_default()
    }

    /// Returns the media servers in some zones, whether or not they are usable.
    pub fn within(&self, zones: &BTreeSet<Zone>) -> Vec<Site> {
        let within: BTreeSet<u16> = zones.iter().filter_map(|z| self.zones.get(z).copied()).collect();
        (0..self.len()).filter(|s| within.contains(&self.zone(*s))).collect()
    }

    /// Returns whether a copy fits on the media server and on its rack's uplink.
    pub fn fits(&self, site: Site, resources: Resources) -> bool {
        self.usable(site) && self.free(site).fits(resources) && resources.kb_s <= self.uplink(site)
    }

    /// Returns the utilization of the scarcest resource of the media server, in units of 1/1024.
    pub fn fullness(&self, site: Site) -> u64 {
        self.fullness.get(site).copied().unwrap_or(u64::MAX)
    }

    fn update_fullness(&mut self, site: Site) {
        let now = fullness(self.total.get(site).copied().unwrap_or_default(), self.free(site));
        if let Some(fullness) = self.fullness.get_mut(site) {
            *fullness = now;
        }
    }

    /// Reserves resources.
    pub fn reserve(&mut self, site: Site, resources: Resources) {
        let rack = usize::from(self.rack(site));
        if let Some(free) = self.free.get_mut(site) {
            *free = free.saturating_sub(resources);
        }
        if let Some(uplink) = self.uplink.get_mut(rack) {
            *uplink = uplink.saturating_sub(resources.kb_s);
        }
        self.update_fullness(site);
    }

    /// Releases resources.
    pub fn release(&mut self, site: Site, resources: Resources) {
        let rack = usize::from(self.rack(site));
        if let Some(free) = self.free.get_mut(site) {
            *free = free.saturating_add(resources);
        }
        if let Some(uplink) = self.uplink.get_mut(rack) {
            *uplink = uplink.saturating_add(resources.kb_s);
        }
        self.update_fullness(site);
    }
}

fn fullness(all: Resources, available: Resources) -> u64 {
    let utilization = |total: u64, free: u64| {
        let used = total.saturating_sub(free);
        used.saturating_mul(FULLNESS_SCALE).checked_div(total).unwrap_or(0)
    };
    utilization(all.bytes >> 20, available.bytes >> 20)
        .max(utilization(all.kb_s, available.kb_s))
        .max(utilization(all.streams, available.streams))
}
