//! Steps of the worker. Each one checks its precondition first, so that a step that is late, repeated or from a former
//! holder of the lease has no effect. The functions return `None` if nothing was done.

use super::copies::CopyFailure;
use super::pin::CopyState;
use super::transfers::Transfer;
use super::{MAX_ORPHANS, Placements};
use crate::fault_injection::Fault;
use crate::protocol::answers::Event;
use crate::protocol::commands::{Failure, Source, Step};
use crate::protocol::names::{Digest, OrderId, ServerId, ShardId};

/// Maximum advance of the log's clock by one step, in milliseconds.
const MAX_CLOCK_ADVANCE_MS: u64 = 3_600_000;

impl Placements {
    pub(super) fn step(&mut self, step: &Step, events: &mut Vec<Event>) -> Option<()> {
        match step {
            Step::Clock(to) => {
                let to = (*to).min(self.clock + MAX_CLOCK_ADVANCE_MS);
                (to > self.clock).then(|| self.clock = to)
            }
            Step::ServerUp { id, incarnation, disk, presence } => {
                self.server_up(*id, (*incarnation, *disk), *presence, events)
            }
            Step::ServerLost { id, incarnation } => self.server_lost(*id, *incarnation, events),
            Step::Admit(id) => self.admit_waiting(*id, events),
            Step::BeginCopy { shard, at, from } => self.begin_copy(shard, *at, *from, events),
            Step::CopyRead { shard, at, order, digest } => self.copy_read(shard, *at, *order, digest, events),
            Step::CopyFailed { shard, at, order, why } => self.copy_failed(shard, *at, *order, *why, events),
            Step::Serve { shard, at, order } => self.serve(shard, *at, *order, events),
            Step::Recheck { shard, at } => self.recheck(shard, *at, events),
            Step::Orphan { shard, at } => self.record_orphan(shard, *at),
            Step::Withdraw(shard) => self.withdraw(shard, events),
            Step::Drain { shard, at } => self.drain(shard, *at, events),
            Step::Delete { shard, at, order } => self.delete(shard, *at, *order, events),
            Step::Deleted { shard, at, order } => self.copy_deleted(shard, *at, *order, events),
            Step::Replace(shard) => self.replace(shard, events),
            Step::FailOver(shard, region) => self.fail_over(shard, region, events),
            Step::FailBack(shard, region) => self.fail_back(shard, region),
            Step::RetireVersions(shard) => self.retire_versions(shard, events),
        }
    }

    /// Returns whether a copy may be started now within the limits on transfers.
    pub fn may_begin(&self, shard: &ShardId, at: ServerId, from: Source) -> bool {
        self.startable_transfer(shard, at, from).is_some()
    }

    fn startable_transfer(&self, shard: &ShardId, at: ServerId, from: Source) -> Option<Transfer> {
        let pin = self.pins.get(shard)?;
        let copy = pin.copies.get(&at)?;
        let due = copy.state == CopyState::Reserved && copy.wanted && self.clock >= copy.not_before;
        if !due || copy.attempts >= self.rules.max_attempts || !self.is_up(at) {
            return None;
        }
        let from = match from {
            Source::Origin => None,
            Source::Server(id) => {
                let source = pin.copies.get(&id).filter(|c| c.state.is_verified() && self.is_up(id))?;
                Some((id, source.rack))
            }
        };
        let transfer = Transfer { to: (at, copy.rack), from };
        self.transfers.allows(transfer, &self.rules, &self.inventory).then_some(transfer)
    }

    fn begin_copy(
        &mut self,
        shard: &ShardId,
        at: ServerId,
        from: Source,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        let transfer = self.startable_transfer(shard, at, from)?;
        let order = self.next_order();
        if self.has_fault(Fault::ReserveLate)
            && let Some(copy) = self.copy(shard, at)
        {
            let (rack, resources) = (copy.rack, copy.resources);
            self.usage.reserve(at, rack, resources);
        }
        // The copy overwrites the orphan, and an order to delete that would be outdated.
        self.orphans.remove(&(at, shard.clone()));
        self.set_copy_state(shard, at, CopyState::Copying { order, from: transfer.from }, events)?;
        self.pins.get_mut(shard)?.copies.get_mut(&at)?.touched = true;
        Some(())
    }

    /// Returns the state of a copy if this order is the one that currently writes or reads it.
    fn running_order(&self, shard: &ShardId, at: ServerId, order: OrderId) -> Option<CopyState> {
        let state = self.copy(shard, at)?.state;
        match state {
            CopyState::Copying { order: is, .. } | CopyState::Checking { order: is } if is == order => {
                Some(state)
            }
            _ => None,
        }
    }

    fn copy_read(
        &mut self,
        shard: &ShardId,
        at: ServerId,
        order: OrderId,
        digest: &Digest,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        self.running_order(shard, at, order)?;
        let is_right = self.pins.get(shard)?.request.digest == *digest || self.has_fault(Fault::IgnoreDigest);
        if is_right {
            let serve_order = self.next_order();
            return self.set_copy_state(shard, at, CopyState::Checked { order: serve_order }, events);
        }
        self.retry_later(shard, at, order, CopyFailure::WrongDigest, events);
        Some(())
    }

    fn copy_failed(
        &mut self,
        shard: &ShardId,
        at: ServerId,
        order: OrderId,
        why: Failure,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        self.running_order(shard, at, order)?;
        self.retry_later(shard, at, order, CopyFailure::Reported(why), events);
        Some(())
    }

    fn serve(
        &mut self,
        shard: &ShardId,
        at: ServerId,
        order: OrderId,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        let copy = self.copy(shard, at)?;
        if copy.state != (CopyState::Checked { order }) || !self.is_up(at) {
            return None;
        }
        self.set_copy_state(shard, at, CopyState::Serving, events)?;
        let pin = self.pins.get_mut(shard)?;
        pin.copies.get_mut(&at)?.attempts = 0;
        self.publish(shard, false, events);
        Some(())
    }

    /// Returns whether a copy may be checked now within the limits on transfers.
    pub fn may_recheck(&self, shard: &ShardId, at: ServerId) -> bool {
        self.copy(shard, at).is_some_and(|copy| {
            let transfer = Transfer { to: (at, copy.rack), from: None };
            copy.state == CopyState::Unchecked
                && self.is_up(at)
                && self.transfers.allows(transfer, &self.rules, &self.inventory)
        })
    }

    fn recheck(&mut self, shard: &ShardId, at: ServerId, events: &mut Vec<Event>) -> Option<()> {
        if !self.may_recheck(shard, at) {
            return None;
        }
        let order = self.next_order();
        self.set_copy_state(shard, at, CopyState::Checking { order }, events)
    }

    fn record_orphan(&mut self, shard: &ShardId, at: ServerId) -> Option<()> {
        let key = (at, shard.clone());
        if self.copy(shard, at).is_some()
            || self.orphans.contains_key(&key)
            || self.orphans.len() >= MAX_ORPHANS
        {
            return None;
        }
        let order = self.next_order();
        self.orphans.insert(key, order);
        Some(())
    }

    fn copy_deleted(
        &mut self,
        shard: &ShardId,
        at: ServerId,
        order: OrderId,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        let key = (at, shard.clone());
        if self.orphans.get(&key) == Some(&order) {
            self.orphans.remove(&key);
            return Some(());
        }
        match self.copy(shard, at)?.state {
            CopyState::Deleting { order: is } if is == order => self.remove_copy(shard, at, events),
            _ => None,
        }
    }
}
