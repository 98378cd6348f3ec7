//! What is remembered for a while: sessions that ended, and viewers whose session was migrated.

use std::collections::{BTreeMap, VecDeque};

use beechloft::api::{Micros, ViewerId};
use beechloft_protocol::CallId;

use crate::io::ServerIncarnation;

/// The maximum of remembered sessions.
const MAX_ENDED_SESSIONS: usize = 8192;
/// The maximum of remembered viewers.
const MAX_MIGRATED_VIEWERS: usize = 4096;
/// How long a viewer is remembered.
const MIGRATED_VIEWER_RETENTION: Micros = Micros(15_000_000);

/// Sessions that ended at an incarnation lately. A late answer for one is released there.
#[derive(Debug, Default)]
pub(crate) struct EndedSessions {
    ended_at: BTreeMap<(ServerIncarnation, CallId), Micros>,
    /// In the order of their ends. One that ended again has an entry for each end; its last is in `ended_at`.
    order: VecDeque<EndedSession>,
}

#[derive(Debug)]
struct EndedSession {
    at: Micros,
    incarnation: ServerIncarnation,
    id: CallId,
}

impl EndedSessions {
    pub fn insert(&mut self, at: Micros, incarnation: ServerIncarnation, id: CallId) {
        if self.ended_at.len() >= MAX_ENDED_SESSIONS {
            self.remove_oldest();
        }
        self.ended_at.insert((incarnation, id), at);
        self.order.push_back(EndedSession { at, incarnation, id });
    }

    pub fn contains(&self, incarnation: ServerIncarnation, id: CallId) -> bool {
        self.ended_at.contains_key(&(incarnation, id))
    }

    /// Removes those that ended longer ago than `retention`.
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

/// Viewers whose session this front node migrated lately.
#[derive(Debug, Default)]
pub(crate) struct MigratedViewers {
    migrated_at: BTreeMap<ViewerId, Micros>,
}

impl MigratedViewers {
    pub fn insert(&mut self, now: Micros, viewer: ViewerId) {
        if self.migrated_at.len() >= MAX_MIGRATED_VIEWERS {
            self.migrated_at.pop_first();
        }
        self.migrated_at.insert(viewer, now);
    }

    /// Forgets a viewer, and returns whether it was remembered.
    pub fn remove(&mut self, viewer: ViewerId) -> bool {
        self.migrated_at.remove(&viewer).is_some()
    }

    pub fn expire(&mut self, now: Micros) {
        self.migrated_at.retain(|_, at| now - *at <= MIGRATED_VIEWER_RETENTION);
    }
}
