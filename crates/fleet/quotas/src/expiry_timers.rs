//! Timers of the leading replica: expiry of accounts and ageing of orphans.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_leases::DriftBound;

use crate::fault_injection::Fault;
use crate::ledger::Ledger;
use crate::message::{AccountId, Command, Event, OrphanId};

/// Delay before a command is proposed again, because a proposal may be lost.
const PROPOSAL_RETRY_DELAY: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Timer {
    expires_at: Duration,
    /// The number of renewals of an account, or the age of an orphan in milliseconds, when the timer was started.
    start_value: u64,
    /// Time by which an orphan has aged when the timer expires, milliseconds; 0 for an account.
    age_by_ms: u64,
    /// When the command is proposed again, once it was proposed.
    propose_again_at: Option<Duration>,
}

impl Timer {
    fn due_at(&self) -> Duration {
        self.propose_again_at.unwrap_or(self.expires_at)
    }
}

/// Timers of all accounts and orphans, which run while this replica leads.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ExpiryTimers {
    drift: DriftBound,
    running: bool,
    accounts: BTreeMap<AccountId, Timer>,
    orphans: BTreeMap<OrphanId, Timer>,
    fault: Option<Fault>,
}

impl ExpiryTimers {
    /// Creates timers that are stopped.
    pub fn new(drift: DriftBound) -> ExpiryTimers {
        let (accounts, orphans) = (BTreeMap::new(), BTreeMap::new());
        ExpiryTimers { drift, running: false, accounts, orphans, fault: None }
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// Starts all timers, when this replica becomes the leader or has installed a snapshot as the leader.
    ///
    /// Accounts get their full time to live, because it is not known when the previous leader started its timers. Orphans
    /// continue from their age in the log.
    pub fn start(&mut self, now: Duration, ledger: &Ledger) {
        self.running = true;
        self.accounts.clear();
        self.orphans.clear();
        for (id, ..) in ledger.accounts() {
            self.start_account(now, ledger, id);
        }
        if self.has_fault(Fault::TtlNotRestartedOnElection) {
            self.accounts.values_mut().for_each(|timer| timer.expires_at = now);
        }
        for (id, _) in ledger.orphans() {
            self.start_orphan(now, ledger, id);
        }
    }

    /// Stops all timers, because this replica no longer leads.
    pub fn stop(&mut self) {
        self.running = false;
        self.accounts.clear();
        self.orphans.clear();
    }

    /// Updates the timers after a change of the ledger. `now` must be read after the commit.
    pub fn on_event(&mut self, now: Duration, ledger: &Ledger, event: &Event) {
        if !self.running {
            return;
        }
        match event {
            Event::Renewed(id) => self.start_account(now, ledger, *id),
            Event::Ended(id, _, orphan) => {
                self.accounts.remove(id);
                if let Some(orphan) = orphan {
                    self.start_orphan(now, ledger, *orphan);
                }
            }
            Event::Aged(id) => self.start_orphan(now, ledger, *id),
            Event::Returned(id, _) | Event::Gone(id) => drop(self.orphans.remove(id)),
            Event::Defined(_) | Event::Undefined(_) => {}
        }
    }

    /// Returns the time on this replica's clock after which a span has passed on any clock within the drift bound.
    fn lengthened(&self, span_ms: u64) -> Duration {
        let span = Duration::from_millis(span_ms);
        if self.has_fault(Fault::DriftIgnored) { span } else { self.drift.longer(span) }
    }

    fn start_account(&mut self, now: Duration, ledger: &Ledger, id: AccountId) {
        if let Some((ttl_ms, renewals)) = ledger.account(id) {
            let expires_at = now + self.lengthened(u64::from(ttl_ms));
            let timer = Timer { expires_at, start_value: renewals, age_by_ms: 0, propose_again_at: None };
            self.accounts.insert(id, timer);
        }
    }

    fn start_orphan(&mut self, now: Duration, ledger: &Ledger, id: OrphanId) {
        if let (Some(age_by_ms), Some(orphan)) = (ledger.next_age_step_ms(id), ledger.orphan(id)) {
            let expires_at = now + self.lengthened(age_by_ms);
            let timer = Timer { expires_at, start_value: orphan.age_ms, age_by_ms, propose_again_at: None };
            self.orphans.insert(id, timer);
        }
    }

    /// Returns when [`ExpiryTimers::due_commands`] is next needed. Returns `None` if no timer runs.
    pub fn next_due(&self) -> Option<Duration> {
        self.accounts.values().chain(self.orphans.values()).map(Timer::due_at).min()
    }

    /// Returns the commands to propose now. Each has an effect only if no other change precedes it in the log.
    pub fn due_commands(&mut self, now: Duration) -> Vec<Command> {
        let propose_again_at = Some(now + PROPOSAL_RETRY_DELAY);
        let mut commands = Vec::new();
        for (id, timer) in self.accounts.iter_mut().filter(|(_, timer)| now >= timer.due_at()) {
            timer.propose_again_at = propose_again_at;
            commands.push(Command::Expire { account: *id, renewals: timer.start_value });
        }
        for (id, timer) in self.orphans.iter_mut().filter(|(_, timer)| now >= timer.due_at()) {
            timer.propose_again_at = propose_again_at;
            commands.push(Command::Age { orphan: *id, from_ms: timer.start_value, by_ms: timer.age_by_ms });
        }
        commands
    }
}
