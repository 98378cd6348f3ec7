//! Draining of connections that this side closes.
//!
//! The buffered bytes of a connection are written and its received data is discarded before the socket is closed. The
//! kernel sends RST if a socket with unread data is closed, which destroys answers that were written but not yet read
//! by the client.

use std::collections::BTreeMap;
use std::net::Shutdown;

use beechloft::api::Micros;
use mio::{Registry, Token};

use crate::buffered_stream::{BufferedStream, ReadOutcome};

struct DrainingConnection {
    stream: BufferedStream,
    write_side_shut: bool,
    discarded_bytes: usize,
    deadline: Micros,
}

/// Connections that are being drained, by token.
#[derive(Default)]
pub(super) struct DrainingConnections {
    connections: BTreeMap<Token, DrainingConnection>,
}

impl DrainingConnections {
    /// Adds a connection, which is closed at `deadline` at the latest.
    pub fn add(&mut self, token: Token, stream: BufferedStream, deadline: Micros) {
        let connection = DrainingConnection { stream, write_side_shut: false, discarded_bytes: 0, deadline };
        self.connections.insert(token, connection);
    }

    pub fn has(&self, token: Token) -> bool {
        self.connections.contains_key(&token)
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Continues to drain a connection that is ready or was just added, and closes it if it is drained.
    pub fn advance(&mut self, token: Token, max_bytes: usize, buffer: &mut [u8], registry: &Registry) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.advance(max_bytes, buffer) {
            self.close(token, registry);
        }
    }

    /// Closes the connections whose deadlines have passed.
    pub fn sweep(&mut self, now: Micros, registry: &Registry) {
        let is_expired = |(_, connection): &(&Token, &DrainingConnection)| now >= connection.deadline;
        let expired: Vec<Token> =
            self.connections.iter().filter(is_expired).map(|(token, _)| *token).collect();
        for token in expired {
            self.close(token, registry);
        }
    }

    /// Closes the oldest connection to free its file descriptor. Returns whether there was one.
    pub fn close_oldest(&mut self, registry: &Registry) -> bool {
        let oldest = self.connections.iter().min_by_key(|(_, connection)| connection.deadline);
        let Some(token) = oldest.map(|(token, _)| *token) else { return false };
        self.close(token, registry);
        true
    }

    fn close(&mut self, token: Token, registry: &Registry) {
        if let Some(mut connection) = self.connections.remove(&token) {
            let _ = registry.deregister(&mut connection.stream.socket);
        }
    }
}

impl DrainingConnection {
    /// Writes buffered bytes, shuts down the write side, and discards received data. Returns whether the connection is
    /// drained.
    fn advance(&mut self, max_bytes: usize, buffer: &mut [u8]) -> bool {
        if self.stream.flush().is_err() {
            return true;
        }
        if self.stream.pending_bytes() == 0 && !self.write_side_shut {
            self.write_side_shut = true;
            // An error means that the socket is not connected any more, which the next read reports.
            let _ = self.stream.socket.shutdown(Shutdown::Write);
        }
        while self.discarded_bytes < max_bytes {
            match self.stream.read(buffer) {
                ReadOutcome::Data(count) => self.discarded_bytes += count,
                ReadOutcome::WouldBlock => return false,
                ReadOutcome::Closed => return true,
            }
        }
        // The limit on discarded data bounds the drain if the client keeps sending.
        true
    }
}
