//! The state of the ledger, the totals derived from it, and its encoding.

use std::collections::{BTreeMap, BTreeSet};

use beechloft_leases::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::counter::{Counter, Share};
use crate::definition::LimitDefinition;
use crate::fault_injection::Fault;
use crate::message::{AccountId, Answer, Claim, Event, FrontId, Key, OrphanId};

/// Minimum step by which an orphan ages, milliseconds, unless less is left.
const MIN_AGE_STEP_MS: u64 = 1_000;
/// Maximum step by which an orphan ages, milliseconds, unless it has very long to live.
const MAX_AGE_STEP_MS: u64 = 60_000;

/// The account of a front.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Account {
    pub(super) front: FrontId,
    pub(super) ttl_ms: u32,
    pub(super) tagged: bool,
    pub(super) renewals: u64,
    pub(super) shares: BTreeMap<Claim, Share>,
}

/// The units that a front left when its account ended. They count until their sessions are known to have ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Orphan {
    /// The front that left them.
    pub front: FrontId,
    /// Units by claim.
    pub units: BTreeMap<Claim, u64>,
    /// Whether the sessions have tags, so that media servers can report what is left.
    pub tagged: bool,
    /// Lower bound of the true time since the account ended, as counted by leaders, milliseconds.
    pub age_ms: u64,
}

/// The last request of a front and its answer, so that a retransmission is not applied twice.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct LastRequest {
    pub(super) seq: u64,
    pub(super) answer: Answer,
    /// The number of commands that were applied by then.
    pub(super) applied: u64,
}

/// A snapshot can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("can't decode the ledger of limits: {0}")]
pub struct LedgerError(String);

/// The replicated ledger of all hard limits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Ledger {
    pub(super) definitions: BTreeMap<Name, LimitDefinition>,
    /// Versions at which limits were removed, so that an older definition does not restore them.
    pub(super) removed: BTreeMap<Name, u64>,
    /// The highest value that each limit has had, in units.
    pub(super) highest: BTreeMap<Name, u64>,
    pub(super) accounts: BTreeMap<AccountId, Account>,
    pub(super) orphans: BTreeMap<OrphanId, Orphan>,
    pub(super) last_requests: BTreeMap<FrontId, LastRequest>,
    /// The last id of an account or an orphan.
    pub(super) last_id: u64,
    /// Number of commands that were applied.
    pub(super) applied: u64,
    /// The revision of the limits, which increases with each change of a definition.
    pub(super) revision: u64,
    /// Derived from `accounts`.
    #[serde(skip)]
    pub(super) by_front: BTreeMap<FrontId, AccountId>,
    /// Derived from `accounts`, `orphans` and `definitions`.
    #[serde(skip)]
    counters: BTreeMap<(Name, Key), Counter>,
    /// Counters that exceed their limit or of which a front lacks units. Derived from `counters`.
    #[serde(skip)]
    contended: BTreeSet<(Name, Key)>,
    #[serde(skip)]
    fault: Option<Fault>,
}

