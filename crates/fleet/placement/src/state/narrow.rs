//! How copies go: offered no more, known to all fronts, played out, deleted.

use super::Placements;
use super::pin::{CopyState, Scope};
use crate::planted::Fault;
use crate::words::answers::Event;
use crate::words::names::{BoxId, Order, Region, Revision, ShardId, Zone};

impl Placements {
    /// Whether every front has all records up to this one, or has lost its right to place.
    pub fn all_have(&self, revision: Revision) -> bool {
        self.fronts.values().all(|f| f.has >= revision) || self.planted(Fault::NarrowAtOnce)
    }

    /// Copies that are offered no more once this is done. Rule (b): while a version is not complete nothing goes, but for what was
    /// lent for as long as the request allows.
    pub fn droppable(&self, shard: &ShardId) -> Vec<BoxId> {
        let Some(pin) = self.pins.get(shard) else { return Vec::new() };
        let complete = pin.removing || pin.is_complete() || self.planted(Fault::NarrowFirst);
        let spent = |region: &Region| {
            pin.lent.iter().any(|(lost, l)| l.ending && l.to == *region && pin.spent.contains(lost))
        };
        let goes = pin.copies.iter().filter(|(_, c)| {
            let stays = c.wanted || c.state.is_going() || matches!(c.state, CopyState::Narrowing { .. });
            !stays && (complete || spent(&c.region))
        });
        goes.map(|(id, _)| *id).collect()
    }

    pub(super) fn narrow(&mut self, shard: &ShardId, events: &mut Vec<Event>) -> Option<()> {
        let goes = self.droppable(shard);
        if goes.is_empty() {
            return None;
        }
        for at in &goes {
            // The revision is known after all of them are turned.
            self.turn(shard, *at, CopyState::Narrowing { at: Revision(u64::MAX) }, events);
        }
        self.publish(shard, false, events);
        let pin = self.pins.get_mut(shard)?;
        // If nothing new was to be told, the last record is already without them.
        let revision = pin.record.as_ref().map(|r| r.revision).unwrap_or_default();
        for at in &goes {
            if let Some(copy) = pin.copies.get_mut(at) {
                copy.state = CopyState::Narrowing { at: revision };
            }
        }
        Some(())
    }

    pub(super) fn drain(&mut self, shard: &ShardId, at: BoxId, events: &mut Vec<Event>) -> Option<()> {
        let CopyState::Narrowing { at: revision } = self.copy(shard, at)?.state else { return None };
        if !self.all_have(revision) {
            return None;
        }
        let order = self.next_order();
        self.turn(shard, at, CopyState::Draining { order }, events)
    }

    pub(super) fn delete(
        &mut self,
        shard: &ShardId,
        at: BoxId,
        order: Order,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        if self.copy(shard, at)?.state != (CopyState::Draining { order }) {
            return None;
        }
        let order = self.next_order();
        self.turn(shard, at, CopyState::Deleting { order }, events)
    }

    /// Whether nothing is left of the versions before the latest: every front has it or has lost its right, and no copy lies where
    /// only they allowed it, but for boxes out of reach, which play nothing before they are told to.
    pub fn is_over(&self, shard: &ShardId) -> bool {
        let Some(pin) = self.pins.get(shard) else { return false };
        if self.planted(Fault::OverAtOnce) {
            return true;
        }
        let stays = |zone: &Zone| {
            let mut stay = pin.lent.values().filter(|l| !l.ending);
            let latest = !pin.removing && pin.zones.values().any(|z| z.contains(zone));
            latest || stay.any(|l| l.zones.contains(zone))
        };
        let left = pin.copies.iter().filter(|(id, c)| {
            let out_of_reach = matches!(c.state, CopyState::Deleting { .. }) && !self.is_up(**id);
            !stays(&c.zone) && !out_of_reach
        });
        // A pin that is removed stays until all of it is gone, wherever it lies.
        let rest = if pin.removing { pin.copies.len() } else { left.count() };
        let stray = |(at, of): &(BoxId, ShardId)| {
            let zone = self.inventory.boxes.get(at).map(|b| &b.zone);
            of == shard && self.is_up(*at) && zone.is_some_and(|z| !stays(z))
        };
        self.all_have(pin.told) && rest == 0 && !self.strays.keys().any(stray)
    }

    pub(super) fn over(&mut self, shard: &ShardId, events: &mut Vec<Event>) -> Option<()> {
        if !self.is_over(shard) {
            return None;
        }
        let pin = self.pins.get_mut(shard)?;
        if pin.older.is_empty() && pin.lent.values().all(|l| !l.ending) {
            return None;
        }
        pin.older.clear();
        pin.lent.retain(|_, l| !l.ending);
        let (version, removed) = (pin.version, pin.removing);
        events.push(Event::Over(shard.clone(), version));
        if removed {
            self.pins.remove(shard);
            self.revision.0 += 1;
            let revision = self.revision;
            events.push(Event::Published { revision, shard: shard.clone(), record: None });
        }
        Some(())
    }

    /// Where copies and sessions of a shard may be, by all versions that are not over.
    pub fn scopes(&self, shard: &ShardId) -> Vec<Scope> {
        let Some(pin) = self.pins.get(shard) else { return vec![Scope::Anywhere] };
        pin.older.values().cloned().chain([pin.scope()]).collect()
    }
}
