//! The graceful shutdown after SIGTERM: what is owed to whom, and in which order it is done.

use beechloft::api::Micros;
use tracing::info;

use super::{EventLoop, LoopStatus};
use crate::viewers::ViewerContext;

/// Turns of accepting that empty a full listen queue.
const MAX_ACCEPT_ROUNDS: usize = 64;

/// How far the shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum ShutdownStage {
    /// No SIGTERM has come, or it has only just come: everything is served.
    #[default]
    Serving,
    /// Nobody is accepted any more; what has been taken is answered.
    Answering,
    /// Everything is answered; connections are being closed.
    Closing,
}

impl EventLoop {
    /// Takes the shutdown as far as it can go now, and carries out what comes of it.
    pub(super) fn advance_shutdown(&mut self, now: Micros) -> LoopStatus {
        let status = self.shutdown_status(now);
        self.process_inputs(now);
        status
    }

    /// Each step first takes what has arrived meanwhile: connections in the listen queue, messages in the kernel's buffers,
    /// lines that have not been sent. Otherwise requests that cross the shutdown would be lost.
    fn shutdown_status(&mut self, now: Micros) -> LoopStatus {
        let Some(terminated_at) = self.node.shutdown_requested_at() else { return LoopStatus::Running };
        let elapsed = now - terminated_at;
        if elapsed >= self.limits.shutdown_deadline {
            // SIGKILL would cut off now what is not done by now.
            info!("front node ends, with time up");
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
            info!("front node ends");
            return LoopStatus::Stopped;
        }
        LoopStatus::Running
    }

    /// Accepts all connections in the listen queue, as closing the listener would reset them; whether none is left.
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

    /// Accepts no new connections any more, and frees the listener's descriptor.
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
        // What media servers sent last is handled in this turn still, and may lead to more that is to be sent.
        viewers_closed && self.inputs.is_empty() && self.node.counts().pending == 0 && self.servers.all_sent()
    }
}
