//! Outcomes of the attempts at other servers while one server failed. They show whether the server or the network path to its zone
//! is at fault.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{Attempt, MAX_KEYS, Outcome};
use crate::report::ServerInstance;

/// Maximum number of individual failures that are stored per server.
const MAX_FAILURES: usize = 64;

/// Numbers of attempts so far.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Totals {
    pub(super) successes: u64,
    pub(super) failures: u64,
}

impl Totals {
    fn count(&mut self, is_success: bool) {
        if is_success {
            self.successes += 1;
        } else {
            self.failures += 1;
        }
    }

    fn since(self, earlier: Totals) -> Totals {
        Totals {
            successes: self.successes.saturating_sub(earlier.successes),
            failures: self.failures.saturating_sub(earlier.failures),
        }
    }

    fn is_empty(self) -> bool {
        self.successes + self.failures == 0
    }
}

/// A failure of a server, with the totals just after it.
#[derive(Debug, Clone, Copy)]
struct Failure {
    at: Duration,
    /// Attempts at all servers of the zone.
    zone: Totals,
    /// Attempts at all servers.
    all: Totals,
    /// Attempts at the server itself.
    own: Totals,
}

/// The attempts at one server, with its oldest failures in the window and its last one.
#[derive(Debug, Clone, Default)]
struct ServerHistory {
    zone: u16,
    own: Totals,
    failures: VecDeque<Failure>,
}

impl ServerHistory {
    fn add_failure(&mut self, failure: Failure) {
        if self.failures.len() >= MAX_FAILURES {
            // Replaces the last failure, so that the oldest ones are kept.
            self.failures.pop_back();
        }
        self.failures.push_back(failure);
    }
}

/// Totals of all attempts, now and at the time of each server's failures.
#[derive(Debug, Clone)]
pub(super) struct ZoneContext {
    window: Duration,
    own_zone: u16,
    by_zone: BTreeMap<u16, Totals>,
    all: Totals,
    servers: BTreeMap<ServerInstance, ServerHistory>,
}

impl ZoneContext {
    pub(super) fn new(window: Duration, own_zone: u16) -> ZoneContext {
        ZoneContext {
            window,
            own_zone,
            by_zone: BTreeMap::new(),
            all: Totals::default(),
            servers: BTreeMap::new(),
        }
    }

    pub(super) fn record(&mut self, now: Duration, attempt: &Attempt) {
        let is_success = attempt.outcome == Outcome::Success;
        let zone_totals = self.by_zone.entry(attempt.zone).or_default();
        zone_totals.count(is_success);
        let zone = *zone_totals;
        self.all.count(is_success);
        let window = self.window;
        let is_old = |failure: &Failure| now.saturating_sub(failure.at) >= window;
        if self.servers.len() >= MAX_KEYS {
            self.servers.retain(|_, server| server.failures.back().is_some_and(|last| !is_old(last)));
        }
        // Servers that have not failed need no history.
        if is_success && !self.servers.contains_key(&attempt.instance) {
            return;
        }
        let server = self.servers.entry(attempt.instance).or_default();
        server.zone = attempt.zone;
        server.own.count(is_success);
        while server.failures.front().is_some_and(is_old) {
            server.failures.pop_front();
        }
        if !is_success {
            server.add_failure(Failure { at: now, zone, all: self.all, own: server.own });
        }
    }

    /// Returns the totals of attempts at other servers of the zone between a server's first failure and its last.
    ///
    /// If the zone is the front's own and there were no such attempts, the totals are those of all other servers.
    pub(super) fn others_between_failures(&self, instance: ServerInstance) -> Totals {
        let Some(server) = self.servers.get(&instance) else { return Totals::default() };
        let (Some(first), Some(last)) = (server.failures.front(), server.failures.back()) else {
            return Totals::default();
        };
        let own = last.own.since(first.own);
        let zone = last.zone.since(first.zone).since(own);
        if zone.is_empty() && server.zone == self.own_zone {
            last.all.since(first.all).since(own)
        } else {
            zone
        }
    }
}
