//! Shares of soft limits.
//!
//! Each front takes a share, reports its shares by gossip, and lets a share grow at a bounded rate, so that the growth that others
//! have not received yet is bounded. `docs/limits.md` derives the bound.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_leases::{DriftBound, Name};
use serde::{Deserialize, Serialize};

use crate::bounds;
use crate::definition::{LimitDefinition, QuotaParameters};
use crate::fault_injection::Fault;
use crate::message::{Claim, FrontId};

/// Maximum number of shares in one report.
pub const MAX_SOFT_SHARES: usize = 256;
/// Maximum number of fronts whose reports are kept.
const MAX_PEERS: usize = 4096;
/// An unused part of a share is given up after this time.
const IDLE_TIME: Duration = Duration::from_secs(1);

/// A front's report of its shares.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct SoftShares {
    /// The front's share of each claim, in units.
    pub shares: BTreeMap<Claim, u64>,
}

/// The latest report of another front.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PeerReport {
    report: SoftShares,
    /// Earliest time at which the report may have been made, by this front's clock.
    made_at: Duration,
    /// Age at which the report is removed, milliseconds.
    max_age_ms: u64,
}

/// This front's share of one claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct OwnShare {
    units: u64,
    used: u64,
    /// Permitted growth as of `accrued_at`, thousandths of a unit.
    growth_milli: u64,
    accrued_at: Duration,
    /// Whether permitted growth has begun to accrue.
    accruing: bool,
    idle_since: Option<Duration>,
}

/// A front's shares of soft limits.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SoftLimits {
    parameters: QuotaParameters,
    drift: DriftBound,
    own: BTreeMap<Claim, OwnShare>,
    peers: BTreeMap<FrontId, PeerReport>,
    /// Whether an own share has changed since the last report.
    changed: bool,
    fault: Option<Fault>,
}

impl SoftLimits {
    /// Creates the state of a front without shares.
    pub fn new(parameters: QuotaParameters, drift: DriftBound) -> SoftLimits {
        let (own, peers) = (BTreeMap::new(), BTreeMap::new());
        SoftLimits { parameters, drift, own, peers, changed: true, fault: None }
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// Handles another front's report, which is at most `age` old and is removed after `max_age_ms`.
    pub fn on_report(
        &mut self,
        now: Duration,
        from: FrontId,
        report: SoftShares,
        age: Duration,
        max_age_ms: u64,
    ) {
        let made_at = now.saturating_sub(age);
        let is_new_peer = !self.peers.contains_key(&from);
        if self.peers.len() >= MAX_PEERS && is_new_peer || report.shares.len() > MAX_SOFT_SHARES {
            return;
        }
        if self.peers.get(&from).is_none_or(|latest| latest.made_at <= made_at) {
            self.peers.insert(from, PeerReport { report, made_at, max_age_ms });
        }
    }

    /// Returns this front's report. Returns `None` if no share has changed since the last call.
    pub fn take_report(&mut self) -> Option<SoftShares> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let held = self.own.iter().filter(|(_, own)| own.units > 0);
        let shares = held.map(|(claim, own)| (claim.clone(), own.units)).take(MAX_SOFT_SHARES).collect();
        Some(SoftShares { shares })
    }

    /// Returns whether reports from a majority of all fronts are within the horizon. This front counts as one of them.
    pub fn has_majority(&self, now: Duration) -> bool {
        if self.has_fault(Fault::HorizonIgnored) {
            return true;
        }
        let horizon = self.drift.shorter(Duration::from_millis(u64::from(self.parameters.horizon_ms)));
        let is_fresh = |peer: &&PeerReport| now.saturating_sub(peer.made_at) < horizon;
        let fresh = self.peers.values().filter(is_fresh).count();
        2 * (fresh as u64 + 1) > u64::from(self.parameters.fronts)
    }

    /// Returns the units that count for all other fronts: at least the minimum share for each, whether it has reported or not.
    fn units_of_others(&self, limit: &LimitDefinition, claim: &Claim) -> u64 {
        let reported =
            |peer: &PeerReport| peer.report.shares.get(claim).copied().unwrap_or(0).max(limit.min_share);
        let known: u64 = self.peers.values().map(reported).sum();
        let silent_fronts = u64::from(limit.fronts.saturating_sub(1)).saturating_sub(self.peers.len() as u64);
        known + silent_fronts * limit.min_share
    }

