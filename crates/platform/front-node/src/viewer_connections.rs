//! Viewers' connections, and releases of established sessions that wait for one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use beechloft::api::Micros;
use beechloft_protocol::CallId;
use beechloft_protocol::viewer::ToViewer;

use crate::io::{Output, ViewerConnection};

/// How long a release waits for a connection.
const RELEASE_RETENTION: Micros = Micros(10_000_000);
/// The maximum of waiting releases; the oldest is dropped first.
const MAX_QUEUED_RELEASES: usize = 4096;

/// What a viewer's connection is used for, the least important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionUse {
    /// Nothing yet, or only malformed or rejected set-ups.
    None,
    /// It carried the answer of an established session: others can be released on it.
    Answered,
    /// Sessions that were set up on it are established.
    Established,
    /// A set-up on it waits for its answer.
    Pending,
}

#[derive(Debug, Default)]
struct ConnectionState {
    /// Set-ups that wait for their answers.
    pending: BTreeSet<CallId>,
    /// How many established sessions were set up on it.
    established: u32,
    /// A session that was set up on it was established once.
    answered: bool,
}

#[derive(Debug)]
struct QueuedRelease {
    since: Micros,
    message: ToViewer,
}

/// Viewers' connections on which a set-up was received, and releases that wait for one.
#[derive(Debug, Default)]
pub(crate) struct ViewerConnections {
    connections: BTreeMap<ViewerConnection, ConnectionState>,
    queued: VecDeque<QueuedRelease>,
}

impl ViewerConnections {
    pub fn connection_use(&self, connection: ViewerConnection) -> ConnectionUse {
        match self.connections.get(&connection) {
            Some(state) if !state.pending.is_empty() => ConnectionUse::Pending,
            Some(state) if state.established > 0 => ConnectionUse::Established,
            Some(state) if state.answered => ConnectionUse::Answered,
            _ => ConnectionUse::None,
        }
    }

    /// A set-up on the connection waits for its answer.
    pub fn add_pending(&mut self, connection: ViewerConnection, id: CallId) {
        self.connections.entry(connection).or_default().pending.insert(id);
    }

    /// A set-up on the connection waits no longer.
    pub fn remove_pending(&mut self, connection: ViewerConnection, id: CallId) {
        if let Some(state) = self.connections.get_mut(&connection) {
            state.pending.remove(&id);
        }
    }

    /// The connection is closed; returns the set-ups that waited on it.
    pub fn remove(&mut self, connection: ViewerConnection) -> BTreeSet<CallId> {
        self.connections.remove(&connection).map(|state| state.pending).unwrap_or_default()
    }

    /// Sends the end of an established session on the connection of its set-up if it is open, else on the newest that
    /// carried the answer of an established session, else on the next that does. A set-up alone does not make a
    /// connection fit for it: a client that sends malformed ones would receive the message in the viewer's place.
    pub fn release(
        &mut self,
        now: Micros,
        connection: ViewerConnection,
        message: ToViewer,
        outputs: &mut Vec<Output>,
    ) {
        let own = Some(connection).filter(|own| self.connections.contains_key(own));
        match own.or_else(|| self.newest_answered()) {
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
        self.queued.push_back(QueuedRelease { since: now, message });
    }

    /// A session that was set up on the connection is established: releases that waited are sent on it.
    pub fn session_established(&mut self, connection: ViewerConnection, outputs: &mut Vec<Output>) {
        for release in self.queued.drain(..) {
            outputs.push(Output::SendToViewer(connection, release.message));
        }
        let state = self.connections.entry(connection).or_default();
        state.answered = true;
        state.established += 1;
    }

    /// An established session that was set up on the connection ended.
    pub fn session_ended(&mut self, connection: ViewerConnection) {
        if let Some(state) = self.connections.get_mut(&connection) {
            state.established = state.established.saturating_sub(1);
        }
    }

    /// Drops releases that waited too long: their viewers have left by then.
    pub fn expire(&mut self, now: Micros) {
        while self.queued.front().is_some_and(|release| now - release.since > RELEASE_RETENTION) {
            self.queued.pop_front();
        }
    }

    pub fn queued_releases(&self) -> usize {
        self.queued.len()
    }
}
