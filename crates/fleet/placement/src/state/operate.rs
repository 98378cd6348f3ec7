//! Operators' words.

use super::{Account, MOST_CUSTOMERS, Placements, Presence};
use crate::plan::inventory::BoxLine;
use crate::words::answers::{Answer, Unfit};
use crate::words::commands::{Operate, Rules};
use crate::words::names::BoxId;

/// Regions, and zones of a region, at most.
const MOST_ZONES: usize = 256;
/// Boxes, and racks, at most.
const MOST_BOXES: usize = 10_000;

impl Placements {
    pub(super) fn operate(&mut self, operate: &Operate) -> Answer {
        match self.operated(operate) {
            Ok(()) => Answer::Done,
            Err(unfit) => Answer::Unfit(unfit),
        }
    }

    fn operated(&mut self, operate: &Operate) -> Result<(), Unfit> {
        match operate {
            Operate::Region(region, zones) => {
                if zones.is_empty() || zones.len() > MOST_ZONES {
                    return Err(Unfit::NoZones);
                }
                if self.inventory.regions.len() >= MOST_ZONES && !self.inventory.regions.contains_key(region)
                {
                    return Err(Unfit::TooMany);
                }
                self.inventory.regions.insert(region.clone(), zones.clone());
            }
            Operate::Box(id, line) => self.set_box(*id, line)?,
            Operate::Scrap(id) => self.scrap(*id)?,
            Operate::Rack(id, line) => {
                if self.inventory.racks.len() >= MOST_BOXES && !self.inventory.racks.contains_key(id) {
                    return Err(Unfit::TooMany);
                }
                self.inventory.racks.insert(*id, *line);
            }
            Operate::Quota(customer, quota) => {
                if self.accounts.len() >= MOST_CUSTOMERS && !self.accounts.contains_key(customer) {
                    return Err(Unfit::TooMany);
                }
                let new = || Account { quota: quota.clone(), changes: Vec::new(), keys: Default::default() };
                self.accounts.entry(customer.clone()).or_insert_with(new).quota = quota.clone();
            }
            Operate::Rules(rules) => {
                check(rules)?;
                self.rules = *rules;
            }
        }
        Ok(())
    }

    fn set_box(&mut self, id: BoxId, line: &BoxLine) -> Result<(), Unfit> {
        // The losses that copies are spread over are racks and zones: a rack in two zones would be none.
        let mut others = self.inventory.boxes.iter().filter(|(other, _)| **other != id);
        if let Some((_, other)) = others.find(|(_, o)| o.rack == line.rack && o.zone != line.zone) {
            return Err(Unfit::RackZone(other.zone.clone(), line.rack));
        }
        match self.inventory.boxes.get(&id) {
            // Its copies' zone is what rule (a) goes by.
            Some(is) if (is.rack, &is.zone) != (line.rack, &line.zone) && self.holds(id) => {
                return Err(Unfit::Moved);
            }
            None if self.inventory.boxes.len() >= MOST_BOXES => return Err(Unfit::TooMany),
            _ => {}
        }
        self.inventory.boxes.insert(id, line.clone());
        Ok(())
    }

    fn holds(&self, id: BoxId) -> bool {
        self.pins.values().any(|p| p.copies.contains_key(&id)) || self.strays.keys().any(|(at, _)| *at == id)
    }

    /// The operator's word that the disk is gone for good frees what was taken there.
    fn scrap(&mut self, id: BoxId) -> Result<(), Unfit> {
        if matches!(self.presence.get(&id), Some(Presence::Up { .. })) {
            return Err(Unfit::Up);
        }
        for pin in self.pins.values_mut() {
            // What is wanted is made elsewhere: it stays as a copy that can't be had, for Replace.
            let Some(copy) = pin.copies.get_mut(&id).filter(|c| !c.wanted) else { continue };
            self.taken.give_back(id, copy.rack, copy.room);
            pin.copies.remove(&id);
        }
        self.strays.retain(|(at, _), _| *at != id);
        if !self.holds(id) {
            self.inventory.boxes.remove(&id);
            self.presence.remove(&id);
            let order = self.next_order();
            self.told.insert(id, order);
        }
        Ok(())
    }
}

fn check(rules: &Rules) -> Result<(), Unfit> {
    let bad = |what: &str| Err(Unfit::Rules(what.to_owned()));
    if rules.box_copies == 0 || rules.tries == 0 {
        return bad("box_copies and tries are 1 at least, or nothing is ever copied");
    }
    if rules.copy_kb_s == 0 || rules.uplink_percent == 0 || rules.uplink_percent > 100 {
        return bad("copy_kb_s is 1 at least and uplink_percent 1 to 100, or nothing is ever copied");
    }
    let spans = [rules.grace_ms, rules.lend_after_ms, rules.back_after_ms, rules.replace_after_ms];
    if spans.iter().any(|s| *s > 30 * 24 * 3_600_000) {
        return bad("no time is over 30 days");
    }
    Ok(())
}
