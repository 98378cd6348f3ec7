//! One iteration of the loop.
//!
//! An iteration is a sequence of phases, and the loop guarantees their order:
//!
//! 1. Poll the sockets, and read signals.
//! 2. Handle viewers that have disconnected or withdrawn a set-up, so that no further work is started for them.
//! 3. Handle messages of media servers and the event bus, as they determine the answers to viewers.
//! 4. Accept viewers' connections, and handle a bounded number of messages from each.
//! 5. Handle timeouts and run the sweep, after all messages that had arrived.
//! 6. Advance the shutdown.

use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

use beechloft::api::Micros;
use beechloft_front_node::Input;
use mio::Token;
use tracing::info;

use super::reload::PendingReload;
use super::{EventLoop, IterationPhase, LoopStatus};
use crate::tokens::{LISTENER, SIGHUP_PIPE, SIGTERM_PIPE};
use crate::viewers::ViewerContext;

/// Number of queued inputs at which they are processed before further viewers' connections are read.
const MAX_QUEUED_INPUTS: usize = 1024;

/// Viewers' connection whose socket is ready.
struct ReadyViewer {
    token: Token,
    /// Whether the client has closed its side of the connection.
    read_closed: bool,
}

/// Connections to handle in an iteration.
struct ReadySockets {
    viewers: Vec<ReadyViewer>,
    /// Connections to media servers and to the event bus.
    upstreams: BTreeSet<Token>,
}

impl EventLoop {
    /// Runs one iteration: waits for at most `max_wait` until a socket is ready or a timeout is due, and handles all
    /// ready sockets and due timeouts.
    ///
    /// # Errors
    /// Returns an error if the poll fails.
    pub fn run_iteration(&mut self, max_wait: Option<Duration>) -> io::Result<LoopStatus> {
        let now = self.poll_sockets(max_wait)?;
        let ready = self.read_events(now);
        self.end_phase(IterationPhase::SocketsPolled);

        self.check_stop_permission(now);
        self.handle_viewer_disconnects(ready.viewers, now);
        self.handle_servers_and_event_bus(ready.upstreams, now);
        self.end_phase(IterationPhase::ServersHandled);

        self.accept_viewers(now);
        self.handle_viewer_messages(now);
        self.end_phase(IterationPhase::ViewersHandled);

        self.handle_timeouts(now);
        self.sweep_if_due(now);
        self.end_phase(IterationPhase::TimeoutsHandled);

        Ok(self.advance_shutdown(now))
    }

    /// Returns the time until the next scheduled work, or zero if there is work to do now.
    pub fn idle_duration(&self) -> Duration {
        if !self.unread.is_empty() || !self.inputs.is_empty() || self.viewers.has_pending_work() {
            return Duration::ZERO;
        }
        let due = self.node.next_due().unwrap_or(self.next_sweep_at).min(self.next_sweep_at);
        Duration::from_micros((due - self.time.now()).0)
    }

    /// Waits for ready sockets, and returns the time after the wait.
    fn poll_sockets(&mut self, max_wait: Option<Duration>) -> io::Result<Micros> {
        let wait = self.idle_duration().min(max_wait.unwrap_or(Duration::MAX));
        self.poll_for(wait)?;
        let now = self.time.now();
        let timeout_due = self.node.next_due().is_some_and(|due| due <= now);
        if self.events.is_empty() && timeout_due {
            // If the process was stopped during the wait, the poll returns without events although messages may have
            // arrived since. They must be handled before timeouts.
            self.poll_for(Duration::ZERO)?;
            return Ok(self.time.now());
        }
        Ok(now)
    }

    fn poll_for(&mut self, wait: Duration) -> io::Result<()> {
        match self.poll.poll(&mut self.events, Some(wait)) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {
                self.events.clear();
                Ok(())
            }
            other => other,
        }
    }

    /// Handles signals and the event of the listener. Returns the ready connections, including those that were not read
    /// completely in the previous iteration.
    fn read_events(&mut self, now: Micros) -> ReadySockets {
        let mut ready = ReadySockets { viewers: Vec::new(), upstreams: std::mem::take(&mut self.unread) };
        for event in &self.events {
            match event.token() {
                LISTENER => self.viewers.accepting = true,
                SIGHUP_PIPE => {
                    self.signals.take_hangups();
                    info!(signal = "SIGHUP", "received signal");
                    self.pending_reload = Some(PendingReload::at(now));
                }
                SIGTERM_PIPE => {
                    let signals = self.signals.take_terminations();
                    info!(signal = "SIGTERM", "received signal");
                    self.fleet.handle_sigterm(now, signals, &mut self.inputs);
                }
                token if self.viewers.has(token) => {
                    ready.viewers.push(ReadyViewer { token, read_closed: event.is_read_closed() });
                }
                token => {
                    ready.upstreams.insert(token);
                }
            }
        }
        ready
    }

    fn check_stop_permission(&mut self, now: Micros) {
        self.fleet.check_stop_permission(now, &self.node, &mut self.inputs);
        self.process_inputs(now);
    }

    /// Handles disconnected viewers and withdrawn set-ups before anything else, so that no further work is started for
    /// them.
    fn handle_viewer_disconnects(&mut self, ready: Vec<ReadyViewer>, now: Micros) {
        for viewer in ready.iter().filter(|viewer| viewer.read_closed) {
            let (viewers, mut context) = self.viewers_with_context(now);
            viewers.mark_closed(viewer.token, &mut context);
        }
        for ReadyViewer { token, .. } in ready {
            // Hundreds of viewers may be ready, each with many messages.
            if self.inputs.len() >= MAX_QUEUED_INPUTS {
                self.process_inputs(now);
            }
            let (viewers, mut context) = self.viewers_with_context(now);
            viewers.handle_ready(token, &mut context);
        }
        self.process_inputs(now);
    }

    /// Reads connections to media servers and to the event bus, and processes the inputs of each.
    fn handle_servers_and_event_bus(&mut self, ready: BTreeSet<Token>, now: Micros) {
        for token in ready {
            if self.handle_upstream(token, now) {
                self.unread.insert(token);
            }
            self.process_inputs(now);
        }
    }

    /// Reads a connection to a media server or to the event bus. Returns whether its socket may hold more data.
    fn handle_upstream(&mut self, token: Token, now: Micros) -> bool {
        if self.event_bus.has(token) {
            let registry = self.poll.registry();
            return self.event_bus.handle_ready(
                token,
                now,
                &mut self.read_buffer,
                registry,
                &mut self.inputs,
            );
        }
        let (servers, mut context) = self.servers_with_context(now);
        servers.handle_ready(token, &mut context)
    }

    pub(super) fn accept_viewers(&mut self, now: Micros) {
        if !self.viewers.accepting {
            return;
        }
        let usage = |conn| self.node.connection_use(conn);
        let mut context = ViewerContext { now, registry: self.poll.registry(), inputs: &mut self.inputs };
        self.viewers.accept(self.listener.as_ref(), &mut self.tokens, &usage, &mut context);
        self.process_inputs(now);
    }

    fn handle_viewer_messages(&mut self, now: Micros) {
        for token in self.viewers.pending() {
            let (viewers, mut context) = self.viewers_with_context(now);
            viewers.deliver_messages(token, &mut context);
            self.process_inputs(now);
        }
    }

    /// Lets the state machine handle due timeouts.
    fn handle_timeouts(&mut self, now: Micros) {
        self.inputs.push_back(Input::Tick);
        self.process_inputs(now);
    }
}
