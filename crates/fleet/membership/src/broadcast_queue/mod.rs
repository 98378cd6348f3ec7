//! Queue of updates that are yet to be disseminated (SWIM, section 4.1).

use std::collections::{BTreeMap, BTreeSet};

use crate::identity::MemberId;
use crate::messages::{MAX_UPDATE_BYTES, Update};

/// Maximum number of queued updates, one for each member of the largest fleet.
const MAX_QUEUED: usize = 8192;
/// Number of transmissions of each update per doubling of the number of members (SWIM's lambda, section 4.1).
const RETRANSMIT_MULTIPLIER: u32 = 3;

#[derive(Debug, Clone)]
struct Queued {
    update: Update,
    transmissions: u32,
    sequence: u64,
}

impl Queued {
    fn rank(&self, id: MemberId) -> Rank {
        Rank { transmissions: self.transmissions, sequence: self.sequence, id }
    }
}

/// The order of transmission. Updates that were transmitted least come first, and the newest of them first of all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    transmissions: u32,
    /// Sequence number that decreases with each queued update.
    sequence: u64,
    id: MemberId,
}

/// A queue that holds only the newest update per member and transmits each a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct BroadcastQueue {
    updates: BTreeMap<MemberId, Queued>,
    order: BTreeSet<Rank>,
    queued_so_far: u64,
}

impl BroadcastQueue {
    /// Queues an update and replaces an older one about the same member. A full queue drops its most transmitted update.
    pub fn push(&mut self, update: Update) {
        let id = update.member();
        if let Some(replaced) = self.updates.remove(&id) {
            self.order.remove(&replaced.rank(id));
        }
        if self.updates.len() >= MAX_QUEUED
            && let Some(last) = self.order.pop_last()
        {
            self.updates.remove(&last.id);
        }
        self.queued_so_far += 1;
        let queued = Queued { update, transmissions: 0, sequence: u64::MAX - self.queued_so_far };
        self.order.insert(queued.rank(id));
        self.updates.insert(id, queued);
    }

    /// Adds queued updates to those of a packet, up to [`MAX_UPDATE_BYTES`]. `members` is the number of active members.
    pub fn fill(&mut self, packet: &mut Vec<Update>, members: usize) {
        let limit = max_transmissions(members);
        for rank in self.select(packet) {
            self.transmit(rank, packet, limit);
        }
    }

    /// Returns the first updates in order that fit into a packet and whose members the packet has no update about.
    fn select(&self, packet: &[Update]) -> Vec<Rank> {
        let mut remaining_bytes =
            MAX_UPDATE_BYTES.saturating_sub(packet.iter().map(Update::max_encoded_len).sum());
        let present: Vec<MemberId> = packet.iter().map(Update::member).collect();
        let mut selected = Vec::new();
        for rank in &self.order {
            let Some(queued) = self.updates.get(&rank.id) else { continue };
            let length = queued.update.max_encoded_len();
            if length > remaining_bytes {
                break;
            }
            if !present.contains(&rank.id) {
                remaining_bytes -= length;
                selected.push(*rank);
            }
        }
        selected
    }

    fn transmit(&mut self, rank: Rank, packet: &mut Vec<Update>, limit: u32) {
        self.order.remove(&rank);
        let Some(queued) = self.updates.get_mut(&rank.id) else { return };
        packet.push(queued.update.clone());
        queued.transmissions += 1;
        if queued.transmissions >= limit {
            self.updates.remove(&rank.id);
        } else {
            self.order.insert(queued.rank(rank.id));
        }
    }

    /// Returns the number of queued updates.
    pub fn len(&self) -> usize {
        self.updates.len()
    }
}

fn max_transmissions(members: usize) -> u32 {
    RETRANSMIT_MULTIPLIER * (members + 1).next_power_of_two().trailing_zeros().max(1)
}

#[cfg(test)]
mod tests;
