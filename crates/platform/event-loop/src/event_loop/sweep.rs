//! The periodic sweep: closes timed-out connections, reconnects, and logs the state.

use beechloft::api::Micros;
use tracing::debug;

use super::EventLoop;
use crate::viewers::ViewerContext;

/// Interval between checks of all connections for timeouts.
const SWEEP_INTERVAL: Micros = Micros(25_000);

/// Interval between log lines of the state at debug level.
const STATE_LOG_INTERVAL: Micros = Micros(1_000_000);

impl EventLoop {
    pub(super) fn sweep_if_due(&mut self, now: Micros) {
        if now < self.next_sweep_at {
            return;
        }
        self.next_sweep_at = now + SWEEP_INTERVAL;
        self.sweep(now);
        self.process_inputs(now);
    }

    fn sweep(&mut self, now: Micros) {
        let usage = |conn| self.node.connection_use(conn);
        let mut viewer_context =
            ViewerContext { now, registry: self.poll.registry(), inputs: &mut self.inputs };
        self.viewers.sweep(&usage, &mut viewer_context);
        let (servers, mut server_context) = self.servers_with_context(now);
        servers.sweep(&mut server_context);
        if self.servers.take_connection_refused() {
            self.event_bus.suspect(now);
        }
        self.event_bus.sweep(now, self.poll.registry(), &mut self.tokens);
        self.reload_if_due(now);
        self.log_state_if_due(now);
    }

    fn log_state_if_due(&mut self, now: Micros) {
        if now < self.next_state_log_at || !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        self.next_state_log_at = now + STATE_LOG_INTERVAL;
        let counts = self.node.counts();
        debug!(
            ?counts,
            viewers = self.viewers.len(),
            servers = self.servers.len(),
            "state of the front node"
        );
        for line in self.node.diagnostics() {
            debug!("{line}");
        }
    }
}
