//! Messages from and to viewers.

use beechloft_front_node::{Input, ViewerConnection};
use beechloft_protocol::CallId;
use beechloft_protocol::viewer::{FromViewer, ToViewer};
use mio::Token;

use super::socket::{ReadAhead, ViewerSocket};
use super::{ViewerConnections, ViewerContext};
use crate::tokens::{viewer_connection, viewer_token};

impl ViewerConnections {
    /// Handles a ready connection, whose close by its client was handled by [`Self::mark_closed`].
    pub fn handle_ready(&mut self, token: Token, context: &mut ViewerContext<'_>) {
        if self.draining.has(token) {
            return self.advance_draining(token, context.registry);
        }
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.flush().is_err() {
            return self.close_at_once(token, context);
        }
        self.read_ahead(token, context);
    }

    /// Marks a connection as closed and reports this to the state machine, which then starts no further attempts for it.
    /// Queued hand-overs are passed on, as their sessions belong to no connection.
    ///
    /// The poll reports a close by the client before all data that the client has sent is read.
    pub fn mark_closed(&mut self, token: Token, context: &mut ViewerContext<'_>) {
        if let Some(connection) = self.connections.get_mut(&token).filter(|c| !c.client_closed) {
            let conn = viewer_connection(token);
            let hand_overs = connection.mark_closed();
            context.inputs.push_back(Input::ViewerConnectionClosed(conn));
            context.inputs.extend(hand_overs.into_iter().map(|message| Input::ViewerMessage(conn, message)));
        }
    }

    /// Reads ahead on a connection, up to the limit on its queued messages.
    pub(super) fn read_ahead(&mut self, token: Token, context: &mut ViewerContext<'_>) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let mut immediate = Vec::new();
        let max_bytes = self.limits.viewer_read_ahead_bytes;
        let outcome = connection.read_ahead(context.now, max_bytes, &mut self.read_buffer, &mut immediate);
        let conn = viewer_connection(token);
        context.inputs.extend(immediate.into_iter().map(|message| Input::ViewerMessage(conn, message)));
        if outcome == ReadAhead::Closed {
            self.mark_closed(token, context);
            self.close_at_once(token, context);
        } else if connection.has_pending_work() {
            self.pending.insert(token);
        }
    }

    /// Returns the connections with queued messages or possibly more data to read.
    pub fn pending(&self) -> Vec<Token> {
        self.pending.iter().copied().collect()
    }

    /// Passes queued messages of a connection to the state machine, up to the limit for one iteration.
    pub fn deliver_messages(&mut self, token: Token, context: &mut ViewerContext<'_>) {
        self.pending.remove(&token);
        let conn = viewer_connection(token);
        let inputs_before = context.inputs.len();
        for _ in 0..self.limits.viewer_messages_per_iteration {
            let next = self.connections.get_mut(&token).and_then(ViewerSocket::next_message);
            let Some(message) = next else { break };
            context.inputs.push_back(Input::ViewerMessage(conn, message));
        }
        let all_delivered = inputs_before == context.inputs.len();
        // The delivered messages have freed space in the queue.
        self.read_ahead(token, context);
        // A malformed message closes the connection once all messages before it are handled and answered.
        if all_delivered && self.connections.get(&token).is_some_and(|connection| connection.malformed) {
            self.close(token, context);
        }
    }

    /// Returns whether the client of a set-up still waits for the answer: it has neither disconnected nor withdrawn the
    /// set-up.
    ///
    /// The connection is read first, so that the result includes everything that has arrived.
    pub fn is_awaiting_answer(
        &mut self,
        conn: ViewerConnection,
        id: CallId,
        context: &mut ViewerContext<'_>,
    ) -> bool {
        let token = viewer_token(conn);
        self.read_ahead(token, context);
        let is_release = |input: &Input| match input {
            Input::ViewerMessage(_, FromViewer::Release(released)) => *released == id,
            _ => false,
        };
        let connected = self.connections.get(&token).is_some_and(|connection| !connection.client_closed);
        connected && !context.inputs.iter().any(is_release)
    }

    /// Sends a message. An answer that the client does not wait for any more is not sent, but reported to the state
    /// machine as undelivered.
    pub fn send(&mut self, token: Token, message: &ToViewer, context: &mut ViewerContext<'_>) {
        if let ToViewer::Answer(id, _) = message
            && !self.is_awaiting_answer(viewer_connection(token), *id, context)
        {
            context.inputs.push_back(Input::AnswerUndelivered(*id));
            return;
        }
        let Some(connection) = self.connections.get_mut(&token).filter(|c| !c.client_closed) else { return };
        if connection.send(message).is_err() {
            self.close_at_once(token, context);
        }
    }
}
