//! Soft limits: each front takes a share, reports its shares by gossip, and lets a share grow at a bounded rate, so that the growth
//! that others have not received yet is bounded. See `docs/limits.md` for the bound.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_leases::DriftBound;
use serde::{Deserialize, Serialize};

use crate::bounds;
use crate::definition::{LimitDefinition, QuotaParameters};
use crate::fault_injection::Fault;
use crate::message::{Claim, FrontId};

/// Maximum number of shares in one report.
pub const MAX_SOFT_SHARES: usize = 256;
/// Maximum number of fronts whose shares are kept.
const MAX_PEERS: usize = 4096;

/// A front's report of its shares.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct SoftShares {
    /// Its share of each claim, in units.
    pub parts: BTreeMap<Claim, u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seen {
    row: SoftShares,
    /// Upper bound of the time of the report, by this front's clock.
    made: Duration,
    forget_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Own {
    part: u64,
    used: u64,
    /// Permitted growth at the time `at`, in thousandths of a unit.
    allowed: u64,
    at: Duration,
    begun: bool,
    idle_since: Option<Duration>,
}

/// A share that is unused for so long is given up.
const IDLE_TIME: Duration = Duration::from_secs(1);

/// A front's shares of soft limits.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SoftLimits {
    rules: QuotaParameters,
    drift: DriftBound,
    own: BTreeMap<Claim, Own>,
    rows: BTreeMap<FrontId, Seen>,
    changed: bool,
    fault: Option<Fault>,
}

impl SoftLimits {
    /// No part yet.
    pub fn new(rules: QuotaParameters, drift: DriftBound) -> SoftLimits {
        let (own, rows) = (BTreeMap::new(), BTreeMap::new());
        SoftLimits { rules, drift, own, rows, changed: true, fault: None }
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// Handles another front's report, which is at most `age` old.
    pub fn on_report(
        &mut self,
        now: Duration,
        from: FrontId,
        row: SoftShares,
        age: Duration,
        forget_ms: u64,
    ) {
        let made = now.saturating_sub(age);
        if self.rows.len() >= MAX_PEERS && !self.rows.contains_key(&from) || row.parts.len() > MAX_SOFT_SHARES
        {
            return;
        }
        if self.rows.get(&from).is_none_or(|seen| seen.made <= made) {
            self.rows.insert(from, Seen { row, made, forget_ms });
        }
    }

    /// This front's report, if it has changed since the last call.
    pub fn take_report(&mut self) -> Option<SoftShares> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let parts = self.own.iter().filter(|(_, o)| o.part > 0).map(|(c, o)| (c.clone(), o.part));
        Some(SoftShares { parts: parts.take(MAX_SOFT_SHARES).collect() })
    }

    /// Whether it has received reports from a majority of all fronts within the horizon, itself included.
    pub fn has_majority(&self, now: Duration) -> bool {
        if self.has_fault(Fault::HorizonIgnored) {
            return true;
        }
        let horizon = self.drift.shorter(Duration::from_millis(u64::from(self.rules.horizon_ms)));
        let fresh = self.rows.values().filter(|s| now.saturating_sub(s.made) < horizon).count();
        2 * (fresh as u64 + 1) > u64::from(self.rules.fronts)
    }

    fn others(&self, of: &LimitDefinition, claim: &Claim) -> u64 {
        let counted = |s: &Seen| s.row.parts.get(claim).copied().unwrap_or(0).max(of.least);
        let known: u64 = self.rows.values().map(counted).sum();
        // What is reserved for those without report.
        let unknown = u64::from(of.fronts.saturating_sub(1)).saturating_sub(self.rows.len() as u64);
        known + unknown * of.least
    }

    /// Whether more units fit into this front's share, which grows for them if it may.
    pub(crate) fn fits(&mut self, now: Duration, of: &LimitDefinition, claim: &Claim, units: u64) -> bool {
        self.forget(now);
        let has_majority = self.has_majority(now);
        let others = self.others(of, claim);
        let at_once = self.has_fault(Fault::SoftShareGrowsAtOnce);
        let (pace, cap) = bounds::soft_pace(of, &self.rules, self.drift);
        let own = self.own.entry(claim.clone()).or_default();
        if !own.begun {
            (own.begun, own.at) = (true, now);
        }
        let passed = u64::try_from(now.saturating_sub(own.at).as_millis()).unwrap_or(u64::MAX);
        own.allowed = (own.allowed + passed.saturating_mul(pace)).min(cap * 1_000);
        own.at = own.at.max(now);
        let before = own.part;
        if !has_majority {
            own.part = own.part.min(of.least);
        }
        own.part = own.part.max(of.least);
        let need = (own.used + units).saturating_sub(own.part);
        let free = of.units().saturating_sub(others).saturating_sub(own.part);
        if need > 0 && has_majority && free >= need && (own.allowed >= need * 1_000 || at_once) {
            own.allowed = own.allowed.saturating_sub(need * 1_000);
            own.part += need;
        }
        self.changed |= own.part != before;
        own.used + units <= own.part
    }

    pub(crate) fn take(&mut self, claim: &Claim, units: u64) {
        let own = self.own.entry(claim.clone()).or_default();
        own.used += units;
        own.idle_since = None;
    }

    pub(crate) fn release(&mut self, claim: &Claim, units: u64) {
        if let Some(own) = self.own.get_mut(claim) {
            own.used = own.used.saturating_sub(units);
        }
    }

    /// Gives up unused shares, and those that a partitioned front may not keep.
    pub fn shrink(&mut self, now: Duration, all: &BTreeMap<beechloft_leases::Name, LimitDefinition>) {
        self.forget(now);
        let has_majority = self.has_majority(now);
        let mut changed = false;
        self.own.retain(|claim, own| {
            let Some(of) = all.get(&claim.limit) else { return false };
            let before = own.part;
            if !has_majority {
                own.part = own.part.min(of.least);
            }
            // Some headroom above the use is kept, or each session would have to wait for growth.
            let keep = (own.used + own.used / 8).max(of.least);
            if own.part > keep {
                let since = *own.idle_since.get_or_insert(now);
                if now.saturating_sub(since) >= IDLE_TIME {
                    (own.part, own.idle_since) = (keep, None);
                }
            } else {
                own.idle_since = None;
            }
            changed |= own.part != before;
            own.used > 0 || own.part > 0
        });
        self.changed |= changed;
    }

    /// Removes reports of fronts that have been silent for longer than any session lasts.
    fn forget(&mut self, now: Duration) {
        self.rows.retain(|_, s| now.saturating_sub(s.made) < Duration::from_millis(s.forget_ms));
    }

    /// All claims that it has a share of.
    pub(crate) fn claims(&self) -> impl Iterator<Item = &Claim> {
        self.own.keys()
    }

    /// This front's share of a claim, and the units in use.
    pub fn standing(&self, claim: &Claim) -> (u64, u64) {
        self.own.get(claim).map_or((0, 0), |o| (o.part, o.used))
    }
}
