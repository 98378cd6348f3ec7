//! Limits on concurrent transfers, which keep capacity of media servers and uplinks for viewers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::plan::inventory::Inventory;
use crate::protocol::commands::Rules;
use crate::protocol::names::{RackId, ServerId};

/// Number of current transfers by media server and rack.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct TransferCounts {
    servers: BTreeMap<ServerId, u16>,
    racks: BTreeMap<RackId, u16>,
}

fn increment<K: Ord + std::marker::Copy>(all: &mut BTreeMap<K, u16>, key: K) {
    let n = all.entry(key).or_default();
    *n = n.saturating_add(1);
}

fn decrement<K: Ord + std::marker::Copy>(all: &mut BTreeMap<K, u16>, key: K) {
    if let Some(n) = all.get_mut(&key) {
        *n = n.saturating_sub(1);
        if *n == 0 {
            all.remove(&key);
        }
    }
}

/// The two ends of a transfer: the media server and rack of the copy, and those of its source unless that is the
/// origin. Both ends count on their uplinks even if they are in one rack, which overestimates the load and never takes
/// capacity from viewers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Transfer {
    pub(super) to: (ServerId, RackId),
    pub(super) from: Option<(ServerId, RackId)>,
}

impl TransferCounts {
    /// Returns whether another transfer may start.
    pub(super) fn allows(&self, transfer: Transfer, rules: &Rules, inventory: &Inventory) -> bool {
        let ends: Vec<(ServerId, RackId)> =
            [Some(transfer.to), transfer.from].into_iter().flatten().collect();
        ends.iter().all(|(id, rack)| {
            let busy = self.servers.get(id).copied().unwrap_or(0);
            let info = inventory.racks.get(rack).copied().unwrap_or_default();
            let budget_kb_s = info.uplink_kb_s / 100 * u64::from(rules.uplink_percent);
            let added = ends.iter().filter(|e| e.1 == *rack).count() as u64;
            let running = u64::from(self.racks.get(rack).copied().unwrap_or(0));
            // One transfer at a time is always allowed, because otherwise nothing would ever be copied over a small
            // uplink.
            busy < rules.server_transfers
                && (running == 0 || (running + added) * rules.copy_kb_s <= budget_kb_s)
        })
    }

    pub(super) fn begin(&mut self, transfer: Transfer) {
        for (id, rack) in [Some(transfer.to), transfer.from].into_iter().flatten() {
            increment(&mut self.servers, id);
            increment(&mut self.racks, rack);
        }
    }

    pub(super) fn end(&mut self, transfer: Transfer) {
        for (id, rack) in [Some(transfer.to), transfer.from].into_iter().flatten() {
            decrement(&mut self.servers, id);
            decrement(&mut self.racks, rack);
        }
    }
}
