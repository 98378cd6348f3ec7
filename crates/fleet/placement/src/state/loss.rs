//! Boxes and regions that are lost and come back.

use std::collections::{BTreeMap, BTreeSet};

use super::copies::Miss;
use super::pin::{CopyState, Lent, Pin};
use super::{Placements, Presence};
use crate::plan::ground::Site;
use crate::plan::spread::{Want, choose};
use crate::planted::Fault;
use crate::words::answers::Event;
use crate::words::names::*;
use crate::words::request::OnLoss;

/// A copy that can be had nowhere is tried again at its box after this, milliseconds.
const AGAIN_MS: u64 = 60_000;

impl Placements {
    fn shards_at(&self, id: BoxId) -> Vec<ShardId> {
        self.pins.iter().filter(|(_, p)| p.copies.contains_key(&id)).map(|(shard, _)| shard.clone()).collect()
    }

    /// A box is there. In another life it plays nothing before it is told to, and what it holds is checked before it counts: it may
    /// have come back with an old disk, or with an empty one.
    ///
    /// It has said so after it was told the number of the presence that is replaced. So it speaks of that life or a later one: a late
    /// word of a life that is over does not bring that back, and the one that is does not then pass for a new one with an empty disk.
    pub(super) fn met(
        &mut self,
        id: BoxId,
        (life, disk): (Life, DiskId),
        told: Order,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        if !self.inventory.boxes.contains_key(&id) || told != self.told(id) {
            return None;
        }
        let before = self.presence.get(&id).copied();
        if before == Some(Presence::Up { life, disk }) {
            return None;
        }
        let was = match before {
            Some(Presence::Up { life, disk } | Presence::Lost { life, disk, .. }) => Some((life, disk)),
            None => None,
        };
        self.set_presence(id, Presence::Up { life, disk });
        if self.planted(Fault::OldDiskServes) {
            return Some(());
        }
        let (new_life, new_disk) = (was.map(|w| w.0) != Some(life), was.is_some_and(|w| w.1 != disk));
        for shard in self.shards_at(id) {
            self.met_with(&shard, id, new_life, new_disk, events);
            self.publish(&shard, false, events);
        }
        let strays: Vec<(BoxId, ShardId)> = self.strays.keys().filter(|k| k.0 == id).cloned().collect();
        for key in strays {
            // Another disk holds nothing of it; orders for another life are not heard.
            self.strays.remove(&key);
            if !new_disk {
                let order = self.next_order();
                self.strays.insert(key, order);
            }
        }
        Some(())
    }

    fn met_with(
        &mut self,
        shard: &ShardId,
        id: BoxId,
        new_life: bool,
        new_disk: bool,
        events: &mut Vec<Event>,
    ) {
        let Some(state) = self.copy(shard, id).map(|c| c.state) else { return };
        let anew = new_life || new_disk;
        match state {
            CopyState::Copying { order, .. } if anew => self.missed(shard, id, order, Miss::Lost, events),
            CopyState::Serving | CopyState::Checked { .. } | CopyState::Checking { .. } if anew => {
                self.turn(shard, id, CopyState::Unchecked, events);
            }
            CopyState::Draining { .. } | CopyState::Deleting { .. } if new_disk => {
                self.let_go(shard, id, events);
            }
            // Orders are given anew: those before were for another life, or from before it was lost, and it takes them no more.
            CopyState::Draining { .. } | CopyState::Deleting { .. } => {
                let order = self.next_order();
                if let Some(copy) = self.pins.get_mut(shard).and_then(|p| p.copies.get_mut(&id)) {
                    copy.state = match copy.state {
                        CopyState::Draining { .. } => CopyState::Draining { order },
                        _ => CopyState::Deleting { order },
                    };
                }
            }
            _ => {}
        }
        if !new_disk {
            return;
        }
        if self.copy(shard, id).is_some_and(|c| c.state == CopyState::Unchecked) {
            self.turn(shard, id, CopyState::Reserved, events);
        }
        if let Some(copy) = self.pins.get_mut(shard).and_then(|p| p.copies.get_mut(&id)) {
            (copy.touched, copy.tries) = (false, 0);
        }
    }

