//! Steps of the work. Each looks first whether all is as it expects, so that one that comes late, twice or from a holder that is no
//! more finds nothing to do. `None`: nothing was done.

use super::copies::Miss;
use super::pace::Ends;
use super::pin::CopyState;
use super::{MOST_STRAYS, Placements};
use crate::planted::Fault;
use crate::words::answers::Event;
use crate::words::commands::{Failure, Source, Step};
use crate::words::names::{BoxId, Digest, Order, ShardId};

/// The log's clock goes on by no more than this at once, milliseconds.
const MOST_CLOCK_MS: u64 = 3_600_000;

impl Placements {
    pub(super) fn step(&mut self, step: &Step, events: &mut Vec<Event>) -> Option<()> {
        match step {
            Step::Clock(to) => {
                let to = (*to).min(self.clock + MOST_CLOCK_MS);
                (to > self.clock).then(|| self.clock = to)
            }
            Step::Met { id, life, disk, told } => self.met(*id, (*life, *disk), *told, events),
            Step::Lost { id, life } => self.lost(*id, *life, events),
            Step::Admit(id) => self.admit_held(*id, events),
            Step::Begin { shard, at, from } => self.begin(shard, *at, *from, events),
            Step::Read { shard, at, order, digest } => self.read_there(shard, *at, *order, digest, events),
            Step::Failed { shard, at, order, why } => self.failed(shard, *at, *order, *why, events),
            Step::Serve { shard, at, order } => self.serve(shard, *at, *order, events),
            Step::Recheck { shard, at } => self.recheck(shard, *at, events),
            Step::Stray { shard, at } => self.stray(shard, *at),
            Step::Narrow(shard) => self.narrow(shard, events),
            Step::Drain { shard, at } => self.drain(shard, *at, events),
            Step::Delete { shard, at, order } => self.delete(shard, *at, *order, events),
            Step::Gone { shard, at, order } => self.gone(shard, *at, *order, events),
            Step::Replace(shard) => self.replace(shard, events),
            Step::Lend(shard, region) => self.lend(shard, region, events),
            Step::Unlend(shard, region) => self.unlend(shard, region),
            Step::Over(shard) => self.over(shard, events),
        }
    }

    /// Whether a copy may be begun now, as far as the pace goes.
    pub fn may_begin(&self, shard: &ShardId, at: BoxId, from: Source) -> bool {
        self.begins(shard, at, from).is_some()
    }

    fn begins(&self, shard: &ShardId, at: BoxId, from: Source) -> Option<Ends> {
        let pin = self.pins.get(shard)?;
        let copy = pin.copies.get(&at)?;
        let due = copy.state == CopyState::Reserved && copy.wanted && self.clock >= copy.not_before;
        if !due || copy.tries >= self.rules.tries || !self.is_up(at) {
            return None;
        }
        let from = match from {
            Source::Origin => None,
            Source::Box(id) => {
                let source = pin.copies.get(&id).filter(|c| c.state.is_verified() && self.is_up(id))?;
                Some((id, source.rack))
            }
        };
        let ends = Ends { to: (at, copy.rack), from };
        self.pace.allows(ends, &self.rules, &self.inventory).then_some(ends)
    }

    fn begin(&mut self, shard: &ShardId, at: BoxId, from: Source, events: &mut Vec<Event>) -> Option<()> {
        let ends = self.begins(shard, at, from)?;
        let order = self.next_order();
        if self.planted(Fault::RoomLate)
            && let Some(copy) = self.copy(shard, at)
        {
            let (rack, room) = (copy.rack, copy.room);
            self.taken.take(at, rack, room);
        }
        // What was there and nobody's is written over, and an order to delete it would be too old.
        self.strays.remove(&(at, shard.clone()));
        self.turn(shard, at, CopyState::Copying { order, from: ends.from }, events)?;
        self.pins.get_mut(shard)?.copies.get_mut(&at)?.touched = true;
        Some(())
    }

    /// What a copy's box reads or writes for it now, by this order.
    fn moving(&self, shard: &ShardId, at: BoxId, order: Order) -> Option<CopyState> {
        let state = self.copy(shard, at)?.state;
        match state {
            CopyState::Copying { order: is, .. } | CopyState::Checking { order: is } if is == order => {
                Some(state)
            }
            _ => None,
        }
    }

    fn read_there(
        &mut self,
        shard: &ShardId,
        at: BoxId,
        order: Order,
        digest: &Digest,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        self.moving(shard, at, order)?;
        let right = self.pins.get(shard)?.request.digest == *digest || self.planted(Fault::NoDigest);
        if right {
            let order = self.next_order();
            return self.turn(shard, at, CopyState::Checked { order }, events);
        }
        self.missed(shard, at, order, Miss::Wrong, events);
        Some(())
    }

    fn failed(
        &mut self,
        shard: &ShardId,
        at: BoxId,
        order: Order,
        why: Failure,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        self.moving(shard, at, order)?;
        self.missed(shard, at, order, Miss::Said(why), events);
        Some(())
    }

    fn serve(&mut self, shard: &ShardId, at: BoxId, order: Order, events: &mut Vec<Event>) -> Option<()> {
        let copy = self.copy(shard, at)?;
        if copy.state != (CopyState::Checked { order }) || !self.is_up(at) {
            return None;
        }
        self.turn(shard, at, CopyState::Serving, events)?;
        let pin = self.pins.get_mut(shard)?;
        pin.copies.get_mut(&at)?.tries = 0;
        self.publish(shard, false, events);
        Some(())
    }

    /// Whether a copy may be read again now, as far as the pace goes.
    pub fn may_recheck(&self, shard: &ShardId, at: BoxId) -> bool {
        self.copy(shard, at).is_some_and(|copy| {
            let ends = Ends { to: (at, copy.rack), from: None };
            copy.state == CopyState::Unchecked
                && self.is_up(at)
                && self.pace.allows(ends, &self.rules, &self.inventory)
        })
    }

    fn recheck(&mut self, shard: &ShardId, at: BoxId, events: &mut Vec<Event>) -> Option<()> {
        if !self.may_recheck(shard, at) {
            return None;
        }
        let order = self.next_order();
        self.turn(shard, at, CopyState::Checking { order }, events)
    }

    fn stray(&mut self, shard: &ShardId, at: BoxId) -> Option<()> {
        let key = (at, shard.clone());
        if self.copy(shard, at).is_some()
            || self.strays.contains_key(&key)
            || self.strays.len() >= MOST_STRAYS
        {
            return None;
        }
        let order = self.next_order();
        self.strays.insert(key, order);
        Some(())
    }

    fn gone(&mut self, shard: &ShardId, at: BoxId, order: Order, events: &mut Vec<Event>) -> Option<()> {
        let key = (at, shard.clone());
        if self.strays.get(&key) == Some(&order) {
            self.strays.remove(&key);
            return Some(());
        }
        match self.copy(shard, at)?.state {
            CopyState::Deleting { order: is } if is == order => self.let_go(shard, at, events),
            _ => None,
        }
    }
}
