//! Planning of all shards over all media servers. Copies stay where they are allowed, missing ones are placed, and
//! where one does not fit, as few others as possible are moved.
//!
//! Minimizing the number of moves is bin packing in several dimensions and therefore NP-hard. This is a heuristic,
//! which `tests/plans.rs` compares with exact solutions of small cases. Copies are placed in the order of decreasing
//! size, and one that does not fit has others moved by ejection chains of at most two links.

use std::collections::BTreeSet;

use super::capacity::{Capacity, Site};
use super::inventory::{Inventory, Usage};
use super::selection::best;
use crate::protocol::names::{Region, ServerId};
use crate::protocol::request::Resources;

/// A shard to be placed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ShardDemand {
    /// Resources that one copy needs.
    pub resources: Resources,
    /// Number of wanted copies by region.
    pub demands: Vec<(Region, usize)>,
    /// Existing copies.
    pub existing: Vec<(Region, ServerId)>,
}

/// A placement of all shards.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// The copies of each shard.
    pub copies: Vec<Vec<(Region, ServerId)>>,
    /// Number of copies that have to be made.
    pub moves: usize,
    /// Copies that could not be placed: the index of the shard, and the region.
    pub unplaced: Vec<(usize, Region)>,
}

#[derive(Debug, Clone, Copy)]
struct Placement {
    region: usize,
    site: Site,
}

struct Planner<'a> {
    capacity: Capacity,
    shards: &'a [ShardDemand],
    regions: Vec<(Region, Vec<Site>)>,
    placements: Vec<Vec<Placement>>,
    /// Indices of the shards at each site.
    at: Vec<Vec<usize>>,
}

/// Maximum number of links of an ejection chain.
const MAX_CHAIN_LINKS: usize = 2;
/// Maximum number of copies of one media server that are tried for an ejection chain.
const MAX_CHAIN_CANDIDATES: usize = 48;

/// Plans all shards. Media servers that are not `usable` neither keep nor receive copies.
pub fn plan(inventory: &Inventory, shards: &[ShardDemand], usable: impl Fn(ServerId) -> bool) -> Plan {
    let capacity = Capacity::new(inventory, &Usage::default(), usable);
    let regions = inventory.regions.iter().map(|(r, zones)| (r.clone(), capacity.within(zones))).collect();
    let at = vec![Vec::new(); capacity.len()];
    let mut planner = Planner { capacity, shards, regions, placements: vec![Vec::new(); shards.len()], at };
    let mut missing = planner.keep_existing();
    missing.sort_by_key(|(shard_index, region)| {
        let resources = planner.shards.get(*shard_index).map(|s| s.resources).unwrap_or_default();
        (std::cmp::Reverse((resources.bytes, resources.kb_s)), *shard_index, *region)
    });
    let mut unplaced = Vec::new();
    for (shard_index, region) in missing {
        if !planner.place(shard_index, region, MAX_CHAIN_LINKS) {
            unplaced.extend(planner.regions.get(region).map(|(name, _)| (shard_index, name.clone())));
        }
    }
    planner.finish(unplaced)
}

