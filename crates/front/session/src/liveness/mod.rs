//! Liveness of media servers' processes, judged from their event streams.
//!
//! Media flows between player and media server, so a broken stream proves nothing by itself. Three things end the
//! sessions of a media server: nobody listens at its address any more, it names another start of its process, or it has
//! been unreachable for [`UNREACHABLE_TIMEOUT`]. In the last case it may still run them, and they are released as well.

use std::collections::{BTreeMap, BTreeSet};

use beechloft::api::{Micros, ServerId};

/// A media server whose stream is down for this long is lost, whatever it does.
pub const UNREACHABLE_TIMEOUT: Micros = Micros(10_000_000);

/// What an observation says about the process that runs a media server's sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// As far as is known it is the same process, and its sessions play.
    Unchanged,
    /// That process is gone, and its sessions with it.
    Gone,
}

/// How a media server was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// Its process is gone, and its sessions with it.
    ProcessGone,
    /// It can't be reached, and may still run its sessions.
    Unreachable,
}

#[derive(Debug, Default)]
struct Observed {
    boot: Option<u64>,
    disconnected_at: Option<Micros>,
}

/// What is known of the media servers' processes.
#[derive(Debug, Default)]
pub struct Liveness {
    observed: BTreeMap<ServerId, Observed>,
    /// Media servers whose stream is down, the longest first. It is read with every input, while nearly all are up.
    disconnected: BTreeSet<(Micros, ServerId)>,
}

impl Liveness {
    /// The stream is up, and the media server names this start of its process.
    pub fn connected(&mut self, server: ServerId, boot: u64) -> ProcessState {
        self.clear_disconnected(server);
        let observed = self.observed.entry(server).or_default();
        match observed.boot.replace(boot) {
            Some(before) if before != boot => ProcessState::Gone,
            _ => ProcessState::Unchanged,
        }
    }

    /// The stream broke. The time counts from the first break.
    pub fn disconnected(&mut self, now: Micros, server: ServerId) {
        let observed = self.observed.entry(server).or_default();
        let since = *observed.disconnected_at.get_or_insert(now);
        self.disconnected.insert((since, server));
    }

    /// Nobody listens at the media server's address.
    pub fn connection_refused(&mut self, server: ServerId) -> ProcessState {
        self.forget(server);
        ProcessState::Gone
    }

    /// Media servers that have been unreachable for too long, once each.
    pub fn take_lost(&mut self, now: Micros) -> Vec<ServerId> {
        let is_lost = |(since, _): &&(Micros, ServerId)| now - *since >= UNREACHABLE_TIMEOUT;
        let mut lost: Vec<ServerId> =
            self.disconnected.iter().take_while(is_lost).map(|(_, server)| *server).collect();
        lost.sort_unstable();
        for server in &lost {
            self.clear_disconnected(*server);
        }
        lost
    }

    /// The media server's stream counts as down no longer.
    fn clear_disconnected(&mut self, server: ServerId) {
        let since = self.observed.get_mut(&server).and_then(|observed| observed.disconnected_at.take());
        if let Some(since) = since {
            self.disconnected.remove(&(since, server));
        }
    }

    /// When the next media server may be lost.
    pub fn next_due(&self) -> Option<Micros> {
        self.disconnected.first().map(|(since, _)| *since + UNREACHABLE_TIMEOUT)
    }

    /// Forgets a media server that is off the endpoint list.
    pub fn forget(&mut self, server: ServerId) {
        self.clear_disconnected(server);
        self.observed.remove(&server);
    }
}

#[cfg(test)]
mod tests;
