//! Viewers' connections: accepted within a budget, read in fair turns, closed when they are unused.

mod accept;
mod draining;
mod messages;
mod socket;
mod sweep;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use beechloft::api::Micros;
use beechloft_front_node::{ConnectionUse, Input, ViewerConnection};
use mio::net::TcpStream;
use mio::{Registry, Token};

use crate::limits::SocketLimits;
use crate::tokens::viewer_conn;
use draining::DrainingConnections;
use socket::ViewerSocket;

/// The size of the buffer that connections are read into.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Tells what the state machine uses a connection for.
pub(crate) type UsageLookup<'a> = &'a dyn Fn(ViewerConnection) -> ConnectionUse;

/// What viewers' connections need from the loop.
pub(crate) struct ViewerContext<'a> {
    pub now: Micros,
    pub registry: &'a Registry,
    pub inputs: &'a mut VecDeque<Input>,
}

/// All viewers' connections.
pub(crate) struct ViewerConnections {
    connections: BTreeMap<Token, ViewerSocket>,
    draining: DrainingConnections,
    /// A connection that was accepted when there was no capacity; it gets the next.
    parked: Option<TcpStream>,
    limits: SocketLimits,
    read_buffer: Vec<u8>,
    /// Connections with work to be done that their sockets do not report.
    pending: BTreeSet<Token>,
    /// The listener may hold connections to accept.
    pub accepting: bool,
    /// The listener may hold connections for which there is no descriptor or no capacity. The next sweep tries again, as
    /// the listener reports new connections, not waiting ones.
    accept_blocked: bool,
}

impl ViewerConnections {
    pub fn new(limits: SocketLimits) -> Self {
        ViewerConnections {
            connections: BTreeMap::new(),
            draining: DrainingConnections::default(),
            parked: None,
            limits,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            pending: BTreeSet::new(),
            accepting: false,
            accept_blocked: false,
        }
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn has(&self, token: Token) -> bool {
        self.connections.contains_key(&token) || self.draining.has(token)
    }

    /// Closes a connection: its last bytes are written, and what still arrives is discarded for a while. Answers in its
    /// write buffer still count as sent: they leave first, or can't leave at all.
    pub fn close(&mut self, token: Token, context: &mut ViewerContext<'_>) {
        let Some(connection) = self.remove(token, context) else { return };
        // There are no descriptors for hundreds of these: past a part of them the oldest goes.
        if self.draining.len() >= (self.limits.max_viewer_connections / 4).max(1) {
            self.draining.close_oldest(context.registry);
        }
        self.draining.add(token, connection.stream, context.now + self.limits.drain_timeout);
        self.advance_draining(token, context.registry);
    }

    /// Closes a connection at once: it is broken, or its client has gone, or nothing of it is unread and nothing unsent.
    fn close_at_once(&mut self, token: Token, context: &mut ViewerContext<'_>) {
        if let Some(mut connection) = self.remove(token, context) {
            let _ = context.registry.deregister(&mut connection.stream.socket);
        }
    }

    fn remove(&mut self, token: Token, context: &mut ViewerContext<'_>) -> Option<ViewerSocket> {
        let connection = self.connections.remove(&token)?;
        self.pending.remove(&token);
        if !connection.client_closed {
            context.inputs.push_back(Input::ViewerConnectionClosed(viewer_conn(token)));
        }
        context.inputs.extend(connection.unsent_answers().map(Input::AnswerUndelivered));
        Some(connection)
    }

    fn advance_draining(&mut self, token: Token, registry: &Registry) {
        self.draining.advance(token, self.limits.max_drain_bytes, &mut self.read_buffer, registry);
    }

    /// Whether connections wait to be accepted for want of a descriptor or of capacity.
    pub fn accept_blocked(&self) -> bool {
        self.accept_blocked
    }

    /// Whether there is work that no socket reports.
    pub fn has_pending_work(&self) -> bool {
        self.accepting || !self.pending.is_empty()
    }

    /// Whether anything that arrived waits to be handled or read.
    pub fn has_unhandled(&self) -> bool {
        self.parked.is_some() || !self.pending.is_empty()
    }

    /// Bytes that wait to be written.
    pub fn pending_bytes(&self) -> usize {
        self.connections.values().map(|connection| connection.stream.pending_bytes()).sum()
    }
}
