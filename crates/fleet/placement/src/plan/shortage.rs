//! An explanation of missing capacity, with the nearest requests that would fit.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use super::capacity::{Capacity, Site};
use super::selection::{RegionDemand, UnplacedCopies, choose};
use crate::protocol::names::Region;
use crate::protocol::request::Resources;

/// A region without enough capacity.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegionShortage {
    /// The region.
    pub region: Region,
    /// Number of requested copies.
    pub wanted: u32,
    /// Number of copies that fit.
    pub fit: u32,
    /// Resources that one copy needs.
    pub needs: Resources,
    /// Maximum of each free resource over the region's media servers that have no copy yet.
    #[serde(rename = "most_free")]
    pub max_free: Resources,
    /// Maximum free rate of the region's uplinks, in kB per second.
    #[serde(rename = "most_uplink_kb_s")]
    pub max_free_uplink_kb_s: u64,
}

/// The nearest requests that would fit. Either may be empty.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Nearest {
    /// The number of copies in each region that would fit.
    pub copies: BTreeMap<Region, u8>,
    /// The largest size in bytes at which all copies would fit, or 0 if none does.
    pub bytes: u64,
}

/// The reason why there is no capacity for a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shortage {
    /// Regions without enough capacity.
    #[serde(rename = "short")]
    pub regions: Vec<RegionShortage>,
    /// Requests that would fit.
    pub nearest: Nearest,
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for s in &self.regions {
            let RegionShortage { region, wanted, fit, needs, max_free, max_free_uplink_kb_s } = s;
            write!(
                f,
                "{region} has capacity for {fit} of {wanted} copies: each needs {} bytes, {} streams, {} kB/s, and at most {} bytes, {} \
                 streams, {} kB/s of a link and {max_free_uplink_kb_s} kB/s of an uplink are free; ",
                needs.bytes, needs.streams, needs.kb_s, max_free.bytes, max_free.streams, max_free.kb_s,
            )?;
        }
        let copies: Vec<String> = self.nearest.copies.iter().map(|(r, c)| format!("{c} in {r}")).collect();
        let copies = if copies.is_empty() { "none".to_owned() } else { copies.join(", ") };
        write!(f, "would fit: copies {copies}; or all copies with {} bytes each", self.nearest.bytes)
    }
}

/// Explains which capacity is missing, and what would fit. `capacity` is that before any copy was chosen.
pub fn explain_shortage(
    capacity: &Capacity,
    resources: Resources,
    demands: &[RegionDemand<'_>],
    kept: &[(Region, Site)],
    excluded: &BTreeSet<Site>,
    unplaced: &[UnplacedCopies],
) -> Shortage {
    let regions = unplaced.iter().filter_map(|deficit| {
        let demand = demands.iter().find(|w| *w.region == deficit.region)?;
        let open = |s: &Site| capacity.usable(*s) && !excluded.contains(s) && kept.iter().all(|k| k.1 != *s);
        let sites: Vec<Site> = capacity.within(demand.zones).into_iter().filter(open).collect();
        let max = |of: fn(Resources) -> u64| sites.iter().map(|s| of(capacity.free(*s))).max().unwrap_or(0);
        Some(RegionShortage {
            region: deficit.region.clone(),
            wanted: u32::try_from(demand.copies).unwrap_or(u32::MAX),
            fit: u32::try_from(deficit.fit).unwrap_or(u32::MAX),
            needs: resources,
            max_free: Resources {
                bytes: max(|r| r.bytes),
                streams: max(|r| r.streams),
                kb_s: max(|r| r.kb_s),
            },
            max_free_uplink_kb_s: sites.iter().map(|s| capacity.uplink(*s)).max().unwrap_or(0),
        })
    });
    let regions: Vec<RegionShortage> = regions.collect();
    let copies = demands.iter().filter_map(|w| {
        let fit = unplaced.iter().find(|l| l.region == *w.region).map_or(w.copies, |l| l.fit);
        (fit > 0).then(|| (w.region.clone(), u8::try_from(fit).unwrap_or(u8::MAX)))
    });
    let nearest = Nearest {
        copies: copies.collect(),
        bytes: max_copy_bytes(capacity, resources, demands, kept, excluded),
    };
    Shortage { regions, nearest }
}

/// Returns the largest size at which all copies fit. It is the free space of some media server, as the result changes
/// only at those values.
fn max_copy_bytes(
    capacity: &Capacity,
    resources: Resources,
    demands: &[RegionDemand<'_>],
    kept: &[(Region, Site)],
    excluded: &BTreeSet<Site>,
) -> u64 {
    let all: BTreeSet<u64> =
        (0..capacity.len()).map(|s| capacity.free(s).bytes.min(resources.bytes)).collect();
    let all: Vec<u64> = all.into_iter().filter(|b| *b > 0).collect();
    let fits = |bytes: u64| {
        let mut trial = capacity.clone();
        choose(&mut trial, Resources { bytes, ..resources }, demands, kept, excluded).unplaced.is_empty()
    };
    let fit = all.partition_point(|bytes| fits(*bytes));
    fit.checked_sub(1).and_then(|at| all.get(at)).copied().unwrap_or(0)
}
