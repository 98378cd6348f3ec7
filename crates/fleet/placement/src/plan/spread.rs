//! Where the copies of one shard go: spread over zones, then over racks, then to the emptier box.
//!
//! Boxes differ in nothing else than whether a copy fits, racks in how many they can still carry, and a box takes one copy of a
//! shard: for one region this is a partition matroid, on which taking any that fits, one after another, reaches the most copies
//! that there can be (Edmonds, "Matroids and the greedy algorithm", 1971). So "it does not fit" is no guess: regions of a request have no
//! zone in common, and a rack lies in one zone, so that regions take nothing from each other. Zones and racks are preferred in that
//! order among all that fit, so copies lie in two zones, or two racks, wherever that is possible beside the copies that are kept.

use std::collections::BTreeSet;

use super::ground::{Ground, Site};
use crate::words::names::{Region, Zone};
use crate::words::request::Room;

/// Copies wanted in a region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Want<'a> {
    /// Which.
    pub region: &'a Region,
    /// Its zones.
    pub zones: &'a BTreeSet<Zone>,
    /// How many.
    pub copies: usize,
}

/// A region that can't have what is wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lacks {
    /// Which.
    pub region: Region,
    /// Copies that it could have, those that are kept counted.
    pub fit: usize,
}

/// Where copies go.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Chosen {
    /// New copies.
    pub new: Vec<(Region, Site)>,
    /// Regions that can't have what is wanted.
    pub lacks: Vec<Lacks>,
}

/// Chooses boxes for what is missing. `kept` are copies that stay; `avoid` are boxes that can't be used for this shard. What is chosen
/// is taken from the ground.
pub fn choose(
    ground: &mut Ground,
    room: Room,
    wants: &[Want<'_>],
    kept: &[(Region, Site)],
    avoid: &BTreeSet<Site>,
) -> Chosen {
    let mut sites: Vec<Site> = kept.iter().map(|k| k.1).collect();
    let mut chosen = Chosen::default();
    for want in wants {
        let have = kept.iter().filter(|k| k.0 == *want.region).count();
        let missing = want.copies.saturating_sub(have);
        let all = if missing > 0 { ground.within(want.zones) } else { Vec::new() };
        let all: Vec<Site> = all.into_iter().filter(|s| !avoid.contains(s)).collect();
        for done in 0..missing {
            let Some(site) = best(ground, room, &all, &sites) else {
                chosen.lacks.push(Lacks { region: want.region.clone(), fit: have + done });
                break;
            };
            ground.take(site, room);
            sites.push(site);
            chosen.new.push((want.region.clone(), site));
        }
    }
    chosen
}

/// The best of some boxes beside those that a shard has: a new zone, a new rack, the emptiest.
pub fn best(ground: &Ground, room: Room, all: &[Site], sites: &[Site]) -> Option<Site> {
    let zones: Vec<u16> = sites.iter().map(|s| ground.zone(*s)).collect();
    let racks: Vec<u16> = sites.iter().map(|s| ground.rack(*s)).collect();
    let times = |all: &[u16], one: u16| all.iter().filter(|x| **x == one).count();
    let mut best: Option<(usize, usize, u64, Site)> = None;
    for site in all.iter().copied() {
        // Planning spends its time here: what is cheap to see goes first.
        let zone = times(&zones, ground.zone(site));
        if best.is_some_and(|b| zone > b.0) {
            continue;
        }
        let score = (zone, times(&racks, ground.rack(site)), ground.fullness(site), site);
        if best.is_none_or(|b| score < b) && ground.fits(site, room) && !sites.contains(&site) {
            best = Some(score);
        }
    }
    best.map(|b| b.3)
}
