//! Who is admitted, and what is counted of those who are.

use std::time::Duration;

use beechloft_leases::Name;

use super::slot::Slot;
use super::{Front, State};
use crate::admission::{Due, Reservation, Stage, Subject};
use crate::definition::{LimitDefinition, MILLI};
use crate::fault_injection::Fault;
use crate::message::{Claim, Key};
use crate::refusal::{Refusal, RefusalReason};

/// Counters at one front.
const MAX_SLOTS: usize = 1 << 16;
/// Soft rates count what was taken for so long.
const SECOND: Duration = Duration::from_secs(1);

/// A session or an attempt that was admitted.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Live {
    subject: Subject,
    stage: Stage,
    held: Vec<(Claim, u64)>,
}

impl Front {
    /// Admits, or not: of several limits all or none, in the order of their names.
    ///
    /// # Errors
    /// The first limit that has no room.
    pub fn take(&mut self, at: Duration, subject: &Subject, stage: Stage) -> Result<Reservation, Refusal> {
        self.now = self.now.max(at);
        let now = self.now;
        self.pass(now);
        let open = self.is_open(now);
        // One that has just started knows no limit yet: it admits nobody, or those whom it does not count would be over.
        if !self.knows
            && self.state != State::Idle
            && let Ok(limit) = Name::try_from("fleet/limits".to_owned())
        {
            let again = SECOND + self.jittered(SECOND);
            return Err(Refusal { limit, key: Key::default(), why: RefusalReason::NoAccount, again });
        }
        let definitions = std::mem::take(&mut self.definitions);
        let dues = subject.dues(stage, &definitions);
        let no = dues.iter().find_map(|due| Some((due, self.look(now, open, due)?)));
        let taken = match no {
            Some((due, why)) => Err(self.refuse(now, due, why)),
            None => {
                let held = dues.iter().filter_map(|due| self.hold(now, due)).collect();
                self.next_live += 1;
                self.live.insert(self.next_live, Live { subject: subject.clone(), stage, held });
                Ok(Reservation(self.next_live))
            }
        };
        self.definitions = definitions;
        taken
    }

    /// What was taken is over.
    pub fn release(&mut self, now: Duration, taken: Reservation) {
        self.now = self.now.max(now);
        let Some(live) = self.live.remove(&taken.0) else { return };
        for (claim, units) in live.held {
            let units = if self.has_fault(Fault::ReleasedTwice) { 2 * units } else { units };
            let hard = self.definitions.get(&claim.limit).is_none_or(LimitDefinition::is_hard);
            if hard {
                let Some(slot) = self.slots.get_mut(&claim) else { continue };
                slot.used = slot.used.saturating_sub(units);
                slot.recent_counts.freed(self.now);
                // What ends while the limit does not fit is nobody's here.
                self.urgent |= slot.closed || slot.recall > 0;
            } else {
                self.soft.release(&claim, units);
                if let Some(slot) = self.slots.get_mut(&claim) {
                    slot.recent_counts.freed(self.now);
                }
            }
        }
    }

    /// What was taken of hard limits that count what plays at once.
    pub fn claims(&self, taken: &Reservation) -> Vec<(Claim, u64)> {
        let hard = |c: &Claim| self.definitions.get(&c.limit).is_some_and(LimitDefinition::is_hard);
        let held = self.live.get(&taken.0).into_iter().flat_map(|l| &l.held);
        held.filter(|(c, _)| hard(c)).cloned().collect()
    }

    /// Sessions and attempts that are admitted and not over.
    pub fn live(&self) -> usize {
        self.live.len()
    }

    /// Why there is no room, if there is none.
    fn look(&mut self, now: Duration, open: bool, due: &Due<'_>) -> Option<RefusalReason> {
        let Due { claim, units, of } = due;
        if !of.is_hard() {
            let units = if of.counts.is_rate() { MILLI } else { *units };
            return (!self.soft.fits(now, of, claim, units)).then_some(RefusalReason::Full);
        }
        if !open {
            return Some(RefusalReason::NoAccount);
        }
        let Some(slot) = self.slots.get_mut(claim) else { return Some(RefusalReason::Full) };
        if slot.closed {
            return Some(RefusalReason::Lowered);
        }
        if of.counts.is_rate() {
            slot.bucket.set(now, slot.share, of.burst_milli);
            return (!slot.bucket.has(now, *units)).then_some(RefusalReason::Rate);
        }
        (*units > slot.room()).then_some(RefusalReason::Full)
    }

