//! Changes of a copy's state, with their effect on reserved resources, transfers and records.

use std::collections::BTreeSet;

use super::pin::{Copy, CopyState};
use super::transfers::Transfer;
use super::{Placements, Presence};
use crate::protocol::answers::{Event, Record};
use crate::protocol::commands::Failure;
use crate::protocol::names::{OrderId, ServerId, ShardId};
use crate::protocol::request::First;

/// Maximum delay after a failed attempt, in milliseconds of the log's clock.
const MAX_RETRY_DELAY_MS: u64 = 60_000;

/// The reason why an attempt to make a copy failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CopyFailure {
    /// The media server reported a failure.
    Reported(Failure),
    /// The content has a wrong digest.
    WrongDigest,
    /// The media server became unreachable during the transfer.
    ServerLost,
}

impl Placements {
    pub(super) fn copy(&self, shard: &ShardId, at: ServerId) -> Option<&Copy> {
        self.pins.get(shard)?.copies.get(&at)
    }

    /// Sets the state of a copy, and updates the counts of transfers.
    pub(super) fn set_copy_state(
        &mut self,
        shard: &ShardId,
        at: ServerId,
        to: CopyState,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        let clock = self.clock;
        let copy = self.pins.get_mut(shard)?.copies.get_mut(&at)?;
        if let Some(transfer) = transfer(at, copy) {
            self.transfers.end(transfer);
        }
        (copy.state, copy.since) = (to, clock);
        if let Some(transfer) = transfer(at, copy) {
            self.transfers.begin(transfer);
        }
        events.push(Event::Copy { shard: shard.clone(), at, to: Some(to.name()) });
        Some(())
    }

    /// Removes a copy and releases its resources. Nothing of it may be left on the media server: either the media
    /// server has reported that, or no transfer was ever started.
    pub(super) fn remove_copy(
        &mut self,
        shard: &ShardId,
        at: ServerId,
        events: &mut Vec<Event>,
    ) -> Option<()> {
        let copy = self.pins.get_mut(shard)?.copies.remove(&at)?;
        if let Some(transfer) = transfer(at, &copy) {
            self.transfers.end(transfer);
        }
        self.usage.release(at, copy.rack, copy.resources);
        events.push(Event::Copy { shard: shard.clone(), at, to: None });
        Some(())
    }

    /// Discards copies that no version wants and that no front knows of: at once if no transfer was started, otherwise
    /// by an order to delete. A copy that was ever complete stays until the version is complete, because it may be the
    /// last one.
    pub(super) fn discard_unoffered(&mut self, shard: &ShardId, events: &mut Vec<Event>) {
        let Some(pin) = self.pins.get(shard) else { return };
        let unwanted = pin.copies.iter().filter(|(_, c)| !c.wanted && !c.offered);
        let unwanted: Vec<(ServerId, CopyState, bool)> =
            unwanted.map(|(id, c)| (*id, c.state, c.touched)).collect();
        for (at, state, touched) in unwanted {
            match state {
                CopyState::Reserved if !touched => drop(self.remove_copy(shard, at, events)),
                CopyState::Reserved | CopyState::Copying { .. } => {
                    let order = self.next_order();
                    self.set_copy_state(shard, at, CopyState::Deleting { order }, events);
                }
                _ => {}
            }
        }
    }

    /// Schedules another attempt after a failed one. The delay doubles with each attempt and differs between copies.
    pub(super) fn retry_later(
        &mut self,
        shard: &ShardId,
        at: ServerId,
        order: OrderId,
        why: CopyFailure,
        events: &mut Vec<Event>,
    ) {
        let max_attempts = self.rules.max_attempts;
        let clock = self.clock;
        self.set_copy_state(shard, at, CopyState::Reserved, events);
        let Some(copy) = self.pins.get_mut(shard).and_then(|p| p.copies.get_mut(&at)) else { return };
        copy.attempts = match why {
            // A full media server is full at the next attempt as well, so that a replacement is sought at once.
            CopyFailure::Reported(Failure::Full) => max_attempts,
            CopyFailure::ServerLost | CopyFailure::Reported(Failure::Missing) => copy.attempts,
            CopyFailure::WrongDigest | CopyFailure::Reported(_) => {
                copy.attempts.saturating_add(1).min(max_attempts)
            }
        };
        let wait = (1_000_u64 << copy.attempts.min(10)).min(MAX_RETRY_DELAY_MS);
        copy.not_before = clock + wait / 2 + order.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) % (wait / 2).max(1);
        if !copy.wanted {
            self.discard_unoffered(shard, events);
        }
    }

    /// Publishes a shard's record if it has changed, or in any case if `new_version` is set.
    pub(super) fn publish(&mut self, shard: &ShardId, new_version: bool, events: &mut Vec<Event>) {
        let Some(pin) = self.pins.get_mut(shard) else { return };
        let offered = |c: &&Copy| c.state.is_offered();
        let servers: BTreeSet<ServerId> =
            pin.copies.iter().filter(|(_, c)| offered(c)).map(|(id, _)| *id).collect();
        let home = match &pin.request.first {
            First::Nearest => BTreeSet::new(),
            First::Home(home) => {
                let at_home = |id: &&ServerId| {
                    let zone = pin.copies.get(id).map(|c| &c.zone);
                    zone.is_some_and(|z| pin.zones.get(home).is_some_and(|zones| zones.contains(z)))
                };
                servers.iter().filter(at_home).copied().collect()
            }
        };
        let before = pin.record.as_ref();
        if !new_version && before.is_some_and(|r| r.servers == servers && r.home == home) {
            return;
        }
        let withdraws = before.is_none_or(|r| !r.servers.is_subset(&servers));
        self.revision.0 += 1;
        let revision = self.revision;
        if withdraws {
            self.last_withdrawal = revision;
        }
        if new_version {
            pin.first_revision = revision;
        }
        for id in &servers {
            if let Some(copy) = pin.copies.get_mut(id) {
                copy.offered = true;
            }
        }
        let record = Record {
            revision,
            version: pin.version,
            titles: pin.request.titles.clone(),
            servers,
            home,
            withdraws,
        };
        pin.record = Some(record.clone());
        events.push(Event::Published { revision, shard: shard.clone(), record: Some(record) });
    }

    /// Returns the time at which a media server became unreachable, or `None` if it is reachable.
    pub(super) fn unreachable_since(&self, id: ServerId) -> Option<u64> {
        match self.presence.get(&id) {
            Some(Presence::Up { .. }) => None,
            Some(Presence::Lost { since, .. }) => Some(*since),
            // A media server that has never been reachable counts as unreachable from the beginning.
            None => Some(0),
        }
    }
}

/// Returns the transfer of a copy, or `None` if it is neither written nor read.
pub(super) fn transfer(at: ServerId, copy: &Copy) -> Option<Transfer> {
    match copy.state {
        CopyState::Copying { from, .. } => Some(Transfer { to: (at, copy.rack), from }),
        CopyState::Checking { .. } => Some(Transfer { to: (at, copy.rack), from: None }),
        _ => None,
    }
}
