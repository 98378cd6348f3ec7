//! Connects to media servers, and decides what a failed connect means.

use std::io::{self, ErrorKind};

use beechloft_front_node::{Broken, Input, Lane};
use mio::net::TcpStream;
use mio::{Interest, Token};

use super::connection::ServerConnection;
use super::{ServerConnections, ServerContext};
use crate::buffered_stream::BufferedStream;

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
    pub(super) fn connect(&mut self, lane: Lane, context: &mut ServerContext<'_>) -> Result<Token, Broken> {
        if self.connections.len() >= self.limits.max_server_connections && !self.make_capacity(context) {
            return Err(Broken::Unsent);
        }
        let incarnation = self.incarnations.get_mut(&lane).ok_or(Broken::Unsent)?;
        match TcpStream::connect(incarnation.addr) {
            Ok(socket) => self.add(socket, lane, context),
            Err(e) if is_local(&e) => {
                incarnation.reconnect_at = context.now + self.limits.reconnect_interval;
                Err(Broken::Unsent)
            }
            Err(e) => {
                self.connect_failed(lane, e.kind() == ErrorKind::ConnectionRefused, context);
                Err(Broken::NoConnection)
            }
        }
    }

    fn add(
        &mut self,
        mut socket: TcpStream,
        lane: Lane,
        context: &mut ServerContext<'_>,
    ) -> Result<Token, Broken> {
        let _ = socket.set_nodelay(true);
        let token = context.tokens.allocate();
        let interest = Interest::READABLE | Interest::WRITABLE;
        context.registry.register(&mut socket, token, interest).map_err(|_| Broken::Unsent)?;
        let stream = BufferedStream::new(socket, self.limits.server_write_buffer_bytes);
        let connect_by = context.now + self.limits.connect_timeout;
        self.connections.insert(token, ServerConnection::new(lane, stream, context.now, connect_by));
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
        let lane = connection.lane;
        let held = self.incarnations.get(&lane).is_some_and(|incarnation| incarnation.held);
        connection.is_idle()
            && connection.stream.pending_bytes() == 0
            && (!held || self.connection_count(lane) > 1)
    }

    pub(super) fn connection_count(&self, lane: Lane) -> usize {
        self.connections.values().filter(|connection| connection.lane == lane).count()
    }

    /// A connect has failed. A refusal proves that the process is gone. A timeout proves it only over a while, unless the
    /// list does not contain the media server any more: a machine that vanishes sends nothing. A network partition that
    /// lasts that long and heals is taken for a loss as well.
    pub(super) fn connect_failed(&mut self, lane: Lane, refused: bool, context: &mut ServerContext<'_>) {
        let Some(incarnation) = self.incarnations.get_mut(&lane) else { return };
        incarnation.reconnect_at = context.now + self.limits.reconnect_interval;
        if refused {
            incarnation.discard_unsent();
            self.connection_refused |= !incarnation.suspected && incarnation.close_by.is_none();
        }
        let unreachable_since = *incarnation.unreachable_since.get_or_insert(context.now);
        let unreachable_for = context.now - unreachable_since;
        if refused || incarnation.suspected || unreachable_for >= self.limits.unreachable_timeout {
            context.inputs.push_back(Input::Lost(lane));
        }
    }
}
