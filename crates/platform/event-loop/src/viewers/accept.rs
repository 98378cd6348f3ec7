//! Accepts viewers' connections, and evicts others if there is no capacity.

use std::io::{self, ErrorKind};

use beechloft_front_node::ConnectionUse;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};

use super::socket::ViewerSocket;
use super::{UsageLookup, ViewerConnections, ViewerContext};
use crate::buffered_stream::BufferedStream;
use crate::tokens::{TokenAllocator, viewer_connection};

/// Number of connections that one iteration of the loop accepts at most.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;

impl ViewerConnections {
    /// Accepts connections, and evicts the least useful one for each that exceeds the capacity.
    ///
    /// The eviction bounds the effect of clients that open hundreds of connections without sending requests, and frees a
    /// file descriptor if `accept` fails because none is left. Without a listener, only a parked connection is added.
    pub fn accept(
        &mut self,
        listener: Option<&TcpListener>,
        tokens: &mut TokenAllocator,
        usage: UsageLookup<'_>,
        context: &mut ViewerContext<'_>,
    ) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let socket = match self.next_accepted(listener) {
                Ok(socket) => socket,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                    continue;
                }
                Err(e) => return self.handle_accept_error(&e, usage, context),
            };
            // Evicting before `accept` could close a connection although none arrives. Evicting after adding this one
            // would close this one, as it has carried no request.
            if self.is_full() && !self.evict_least_useful(usage, context) {
                // All other connections wait for an answer. This one may already have sent a request, so it is parked
                // until the next sweep.
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

    /// Handles an error of `accept`: the listen queue is empty or, most likely, no file descriptor is left. In the latter
    /// case a connection is evicted, and the next iteration accepts again.
    fn handle_accept_error(
        &mut self,
        error: &io::Error,
        usage: UsageLookup<'_>,
        context: &mut ViewerContext<'_>,
    ) {
        let out_of_descriptors = error.kind() != ErrorKind::WouldBlock;
        self.accepting = out_of_descriptors && self.evict_least_useful(usage, context);
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

    /// Closes the least useful connection, and among equally useful ones the one that has been idle for longest. Returns
    /// whether there was one.
    ///
    /// The order keeps clients without requests from displacing those with sessions, which must learn of releases. A
    /// connection with an open or unread set-up is never evicted.
    fn evict_least_useful(&mut self, usage: UsageLookup<'_>, context: &mut ViewerContext<'_>) -> bool {
        if self.draining.close_oldest(context.registry) {
            return true;
        }
        for token in self.closable_by_usefulness(usage) {
            self.read_ahead(token, context);
            match self.connections.get(&token) {
                // The read has found the connection closed by its client.
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

    /// Returns the connections without an open set-up, the least useful first.
    fn closable_by_usefulness(&self, usage: UsageLookup<'_>) -> Vec<Token> {
        let mut ranked: Vec<_> = self
            .connections
            .iter()
            .map(|(&token, c)| {
                (usage(viewer_connection(token)), c.has_valid_request, c.last_message_at, token)
            })
            .filter(|(usage, ..)| *usage != ConnectionUse::Pending)
            .collect();
        ranked.sort();
        ranked.into_iter().map(|(_, _, _, token)| token).collect()
    }
}
