//! When fronts' rights run out, by the clock of the keeper that leads.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_leases::DriftBound;

use super::Placements;
use crate::planted::Fault;
use crate::words::answers::Event;
use crate::words::commands::Command;
use crate::words::names::FrontId;

/// From a word that a right has run out to the next, if the log has not taken it.
const AGAIN: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Deadline {
    at: Duration,
    renewals: u64,
}

/// Deadlines of a leader. They are counted from after the commit, and a new leader counts all from when it begins to lead.
#[derive(Debug, Clone)]
pub struct Rights {
    drift: DriftBound,
    deadlines: BTreeMap<FrontId, Deadline>,
    fault: Option<Fault>,
}

/// All that decides what it does next.
impl std::hash::Hash for Rights {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        self.deadlines.hash(into);
    }
}

impl Rights {
    /// Of a keeper that does not lead yet.
    pub fn new(drift: DriftBound) -> Rights {
        Rights { drift, deadlines: BTreeMap::new(), fault: None }
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    fn time(&self, ttl_ms: u32) -> Duration {
        let ttl = Duration::from_millis(u64::from(ttl_ms));
        if self.planted(Fault::NoDrift) { ttl } else { self.drift.longer(ttl) }
    }

    /// It begins to lead: it does not know when others renewed, and gives all of them their full time.
    pub fn begin(&mut self, now: Duration, state: &Placements) {
        self.deadlines.clear();
        for (front, right) in state.fronts() {
            let time = if self.planted(Fault::NoTimeAnew) { Duration::ZERO } else { self.time(right.ttl_ms) };
            self.deadlines.insert(*front, Deadline { at: now + time, renewals: right.renewals });
        }
    }

    /// It leads no more.
    pub fn end(&mut self) {
        self.deadlines.clear();
    }

    /// Something was applied; `now` is after that.
    pub fn applied(&mut self, now: Duration, event: &Event, state: &Placements) {
        match event {
            Event::Right { front, renewals, .. } => {
                let ttl_ms = state.fronts().get(front).map_or(0, |r| r.ttl_ms);
                let at = now + self.time(ttl_ms);
                self.deadlines.insert(*front, Deadline { at, renewals: *renewals });
            }
            Event::RightOver(front) => drop(self.deadlines.remove(front)),
            _ => {}
        }
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<Duration> {
        self.deadlines.values().map(|d| d.at).min()
    }

    /// What has run out, for the log; again after a while if the log has not taken it.
    pub fn due(&mut self, now: Duration) -> Vec<Command> {
        let over = self.deadlines.iter_mut().filter(|(_, d)| now >= d.at);
        over.map(|(front, deadline)| {
            deadline.at = now + AGAIN;
            Command::Expire { front: *front, renewals: deadline.renewals }
        })
        .collect()
    }
}
