//! Sums over all fronts of one counter, kept as shares change.

use std::collections::BTreeMap;

use crate::definition::LimitDefinition;
use crate::key::Key;

/// What one front holds of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Share {
    pub share: u64,
    pub used: u64,
    pub want: u64,
}

impl Share {
    /// What it lacks.
    fn unmet(self) -> u64 {
        self.want.saturating_sub(self.share)
    }

    /// What it holds beyond what it wants and its least part.
    pub(crate) fn spare(self, least: u64) -> u64 {
        self.share.saturating_sub(self.want.max(self.used).max(least))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct OfCustomer {
    sum: u64,
    unmet: u64,
}

/// The sums of a counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(crate) struct Tally {
    /// All shares and orphans.
    pub sum: u64,
    /// What fronts hold within their least parts.
    leasts: u64,
    unmet: u64,
    spare: u64,
    customers: BTreeMap<Key, OfCustomer>,
}

/// What a share may grow by, and what is asked back of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Turn {
    pub grant: u64,
    pub recall: u64,
    pub closed: bool,
}

impl Tally {
    /// Whether fronts that hold some of it are to hear so, whatever they say: it is over its limit, or others lack some.
    pub(crate) fn is_pressed(&self, of: &LimitDefinition) -> bool {
        self.sum > of.units() || self.unmet > 0
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.sum == 0 && self.unmet == 0
    }

    fn change(&mut self, of: &LimitDefinition, customer: &Key, share: Share, up: bool) {
        let by = |sum: &mut u64, n: u64| *sum = if up { *sum + n } else { sum.saturating_sub(n) };
        by(&mut self.sum, share.share);
        by(&mut self.leasts, share.share.min(of.least));
        by(&mut self.unmet, share.unmet());
        by(&mut self.spare, share.spare(of.least));
        if !of.weights.is_empty() {
            let one = self.customers.entry(customer.clone()).or_default();
            by(&mut one.sum, share.share);
            by(&mut one.unmet, share.unmet());
            if *one == OfCustomer::default() {
                self.customers.remove(customer);
            }
        }
    }

    pub(crate) fn add(&mut self, of: &LimitDefinition, customer: &Key, share: Share) {
        self.change(of, customer, share, true);
    }

    pub(crate) fn take(&mut self, of: &LimitDefinition, customer: &Key, share: Share) {
        self.change(of, customer, share, false);
    }

    /// What a lost front's units count for: the sum, and nothing else.
    pub(crate) fn orphan(&mut self, of: &LimitDefinition, customer: &Key, units: u64, up: bool) {
        let by = |sum: &mut u64| *sum = if up { *sum + units } else { sum.saturating_sub(units) };
        by(&mut self.sum);
        if !of.weights.is_empty() {
            by(&mut self.customers.entry(customer.clone()).or_default().sum);
        }
    }

    /// Whether another customer lacks something of its own part.
    fn lenders(&self, of: &LimitDefinition, but: &Key) -> u64 {
        let lacks = |(key, c): (&Key, &OfCustomer)| {
            let part = of.part(key).unwrap_or(0);
            if key == but { 0 } else { c.unmet.min(part.saturating_sub(c.sum)) }
        };
        self.customers.iter().map(lacks).sum()
    }

    /// What is kept of others' parts and never lent.
    fn kept(&self, of: &LimitDefinition, but: &Key) -> u64 {
        if of.keep_milli == 0 {
            return 0;
        }
        let kept = |(key, _): (&Key, &u32)| {
            let part = of.part(key).unwrap_or(0) / 1_000 * u64::from(of.keep_milli);
            part.saturating_sub(self.customers.get(key).map_or(0, |c| c.sum))
        };
        of.weights.iter().filter(|(key, _)| *key != but).map(kept).sum()
    }

    /// What comes of a front's word. `own` is its share as it now says, and is not among the sums.
    pub(crate) fn turn(
        &self,
        of: &LimitDefinition,
        customer: &Key,
        own: Share,
        limit: u64,
        no_least: bool,
    ) -> Turn {
        let sum = self.sum + own.share;
        if sum > limit {
            // The limit was lowered. All that is not used comes back, and nobody is admitted until it fits.
            return Turn { grant: 0, recall: own.share.saturating_sub(own.used), closed: true };
        }
        let free = limit - sum;
        // Fronts' least parts first: this front's own, and what is kept for those that have not come yet.
        let seats = if no_least { 0 } else { of.least.saturating_mul(of.seats()) };
        let own_least = if no_least { 0 } else { of.least.min(own.want).saturating_sub(own.share) };
        let first = own_least.min(free);
        let reserve = seats.saturating_sub(self.leasts).saturating_sub(own.share.min(of.least) + first);
        let avail = (free - first).saturating_sub(reserve);
        let need = own.want.saturating_sub(own.share + first);
        let others = self.unmet;
        let (room, mine_to_give) = self.by_weight(of, customer, own, first, avail);
        let fair = if others == 0 {
            need
        } else {
            // In proportion of what each lacks, but one at least, so that it goes on.
            let part = u128::from(room) * u128::from(need) / u128::from(need + others).max(1);
            need.min(u64::try_from(part).unwrap_or(u64::MAX).max(1))
        };
        let grant = first + fair.min(room);
        let surplus = own.spare(of.least);
        let lacking = others.saturating_sub(avail.saturating_sub(grant - first));
        let all = (self.spare + surplus).max(1);
        let asked = u128::from(lacking) * u128::from(surplus) / u128::from(all);
        let mut recall = u64::try_from(asked).unwrap_or(u64::MAX).max(u64::from(lacking > 0)).min(surplus);
        // What is lent and wanted back is owed whether it is in use or not: it comes back as sessions end.
        recall = recall.max(mine_to_give.min(own.share.saturating_sub(of.least)));
        Turn { grant, recall, closed: false }
    }

    /// How much a customer may have of what is free, and how much of what it has is lent to it and wanted back.
    fn by_weight(
        &self,
        of: &LimitDefinition,
        customer: &Key,
        own: Share,
        first: u64,
        avail: u64,
    ) -> (u64, u64) {
        let Some(part) = of.part(customer) else { return (avail, 0) };
        let its = self.customers.get(customer).map_or(0, |c| c.sum) + own.share + first;
        let within = part.saturating_sub(its);
        let lenders = self.lenders(of, customer);
        let lent = if lenders > 0 { 0 } else { avail.saturating_sub(self.kept(of, customer)) };
        let lent_to_it = u128::from(lenders.min(its.saturating_sub(part)));
        let mine = (lent_to_it * u128::from(own.share)).div_ceil(u128::from(its.max(1)));
        (avail.min(within.max(lent)), u64::try_from(mine).unwrap_or(u64::MAX))
    }
}
