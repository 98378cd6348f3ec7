//! The ledger's state, its sums, and how it is written.

use std::collections::{BTreeMap, BTreeSet};

use beechloft_leases::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::definition::LimitDefinition;
use crate::fault_injection::Fault;
use crate::message::{AccountId, Answer, Claim, Event, FrontId, Key, OrphanId};
use crate::tally::{Share, Tally};

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Account {
    pub(super) front: FrontId,
    pub(super) ttl_ms: u32,
    pub(super) tagged: bool,
    pub(super) renewals: u64,
    pub(super) shares: BTreeMap<Claim, Share>,
}

/// What a front left that is over: it counts until it is proved to be over too.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Orphan {
    /// Whose it was.
    pub front: FrontId,
    /// How much of what.
    pub units: BTreeMap<Claim, u64>,
    /// Boxes can say what is left of it.
    pub tagged: bool,
    /// True time that has passed at least since its account ended, as leaders have counted, milliseconds.
    pub aged_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Last {
    pub(super) seq: u64,
    pub(super) answer: Answer,
    /// Which command of all this was.
    pub(super) done: u64,
}

/// A snapshot that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a ledger of limits that can't be read: {0}")]
pub struct LedgerError(String);

/// The ledger of all hard limits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Ledger {
    pub(super) definitions: BTreeMap<Name, LimitDefinition>,
    /// Limits that are no more, and as of which version, so that an older word does not bring them back.
    pub(super) undefined: BTreeMap<Name, u64>,
    /// The most that each limit was.
    pub(super) highest: BTreeMap<Name, u64>,
    pub(super) accounts: BTreeMap<AccountId, Account>,
    pub(super) orphans: BTreeMap<OrphanId, Orphan>,
    pub(super) last: BTreeMap<FrontId, Last>,
    pub(super) next: u64,
    pub(super) done: u64,
    /// Rises with each change of a limit.
    pub(super) revision: u64,
    /// Follows from accounts.
    #[serde(skip)]
    pub(super) by_front: BTreeMap<FrontId, AccountId>,
    /// Follows from accounts, orphans and definitions.
    #[serde(skip)]
    tallies: BTreeMap<(Name, Key), Tally>,
    /// Counters that are over their limit, or of which somebody lacks some. Follows from the sums.
    #[serde(skip)]
    pressed: BTreeSet<(Name, Key)>,
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

    /// The state as bytes.
    pub fn write(&self) -> Vec<u8> {
        // Only a value that has no length beforehand could fail, and this has none such.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Reads what [`Ledger::write`] wrote; nothing at all is an empty ledger.
    ///
    /// # Errors
    /// It is none.
    pub fn read(bytes: &[u8]) -> Result<Ledger, LedgerError> {
        if bytes.is_empty() {
            return Ok(Ledger::default());
        }
        let mut ledger: Ledger = postcard::from_bytes(bytes).map_err(|e| LedgerError(e.to_string()))?;
        ledger.by_front = ledger.accounts.iter().map(|(id, a)| (a.front, *id)).collect();
        ledger.recount();
        Ok(ledger)
    }

    /// All limits.
    pub fn definitions(&self) -> impl Iterator<Item = &LimitDefinition> {
        self.definitions.values()
    }

    /// All accounts: which, whose, for how long each time, how often renewed.
    pub fn accounts(&self) -> impl Iterator<Item = (AccountId, FrontId, u32, u64)> {
        self.accounts.iter().map(|(id, a)| (*id, a.front, a.ttl_ms, a.renewals))
    }

    /// For how long an account runs each time, milliseconds, and how often it was renewed.
    pub fn account(&self, id: AccountId) -> Option<(u32, u64)> {
        self.accounts.get(&id).map(|a| (a.ttl_ms, a.renewals))
    }

    /// All that lost fronts left.
    pub fn orphans(&self) -> impl Iterator<Item = (OrphanId, &Orphan)> {
        self.orphans.iter().map(|(id, o)| (*id, o))
    }

    /// One of them.
    pub fn orphan(&self, id: OrphanId) -> Option<&Orphan> {
        self.orphans.get(&id)
    }

    /// What a front's account holds of a claim.
    pub fn share(&self, front: FrontId, claim: &Claim) -> u64 {
        self.by_front.get(&front).map_or(0, |id| self.share_of(*id, claim).share)
    }

    /// The sum of a counter: all shares and all that lost fronts left.
    pub fn sum(&self, limit: &Name, key: &Key) -> u64 {
        self.tallies.get(&(limit.clone(), key.clone())).map_or(0, |t| t.sum)
    }

    /// The sum anew, from every share and orphan: for checks of the sums that are kept.
    pub fn sum_anew(&self, limit: &Name, key: &Key) -> u64 {
        let of = |c: &Claim| c.limit == *limit && c.key == *key;
        let shares = self.accounts.values().flat_map(|a| &a.shares).filter(|(c, _)| of(c));
        let orphans = self.orphans.values().flat_map(|o| &o.units).filter(|(c, _)| of(c));
        shares.map(|(_, s)| s.share).sum::<u64>() + orphans.map(|(_, n)| n).sum::<u64>()
    }

    /// When an orphan is next to be told that it is older: at first when its set-ups have all come through, then in eighths of
    /// what is left, so that a change of leaders loses little.
    pub fn next_age(&self, id: OrphanId) -> Option<u64> {
        let orphan = self.orphans.get(&id)?;
        let settle = self.settles_at(orphan);
        if orphan.aged_ms < settle {
            return Some(settle - orphan.aged_ms);
        }
        let ends = orphan.units.keys().filter_map(|c| self.definitions.get(&c.limit)).map(|d| d.longest_ms);
        let first = ends.filter(|end| *end > orphan.aged_ms).min().unwrap_or(orphan.aged_ms + 1);
        let left = first - orphan.aged_ms;
        Some((left / 8).clamp(1_000.min(left), 60_000.max(left / 64)))
    }

    fn settles_at(&self, orphan: &Orphan) -> u64 {
        let of = |c: &Claim| self.definitions.get(&c.limit).map(|d| u64::from(d.settle_ms));
        orphan.units.keys().filter_map(of).max().unwrap_or(0)
    }

    /// Whether whatever its front had sent has come to its box or never will.
    pub(super) fn is_settled(&self, orphan: &Orphan) -> bool {
        orphan.aged_ms >= self.settles_at(orphan) || self.has_fault(Fault::SurveyedAtOnce)
    }

    pub(super) fn is_over(&self, claim: &Claim) -> bool {
        let limit = self.definitions.get(&claim.limit).map_or(0, LimitDefinition::units);
        self.sum(&claim.limit, &claim.key) > limit
    }

    /// What an account holds of counters that are over or lacked.
    pub(super) fn pressed_claims(&self, account: AccountId) -> Vec<Claim> {
        let Some(a) = self.accounts.get(&account) else { return Vec::new() };
        let held = |(limit, key): &(Name, Key)| {
            let first = Claim { limit: limit.clone(), key: key.clone(), customer: Key::default() };
            let same = |c: &&Claim| c.limit == first.limit && c.key == first.key;
            a.shares.range(first.clone()..).map(|(c, _)| c).take_while(same).cloned().collect::<Vec<_>>()
        };
        self.pressed.iter().flat_map(held).collect()
    }

    pub(super) fn tally(&self, claim: &Claim) -> Tally {
        self.tallies.get(&(claim.limit.clone(), claim.key.clone())).cloned().unwrap_or_default()
    }

    pub(super) fn share_of(&self, account: AccountId, claim: &Claim) -> Share {
        self.accounts.get(&account).and_then(|a| a.shares.get(claim)).copied().unwrap_or_default()
    }

    pub(super) fn set_share(&mut self, account: AccountId, claim: &Claim, share: Share) {
        let Some(a) = self.accounts.get_mut(&account) else { return };
        let before = a.shares.remove(claim).unwrap_or_default();
        if share != Share::default() {
            a.shares.insert(claim.clone(), share);
        }
        self.with_tally(claim, |tally, of| {
            tally.take(of, &claim.customer, before);
            tally.add(of, &claim.customer, share);
        });
    }

    pub(super) fn count_orphan(&mut self, claim: &Claim, units: u64, up: bool) {
        self.with_tally(claim, |tally, of| tally.orphan(of, &claim.customer, units, up));
    }

    fn with_tally(&mut self, claim: &Claim, change: impl FnOnce(&mut Tally, &LimitDefinition)) {
        let Some(of) = self.definitions.get(&claim.limit) else { return };
        let key = (claim.limit.clone(), claim.key.clone());
        let tally = self.tallies.entry(key.clone()).or_default();
        change(tally, of);
        if tally.is_pressed(of) {
            self.pressed.insert(key.clone());
        } else {
            self.pressed.remove(&key);
        }
        if tally.is_empty() {
            self.tallies.remove(&key);
        }
    }

    /// So many units of an orphan are no more its.
    pub(super) fn lessen(&mut self, id: OrphanId, claim: &Claim, units: u64) {
        let Some(orphan) = self.orphans.get_mut(&id) else { return };
        let Some(left) = orphan.units.get_mut(claim) else { return };
        let units = units.min(*left);
        *left -= units;
        if *left == 0 {
            orphan.units.remove(claim);
        }
        self.count_orphan(claim, units, false);
    }

    pub(super) fn forget_if_empty(&mut self, id: OrphanId, events: &mut Vec<Event>) {
        if self.orphans.get(&id).is_some_and(|o| o.units.is_empty()) {
            self.orphans.remove(&id);
            events.push(Event::Gone(id));
        }
    }

    /// Forgets all shares and orphans of a limit.
    pub(super) fn drop_limit(&mut self, name: &Name) {
        self.accounts.values_mut().for_each(|a| a.shares.retain(|c, _| c.limit != *name));
        self.orphans.values_mut().for_each(|o| o.units.retain(|c, _| c.limit != *name));
        self.highest.remove(name);
    }

    /// All sums anew: a definition has changed, or a snapshot was read.
    pub(super) fn recount(&mut self) {
        let mut tallies: BTreeMap<(Name, Key), Tally> = BTreeMap::new();
        let shares = self.accounts.values().flat_map(|a| &a.shares);
        for (claim, share) in shares {
            if let Some(of) = self.definitions.get(&claim.limit) {
                let tally = tallies.entry((claim.limit.clone(), claim.key.clone())).or_default();
                tally.add(of, &claim.customer, *share);
            }
        }
        for (claim, units) in self.orphans.values().flat_map(|o| &o.units) {
            if let Some(of) = self.definitions.get(&claim.limit) {
                let tally = tallies.entry((claim.limit.clone(), claim.key.clone())).or_default();
                tally.orphan(of, &claim.customer, *units, true);
            }
        }
        tallies.retain(|_, t| !t.is_empty());
        let pressed = |((limit, _), t): &(&(Name, Key), &Tally)| {
            self.definitions.get(limit).is_some_and(|of| t.is_pressed(of))
        };
        self.pressed = tallies.iter().filter(pressed).map(|(key, _)| key.clone()).collect();
        self.tallies = tallies;
    }
}
