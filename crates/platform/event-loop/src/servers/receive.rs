//! Receives lines from media servers, and completes connects.

use beechloft_front_node::{AttemptFailure, Input};
use beechloft_protocol::CallId;
use beechloft_protocol::server::{FromServer, ServerMessage};
use mio::Token;

use super::connect::ConnectFailure;
use super::connection::{Queued, ServerConnection};
use super::{ServerConnections, ServerContext};
use crate::buffered_stream::ReadOutcome;

/// Error: a line of a media server is malformed.
struct MalformedLine;

impl ServerConnections {
    /// Handles a ready socket. Returns whether it may hold more data.
    pub fn handle_ready(&mut self, token: Token, context: &mut ServerContext<'_>) -> bool {
        if !self.finish_connect(token, context) {
            return false;
        }
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        let incarnation = connection.incarnation;
        if connection.stream.flush().is_err() {
            self.close(token, AttemptFailure::ConnectionReset, context);
            return false;
        }
        let may_have_more = self.read(token, context);
        self.close_if_removed(incarnation, context);
        may_have_more
    }

    /// Handles the result of a connect in progress. Returns whether the connection is established.
    fn finish_connect(&mut self, token: Token, context: &mut ServerContext<'_>) -> bool {
        let Some(connection) = self.connections.get(&token) else { return false };
        if connection.is_connected() {
            return true;
        }
        let incarnation = connection.incarnation;
        match connection.stream.connect_result() {
            None => false,
            Some(Err(e)) => {
                self.close(token, AttemptFailure::NoConnection, context);
                self.connect_failed(incarnation, ConnectFailure::from_error(&e), context);
                false
            }
            Some(Ok(())) => {
                self.send_queue(token, context);
                true
            }
        }
    }

    /// Marks a connection as established and sends its queue, except set-ups that no viewer waits for any more.
    fn send_queue(&mut self, token: Token, context: &mut ServerContext<'_>) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.connect_by = None;
        connection.last_used_at = context.now;
        let incarnation = connection.incarnation;
        let mut queue = std::mem::take(&mut connection.queue);
        if let Some(state) = self.incarnations.get_mut(&incarnation) {
            state.unreachable_since = None;
            state.last_contact_at = context.now;
            queue.extend(state.take_unsent().into_iter().map(Queued::Line));
        }
        for queued in queue {
            // Sending any line may find the connection broken and close it.
            match (queued, self.connections.get_mut(&token)) {
                (Queued::SetUp(set_up), None) => {
                    context.inputs.push_back(Input::AttemptFailed(
                        incarnation,
                        set_up.id,
                        AttemptFailure::NotSent,
                    ));
                }
                (Queued::SetUp(set_up), Some(_)) => self.write_set_up(token, &set_up, context),
                (Queued::Line(line), None) => self.enqueue_line(incarnation, line, context),
                (Queued::Line(line), Some(established)) => {
                    if established.stream.send(&line.line).is_err() {
                        self.close(token, AttemptFailure::ConnectionReset, context);
                    }
                }
            }
        }
    }

    /// Reads a connection, up to the limit for one iteration. Returns whether the socket may hold more data.
    pub(super) fn read(&mut self, token: Token, context: &mut ServerContext<'_>) -> bool {
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        let mut read_bytes = 0;
        while read_bytes < self.limits.upstream_bytes_per_iteration {
            match connection.stream.read(&mut self.read_buffer) {
                ReadOutcome::Data(count) => {
                    read_bytes += count;
                    connection.unresponsive = false;
                    connection.last_used_at = context.now;
                    if let Some(state) = self.incarnations.get_mut(&connection.incarnation) {
                        state.last_contact_at = context.now;
                    }
                    if connection.receive(&self.read_buffer[..count], context).is_err() {
                        // Only the attempts on this connection fail.
                        self.close(token, AttemptFailure::ConnectionReset, context);
                        return false;
                    }
                }
                ReadOutcome::WouldBlock => return false,
                ReadOutcome::Closed => {
                    self.close(token, AttemptFailure::ConnectionReset, context);
                    return false;
                }
            }
        }
        true
    }

    /// Reads all established connections before the process ends.
    pub fn read_all(&mut self, context: &mut ServerContext<'_>) {
        for token in self.tokens_where(ServerConnection::is_connected) {
            self.read(token, context);
        }
    }
}

impl ServerConnection {
    /// Adds received bytes, and passes the lines that they complete to the state machine.
    fn receive(&mut self, bytes: &[u8], context: &mut ServerContext<'_>) -> Result<(), MalformedLine> {
        self.decoder.push(bytes);
        while let Some(text) = self.decoder.next_line().map_err(|_| MalformedLine)? {
            let line = ServerMessage::parse(&text).map_err(|_| MalformedLine)?;
            self.open.retain(|id| !answers(&line, *id));
            context.inputs.push_back(Input::ServerMessage(self.incarnation, line));
        }
        Ok(())
    }
}

/// Returns whether a line answers the set-up of a session.
fn answers(line: &ServerMessage, id: CallId) -> bool {
    matches!(&line.event, FromServer::Accept(answered, _) | FromServer::End(answered, _) if *answered == id)
}
