//! A front's share of one claim on a hard limit.

use std::time::Duration;

use crate::definition::{LimitDefinition, MILLI, Scope};
use crate::message::{Claim, ShareReport};
use crate::refusal::RecentCounts;
use crate::token_bucket::TokenBucket;

/// An unused share of a limit with many keys is given up after this time.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Use and demand as of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Reported {
    used: u64,
    demand: u64,
}

/// Share, use and demand of one claim, in units.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct LocalShare {
    pub(super) granted: u64,
    pub(super) used: u64,
    /// Whether the sum of all fronts exceeds the limit.
    pub(super) closed: bool,
    /// Units that other fronts lack and that are to be given back.
    pub(super) recall: u64,
    pub(super) bucket: TokenBucket,
    pub(super) recent_counts: RecentCounts,
    /// Units that were admitted in the present window, which lasts until a report is next considered.
    admitted: u64,
    /// Units that were refused in the present window.
    refused: u64,
    /// Units that were admitted in the previous window.
    admitted_before: u64,
    /// Smoothed demand of a rate, thousandths per second.
    demanded_rate: u64,
    window_start: Duration,
    last_request_at: Duration,
    surplus_since: Option<Duration>,
    /// The last report under the present account.
    last_report: Option<Reported>,
}

impl LocalShare {
    pub(super) fn new(now: Duration) -> LocalShare {
        LocalShare { window_start: now, last_request_at: now, ..LocalShare::default() }
    }

    pub(super) fn record_admitted(&mut self, now: Duration, units: u64) {
        self.admitted = self.admitted.saturating_add(units);
        self.last_request_at = now;
    }

    pub(super) fn record_refused(&mut self, now: Duration, units: u64) {
        self.refused = self.refused.saturating_add(units);
        self.last_request_at = now;
    }

    /// Returns the units that may still be admitted. Recalled units may not.
    pub(super) fn headroom(&self) -> u64 {
        self.granted.saturating_sub(self.recall).saturating_sub(self.used)
    }

    /// Returns whether the headroom is so low that a report is due soon.
    pub(super) fn is_low(&self) -> bool {
        self.headroom() <= self.used / 16
    }

    /// Returns the units that the front needs: for a rate a quarter above the recent demand; otherwise the use and in addition an
    /// eighth of it or what was admitted recently, and twice what was refused.
    fn demand(&self, limit: &LimitDefinition) -> u64 {
        if limit.resource.is_rate() {
            return (self.demanded_rate + self.demanded_rate / 4).max(limit.min_share);
        }
        let recent = self.admitted + self.admitted_before;
        let reserve = (self.used / 8).max(recent).saturating_add(2 * self.refused);
        self.used.saturating_add(reserve).max(limit.min_share)
    }

    /// Updates the demanded rate and starts a new window of counts.
    fn roll_window(&mut self, now: Duration, limit: &LimitDefinition) {
        let elapsed = now.saturating_sub(self.window_start).as_millis().max(1);
        let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
        if limit.resource.is_rate() {
            let seen = (self.admitted + self.refused).saturating_mul(MILLI * 1_000) / elapsed_ms;
            // Follows an increase faster than a decrease.
            self.demanded_rate = if seen > self.demanded_rate {
                (self.demanded_rate + seen) / 2
            } else {
                (3 * self.demanded_rate + seen) / 4
            };
        }
        self.window_start = now;
        (self.admitted_before, self.admitted, self.refused) = (self.admitted, 0, 0);
    }

    /// Returns the report that is due now. Returns `None` if nothing has changed much.
    ///
    /// Units that are given back are deducted here, before the report is sent. A surplus is given back without a recall once it has
    /// lasted for `surplus_delay`.
    pub(super) fn report(
        &mut self,
        now: Duration,
        claim: &Claim,
        limit: &LimitDefinition,
        surplus_delay: Duration,
    ) -> Option<ShareReport> {
        let used = if limit.resource.is_rate() { 0 } else { self.used };
        let is_idle =
            used == 0 && now.saturating_sub(self.last_request_at) >= IDLE_TIME && has_many_keys(limit);
        let granted_before = self.granted;
        let demand = if self.closed {
            self.granted = self.granted.min(used);
            used
        } else {
            let demand = if is_idle { 0 } else { self.demand(limit) };
            let min_share = if is_idle { 0 } else { limit.min_share };
            self.give_back_recalled(used.max(min_share));
            self.give_back_surplus(now, demand.max(used), is_idle, surplus_delay);
            demand
        };
        let is_due = self.granted < granted_before
            || demand > self.granted
            || self.recall > 0
            || self.closed
            || self.last_report.is_none_or(|last| !is_near(last.used, used) || !is_near(last.demand, demand));
        self.roll_window(now, limit);
        if !is_due {
            return None;
        }
        self.last_report = Some(Reported { used, demand });
        Some(ShareReport { claim: claim.clone(), share: self.granted, used, demand })
    }

    /// Gives back recalled units above `kept`. The rest stays recalled and is given back as sessions end.
    fn give_back_recalled(&mut self, kept: u64) {
        let returned = self.recall.min(self.granted.saturating_sub(kept));
        self.granted -= returned;
        self.recall -= returned;
    }

    /// Gives back units above `kept` once there has been a surplus for long enough.
    fn give_back_surplus(&mut self, now: Duration, kept: u64, is_idle: bool, surplus_delay: Duration) {
        let surplus = self.granted.saturating_sub(kept);
        if surplus > self.granted / 8 || is_idle && surplus > 0 {
            let since = *self.surplus_since.get_or_insert(now);
            if now.saturating_sub(since) >= surplus_delay {
                self.granted -= surplus;
                self.surplus_since = None;
            }
        } else {
            self.surplus_since = None;
        }
    }

    /// Returns whether the share can be removed: it is empty, and the ledger knows that.
    pub(super) fn is_removable(&self) -> bool {
        self.granted == 0 && self.used == 0 && self.last_report == Some(Reported { used: 0, demand: 0 })
    }

    /// Returns whether less is granted than the demand of the last report.
    pub(super) fn is_lacking(&self) -> bool {
        self.last_report.is_some_and(|last| last.demand > self.granted)
    }

    /// Marks the share as unreported, because the ledger no longer has the last report.
    pub(super) fn forget_report(&mut self) {
        self.last_report = None;
    }
}

/// Returns whether two values differ by no more than an eighth.
fn is_near(a: u64, b: u64) -> bool {
    a.abs_diff(b) <= a.max(b) / 8
}

/// Returns whether a limit has many claims: one for each of many keys or customers.
pub(super) fn has_many_keys(limit: &LimitDefinition) -> bool {
    limit.only_key.is_none() && limit.scope != Scope::All || !limit.weights.is_empty()
}
