//! Bounded records of recently ended sessions and of recently migrated viewers.

use std::collections::{BTreeMap, VecDeque};

use beechloft::api::{Micros, ViewerId};
use beechloft_protocol::CallId;

use crate::io::ServerIncarnation;

/// Maximum number of ended sessions in the record.
const MAX_ENDED_SESSIONS: usize = 8192;
/// Maximum number of migrated viewers in the record.
const MAX_MIGRATED_VIEWERS: usize = 4096;
/// Time for which a migrated viewer stays in the record.
const MIGRATED_VIEWER_RETENTION: Micros = Micros(15_000_000);

/// Record of sessions that recently ended at an incarnation.
///
/// If a late answer arrives for one of them, the session is released at that incarnation.
#[derive(Debug, Default)]
pub(crate) struct EndedSessions {
    ended_at: BTreeMap<(ServerIncarnation, CallId), Micros>,
    /// Ends in the order of time. A session that ended more than once has an entry for each end, and `ended_at` has
    /// the time of the last one.
    order: VecDeque<EndedSession>,
}

/// The end of a session at an incarnation.
#[derive(Debug)]
struct EndedSession {
    at: Micros,
    incarnation: ServerIncarnation,
    id: CallId,
}

impl EndedSessions {
    /// Records that a session ended, and removes the oldest entry if the record is full.
    pub fn insert(&mut self, at: Micros, incarnation: ServerIncarnation, id: CallId) {
        if self.ended_at.len() >= MAX_ENDED_SESSIONS {
            self.remove_oldest();
        }
        self.ended_at.insert((incarnation, id), at);
        self.order.push_back(EndedSession { at, incarnation, id });
    }

    /// Returns whether a session recently ended at the incarnation.
    pub fn contains(&self, incarnation: ServerIncarnation, id: CallId) -> bool {
        self.ended_at.contains_key(&(incarnation, id))
    }

    /// Removes sessions that ended longer than `retention` before `now`.
    pub fn expire(&mut self, now: Micros, retention: Micros) {
        while self.order.front().is_some_and(|oldest| now - oldest.at > retention) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front()
            && self.ended_at.get(&(oldest.incarnation, oldest.id)) == Some(&oldest.at)
        {
            self.ended_at.remove(&(oldest.incarnation, oldest.id));
        }
    }
}

/// Record of viewers whose session this front node recently migrated.
#[derive(Debug, Default)]
pub(crate) struct MigratedViewers {
    migrated_at: BTreeMap<ViewerId, Micros>,
}

impl MigratedViewers {
    /// Records that a viewer's session was migrated, and removes another viewer if the record is full.
    pub fn insert(&mut self, now: Micros, viewer: ViewerId) {
        if self.migrated_at.len() >= MAX_MIGRATED_VIEWERS {
            self.migrated_at.pop_first();
        }
        self.migrated_at.insert(viewer, now);
    }

    /// Removes a viewer, and returns whether it was in the record.
    pub fn remove(&mut self, viewer: ViewerId) -> bool {
        self.migrated_at.remove(&viewer).is_some()
    }

    /// Removes viewers whose session was migrated longer than [`MIGRATED_VIEWER_RETENTION`] before `now`.
    pub fn expire(&mut self, now: Micros) {
        self.migrated_at.retain(|_, at| now - *at <= MIGRATED_VIEWER_RETENTION);
    }
}
