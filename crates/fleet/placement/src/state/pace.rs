//! How many copies are read and written at once: boxes and uplinks keep room for viewers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::plan::inventory::Inventory;
use crate::words::commands::Rules;
use crate::words::names::{BoxId, RackId};

/// What moves.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Pace {
    boxes: BTreeMap<BoxId, u16>,
    racks: BTreeMap<RackId, u16>,
}

fn add<K: Ord + std::marker::Copy>(all: &mut BTreeMap<K, u16>, key: K) {
    let n = all.entry(key).or_default();
    *n = n.saturating_add(1);
}

fn less<K: Ord + std::marker::Copy>(all: &mut BTreeMap<K, u16>, key: K) {
    if let Some(n) = all.get_mut(&key) {
        *n = n.saturating_sub(1);
        if *n == 0 {
            all.remove(&key);
        }
    }
}

/// A copy's two ends: its box and rack, and those that it is read from, if it is another box. Both ends count on both uplinks,
/// also where they are one rack: what is over is never too little room for viewers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Ends {
    pub(super) to: (BoxId, RackId),
    pub(super) from: Option<(BoxId, RackId)>,
}

impl Pace {
    /// Whether a copy more may move.
    pub(super) fn allows(&self, ends: Ends, rules: &Rules, inventory: &Inventory) -> bool {
        let ends: Vec<(BoxId, RackId)> = [Some(ends.to), ends.from].into_iter().flatten().collect();
        ends.iter().all(|(id, rack)| {
            let busy = self.boxes.get(id).copied().unwrap_or(0);
            let line = inventory.racks.get(rack).copied().unwrap_or_default();
            let room = line.uplink_kb_s / 100 * u64::from(rules.uplink_percent);
            let both = ends.iter().filter(|e| e.1 == *rack).count() as u64;
            let moving = u64::from(self.racks.get(rack).copied().unwrap_or(0));
            // One at a time always may, or nothing would ever be copied over a small uplink.
            busy < rules.box_copies && (moving == 0 || (moving + both) * rules.copy_kb_s <= room)
        })
    }

    pub(super) fn begin(&mut self, ends: Ends) {
        for (id, rack) in [Some(ends.to), ends.from].into_iter().flatten() {
            add(&mut self.boxes, id);
            add(&mut self.racks, rack);
        }
    }

    pub(super) fn end(&mut self, ends: Ends) {
        for (id, rack) in [Some(ends.to), ends.from].into_iter().flatten() {
            less(&mut self.boxes, id);
            less(&mut self.racks, rack);
        }
    }
}
