//! Totals of one counter over all fronts, updated as shares change, and the allocation of its units.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::definition::LimitDefinition;
use crate::key::Key;

/// One front's entry of a claim in the ledger, in units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub(crate) struct Share {
    /// Units that the front holds.
    pub granted: u64,
    /// Units in use as of the last report.
    pub used: u64,
    /// Units that the front needs.
    pub demand: u64,
}

impl Share {
    /// Returns the units that are needed but not granted.
    fn unmet(self) -> u64 {
        self.demand.saturating_sub(self.granted)
    }

    /// Returns the granted units above the demand, the use and the minimum share.
    fn surplus(self, min_share: u64) -> u64 {
        self.granted.saturating_sub(self.demand.max(self.used).max(min_share))
    }

    /// Adds units that are granted and in use.
    pub(crate) fn add_used(&mut self, units: u64) {
        self.granted += units;
        self.used += units;
        self.demand += units;
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct CustomerTotals {
    sum: u64,
    unmet: u64,
}

/// Totals of a counter, in units.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(crate) struct Counter {
    /// All shares and orphans.
    pub sum: u64,
    /// The granted units that lie within minimum shares.
    min_shares: u64,
    unmet: u64,
    surplus: u64,
    customers: BTreeMap<Key, CustomerTotals>,
}

/// The ledger's decision on one share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Allocation {
    /// Units that are granted in addition.
    pub grant: u64,
    /// Units that the front is to give back.
    pub recall: u64,
    /// Whether the sum exceeds the limit, so that the front admits no sessions.
    pub closed: bool,
}

/// What a customer may take and owes under a weighted limit, in units.
struct CustomerQuota {
    /// Units that it may have of the available ones.
    available: u64,
    /// Units of the front's share that are borrowed and that their owners need.
    owed: u64,
}

fn change_by(total: &mut u64, units: u64, add: bool) {
    *total = if add { *total + units } else { total.saturating_sub(units) };
}

impl Counter {
    /// Returns whether fronts learn of their shares even if they do not report them: the sum exceeds the limit, or a front lacks units.
    pub(crate) fn is_contended(&self, limit: &LimitDefinition) -> bool {
        self.sum > limit.units() || self.unmet > 0
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.sum == 0 && self.unmet == 0
    }

    fn change(&mut self, limit: &LimitDefinition, customer: &Key, share: Share, add: bool) {
        change_by(&mut self.sum, share.granted, add);
        change_by(&mut self.min_shares, share.granted.min(limit.min_share), add);
        change_by(&mut self.unmet, share.unmet(), add);
        change_by(&mut self.surplus, share.surplus(limit.min_share), add);
        if !limit.weights.is_empty() {
            let totals = self.customers.entry(customer.clone()).or_default();
            change_by(&mut totals.sum, share.granted, add);
            change_by(&mut totals.unmet, share.unmet(), add);
            if *totals == CustomerTotals::default() {
                self.customers.remove(customer);
            }
        }
    }

    pub(crate) fn add(&mut self, limit: &LimitDefinition, customer: &Key, share: Share) {
        self.change(limit, customer, share, true);
    }

    pub(crate) fn remove(&mut self, limit: &LimitDefinition, customer: &Key, share: Share) {
        self.change(limit, customer, share, false);
    }

    /// Adds or removes an orphan's units, which count for the sums only.
    pub(crate) fn change_orphan(&mut self, limit: &LimitDefinition, customer: &Key, units: u64, add: bool) {
        change_by(&mut self.sum, units, add);
        if !limit.weights.is_empty() {
            change_by(&mut self.customers.entry(customer.clone()).or_default().sum, units, add);
        }
    }

    /// Returns the units that other customers lack within their own parts.
    fn unmet_of_others(&self, limit: &LimitDefinition, customer: &Key) -> u64 {
        let unmet = |(key, totals): (&Key, &CustomerTotals)| {
            let part = limit.customer_part(key).unwrap_or(0);
            if key == customer { 0 } else { totals.unmet.min(part.saturating_sub(totals.sum)) }
        };
        self.customers.iter().map(unmet).sum()
    }

