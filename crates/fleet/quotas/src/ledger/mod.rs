//! The ledger of all hard limits, which consensus replicates. It reads no clock: the log carries the passage of time as commands.

mod state;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use beechloft_leases::Name;

use crate::counter::Share;
use crate::definition::{LimitDefinition, MAX_LIMITS};
use crate::fault_injection::Fault;
use crate::message::{
    AccountId, Answer, Claim, Command, Event, FrontId, MAX_REPORTS, Op, OrphanId, Rejection, Request,
    ShareGrant, ShareReport,
};

use state::{Account, LastRequest};
pub use state::{Ledger, LedgerError, Orphan};

/// Maximum number of accounts.
const MAX_ACCOUNTS: usize = 8192;
/// Maximum number of shares of one account.
const MAX_SHARES: usize = 4096;
/// Maximum number of fronts whose last answer is kept, so that a retransmission is not applied twice.
const MAX_LAST_REQUESTS: usize = 8192;
/// Valid times to live of an account, milliseconds.
const TTL_MS: RangeInclusive<u32> = 100..=3_600_000;

impl Ledger {
    /// Applies a command. Returns the answer to a request, and the changes.
    pub fn apply(&mut self, command: &Command) -> (Option<Answer>, Vec<Event>) {
        self.applied += 1;
        let mut events = Vec::new();
        let mut answer = None;
        match command {
            Command::Request(request) => answer = Some(self.apply_request(request, &mut events)),
            Command::Expire { account, renewals } => {
                // An account that was renewed after the proposal does not expire.
                if self.accounts.get(account).is_some_and(|a| a.renewals == *renewals) {
                    self.end_account(*account, None, &mut events);
                }
            }
            Command::Age { orphan, from_ms, by_ms } => {
                self.age_orphan(*orphan, *from_ms, *by_ms, &mut events);
            }
            Command::Define(definition) => self.define(definition, &mut events),
            Command::Undefine(name, version) => self.undefine(name, *version, &mut events),
        }
        (answer, events)
    }

    fn apply_request(&mut self, request: &Request, events: &mut Vec<Event>) -> Answer {
        if let Some(last) = self.last_requests.get(&request.front) {
            if request.seq == last.seq {
                return last.answer.clone();
            }
            if request.seq < last.seq && !self.has_fault(Fault::StaleRequestApplied) {
                return Answer::Rejected(Rejection::Superseded);
            }
        }
        let answer = self.apply_op(request.front, &request.op, events).unwrap_or_else(Answer::Rejected);
        self.record_answer(request, &answer);
        answer
    }

    /// Keeps the last answer of a front. If there are too many, the least recent one of a front without account is removed.
    fn record_answer(&mut self, request: &Request, answer: &Answer) {
        if self.last_requests.len() >= MAX_LAST_REQUESTS && !self.last_requests.contains_key(&request.front) {
            let without_account =
                self.last_requests.iter().filter(|(front, _)| !self.by_front.contains_key(front));
            let oldest = without_account.min_by_key(|(_, last)| last.applied).map(|(front, _)| *front);
            if let Some(oldest) = oldest {
                self.last_requests.remove(&oldest);
            }
        }
        let last = LastRequest { seq: request.seq, answer: answer.clone(), applied: self.applied };
        self.last_requests.insert(request.front, last);
    }

    fn apply_op(&mut self, front: FrontId, op: &Op, events: &mut Vec<Event>) -> Result<Answer, Rejection> {
        match op {
            Op::Open { ttl_ms, tagged } => self.open_account(front, *ttl_ms, *tagged, events),
            Op::Report { account, reports } => {
                self.check_owner(front, *account)?;
                self.apply_reports(*account, reports, events)
            }
            Op::Close { account, remaining } => {
                self.check_owner(front, *account)?;
                self.end_account(*account, Some(remaining.iter().cloned().collect()), events);
                Ok(Answer::Closed)
            }
            Op::Adopt { account, orphan, units } => {
                self.check_owner(front, *account)?;
                self.renew(*account, events);
                self.adopt(*account, *orphan, units, events)
            }
            Op::ReportSurvey { orphan, remaining } => self.apply_survey(*orphan, remaining, events),
            Op::ListLimits { account } => {
                self.check_owner(front, *account)?;
                self.renew(*account, events);
                Ok(Answer::Limits(self.definitions.values().cloned().collect(), self.revision))
            }
            Op::DeclareLimit { account, definition } => {
                self.check_owner(front, *account)?;
                self.renew(*account, events);
                // Version 0: any definition in the topic replaces one from the settings.
                self.define(&LimitDefinition { version: 0, ..definition.clone() }, events);
                Ok(Answer::Declared)
            }
            Op::ListOrphans => {
                let settled =
                    self.orphans.iter().filter(|(_, orphan)| orphan.tagged && self.is_settled(orphan));
                let listed = settled.take(MAX_REPORTS).map(|(id, orphan)| (*id, orphan.front));
                Ok(Answer::Orphans(listed.collect()))
            }
        }
    }