    pub(super) fn lost(&mut self, id: BoxId, life: Life, events: &mut Vec<Event>) -> Option<()> {
        let Some(Presence::Up { life: is, disk }) = self.presence.get(&id).copied() else { return None };
        if is != life {
            return None;
        }
        let since = self.clock;
        self.set_presence(id, Presence::Lost { life, disk, since });
        for shard in self.shards_at(id) {
            match self.copy(&shard, id).map(|c| c.state) {
                Some(CopyState::Serving | CopyState::Checked { .. } | CopyState::Checking { .. }) => {
                    self.turn(&shard, id, CopyState::Unchecked, events);
                }
                Some(CopyState::Copying { order, .. }) => self.missed(&shard, id, order, Miss::Lost, events),
                _ => {}
            }
            self.publish(&shard, false, events);
        }
        Some(())
    }

    /// Copies that are wanted and can't be had where they are to be.
    pub fn replaceable(&self, shard: &ShardId) -> Vec<BoxId> {
        let Some(pin) = self.pins.get(shard) else { return Vec::new() };
        let lost_long = |id: BoxId| {
            self.lost_since(id)
                .is_some_and(|since| self.clock >= since.saturating_add(self.rules.replace_after_ms))
        };
        let out = pin.copies.iter().filter(|(id, c)| {
            let failed = c.state == CopyState::Reserved && c.tries >= self.rules.tries;
            c.wanted && self.clock >= c.not_before && (failed || lost_long(**id))
        });
        out.map(|(id, _)| *id).collect()
    }

    pub(super) fn replace(&mut self, shard: &ShardId, events: &mut Vec<Event>) -> Option<()> {
        let out = self.replaceable(shard);
        if out.is_empty() {
            return None;
        }
        let mut pin = self.pins.remove(shard)?;
        let mut moved = false;
        for id in out {
            let Some(region) = pin.copies.get(&id).map(|c| c.region.clone()) else { continue };
            let lent = pin.lent.values().find(|l| l.to == region && !l.ending).map(|l| &l.zones);
            let zones = pin.zones.get(&region).or(lent).cloned().unwrap_or_default();
            let found = self.find(&pin, &region, &zones, 1);
            let room = pin.request.room();
            match found.and_then(|new| new.into_iter().next()) {
                Some(new) => {
                    self.reserve(&mut pin, new, region, room);
                    moved = true;
                    if let Some(copy) = pin.copies.get_mut(&id) {
                        copy.wanted = false;
                    }
                }
                None => {
                    if let Some(copy) = pin.copies.get_mut(&id) {
                        copy.not_before = self.clock + AGAIN_MS;
                        copy.tries = copy.tries.min(self.rules.tries.saturating_sub(1));
                    }
                }
            }
        }
        self.pins.insert(shard.clone(), pin);
        if moved {
            self.drop_unbegun(shard, events);
        }
        Some(())
    }

    /// Boxes for copies more in a region, beside those that a shard has.
    fn find(&self, pin: &Pin, region: &Region, zones: &BTreeSet<Zone>, copies: usize) -> Option<Vec<BoxId>> {
        let mut ground = self.ground();
        let avoid: BTreeSet<Site> = pin.copies.keys().filter_map(|id| ground.site(*id)).collect();
        let beside = pin.copies.iter().filter(|(_, c)| c.wanted);
        // Of other regions' names, so that they count for the spread and not for this region.
        let other = Region::try_from("-").ok()?;
        let kept: Vec<(Region, Site)> =
            beside.filter_map(|(id, _)| Some((other.clone(), ground.site(*id)?))).collect();
        let want = Want { region, zones, copies };
        let chosen = choose(&mut ground, pin.request.room(), &[want], &kept, &avoid);
        chosen.lacks.is_empty().then(|| chosen.new.iter().map(|(_, s)| ground.id(*s)).collect())
    }

    /// Whether all boxes of some zones have been out of reach for so long.
    fn zones_lost(&self, zones: &BTreeSet<Zone>, for_ms: u64) -> bool {
        let mut boxes = self.inventory.boxes.iter().filter(|(_, b)| zones.contains(&b.zone)).peekable();
        boxes.peek().is_some()
            && boxes
                .all(|(id, _)| self.lost_since(*id).is_some_and(|s| self.clock >= s.saturating_add(for_ms)))
    }