    /// Returns the unused units of other customers' parts that are never lent.
    fn reserved_for_others(&self, limit: &LimitDefinition, customer: &Key) -> u64 {
        if limit.reserved_milli == 0 {
            return 0;
        }
        let reserved = |(key, _): (&Key, &u32)| {
            let part = limit.customer_part(key).unwrap_or(0) / 1_000 * u64::from(limit.reserved_milli);
            part.saturating_sub(self.customers.get(key).map_or(0, |totals| totals.sum))
        };
        limit.weights.iter().filter(|(key, _)| *key != customer).map(reserved).sum()
    }

    /// Decides on a front's share. `own` is the share as reported now, which must not be among the totals. `max_sum` is the value of
    /// the limit in units.
    pub(crate) fn allocate(
        &self,
        limit: &LimitDefinition,
        customer: &Key,
        own: Share,
        max_sum: u64,
        min_shares_reserved: bool,
    ) -> Allocation {
        let sum = self.sum + own.granted;
        if sum > max_sum {
            // The limit was lowered. All unused units are recalled, and no front admits until the sum fits.
            return Allocation { grant: 0, recall: own.granted.saturating_sub(own.used), closed: true };
        }
        let free = max_sum - sum;
        // Minimum shares come first: the front's own, and those reserved for fronts without one.
        let min_share = if min_shares_reserved { limit.min_share } else { 0 };
        let missing_min_share = min_share.min(own.demand).saturating_sub(own.granted).min(free);
        let reserved = min_share
            .saturating_mul(limit.max_min_shares())
            .saturating_sub(self.min_shares)
            .saturating_sub(own.granted.min(limit.min_share) + missing_min_share);
        let available = (free - missing_min_share).saturating_sub(reserved);
        let need = own.demand.saturating_sub(own.granted + missing_min_share);
        let quota = self.customer_quota(limit, customer, own.granted, missing_min_share, available);
        let fair = self.fair_part(need, quota.available);
        let grant = missing_min_share + fair.min(quota.available);
        let still_available = available.saturating_sub(grant - missing_min_share);
        let recall = self.recall(own.surplus(limit.min_share), still_available);
        // Borrowed units that their owners need are owed even while in use: they are given back as sessions end.
        let owed = quota.owed.min(own.granted.saturating_sub(limit.min_share));
        Allocation { grant, recall: recall.max(owed), closed: false }
    }

    /// Returns the units of `available` that a front with an unmet `need` gets: all if no other front lacks units, otherwise in
    /// proportion to the needs. At least one, so that a small need makes progress.
    fn fair_part(&self, need: u64, available: u64) -> u64 {
        if self.unmet == 0 {
            return need;
        }
        let part = u128::from(available) * u128::from(need) / u128::from(need + self.unmet).max(1);
        need.min(u64::try_from(part).unwrap_or(u64::MAX).max(1))
    }

    /// Returns how much of a front's surplus is recalled for other fronts' unmet demand, in proportion to all surpluses.
    fn recall(&self, surplus: u64, available: u64) -> u64 {
        let lacking = self.unmet.saturating_sub(available);
        let total_surplus = (self.surplus + surplus).max(1);
        let part = u128::from(lacking) * u128::from(surplus) / u128::from(total_surplus);
        u64::try_from(part).unwrap_or(u64::MAX).max(u64::from(lacking > 0)).min(surplus)
    }

    fn customer_quota(
        &self,
        limit: &LimitDefinition,
        customer: &Key,
        granted: u64,
        added: u64,
        available: u64,
    ) -> CustomerQuota {
        let Some(part) = limit.customer_part(customer) else { return CustomerQuota { available, owed: 0 } };
        let held = self.customers.get(customer).map_or(0, |totals| totals.sum) + granted + added;
        let within_part = part.saturating_sub(held);
        let unmet_of_others = self.unmet_of_others(limit, customer);
        let lendable = if unmet_of_others > 0 {
            0
        } else {
            available.saturating_sub(self.reserved_for_others(limit, customer))
        };
        let borrowed = u128::from(unmet_of_others.min(held.saturating_sub(part)));
        let owed = (borrowed * u128::from(granted)).div_ceil(u128::from(held.max(1)));
        CustomerQuota {
            available: available.min(within_part.max(lendable)),
            owed: u64::try_from(owed).unwrap_or(u64::MAX),
        }
    }
}
