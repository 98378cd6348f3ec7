//! Media servers and regions that are lost and return.

use std::collections::{BTreeMap, BTreeSet};

use super::copies::CopyFailure;
use super::pin::{CopyState, Failover, Pin};
use super::{Placements, Presence};
use crate::fault_injection::Fault;
use crate::plan::capacity::Site;
use crate::plan::selection::{RegionDemand, choose};
use crate::protocol::answers::Event;
use crate::protocol::names::{DiskId, Incarnation, OrderId, Region, ServerId, ShardId, Zone};
use crate::protocol::request::OnLoss;

/// Delay until a copy that can be replaced nowhere is retried on its media server, in milliseconds.
const REPLACE_RETRY_MS: u64 = 60_000;

impl Placements {
    fn shards_at(&self, id: ServerId) -> Vec<ShardId> {
        self.pins.iter().filter(|(_, p)| p.copies.contains_key(&id)).map(|(shard, _)| shard.clone()).collect()
    }

    /// Records that a media server is reachable. A new incarnation serves nothing before it is ordered to, and its
    /// copies are checked before they count, because it may have returned with an old disk or an empty one.
    ///
    /// The report was sent after the media server had received the number of the presence that is replaced, so it
    /// comes from that incarnation or a later one. A delayed report of a former incarnation therefore can't bring that
    /// one back, which would make the current one look like a new one with an empty disk.
    pub(super) fn server_up(
        &mut self,
        id: ServerId,
        (incarnation, disk): (Incarnation, DiskId),
        presence: OrderId,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        if !self.inventory.servers.contains_key(&id) || presence != self.presence_number(id) {
            return None;
        }
        let before = self.presence.get(&id).copied();
        if before == Some(Presence::Up { incarnation, disk }) {
            return None;
        }
        let last_known = match before {
            Some(
                Presence::Up { incarnation: last, disk: last_disk }
                | Presence::Lost { incarnation: last, disk: last_disk, .. },
            ) => Some((last, last_disk)),
            None => None,
        };
        self.set_presence(id, Presence::Up { incarnation, disk });
        if self.has_fault(Fault::TrustReturnedDisk) {
            return Some(());
        }
        let (new_incarnation, new_disk) =
            (last_known.map(|w| w.0) != Some(incarnation), last_known.is_some_and(|w| w.1 != disk));
        for shard in self.shards_at(id) {
            self.update_returned_copy(&shard, id, new_incarnation, new_disk, events);
            self.publish(&shard, false, events);
        }
        let orphans: Vec<(ServerId, ShardId)> = self.orphans.keys().filter(|k| k.0 == id).cloned().collect();
        for key in orphans {
            // Another disk has none of the data, and orders for another incarnation are refused.
            self.orphans.remove(&key);
            if !new_disk {
                let order = self.next_order();
                self.orphans.insert(key, order);
            }
        }
        Some(())
    }

    fn update_returned_copy(
        &mut self,
        shard: &ShardId,
        id: ServerId,
        new_incarnation: bool,
        new_disk: bool,
        events: &mut Vec<Event>,
    ) {
        let Some(state) = self.copy(shard, id).map(|c| c.state) else { return };
        let is_new = new_incarnation || new_disk;
        match state {
            CopyState::Copying { order, .. } if is_new => {
                self.retry_later(shard, id, order, CopyFailure::ServerLost, events)
            }
            CopyState::Serving | CopyState::Checked { .. } | CopyState::Checking { .. } if is_new => {
                self.set_copy_state(shard, id, CopyState::Unchecked, events);
            }
            CopyState::Draining { .. } | CopyState::Deleting { .. } if new_disk => {
                self.remove_copy(shard, id, events);
            }
            // Orders get new numbers. Those before were for another incarnation or from before the media server was
            // lost, and it no longer accepts them.
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
            self.set_copy_state(shard, id, CopyState::Reserved, events);
        }
        if let Some(copy) = self.pins.get_mut(shard).and_then(|p| p.copies.get_mut(&id)) {
            (copy.touched, copy.attempts) = (false, 0);
        }
    }