    /// Returns an error unless the account exists and belongs to the front.
    fn check_owner(&self, front: FrontId, account: AccountId) -> Result<(), Rejection> {
        let is_owner = self.accounts.get(&account).is_some_and(|a| a.front == front);
        if is_owner { Ok(()) } else { Err(Rejection::NoAccount) }
    }

    fn renew(&mut self, id: AccountId, events: &mut Vec<Event>) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.renewals += 1;
            events.push(Event::Renewed(id));
        }
    }

    fn apply_reports(
        &mut self,
        account: AccountId,
        reports: &[ShareReport],
        events: &mut Vec<Event>,
    ) -> Result<Answer, Rejection> {
        if reports.len() > MAX_REPORTS {
            return Err(Rejection::TooManyEntries);
        }
        self.renew(account, events);
        let mut grants: Vec<ShareGrant> =
            reports.iter().map(|report| self.apply_report(account, report)).collect();
        // Each renewal also tells the front about contended claims that it does not report. A lowered limit is in force after one
        // time to live because of this: an account lives longer only if its front knows of the new value.
        let contended = self.contended_claims(account);
        let unreported =
            contended.iter().filter(|claim| reports.iter().all(|report| report.claim != **claim));
        grants.extend(unreported.filter_map(|claim| self.pending_recall(account, claim)));
        Ok(Answer::Reported(grants, self.revision))
    }

    fn open_account(
        &mut self,
        front: FrontId,
        ttl_ms: u32,
        tagged: bool,
        events: &mut Vec<Event>,
    ) -> Result<Answer, Rejection> {
        if !TTL_MS.contains(&ttl_ms) {
            return Err(Rejection::TtlOutOfRange);
        }
        let previous = self.by_front.get(&front).copied();
        if previous.is_none() && self.accounts.len() >= MAX_ACCOUNTS {
            return Err(Rejection::TooManyEntries);
        }
        self.last_id += 1;
        let id = AccountId(self.last_id);
        let mut shares = BTreeMap::new();
        // The front has an account but opens another: its time ran out by its own clock, or an answer was lost.
        if let Some(previous) = previous
            && let Some(account) = self.accounts.remove(&previous)
        {
            shares = account.shares;
            events.push(Event::Ended(previous, front, None));
        }
        self.accounts.insert(id, Account { front, ttl_ms, tagged, renewals: 0, shares });
        self.by_front.insert(front, id);
        self.return_orphans(front, id, events);
        events.push(Event::Renewed(id));
        let returned = self.accounts.get(&id).into_iter().flat_map(|account| &account.shares);
        let grants = returned.map(|(claim, share)| self.grant_without_recall(claim, *share));
        Ok(Answer::Opened(id, grants.collect()))
    }

    /// Moves the orphans that the same process left to its new account. The front gives back later what it does not use.
    fn return_orphans(&mut self, front: FrontId, account: AccountId, events: &mut Vec<Event>) {
        let own = self.orphans.iter().filter(|(_, orphan)| orphan.front == front);
        let own: Vec<OrphanId> = own.map(|(id, _)| *id).collect();
        for id in own {
            let left = self.orphans.remove(&id).map(|orphan| orphan.units).unwrap_or_default();
            for (claim, units) in left {
                self.change_orphan_units(&claim, units, false);
                let mut share = self.share_of(account, &claim);
                share.add_used(units);
                self.set_share(account, &claim, share);
            }
            events.push(Event::Returned(id, account));
        }
    }

    fn grant_without_recall(&self, claim: &Claim, share: Share) -> ShareGrant {
        ShareGrant { claim: claim.clone(), share: share.granted, recall: 0, closed: self.is_exceeded(claim) }
    }

    /// Returns what a front must learn about a share that it does not report. Returns `None` if nothing is recalled and the share is
    /// not closed.
    fn pending_recall(&self, account: AccountId, claim: &Claim) -> Option<ShareGrant> {
        let limit = self.definitions.get(&claim.limit)?;
        let own = self.share_of(account, claim);
        let mut counter = self.counter(claim);
        counter.remove(limit, &claim.customer, own);
        let allocation = counter.allocate(limit, &claim.customer, own, self.max_sum(limit), true);
        let is_due = allocation.recall > 0 || allocation.closed;
        is_due.then(|| ShareGrant {
            claim: claim.clone(),
            share: own.granted,
            recall: allocation.recall,
            closed: allocation.closed,
        })
    }

    /// Returns the maximum sum of a counter, in units.
    fn max_sum(&self, limit: &LimitDefinition) -> u64 {
        let highest =
            self.has_fault(Fault::LoweredLimitLent).then(|| self.highest.get(&limit.name)).flatten();
        highest.copied().unwrap_or(0).max(limit.units())
    }

    /// Applies a front's report of one share and allocates units to it.
    fn apply_report(&mut self, account: AccountId, report: &ShareReport) -> ShareGrant {
        let claim = &report.claim;
        let nothing = ShareGrant { claim: claim.clone(), share: 0, recall: 0, closed: true };
        let Some(limit) = self.definitions.get(&claim.limit).filter(|d| d.is_hard()).cloned() else {
            return nothing;
        };
        let is_new = self.accounts.get(&account).is_none_or(|a| !a.shares.contains_key(claim));
        if is_new && self.accounts.get(&account).is_some_and(|a| a.shares.len() >= MAX_SHARES) {
            return nothing;
        }
        // The front never holds more than was granted, whatever it reports.
        let granted = self.share_of(account, claim).granted.min(report.share);
        let used = report.used.min(limit.units());
        let demand = report.demand.clamp(used, limit.units().max(used));
        let mut own = Share { granted, used, demand };
        self.set_share(account, claim, Share::default());
        let min_shares_reserved = !self.has_fault(Fault::MinSharesNotReserved);
        let max_sum = self.max_sum(&limit);
        let allocation =
            self.counter(claim).allocate(&limit, &claim.customer, own, max_sum, min_shares_reserved);
        own.granted += allocation.grant;
        if self.has_fault(Fault::RecallCountedAtOnce) {
            own.granted -= allocation.recall.min(own.granted);
        }
        self.set_share(account, claim, own);
        ShareGrant {
            claim: claim.clone(),
            share: own.granted,
            recall: allocation.recall,
            closed: allocation.closed,
        }
    }

    /// Ends an account. `remaining` are the units that its front reported on closing; `None` if the account has expired. Units of
    /// concurrent limits become an orphan. Shares of rates are free, because nothing of a rate outlives its front.
    fn end_account(
        &mut self,
        id: AccountId,
        remaining: Option<BTreeMap<Claim, u64>>,
        events: &mut Vec<Event>,
    ) {
        let Some(account) = self.accounts.get(&id) else { return };
        let (front, tagged) = (account.front, account.tagged);
        let claims: Vec<Claim> = account.shares.keys().cloned().collect();
        let mut units = BTreeMap::new();
        for claim in claims {
            let share = self.share_of(id, &claim);
            self.set_share(id, &claim, Share::default());
            let left = self.units_left(&claim, share, remaining.as_ref());
            if left > 0 {
                self.change_orphan_units(&claim, left, true);
                units.insert(claim, left);
            }
        }
        self.accounts.remove(&id);
        self.by_front.remove(&front);
        let orphan = (!units.is_empty()).then(|| {
            self.last_id += 1;
            let orphan = OrphanId(self.last_id);
            self.orphans.insert(orphan, Orphan { front, units, tagged, age_ms: 0 });
            orphan
        });
        events.push(Event::Ended(id, front, orphan));
    }

    /// Returns the units of a share that still count after its account has ended.
    fn units_left(&self, claim: &Claim, share: Share, remaining: Option<&BTreeMap<Claim, u64>>) -> u64 {
        let is_concurrent = self.definitions.get(&claim.limit).is_some_and(|d| !d.resource.is_rate());
        if !is_concurrent || self.has_fault(Fault::OrphanFreedAtOnce) {
            return 0;
        }
        if self.has_fault(Fault::OrphanCountsLastReport) {
            return share.used.min(share.granted);
        }
        match remaining {
            Some(remaining) => remaining.get(claim).copied().unwrap_or(0).min(share.granted),
            // The whole share: the front may have admitted up to it since its last report.
            None => share.granted,
        }
    }

    fn adopt(
        &mut self,
        account: AccountId,
        orphan: OrphanId,
        units: &[(Claim, u64)],
        events: &mut Vec<Event>,
    ) -> Result<Answer, Rejection> {
        if units.len() > MAX_REPORTS {
            return Err(Rejection::TooManyEntries);
        }
        let mut grants = Vec::new();
        for (claim, requested) in units {
            let left = &self.orphans.get(&orphan).ok_or(Rejection::NoOrphan)?.units;
            let moved = left.get(claim).copied().unwrap_or(0).min(*requested);
            self.remove_orphan_units(orphan, claim, moved);
            let mut share = self.share_of(account, claim);
            share.add_used(moved);
            self.set_share(account, claim, share);
            grants.push(self.grant_without_recall(claim, share));
        }
        self.remove_orphan_if_empty(orphan, events);
        Ok(Answer::Adopted(grants))
    }

    /// Frees the units of an orphan that a survey of all media servers did not find.
    fn apply_survey(
        &mut self,
        id: OrphanId,
        remaining: &[(Claim, u64)],
        events: &mut Vec<Event>,
    ) -> Result<Answer, Rejection> {
        let orphan = self.orphans.get(&id).ok_or(Rejection::NoOrphan)?;
        // Before that age set-ups may have been in flight during the survey.
        if !orphan.tagged || !self.is_settled(orphan) {
            return Err(Rejection::NoOrphan);
        }
        let remaining: BTreeMap<&Claim, u64> = remaining.iter().map(|(claim, n)| (claim, *n)).collect();
        let ended = |(claim, units): (&Claim, &u64)| {
            (claim.clone(), units.saturating_sub(remaining.get(claim).copied().unwrap_or(0)))
        };
        let ended: Vec<(Claim, u64)> = orphan.units.iter().map(ended).collect();
        for (claim, units) in ended {
            self.remove_orphan_units(id, &claim, units);
        }
        self.remove_orphan_if_empty(id, events);
        Ok(Answer::SurveyApplied)
    }

    /// Adds to the age of an orphan, and frees units whose sessions have reached their maximum duration.
    fn age_orphan(&mut self, id: OrphanId, from_ms: u64, by_ms: u64, events: &mut Vec<Event>) {
        let Some(orphan) = self.orphans.get_mut(&id).filter(|orphan| orphan.age_ms == from_ms) else {
            return;
        };
        orphan.age_ms = orphan.age_ms.saturating_add(by_ms);
        events.push(Event::Aged(id));
        let age_ms = orphan.age_ms;
        let has_ended =
            |claim: &Claim| self.definitions.get(&claim.limit).is_none_or(|d| age_ms >= d.max_session_ms);
        let ended = orphan.units.iter().filter(|(claim, _)| has_ended(claim));
        let ended: Vec<(Claim, u64)> = ended.map(|(claim, units)| (claim.clone(), *units)).collect();
        for (claim, units) in ended {
            self.remove_orphan_units(id, &claim, units);
        }
        self.remove_orphan_if_empty(id, events);
    }

    fn define(&mut self, definition: &LimitDefinition, events: &mut Vec<Event>) {
        let name = &definition.name;
        let known = self.definitions.get(name);
        let known_version = known.map(|d| d.version).or_else(|| self.removed.get(name).copied());
        let is_outdated = known_version.is_some_and(|version| version >= definition.version);
        let is_too_many = known.is_none() && self.definitions.len() + self.removed.len() >= MAX_LIMITS;
        if is_too_many || is_outdated || !definition.validate().is_empty() {
            return;
        }
        // Units that were counted by another rule can't continue as shares of this definition.
        let same_counting = |d: &LimitDefinition| {
            (d.resource, d.scope, d.is_hard())
                == (definition.resource, definition.scope, definition.is_hard())
        };
        if !known.is_some_and(same_counting) {
            self.remove_units_of(name);
        }
        self.removed.remove(name);
        let highest = self.highest.entry(name.clone()).or_default();
        *highest = (*highest).max(definition.units());
        self.definitions.insert(name.clone(), definition.clone());
        self.rebuild_counters();
        self.revision += 1;
        events.push(Event::Defined(name.clone()));
    }

    fn undefine(&mut self, name: &Name, version: u64, events: &mut Vec<Event>) {
        if self.definitions.get(name).is_some_and(|d| d.version < version) {
            self.remove_units_of(name);
            self.definitions.remove(name);
            self.removed.insert(name.clone(), version);
            self.rebuild_counters();
            self.revision += 1;
            events.push(Event::Undefined(name.clone()));
        }
    }
}
