//! What must hold of the state at any time, for checks.

use std::collections::BTreeMap;

use super::Placements;
use super::copies::ends;
use super::pace::Pace;
use crate::plan::inventory::Taken;

impl Placements {
    /// What does not hold; nothing: all does. It goes through everything and is meant for tests.
    ///
    /// # Errors
    /// The first thing that does not hold.
    pub fn audit(&self) -> Result<(), String> {
        let (mut taken, mut pace) = (Taken::default(), Pace::default());
        for (shard, pin) in &self.pins {
            for (id, copy) in &pin.copies {
                taken.take(*id, copy.rack, copy.room);
                if let Some(ends) = ends(*id, copy) {
                    pace.begin(ends);
                }
                // At a box that was out of reach when the versions before were over, it is deleted once that is back.
                let goes = matches!(copy.state, super::CopyState::Deleting { .. });
                if !pin.allows(&copy.zone) && !goes {
                    return Err(format!(
                        "a copy of {shard} at box {} in zone {}, which no version allows",
                        id.0, copy.zone
                    ));
                }
            }
        }
        if pace != self.pace {
            return Err(format!("copies move by {pace:?}, and {:?} is counted", self.pace));
        }
        for (id, line) in &self.inventory.boxes {
            let room = line.has.less(line.held);
            if !room.fits(taken.of_box(*id)) {
                return Err(format!("box {} has {room:?}, and {:?} is taken", id.0, taken.of_box(*id)));
            }
        }
        for (id, line) in &self.inventory.racks {
            let (has, is) = (line.uplink_kb_s.saturating_sub(line.held_kb_s), taken.of_uplink(*id));
            if is > has {
                return Err(format!("rack {} has an uplink of {has}, and {is} is taken", id.0));
            }
        }
        if taken != self.taken {
            return Err(format!("copies take {taken:?}, and {:?} is counted", self.taken));
        }
        let bytes = |customer| -> u64 {
            self.pins_of(customer).filter(|p| !p.1.removing).map(|p| p.1.request.all_bytes()).sum()
        };
        let over: BTreeMap<_, _> = self.accounts.iter().filter(|(c, a)| bytes(c) > a.quota.bytes).collect();
        over.keys().next().map_or(Ok(()), |c| Err(format!("customer {c} has more than its quota")))
    }
}
