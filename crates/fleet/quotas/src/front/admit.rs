//! Admission of sessions and attempts at a front, and the units that they use.

use std::time::Duration;

use beechloft_leases::Name;

use super::local_share::LocalShare;
use super::{Front, MIN_REPORT_INTERVAL, State};
use crate::admission::{Charge, Reservation, Stage, Subject};
use crate::definition::{LimitDefinition, MILLI};
use crate::fault_injection::Fault;
use crate::message::{Claim, Key};
use crate::refusal::{Refusal, RefusalReason};

/// Maximum number of claims of which a front keeps a share.
const MAX_LOCAL_SHARES: usize = 1 << 16;
/// Time for which an event counts under a soft limit on a rate.
const SOFT_RATE_WINDOW: Duration = Duration::from_secs(1);
/// Minimum delay before a retry when no estimate is available.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The limit that refusals name while no limits are known.
const UNKNOWN_LIMITS: &str = "fleet/limits";

/// An admitted session or attempt that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Admitted {
    subject: Subject,
    stage: Stage,
    units: Vec<(Claim, u64)>,
}

impl Front {
    /// Admits a session or an attempt under all limits that apply to it, or charges none of them.
    ///
    /// # Errors
    /// Returns a refusal by the first limit, in the order of names, that is reached.
    pub fn admit(&mut self, at: Duration, subject: &Subject, stage: Stage) -> Result<Reservation, Refusal> {
        self.now = self.now.max(at);
        let now = self.now;
        self.expire_soft_rates(now);
        let is_open = self.is_open(now);
        // A front that does not know the limits yet admits no sessions, because it could not count them.
        if !self.knows_limits
            && self.state != State::Idle
            && let Ok(limit) = Name::try_from(UNKNOWN_LIMITS.to_owned())
        {
            let retry_after = DEFAULT_RETRY_DELAY + self.jittered(DEFAULT_RETRY_DELAY);
            let reason = RefusalReason::NoAccount;
            return Err(Refusal { limit, key: Key::default(), reason, retry_after });
        }
        let definitions = std::mem::take(&mut self.definitions);
        let charges = subject.charges(stage, &definitions);
        let refused = charges.iter().find_map(|charge| Some((charge, self.check(now, is_open, charge)?)));
        let result = match refused {
            Some((charge, reason)) => Err(self.refuse(now, charge, reason)),
            None => {
                let units = charges.iter().filter_map(|charge| self.take(now, charge)).collect();
                self.last_reservation += 1;
                let admitted = Admitted { subject: subject.clone(), stage, units };
                self.admitted.insert(self.last_reservation, admitted);
                Ok(Reservation(self.last_reservation))
            }
        };
        self.definitions = definitions;
        result
    }

    /// Releases the units of a session or an attempt that has ended.
    pub fn release(&mut self, now: Duration, reservation: Reservation) {
        self.now = self.now.max(now);
        let Some(admitted) = self.admitted.remove(&reservation.0) else { return };
        for (claim, units) in admitted.units {
            let units = if self.has_fault(Fault::ReleasedTwice) { 2 * units } else { units };
            let is_hard = self.definitions.get(&claim.limit).is_none_or(LimitDefinition::is_hard);
            if !is_hard {
                self.soft.release(&claim, units);
            }
            let Some(share) = self.shares.get_mut(&claim) else { continue };
            share.recent_counts.record_release(self.now);
            if is_hard {
                share.used = share.used.saturating_sub(units);
                // The units are owed to other fronts or exceed the limit, and are reported soon.
                self.urgent |= share.closed || share.recall > 0;
            }
        }
    }

    /// Returns the claims of a reservation on hard limits of concurrent use.
    pub fn claims(&self, reservation: &Reservation) -> Vec<(Claim, u64)> {
        let is_hard =
            |claim: &Claim| self.definitions.get(&claim.limit).is_some_and(LimitDefinition::is_hard);
        let units = self.admitted.get(&reservation.0).into_iter().flat_map(|admitted| &admitted.units);
        units.filter(|(claim, _)| is_hard(claim)).cloned().collect()
    }

    /// Returns the number of admitted sessions and attempts that have not ended.
    pub fn admitted(&self) -> usize {
        self.admitted.len()
    }

    /// Returns why a charge must be refused. Returns `None` if its units are available.
    fn check(&mut self, now: Duration, is_open: bool, charge: &Charge<'_>) -> Option<RefusalReason> {
        let Charge { claim, units, limit } = charge;
        if !limit.is_hard() {
            let fits = self.soft.fits(now, limit, claim, soft_units(limit, *units));
            return (!fits).then_some(RefusalReason::Full);
        }
        if !is_open {
            return Some(RefusalReason::NoAccount);
        }
        let Some(share) = self.shares.get_mut(claim) else { return Some(RefusalReason::Full) };
        if share.closed {
            return Some(RefusalReason::Lowered);
        }
        if limit.resource.is_rate() {
            share.bucket.set_rate(now, share.granted, limit.burst_ms);
            return (!share.bucket.has(now, *units)).then_some(RefusalReason::Rate);
        }
        (*units > share.headroom()).then_some(RefusalReason::Full)
    }

