//! Connections to media servers, by incarnation: one start of one media server.

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

/// The size of the buffer that connections are read into.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// All connections to media servers.
pub(crate) struct ServerConnections {
    connections: BTreeMap<Token, ServerConnection>,
    incarnations: BTreeMap<ServerIncarnation, IncarnationState>,
    /// The connection on which each session's set-up was sent.
    session_connections: BTreeMap<CallId, Token>,
    limits: SocketLimits,
    read_buffer: Vec<u8>,
    /// A media server on the list has refused a connection.
    connection_refused: bool,
}

/// What connections to media servers need from the loop.
pub(crate) struct ServerContext<'a> {
    pub now: Micros,
    pub registry: &'a Registry,
    pub tokens: &'a mut TokenAllocator,
    pub inputs: &'a mut VecDeque<Input>,
    pub viewers: &'a mut ViewerConnections,
}

impl ServerContext<'_> {
    /// Whether the set-up may be sent as of now: its viewer waits for it, and it is not too late.
    fn may_send(&mut self, set_up: &SetUp) -> bool {
        let mut viewer_context =
            ViewerContext { now: self.now, registry: self.registry, inputs: self.inputs };
        self.now <= set_up.send_by && self.viewers.waits_for(set_up.viewer, set_up.id, &mut viewer_context)
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

    /// Whether a media server on the list has refused a connection since the last call.
    pub fn take_connection_refused(&mut self) -> bool {
        std::mem::take(&mut self.connection_refused)
    }

    /// Whether everything that was to be sent has left.
    pub fn all_sent(&self) -> bool {
        self.connections.values().all(ServerConnection::all_sent)
            && !self.incarnations.values().any(IncarnationState::has_unsent)
    }

    /// Adds an incarnation and its address.
    pub fn add_incarnation(&mut self, incarnation: ServerIncarnation, addr: SocketAddr, now: Micros) {
        self.incarnations.insert(incarnation, IncarnationState::new(addr, now));
    }

    /// Nothing belongs to an incarnation any more. What is still to be sent there, as the end of a session that nobody
    /// watches, leaves first, within a bound.
    pub fn forget(&mut self, incarnation: ServerIncarnation, context: &mut ServerContext<'_>) {
        if let Some(state) = self.incarnations.get_mut(&incarnation) {
            state.keep_connected = false;
            let close_by = context.now + self.limits.connect_timeout + self.limits.drain_timeout;
            state.close_by = Some(close_by);
        }
        self.close_if_forgotten(incarnation, context);
    }

    /// Closes what is left of a forgotten incarnation, except connections with something still to be sent.
    fn close_if_forgotten(&mut self, incarnation: ServerIncarnation, context: &mut ServerContext<'_>) {
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

    /// Sessions are established at an incarnation, or no longer: while they are, a connection to it is kept.
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

    /// The list does not contain an incarnation any more: one failure to reach it is enough to call it lost.
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

    /// Reads what has come on a connection that nothing needs, and closes it. The kernel would answer a close with unread
    /// bytes by RST, and discard what was written last.
    fn read_and_close(&mut self, token: Token, context: &mut ServerContext<'_>) {
        if self.connections.get(&token).is_some_and(ServerConnection::is_connected) {
            self.read(token, context);
        }
        self.close(token, AttemptFailure::ConnectionReset, context);
    }

    /// Closes a connection. Set-ups that are open on it have broken as `reason` says; those in its queue were never sent.
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
