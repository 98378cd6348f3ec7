//! Sends set-ups, abandoned attempts and lines about established sessions to media servers.

use beechloft::api::Micros;
use beechloft_front_node::{AttemptFailure, Input, ServerIncarnation};
use beechloft_protocol::CallId;
use mio::Token;

use super::connection::{PendingLine, Queued, ServerConnection, SetUp};
use super::{ServerConnections, ServerContext};

/// Maximum number of sessions whose connection is stored. Those of the oldest connection are dropped first.
const MAX_SESSION_CONNECTIONS: usize = 8192;

impl ServerConnections {
    /// Sends a set-up on a connection without other open set-ups, if enough file descriptors are available.
    ///
    /// A malformed answer or a reset fails all set-ups that are open on the same connection.
    pub fn send_set_up(
        &mut self,
        incarnation: ServerIncarnation,
        set_up: SetUp,
        context: &mut ServerContext<'_>,
    ) {
        if let Some(token) = self.idle_connection(incarnation, context) {
            return self.write_set_up(token, &set_up, context);
        }
        match self.connecting(incarnation, context) {
            Ok(token) => {
                if let Some(connection) = self.connections.get_mut(&token) {
                    connection.queue.push_back(Queued::SetUp(set_up));
                }
            }
            Err(reason) => self.send_on_least_loaded(incarnation, set_up, reason, context),
        }
    }

    /// Returns a connection that is being established and has an empty queue, or starts a new one.
    fn connecting(
        &mut self,
        incarnation: ServerIncarnation,
        context: &mut ServerContext<'_>,
    ) -> Result<Token, AttemptFailure> {
        let is_free = |c: &ServerConnection| c.incarnation == incarnation && !c.is_connected() && c.is_idle();
        let free = self.connections.iter().find(|(_, connection)| is_free(connection));
        if let Some((token, _)) = free {
            return Ok(*token);
        }
        if self.connection_count(incarnation) < self.limits.max_connections_per_server {
            return self.connect(incarnation, context);
        }
        Err(AttemptFailure::NotSent)
    }

    /// Sends a set-up on the connection with the fewest set-ups, as no exclusive one is available for `reason`.
    fn send_on_least_loaded(
        &mut self,
        incarnation: ServerIncarnation,
        set_up: SetUp,
        reason: AttemptFailure,
        context: &mut ServerContext<'_>,
    ) {
        let responsive =
            self.connections.iter_mut().filter(|(_, c)| c.incarnation == incarnation && !c.unresponsive);
        match responsive.min_by_key(|(_, c)| c.open.len() + c.queue.len()) {
            Some((_, connection)) if !connection.is_connected() => {
                connection.queue.push_back(Queued::SetUp(set_up));
            }
            Some((&token, _)) => self.write_set_up(token, &set_up, context),
            // A failed connect has been reported for the incarnation, but not for this set-up.
            None => context.inputs.push_back(Input::AttemptFailed(incarnation, set_up.id, reason)),
        }
    }

    /// Returns an established connection without an open set-up.
    ///
    /// The connection is read first, to find out whether the media server has closed it. A set-up that is sent on a
    /// closed connection would count as possibly executed.
    fn idle_connection(
        &mut self,
        incarnation: ServerIncarnation,
        context: &mut ServerContext<'_>,
    ) -> Option<Token> {
        let max_idle = self.limits.server_idle_timeout - Micros(self.limits.server_idle_timeout.0 / 10);
        let now = context.now;
        let is_idle = |c: &ServerConnection| {
            c.is_connected_to(incarnation) && !c.unresponsive && c.is_idle() && c.stream.pending_bytes() == 0
        };
        loop {
            let idle = self.connections.iter().filter(|(_, c)| is_idle(c) && now - c.last_used_at < max_idle);
            let token = idle.max_by_key(|(_, c)| c.last_used_at).map(|(token, _)| *token)?;
            self.read(token, context);
            // The read closes and removes a connection that the media server has closed. The next one is tried then.
            if self.connections.get(&token).is_some_and(is_idle) {
                return Some(token);
            }
        }
    }

    /// Sends a set-up on an established connection, if it may still be sent.
    pub(super) fn write_set_up(&mut self, token: Token, set_up: &SetUp, context: &mut ServerContext<'_>) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let id = set_up.id;
        if !context.may_send(set_up) {
            context.inputs.push_back(Input::AttemptFailed(
                connection.incarnation,
                id,
                AttemptFailure::NotSent,
            ));
            return;
        }
        connection.open.push(id);
        connection.last_used_at = context.now;
        let sent = connection.stream.send(&set_up.line);
        self.remember_session(id, token);
        if sent.is_err() {
            self.close(token, AttemptFailure::ConnectionReset, context);
        }
    }