    pub(super) fn server_lost(
        &mut self,
        id: ServerId,
        incarnation: Incarnation,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        let Some(Presence::Up { incarnation: is, disk }) = self.presence.get(&id).copied() else {
            return None;
        };
        if is != incarnation {
            return None;
        }
        let since = self.clock;
        self.set_presence(id, Presence::Lost { incarnation, disk, since });
        for shard in self.shards_at(id) {
            match self.copy(&shard, id).map(|c| c.state) {
                Some(CopyState::Serving | CopyState::Checked { .. } | CopyState::Checking { .. }) => {
                    self.set_copy_state(&shard, id, CopyState::Unchecked, events);
                }
                Some(CopyState::Copying { order, .. }) => {
                    self.retry_later(&shard, id, order, CopyFailure::ServerLost, events)
                }
                _ => {}
            }
            self.publish(&shard, false, events);
        }
        Some(())
    }

    /// Returns the wanted copies that can't be made on their media servers.
    pub fn replaceable(&self, shard: &ShardId) -> Vec<ServerId> {
        let Some(pin) = self.pins.get(shard) else { return Vec::new() };
        let lost_long = |id: ServerId| {
            self.unreachable_since(id)
                .is_some_and(|since| self.clock >= since.saturating_add(self.rules.replace_after_ms))
        };
        let replaceable = pin.copies.iter().filter(|(id, c)| {
            let failed = c.state == CopyState::Reserved && c.attempts >= self.rules.max_attempts;
            c.wanted && self.clock >= c.not_before && (failed || lost_long(**id))
        });
        replaceable.map(|(id, _)| *id).collect()
    }

    pub(super) fn replace(&mut self, shard: &ShardId, events: &mut Vec<Event>) -> Option<()> {
        let replaceable = self.replaceable(shard);
        if replaceable.is_empty() {
            return None;
        }
        let mut pin = self.pins.remove(shard)?;
        let mut moved = false;
        for id in replaceable {
            let Some(region) = pin.copies.get(&id).map(|c| c.region.clone()) else { continue };
            let failover_zones =
                pin.failovers.values().find(|l| l.to == region && !l.ending).map(|l| &l.zones);
            let zones = pin.zones.get(&region).or(failover_zones).cloned().unwrap_or_default();
            let found = self.find_servers(&pin, &region, &zones, 1);
            let resources = pin.request.resources();
            match found.and_then(|new| new.into_iter().next()) {
                Some(new) => {
                    self.reserve(&mut pin, new, region, resources);
                    moved = true;
                    if let Some(copy) = pin.copies.get_mut(&id) {
                        copy.wanted = false;
                    }
                }
                None => {
                    if let Some(copy) = pin.copies.get_mut(&id) {
                        copy.not_before = self.clock + REPLACE_RETRY_MS;
                        copy.attempts = copy.attempts.min(self.rules.max_attempts.saturating_sub(1));
                    }
                }
            }
        }
        self.pins.insert(shard.clone(), pin);
        if moved {
            self.discard_unoffered(shard, events);
        }
        Some(())
    }

    /// Chooses media servers for further copies in a region, in addition to those that the shard has.
    fn find_servers(
        &self,
        pin: &Pin,
        region: &Region,
        zones: &BTreeSet<Zone>,
        copies: usize,
    ) -> Option<Vec<ServerId>> {
        let mut capacity = self.capacity();
        let excluded: BTreeSet<Site> = pin.copies.keys().filter_map(|id| capacity.site(*id)).collect();
        let wanted = pin.copies.iter().filter(|(_, c)| c.wanted);
        // The placeholder region makes these copies count for the spread, but not for this region.
        let other = Region::try_from("-").ok()?;
        let kept: Vec<(Region, Site)> =
            wanted.filter_map(|(id, _)| Some((other.clone(), capacity.site(*id)?))).collect();
        let demand = RegionDemand { region, zones, copies };
        let chosen = choose(&mut capacity, pin.request.resources(), &[demand], &kept, &excluded);
        chosen.unplaced.is_empty().then(|| chosen.new.iter().map(|(_, s)| capacity.id(*s)).collect())
    }

    /// Returns whether all media servers of some zones have been unreachable for this time.
    fn zones_lost(&self, zones: &BTreeSet<Zone>, duration_ms: u64) -> bool {
        let mut servers = self.inventory.servers.iter().filter(|(_, b)| zones.contains(&b.zone)).peekable();
        servers.peek().is_some()
            && servers.all(|(id, _)| {
                self.unreachable_since(*id).is_some_and(|s| self.clock >= s.saturating_add(duration_ms))
            })
    }

