//! Accepts viewers' connections, and makes capacity for them.

use std::io::{self, ErrorKind};

use beechloft_front_node::ConnectionUse;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};

use super::socket::ViewerSocket;
use super::{UsageLookup, ViewerConnections, ViewerContext};
use crate::buffered_stream::BufferedStream;
use crate::tokens::{TokenAllocator, viewer_conn};

/// Connections accepted in a turn of the loop at most.
const MAX_ACCEPTS_PER_TURN: usize = 64;

impl ViewerConnections {
    /// Accepts connections; past the budget the least useful one is closed for each. This bounds what clients can take that
    /// open hundreds of connections and send nothing, and an `accept` that fails for want of descriptors. Without a
    /// listener, only a connection that is accepted and waits for capacity.
    pub fn accept(
        &mut self,
        listener: Option<&TcpListener>,
        tokens: &mut TokenAllocator,
        usage: UsageLookup<'_>,
        context: &mut ViewerContext<'_>,
    ) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let socket = match self.next_accepted(listener) {
                Ok(socket) => socket,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                    continue;
                }
                Err(e) => return self.handle_accept_error(&e, usage, context),
            };
            // Capacity is made only now, as there may be no further connection: this one has proven nothing and would be
            // the first to be closed.
            if self.is_full() && !self.make_capacity(usage, context) {
                // All others are owed an answer. This one may have sent a request already: it waits for capacity, until
                // the next sweep.
                self.parked = Some(socket);
                self.accepting = false;
                self.accept_blocked = true;
                return;
            }
            self.add(socket, tokens, context);
        }
    }

    fn next_accepted(&mut self, listener: Option<&TcpListener>) -> io::Result<TcpStream> {
        if let Some(socket) = self.parked.take() {
            return Ok(socket);
        }
        let listener = listener.ok_or(ErrorKind::WouldBlock)?;
        listener.accept().map(|(socket, _)| socket)
    }

    /// No connection waits, or there is no descriptor, most likely: one is freed then, and the next turn goes on.
    fn handle_accept_error(
        &mut self,
        error: &io::Error,
        usage: UsageLookup<'_>,
        context: &mut ViewerContext<'_>,
    ) {
        let out_of_descriptors = error.kind() != ErrorKind::WouldBlock;
        self.accepting = out_of_descriptors && self.make_capacity(usage, context);
        self.accept_blocked = out_of_descriptors && !self.accepting;
    }

    fn is_full(&self) -> bool {
        self.connections.len() + self.draining.len() >= self.limits.max_viewer_connections
    }

    fn add(&mut self, mut socket: TcpStream, tokens: &mut TokenAllocator, context: &ViewerContext<'_>) {
        let _ = socket.set_nodelay(true);
        let token = tokens.allocate();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if context.registry.register(&mut socket, token, interest).is_err() {
            return;
        }
        let stream = BufferedStream::new(socket, self.limits.viewer_write_buffer_bytes);
        self.connections.insert(token, ViewerSocket::new(stream, context.now));
    }

    /// Closes the least useful connection, the longest idle one first, so that clients without requests do not displace
    /// those that are owed releases. Never one on which a set-up is open or has just come. Whether there was one.
    fn make_capacity(&mut self, usage: UsageLookup<'_>, context: &mut ViewerContext<'_>) -> bool {
        if self.draining.close_oldest(context.registry) {
            return true;
        }
        for token in self.closable_by_usefulness(usage) {
            self.read_ahead(token, context);
            match self.connections.get(&token) {
                // It has just closed by itself.
                None => return true,
                Some(connection) if connection.has_messages() => {}
                Some(_) => {
                    self.close_at_once(token, context);
                    return true;
                }
            }
        }
        false
    }

    /// Connections on which no set-up is open, the least useful first.
    fn closable_by_usefulness(&self, usage: UsageLookup<'_>) -> Vec<Token> {
        let mut ranked: Vec<_> = self
            .connections
            .iter()
            .map(|(&token, c)| (usage(viewer_conn(token)), c.proven, c.last_message_at, token))
            .filter(|(usage, ..)| *usage != ConnectionUse::Pending)
            .collect();
        ranked.sort();
        ranked.into_iter().map(|(_, _, _, token)| token).collect()
    }
}
