//! The leader's timers: expiry of accounts, and the age of orphans.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_leases::DriftBound;

use crate::fault_injection::Fault;
use crate::ledger::Ledger;
use crate::message::{AccountId, Command, Event, OrphanId};

/// A proposal may be lost; it is repeated after this.
const PROPOSAL_RETRY: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Deadline {
    at: Duration,
    /// Renewals of an account, or the age of an orphan, when the timer was started.
    from: u64,
    /// For an orphan: by how much it has aged at `at`, milliseconds.
    by_ms: u64,
    proposed_until: Option<Duration>,
}

impl Deadline {
    fn due(&self) -> Duration {
        self.proposed_until.unwrap_or(self.at)
    }
}

/// Timers of all accounts and orphans, while this replica leads.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ExpiryTimers {
    drift: DriftBound,
    leads: bool,
    accounts: BTreeMap<AccountId, Deadline>,
    orphans: BTreeMap<OrphanId, Deadline>,
    fault: Option<Fault>,
}

impl ExpiryTimers {
    /// No timers.
    pub fn new(drift: DriftBound) -> ExpiryTimers {
        ExpiryTimers { drift, leads: false, accounts: BTreeMap::new(), orphans: BTreeMap::new(), fault: None }
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// This replica begins to lead, or has installed a snapshot while it leads. All accounts have their full time to live again, as it
    /// is not known when the previous leader started its timers; orphans continue from their age in the log.
    pub fn begin(&mut self, now: Duration, ledger: &Ledger) {
        self.leads = true;
        self.accounts.clear();
        self.orphans.clear();
        for (id, ..) in ledger.accounts() {
            self.count(now, ledger, id);
        }
        if self.has_fault(Fault::TtlNotRestartedOnElection) {
            self.accounts.values_mut().for_each(|d| d.at = now);
        }
        for (id, _) in ledger.orphans() {
            self.count_orphan(now, ledger, id);
        }
    }

    /// This replica leads no more.
    pub fn end(&mut self) {
        self.leads = false;
        self.accounts.clear();
        self.orphans.clear();
    }

    /// Updates the timers after a change of the ledger. `now` is read after the commit.
    pub fn applied(&mut self, now: Duration, ledger: &Ledger, event: &Event) {
        if !self.leads {
            return;
        }
        match event {
            Event::Renewed(id) => self.count(now, ledger, *id),
            Event::Ended(id, _, orphan) => {
                self.accounts.remove(id);
                if let Some(orphan) = orphan {
                    self.count_orphan(now, ledger, *orphan);
                }
            }
            Event::Aged(id) => self.count_orphan(now, ledger, *id),
            Event::Returned(id, _) | Event::Gone(id) => drop(self.orphans.remove(id)),
            Event::Defined(_) | Event::Undefined(_) => {}
        }
    }

    fn longer(&self, span: Duration) -> Duration {
        if self.has_fault(Fault::DriftIgnored) { span } else { self.drift.longer(span) }
    }

    fn count(&mut self, now: Duration, ledger: &Ledger, id: AccountId) {
        if let Some((ttl_ms, renewals)) = ledger.account(id) {
            let at = now + self.longer(Duration::from_millis(u64::from(ttl_ms)));
            self.accounts.insert(id, Deadline { at, from: renewals, by_ms: 0, proposed_until: None });
        }
    }

    fn count_orphan(&mut self, now: Duration, ledger: &Ledger, id: OrphanId) {
        if let (Some(by_ms), Some(orphan)) = (ledger.next_age(id), ledger.orphan(id)) {
            let at = now + self.longer(Duration::from_millis(by_ms));
            self.orphans.insert(id, Deadline { at, from: orphan.aged_ms, by_ms, proposed_until: None });
        }
    }

    /// When [`ExpiryTimers::due`] is next needed.
    pub fn next_due(&self) -> Option<Duration> {
        self.accounts.values().chain(self.orphans.values()).map(Deadline::due).min()
    }

    /// The commands to propose now. Each has an effect only if no other change precedes it in the log.
    pub fn due(&mut self, now: Duration) -> Vec<Command> {
        let again = now + PROPOSAL_RETRY;
        let mut all = Vec::new();
        for (id, d) in self.accounts.iter_mut().filter(|(_, d)| now >= d.due()) {
            d.proposed_until = Some(again);
            all.push(Command::Expire { account: *id, renewals: d.from });
        }
        for (id, d) in self.orphans.iter_mut().filter(|(_, d)| now >= d.due()) {
            d.proposed_until = Some(again);
            all.push(Command::Age { orphan: *id, from_ms: d.from, by_ms: d.by_ms });
        }
        all
    }
}