    /// Takes what was found to be there; what is to be given back later.
    fn hold(&mut self, now: Duration, due: &Due<'_>) -> Option<(Claim, u64)> {
        let Due { claim, units, of } = due;
        if !of.is_hard() {
            let units = if of.counts.is_rate() { MILLI } else { *units };
            self.soft.take(claim, units);
            if of.counts.is_rate() {
                self.passing.push_back((now + SECOND, claim.clone(), units));
                return None;
            }
            return Some((claim.clone(), units));
        }
        let slot = self.slots.get_mut(claim)?;
        slot.came(now, *units);
        if of.counts.is_rate() {
            slot.bucket.take(*units);
            return None;
        }
        slot.used += units;
        self.urgent |= slot.is_low();
        Some((claim.clone(), *units))
    }

    fn refuse(&mut self, now: Duration, due: &Due<'_>, why: RefusalReason) -> Refusal {
        let (limit, key) = (due.claim.limit.clone(), due.claim.key.clone());
        let known = self.slots.contains_key(&due.claim);
        if !known && self.slots.len() >= MAX_SLOTS {
            return Refusal { limit, key, why, again: SECOND };
        }
        if !known {
            // Nobody has come for this one yet: it is asked for at once.
            self.gap = super::MIN_REPORT_INTERVAL.min(self.gap);
        }
        let slot = self.slots.entry(due.claim.clone()).or_insert_with(|| Slot::new(now));
        slot.lacked(now, due.units);
        let first = slot.bucket.wait().filter(|_| why == RefusalReason::Rate).unwrap_or_default();
        let again = slot.recent_counts.retry_delay(now, first, &mut self.rng);
        self.urgent = true;
        Refusal { limit, key, why, again }
    }

    /// Soft rates: what was taken more than a second ago counts no more.
    pub(super) fn pass(&mut self, now: Duration) {
        while self.passing.front().is_some_and(|p| p.0 <= now) {
            if let Some((_, claim, units)) = self.passing.pop_front() {
                self.soft.release(&claim, units);
            }
        }
    }

    pub(super) fn define(&mut self, definition: LimitDefinition) {
        let known = self.definitions.get(&definition.name).map(|d| d.version);
        let older = known.or_else(|| self.undefined.get(&definition.name).copied());
        if older.is_some_and(|v| v >= definition.version) || !definition.validate().is_empty() {
            return;
        }
        self.undefined.remove(&definition.name);
        self.definitions.insert(definition.name.clone(), definition);
        self.recount();
    }

    /// The ledger's limits: they stand, whatever settings say.
    pub(super) fn limits(&mut self, all: Vec<LimitDefinition>, revision: u64) {
        self.declares.retain(|own| all.iter().all(|d| d.name != own.name));
        self.definitions.retain(|name, _| all.iter().any(|d| d.name == *name));
        self.definitions.extend(all.into_iter().map(|d| (d.name.clone(), d)));
        // What is still to be declared is kept to until then.
        self.definitions.extend(self.declares.iter().map(|d| (d.name.clone(), d.clone())));
        (self.revision, self.urgent, self.gap) = (Some(revision), true, Duration::ZERO);
        self.knows = true;
        self.recount();
    }

    pub(super) fn undefine(&mut self, name: Name, version: u64) {
        if self.definitions.get(&name).is_some_and(|d| d.version < version) {
            self.definitions.remove(&name);
            self.undefined.insert(name, version);
            self.recount();
        }
    }

    /// Limits have changed: what plays is counted for all that it falls under now.
    fn recount(&mut self) {
        let definitions = std::mem::take(&mut self.definitions);
        for slot in self.slots.values_mut() {
            slot.used = 0;
        }
        for live in self.live.values_mut() {
            for (claim, units) in live.held.drain(..) {
                self.soft.release(&claim, units);
            }
            let dues = live.subject.dues(live.stage, &definitions);
            for due in dues.into_iter().filter(|d| !d.of.counts.is_rate()) {
                if due.of.is_hard() {
                    let slot = self.slots.entry(due.claim.clone()).or_insert_with(|| Slot::new(self.now));
                    slot.used += due.units;
                } else {
                    self.soft.take(&due.claim, due.units);
                }
                live.held.push((due.claim, due.units));
            }
        }
        self.definitions = definitions;
        self.urgent = true;
    }
}
