//! Soft limits: each front takes a part, says so in a row of its own, and lets its part grow at a pace, so that what the others
//! have not heard of yet is bounded. See `docs/limits.md` for the bound.

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
/// Rows that are kept.
const MAX_PEERS: usize = 4096;

/// What a front says of itself: its parts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct SoftShares {
    /// Its part of each claim, in units.
    pub parts: BTreeMap<Claim, u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seen {
    row: SoftShares,
    /// Not said later than this, by this front's clock.
    made: Duration,
    forget_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Own {
    part: u64,
    used: u64,
    /// What it may grow by now, in thousandths of a unit, and since when that was counted.
    allowed: u64,
    at: Duration,
    begun: bool,
    idle_since: Option<Duration>,
}

/// A part that is not used for so long is let go.
const IDLE: Duration = Duration::from_secs(1);

/// A front's soft parts.
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

    /// Another front's row came, which was said so long ago at most.
    pub fn heard(&mut self, now: Duration, from: FrontId, row: SoftShares, age: Duration, forget_ms: u64) {
        let made = now.saturating_sub(age);
        if self.rows.len() >= MAX_PEERS && !self.rows.contains_key(&from) || row.parts.len() > MAX_SOFT_SHARES
        {
            return;
        }
        if self.rows.get(&from).is_none_or(|seen| seen.made <= made) {
            self.rows.insert(from, Seen { row, made, forget_ms });
        }
    }

    /// This front's row, if it has changed since it was last taken.
    pub fn row(&mut self) -> Option<SoftShares> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let parts = self.own.iter().filter(|(_, o)| o.part > 0).map(|(c, o)| (c.clone(), o.part));
        Some(SoftShares { parts: parts.take(MAX_SOFT_SHARES).collect() })
    }

    /// Whether it has heard from more than half of all fronts within the horizon, itself among them.
    pub fn hears(&self, now: Duration) -> bool {
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
        // What is kept for those that have not been heard of.
        let unknown = u64::from(of.fronts.saturating_sub(1)).saturating_sub(self.rows.len() as u64);
        known + unknown * of.least
    }

    /// Whether so many units more fit into this front's part, which grows for them if it may.
    pub(crate) fn fits(&mut self, now: Duration, of: &LimitDefinition, claim: &Claim, units: u64) -> bool {
        self.forget(now);
        let hears = self.hears(now);
        let others = self.others(of, claim);
        let at_once = self.has_fault(Fault::SoftShareGrowsAtOnce);
        let (pace, cap) = bounds::soft_pace(of, &self.rules, self.drift);
        let own = self.own.entry(claim.clone()).or_default();
        if !own.begun {
            (own.begun, own.at) = (true, now);
        }
        let passed = now.saturating_sub(own.at).as_millis() as u64;
        own.allowed = (own.allowed + passed.saturating_mul(pace)).min(cap * 1_000);
        own.at = own.at.max(now);
        let before = own.part;
        if !hears {
            own.part = own.part.min(of.least);
        }
        own.part = own.part.max(of.least);
        let need = (own.used + units).saturating_sub(own.part);
        let free = of.units().saturating_sub(others).saturating_sub(own.part);
        if need > 0 && hears && free >= need && (own.allowed >= need * 1_000 || at_once) {
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

    /// Lets go what stands unused, and what a front that is cut off may not keep.
    pub fn look(&mut self, now: Duration, all: &BTreeMap<beechloft_leases::Name, LimitDefinition>) {
        self.forget(now);
        let hears = self.hears(now);
        let mut changed = false;
        self.own.retain(|claim, own| {
            let Some(of) = all.get(&claim.limit) else { return false };
            let before = own.part;
            if !hears {
                own.part = own.part.min(of.least);
            }
            // Some room above what it uses stays, or each session would have to wait for growth.
            let keep = (own.used + own.used / 8).max(of.least);
            if own.part > keep {
                let since = *own.idle_since.get_or_insert(now);
                if now.saturating_sub(since) >= IDLE {
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

    /// Rows of fronts that are silent for longer than any session lives.
    fn forget(&mut self, now: Duration) {
        self.rows.retain(|_, s| now.saturating_sub(s.made) < Duration::from_millis(s.forget_ms));
    }

    /// All that it has a part of.
    pub(crate) fn claims(&self) -> impl Iterator<Item = &Claim> {
        self.own.keys()
    }

    /// This front's part and what it uses of a claim.
    pub fn standing(&self, claim: &Claim) -> (u64, u64) {
        self.own.get(claim).map_or((0, 0), |o| (o.part, o.used))
    }
}
