//! Choice of media servers for the copies of one shard. Copies are spread over zones, then over racks, then to the
//! media server with the lowest utilization.
//!
//! A media server has one copy of a shard at most, and either has capacity for it or not. A rack is limited by its
//! uplink. For one region this is a partition matroid, on which a greedy choice of anything that fits reaches the
//! maximum number of copies (Edmonds, "Matroids and the greedy algorithm", 1971). A result of "does not fit" is
//! therefore exact: the regions of a request have no zone in common and a rack is in one zone, so that regions don't
//! compete with each other. Among the media servers with capacity, a new zone is preferred to a new rack, so that
//! copies are in two zones, or two racks, wherever the kept copies allow it.

use std::collections::BTreeSet;

use super::capacity::{Capacity, Site};
use crate::protocol::names::{Region, Zone};
use crate::protocol::request::Resources;

/// The number of copies wanted in a region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionDemand<'a> {
    /// The region.
    pub region: &'a Region,
    /// Zones of the region.
    pub zones: &'a BTreeSet<Zone>,
    /// Number of copies.
    pub copies: usize,
}

/// A region that can't have the wanted number of copies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnplacedCopies {
    /// The region.
    pub region: Region,
    /// Number of copies that fit, including the kept ones.
    pub fit: usize,
}

/// The chosen media servers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Selection {
    /// New copies.
    pub new: Vec<(Region, Site)>,
    /// Regions that can't have the wanted number of copies.
    pub unplaced: Vec<UnplacedCopies>,
}

/// Chooses media servers for the missing copies, and reserves their resources in `capacity`. `kept` are copies that
/// stay. `excluded` are media servers that can't be used for this shard.
pub fn choose(
    capacity: &mut Capacity,
    resources: Resources,
    demands: &[RegionDemand<'_>],
    kept: &[(Region, Site)],
    excluded: &BTreeSet<Site>,
) -> Selection {
    let mut sites: Vec<Site> = kept.iter().map(|k| k.1).collect();
    let mut chosen = Selection::default();
    for demand in demands {
        let kept_here = kept.iter().filter(|k| k.0 == *demand.region).count();
        let missing = demand.copies.saturating_sub(kept_here);
        let all = if missing > 0 { capacity.within(demand.zones) } else { Vec::new() };
        let all: Vec<Site> = all.into_iter().filter(|s| !excluded.contains(s)).collect();
        for done in 0..missing {
            let Some(site) = best(capacity, resources, &all, &sites) else {
                chosen.unplaced.push(UnplacedCopies { region: demand.region.clone(), fit: kept_here + done });
                break;
            };
            capacity.reserve(site, resources);
            sites.push(site);
            chosen.new.push((demand.region.clone(), site));
        }
    }
    chosen
}

/// Returns the best of `candidates` beside the media servers that the shard already has: in a new zone, then in a new
/// rack, then with the lowest utilization.
pub fn best(capacity: &Capacity, resources: Resources, candidates: &[Site], sites: &[Site]) -> Option<Site> {
    let zones: Vec<u16> = sites.iter().map(|s| capacity.zone(*s)).collect();
    let racks: Vec<u16> = sites.iter().map(|s| capacity.rack(*s)).collect();
    let occurrences = |all: &[u16], one: u16| all.iter().filter(|x| **x == one).count();
    let mut best: Option<(usize, usize, u64, Site)> = None;
    for site in candidates.iter().copied() {
        // Planning spends most of its time here, so that the cheap comparison comes first.
        let zone = occurrences(&zones, capacity.zone(site));
        if best.is_some_and(|b| zone > b.0) {
            continue;
        }
        let score = (zone, occurrences(&racks, capacity.rack(site)), capacity.fullness(site), site);
        if best.is_none_or(|b| score < b) && capacity.fits(site, resources) && !sites.contains(&site) {
            best = Some(score);
        }
    }
    best.map(|b| b.3)
}
