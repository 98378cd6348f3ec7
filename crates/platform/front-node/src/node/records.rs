//! What the state machine remembers of sessions and viewers that it no longer tracks.

use beechloft::api::{Micros, ServerId, ViewerId};
use beechloft_protocol::{CallId, Cause};

use crate::io::{ServerIncarnation, ViewerConnection};
use crate::recent::RecentRecord;

/// Maximum number of sessions or connections in each record.
const MAX_ENTRIES: usize = 8192;
/// Maximum number of migrated viewers in the record.
const MAX_MIGRATED_VIEWERS: usize = 4096;
/// Minimum time for which the end of an attempt stays recorded, because an answer may be delayed in the network.
const MIN_ENDED_ATTEMPT_RETENTION: Micros = Micros(15_000_000);
/// Time for which the end of a session stays recorded. A failed front node is noticed only after some seconds, and may
/// take 10 s to restart, before its sessions are handed over.
const SESSION_END_RETENTION: Micros = Micros(30_000_000);
/// Time for which a migrated viewer stays recorded.
const MIGRATED_VIEWER_RETENTION: Micros = Micros(15_000_000);
/// Time for which a closed connection stays recorded. Hand-overs that were received on it follow at once.
const CLOSED_CONNECTION_RETENTION: Micros = Micros(5_000_000);

/// How a session at a media server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SessionEnd {
    /// The media server ended the session.
    ByServer(Cause),
    /// This front node ended the session, or considers it lost.
    ByFrontNode,
}

/// Bounded records of sessions and connections that are over.
#[derive(Debug)]
pub(super) struct Records {
    /// Attempts that are over. A late answer to one of them is released at its incarnation.
    pub ended_attempts: RecentRecord<(ServerIncarnation, CallId), ()>,
    /// Sessions that ended at a media server, whether or not this front node knew them. A hand-over of one of them may
    /// arrive after its end.
    pub session_ends: RecentRecord<(ServerId, CallId), SessionEnd>,
    /// Sessions that their viewers released. A hand-over of one of them may arrive after its release.
    pub viewer_releases: RecentRecord<CallId, ()>,
    /// Viewers whose session this front node migrated.
    pub migrated_viewers: RecentRecord<ViewerId, ()>,
    /// Connections that were closed. Nothing is sent on them.
    pub closed_connections: RecentRecord<ViewerConnection, ()>,
}

impl Records {
    /// Creates empty records. A media server may answer an attempt until `max_answer_delay` after its start.
    pub fn new(max_answer_delay: Micros) -> Self {
        let ended_attempt_retention = max_answer_delay.max(MIN_ENDED_ATTEMPT_RETENTION);
        Records {
            ended_attempts: RecentRecord::new(MAX_ENTRIES, ended_attempt_retention),
            session_ends: RecentRecord::new(MAX_ENTRIES, SESSION_END_RETENTION),
            viewer_releases: RecentRecord::new(MAX_ENTRIES, SESSION_END_RETENTION),
            migrated_viewers: RecentRecord::new(MAX_MIGRATED_VIEWERS, MIGRATED_VIEWER_RETENTION),
            closed_connections: RecentRecord::new(MAX_ENTRIES, CLOSED_CONNECTION_RETENTION),
        }
    }

    /// Removes all expired entries.
    pub fn expire(&mut self, now: Micros) {
        self.ended_attempts.expire(now);
        self.session_ends.expire(now);
        self.viewer_releases.expire(now);
        self.migrated_viewers.expire(now);
        self.closed_connections.expire(now);
    }

    /// Returns the number of entries in all records.
    pub fn len(&self) -> usize {
        self.ended_attempts.len()
            + self.session_ends.len()
            + self.viewer_releases.len()
            + self.migrated_viewers.len()
            + self.closed_connections.len()
    }
}