    fn remember_session(&mut self, id: CallId, token: Token) {
        if self.session_connections.len() >= MAX_SESSION_CONNECTIONS {
            // Tokens increase, so the lowest one belongs to the oldest connection.
            let oldest = self.session_connections.iter().min_by_key(|(_, connection)| **connection);
            if let Some(oldest_id) = oldest.map(|(session, _)| *session) {
                self.session_connections.remove(&oldest_id);
            }
        }
        self.session_connections.insert(id, token);
    }

    /// Discards a set-up that no viewer waits for any more, unless it has been sent.
    pub fn discard_queued_set_up(
        &mut self,
        incarnation: ServerIncarnation,
        id: CallId,
        context: &mut ServerContext<'_>,
    ) {
        if self.remove_queued_set_up(incarnation, id) {
            context.inputs.push_back(Input::AttemptFailed(incarnation, id, AttemptFailure::NotSent));
        }
    }

    /// Removes a set-up from the queue of its connection. Returns whether it was queued.
    fn remove_queued_set_up(&mut self, incarnation: ServerIncarnation, id: CallId) -> bool {
        self.connections.values_mut().filter(|connection| connection.incarnation == incarnation).any(
            |connection| {
                let position = connection.queue.iter().position(|queued| queued.is_set_up(id));
                position.and_then(|position| connection.queue.remove(position)).is_some()
            },
        )
    }

    /// Stops waiting for the answer to a set-up, and sends `line` to cancel it.
    ///
    /// The connection is closed if `line` cannot be written immediately. `unresponsive` is true if the media server did
    /// not answer in time.
    pub fn abandon_attempt(
        &mut self,
        incarnation: ServerIncarnation,
        id: CallId,
        line: &[u8],
        unresponsive: bool,
        context: &mut ServerContext<'_>,
    ) {
        self.session_connections.remove(&id);
        if self.remove_queued_set_up(incarnation, id) {
            return;
        }
        let mut carrying =
            self.connections.iter_mut().filter(|(_, c)| c.incarnation == incarnation && c.open.contains(&id));
        let Some((&token, connection)) = carrying.next() else { return };
        connection.open.retain(|open| *open != id);
        connection.unresponsive |= unresponsive;
        connection.last_used_at = context.now;
        if connection.stream.send(line).is_err() || connection.stream.pending_bytes() > 0 {
            self.close(token, AttemptFailure::ConnectionReset, context);
        }
    }

    /// Sends a line about a session on the connection of its set-up, on any other established connection, or on a new
    /// one.
    pub fn send_line(
        &mut self,
        incarnation: ServerIncarnation,
        id: CallId,
        line: Vec<u8>,
        context: &mut ServerContext<'_>,
    ) {
        let pending = PendingLine { since: context.now, id, line };
        while let Some(token) = self.connection_for(incarnation, id) {
            // The line would be lost on a connection that the media server has closed.
            self.read(token, context);
            let Some(connection) = self.connections.get_mut(&token) else { continue };
            connection.last_used_at = context.now;
            if connection.stream.send(&pending.line).is_err() {
                self.close(token, AttemptFailure::ConnectionReset, context);
            }
            return;
        }
        self.enqueue_line(incarnation, pending, context);
    }

    /// Returns the established connection on which the set-up of a session was sent, or else the one that was used last.
    fn connection_for(&self, incarnation: ServerIncarnation, id: CallId) -> Option<Token> {
        let is_connected =
            |token: &Token| self.connections.get(token).is_some_and(|c| c.is_connected_to(incarnation));
        let own = self.session_connections.get(&id).copied().filter(is_connected);
        own.or_else(|| {
            let connected = self.connections.iter().filter(|(_, c)| c.is_connected_to(incarnation));
            let newest = connected.max_by_key(|(_, c)| (!c.unresponsive, c.last_used_at));
            newest.map(|(token, _)| *token)
        })
    }

    /// Queues a line on a connection that is being established, or retains it for the next one.
    pub(super) fn enqueue_line(
        &mut self,
        incarnation: ServerIncarnation,
        line: PendingLine,
        context: &mut ServerContext<'_>,
    ) {
        let connecting =
            self.connections.iter().find(|(_, c)| c.incarnation == incarnation && !c.is_connected());
        let token = match connecting {
            Some((token, _)) => Some(*token),
            None => self.connect(incarnation, context).ok(),
        };
        if let Some(connection) = token.and_then(|token| self.connections.get_mut(&token)) {
            connection.queue.push_back(Queued::Line(line));
        } else if let Some(state) = self.incarnations.get_mut(&incarnation) {
            state.retain(line);
        }
    }

    /// Sends a line on an established connection, or retains it for the next one.
    pub(super) fn send_or_retain(
        &mut self,
        incarnation: ServerIncarnation,
        line: PendingLine,
        context: &mut ServerContext<'_>,
    ) {
        if self.connections.values().any(|connection| connection.is_connected_to(incarnation)) {
            self.send_line(incarnation, line.id, line.line, context);
        } else if let Some(state) = self.incarnations.get_mut(&incarnation) {
            state.retain(line);
        }
    }
}
