//! Who holds how much of what: the state that consensus replicates. It knows no time; what ran out is told to it by the log.

mod state;

use std::collections::BTreeMap;

use beechloft_leases::Name;

use crate::definition::{LimitDefinition, MAX_LIMITS};
use crate::fault_injection::Fault;
use crate::message::{
    AccountId, Answer, Claim, Command, Event, FrontId, MAX_REPORTS, Op, OrphanId, Rejection, Request,
    ShareGrant, ShareReport,
};
use crate::tally::Share;

use state::{Account, Last};
pub use state::{Ledger, LedgerError, Orphan};

/// Accounts at most.
const MAX_ACCOUNTS: usize = 8192;
/// Shares of one account.
const MAX_SHARES: usize = 4096;
/// Fronts whose last answer is kept, so that a request sent again is not done twice.
const MAX_LAST_ANSWERS: usize = 8192;
/// The shortest and the longest time of an account, milliseconds.
const TTL_MS: std::ops::RangeInclusive<u32> = 100..=3_600_000;

impl Ledger {
    /// Does a command; what became of it, for who asked, and what has changed.
    pub fn apply(&mut self, command: &Command) -> (Option<Answer>, Vec<Event>) {
        self.done += 1;
        let mut events = Vec::new();
        let answer = match command {
            Command::Request(request) => Some(self.request(request, &mut events)),
            Command::Expire { account, renewals } => {
                // Renewed between the leader's word and this: it goes on.
                if self.accounts.get(account).is_some_and(|a| a.renewals == *renewals) {
                    self.end(*account, None, &mut events);
                }
                None
            }
            Command::Age { orphan, from_ms, by_ms } => {
                self.age(*orphan, *from_ms, *by_ms, &mut events);
                None
            }
            Command::Define(definition) => {
                self.define(definition, &mut events);
                None
            }
            Command::Undefine(name, version) => {
                self.undefine(name, *version, &mut events);
                None
            }
        };
        (answer, events)
    }

    fn request(&mut self, request: &Request, events: &mut Vec<Event>) -> Answer {
        if let Some(last) = self.last.get(&request.front) {
            if request.seq == last.seq {
                return last.answer.clone();
            }
            if request.seq < last.seq && !self.has_fault(Fault::StaleRequestApplied) {
                return Answer::Rejected(Rejection::Superseded);
            }
        }
        let answer = self.operate(request.front, &request.op, events).unwrap_or_else(Answer::Rejected);
        self.remember(request, &answer);
        answer
    }

    /// Keeps the last answer of a front. Past the bound the one that was heard of least lately goes, if it has no account.
    fn remember(&mut self, request: &Request, answer: &Answer) {
        if self.last.len() >= MAX_LAST_ANSWERS && !self.last.contains_key(&request.front) {
            let idle = self.last.iter().filter(|(front, _)| !self.by_front.contains_key(front));
            if let Some(oldest) = idle.min_by_key(|(_, l)| l.done).map(|(front, _)| *front) {
                self.last.remove(&oldest);
            }
        }
        let last = Last { seq: request.seq, answer: answer.clone(), done: self.done };
        self.last.insert(request.front, last);
    }

