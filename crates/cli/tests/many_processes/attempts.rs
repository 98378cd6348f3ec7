//! Attempts at media servers, and whether two of one session were out at once: decided by what the sockets held, not by when
//! a thread of the fakes came to read it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use crate::recorder::lock;
use crate::sockets::{Connection, Snapshot, Sockets};

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The media server ended it: marked before it wrote anything.
    ByServer { order: u64 },
    /// The front node gave it up by a line that ends at this byte of the connection.
    GivenUp { position: u64 },
    /// The connection ended.
    ConnectionEnded,
}

/// A set-up that reached a media server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    pub server: usize,
    pub connection: u64,
    /// What had reached all connections of its front node as it was read.
    pub seen: Snapshot,
    /// In the order in which they were recorded. A give-up may be recorded behind an end by the media server that it
    /// crossed, and counts from its own time all the same.
    pub ends: Vec<AttemptEnd>,
}

impl Attempt {
    pub fn is_out(&self) -> bool {
        self.ends.is_empty()
    }

    fn is_closed_by_front_node(&self) -> bool {
        self.ends.iter().any(|end| !matches!(end, AttemptEnd::ByServer { .. }))
    }

    /// Whether this one had ended before the other was read.
    fn ended_before(&self, other: &Attempt) -> bool {
        let seen = &other.seen;
        let had_happened = |end: &AttemptEnd| match *end {
            AttemptEnd::ByServer { order } => order < seen.order,
            AttemptEnd::GivenUp { position } => seen.has(self.connection, position),
            AttemptEnd::ConnectionEnded => false,
        };
        self.ends.iter().any(had_happened) || seen.has_ended(self.connection)
    }

    /// Whether both were out at once. Neither has to be read first: a late reader has the earlier one last.
    pub fn overlaps(&self, other: &Attempt) -> bool {
        !self.ended_before(other) && !other.ended_before(self)
    }
}

/// All attempts by session.
pub type Attempts = BTreeMap<u64, Vec<Attempt>>;

/// The record of all attempts.
#[derive(Clone, Default)]
pub struct AttemptLog {
    pub sockets: Arc<Sockets>,
    attempts: Arc<Mutex<Attempts>>,
}

impl AttemptLog {
    /// Records a set-up that was read from this connection.
    pub fn begin(&self, server: usize, id: u64, node: usize, connection: &Connection) {
        connection.set_node(node);
        let still_out = self.connections_out(id);
        let seen = self.sockets.snapshot(node, &still_out);
        let attempt = Attempt { server, connection: connection.number, seen, ends: Vec::new() };
        lock(&self.attempts).entry(id).or_default().push(attempt);
    }

    /// The connections on which a session is out.
    fn connections_out(&self, id: u64) -> Vec<u64> {
        let attempts = lock(&self.attempts);
        attempts.get(&id).into_iter().flatten().filter(|a| a.is_out()).map(|a| a.connection).collect()
    }

    /// Records the end of the last set-up of a session on this connection; whether it was out until now.
    pub fn end(&self, id: u64, connection: u64, end: AttemptEnd) -> bool {
        let by_server = matches!(end, AttemptEnd::ByServer { .. });
        let mut attempts = lock(&self.attempts);
        let on_it = attempts.get_mut(&id).into_iter().flatten().filter(|a| a.connection == connection);
        let Some(attempt) = on_it.last() else { return false };
        let was_out = attempt.is_out();
        if was_out || (!by_server && !attempt.is_closed_by_front_node()) {
            attempt.ends.push(end);
        }
        was_out
    }

    /// The sessions that are out on this connection.
    pub fn out_on(&self, connection: u64) -> Vec<u64> {
        let is_out = |a: &Attempt| a.connection == connection && a.is_out();
        let attempts = lock(&self.attempts);
        attempts.iter().filter(|(_, of)| of.iter().any(is_out)).map(|(id, _)| *id).collect()
    }

    /// All that were recorded.
    pub fn attempts(&self) -> Attempts {
        lock(&self.attempts).clone()
    }
}
