//! Periodic sweep of connections to media servers: closes them on timeouts, and reconnects.

use beechloft::api::Micros;
use beechloft_front_node::{AttemptFailure, ServerIncarnation};

use super::connect::ConnectFailure;
use super::incarnation::IncarnationState;
use super::{ServerConnections, ServerContext};

impl ServerConnections {
    /// Closes timed-out connections, reconnects, and removes closed connections from the sessions' records.
    pub fn sweep(&mut self, context: &mut ServerContext<'_>) {
        self.close_failed_connects(context);
        self.close_idle(context);
        self.reconnect(context);
        self.close_removed(context);
        let connections = &self.connections;
        self.session_connections.retain(|_, token| connections.contains_key(token));
    }

    /// Closes connections whose connect has timed out.
    fn close_failed_connects(&mut self, context: &mut ServerContext<'_>) {
        for token in self.tokens_where(|c| c.connect_by.is_some_and(|connect_by| context.now >= connect_by)) {
            let Some(incarnation) = self.connections.get(&token).map(|connection| connection.incarnation)
            else {
                continue;
            };
            self.close(token, AttemptFailure::NoConnection, context);
            self.connect_failed(incarnation, ConnectFailure::Unreachable, context);
        }
    }

    fn close_idle(&mut self, context: &mut ServerContext<'_>) {
        let max_idle = self.limits.server_idle_timeout - Micros(self.limits.server_idle_timeout.0 / 20);
        for token in self.tokens_where(|c| c.is_idle() && context.now - c.last_used_at > max_idle) {
            self.read_and_close(token, context);
        }
    }

    /// Connects to media servers with sessions that are unconnected or silent, and to those with retained lines.
    fn reconnect(&mut self, context: &mut ServerContext<'_>) {
        for incarnation in self.incarnations_to_reconnect(context.now) {
            if let Some(state) = self.incarnations.get_mut(&incarnation) {
                state.reconnect_at = context.now + self.limits.reconnect_interval;
            }
            let _ = self.connect(incarnation, context);
        }
    }

    fn incarnations_to_reconnect(&mut self, now: Micros) -> Vec<ServerIncarnation> {
        let connections = &self.connections;
        let max_silence = self.limits.server_silence_timeout;
        let needs_connection = |incarnation: ServerIncarnation, state: &mut IncarnationState| {
            let mut own = connections.values().filter(|connection| connection.incarnation == incarnation);
            let unconnected = own.clone().next().is_none();
            let connecting = own.any(|connection| !connection.is_connected());
            let silent = now - state.last_contact_at > max_silence && !connecting;
            let needs_check = state.keep_connected && (unconnected || silent);
            now >= state.reconnect_at && (needs_check || (unconnected && state.has_current_unsent(now)))
        };
        let incarnations = self
            .incarnations
            .iter_mut()
            .filter_map(|(incarnation, state)| needs_connection(*incarnation, state).then_some(*incarnation));
        incarnations.collect()
    }

    fn close_removed(&mut self, context: &mut ServerContext<'_>) {
        let forgotten = self.incarnations.iter().filter(|(_, state)| state.close_by.is_some());
        for incarnation in forgotten.map(|(incarnation, _)| *incarnation).collect::<Vec<_>>() {
            self.close_if_removed(incarnation, context);
        }
    }
}
