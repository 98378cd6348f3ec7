//! Connections of viewers, and the queue of releases that wait for a connection.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use beechloft::api::Micros;
use beechloft_protocol::CallId;
use beechloft_protocol::viewer::ToViewer;

use crate::io::{Output, ViewerConnection};

/// Time for which a release waits for a connection.
const RELEASE_RETENTION: Micros = Micros(10_000_000);
/// Maximum number of queued releases. If the queue is full, the oldest release is dropped.
const MAX_QUEUED_RELEASES: usize = 4096;

/// Use of a viewer's connection, in ascending order of importance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionUse {
    /// The connection has carried nothing, or only malformed or rejected set-ups.
    None,
    /// The connection carried the answer of an established session, so it can carry releases of other sessions.
    Answered,
    /// At least one session that was set up on the connection is established.
    Established,
    /// At least one set-up on the connection is waiting for its answer.
    Pending,
}

/// State of a viewer's connection.
#[derive(Debug, Default)]
struct ConnectionState {
    /// Set-ups that are waiting for their answers.
    pending: BTreeSet<CallId>,
    /// Number of established sessions that were set up on the connection.
    established: u32,
    /// Whether any session that was set up on the connection has been established.
    answered: bool,
}

/// A release that waits for a connection.
#[derive(Debug)]
struct QueuedRelease {
    queued_at: Micros,
    message: ToViewer,
}

/// Connections of viewers on which a set-up was received, and releases that wait for a connection.
#[derive(Debug, Default)]
pub(crate) struct ViewerConnections {
    connections: BTreeMap<ViewerConnection, ConnectionState>,
    queued: VecDeque<QueuedRelease>,
}

impl ViewerConnections {
    /// Returns the most important use of a connection.
    pub fn connection_use(&self, connection: ViewerConnection) -> ConnectionUse {
        match self.connections.get(&connection) {
            Some(state) if !state.pending.is_empty() => ConnectionUse::Pending,
            Some(state) if state.established > 0 => ConnectionUse::Established,
            Some(state) if state.answered => ConnectionUse::Answered,
            _ => ConnectionUse::None,
        }
    }

    /// Records that a set-up on the connection is waiting for its answer.
    pub fn add_pending(&mut self, connection: ViewerConnection, id: CallId) {
        self.connections.entry(connection).or_default().pending.insert(id);
    }

    /// Records that a set-up on the connection is no longer waiting.
    pub fn remove_pending(&mut self, connection: ViewerConnection, id: CallId) {
        if let Some(state) = self.connections.get_mut(&connection) {
            state.pending.remove(&id);
        }
    }

    /// Removes a closed connection, and returns the set-ups that were waiting on it.
    pub fn remove(&mut self, connection: ViewerConnection) -> BTreeSet<CallId> {
        self.connections.remove(&connection).map(|state| state.pending).unwrap_or_default()
    }

    /// Sends the release of an established session.
    ///
    /// The release uses the connection of the session's set-up if that is open, otherwise the newest connection that
    /// carried the answer of an established session. If there is none, the release waits for the next session that is
    /// established. A set-up alone does not qualify a connection: a client that sends malformed set-ups would receive
    /// the release instead of the viewer.
    pub fn release(
        &mut self,
        now: Micros,
        connection: ViewerConnection,
        message: ToViewer,
        outputs: &mut Vec<Output>,
    ) {
        let open_connection = Some(connection).filter(|candidate| self.connections.contains_key(candidate));
        match open_connection.or_else(|| self.newest_answered()) {
            Some(chosen) => outputs.push(Output::SendToViewer(chosen, message)),
            None => self.queue(now, message),
        }
    }

    fn newest_answered(&self) -> Option<ViewerConnection> {
        self.connections.iter().rev().find(|(_, state)| state.answered).map(|(connection, _)| *connection)
    }

    fn queue(&mut self, now: Micros, message: ToViewer) {
        if self.queued.len() >= MAX_QUEUED_RELEASES {
            self.queued.pop_front();
        }
        self.queued.push_back(QueuedRelease { queued_at: now, message });
    }

    /// Records that a session that was set up on the connection is established, and sends all queued releases on it.
    pub fn session_established(&mut self, connection: ViewerConnection, outputs: &mut Vec<Output>) {
        for release in self.queued.drain(..) {
            outputs.push(Output::SendToViewer(connection, release.message));
        }
        let state = self.connections.entry(connection).or_default();
        state.answered = true;
        state.established += 1;
    }

    /// Records that an established session that was set up on the connection ended.
    pub fn session_ended(&mut self, connection: ViewerConnection) {
        if let Some(state) = self.connections.get_mut(&connection) {
            state.established = state.established.saturating_sub(1);
        }
    }

    /// Returns the number of established sessions that were set up or handed over on the connection.
    pub fn established_on(&self, connection: ViewerConnection) -> usize {
        self.connections.get(&connection).map_or(0, |state| state.established as usize)
    }

    /// Drops releases that waited longer than [`RELEASE_RETENTION`], because their viewers have left by then.
    pub fn expire(&mut self, now: Micros) {
        while self.queued.front().is_some_and(|release| now - release.queued_at > RELEASE_RETENTION) {
            self.queued.pop_front();
        }
    }

    /// Returns the number of releases that wait for a connection.
    pub fn queued_releases(&self) -> usize {
        self.queued.len()
    }
}
