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
        // The handoff counts as a renewal, so that an expiry that was proposed before it has no effect.
        grant.renewals += 1;
        Ok(Executed { answer: Answer::HandedOff, event: Event::HandedOff(name.clone(), token) })
    }

    /// Returns the handoff of a grant. Returns `None` if the grant was not handed off.
    pub(super) fn handoff_of(&self, token: Token) -> Option<Handoff> {
        self.instances.get(&token)?.handoff
    }

    /// Returns the grant that was handed off to an instance. Returns `None` if there is none.
    pub(super) fn handed_off_to(&self, lease: &Lease, instance: Option<&Name>) -> Option<(Token, Handoff)> {
        let instance = instance?;
        let of_instance =
            |token: &Token| self.instances.get(token).is_some_and(|state| state.name == *instance);
        let tokens = lease.grants.keys().filter(|token| of_instance(token));
        tokens.filter_map(|token| Some((*token, self.handoff_of(*token)?))).next()
    }

    /// Returns the state that a successor inherits with a slot.
    ///
    /// Returns `None` if a grant has ended that the predecessor did not know of, because that grant may have used a larger slot
    /// count than all grants that are in use now.
    pub(super) fn succession(&self, name: &Name, handoff: Handoff) -> Option<Succession> {
        let unknown_ended = self.newest_ended.get(name).is_some_and(|ended| *ended > handoff.newest_token);
        if unknown_ended && !self.has_fault(Fault::EndedGrantIgnored) {
            return None;
        }
        Some(Succession { slot_count: handoff.slot_count, remaining_ms: handoff.remaining_ms })
    }
}
