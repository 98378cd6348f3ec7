//! Releases, which end orphaned sessions at media servers.
//!
//! A session is orphaned if its client never received it or no longer wants it. Its release is retried with backoff until
//! the media server confirms that the session has ended, the media server's process has exited, or `GIVE_UP_AFTER` has
//! passed. By then the media server has freed the session by itself, as no client renews its media consent (RFC 7675).

use std::collections::{BTreeMap, BTreeSet};

use beechloft::api::{Micros, ServerId};

/// Pause after the first failed attempt. It is doubled with each further failure.
const INITIAL_BACKOFF: Micros = Micros(250_000);
/// Maximum number of times that the pause is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Time after which an unanswered attempt counts as failed.
const ATTEMPT_TIMEOUT: Micros = Micros(3_000_000);
/// Time after which an unconfirmed release is given up and the session is left to the media server's own timeout.
const GIVE_UP_AFTER: Micros = Micros(60_000_000);

/// Identifies a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReleaseId(pub u64);

#[derive(Debug)]
struct PendingRelease {
    server: ServerId,
    resource: String,
    requested_at: Micros,
    attempts: u32,
    /// When the next attempt is made or the current one times out.
    due: Micros,
}

/// A release attempt that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseAttempt {
    /// The release to attempt.
    pub id: ReleaseId,
    /// The media server that runs the session.
    pub server: ServerId,
    /// Path of the session at the media server.
    pub resource: String,
}

/// The releases that are due.
#[derive(Debug, Default)]
pub struct DueReleases {
    /// Attempts to make now.
    pub attempts: Vec<ReleaseAttempt>,
    /// Number of releases that were given up.
    pub given_up: usize,
}

/// The set of pending releases.
#[derive(Debug, Default)]
pub struct Releases {
    next_id: u64,
    pending: BTreeMap<ReleaseId, PendingRelease>,
    due: BTreeSet<(Micros, ReleaseId)>,
}

impl Releases {
    /// Adds a release of the session at `resource`. Its first attempt is due at once.
    pub fn add(&mut self, now: Micros, server: ServerId, resource: String) {
        let id = ReleaseId(self.next_id);
        self.next_id += 1;
        let release = PendingRelease { server, resource, requested_at: now, attempts: 0, due: now };
        self.pending.insert(id, release);
        self.due.insert((now, id));
    }

    /// Handles the result of an attempt. A result of a release that is no longer pending has no effect.
    pub fn result(&mut self, now: Micros, id: ReleaseId, ended: bool) {
        let Some(release) = self.pending.get_mut(&id) else { return };
        self.due.remove(&(release.due, id));
        if ended {
            self.pending.remove(&id);
            return;
        }
        let doublings = release.attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        release.due = now + Micros(INITIAL_BACKOFF.0 << doublings);
        self.due.insert((release.due, id));
    }

    /// Drops the releases of a media server whose process has exited, which ended its sessions.
    pub fn forget(&mut self, server: ServerId) {
        let due = &mut self.due;
        self.pending.retain(|&id, release| {
            let keep = release.server != server;
            if !keep {
                due.remove(&(release.due, id));
            }
            keep
        });
    }

    /// Starts the attempts that are due, and gives up releases that are older than `GIVE_UP_AFTER`.
    pub fn take_due(&mut self, now: Micros) -> DueReleases {
        let mut due_releases = DueReleases::default();
        while let Some(&(due, id)) = self.due.first().filter(|(due, _)| *due <= now) {
            self.due.remove(&(due, id));
            let Some(release) = self.pending.get_mut(&id) else { continue };
            if now - release.requested_at >= GIVE_UP_AFTER {
                self.pending.remove(&id);
                due_releases.given_up += 1;
                continue;
            }
            release.attempts += 1;
            release.due = now + ATTEMPT_TIMEOUT;
            self.due.insert((release.due, id));
            let resource = release.resource.clone();
            due_releases.attempts.push(ReleaseAttempt { id, server: release.server, resource });
        }
        due_releases
    }

    /// Returns when the next attempt or timeout is due, or `None` if no release is pending.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|(due, _)| *due)
    }

    /// Returns the number of pending releases.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no release is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns whether the release of this session is pending.
    pub fn has(&self, server: ServerId, resource: &str) -> bool {
        self.pending.values().any(|release| release.server == server && release.resource == resource)
    }

    /// Returns whether a release at this media server is pending.
    pub fn concerns(&self, server: ServerId) -> bool {
        self.pending.values().any(|release| release.server == server)
    }
}

#[cfg(test)]
mod tests;