    /// Returns whether more units fit into this front's share, which grows for them if it may.
    pub(crate) fn fits(&mut self, now: Duration, limit: &LimitDefinition, claim: &Claim, units: u64) -> bool {
        self.remove_old_reports(now);
        let has_majority = self.has_majority(now);
        let units_of_others = self.units_of_others(limit, claim);
        let growth_unbounded = self.has_fault(Fault::SoftShareGrowsAtOnce);
        let growth = bounds::soft_growth(limit, &self.parameters, self.drift);
        let own = self.own.entry(claim.clone()).or_default();
        own.accrue_growth(now, growth);
        let before = own.units;
        if !has_majority {
            own.units = own.units.min(limit.min_share);
        }
        own.units = own.units.max(limit.min_share);
        let need = (own.used + units).saturating_sub(own.units);
        let free = limit.units().saturating_sub(units_of_others).saturating_sub(own.units);
        let may_grow = own.growth_milli >= need * 1_000 || growth_unbounded;
        if need > 0 && has_majority && free >= need && may_grow {
            own.growth_milli = own.growth_milli.saturating_sub(need * 1_000);
            own.units += need;
        }
        self.changed |= own.units != before;
        own.used + units <= own.units
    }

    /// Counts units as in use.
    pub(crate) fn take(&mut self, claim: &Claim, units: u64) {
        let own = self.own.entry(claim.clone()).or_default();
        own.used += units;
        own.idle_since = None;
    }

    /// Counts units as no longer in use.
    pub(crate) fn release(&mut self, claim: &Claim, units: u64) {
        if let Some(own) = self.own.get_mut(claim) {
            own.used = own.used.saturating_sub(units);
        }
    }

    /// Gives up unused parts of shares, and what a partitioned front may not keep.
    pub fn shrink(&mut self, now: Duration, definitions: &BTreeMap<Name, LimitDefinition>) {
        self.remove_old_reports(now);
        let has_majority = self.has_majority(now);
        let mut changed = false;
        self.own.retain(|claim, own| {
            let Some(limit) = definitions.get(&claim.limit) else { return false };
            let before = own.units;
            if !has_majority {
                own.units = own.units.min(limit.min_share);
            }
            own.shrink_to_use(now, limit.min_share);
            changed |= own.units != before;
            own.used > 0 || own.units > 0
        });
        self.changed |= changed;
    }

    /// Removes reports of fronts that have been silent for longer than any of their sessions can last.
    fn remove_old_reports(&mut self, now: Duration) {
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.made_at) < Duration::from_millis(peer.max_age_ms));
    }

    /// Returns all claims of which this front has a share.
    pub(crate) fn claims(&self) -> impl Iterator<Item = &Claim> {
        self.own.keys()
    }

    /// Returns this front's share of a claim and the units in use.
    pub fn share_and_use(&self, claim: &Claim) -> (u64, u64) {
        self.own.get(claim).map_or((0, 0), |own| (own.units, own.used))
    }
}

impl OwnShare {
    /// Adds the permitted growth since the last call.
    fn accrue_growth(&mut self, now: Duration, growth: bounds::SoftGrowth) {
        if !self.accruing {
            (self.accruing, self.accrued_at) = (true, now);
        }
        let elapsed = now.saturating_sub(self.accrued_at).as_millis();
        let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
        // Units per second times milliseconds are thousandths of a unit.
        let accrued = self.growth_milli + elapsed_ms.saturating_mul(growth.units_per_s);
        self.growth_milli = accrued.min(growth.burst * 1_000);
        self.accrued_at = self.accrued_at.max(now);
    }

    /// Gives up the part that has been unused for the idle time. An eighth above the use is kept, so that not each new session has to
    /// wait for growth.
    fn shrink_to_use(&mut self, now: Duration, min_share: u64) {
        let kept = (self.used + self.used / 8).max(min_share);
        if self.units <= kept {
            self.idle_since = None;
            return;
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        if now.saturating_sub(idle_since) >= IDLE_TIME {
            (self.units, self.idle_since) = (kept, None);
        }
    }
}
