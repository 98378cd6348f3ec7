//! Connections that this side has closed: their last bytes are written, what still arrives is read and discarded, and only
//! then is the socket closed.
//!
//! The kernel answers a close with unread bytes by RST, which destroys answers that were written and that the client has not
//! read yet.

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

/// The connections that are being drained, by token.
#[derive(Default)]
pub(super) struct DrainingConnections {
    connections: BTreeMap<Token, DrainingConnection>,
}

impl DrainingConnections {
    /// Takes over a connection.
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

    /// Continues with a connection whose socket is ready, or that was just added.
    pub fn advance(&mut self, token: Token, max_bytes: usize, buffer: &mut [u8], registry: &Registry) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.advance(max_bytes, buffer) {
            self.close(token, registry);
        }
    }

    /// Closes the connections past their deadlines.
    pub fn sweep(&mut self, now: Micros, registry: &Registry) {
        let is_late = |(_, connection): &(&Token, &DrainingConnection)| now >= connection.deadline;
        let late: Vec<Token> = self.connections.iter().filter(is_late).map(|(token, _)| *token).collect();
        for token in late {
            self.close(token, registry);
        }
    }

    /// Closes the oldest connection to free its descriptor; whether there was one.
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
    /// Writes, shuts the write side, reads and discards; whether the connection is done.
    fn advance(&mut self, max_bytes: usize, buffer: &mut [u8]) -> bool {
        if self.stream.flush().is_err() {
            return true;
        }
        if self.stream.pending_bytes() == 0 && !self.write_side_shut {
            self.write_side_shut = true;
            // If it is no longer connected, the next read shows that.
            let _ = self.stream.socket.shutdown(Shutdown::Write);
        }
        while self.discarded_bytes < max_bytes {
            match self.stream.read(buffer) {
                ReadOutcome::Data(count) => self.discarded_bytes += count,
                ReadOutcome::WouldBlock => return false,
                ReadOutcome::Closed => return true,
            }
        }
        // A client that goes on sending is not drained for ever.
        true
    }
}
