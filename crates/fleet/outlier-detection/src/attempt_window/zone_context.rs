//! How attempts at other servers went while one server failed: it shows whether the server or the way to it is at fault.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{Attempt, MAX_KEYS, Outcome};
use crate::report::ServerInstance;

/// Failures of a server that are remembered one by one.
const MAX_FAILURES: usize = 64;

/// Attempts so far.
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

/// The totals at the moment of a failure.
#[derive(Debug, Clone, Copy)]
struct Failure {
    at: Duration,
    zone: Totals,
    all: Totals,
    own: Totals,
}

/// The attempts at one server: its oldest failures in the window, and its last one.
#[derive(Debug, Clone, Default)]
struct ServerHistory {
    zone: u16,
    own: Totals,
    failures: VecDeque<Failure>,
}

impl ServerHistory {
    fn add_failure(&mut self, failure: Failure) {
        if self.failures.len() >= MAX_FAILURES {
            // The last one is replaced, so that the first is kept.
            self.failures.pop_back();
        }
        self.failures.push_back(failure);
    }
}

/// Totals of all attempts, and what they were at each server's failures.
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
        // A server without failures has no context.
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

    /// The attempts at other servers between a server's first failure and its last: at those of its zone; at all others, if the zone
    /// is the front's own and no other server of it was tried.
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
