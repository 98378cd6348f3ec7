//! Applying updates: suspicions, refutations and declarations of death (SWIM, section 4.2).

use std::sync::Arc;

use super::{Output, PERIOD, Swim};
use crate::fault_injection::Fault;
use crate::identity::{Incarnation, MemberId};
use crate::member_list::Effect;
use crate::messages::Update;
use crate::suspicion::Suspicion;

impl Swim {
    /// Applies an update, and disseminates it if it changed anything.
    pub(super) fn apply(&mut self, update: Update, out: &mut Vec<Output>) {
        if !update.is_valid() {
            self.counters.invalid_updates += 1;
            return;
        }
        let id = update.member();
        if id == self.id {
            self.refute(&update);
            return;
        }
        let effect = self.members.apply(self.now, &update);
        if !self.update_suspicion(&update, effect) {
            return;
        }
        if let Some(member) = self.members.get(id).filter(|_| effect != Effect::SuspectedAlready) {
            out.push(Output::StateChanged(id, member.state));
        }
        if self.disseminates {
            self.broadcasts.push(update);
        }
    }

    /// Starts, confirms or ends the suspicion of a member. Returns whether the update is news.
    fn update_suspicion(&mut self, update: &Update, effect: Effect) -> bool {
        let id = update.member();
        match (effect, update) {
            (Effect::Stale, _) => false,
            (Effect::SuspectedAlready, Update::Suspect { by, .. }) => {
                self.suspicions.get_mut(&id).is_some_and(|suspicion| suspicion.confirm(*by))
            }
            (_, Update::Suspect { incarnation, by, .. }) => {
                self.suspicions.insert(id, Suspicion::new(*incarnation, *by, self.now));
                true
            }
            _ => {
                self.suspicions.remove(&id);
                true
            }
        }
    }

    /// Refutes a false statement about this member with a higher incarnation.
    fn refute(&mut self, update: &Update) {
        let stated = update.incarnation();
        let is_false = match update {
            Update::Alive { .. } => stated > self.incarnation,
            Update::Suspect { .. } | Update::Dead { .. } => stated >= self.incarnation,
        };
        if !is_false || self.has_fault(Fault::NoRefutation) {
            return;
        }
        self.counters.refutations += 1;
        // Others got no answer from this member in time, so it may be slow itself.
        self.degrade_local_health(1);
        self.incarnation = stated.next();
        let alive = self.alive_update();
        self.members.apply(self.now, &alive);
        self.broadcasts.push(alive);
    }

    /// Returns the update that states that this member is alive.
    pub(super) fn alive_update(&self) -> Update {
        Update::Alive { id: self.id, incarnation: self.incarnation, info: Arc::clone(&self.info) }
    }

    /// Declares the members dead whose suspicion has timed out.
    pub(super) fn declare_dead_after_timeout(&mut self, out: &mut Vec<Output>) {
        let (members, now) = (self.members.active_count(), self.now);
        let expired: Vec<(MemberId, Incarnation)> = self
            .suspicions
            .iter()
            .filter(|(_, suspicion)| now >= suspicion.deadline(members, PERIOD))
            .map(|(id, suspicion)| (*id, suspicion.incarnation))
            .collect();
        for (id, incarnation) in expired {
            self.apply(Update::Dead { id, incarnation, by: self.id }, out);
        }
    }
}
