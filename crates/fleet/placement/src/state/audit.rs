//! Invariants of the state, for tests.

use std::collections::BTreeMap;

use super::Placements;
use super::copies::transfer;
use super::transfers::TransferCounts;
use crate::plan::inventory::Usage;

impl Placements {
    /// Checks the invariants of the whole state. The check visits everything and is meant for tests.
    ///
    /// # Errors
    /// Returns a description of the first violation.
    pub fn audit(&self) -> Result<(), String> {
        let (mut usage, mut transfers) = (Usage::default(), TransferCounts::default());
        for (shard, pin) in &self.pins {
            for (id, copy) in &pin.copies {
                usage.reserve(*id, copy.rack, copy.resources);
                if let Some(transfer) = transfer(*id, copy) {
                    transfers.begin(transfer);
                }
                // A copy on an unreachable media server whose versions were retired is deleted once the media server
                // is back.
                let leaving = matches!(copy.state, super::CopyState::Deleting { .. });
                if !pin.allows(&copy.zone) && !leaving {
                    return Err(format!(
                        "no version allows the copy of {shard} on media server {} in zone {}",
                        id.0, copy.zone
                    ));
                }
            }
        }
        if transfers != self.transfers {
            return Err(format!(
                "the copies have the transfers {transfers:?}, but the state counts {:?}",
                self.transfers
            ));
        }
        for (id, info) in &self.inventory.servers {
            let resources = info.total.saturating_sub(info.reserved);
            if !resources.fits(usage.of_server(*id)) {
                return Err(format!(
                    "media server {} has {resources:?}, but {:?} is reserved",
                    id.0,
                    usage.of_server(*id)
                ));
            }
        }
        for (id, info) in &self.inventory.racks {
            let (available, reserved) =
                (info.uplink_kb_s.saturating_sub(info.reserved_kb_s), usage.of_uplink(*id));
            if reserved > available {
                return Err(format!(
                    "rack {} has an uplink of {available} kB/s, but {reserved} kB/s are reserved",
                    id.0
                ));
            }
        }
        if usage != self.usage {
            return Err(format!("the copies reserve {usage:?}, but the state counts {:?}", self.usage));
        }
        let bytes = |customer| -> u64 {
            self.pins_by_customer(customer).filter(|p| !p.1.removing).map(|p| p.1.request.total_bytes()).sum()
        };
        let over: BTreeMap<_, _> = self.accounts.iter().filter(|(c, a)| bytes(c) > a.quota.bytes).collect();
        over.keys().next().map_or(Ok(()), |c| Err(format!("customer {c} exceeds its quota")))
    }
}
