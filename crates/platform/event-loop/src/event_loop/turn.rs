//! One turn of the loop, as a list of phases. Their order is part of what the loop guarantees:
//!
//! 1. poll the sockets, and read signals;
//! 2. viewers that have gone or withdrawn a set-up, so that nothing more is begun for them;
//! 3. media servers and the event bus, as they decide what viewers get;
//! 4. new viewers' connections, and viewers' other messages in fair turns;
//! 5. timeouts and the sweep, after everything that had arrived;
//! 6. the shutdown.

use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

use beechloft::api::Micros;
use beechloft_front_node::Input;
use mio::Token;
use tracing::info;

use super::reload::PendingReload;
use super::{EventLoop, LoopStatus, TurnPhase};
use crate::tokens::{LISTENER, SIGHUP_PIPE, SIGTERM_PIPE};
use crate::viewers::ViewerContext;

/// A viewers' connection whose socket is ready.
struct ReadyViewer {
    token: Token,
    /// The client has shut its side of the connection.
    read_closed: bool,
}

/// Connections to handle in a turn.
struct ReadySockets {
    viewers: Vec<ReadyViewer>,
    /// Connections to media servers and to the event bus.
    upstreams: BTreeSet<Token>,
}

impl EventLoop {
    /// Runs one turn: waits until a socket is ready or a timeout is due, at most `max_wait`, and handles all of it.
    ///
    /// # Errors
    /// The poll fails.
    pub fn run_turn(&mut self, max_wait: Option<Duration>) -> io::Result<LoopStatus> {
        let now = self.poll_sockets(max_wait)?;
        let ready = self.read_events(now);
        self.end_phase(TurnPhase::SocketsPolled);

        self.check_stop_permission(now);
        self.handle_viewer_disconnects(ready.viewers, now);
        self.handle_servers_and_event_bus(ready.upstreams, now);
        self.end_phase(TurnPhase::ServersHandled);

        self.accept_viewers(now);
        self.handle_viewer_messages(now);
        self.end_phase(TurnPhase::ViewersHandled);

        self.handle_timeouts(now);
        self.sweep_if_due(now);
        self.end_phase(TurnPhase::TimeoutsHandled);

        Ok(self.advance_shutdown(now))
    }

    /// How long nothing is to be done unless a socket becomes ready.
    pub fn idle_duration(&self) -> Duration {
        if !self.unread.is_empty() || !self.inputs.is_empty() || self.viewers.has_pending_work() {
            return Duration::ZERO;
        }
        let due = self.node.next_due().unwrap_or(self.next_sweep_at).min(self.next_sweep_at);
        Duration::from_micros((due - self.time.now()).0)
    }

    /// Waits for sockets; the time after the wait.
    fn poll_sockets(&mut self, max_wait: Option<Duration>) -> io::Result<Micros> {
        let wait = self.idle_duration().min(max_wait.unwrap_or(Duration::MAX));
        self.poll_for(wait)?;
        let now = self.time.now();
        let timeout_due = self.node.next_due().is_some_and(|due| due <= now);
        if self.events.is_empty() && timeout_due {
            // A process that was stopped during the wait returns from it without events, though much may have arrived
            // since. Timeouts must come after that.
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

    /// Handles signals and the listener's event; which connections are ready, among them those not wholly read before.
    fn read_events(&mut self, now: Micros) -> ReadySockets {
        let mut ready = ReadySockets { viewers: Vec::new(), upstreams: std::mem::take(&mut self.unread) };
        for event in &self.events {
            match event.token() {
                LISTENER => self.viewers.accepting = true,
                SIGHUP_PIPE => {
                    self.signals.take_hangups();
                    info!("SIGHUP");
                    self.pending_reload = Some(PendingReload::at(now));
                }
                SIGTERM_PIPE => {
                    let signals = self.signals.take_terminations();
                    info!("SIGTERM");
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

    /// Nothing more is begun for viewers that have gone or withdrawn a set-up.
    fn handle_viewer_disconnects(&mut self, ready: Vec<ReadyViewer>, now: Micros) {
        for ReadyViewer { token, read_closed } in ready {
            let (viewers, mut context) = self.viewers_with_context(now);
            viewers.handle_ready(token, read_closed, &mut context);
        }
        self.process_inputs(now);
    }

    /// Media servers and the event bus decide what viewers get.
    fn handle_servers_and_event_bus(&mut self, ready: BTreeSet<Token>, now: Micros) {
        for token in ready {
            if self.handle_upstream(token, now) {
                self.unread.insert(token);
            }
            self.process_inputs(now);
        }
    }

    /// Reads a connection to a media server or to the event bus; whether it may have more to read.
    fn handle_upstream(&mut self, token: Token, now: Micros) -> bool {
        if self.event_bus.has(token) {
            let registry = self.poll.registry();
            return self.event_bus.handle_ready(now, &mut self.read_buffer, registry, &mut self.inputs);
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

    /// Timeouts come after everything that had arrived.
    fn handle_timeouts(&mut self, now: Micros) {
        self.inputs.push_back(Input::Tick);
        self.process_inputs(now);
    }
}
