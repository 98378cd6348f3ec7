//! Connections to media servers.
//!
//! They belong to an incarnation, which is one run of the process of a media server.

mod connect;
mod connection;
mod incarnation;
mod receive;
mod send;
mod sweep;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use beechloft::api::Micros;
use beechloft_front_node::{AttemptFailure, Input, ServerIncarnation};
use beechloft_protocol::CallId;
use mio::{Registry, Token};

use crate::limits::SocketLimits;
use crate::tokens::TokenAllocator;
use crate::viewers::{ViewerConnections, ViewerContext};
use connection::{Queued, ServerConnection};
use incarnation::IncarnationState;

pub(crate) use connection::SetUp;

/// Size of the buffer for reads from media servers.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Set of all connections to media servers.
pub(crate) struct ServerConnections {
    connections: BTreeMap<Token, ServerConnection>,
    incarnations: BTreeMap<ServerIncarnation, IncarnationState>,
    /// Connection on which the set-up of each session was sent.
    session_connections: BTreeMap<CallId, Token>,
    limits: SocketLimits,
    read_buffer: Vec<u8>,
    /// Whether a listed media server has refused a connection since the last check.
    connection_refused: bool,
}

/// Parts of the event loop that operations on connections to media servers use.
pub(crate) struct ServerContext<'a> {
    pub now: Micros,
    pub registry: &'a Registry,
    pub tokens: &'a mut TokenAllocator,
    pub inputs: &'a mut VecDeque<Input>,
    pub viewers: &'a mut ViewerConnections,
}

impl ServerContext<'_> {
    /// Returns whether a set-up may still be sent: its viewer waits for the answer, and `send_by` has not passed.
    fn may_send(&mut self, set_up: &SetUp) -> bool {
        let mut viewer_context =
            ViewerContext { now: self.now, registry: self.registry, inputs: self.inputs };
        self.now <= set_up.send_by
            && self.viewers.is_awaiting_answer(set_up.viewer, set_up.id, &mut viewer_context)
    }
}

impl ServerConnections {
    pub fn new(limits: SocketLimits) -> Self {
        ServerConnections {
            connections: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            session_connections: BTreeMap::new(),
            limits,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            connection_refused: false,
        }
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether a listed media server has refused a connection since the last call.
    pub fn take_connection_refused(&mut self) -> bool {
        std::mem::take(&mut self.connection_refused)
    }

    /// Returns whether no line is queued or buffered.
    pub fn all_sent(&self) -> bool {
        self.connections.values().all(ServerConnection::all_sent)
            && !self.incarnations.values().any(IncarnationState::has_unsent)
    }

    /// Adds an incarnation with its address.
    pub fn add_incarnation(&mut self, incarnation: ServerIncarnation, addr: SocketAddr, now: Micros) {
        self.incarnations.insert(incarnation, IncarnationState::new(addr, now));
    }

    /// Removes an incarnation without sessions.
    ///
    /// Pending lines, for example the release of a session without viewers, are sent first, within a bounded time.
    pub fn remove_incarnation(&mut self, incarnation: ServerIncarnation, context: &mut ServerContext<'_>) {
        if let Some(state) = self.incarnations.get_mut(&incarnation) {
            state.keep_connected = false;
            let close_by = context.now + self.limits.connect_timeout + self.limits.drain_timeout;
            state.close_by = Some(close_by);
        }
        self.close_if_removed(incarnation, context);
    }

    /// Closes the connections of a removed incarnation, except those with unsent data before the time limit.
    fn close_if_removed(&mut self, incarnation: ServerIncarnation, context: &mut ServerContext<'_>) {
        let Some(close_by) = self.incarnations.get(&incarnation).and_then(|i| i.close_by) else { return };
        let overdue = context.now >= close_by;
        for token in self.tokens_where(|c| c.incarnation == incarnation && (overdue || c.all_sent())) {
            self.read_and_close(token, context);
        }
        let has_unsent =
            self.incarnations.get_mut(&incarnation).is_some_and(|i| i.has_current_unsent(context.now));
        if overdue || !(has_unsent || self.has_connection(incarnation)) {
            self.incarnations.remove(&incarnation);
        }
    }

    /// Sets whether an incarnation has established sessions, and thus needs a connection at all times.
    pub fn set_keep_connected(
        &mut self,
        incarnation: ServerIncarnation,
        keep: bool,
        context: &mut ServerContext<'_>,
    ) {
        let Some(state) = self.incarnations.get_mut(&incarnation) else { return };
        state.keep_connected = keep;
        if keep && !self.has_connection(incarnation) {
            let _ = self.connect(incarnation, context);
        }
    }

    /// Marks an incarnation that the endpoint list does not contain any more. One failed connect is then enough to
    /// report it as lost.
    pub fn suspect(&mut self, incarnation: ServerIncarnation, context: &mut ServerContext<'_>) {
        let Some(state) = self.incarnations.get_mut(&incarnation) else { return };
        state.suspected = true;
        if state.keep_connected {
            let _ = self.connect(incarnation, context);
        }
    }

    fn has_connection(&self, incarnation: ServerIncarnation) -> bool {
        self.connections.values().any(|connection| connection.incarnation == incarnation)
    }

    fn tokens_where(&self, matches: impl Fn(&ServerConnection) -> bool) -> Vec<Token> {
        let matching = self.connections.iter().filter(|(_, connection)| matches(connection));
        matching.map(|(token, _)| *token).collect()
    }

    /// Reads an unused connection and closes it.
    ///
    /// The kernel sends RST if a socket with unread data is closed, which discards data that was written last.
    fn read_and_close(&mut self, token: Token, context: &mut ServerContext<'_>) {
        if self.connections.get(&token).is_some_and(ServerConnection::is_connected) {
            self.read(token, context);
        }
        self.close(token, AttemptFailure::ConnectionReset, context);
    }

    /// Closes a connection. The attempts that were sent on it fail with `reason`. Those in its queue count as not sent
    /// if the connection was reset.
    fn close(&mut self, token: Token, reason: AttemptFailure, context: &mut ServerContext<'_>) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let _ = context.registry.deregister(&mut connection.stream.socket);
        for id in connection.open {
            context.inputs.push_back(Input::AttemptFailed(connection.incarnation, id, reason));
        }
        let queue_reason =
            if reason == AttemptFailure::ConnectionReset { AttemptFailure::NotSent } else { reason };
        for queued in connection.queue {
            match queued {
                Queued::SetUp(set_up) => {
                    context.inputs.push_back(Input::AttemptFailed(
                        connection.incarnation,
                        set_up.id,
                        queue_reason,
                    ));
                }
                Queued::Line(line) => self.send_or_retain(connection.incarnation, line, context),
            }
        }
    }
}
