//! What there is: boxes, racks, regions, and how much of them is taken.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::words::names::{BoxId, RackId, Region, Zone};
use crate::words::request::Room;

/// A box, as the operator says it is.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoxLine {
    /// Its zone.
    pub zone: Zone,
    /// Its rack.
    pub rack: RackId,
    /// What it has.
    pub has: Room,
    /// What of that is held for other things than placed shards.
    #[serde(default)]
    pub held: Room,
}

/// A rack's uplink.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RackLine {
    /// What it carries, kB a second.
    pub uplink_kb_s: u64,
    /// What of that is held for other things than placed shards.
    #[serde(default)]
    pub held_kb_s: u64,
}

/// Boxes, racks and regions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Inventory {
    /// Boxes.
    pub boxes: BTreeMap<BoxId, BoxLine>,
    /// Racks.
    pub racks: BTreeMap<RackId, RackLine>,
    /// Regions: sets of zones, which may overlap.
    pub regions: BTreeMap<Region, BTreeSet<Zone>>,
}

/// What admitted requests have taken of it. Room is taken at admission and given back once the copy is known to be gone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Taken {
    boxes: BTreeMap<BoxId, Room>,
    uplinks: BTreeMap<RackId, u64>,
}

impl Taken {
    /// Takes room of a copy. The rack is where the box stood then: it is given back there.
    pub fn take(&mut self, id: BoxId, rack: RackId, room: Room) {
        let of = self.boxes.entry(id).or_default();
        *of = of.plus(room);
        *self.uplinks.entry(rack).or_default() += room.kb_s;
    }

    /// Gives it back.
    pub fn give_back(&mut self, id: BoxId, rack: RackId, room: Room) {
        if let Some(of) = self.boxes.get_mut(&id) {
            *of = of.less(room);
            if *of == Room::default() {
                self.boxes.remove(&id);
            }
        }
        if let Some(of) = self.uplinks.get_mut(&rack) {
            *of = of.saturating_sub(room.kb_s);
            if *of == 0 {
                self.uplinks.remove(&rack);
            }
        }
    }

    /// Of a box.
    pub fn of_box(&self, id: BoxId) -> Room {
        self.boxes.get(&id).copied().unwrap_or_default()
    }

    /// Of a rack's uplink, kB a second.
    pub fn of_uplink(&self, rack: RackId) -> u64 {
        self.uplinks.get(&rack).copied().unwrap_or_default()
    }
}