    fn operate(&mut self, front: FrontId, op: &Op, events: &mut Vec<Event>) -> Result<Answer, Rejection> {
        match op {
            Op::Open { ttl_ms, tagged } => self.open(front, *ttl_ms, *tagged, events),
            Op::Settle { account, lines } => {
                self.own(front, *account)?;
                if lines.len() > MAX_REPORTS {
                    return Err(Rejection::TooManyEntries);
                }
                self.renew(*account, events);
                let mut told: Vec<ShareGrant> =
                    lines.iter().map(|said| self.settle(*account, said)).collect();
                // A front that has its account for longer must have heard what is over, whether it says anything of it or not:
                // a lowered limit is in force an account's time after it was lowered because of this.
                let unsaid =
                    self.pressed_claims(*account).into_iter().filter(|c| lines.iter().all(|l| l.claim != *c));
                told.extend(unsaid.collect::<Vec<_>>().iter().filter_map(|claim| self.tell(*account, claim)));
                Ok(Answer::Settled(told, self.revision))
            }
            Op::Close { account, left } => {
                self.own(front, *account)?;
                self.end(*account, Some(left.iter().cloned().collect()), events);
                Ok(Answer::Closed)
            }
            Op::Adopt { account, orphan, taken } => {
                self.own(front, *account)?;
                self.renew(*account, events);
                self.adopt(*account, *orphan, taken, events)
            }
            Op::Counted { orphan, left } => self.counted(*orphan, left, events),
            Op::Limits { account } => {
                self.own(front, *account)?;
                self.renew(*account, events);
                Ok(Answer::Limits(self.definitions.values().cloned().collect(), self.revision))
            }
            Op::Declare { account, definition } => {
                self.own(front, *account)?;
                self.renew(*account, events);
                // What settings say stands only until the topic says something else.
                self.define(&LimitDefinition { version: 0, ..definition.clone() }, events);
                Ok(Answer::Declared)
            }
            Op::Orphans => {
                let settled = self.orphans.iter().filter(|(_, o)| o.tagged && self.is_settled(o));
                Ok(Answer::Orphans(settled.take(MAX_REPORTS).map(|(id, o)| (*id, o.front)).collect()))
            }
        }
    }

    fn own(&self, front: FrontId, account: AccountId) -> Result<(), Rejection> {
        let own = self.accounts.get(&account).is_some_and(|a| a.front == front);
        if own { Ok(()) } else { Err(Rejection::NoAccount) }
    }

    fn renew(&mut self, account: AccountId, events: &mut Vec<Event>) {
        if let Some(a) = self.accounts.get_mut(&account) {
            a.renewals += 1;
            events.push(Event::Renewed(account));
        }
    }

    fn open(
        &mut self,
        front: FrontId,
        ttl_ms: u32,
        tagged: bool,
        events: &mut Vec<Event>,
    ) -> Result<Answer, Rejection> {
        if !TTL_MS.contains(&ttl_ms) {
            return Err(Rejection::TtlOutOfRange);
        }
        let before = self.by_front.get(&front).copied();
        if before.is_none() && self.accounts.len() >= MAX_ACCOUNTS {
            return Err(Rejection::TooManyEntries);
        }
        self.next += 1;
        let id = AccountId(self.next);
        let mut shares = BTreeMap::new();
        // It had an account, and asks anew as its time ran out by its own clock or an answer was lost.
        if let Some(old) = before
            && let Some(account) = self.accounts.remove(&old)
        {
            shares = account.shares;
            events.push(Event::Ended(old, front, None));
        }
        self.accounts.insert(id, Account { front, ttl_ms, tagged, renewals: 0, shares });
        self.by_front.insert(front, id);
        // The same life is back. What it had left is its own again; what it does not use it will give back.
        let own: Vec<OrphanId> =
            self.orphans.iter().filter(|(_, o)| o.front == front).map(|o| *o.0).collect();
        for orphan in own {
            for (claim, units) in self.orphans.remove(&orphan).map(|o| o.units).unwrap_or_default() {
                self.count_orphan(&claim, units, false);
                let mut share = self.share_of(id, &claim);
                (share.share, share.used, share.want) =
                    (share.share + units, share.used + units, share.want + units);
                self.set_share(id, &claim, share);
            }
            events.push(Event::Returned(orphan, id));
        }
        events.push(Event::Renewed(id));
        let held = self.accounts.get(&id).into_iter().flat_map(|account| &account.shares);
        let told = |(claim, s): (&Claim, &Share)| ShareGrant {
            claim: claim.clone(),
            share: s.share,
            recall: 0,
            closed: self.is_over(claim),
        };
        Ok(Answer::Opened(id, held.map(told).collect()))
    }

