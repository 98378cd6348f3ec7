//! Releases: sessions left behind on media servers, whose client never got or no longer wants them, are ended there.
//!
//! A release is retried with backoff until the media server says that the session is gone, the server's process is gone,
//! or `GIVE_UP_AFTER` has passed: by then the media server has freed the session by itself, as no client keeps its media
//! consent fresh (RFC 7675).

use std::collections::{BTreeMap, BTreeSet};

use beechloft::api::{Micros, ServerId};

/// The first pause between two attempts; each further one doubles it.
const INITIAL_BACKOFF: Micros = Micros(250_000);
/// How often the pause is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// An attempt without an answer for this long counts as failed.
const ATTEMPT_TIMEOUT: Micros = Micros(3_000_000);
/// A session not known to be gone by then is left to the media server's own time-out.
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
    /// When the next attempt is made, or the running one times out.
    due: Micros,
}

/// An attempt that is to be made now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseAttempt {
    /// Which release.
    pub id: ReleaseId,
    /// The media server.
    pub server: ServerId,
    /// The session's path there.
    pub resource: String,
}

/// What is due at a moment.
#[derive(Debug, Default)]
pub struct DueReleases {
    /// Attempts to be made.
    pub attempts: Vec<ReleaseAttempt>,
    /// How many releases were given up.
    pub given_up: usize,
}

/// All releases that are not done.
#[derive(Debug, Default)]
pub struct Releases {
    next_id: u64,
    pending: BTreeMap<ReleaseId, PendingRelease>,
    due: BTreeSet<(Micros, ReleaseId)>,
}

impl Releases {
    /// Takes a session to be ended; the first attempt is due at once.
    pub fn add(&mut self, now: Micros, server: ServerId, resource: String) {
        let id = ReleaseId(self.next_id);
        self.next_id += 1;
        let release = PendingRelease { server, resource, requested_at: now, attempts: 0, due: now };
        self.pending.insert(id, release);
        self.due.insert((now, id));
    }

    /// The result of an attempt. A late or repeated result of a release that is done changes nothing.
    pub fn result(&mut self, now: Micros, id: ReleaseId, gone: bool) {
        let Some(release) = self.pending.get_mut(&id) else { return };
        self.due.remove(&(release.due, id));
        if gone {
            self.pending.remove(&id);
            return;
        }
        let doublings = release.attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        release.due = now + Micros(INITIAL_BACKOFF.0 << doublings);
        self.due.insert((release.due, id));
    }

    /// Drops the releases of a media server whose process is gone, and its sessions with it.
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

    /// Starts the attempts that are due by now, and gives up releases that took too long.
    pub fn take_due(&mut self, now: Micros) -> DueReleases {
        let mut taken = DueReleases::default();
        while let Some(&(due, id)) = self.due.first().filter(|(due, _)| *due <= now) {
            self.due.remove(&(due, id));
            let Some(release) = self.pending.get_mut(&id) else { continue };
            if now - release.requested_at >= GIVE_UP_AFTER {
                self.pending.remove(&id);
                taken.given_up += 1;
                continue;
            }
            release.attempts += 1;
            release.due = now + ATTEMPT_TIMEOUT;
            self.due.insert((release.due, id));
            let resource = release.resource.clone();
            taken.attempts.push(ReleaseAttempt { id, server: release.server, resource });
        }
        taken
    }

    /// When the next attempt or time-out is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|(due, _)| *due)
    }

    /// How many are not done.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether all are done.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether this session is still to be ended.
    pub fn has(&self, server: ServerId, resource: &str) -> bool {
        self.pending.values().any(|release| release.server == server && release.resource == resource)
    }

    /// Whether some session of this media server is still to be ended.
    pub fn concerns(&self, server: ServerId) -> bool {
        self.pending.values().any(|release| release.server == server)
    }
}

#[cfg(test)]
mod tests;
