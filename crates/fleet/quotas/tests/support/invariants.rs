//! Checks of the simulation: limits, the ledger's sums, and linearizability.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_leases::Name;
use beechloft_quotas::{Claim, FrontId, Key, LimitDefinition, Scope, bounds};

use super::simulation::Simulation;
use super::{ms, name};

/// Window over which rates are checked.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// When a request was first sent and when its first answer arrived.
#[derive(Debug, Clone)]
pub(super) struct RequestTimes {
    pub(super) sent_at: Duration,
    pub(super) answered_at: Option<Duration>,
}

fn claim_on_all(limit: &Name) -> Claim {
    Claim { limit: limit.clone(), key: Key::default(), customer: Key::default() }
}

impl Simulation {
    /// Returns the highest value of a limit within the time in which a change comes into force, in units.
    fn allowed(&self, limit: &Name) -> u64 {
        let window = self.drift.longer(ms(u64::from(self.parameters.ttl_ms)));
        let values = &self.limit_history[limit];
        let mut allowed = values.last().map_or(0, |value| value.1);
        for pair in values.windows(2) {
            if self.now.saturating_sub(pair[1].0) <= window {
                allowed = allowed.max(pair[0].1);
            }
        }
        allowed
    }

    /// Returns the units of a counter that sessions use, over all customers.
    fn total_in_use(&self, claim: &Claim) -> u64 {
        let is_counted = |other: &Claim| other.limit == claim.limit && other.key == claim.key;
        self.units_in_use.iter().filter(|(other, _)| is_counted(other)).map(|(_, units)| units).sum()
    }

    /// Returns the units of a limit of scope `All` without weights that sessions use.
    pub fn in_use(&self, limit: &str) -> u64 {
        self.total_in_use(&claim_on_all(&name(limit)))
    }

    fn record_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    /// Checks that sessions use no more of a counter than is allowed.
    pub(super) fn check_units_in_use(&mut self, claim: &Claim) {
        let (in_use, mut allowed) = (self.total_in_use(claim), self.allowed(&claim.limit));
        let limit = self.definition(claim).clone();
        if !limit.is_hard() {
            self.max_excess = self.max_excess.max(in_use.saturating_sub(allowed));
            allowed += bounds::max_excess(&limit);
        }
        if in_use > allowed {
            self.record_violation(format!("{claim}: {in_use} in use, {allowed} allowed, at {:?}", self.now));
        }
    }

    /// Counts an event under a limit on a rate and checks the bound.
    pub(super) fn check_rate(&mut self, limit: &LimitDefinition, claim: &Claim) {
        let max_events = if limit.is_hard() {
            bounds::max_admitted_in(limit, self.drift, RATE_WINDOW)
        } else {
            limit.limit + bounds::max_excess(limit) / 1_000 + 1
        };
        let now = self.now;
        let events = self.rate_events.entry(claim.clone()).or_default();
        events.push_back(now);
        while events.front().is_some_and(|at| now - *at > RATE_WINDOW) {
            events.pop_front();
        }
        let count = events.len() as u64;
        if count > max_events {
            self.record_violation(format!("{claim}: {count} in a second, {max_events} allowed, at {now:?}"));
        }
    }

    /// Checks that the limits would hold if all fronts with an open account used up their headroom now. Paused fronts count too,
    /// because they may continue at any moment.
    pub(super) fn check_shares(&mut self) {
        let mut limits = self.definitions.clone();
        limits.retain(|d| d.scope == Scope::All && d.is_hard() && d.weights.is_empty());
        for limit in limits {
            let claim = claim_on_all(&limit.name);
            let in_use = if limit.resource.is_rate() { 0 } else { self.total_in_use(&claim) };
            let open = self.fronts.iter().filter(|n| n.running && n.front.is_open(n.local_time(self.now)));
            let headroom: u64 = open.map(|node| node.front.headroom(&claim)).sum();
            // More than a lowered limit may be in use, but then no front may have headroom.
            let allowed = self.allowed(&limit.name).max(in_use);
            let possible = in_use + headroom;
            if possible > allowed {
                let now = self.now;
                self.record_violation(format!("{claim}: {possible} possible, {allowed} allowed, at {now:?}"));
            }
        }
    }

    /// Checks that the ledger's sums match its shares, and that they exceed no value that the limit has had.
    pub(super) fn check_sums(&mut self) {
        for limit in self.definitions.clone() {
            if limit.scope != Scope::All || !limit.is_hard() {
                continue;
            }
            let (name, key) = (&limit.name, Key::default());
            let (sum, recomputed) = (self.ledger.sum(name, &key), self.ledger.recomputed_sum(name, &key));
            let highest = self.limit_history[name].iter().map(|value| value.1).max().unwrap_or(0);
            if sum != recomputed || recomputed > highest {
                self.record_violation(format!(
                    "{name}: the ledger's sum is {sum}, its shares add up to {recomputed}, highest limit {highest}"
                ));
            }
        }
    }

    /// Checks that the log is a linearization of the requests that fronts sent, in which the requests of each front are in order.
    /// Returns the first violation.
    pub fn check_history(&self) -> Option<String> {
        let mut latest_sent = Duration::ZERO;
        let mut last_seqs: BTreeMap<FrontId, u64> = BTreeMap::new();
        for (front, seq, applied_at) in &self.log {
            let times = self.history.get(&(*front, *seq))?;
            if times.sent_at > *applied_at || times.answered_at.is_some_and(|at| at < *applied_at) {
                return Some(format!("{front:?} {seq} was applied at {applied_at:?}, outside of {times:?}"));
            }
            // No earlier entry of the log may have been sent after this one was answered.
            latest_sent = latest_sent.max(times.sent_at);
            if times.answered_at.is_some_and(|at| at < latest_sent) {
                return Some(format!("{front:?} {seq} follows a request that was sent after its answer"));
            }
            if last_seqs.insert(*front, *seq).is_some_and(|last| last > *seq) {
                return Some(format!("{front:?} {seq} was applied after a later request of the same front"));
            }
        }
        None
    }
}