    /// What a front is to hear of a share of which it says nothing.
    fn tell(&self, account: AccountId, claim: &Claim) -> Option<ShareGrant> {
        let definition = self.definitions.get(&claim.limit)?;
        let own = self.share_of(account, claim);
        let mut tally = self.tally(claim);
        tally.take(definition, &claim.customer, own);
        let turn = tally.turn(definition, &claim.customer, own, self.limit(definition), false);
        let idle = turn.recall == 0 && !turn.closed;
        (!idle).then(|| ShareGrant {
            claim: claim.clone(),
            share: own.share,
            recall: turn.recall,
            closed: turn.closed,
        })
    }

    fn limit(&self, of: &LimitDefinition) -> u64 {
        let before = self.has_fault(Fault::LoweredLimitLent).then(|| self.highest.get(&of.name)).flatten();
        before.copied().unwrap_or(0).max(of.units())
    }

    /// Does what a front says of one share.
    fn settle(&mut self, account: AccountId, said: &ShareReport) -> ShareGrant {
        let claim = &said.claim;
        let none = ShareGrant { claim: claim.clone(), share: 0, recall: 0, closed: true };
        let Some(definition) = self.definitions.get(&claim.limit).filter(|d| d.is_hard()).cloned() else {
            return none;
        };
        let is_new = self.accounts.get(&account).is_none_or(|a| !a.shares.contains_key(claim));
        if is_new && self.accounts.get(&account).is_some_and(|a| a.shares.len() >= MAX_SHARES) {
            return none;
        }
        let before = self.share_of(account, claim);
        // It says what it holds at most; it never held more than it was given.
        let used = said.used.min(definition.units());
        let mut own = Share {
            share: before.share.min(said.hold),
            used,
            want: said.want.clamp(used, definition.units().max(used)),
        };
        self.set_share(account, claim, Share::default());
        let limit = self.limit(&definition);
        let no_least = self.has_fault(Fault::MinSharesNotReserved);
        let turn = self.tally(claim).turn(&definition, &claim.customer, own, limit, no_least);
        own.share += turn.grant;
        if self.has_fault(Fault::RecallCountedAtOnce) {
            own.share -= turn.recall.min(own.share);
        }
        self.set_share(account, claim, own);
        ShareGrant { claim: claim.clone(), share: own.share, recall: turn.recall, closed: turn.closed }
    }

    /// An account is over. What it held stays counted, but for rates: nothing of them outlives their front.
    fn end(&mut self, id: AccountId, left: Option<BTreeMap<Claim, u64>>, events: &mut Vec<Event>) {
        let Some(account) = self.accounts.get(&id) else { return };
        let (front, tagged) = (account.front, account.tagged);
        let claims: Vec<Claim> = account.shares.keys().cloned().collect();
        let mut units = BTreeMap::new();
        for claim in claims {
            let share = self.share_of(id, &claim);
            self.set_share(id, &claim, Share::default());
            let at_once = self.definitions.get(&claim.limit).is_some_and(|d| !d.counts.is_rate());
            let stays = match &left {
                _ if !at_once || self.has_fault(Fault::OrphanFreedAtOnce) => 0,
                _ if self.has_fault(Fault::OrphanCountsLastReport) => share.used.min(share.share),
                Some(left) => left.get(&claim).copied().unwrap_or(0).min(share.share),
                // Whatever it had said that it uses: it may have admitted up to its share since.
                None => share.share,
            };
            if stays > 0 {
                self.count_orphan(&claim, stays, true);
                units.insert(claim, stays);
            }
        }
        self.accounts.remove(&id);
        self.by_front.remove(&front);
        let orphan = (!units.is_empty()).then(|| {
            self.next += 1;
            let orphan = OrphanId(self.next);
            self.orphans.insert(orphan, Orphan { front, units, tagged, aged_ms: 0 });
            orphan
        });
        events.push(Event::Ended(id, front, orphan));
    }

