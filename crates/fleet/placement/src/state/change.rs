//! Customers' changes: done once, by key, and checked against what their customer may have.

use std::collections::BTreeSet;

use super::{Ask, MOST_ASKS, MOST_HELD, Placements};
use crate::words::answers::{Answer, Event, Outcome, Reason};
use crate::words::commands::{Change, What};
use crate::words::names::{AskId, Customer, ShardId, ShardName, Version};
use crate::words::request::{OnLoss, Request, WhenFull};

/// An hour of the log's clock.
const HOUR_MS: u64 = 3_600_000;

impl Placements {
    pub(super) fn change(&mut self, change: &Change, events: &mut Vec<Event>) -> Answer {
        let customer = &change.shard.customer;
        let print = print(change);
        let Some(account) = self.accounts.get(customer) else {
            return Answer::Asked(AskId(0), Outcome::Refused(Reason::NoQuota(customer.clone())));
        };
        if let Some((id, ask)) = account.keys.get(&change.key).and_then(|id| Some((*id, self.asks.get(id)?)))
        {
            let outcome =
                if ask.print == print { ask.outcome.clone() } else { Outcome::Refused(Reason::KeyReused) };
            return Answer::Asked(id, outcome);
        }
        let outcome = match self.paced(customer).and_then(|()| self.admit(change, events)) {
            Ok(version) => Outcome::Admitted(version),
            Err(why) if self.may_wait(change, &why) => Outcome::Held(why),
            Err(why) => Outcome::Refused(why),
        };
        if !matches!(outcome, Outcome::Refused(_)) {
            self.supersede(&change.shard);
            if let Some(account) = self.accounts.get_mut(customer) {
                account.changes.push(self.clock);
            }
        }
        self.last_ask += 1;
        let id = AskId(self.last_ask);
        let held = matches!(outcome, Outcome::Held(_)).then(|| change.clone());
        let ask = Ask {
            shard: change.shard.clone(),
            key: change.key.clone(),
            print,
            outcome: outcome.clone(),
            held,
        };
        self.remember(customer, id, ask);
        Answer::Asked(id, outcome)
    }

    /// A request that is held is looked at again; none: it still does not fit.
    pub(super) fn admit_held(&mut self, id: AskId, events: &mut Vec<Event>) -> Option<()> {
        let change = self.asks.get(&id)?.held.clone()?;
        let outcome = match self.admit(&change, events) {
            Ok(version) => Outcome::Admitted(version),
            Err(why @ Reason::NoRoom(_)) => Outcome::Held(why),
            Err(why) => Outcome::Refused(why),
        };
        let ask = self.asks.get_mut(&id)?;
        if !matches!(outcome, Outcome::Held(_)) {
            ask.held = None;
        } else if ask.outcome == outcome {
            return None;
        }
        ask.outcome = outcome;
        Some(())
    }

    fn may_wait(&self, change: &Change, why: &Reason) -> bool {
        let waits = matches!(&change.what, What::Put(r) if r.when_full == WhenFull::Wait);
        let held =
            self.asks.values().filter(|a| a.held.is_some() && a.shard.customer == change.shard.customer);
        waits && matches!(why, Reason::NoRoom(_)) && held.count() < MOST_HELD
    }

    /// What was held of this shard is not wanted any more.
    fn supersede(&mut self, shard: &ShardId) {
        for ask in self.asks.values_mut().filter(|a| a.held.is_some() && a.shard == *shard) {
            ask.held = None;
            ask.outcome = Outcome::Refused(Reason::Superseded);
        }
    }

