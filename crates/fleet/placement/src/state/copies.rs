//! What changes of copies have in common: their room, their pace, what fronts are told.

use std::collections::BTreeSet;

use super::pace::Ends;
use super::pin::{Copy, CopyState};
use super::{Placements, Presence};
use crate::words::answers::{Event, Record};
use crate::words::commands::Failure;
use crate::words::names::{BoxId, Order, ShardId};
use crate::words::request::First;

/// The longest wait after a try that failed, by the log's clock.
const LONGEST_WAIT_MS: u64 = 60_000;

/// Why a copy is not had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Miss {
    /// The box says so.
    Said(Failure),
    /// Its digest is wrong.
    Wrong,
    /// Its box was lost while it was written.
    Lost,
}

impl Placements {
    pub(super) fn copy(&self, shard: &ShardId, at: BoxId) -> Option<&Copy> {
        self.pins.get(shard)?.copies.get(&at)
    }

    /// Brings a copy to a state; the pace follows.
    pub(super) fn turn(
        &mut self,
        shard: &ShardId,
        at: BoxId,
        to: CopyState,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        let clock = self.clock;
        let copy = self.pins.get_mut(shard)?.copies.get_mut(&at)?;
        if let Some(ends) = ends(at, copy) {
            self.pace.end(ends);
        }
        (copy.state, copy.since) = (to, clock);
        if let Some(ends) = ends(at, copy) {
            self.pace.begin(ends);
        }
        events.push(Event::Copy { shard: shard.clone(), at, to: Some(to.name()) });
        Some(())
    }

    /// A copy is gone, and its room is free. Nothing of it is left at its box, by the box's own word or as nothing was ever begun.
    pub(super) fn let_go(&mut self, shard: &ShardId, at: BoxId, events: &mut Vec<Event>) -> Option<()> {
        let copy = self.pins.get_mut(shard)?.copies.remove(&at)?;
        if let Some(ends) = ends(at, &copy) {
            self.pace.end(ends);
        }
        self.taken.give_back(at, copy.rack, copy.room);
        events.push(Event::Copy { shard: shard.clone(), at, to: None });
        Some(())
    }

    /// Drops what no version wants and no front has been told of: copies of which nothing was begun at once, half-written ones by an
    /// order. What was ever whole stays until the version is complete: it may be the last there is.
    pub(super) fn drop_unbegun(&mut self, shard: &ShardId, events: &mut Vec<Event>) {
        let Some(pin) = self.pins.get(shard) else { return };
        let unwanted = pin.copies.iter().filter(|(_, c)| !c.wanted && !c.offered);
        let unwanted: Vec<(BoxId, CopyState, bool)> =
            unwanted.map(|(id, c)| (*id, c.state, c.touched)).collect();
        for (at, state, touched) in unwanted {
            match state {
                CopyState::Reserved if !touched => drop(self.let_go(shard, at, events)),
                CopyState::Reserved | CopyState::Copying { .. } => {
                    let order = self.next_order();
                    self.turn(shard, at, CopyState::Deleting { order }, events);
                }
                _ => {}
            }
        }
    }

    /// A try has failed: again later, after a wait that doubles and that differs from copy to copy.
    pub(super) fn missed(
        &mut self,
        shard: &ShardId,
        at: BoxId,
        order: Order,
        why: Miss,
        events: &mut Vec<Event>,
    ) {
        let tries = self.rules.tries;
        let clock = self.clock;
        self.turn(shard, at, CopyState::Reserved, events);
        let Some(copy) = self.pins.get_mut(shard).and_then(|p| p.copies.get_mut(&at)) else { return };
        copy.tries = match why {
            // A box that is full is so at the next try, too: another is looked for at once.
            Miss::Said(Failure::Full) => tries,
            Miss::Lost | Miss::Said(Failure::Missing) => copy.tries,
            Miss::Wrong | Miss::Said(_) => copy.tries.saturating_add(1).min(tries),
        };
        let wait = (1_000_u64 << copy.tries.min(10)).min(LONGEST_WAIT_MS);
        copy.not_before = clock + wait / 2 + order.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) % (wait / 2).max(1);
        if !copy.wanted {
            self.drop_unbegun(shard, events);
        }
    }

    /// Tells fronts of a shard, if there is anything new; `anew`: even if not, as the version is another.
    pub(super) fn publish(&mut self, shard: &ShardId, anew: bool, events: &mut Vec<Event>) {
        let Some(pin) = self.pins.get_mut(shard) else { return };
        let offered = |c: &&Copy| c.state.is_offered();
        let boxes: BTreeSet<BoxId> =
            pin.copies.iter().filter(|(_, c)| offered(c)).map(|(id, _)| *id).collect();
        let home = match &pin.request.first {
            First::Nearest => BTreeSet::new(),
            First::Home(home) => {
                let at_home = |id: &&BoxId| {
                    let zone = pin.copies.get(id).map(|c| &c.zone);
                    zone.is_some_and(|z| pin.zones.get(home).is_some_and(|zones| zones.contains(z)))
                };
                boxes.iter().filter(at_home).copied().collect()
            }
        };
        let before = pin.record.as_ref();
        if !anew && before.is_some_and(|r| r.boxes == boxes && r.home == home) {
            return;
        }
        let narrows = before.is_none_or(|r| !r.boxes.is_subset(&boxes));
        self.revision.0 += 1;
        let revision = self.revision;
        if narrows {
            self.narrowed = revision;
        }
        if anew {
            pin.told = revision;
        }
        for id in &boxes {
            if let Some(copy) = pin.copies.get_mut(id) {
                copy.offered = true;
            }
        }
        let record = Record {
            revision,
            version: pin.version,
            titles: pin.request.titles.clone(),
            boxes,
            home,
            narrows,
        };
        pin.record = Some(record.clone());
        events.push(Event::Published { revision, shard: shard.clone(), record: Some(record) });
    }

    /// Whether a box is there in any life.
    pub(super) fn lost_since(&self, id: BoxId) -> Option<u64> {
        match self.presence.get(&id) {
            Some(Presence::Up { .. }) => None,
            Some(Presence::Lost { since, .. }) => Some(*since),
            // One that was never met is as good as lost from the beginning.
            None => Some(0),
        }
    }
}

/// What a copy takes of the pace.
pub(super) fn ends(at: BoxId, copy: &Copy) -> Option<Ends> {
    match copy.state {
        CopyState::Copying { from, .. } => Some(Ends { to: (at, copy.rack), from }),
        CopyState::Checking { .. } => Some(Ends { to: (at, copy.rack), from: None }),
        _ => None,
    }
}