    fn adopt(
        &mut self,
        account: AccountId,
        orphan: OrphanId,
        taken: &[(Claim, u64)],
        events: &mut Vec<Event>,
    ) -> Result<Answer, Rejection> {
        if taken.len() > MAX_REPORTS {
            return Err(Rejection::TooManyEntries);
        }
        let mut told = Vec::new();
        for (claim, units) in taken {
            let lost = self.orphans.get(&orphan).ok_or(Rejection::NoOrphan)?;
            let moved = lost.units.get(claim).copied().unwrap_or(0).min(*units);
            self.lessen(orphan, claim, moved);
            let mut share = self.share_of(account, claim);
            (share.share, share.used, share.want) =
                (share.share + moved, share.used + moved, share.want + moved);
            self.set_share(account, claim, share);
            told.push(ShareGrant {
                claim: claim.clone(),
                share: share.share,
                recall: 0,
                closed: self.is_over(claim),
            });
        }
        self.forget_if_empty(orphan, events);
        Ok(Answer::Adopted(told))
    }

    fn counted(
        &mut self,
        id: OrphanId,
        left: &[(Claim, u64)],
        events: &mut Vec<Event>,
    ) -> Result<Answer, Rejection> {
        let orphan = self.orphans.get(&id).ok_or(Rejection::NoOrphan)?;
        // Before its time some of its set-ups may have been on their way when boxes were asked.
        if !orphan.tagged || !self.is_settled(orphan) {
            return Err(Rejection::NoOrphan);
        }
        let left: BTreeMap<&Claim, u64> = left.iter().map(|(c, n)| (c, *n)).collect();
        let over: Vec<(Claim, u64)> = (orphan.units.iter())
            .map(|(claim, n)| (claim.clone(), n.saturating_sub(left.get(claim).copied().unwrap_or(0))))
            .collect();
        over.iter().for_each(|(claim, units)| self.lessen(id, claim, *units));
        self.forget_if_empty(id, events);
        Ok(Answer::Counted)
    }

    fn age(&mut self, id: OrphanId, from_ms: u64, by_ms: u64, events: &mut Vec<Event>) {
        let Some(orphan) = self.orphans.get_mut(&id).filter(|o| o.aged_ms == from_ms) else { return };
        orphan.aged_ms = orphan.aged_ms.saturating_add(by_ms);
        events.push(Event::Aged(id));
        let aged = orphan.aged_ms;
        let over = |c: &Claim| self.definitions.get(&c.limit).is_none_or(|d| aged >= d.longest_ms);
        let gone: Vec<(Claim, u64)> =
            orphan_units(&self.orphans, id).filter(|(c, _)| over(c)).map(|(c, n)| (c.clone(), *n)).collect();
        gone.iter().for_each(|(claim, units)| self.lessen(id, claim, *units));
        self.forget_if_empty(id, events);
    }

    fn define(&mut self, definition: &LimitDefinition, events: &mut Vec<Event>) {
        let known = self.definitions.get(&definition.name);
        let older = known.map(|d| d.version).or_else(|| self.undefined.get(&definition.name).copied());
        let many = known.is_none() && self.definitions.len() + self.undefined.len() >= MAX_LIMITS;
        if many || older.is_some_and(|v| v >= definition.version) || !definition.validate().is_empty() {
            return;
        }
        // What was counted in another way can't go on as shares of this.
        let alike = known.is_some_and(|d| {
            (d.counts, d.of, d.is_hard()) == (definition.counts, definition.of, definition.is_hard())
        });
        if !alike {
            self.drop_limit(&definition.name);
        }
        self.undefined.remove(&definition.name);
        let highest = self.highest.entry(definition.name.clone()).or_default();
        *highest = (*highest).max(definition.units());
        self.definitions.insert(definition.name.clone(), definition.clone());
        self.recount();
        self.revision += 1;
        events.push(Event::Defined(definition.name.clone()));
    }

    fn undefine(&mut self, name: &Name, version: u64, events: &mut Vec<Event>) {
        if self.definitions.get(name).is_some_and(|d| d.version < version) {
            self.drop_limit(name);
            self.definitions.remove(name);
            self.undefined.insert(name.clone(), version);
            self.recount();
            self.revision += 1;
            events.push(Event::Undefined(name.clone()));
        }
    }
}

fn orphan_units(all: &BTreeMap<OrphanId, Orphan>, id: OrphanId) -> impl Iterator<Item = (&Claim, &u64)> {
    all.get(&id).into_iter().flat_map(|o| &o.units)
}
