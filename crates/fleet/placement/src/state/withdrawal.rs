//! Withdrawal of copies: they are no longer offered, all fronts learn of that, and they are drained and deleted.

use super::Placements;
use super::pin::{CopyState, Scope};
use crate::fault_injection::Fault;
use crate::protocol::answers::Event;
use crate::protocol::names::{OrderId, Region, Revision, ServerId, ShardId, Zone};

impl Placements {
    /// Returns whether every front with a placement lease has all records up to this one.
    pub fn all_fronts_have(&self, revision: Revision) -> bool {
        self.fronts.values().all(|f| f.revision >= revision) || self.has_fault(Fault::WithdrawAtOnce)
    }

    /// Returns the copies that the next withdrawal affects. While a version is incomplete no copy is withdrawn (rule
    /// b), except for those of a failover that has reached its maximum duration.
    pub fn withdrawable(&self, shard: &ShardId) -> Vec<ServerId> {
        let Some(pin) = self.pins.get(shard) else { return Vec::new() };
        let complete = pin.removing || pin.is_complete() || self.has_fault(Fault::WithdrawBeforeComplete);
        let failover_exhausted = |region: &Region| {
            pin.failovers
                .iter()
                .any(|(lost, l)| l.ending && l.to == *region && pin.exhausted_failovers.contains(lost))
        };
        let leaving = pin.copies.iter().filter(|(_, c)| {
            let stays = c.wanted || c.state.is_leaving() || matches!(c.state, CopyState::Withdrawing { .. });
            !stays && (complete || failover_exhausted(&c.region))
        });
        leaving.map(|(id, _)| *id).collect()
    }

    pub(super) fn withdraw(&mut self, shard: &ShardId, events: &mut Vec<Event>) -> Option<()> {
        let leaving = self.withdrawable(shard);
        if leaving.is_empty() {
            return None;
        }
        for at in &leaving {
            // The revision is known once all copies have changed their state.
            self.set_copy_state(shard, *at, CopyState::Withdrawing { revision: Revision(u64::MAX) }, events);
        }
        self.publish(shard, false, events);
        let pin = self.pins.get_mut(shard)?;
        // If the record has not changed, the last one is already without these copies.
        let revision = pin.record.as_ref().map(|r| r.revision).unwrap_or_default();
        for at in &leaving {
            if let Some(copy) = pin.copies.get_mut(at) {
                copy.state = CopyState::Withdrawing { revision };
            }
        }
        Some(())
    }

    pub(super) fn drain(&mut self, shard: &ShardId, at: ServerId, events: &mut Vec<Event>) -> Option<()> {
        let CopyState::Withdrawing { revision } = self.copy(shard, at)?.state else { return None };
        if !self.all_fronts_have(revision) {
            return None;
        }
        let order = self.next_order();
        self.set_copy_state(shard, at, CopyState::Draining { order }, events)
    }

    pub(super) fn delete(
        &mut self,
        shard: &ShardId,
        at: ServerId,
        order: OrderId,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        if self.copy(shard, at)?.state != (CopyState::Draining { order }) {
            return None;
        }
        let delete_order = self.next_order();
        self.set_copy_state(shard, at, CopyState::Deleting { order: delete_order }, events)
    }

    /// Returns whether nothing is left of the versions before the latest: every front has the latest version's record
    /// or has lost its lease, and no copy is where only the older versions allowed it. Copies on unreachable media
    /// servers are exempt, because those serve nothing before they are ordered to.
    pub fn can_retire_versions(&self, shard: &ShardId) -> bool {
        let Some(pin) = self.pins.get(shard) else { return false };
        if self.has_fault(Fault::RetireAtOnce) {
            return true;
        }
        let stays = |zone: &Zone| {
            let mut failovers = pin.failovers.values().filter(|l| !l.ending);
            let latest = !pin.removing && pin.zones.values().any(|z| z.contains(zone));
            latest || failovers.any(|l| l.zones.contains(zone))
        };
        let left = pin.copies.iter().filter(|(id, c)| {
            let unreachable = matches!(c.state, CopyState::Deleting { .. }) && !self.is_up(**id);
            !stays(&c.zone) && !unreachable
        });
        // A removed pin stays until all its copies are gone, wherever they are.
        let remaining = if pin.removing { pin.copies.len() } else { left.count() };
        let orphan = |(at, orphan_shard): &(ServerId, ShardId)| {
            let zone = self.inventory.servers.get(at).map(|b| &b.zone);
            orphan_shard == shard && self.is_up(*at) && zone.is_some_and(|z| !stays(z))
        };
        self.all_fronts_have(pin.first_revision) && remaining == 0 && !self.orphans.keys().any(orphan)
    }

    pub(super) fn retire_versions(&mut self, shard: &ShardId, events: &mut Vec<Event>) -> Option<()> {
        if !self.can_retire_versions(shard) {
            return None;
        }
        let pin = self.pins.get_mut(shard)?;
        if pin.older.is_empty() && pin.failovers.values().all(|l| !l.ending) {
            return None;
        }
        pin.older.clear();
        pin.failovers.retain(|_, l| !l.ending);
        let (version, removed) = (pin.version, pin.removing);
        events.push(Event::VersionsRetired(shard.clone(), version));
        if removed {
            self.pins.remove(shard);
            self.revision.0 += 1;
            let revision = self.revision;
            events.push(Event::Published { revision, shard: shard.clone(), record: None });
        }
        Some(())
    }

    /// Returns where copies and sessions of a shard are allowed by all versions that are not retired.
    pub fn scopes(&self, shard: &ShardId) -> Vec<Scope> {
        let Some(pin) = self.pins.get(shard) else { return vec![Scope::Anywhere] };
        pin.older.values().cloned().chain([pin.scope()]).collect()
    }
}
