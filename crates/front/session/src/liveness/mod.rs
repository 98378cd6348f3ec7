//! Liveness of media servers' processes, derived from their event streams.
//!
//! Media flows directly between player and media server, so a broken event stream does not prove that a session ended. The
//! sessions of a media server are ended in three cases: its address refuses connections, it reports a new start of its
//! process, or it has been unreachable for [`UNREACHABLE_TIMEOUT`]. In the last case it may still run the sessions, so
//! they are also released.

use std::collections::{BTreeMap, BTreeSet};

use beechloft::api::{Micros, ServerId};

/// Time after which a media server whose event stream is down counts as lost.
pub const UNREACHABLE_TIMEOUT: Micros = Micros(10_000_000);

/// State of the process that runs a media server's sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// The process is presumably the same as before, and its sessions play.
    Unchanged,
    /// The process has exited, which ended its sessions.
    Exited,
}

/// How a media server was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The process has exited, which ended its sessions.
    ProcessExited,
    /// The media server is unreachable and may still run its sessions.
    Unreachable,
}

#[derive(Debug, Default)]
struct Observed {
    boot: Option<u64>,
    disconnected_at: Option<Micros>,
}

/// Tracks the liveness of all media servers' processes.
#[derive(Debug, Default)]
pub struct Liveness {
    observed: BTreeMap<ServerId, Observed>,
    /// Media servers whose stream is down, ordered by the time it broke. The set is read with every input and is nearly
    /// always small.
    disconnected: BTreeSet<(Micros, ServerId)>,
}

impl Liveness {
    /// Handles a connected stream, on which the media server identified the start of its process with `boot`.
    pub fn connected(&mut self, server: ServerId, boot: u64) -> ProcessState {
        self.clear_disconnected(server);
        let observed = self.observed.entry(server).or_default();
        match observed.boot.replace(boot) {
            Some(before) if before != boot => ProcessState::Exited,
            _ => ProcessState::Unchanged,
        }
    }

    /// Handles a broken stream. The media server counts as unreachable since the first break.
    pub fn disconnected(&mut self, now: Micros, server: ServerId) {
        let observed = self.observed.entry(server).or_default();
        let since = *observed.disconnected_at.get_or_insert(now);
        self.disconnected.insert((since, server));
    }

    /// Handles a refused connection to the media server's address.
    pub fn connection_refused(&mut self, server: ServerId) -> ProcessState {
        self.forget(server);
        ProcessState::Exited
    }

    /// Returns the media servers that have been unreachable for [`UNREACHABLE_TIMEOUT`], in order of their ids. Each one is
    /// returned once.
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

    /// Clears the record that the media server's stream is down.
    fn clear_disconnected(&mut self, server: ServerId) {
        let since = self.observed.get_mut(&server).and_then(|observed| observed.disconnected_at.take());
        if let Some(since) = since {
            self.disconnected.remove(&(since, server));
        }
    }

    /// Returns when the next media server will be lost, or `None` if no stream is down.
    pub fn next_due(&self) -> Option<Micros> {
        self.disconnected.first().map(|(since, _)| *since + UNREACHABLE_TIMEOUT)
    }

    /// Drops all state of a media server.
    pub fn forget(&mut self, server: ServerId) {
        self.clear_disconnected(server);
        self.observed.remove(&server);
    }
}

#[cfg(test)]
mod tests;
