//! Handoff of a slot to the next holder of the same instance.

use super::lease::Lease;
use super::{Event, Executed, TTL_RANGE_MS, Table};
use crate::fault_injection::Fault;
use crate::message::{Answer, Handoff, HolderId, Rejection, Succession, Token};
use crate::name::Name;

impl Table {
    pub(super) fn hand_off(
        &mut self,
        holder: HolderId,
        name: &Name,
        token: Token,
        handoff: Handoff,
    ) -> Result<Executed, Rejection> {
        if !TTL_RANGE_MS.contains(&handoff.reserve_ms) {
            return Err(Rejection::TtlOutOfRange);
        }
        let lease = self.leases.get_mut(name);
        let grant =
            lease.and_then(|lease| lease.grants.get_mut(&token)).filter(|grant| grant.holder == holder);
        let instance = self.instances.get_mut(&token).filter(|instance| instance.handoff.is_none());
        let (Some(grant), Some(instance)) = (grant, instance) else {
            return Err(Rejection::NotHeld);
        };
        instance.handoff = Some(handoff);
        grant.ttl_ms = handoff.reserve_ms;
        // Counts as a renewal, so that an expiry already in the log has no effect.
        grant.renewals += 1;
        Ok(Executed { answer: Answer::HandedOff, event: Event::HandedOff(name.clone(), token) })
    }

    /// The handoff of a grant, once it was handed off.
    pub(super) fn handoff_of(&self, token: Token) -> Option<Handoff> {
        self.instances.get(&token)?.handoff
    }

    /// The grant that was handed off to an instance.
    pub(super) fn handed_off_to(&self, lease: &Lease, instance: Option<&Name>) -> Option<(Token, Handoff)> {
        let instance = instance?;
        let of_instance =
            |token: &Token| self.instances.get(token).is_some_and(|state| state.name == *instance);
        let own = lease.grants.keys().filter(|token| of_instance(token));
        own.filter_map(|token| Some((*token, self.handoff_of(*token)?))).next()
    }

    /// What is taken over with a slot. Nothing, if a grant has ended that the last holder did not know of: that one may have
    /// used a larger slot count than all that are in use now.
    pub(super) fn succession(&self, name: &Name, handoff: Handoff) -> Option<Succession> {
        let unknown_ended = self.newest_ended.get(name).is_some_and(|ended| *ended > handoff.newest_token);
        if unknown_ended && !self.has_fault(Fault::EndedGrantIgnored) {
            return None;
        }
        Some(Succession { slot_count: handoff.slot_count, remaining_ms: handoff.remaining_ms })
    }
}
