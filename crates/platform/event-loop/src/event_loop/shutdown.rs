//! The graceful shutdown after SIGTERM: its stages and the conditions for the next stage.

use beechloft::api::Micros;
use tracing::info;

use super::{EventLoop, LoopStatus};
use crate::viewers::ViewerContext;

/// Number of rounds of accepts after which a listen queue that was full is empty.
const MAX_ACCEPT_ROUNDS: usize = 64;

/// Stage of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum ShutdownStage {
    /// New connections and requests are served, before SIGTERM and for a short time after it.
    #[default]
    Serving,
    /// The listener is closed. Requests that were received are answered.
    Answering,
    /// All requests are answered. Connections are being closed.
    Closing,
}

impl EventLoop {
    /// Advances the shutdown as far as possible, and processes the inputs that result.
    pub(super) fn advance_shutdown(&mut self, now: Micros) -> LoopStatus {
        let status = self.shutdown_status(now);
        self.process_inputs(now);
        status
    }

    /// Advances the shutdown and returns the resulting status of the loop.
    ///
    /// Before each stage ends, connections in the listen queue, messages in the kernel's buffers and unsent lines are
    /// processed. Otherwise requests that arrive during the shutdown would be lost.
    fn shutdown_status(&mut self, now: Micros) -> LoopStatus {
        let Some(terminated_at) = self.node.shutdown_requested_at() else { return LoopStatus::Running };
        let elapsed = now - terminated_at;
        if elapsed >= self.limits.shutdown_deadline {
            // SIGKILL follows shortly and would cut off any remaining work.
            info!("front node stopped at the shutdown deadline");
            return LoopStatus::Stopped;
        }
        if self.shutdown == ShutdownStage::Serving
            && elapsed >= self.limits.serve_after_sigterm
            && self.accept_all(now)
        {
            self.stop_listening();
            self.shutdown = ShutdownStage::Answering;
        }
        if self.shutdown == ShutdownStage::Answering && self.all_answered() {
            self.shutdown = ShutdownStage::Closing;
        }
        if self.shutdown == ShutdownStage::Closing && self.all_closed(now) {
            info!("front node stopped");
            return LoopStatus::Stopped;
        }
        LoopStatus::Running
    }

    /// Accepts all connections in the listen queue, as closing the listener would reset them. Returns whether the queue
    /// is empty.
    fn accept_all(&mut self, now: Micros) -> bool {
        for _ in 0..MAX_ACCEPT_ROUNDS {
            self.viewers.accepting = true;
            self.accept_viewers(now);
            if !self.viewers.accepting {
                return !self.viewers.accept_blocked();
            }
        }
        false
    }

    /// Closes the listener.
    fn stop_listening(&mut self) {
        if let Some(mut listener) = self.listener.take() {
            let _ = self.poll.registry().deregister(&mut listener);
        }
    }

    fn all_answered(&self) -> bool {
        let all_handled = self.unread.is_empty() && self.inputs.is_empty() && !self.viewers.has_unhandled();
        all_handled && self.node.counts().pending == 0 && self.viewers.pending_bytes() == 0
    }

    fn all_closed(&mut self, now: Micros) -> bool {
        let usage = |conn| self.node.connection_use(conn);
        let mut viewer_context =
            ViewerContext { now, registry: self.poll.registry(), inputs: &mut self.inputs };
        let viewers_closed = self.viewers.close_unused(&usage, &mut viewer_context);
        let (servers, mut server_context) = self.servers_with_context(now);
        servers.read_all(&mut server_context);
        // The last lines of media servers are still handled in this iteration and may cause further messages.
        viewers_closed && self.inputs.is_empty() && self.node.counts().pending == 0 && self.servers.all_sent()
    }
}
