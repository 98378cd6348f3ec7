//! Attempts at media servers, and whether two attempts of one session overlapped. This is decided by the contents of the sockets
//! and not by the time at which a thread of the fakes read them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use crate::recorder::lock;
use crate::sockets::{Connection, Snapshot, Sockets};

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The media server ended the attempt. The end is recorded before the media server writes anything.
    ByServer { order: u64 },
    /// The front node abandoned the attempt by a line that ends at this byte of the connection.
    Abandoned { position: u64 },
    /// The connection ended.
    ConnectionEnded,
}

/// Set-up that reached a media server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    pub server: usize,
    pub connection: u64,
    /// State of all connections of the front node when the set-up was read.
    pub seen: Snapshot,
    /// Ends of the attempt in the order in which they were recorded. If the front node abandons an attempt while the media server
    /// ends it, the abandonment may be recorded second, but it counts from its own time.
    pub ends: Vec<AttemptEnd>,
}

impl Attempt {
    pub fn is_pending(&self) -> bool {
        self.ends.is_empty()
    }

    fn is_closed_by_front_node(&self) -> bool {
        self.ends.iter().any(|end| !matches!(end, AttemptEnd::ByServer { .. }))
    }

    /// Whether this attempt had ended before the other one was read.
    fn ended_before(&self, other: &Attempt) -> bool {
        let seen = &other.seen;
        let had_happened = |end: &AttemptEnd| match *end {
            AttemptEnd::ByServer { order } => order < seen.order,
            AttemptEnd::Abandoned { position } => seen.has(self.connection, position),
            AttemptEnd::ConnectionEnded => false,
        };
        self.ends.iter().any(had_happened) || seen.has_ended(self.connection)
    }

    /// Whether both attempts were pending at the same time. The order of the two doesn't matter, because a slow reader may read the
    /// earlier one last.
    pub fn overlaps(&self, other: &Attempt) -> bool {
        !self.ended_before(other) && !other.ended_before(self)
    }
}

/// Attempts by session.
pub type Attempts = BTreeMap<u64, Vec<Attempt>>;

/// Record of all attempts.
#[derive(Clone, Default)]
pub struct AttemptLog {
    pub sockets: Arc<Sockets>,
    attempts: Arc<Mutex<Attempts>>,
}

impl AttemptLog {
    /// Records a set-up that was read from this connection.
    pub fn begin(&self, server: usize, id: u64, node: usize, connection: &Connection) {
        connection.set_node(node);
        let pending = self.pending_connections(id);
        let seen = self.sockets.snapshot(node, &pending);
        let attempt = Attempt { server, connection: connection.number, seen, ends: Vec::new() };
        lock(&self.attempts).entry(id).or_default().push(attempt);
    }

    /// Returns the connections on which an attempt of the session is pending.
    fn pending_connections(&self, id: u64) -> Vec<u64> {
        let attempts = lock(&self.attempts);
        attempts
            .get(&id)
            .into_iter()
            .flatten()
            .filter(|attempt| attempt.is_pending())
            .map(|attempt| attempt.connection)
            .collect()
    }

    /// Records the end of the session's last attempt on this connection. Returns whether the attempt was pending until now.
    pub fn end(&self, id: u64, connection: u64, end: AttemptEnd) -> bool {
        let by_server = matches!(end, AttemptEnd::ByServer { .. });
        let mut attempts = lock(&self.attempts);
        let on_connection =
            attempts.get_mut(&id).into_iter().flatten().filter(|attempt| attempt.connection == connection);
        let Some(attempt) = on_connection.last() else { return false };
        let was_pending = attempt.is_pending();
        if was_pending || (!by_server && !attempt.is_closed_by_front_node()) {
            attempt.ends.push(end);
        }
        was_pending
    }

    /// Returns the sessions with a pending attempt on this connection.
    pub fn pending_on(&self, connection: u64) -> Vec<u64> {
        let is_pending = |attempt: &Attempt| attempt.connection == connection && attempt.is_pending();
        let attempts = lock(&self.attempts);
        attempts
            .iter()
            .filter(|(_, of_session)| of_session.iter().any(is_pending))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns all recorded attempts.
    pub fn attempts(&self) -> Attempts {
        lock(&self.attempts).clone()
    }
}