    /// Returns whether a region's failover is due.
    pub fn failover_due(&self, shard: &ShardId, region: &Region) -> bool {
        self.pins.get(shard).is_some_and(|pin| {
            let requested = matches!(pin.request.on_loss, OnLoss::FailOver { .. }) && !pin.removing;
            let available = !pin.failovers.contains_key(region) && !pin.exhausted_failovers.contains(region);
            let lost = |zones| self.zones_lost(zones, self.rules.failover_after_ms);
            requested && available && pin.zones.get(region).is_some_and(lost)
        })
    }

    pub(super) fn fail_over(
        &mut self,
        shard: &ShardId,
        region: &Region,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        if !self.failover_due(shard, region) {
            return None;
        }
        let mut pin = self.pins.remove(shard)?;
        let started = self.start_failover(&mut pin, region);
        self.pins.insert(shard.clone(), pin);
        self.discard_unoffered(shard, events);
        started
    }

    fn start_failover(&mut self, pin: &mut Pin, region: &Region) -> Option<()> {
        let OnLoss::FailOver { to, .. } = pin.request.on_loss.clone() else { return None };
        let copies = pin.wanted_in(region);
        for name in to {
            let Some(zones) = self.inventory.regions.get(&name).cloned() else { continue };
            // Copies that are there already and no longer wanted are reused.
            let reused: Vec<ServerId> = pin
                .copies
                .iter()
                .filter(|(id, c)| {
                    let may_be_complete = c.state.is_verified() || c.state == CopyState::Unchecked;
                    !c.wanted && may_be_complete && zones.contains(&c.zone) && self.is_up(**id)
                })
                .map(|(id, _)| *id)
                .take(copies)
                .collect();
            let Some(new) = self.find_servers(pin, &name, &zones, copies - reused.len()) else { continue };
            for id in reused {
                if let Some(copy) = pin.copies.get_mut(&id) {
                    (copy.wanted, copy.region) = (true, name.clone());
                }
            }
            let resources = pin.request.resources();
            new.into_iter().for_each(|id| self.reserve(pin, id, name.clone(), resources));
            pin.failovers
                .insert(region.clone(), Failover { to: name, zones, since: self.clock, ending: false });
            return Some(());
        }
        None
    }

    /// Returns whether a failover has to end, because its region has served reused for long enough or its maximum
    /// duration is over, or whether a region may fail over reused after its return.
    pub fn failback_due(&self, shard: &ShardId, region: &Region) -> bool {
        self.pins.get(shard).is_some_and(|pin| {
            let has_returned = pin.has_served(region, self.clock, self.rules.failback_after_ms);
            match pin.failovers.get(region) {
                Some(l) => !l.ending && (has_returned || self.failover_expired(pin, l)),
                // The region may fail over reused at its next loss.
                None => has_returned && pin.exhausted_failovers.contains(region),
            }
        })
    }

    fn failover_expired(&self, pin: &Pin, failover: &Failover) -> bool {
        let OnLoss::FailOver { max_duration_ms, .. } = &pin.request.on_loss else { return true };
        self.clock >= failover.since.saturating_add(*max_duration_ms)
    }

    pub(super) fn fail_back(&mut self, shard: &ShardId, region: &Region) -> Option<()> {
        if !self.failback_due(shard, region) {
            return None;
        }
        let has_returned = self.pins.get(shard)?.has_served(region, self.clock, self.rules.failback_after_ms);
        let pin = self.pins.get_mut(shard)?;
        let Some(to) = pin.failovers.get(region).map(|l| l.to.clone()) else {
            pin.exhausted_failovers.remove(region);
            return Some(());
        };
        let others: BTreeMap<_, _> =
            pin.failovers.iter().filter(|(r, l)| *r != region && l.to == to && !l.ending).collect();
        // Two lost regions may fail over to the same one, so that the copies which the other one wants stay.
        let kept_copies: usize = others.keys().map(|r| pin.wanted_in(r)).sum();
        let all: Vec<ServerId> =
            pin.copies.iter().filter(|(_, c)| c.wanted && c.region == to).map(|(id, _)| *id).collect();
        for id in all.into_iter().skip(kept_copies) {
            if let Some(copy) = pin.copies.get_mut(&id) {
                copy.wanted = false;
            }
        }
        pin.failovers.get_mut(region)?.ending = true;
        if !has_returned {
            pin.exhausted_failovers.insert(region.clone());
        }
        Some(())
    }
}
