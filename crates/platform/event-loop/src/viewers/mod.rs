//! Viewers' connections.
//!
//! Their number is bounded, each iteration handles a bounded number of messages from each, and unused ones are closed.

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
use draining::DrainingConnections;
use socket::ViewerSocket;

/// Size of the buffer for reads from viewers' connections.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Function that returns what the state machine uses a connection for.
pub(crate) type UsageLookup<'a> = &'a dyn Fn(ViewerConnection) -> ConnectionUse;

/// Parts of the event loop that operations on viewers' connections use.
pub(crate) struct ViewerContext<'a> {
    pub now: Micros,
    pub registry: &'a Registry,
    pub inputs: &'a mut VecDeque<Input>,
}

/// Set of all viewers' connections.
pub(crate) struct ViewerConnections {
    connections: BTreeMap<Token, ViewerSocket>,
    draining: DrainingConnections,
    /// Connection that was accepted when there was no capacity. It is added as soon as there is.
    parked: Option<TcpStream>,
    limits: SocketLimits,
    read_buffer: Vec<u8>,
    /// Connections with pending work that the poll does not report.
    pending: BTreeSet<Token>,
    /// Whether the listen queue may contain connections to accept.
    pub accepting: bool,
    /// Whether accepting has stopped because no file descriptor or no capacity was available. The next sweep tries
    /// again, as the poll reports new connections only, and none that are already in the listen queue.
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

    /// Closes a connection gracefully: writes its buffered bytes, and discards received data for a bounded time.
    ///
    /// Answers that are not completely written to the socket yet are reported to the state machine as undelivered.
    pub fn close(&mut self, token: Token, context: &mut ViewerContext<'_>) {
        let Some(connection) = self.remove(token, context) else { return };
        // Draining connections may use only a part of the file descriptors. Beyond it the oldest is closed.
        if self.draining.len() >= (self.limits.max_viewer_connections / 4).max(1) {
            self.draining.close_oldest(context.registry);
        }
        self.draining.add(token, connection.stream, context.now + self.limits.drain_timeout);
        self.advance_draining(token, context.registry);
    }

    /// Closes a connection without draining it, because it is broken, its client has disconnected, or it has no unread or
    /// unsent data.
    fn close_at_once(&mut self, token: Token, context: &mut ViewerContext<'_>) {
        if let Some(mut connection) = self.remove(token, context) {
            let _ = context.registry.deregister(&mut connection.stream.socket);
        }
    }

    fn remove(&mut self, token: Token, context: &mut ViewerContext<'_>) -> Option<ViewerSocket> {
        self.mark_closed(token, context);
        let connection = self.connections.remove(&token)?;
        self.pending.remove(&token);
        context.inputs.extend(connection.unsent_answers().map(Input::AnswerUndelivered));
        Some(connection)
    }

    fn advance_draining(&mut self, token: Token, registry: &Registry) {
        self.draining.advance(token, self.limits.max_drain_bytes, &mut self.read_buffer, registry);
    }

    /// Returns whether accepting has stopped because no file descriptor or no capacity was available.
    pub fn accept_blocked(&self) -> bool {
        self.accept_blocked
    }

    /// Returns whether there is pending work that the poll does not report.
    pub fn has_pending_work(&self) -> bool {
        self.accepting || !self.pending.is_empty()
    }

    /// Returns whether received data is still to be read or handled.
    pub fn has_unhandled(&self) -> bool {
        self.parked.is_some() || !self.pending.is_empty()
    }

    /// Returns the number of bytes that are buffered and not written yet.
    pub fn pending_bytes(&self) -> usize {
        self.connections.values().map(|connection| connection.stream.pending_bytes()).sum()
    }
}
