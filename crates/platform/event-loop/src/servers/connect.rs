//! Connects to media servers, and determines from failed connects whether a media server is lost.

use std::io::{self, ErrorKind};

use beechloft_front_node::{AttemptFailure, Input, ServerIncarnation};
use mio::net::TcpStream;
use mio::{Interest, Token};

use super::connection::ServerConnection;
use super::{ServerConnections, ServerContext};
use crate::buffered_stream::BufferedStream;

/// Reason for which a connection to a media server was not established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectFailure {
    /// The host of the media server refused the connection, as no process listens on the port.
    Refused,
    /// The connect timed out, or the network reported an error.
    Unreachable,
}

impl ConnectFailure {
    pub fn from_error(error: &io::Error) -> ConnectFailure {
        if error.kind() == ErrorKind::ConnectionRefused {
            ConnectFailure::Refused
        } else {
            ConnectFailure::Unreachable
        }
    }
}

/// Returns whether an error of `connect` has a local cause, for example a lack of file descriptors or ports, and is
/// therefore not evidence against the media server.
fn is_local_error(error: &io::Error) -> bool {
    let remote = [
        ErrorKind::ConnectionRefused,
        ErrorKind::ConnectionReset,
        ErrorKind::ConnectionAborted,
        ErrorKind::HostUnreachable,
        ErrorKind::NetworkUnreachable,
        ErrorKind::TimedOut,
    ];
    !remote.contains(&error.kind())
}

impl ServerConnections {
    /// Starts to connect to an incarnation.
    ///
    /// # Errors
    /// Returns the reason if no connect was started. A failure of the media server has already been reported.
    pub(super) fn connect(
        &mut self,
        incarnation: ServerIncarnation,
        context: &mut ServerContext<'_>,
    ) -> Result<Token, AttemptFailure> {
        if self.connections.len() >= self.limits.max_server_connections && !self.evict_idle(context) {
            return Err(AttemptFailure::NotSent);
        }
        let state = self.incarnations.get_mut(&incarnation).ok_or(AttemptFailure::NotSent)?;
        match TcpStream::connect(state.addr) {
            Ok(socket) => self.add(socket, incarnation, context),
            Err(e) if is_local_error(&e) => {
                state.reconnect_at = context.now + self.limits.reconnect_interval;
                Err(AttemptFailure::NotSent)
            }
            Err(e) => {
                self.connect_failed(incarnation, ConnectFailure::from_error(&e), context);
                Err(AttemptFailure::NoConnection)
            }
        }
    }

    fn add(
        &mut self,
        mut socket: TcpStream,
        incarnation: ServerIncarnation,
        context: &mut ServerContext<'_>,
    ) -> Result<Token, AttemptFailure> {
        let _ = socket.set_nodelay(true);
        let token = context.tokens.allocate();
        let interest = Interest::READABLE | Interest::WRITABLE;
        context.registry.register(&mut socket, token, interest).map_err(|_| AttemptFailure::NotSent)?;
        let stream = BufferedStream::new(socket, self.limits.server_write_buffer_bytes);
        let connect_by = context.now + self.limits.connect_timeout;
        self.connections.insert(token, ServerConnection::new(incarnation, stream, context.now, connect_by));
        Ok(token)
    }

    /// Closes the evictable connection that has been idle for longest. Returns whether there was one.
    fn evict_idle(&mut self, context: &mut ServerContext<'_>) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| self.is_evictable(connection));
        let oldest = idle.min_by_key(|(_, connection)| connection.last_used_at).map(|(token, _)| *token);
        let Some(token) = oldest else { return false };
        self.read_and_close(token, context);
        true
    }

    fn is_evictable(&self, connection: &ServerConnection) -> bool {
        let incarnation = connection.incarnation;
        let keep_connected = self.incarnations.get(&incarnation).is_some_and(|state| state.keep_connected);
        connection.is_idle()
            && connection.stream.pending_bytes() == 0
            && (!keep_connected || self.connection_count(incarnation) > 1)
    }

    pub(super) fn connection_count(&self, incarnation: ServerIncarnation) -> usize {
        self.connections.values().filter(|connection| connection.incarnation == incarnation).count()
    }

    /// Handles a failed connect, and reports the incarnation as lost if the failure proves it.
    ///
    /// A refused connect proves that the process has ended. A host that has failed does not respond, so unreachability
    /// counts as a loss after `unreachable_timeout`, or immediately if the endpoint list does not contain the media
    /// server any more. A network partition of that length is therefore treated as a loss as well, even if it heals.
    pub(super) fn connect_failed(
        &mut self,
        incarnation: ServerIncarnation,
        failure: ConnectFailure,
        context: &mut ServerContext<'_>,
    ) {
        let Some(state) = self.incarnations.get_mut(&incarnation) else { return };
        state.reconnect_at = context.now + self.limits.reconnect_interval;
        let refused = failure == ConnectFailure::Refused;
        if refused {
            state.discard_unsent();
            self.connection_refused |= !state.suspected && state.close_by.is_none();
        }
        let unreachable_since = *state.unreachable_since.get_or_insert(context.now);
        let unreachable_for = context.now - unreachable_since;
        if refused || state.suspected || unreachable_for >= self.limits.unreachable_timeout {
            context.inputs.push_back(Input::ServerDown(incarnation));
        }
    }
}
