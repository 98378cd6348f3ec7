//! Expiry of fronts' placement leases by the clock of the coordinator's leader.

use std::collections::BTreeMap;
use std::time::Duration;

use beechloft_leases::DriftBound;

use super::Placements;
use crate::fault_injection::Fault;
use crate::protocol::answers::Event;
use crate::protocol::commands::Command;
use crate::protocol::names::FrontId;

/// Interval between proposals of the same expiry, while the log has not committed it.
const EXPIRE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Deadline {
    at: Duration,
    renewals: u64,
}

/// Deadlines that the leader keeps. They are counted from after the commit, and a new leader restarts all of them.
#[derive(Debug, Clone)]
pub struct LeaseDeadlines {
    drift: DriftBound,
    deadlines: BTreeMap<FrontId, Deadline>,
    fault: Option<Fault>,
}

/// Hashes everything that determines the next actions.
impl std::hash::Hash for LeaseDeadlines {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        self.deadlines.hash(into);
    }
}

impl LeaseDeadlines {
    /// Returns the deadlines of a replica that is not the leader yet.
    pub fn new(drift: DriftBound) -> LeaseDeadlines {
        LeaseDeadlines { drift, deadlines: BTreeMap::new(), fault: None }
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    fn time(&self, ttl_ms: u32) -> Duration {
        let ttl = Duration::from_millis(u64::from(ttl_ms));
        if self.has_fault(Fault::IgnoreDrift) { ttl } else { self.drift.longer(ttl) }
    }

    /// Starts leadership. The leader does not know when others renewed, and gives every front the full duration.
    pub fn begin(&mut self, now: Duration, state: &Placements) {
        self.deadlines.clear();
        for (front, lease) in state.fronts() {
            let time =
                if self.has_fault(Fault::NoLeaseRestart) { Duration::ZERO } else { self.time(lease.ttl_ms) };
            self.deadlines.insert(*front, Deadline { at: now + time, renewals: lease.renewals });
        }
    }

    /// Ends leadership.
    pub fn end(&mut self) {
        self.deadlines.clear();
    }

    /// Takes note of an applied event. `now` is a time after the commit.
    pub fn applied(&mut self, now: Duration, event: &Event, state: &Placements) {
        match event {
            Event::LeaseGranted { front, renewals, .. } => {
                let ttl_ms = state.fronts().get(front).map_or(0, |r| r.ttl_ms);
                let at = now + self.time(ttl_ms);
                self.deadlines.insert(*front, Deadline { at, renewals: *renewals });
            }
            Event::LeaseEnded(front) => drop(self.deadlines.remove(front)),
            _ => {}
        }
    }

    /// Returns the time of the next deadline.
    pub fn next_due(&self) -> Option<Duration> {
        self.deadlines.values().map(|d| d.at).min()
    }

    /// Returns commands to expire the leases whose deadline has passed. A command is repeated while the log has not
    /// committed it.
    pub fn due(&mut self, now: Duration) -> Vec<Command> {
        let over = self.deadlines.iter_mut().filter(|(_, d)| now >= d.at);
        over.map(|(front, deadline)| {
            deadline.at = now + EXPIRE_RETRY_INTERVAL;
            Command::Expire { front: *front, renewals: deadline.renewals }
        })
        .collect()
    }
}
