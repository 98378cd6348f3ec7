//! Commands of operators.

use super::{Account, MAX_CUSTOMERS, Placements, Presence};
use crate::plan::inventory::ServerInfo;
use crate::protocol::answers::{Answer, OperatorError};
use crate::protocol::commands::{OperatorCommand, Rules};
use crate::protocol::names::ServerId;

/// Maximum number of regions, and of zones in a region.
const MAX_ZONES: usize = 256;
/// Maximum number of racks, and of media servers.
const MAX_SERVERS: usize = 10_000;

/// Maximum of the durations in the rules, in milliseconds: 30 days.
const MAX_RULE_DURATION_MS: u64 = 30 * 24 * 3_600_000;

impl Placements {
    pub(super) fn operator_command(&mut self, command: &OperatorCommand) -> Answer {
        match self.try_operator_command(command) {
            Ok(()) => Answer::Done,
            Err(error) => Answer::Rejected(error),
        }
    }

    fn try_operator_command(&mut self, command: &OperatorCommand) -> Result<(), OperatorError> {
        match command {
            OperatorCommand::Region(region, zones) => {
                if zones.is_empty() || zones.len() > MAX_ZONES {
                    return Err(OperatorError::NoZones);
                }
                if self.inventory.regions.len() >= MAX_ZONES && !self.inventory.regions.contains_key(region) {
                    return Err(OperatorError::TooMany);
                }
                self.inventory.regions.insert(region.clone(), zones.clone());
            }
            OperatorCommand::Server(id, info) => self.set_server(*id, info)?,
            OperatorCommand::Decommission(id) => self.decommission(*id)?,
            OperatorCommand::Rack(id, info) => {
                if self.inventory.racks.len() >= MAX_SERVERS && !self.inventory.racks.contains_key(id) {
                    return Err(OperatorError::TooMany);
                }
                self.inventory.racks.insert(*id, *info);
            }
            OperatorCommand::Quota(customer, quota) => {
                if self.accounts.len() >= MAX_CUSTOMERS && !self.accounts.contains_key(customer) {
                    return Err(OperatorError::TooMany);
                }
                let new = || Account { quota: quota.clone(), changes: Vec::new(), keys: Default::default() };
                self.accounts.entry(customer.clone()).or_insert_with(new).quota = quota.clone();
            }
            OperatorCommand::Rules(rules) => {
                check_rules(rules)?;
                self.rules = *rules;
            }
        }
        Ok(())
    }

    fn set_server(&mut self, id: ServerId, info: &ServerInfo) -> Result<(), OperatorError> {
        // Copies are spread over racks and zones as failure domains, which requires that a rack is in one zone.
        let mut others = self.inventory.servers.iter().filter(|(other, _)| **other != id);
        if let Some((_, other)) = others.find(|(_, o)| o.rack == info.rack && o.zone != info.zone) {
            return Err(OperatorError::RackZone(other.zone.clone(), info.rack));
        }
        match self.inventory.servers.get(&id) {
            // The allowed zones of copies (rule a) refer to the zones of their media servers.
            Some(is) if (is.rack, &is.zone) != (info.rack, &info.zone) && self.has_copies(id) => {
                return Err(OperatorError::ServerHasCopies);
            }
            None if self.inventory.servers.len() >= MAX_SERVERS => return Err(OperatorError::TooMany),
            _ => {}
        }
        self.inventory.servers.insert(id, info.clone());
        Ok(())
    }

    fn has_copies(&self, id: ServerId) -> bool {
        self.pins.values().any(|p| p.copies.contains_key(&id)) || self.orphans.keys().any(|(at, _)| *at == id)
    }

    /// Removes a media server and releases its resources, because the operator states that its disk is lost for good.
    fn decommission(&mut self, id: ServerId) -> Result<(), OperatorError> {
        if matches!(self.presence.get(&id), Some(Presence::Up { .. })) {
            return Err(OperatorError::ServerUp);
        }
        for pin in self.pins.values_mut() {
            // A wanted copy stays as one that can't be made here, so that a `Replace` step finds it.
            let Some(copy) = pin.copies.get_mut(&id).filter(|c| !c.wanted) else { continue };
            self.usage.release(id, copy.rack, copy.resources);
            pin.copies.remove(&id);
        }
        self.orphans.retain(|(at, _), _| *at != id);
        if !self.has_copies(id) {
            self.inventory.servers.remove(&id);
            self.presence.remove(&id);
            let order = self.next_order();
            self.presence_numbers.insert(id, order);
        }
        Ok(())
    }
}

fn check_rules(rules: &Rules) -> Result<(), OperatorError> {
    let invalid = |what: &str| Err(OperatorError::Rules(what.to_owned()));
    if rules.server_transfers == 0 || rules.max_attempts == 0 {
        return invalid("box_copies and tries must be at least 1, or nothing is ever copied");
    }
    if rules.copy_kb_s == 0 || rules.uplink_percent == 0 || rules.uplink_percent > 100 {
        return invalid(
            "copy_kb_s must be at least 1 and uplink_percent 1 to 100, or nothing is ever copied",
        );
    }
    let durations_ms =
        [rules.grace_ms, rules.failover_after_ms, rules.failback_after_ms, rules.replace_after_ms];
    if durations_ms.iter().any(|duration_ms| *duration_ms > MAX_RULE_DURATION_MS) {
        return invalid("times must not exceed 30 days");
    }
    Ok(())
}