    /// Past the bound the oldest that is not held is forgotten.
    fn remember(&mut self, customer: &Customer, id: AskId, ask: Ask) {
        let Some(account) = self.accounts.get_mut(customer) else { return };
        if account.keys.len() >= MOST_ASKS {
            let settled =
                account.keys.iter().filter(|(_, id)| self.asks.get(id).is_none_or(|a| a.held.is_none()));
            if let Some((key, id)) = settled.min_by_key(|(_, id)| **id).map(|(k, id)| (k.clone(), *id)) {
                account.keys.remove(&key);
                self.asks.remove(&id);
            }
        }
        account.keys.insert(ask.key.clone(), id);
        self.asks.insert(id, ask);
    }

    /// Changes an hour, by the log's clock, which may stand still but never runs ahead: no customer has more than it may.
    fn paced(&mut self, customer: &Customer) -> Result<(), Reason> {
        let clock = self.clock;
        let Some(account) = self.accounts.get_mut(customer) else { return Ok(()) };
        account.changes.retain(|at| at + HOUR_MS > clock);
        let made = account.changes.len() as u32;
        if made < account.quota.changes_an_hour {
            return Ok(());
        }
        let first = account.changes.first().map_or(0, |at| at + HOUR_MS - clock);
        Err(Reason::Changes { made, wait_ms: first })
    }

    /// Shards of a customer.
    pub(super) fn pins_of(&self, customer: &Customer) -> impl Iterator<Item = (&ShardId, &super::Pin)> {
        let customer = customer.clone();
        // The lowest name that there can be.
        let lowest = ShardName::try_from("-").ok().map(|name| ShardId { customer: customer.clone(), name });
        let from = lowest.into_iter().flat_map(|first| self.pins.range(first..));
        from.take_while(move |(id, _)| id.customer == customer)
    }

    /// Whether a customer may have that, all its other shards counted.
    pub(super) fn within_quota(&self, shard: &ShardId, request: &Request) -> Result<(), Reason> {
        let Some(account) = self.accounts.get(&shard.customer) else {
            return Err(Reason::NoQuota(shard.customer.clone()));
        };
        let quota = &account.quota;
        let lent: &[_] = if let OnLoss::Lend { to, .. } = &request.on_loss { to } else { &[] };
        let named: BTreeSet<_> = request.regions.keys().chain(lent).collect();
        if let Some(region) =
            named.into_iter().find(|r| !quota.regions.contains(r) || !self.inventory.regions.contains_key(r))
        {
            return Err(Reason::Region(region.clone()));
        }
        let others = || self.pins_of(&shard.customer).filter(|(id, p)| *id != shard && !p.removing);
        if others().count() as u64 >= u64::from(quota.shards) {
            return Err(Reason::Shards(others().count() as u32));
        }
        let bytes: u64 = others().map(|(_, p)| p.request.all_bytes()).sum();
        let would = bytes.saturating_add(request.all_bytes());
        if would > quota.bytes {
            let fits = quota.bytes.saturating_sub(bytes);
            return Err(Reason::Bytes { would, quota: quota.bytes, fits });
        }
        let titles = |p: &super::Pin| request.titles.overlaps(&p.request.titles);
        match self
            .pins_of(&shard.customer)
            .filter(|(id, _)| *id != shard)
            .find_map(|(id, p)| Some((id, titles(p)?)))
        {
            Some((id, what)) => Err(Reason::Overlap { what, shard: id.name.clone() }),
            None => Ok(()),
        }
    }

    /// What an account has asked by a key.
    pub fn asked(&self, customer: &Customer, key: &crate::words::names::Key) -> Option<AskId> {
        self.accounts.get(customer)?.keys.get(key).copied()
    }
}

/// A change as a number: FNV-1a over its bytes. It finds a mistake, not an attack: keys are each customer's own.
fn print(change: &Change) -> u64 {
    let bytes = postcard::to_allocvec(change).unwrap_or_default();
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

/// The version that a change is based on is the one in force.
pub(super) fn matches(is: Option<Version>, if_match: Option<Version>) -> Result<(), Reason> {
    if is == if_match { Ok(()) } else { Err(Reason::Version { is: is.map_or(0, |v| v.0) }) }
}
