//! Acquisition of leases.

use super::lease::{InstanceState, Lease};
use super::{Event, Executed, Grant, MAX_LEASES, MAX_SLOTS, TTL_RANGE_MS, Table};
use crate::fault_injection::Fault;
use crate::message::{Answer, Handoff, HolderId, Rejection, Token};
use crate::name::Name;

/// Existing grant whose slot a new grant takes over, if there is one.
#[derive(Debug, Clone, Copy, Default)]
struct Predecessor {
    /// Token of an earlier grant of the same holder, or of a grant that was handed off to its instance.
    token: Option<Token>,
    /// Present if the grant was handed off.
    handoff: Option<Handoff>,
}

impl Table {
    pub(super) fn acquire(
        &mut self,
        holder: HolderId,
        name: &Name,
        slots: u16,
        ttl_ms: u32,
        instance: Option<&Name>,
    ) -> Result<Executed, Rejection> {
        if !TTL_RANGE_MS.contains(&ttl_ms) {
            return Err(Rejection::TtlOutOfRange);
        }
        if slots == 0 || slots > MAX_SLOTS {
            return Err(Rejection::SlotCount);
        }
        let predecessor = self.predecessor(holder, name, slots, instance)?;
        let inherited_slot = predecessor.token.and_then(|token| self.grant(token)).map(|grant| grant.slot);
        let repeats_handoff = self.has_fault(Fault::HandoffRepeated) && predecessor.handoff.is_some();
        if let Some(token) = predecessor.token
            && !repeats_handoff
        {
            self.end(token);
        }
        let token = self.next_token();
        let grant = Grant { holder, slot: 0, ttl_ms, renewals: 0 };
        let slot = self.insert_grant(token, name, slots, inherited_slot, grant);
        let position = self.position(name, slot);
        let answer = match instance {
            Some(instance) => {
                self.instances.insert(token, InstanceState { name: instance.clone(), handoff: None });
                let succession = predecessor.handoff.and_then(|handoff| self.succession(name, handoff));
                Answer::HeldByInstance(token, position, self.instance_grant(succession))
            }
            None => Answer::Granted(token, position),
        };
        let event = Event::Granted { name: name.clone(), token, holder, previous: predecessor.token };
        Ok(Executed { answer, event })
    }

    /// Finds the grant that a new one replaces, and checks that a slot is available.
    fn predecessor(
        &self,
        holder: HolderId,
        name: &Name,
        slots: u16,
        instance: Option<&Name>,
    ) -> Result<Predecessor, Rejection> {
        let Some(lease) = self.leases.get(name) else {
            let is_full = self.leases.len() >= MAX_LEASES;
            return if is_full { Err(Rejection::TooManyLeases) } else { Ok(Predecessor::default()) };
        };
        if lease.slots != slots {
            return Err(Rejection::SlotCount);
        }
        // The holder's TTL has elapsed or its answer was lost. Operations under the earlier grant must not be attributed to the
        // new one, so the new grant gets another token.
        if let Some(token) = lease.token_of(holder) {
            return Ok(Predecessor { token: Some(token), handoff: None });
        }
        if let Some((token, handoff)) = self.handed_off_to(lease, instance) {
            return Ok(Predecessor { token: Some(token), handoff: Some(handoff) });
        }
        if lease.grants.len() >= usize::from(slots) {
            return Err(Rejection::NoFreeSlot);
        }
        Ok(Predecessor::default())
    }

    fn next_token(&mut self) -> Token {
        if !self.has_fault(Fault::TokenReused) || self.last_token == 0 {
            self.last_token += 1;
        }
        Token(self.last_token)
    }

    /// Inserts a grant with the inherited slot or the lowest free one. Returns the slot.
    fn insert_grant(
        &mut self,
        token: Token,
        name: &Name,
        slots: u16,
        inherited_slot: Option<u16>,
        grant: Grant,
    ) -> u16 {
        let grants_twice = self.has_fault(Fault::SlotGrantedTwice);
        let lease = self.leases.entry(name.clone()).or_insert_with(|| Lease::new(slots));
        let slot = if grants_twice { 0 } else { inherited_slot.unwrap_or_else(|| lease.free_slot()) };
        lease.grants.insert(token, Grant { slot, ..grant });
        self.tasks.insert(token, name.clone());
        slot
    }
}