    /// Takes the units of a charge that was checked. Returns the units to release later; `None` for a rate.
    fn take(&mut self, now: Duration, charge: &Charge<'_>) -> Option<(Claim, u64)> {
        let Charge { claim, units, limit } = charge;
        if !limit.is_hard() {
            let units = soft_units(limit, *units);
            self.soft.take(claim, units);
            if limit.resource.is_rate() {
                self.soft_rate_expiries.push_back((now + SOFT_RATE_WINDOW, claim.clone(), units));
                return None;
            }
            return Some((claim.clone(), units));
        }
        let share = self.shares.get_mut(claim)?;
        share.record_admitted(now, *units);
        if limit.resource.is_rate() {
            share.bucket.take(*units);
            return None;
        }
        share.used += units;
        self.urgent |= share.is_low();
        Some((claim.clone(), *units))
    }

    fn refuse(&mut self, now: Duration, charge: &Charge<'_>, reason: RefusalReason) -> Refusal {
        let (limit, key) = (charge.claim.limit.clone(), charge.claim.key.clone());
        let is_known = self.shares.contains_key(&charge.claim);
        if !is_known && self.shares.len() >= MAX_LOCAL_SHARES {
            return Refusal { limit, key, reason, retry_after: DEFAULT_RETRY_DELAY };
        }
        if !is_known {
            // A share of a new claim is requested soon.
            self.urgent_interval = MIN_REPORT_INTERVAL.min(self.urgent_interval);
        }
        let share = self.shares.entry(charge.claim.clone()).or_insert_with(|| LocalShare::new(now));
        share.record_refused(now, charge.units);
        let until_token = share.bucket.time_until_token().filter(|_| reason == RefusalReason::Rate);
        let min_delay = until_token.unwrap_or_default();
        let retry_after = share.recent_counts.record_refusal(now, min_delay, &mut self.rng);
        self.urgent = true;
        Refusal { limit, key, reason, retry_after }
    }

    /// Releases the units of soft limits on rates whose window has passed.
    pub(super) fn expire_soft_rates(&mut self, now: Duration) {
        while self.soft_rate_expiries.front().is_some_and(|(expires_at, ..)| *expires_at <= now) {
            if let Some((_, claim, units)) = self.soft_rate_expiries.pop_front() {
                self.soft.release(&claim, units);
            }
        }
    }

    pub(super) fn define(&mut self, definition: LimitDefinition) {
        let known = self.definitions.get(&definition.name).map(|d| d.version);
        let known_version = known.or_else(|| self.removed.get(&definition.name).copied());
        let is_outdated = known_version.is_some_and(|version| version >= definition.version);
        if is_outdated || !definition.validate().is_empty() {
            return;
        }
        self.removed.remove(&definition.name);
        self.definitions.insert(definition.name.clone(), definition);
        self.recount();
    }

    /// Replaces the known limits by those of the ledger, which take precedence over the settings.
    pub(super) fn set_limits(&mut self, definitions: Vec<LimitDefinition>, revision: u64) {
        self.undeclared.retain(|own| definitions.iter().all(|d| d.name != own.name));
        self.definitions.retain(|name, _| definitions.iter().any(|d| d.name == *name));
        self.definitions.extend(definitions.into_iter().map(|d| (d.name.clone(), d)));
        // Limits that are still to be declared apply until then.
        self.definitions.extend(self.undeclared.iter().map(|d| (d.name.clone(), d.clone())));
        (self.revision, self.urgent, self.urgent_interval) = (Some(revision), true, Duration::ZERO);
        self.knows_limits = true;
        self.recount();
    }

    pub(super) fn undefine(&mut self, name: Name, version: u64) {
        if self.definitions.get(&name).is_some_and(|d| d.version < version) {
            self.definitions.remove(&name);
            self.removed.insert(name, version);
            self.recount();
        }
    }

    /// Recomputes the charges of all sessions and attempts in progress, after the limits have changed.
    fn recount(&mut self) {
        let definitions = std::mem::take(&mut self.definitions);
        for share in self.shares.values_mut() {
            share.used = 0;
        }
        for admitted in self.admitted.values_mut() {
            for (claim, units) in admitted.units.drain(..) {
                self.soft.release(&claim, units);
            }
            let charges = admitted.subject.charges(admitted.stage, &definitions);
            for charge in charges.into_iter().filter(|charge| !charge.limit.resource.is_rate()) {
                if charge.limit.is_hard() {
                    let share = self.shares.entry(charge.claim.clone());
                    share.or_insert_with(|| LocalShare::new(self.now)).used += charge.units;
                } else {
                    self.soft.take(&charge.claim, charge.units);
                }
                admitted.units.push((charge.claim, charge.units));
            }
        }
        self.definitions = definitions;
        self.urgent = true;
    }
}

/// Returns the units of a charge under a soft limit. Rates are counted in thousandths.
fn soft_units(limit: &LimitDefinition, units: u64) -> u64 {
    if limit.resource.is_rate() { MILLI } else { units }
}
