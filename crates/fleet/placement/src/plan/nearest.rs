//! What a request lacks, and the nearest one that would fit.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use super::ground::{Ground, Site};
use super::spread::{Lacks, Want, choose};
use crate::words::names::Region;
use crate::words::request::Room;

/// A region that has no room, with the sum that does not fit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Short {
    /// Which.
    pub region: Region,
    /// Copies wanted there.
    pub wanted: u32,
    /// Copies that it has room for.
    pub fit: u32,
    /// What one copy needs.
    pub needs: Room,
    /// The most that any box there has free of each, boxes that have a copy left aside.
    pub most_free: Room,
    /// The most that any rack's uplink there has free, kB a second.
    pub most_uplink_kb_s: u64,
}

/// The nearest requests that would fit; either may be nothing.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Nearest {
    /// With as many copies as there is room for.
    pub copies: BTreeMap<Region, u8>,
    /// With all copies, of so many bytes each; nought: none fit.
    pub bytes: u64,
}

/// Why a request does not fit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NoRoom {
    /// Regions that are short.
    pub short: Vec<Short>,
    /// What would fit.
    pub nearest: Nearest,
}

impl fmt::Display for NoRoom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for s in &self.short {
            let Short { region, wanted, fit, needs, most_free, most_uplink_kb_s } = s;
            write!(
                f,
                "{region} has room for {fit} of {wanted} copies: each needs {} bytes, {} streams, {} kB/s, and at most {} bytes, {} \
                 streams, {} kB/s of a link and {most_uplink_kb_s} kB/s of an uplink are free; ",
                needs.bytes, needs.streams, needs.kb_s, most_free.bytes, most_free.streams, most_free.kb_s,
            )?;
        }
        let copies: Vec<String> = self.nearest.copies.iter().map(|(r, c)| format!("{c} in {r}")).collect();
        let copies = if copies.is_empty() { "none".to_owned() } else { copies.join(", ") };
        write!(f, "would fit: copies {copies}; or all copies of {} bytes each", self.nearest.bytes)
    }
}

/// What is missing, and what would fit. `ground` is as it was before anything was chosen.
pub fn no_room(
    ground: &Ground,
    room: Room,
    wants: &[Want<'_>],
    kept: &[(Region, Site)],
    avoid: &BTreeSet<Site>,
    lacks: &[Lacks],
) -> NoRoom {
    let short = lacks.iter().filter_map(|lack| {
        let want = wants.iter().find(|w| *w.region == lack.region)?;
        let open = |s: &Site| ground.usable(*s) && !avoid.contains(s) && kept.iter().all(|k| k.1 != *s);
        let sites: Vec<Site> = ground.within(want.zones).into_iter().filter(open).collect();
        let most = |of: fn(Room) -> u64| sites.iter().map(|s| of(ground.free(*s))).max().unwrap_or(0);
        Some(Short {
            region: lack.region.clone(),
            wanted: want.copies as u32,
            fit: lack.fit as u32,
            needs: room,
            most_free: Room {
                bytes: most(|r| r.bytes),
                streams: most(|r| r.streams),
                kb_s: most(|r| r.kb_s),
            },
            most_uplink_kb_s: sites.iter().map(|s| ground.uplink(*s)).max().unwrap_or(0),
        })
    });
    let short: Vec<Short> = short.collect();
    let copies = wants.iter().filter_map(|w| {
        let fit = lacks.iter().find(|l| l.region == *w.region).map_or(w.copies, |l| l.fit);
        (fit > 0).then(|| (w.region.clone(), u8::try_from(fit).unwrap_or(u8::MAX)))
    });
    let nearest = Nearest { copies: copies.collect(), bytes: most_bytes(ground, room, wants, kept, avoid) };
    NoRoom { short, nearest }
}

/// The largest copies of which all fit: what fits by bytes changes only at the free bytes of some box.
fn most_bytes(
    ground: &Ground,
    room: Room,
    wants: &[Want<'_>],
    kept: &[(Region, Site)],
    avoid: &BTreeSet<Site>,
) -> u64 {
    let all: BTreeSet<u64> = (0..ground.len()).map(|s| ground.free(s).bytes.min(room.bytes)).collect();
    let all: Vec<u64> = all.into_iter().filter(|b| *b > 0).collect();
    let fits = |bytes: u64| {
        let mut trial = ground.clone();
        choose(&mut trial, Room { bytes, ..room }, wants, kept, avoid).lacks.is_empty()
    };
    let fit = all.partition_point(|bytes| fits(*bytes));
    fit.checked_sub(1).and_then(|at| all.get(at)).copied().unwrap_or(0)
}
