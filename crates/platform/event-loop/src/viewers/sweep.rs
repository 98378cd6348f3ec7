//! Closes viewers' connections on timeouts, and unused ones during the shutdown.

use beechloft::api::Micros;
use beechloft_front_node::ConnectionUse;
use mio::Token;

use super::socket::ViewerSocket;
use super::{UsageLookup, ViewerConnections, ViewerContext};
use crate::limits::SocketLimits;
use crate::tokens::viewer_connection;

/// Connection whose timeout has passed. It is closed unless a further message has arrived.
struct Expired {
    token: Token,
    last_message_at: Micros,
}

impl ViewerConnections {
    /// Closes timed-out connections, unless a message has just arrived on them.
    pub fn sweep(&mut self, usage: UsageLookup<'_>, context: &mut ViewerContext<'_>) {
        self.draining.sweep(context.now, context.registry);
        self.accepting |= std::mem::take(&mut self.accept_blocked);
        for Expired { token, last_message_at } in self.expired(usage, context.now) {
            self.read_ahead(token, context);
            let unchanged = |c: &ViewerSocket| c.last_message_at == last_message_at && !c.has_messages();
            if self.connections.get(&token).is_some_and(unchanged) {
                self.close(token, context);
            }
        }
    }

    fn expired(&self, usage: UsageLookup<'_>, now: Micros) -> Vec<Expired> {
        let is_expired = |(token, connection): &(&Token, &ViewerSocket)| {
            connection.is_expired(usage(viewer_connection(**token)), now, &self.limits)
        };
        self.connections
            .iter()
            .filter(is_expired)
            .map(|(token, connection)| Expired { token: *token, last_message_at: connection.last_message_at })
            .collect()
    }

    /// Closes all connections without an open or unread set-up. Returns whether no connection is left.
    pub fn close_unused(&mut self, usage: UsageLookup<'_>, context: &mut ViewerContext<'_>) -> bool {
        for token in self.connections.keys().copied().collect::<Vec<_>>() {
            self.read_ahead(token, context);
            let is_unused = |c: &ViewerSocket| {
                !c.has_messages() && usage(viewer_connection(token)) != ConnectionUse::Pending
            };
            if self.connections.get(&token).is_some_and(is_unused) {
                self.close(token, context);
            }
        }
        self.connections.is_empty() && self.draining.len() == 0
    }
}

impl ViewerSocket {
    fn is_expired(&self, usage: ConnectionUse, now: Micros, limits: &SocketLimits) -> bool {
        if usage == ConnectionUse::Pending || self.has_messages() {
            return false;
        }
        // A client that is still sending may be on a slow network. It gets more time to complete its message.
        let is_receiving = self.is_receiving(now, limits.stall_timeout);
        let request_timeout = if is_receiving { limits.slow_sender_timeout } else { limits.request_timeout };
        let partial_expired = self.partial.is_some_and(|partial| now - partial.since > request_timeout);
        let idle_timeout = match usage {
            ConnectionUse::None if !self.has_valid_request => request_timeout,
            ConnectionUse::None => limits.unused_viewer_timeout,
            _ => limits.viewer_idle_timeout,
        };
        partial_expired || now - self.last_message_at > idle_timeout
    }
}