impl Planner<'_> {
    fn region(&self, name: &Region) -> Option<usize> {
        self.regions.binary_search_by(|r| r.0.cmp(name)).ok()
    }

    fn resources(&self, shard_index: usize) -> Resources {
        self.shards.get(shard_index).map(|s| s.resources).unwrap_or_default()
    }

    fn add(&mut self, shard_index: usize, placement: Placement) {
        self.capacity.reserve(placement.site, self.resources(shard_index));
        if let (Some(placements), Some(at)) =
            (self.placements.get_mut(shard_index), self.at.get_mut(placement.site))
        {
            placements.push(placement);
            at.push(shard_index);
        }
    }

    fn remove(&mut self, shard_index: usize, site: Site) -> Option<Placement> {
        let placements = self.placements.get_mut(shard_index)?;
        let position = placements.iter().position(|s| s.site == site)?;
        let placement = placements.remove(position);
        if let Some(at) = self.at.get_mut(site) {
            at.retain(|m| *m != shard_index);
        }
        self.capacity.release(site, self.resources(shard_index));
        Some(placement)
    }

    /// Keeps copies where they are allowed, and returns the missing ones by shard and region. Where a media server or
    /// an uplink has become too small, small copies are kept first, so that the fewest are moved.
    fn keep_existing(&mut self) -> Vec<(usize, usize)> {
        let mut kept: Vec<(usize, Placement)> = Vec::new();
        for (shard_index, shard) in self.shards.iter().enumerate() {
            for (name, id) in &shard.existing {
                let Some((region, site)) = self.region(name).zip(self.capacity.site(*id)) else { continue };
                let within = self.regions.get(region).is_some_and(|r| r.1.binary_search(&site).is_ok());
                if within && self.capacity.usable(site) {
                    kept.push((shard_index, Placement { region, site }));
                }
            }
        }
        kept.sort_by_key(|(shard_index, placement)| {
            (
                self.resources(*shard_index).bytes,
                self.resources(*shard_index).kb_s,
                *shard_index,
                placement.site,
            )
        });
        for (shard_index, placement) in kept {
            let wanted_copies = self.wanted_copies(shard_index, placement.region);
            let has = self.count(shard_index, placement.region);
            let twice =
                self.placements.get(shard_index).is_some_and(|s| s.iter().any(|s| s.site == placement.site));
            if has < wanted_copies
                && !twice
                && self.capacity.fits(placement.site, self.resources(shard_index))
            {
                self.add(shard_index, placement);
            }
        }
        let mut missing = Vec::new();
        for (shard_index, shard) in self.shards.iter().enumerate() {
            for (name, copies) in &shard.demands {
                let Some(region) = self.region(name) else { continue };
                missing.extend((self.count(shard_index, region)..*copies).map(|_| (shard_index, region)));
            }
        }
        missing
    }

    fn wanted_copies(&self, shard_index: usize, region: usize) -> usize {
        let name = self.regions.get(region).map(|r| &r.0);
        let of = self.shards.get(shard_index).and_then(|s| s.demands.iter().find(|w| Some(&w.0) == name));
        of.map_or(0, |w| w.1)
    }

    fn count(&self, shard_index: usize, region: usize) -> usize {
        self.placements.get(shard_index).map_or(0, |s| s.iter().filter(|s| s.region == region).count())
    }

    fn sites(&self, shard_index: usize) -> Vec<Site> {
        self.placements.get(shard_index).map_or_else(Vec::new, |s| s.iter().map(|s| s.site).collect())
    }

    /// Places a copy, moving others if necessary.
    fn place(&mut self, shard_index: usize, region: usize, max_links: usize) -> bool {
        let Some((_, all)) = self.regions.get(region) else { return false };
        let (resources, sites) = (self.resources(shard_index), self.sites(shard_index));
        if let Some(site) = best(&self.capacity, resources, all, &sites) {
            self.add(shard_index, Placement { region, site });
            return true;
        }
        if max_links == 0 {
            return false;
        }
        let open: Vec<Site> =
            all.iter().copied().filter(|s| self.capacity.usable(*s) && !sites.contains(s)).collect();
        open.into_iter().any(|site| self.move_other(shard_index, region, site, max_links))
    }

    /// Moves one copy off a media server so that another one fits there.
    fn move_other(&mut self, shard_index: usize, region: usize, site: Site, max_links: usize) -> bool {
        let resources = self.resources(shard_index);
        // The smallest copy that frees enough space is the easiest to place elsewhere.
        let mut others: Vec<usize> = self.at.get(site).cloned().unwrap_or_default();
        others.sort_by_key(|m| (self.resources(*m).bytes, *m));
        others.truncate(MAX_CHAIN_CANDIDATES);
        for other in others {
            let Some(placement) = self.remove(other, site) else { continue };
            if self.capacity.fits(site, resources) {
                self.add(shard_index, Placement { region, site });
                if self.place(other, placement.region, max_links - 1) {
                    return true;
                }
                self.remove(shard_index, site);
            }
            self.add(other, placement);
        }
        false
    }

    fn finish(self, unplaced: Vec<(usize, Region)>) -> Plan {
        let mut plan = Plan { copies: Vec::with_capacity(self.shards.len()), moves: 0, unplaced };
        for (shard, placements) in self.shards.iter().zip(&self.placements) {
            let had: BTreeSet<ServerId> = shard.existing.iter().map(|h| h.1).collect();
            let named =
                placements.iter().filter_map(|s| Some((self.regions.get(s.region)?.0.clone(), s.site)));
            let copies: Vec<(Region, ServerId)> = named.map(|(r, s)| (r, self.capacity.id(s))).collect();
            plan.moves += copies.iter().filter(|p| !had.contains(&p.1)).count();
            plan.copies.push(copies);
        }
        plan
    }
}
