//! Customers' changes: applied once per key, and checked against the customer's quota.

use std::collections::BTreeSet;

use super::{MAX_REQUESTS_PER_CUSTOMER, MAX_WAITING_PER_CUSTOMER, Placements, TrackedRequest};
use crate::protocol::answers::{Answer, Event, Outcome, Reason};
use crate::protocol::commands::{Change, ChangeKind};
use crate::protocol::names::{Customer, CustomerRequestId, ShardId, ShardName, Version};
use crate::protocol::request::{OnLoss, Request, WhenFull};

/// One hour of the log's clock, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

impl Placements {
    pub(super) fn change(&mut self, change: &Change, events: &mut Vec<Event>) -> Answer {
        let customer = &change.shard.customer;
        let hash = request_hash(change);
        let Some(account) = self.accounts.get(customer) else {
            return Answer::Request(
                CustomerRequestId(0),
                Outcome::Refused(Reason::NoQuota(customer.clone())),
            );
        };
        if let Some((id, request)) =
            account.keys.get(&change.key).and_then(|id| Some((*id, self.requests.get(id)?)))
        {
            let outcome = if request.hash == hash {
                request.outcome.clone()
            } else {
                Outcome::Refused(Reason::KeyReused)
            };
            return Answer::Request(id, outcome);
        }
        let outcome = match self.check_change_rate(customer).and_then(|()| self.admit(change, events)) {
            Ok(version) => Outcome::Admitted(version),
            Err(why) if self.may_wait(change, &why) => Outcome::Waiting(why),
            Err(why) => Outcome::Refused(why),
        };
        if !matches!(outcome, Outcome::Refused(_)) {
            self.supersede(&change.shard);
            if let Some(changed) = self.accounts.get_mut(customer) {
                changed.changes.push(self.clock);
            }
        }
        self.last_request += 1;
        let id = CustomerRequestId(self.last_request);
        let waiting = matches!(outcome, Outcome::Waiting(_)).then(|| change.clone());
        let request = TrackedRequest {
            shard: change.shard.clone(),
            key: change.key.clone(),
            hash,
            outcome: outcome.clone(),
            waiting,
        };
        self.store_request(customer, id, request);
        Answer::Request(id, outcome)
    }

    /// Retries the admission of a waiting request. Returns `None` if the outcome has not changed.
    pub(super) fn admit_waiting(&mut self, id: CustomerRequestId, events: &mut Vec<Event>) -> Option<()> {
        let change = self.requests.get(&id)?.waiting.clone()?;
        let outcome = match self.admit(&change, events) {
            Ok(version) => Outcome::Admitted(version),
            Err(why @ Reason::InsufficientCapacity(_)) => Outcome::Waiting(why),
            Err(why) => Outcome::Refused(why),
        };
        let request = self.requests.get_mut(&id)?;
        if !matches!(outcome, Outcome::Waiting(_)) {
            request.waiting = None;
        } else if request.outcome == outcome {
            return None;
        }
        request.outcome = outcome;
        Some(())
    }

    fn may_wait(&self, change: &Change, why: &Reason) -> bool {
        let waits = matches!(&change.kind, ChangeKind::Put(r) if r.when_full == WhenFull::Wait);
        let waiting = self
            .requests
            .values()
            .filter(|a| a.waiting.is_some() && a.shard.customer == change.shard.customer);
        waits && matches!(why, Reason::InsufficientCapacity(_)) && waiting.count() < MAX_WAITING_PER_CUSTOMER
    }

    /// Refuses the requests for this shard that wait, because a later one replaces them.
    fn supersede(&mut self, shard: &ShardId) {
        for request in self.requests.values_mut().filter(|a| a.waiting.is_some() && a.shard == *shard) {
            request.waiting = None;
            request.outcome = Outcome::Refused(Reason::Superseded);
        }
    }