    /// Whether a region's copies are to be lent now.
    pub fn lends(&self, shard: &ShardId, region: &Region) -> bool {
        self.pins.get(shard).is_some_and(|pin| {
            let asked = matches!(pin.request.on_loss, OnLoss::Lend { .. }) && !pin.removing;
            let open = !pin.lent.contains_key(region) && !pin.spent.contains(region);
            let lost = |zones| self.zones_lost(zones, self.rules.lend_after_ms);
            asked && open && pin.zones.get(region).is_some_and(lost)
        })
    }

    pub(super) fn lend(&mut self, shard: &ShardId, region: &Region, events: &mut Vec<Event>) -> Option<()> {
        if !self.lends(shard, region) {
            return None;
        }
        let mut pin = self.pins.remove(shard)?;
        let lent = self.lend_of(&mut pin, region);
        self.pins.insert(shard.clone(), pin);
        self.drop_unbegun(shard, events);
        lent
    }

    fn lend_of(&mut self, pin: &mut Pin, region: &Region) -> Option<()> {
        let OnLoss::Lend { to, .. } = pin.request.on_loss.clone() else { return None };
        let copies = pin.wanted_in(region);
        for name in to {
            let Some(zones) = self.inventory.regions.get(&name).cloned() else { continue };
            // What lies there already and is not wanted any more is taken again.
            let again: Vec<BoxId> = pin
                .copies
                .iter()
                .filter(|(id, c)| {
                    let whole = c.state.is_verified() || c.state == CopyState::Unchecked;
                    !c.wanted && whole && zones.contains(&c.zone) && self.is_up(**id)
                })
                .map(|(id, _)| *id)
                .take(copies)
                .collect();
            let Some(new) = self.find(pin, &name, &zones, copies - again.len()) else { continue };
            for id in again {
                if let Some(copy) = pin.copies.get_mut(&id) {
                    (copy.wanted, copy.region) = (true, name.clone());
                }
            }
            let room = pin.request.room();
            new.into_iter().for_each(|id| self.reserve(pin, id, name.clone(), room));
            pin.lent.insert(region.clone(), Lent { to: name, zones, since: self.clock, ending: false });
            return Some(());
        }
        None
    }

    /// Whether a lend is over: its region has served again for long enough, or it has lasted for as long as it may.
    pub fn unlends(&self, shard: &ShardId, region: &Region) -> bool {
        self.pins.get(shard).is_some_and(|pin| {
            let back = pin.has_served(region, self.clock, self.rules.back_after_ms);
            match pin.lent.get(region) {
                Some(l) => !l.ending && (back || self.lend_spent(pin, l)),
                // It may be lent again at its next loss.
                None => back && pin.spent.contains(region),
            }
        })
    }

    fn lend_spent(&self, pin: &Pin, lent: &Lent) -> bool {
        let OnLoss::Lend { for_ms, .. } = &pin.request.on_loss else { return true };
        self.clock >= lent.since.saturating_add(*for_ms)
    }

    pub(super) fn unlend(&mut self, shard: &ShardId, region: &Region) -> Option<()> {
        if !self.unlends(shard, region) {
            return None;
        }
        let back = self.pins.get(shard)?.has_served(region, self.clock, self.rules.back_after_ms);
        let pin = self.pins.get_mut(shard)?;
        let Some(to) = pin.lent.get(region).map(|l| l.to.clone()) else {
            pin.spent.remove(region);
            return Some(());
        };
        let others: BTreeMap<_, _> =
            pin.lent.iter().filter(|(r, l)| *r != region && l.to == to && !l.ending).collect();
        // Two lost regions may be lent to the same one: as many copies stay as the other wants.
        let stay: usize = others.keys().map(|r| pin.wanted_in(r)).sum();
        let all: Vec<BoxId> =
            pin.copies.iter().filter(|(_, c)| c.wanted && c.region == to).map(|(id, _)| *id).collect();
        for id in all.into_iter().skip(stay) {
            if let Some(copy) = pin.copies.get_mut(&id) {
                copy.wanted = false;
            }
        }
        pin.lent.get_mut(region)?.ending = true;
        if !back {
            pin.spent.insert(region.clone());
        }
        Some(())
    }
}