impl Ledger {
    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    pub(crate) fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// Encodes the state.
    pub fn write(&self) -> Vec<u8> {
        // Encoding fails only for sequences of unknown length, and the state has none.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes what [`Ledger::write`] encoded. No bytes at all are an empty ledger.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid encoding.
    pub fn read(bytes: &[u8]) -> Result<Ledger, LedgerError> {
        if bytes.is_empty() {
            return Ok(Ledger::default());
        }
        let mut ledger: Ledger = postcard::from_bytes(bytes).map_err(|e| LedgerError(e.to_string()))?;
        ledger.by_front = ledger.accounts.iter().map(|(id, account)| (account.front, *id)).collect();
        ledger.rebuild_counters();
        Ok(ledger)
    }

    /// Returns the definitions of all limits.
    pub fn definitions(&self) -> impl Iterator<Item = &LimitDefinition> {
        self.definitions.values()
    }

    /// Returns all accounts: the id, the front, the time to live in milliseconds and the number of renewals.
    pub fn accounts(&self) -> impl Iterator<Item = (AccountId, FrontId, u32, u64)> {
        self.accounts.iter().map(|(id, account)| (*id, account.front, account.ttl_ms, account.renewals))
    }

    /// Returns the time to live of an account in milliseconds and its number of renewals. Returns `None` if it does not exist.
    pub fn account(&self, id: AccountId) -> Option<(u32, u64)> {
        self.accounts.get(&id).map(|account| (account.ttl_ms, account.renewals))
    }

    /// Returns all orphans.
    pub fn orphans(&self) -> impl Iterator<Item = (OrphanId, &Orphan)> {
        self.orphans.iter().map(|(id, orphan)| (*id, orphan))
    }

    /// Returns an orphan. Returns `None` if it does not exist.
    pub fn orphan(&self, id: OrphanId) -> Option<&Orphan> {
        self.orphans.get(&id)
    }

    /// Returns the units of a claim that a front's account holds.
    pub fn share(&self, front: FrontId, claim: &Claim) -> u64 {
        self.by_front.get(&front).map_or(0, |id| self.share_of(*id, claim).granted)
    }

    /// Returns the sum of a counter: all shares and all orphans.
    pub fn sum(&self, limit: &Name, key: &Key) -> u64 {
        self.counters.get(&(limit.clone(), key.clone())).map_or(0, |counter| counter.sum)
    }

    /// Computes the sum of a counter from each share and orphan, to verify [`Ledger::sum`].
    pub fn recomputed_sum(&self, limit: &Name, key: &Key) -> u64 {
        let is_counted = |claim: &Claim| claim.limit == *limit && claim.key == *key;
        let shares = self.accounts.values().flat_map(|account| &account.shares);
        let orphans = self.orphans.values().flat_map(|orphan| &orphan.units);
        let granted = shares.filter(|(claim, _)| is_counted(claim)).map(|(_, share)| share.granted);
        let left = orphans.filter(|(claim, _)| is_counted(claim)).map(|(_, units)| units);
        granted.sum::<u64>() + left.sum::<u64>()
    }

    /// Returns the next step by which an orphan ages, milliseconds. Returns `None` if the orphan does not exist.
    ///
    /// The first step lasts until no set-up of the front can be in flight. Later steps are eighths of the time until the next claim
    /// ends, so that a change of leaders loses little.
    pub fn next_age_step_ms(&self, id: OrphanId) -> Option<u64> {
        let orphan = self.orphans.get(&id)?;
        let settle_ms = self.settle_ms(orphan);
        if orphan.age_ms < settle_ms {
            return Some(settle_ms - orphan.age_ms);
        }
        let limits = orphan.units.keys().filter_map(|claim| self.definitions.get(&claim.limit));
        let ends = limits.map(|limit| limit.max_session_ms).filter(|end| *end > orphan.age_ms);
        let next_end = ends.min().unwrap_or(orphan.age_ms + 1);
        let left = next_end - orphan.age_ms;
        Some((left / 8).clamp(MIN_AGE_STEP_MS.min(left), MAX_AGE_STEP_MS.max(left / 64)))
    }

    /// Returns the age from which no set-up of an orphan's front can be in flight, milliseconds.
    fn settle_ms(&self, orphan: &Orphan) -> u64 {
        let of_claim = |claim: &Claim| self.definitions.get(&claim.limit).map(|d| u64::from(d.settle_ms));
        orphan.units.keys().filter_map(of_claim).max().unwrap_or(0)
    }

    /// Returns whether each set-up of the orphan's front has reached its media server or never will.
    pub(super) fn is_settled(&self, orphan: &Orphan) -> bool {
        orphan.age_ms >= self.settle_ms(orphan) || self.has_fault(Fault::SurveyedAtOnce)
    }

    /// Returns whether the counter of a claim exceeds its limit.
    pub(super) fn is_exceeded(&self, claim: &Claim) -> bool {
        let limit = self.definitions.get(&claim.limit).map_or(0, LimitDefinition::units);
        self.sum(&claim.limit, &claim.key) > limit
    }

    /// Returns the claims of an account whose counters are contended.
    pub(super) fn contended_claims(&self, account: AccountId) -> Vec<Claim> {
        let Some(account) = self.accounts.get(&account) else { return Vec::new() };
        let held = |(limit, key): &(Name, Key)| {
            let first = Claim { limit: limit.clone(), key: key.clone(), customer: Key::default() };
            let claims = account.shares.range(first..).map(|(claim, _)| claim);
            let is_counted = |claim: &&Claim| claim.limit == *limit && claim.key == *key;
            claims.take_while(is_counted).cloned().collect::<Vec<_>>()
        };
        self.contended.iter().flat_map(held).collect()
    }

    /// Returns a copy of the counter of a claim.
    pub(super) fn counter(&self, claim: &Claim) -> Counter {
        self.counters.get(&(claim.limit.clone(), claim.key.clone())).cloned().unwrap_or_default()
    }

    pub(super) fn share_of(&self, account: AccountId, claim: &Claim) -> Share {
        let account = self.accounts.get(&account);
        account.and_then(|account| account.shares.get(claim)).copied().unwrap_or_default()
    }

    /// Sets a share and updates the counter. A share without units and demand is removed.
    pub(super) fn set_share(&mut self, account: AccountId, claim: &Claim, share: Share) {
        let Some(account) = self.accounts.get_mut(&account) else { return };
        let before = account.shares.remove(claim).unwrap_or_default();
        if share != Share::default() {
            account.shares.insert(claim.clone(), share);
        }
        self.update_counter(claim, |counter, limit| {
            counter.remove(limit, &claim.customer, before);
            counter.add(limit, &claim.customer, share);
        });
    }

    /// Adds an orphan's units to the counter of a claim, or removes them from it.
    pub(super) fn change_orphan_units(&mut self, claim: &Claim, units: u64, add: bool) {
        self.update_counter(claim, |counter, limit| {
            counter.change_orphan(limit, &claim.customer, units, add)
        });
    }

    fn update_counter(&mut self, claim: &Claim, change: impl FnOnce(&mut Counter, &LimitDefinition)) {
        let Some(limit) = self.definitions.get(&claim.limit) else { return };
        let key = (claim.limit.clone(), claim.key.clone());
        let counter = self.counters.entry(key.clone()).or_default();
        change(counter, limit);
        if counter.is_contended(limit) {
            self.contended.insert(key.clone());
        } else {
            self.contended.remove(&key);
        }
        if counter.is_empty() {
            self.counters.remove(&key);
        }
    }

    /// Removes units from an orphan and from the counter of the claim.
    pub(super) fn remove_orphan_units(&mut self, id: OrphanId, claim: &Claim, units: u64) {
        let Some(orphan) = self.orphans.get_mut(&id) else { return };
        let Some(left) = orphan.units.get_mut(claim) else { return };
        let units = units.min(*left);
        *left -= units;
        if *left == 0 {
            orphan.units.remove(claim);
        }
        self.change_orphan_units(claim, units, false);
    }

    pub(super) fn remove_orphan_if_empty(&mut self, id: OrphanId, events: &mut Vec<Event>) {
        if self.orphans.get(&id).is_some_and(|orphan| orphan.units.is_empty()) {
            self.orphans.remove(&id);
            events.push(Event::Gone(id));
        }
    }

    /// Removes all shares and orphans' units of a limit. The caller rebuilds the counters.
    pub(super) fn remove_units_of(&mut self, name: &Name) {
        for account in self.accounts.values_mut() {
            account.shares.retain(|claim, _| claim.limit != *name);
        }
        for orphan in self.orphans.values_mut() {
            orphan.units.retain(|claim, _| claim.limit != *name);
        }
        self.highest.remove(name);
    }

    /// Computes all counters from the shares and orphans, after a definition has changed or a snapshot was decoded.
    pub(super) fn rebuild_counters(&mut self) {
        let mut counters: BTreeMap<(Name, Key), Counter> = BTreeMap::new();
        for (claim, share) in self.accounts.values().flat_map(|account| &account.shares) {
            if let Some(limit) = self.definitions.get(&claim.limit) {
                let counter = counters.entry((claim.limit.clone(), claim.key.clone())).or_default();
                counter.add(limit, &claim.customer, *share);
            }
        }
        for (claim, units) in self.orphans.values().flat_map(|orphan| &orphan.units) {
            if let Some(limit) = self.definitions.get(&claim.limit) {
                let counter = counters.entry((claim.limit.clone(), claim.key.clone())).or_default();
                counter.change_orphan(limit, &claim.customer, *units, true);
            }
        }
        counters.retain(|_, counter| !counter.is_empty());
        let is_contended = |((name, _), counter): &(&(Name, Key), &Counter)| {
            self.definitions.get(name).is_some_and(|limit| counter.is_contended(limit))
        };
        self.contended = counters.iter().filter(is_contended).map(|(key, _)| key.clone()).collect();
        self.counters = counters;
    }
}