    /// Stores a request. At the limit, the oldest one that does not wait is dropped.
    fn store_request(&mut self, customer: &Customer, id: CustomerRequestId, request: TrackedRequest) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        if account.keys.len() >= MAX_REQUESTS_PER_CUSTOMER {
            let settled = account
                .keys
                .iter()
                .filter(|(_, stored)| self.requests.get(stored).is_none_or(|a| a.waiting.is_none()));
            let oldest = settled.min_by_key(|(_, stored)| **stored);
            if let Some((key, stored)) = oldest.map(|(k, stored)| (k.clone(), *stored)) {
                account.keys.remove(&key);
                self.requests.remove(&stored);
            }
        }
        account.keys.insert(request.key.clone(), id);
        self.requests.insert(id, request);
    }

    /// Checks the number of changes per hour of the log's clock. The clock may stop but never runs ahead, so no
    /// customer exceeds its quota.
    fn check_change_rate(&mut self, customer: &Customer) -> Result<(), Reason> {
        let clock = self.clock;
        let Some(account) = self.accounts.get_mut(customer) else { return Ok(()) };
        account.changes.retain(|at| at + HOUR_MS > clock);
        let made = u32::try_from(account.changes.len()).unwrap_or(u32::MAX);
        if made < account.quota.changes_an_hour {
            return Ok(());
        }
        let wait_ms = account.changes.first().map_or(0, |at| at + HOUR_MS - clock);
        Err(Reason::Changes { made, wait_ms })
    }

    /// Returns the shards of a customer.
    pub(super) fn pins_by_customer(
        &self,
        customer: &Customer,
    ) -> impl Iterator<Item = (&ShardId, &super::Pin)> {
        let customer = customer.clone();
        // The lowest valid name in the order of names.
        let lowest = ShardName::try_from("-").ok().map(|name| ShardId { customer: customer.clone(), name });
        let from = lowest.into_iter().flat_map(|first| self.pins.range(first..));
        from.take_while(move |(id, _)| id.customer == customer)
    }

    /// Checks a request against the customer's quota, including all its other shards.
    pub(super) fn check_quota(&self, shard: &ShardId, request: &Request) -> Result<(), Reason> {
        let Some(account) = self.accounts.get(&shard.customer) else {
            return Err(Reason::NoQuota(shard.customer.clone()));
        };
        let quota = &account.quota;
        let failover_regions: &[_] =
            if let OnLoss::FailOver { to, .. } = &request.on_loss { to } else { &[] };
        let named: BTreeSet<_> = request.regions.keys().chain(failover_regions).collect();
        if let Some(region) =
            named.into_iter().find(|r| !quota.regions.contains(r) || !self.inventory.regions.contains_key(r))
        {
            return Err(Reason::Region(region.clone()));
        }
        let others = || self.pins_by_customer(&shard.customer).filter(|(id, p)| *id != shard && !p.removing);
        if others().count() as u64 >= u64::from(quota.shards) {
            return Err(Reason::Shards(u32::try_from(others().count()).unwrap_or(u32::MAX)));
        }
        let bytes: u64 = others().map(|(_, p)| p.request.total_bytes()).sum();
        let would = bytes.saturating_add(request.total_bytes());
        if would > quota.bytes {
            let fits = quota.bytes.saturating_sub(bytes);
            return Err(Reason::Bytes { would, quota: quota.bytes, fits });
        }
        let titles = |p: &super::Pin| request.titles.overlaps(&p.request.titles);
        match self
            .pins_by_customer(&shard.customer)
            .filter(|(id, _)| *id != shard)
            .find_map(|(id, p)| Some((id, titles(p)?)))
        {
            Some((id, what)) => Err(Reason::Overlap { what, shard: id.name.clone() }),
            None => Ok(()),
        }
    }

    /// Returns the request that a customer made with a key.
    pub fn request_id(
        &self,
        customer: &Customer,
        key: &crate::protocol::names::Key,
    ) -> Option<CustomerRequestId> {
        self.accounts.get(customer)?.keys.get(key).copied()
    }
}

/// Returns the FNV-1a hash of a change's encoding. It detects mistakes, not attacks, as keys are private to a
/// customer.
fn request_hash(change: &Change) -> u64 {
    let bytes = postcard::to_allocvec(change).unwrap_or_default();
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

/// Checks that a change is based on the latest version.
pub(super) fn check_version(is: Option<Version>, if_match: Option<Version>) -> Result<(), Reason> {
    if is == if_match { Ok(()) } else { Err(Reason::Version { is: is.map_or(0, |v| v.0) }) }
}
