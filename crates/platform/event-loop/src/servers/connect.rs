//! Connects to media servers, and decides what a failed connect means.

use std::io::{self, ErrorKind};

use beechloft_front_node::{AttemptFailure, Input, ServerIncarnation};
use mio::net::TcpStream;
use mio::{Interest, Token};

use super::connection::ServerConnection;
use super::{ServerConnections, ServerContext};
use crate::buffered_stream::BufferedStream;

/// Why a connection to a media server was not established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectFailure {
    /// The media server's machine refused it: no process listens there.
    Refused,
    /// Nothing came back, or the network reported an error.
    Unreachable,
}

impl ConnectFailure {
    pub fn of(error: &io::Error) -> ConnectFailure {
        if error.kind() == ErrorKind::ConnectionRefused {
            ConnectFailure::Refused
        } else {
            ConnectFailure::Unreachable
        }
    }
}

/// Whether an error of `connect` is this machine's own, as for want of descriptors or ports: it says nothing about the media
/// server.
fn is_local(error: &io::Error) -> bool {
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
    /// Begins a connection.
    ///
    /// # Errors
    /// Why none was begun; if the media server is the cause, that is handled already.
    pub(super) fn connect(
        &mut self,
        incarnation: ServerIncarnation,
        context: &mut ServerContext<'_>,
    ) -> Result<Token, AttemptFailure> {
        if self.connections.len() >= self.limits.max_server_connections && !self.make_capacity(context) {
            return Err(AttemptFailure::NotSent);
        }
        let state = self.incarnations.get_mut(&incarnation).ok_or(AttemptFailure::NotSent)?;
        match TcpStream::connect(state.addr) {
            Ok(socket) => self.add(socket, incarnation, context),
            Err(e) if is_local(&e) => {
                state.reconnect_at = context.now + self.limits.reconnect_interval;
                Err(AttemptFailure::NotSent)
            }
            Err(e) => {
                self.connect_failed(incarnation, ConnectFailure::of(&e), context);
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

    /// Closes the longest idle connection that nothing needs; whether there was one.
    fn make_capacity(&mut self, context: &mut ServerContext<'_>) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| self.is_spare(connection));
        let oldest = idle.min_by_key(|(_, connection)| connection.last_used_at).map(|(token, _)| *token);
        let Some(token) = oldest else { return false };
        self.read_and_close(token, context);
        true
    }

    fn is_spare(&self, connection: &ServerConnection) -> bool {
        let incarnation = connection.incarnation;
        let keep_connected = self.incarnations.get(&incarnation).is_some_and(|state| state.keep_connected);
        connection.is_idle()
            && connection.stream.pending_bytes() == 0
            && (!keep_connected || self.connection_count(incarnation) > 1)
    }

    pub(super) fn connection_count(&self, incarnation: ServerIncarnation) -> usize {
        self.connections.values().filter(|connection| connection.incarnation == incarnation).count()
    }

    /// A connect has failed. A refusal proves that the process is gone. A timeout proves it only over a while, unless the
    /// list does not contain the media server any more: a machine that vanishes sends nothing. A network partition that
    /// lasts that long and heals is taken for a loss as well.
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
