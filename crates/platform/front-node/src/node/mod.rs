//! The state machine: its state, the dispatch of inputs and timers, and the exchange of events and actions with the
//! policy.

mod actions;
mod attempts;
mod established;
mod hand_over;
mod records;
mod server_messages;
mod topology;
mod viewer_messages;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use beechloft::api::{self, Event, LoadReport, Micros, Outcome, ReportField, ServerId};
use beechloft::policy::Policy;
use beechloft_protocol::CallId;
use beechloft_settings::{Names, Parsed};

use crate::directory::Directory;
use crate::health_checks::HealthChecks;
use crate::io::{Input, Output, ServerIncarnation, ViewerConnection};
use crate::session::{Phase, Session};
use crate::shutdown::Shutdown;
use crate::timers::{Timer, Timers};
use crate::viewer_connections::{ConnectionUse, ViewerConnections};
use records::Records;

/// Interval between removals of expired state.
const EXPIRY_INTERVAL: Micros = Micros(500_000);
/// Maximum number of lines of diagnostics.
const MAX_DIAGNOSTIC_LINES: usize = 64;

/// Limits that the event loop sets for the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeLimits {
    /// Time between the latest answer and the viewer's timeout, which lets the answer arrive.
    pub answer_margin: Micros,
    /// Timeout of a health check.
    pub health_check_timeout: Micros,
    /// Maximum number of sessions in any phase.
    pub max_sessions: usize,
    /// Time after SIGTERM at which all pending set-ups are answered.
    pub shutdown_deadline: Micros,
}

/// Sizes of the collections in the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Number of sessions whose viewer waits for the answer.
    pub pending: usize,
    /// Number of established sessions.
    pub established: usize,
    /// Number of sessions that are over while an attempt is still in flight.
    pub abandoned: usize,
    /// Number of incarnations of media servers.
    pub incarnations: usize,
    /// Number of media servers that the policy knows.
    pub servers: usize,
    /// Number of releases that wait for a viewer's connection.
    pub queued_releases: usize,
    /// Number of timers that are set.
    pub timers: usize,
    /// Number of sessions, viewers and connections that are over and still recorded.
    pub recorded: usize,
}

/// State machine of the front node.
#[derive(Debug)]
pub struct Node {
    limits: NodeLimits,
    settings: api::Settings,
    names: Names,
    report_fields: Vec<ReportField>,
    policy: Policy,
    now: Micros,
    directory: Directory,
    /// Incarnations that may have lost their last session or attempt.
    maybe_unused: BTreeSet<ServerIncarnation>,
    sessions: BTreeMap<CallId, Session>,
    records: Records,
    connections: ViewerConnections,
    health_checks: HealthChecks,
    timers: Timers,
    shutdown: Shutdown,
    /// Whether an endpoint list was received.
    has_endpoint_list: bool,
    events: VecDeque<Event>,
    outputs: Vec<Output>,
}

impl Node {
    /// Creates a front node from its settings, in the state before its first input.
    pub fn new(parsed: Parsed, seed: u64, limits: NodeLimits) -> Self {
        // A media server may answer until the longest deadline of all classes.
        let max_deadline =
            parsed.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        Node {
            limits,
            policy: Policy::new(parsed.settings.clone(), seed),
            settings: parsed.settings,
            names: parsed.names,
            report_fields: parsed.report_fields,
            now: Micros(0),
            directory: Directory::default(),
            maybe_unused: BTreeSet::new(),
            sessions: BTreeMap::new(),
            records: Records::new(max_deadline + EXPIRY_INTERVAL),
            connections: ViewerConnections::default(),
            health_checks: HealthChecks::new(seed),
            timers: Timers::default(),
            shutdown: Shutdown::default(),
            has_endpoint_list: false,
            events: VecDeque::new(),
            outputs: Vec::new(),
        }
    }

    /// Returns the window over which the policy limits the rate of set-ups to a media server that started recently.
    pub fn slow_start_window(&self) -> Micros {
        self.settings.slow_start.overload_window
    }

    /// Applies one input at time `now`, and returns the resulting outputs.
    ///
    /// Timers fire only on [`Input::Tick`], so the event loop can apply all received messages before timeouts take
    /// effect.
    pub fn handle(&mut self, now: Micros, input: Input) -> Vec<Output> {
        self.now = now.max(self.now);
        match input {
            Input::InitialTopologies(topologies) => self.apply_initial_topologies(&topologies),
            Input::Topology(topology) => self.apply_topology(&topology),
            Input::ViewerMessage(connection, message) => self.viewer_message(connection, message),
            Input::ViewerConnectionClosed(connection) => self.viewer_connection_closed(connection),
            Input::AnswerUndelivered(id) => self.answer_undelivered(id),
            Input::ServerMessage(incarnation, message) => self.server_message(incarnation, message),
            Input::AttemptFailed(incarnation, id, failure) => self.attempt_failed(incarnation, id, failure),
            Input::ServerDown(incarnation) => self.incarnation_down(incarnation),
            Input::SlotAssigned(assignment) => self.queue_event(Event::SlotAssigned(assignment)),
            Input::Terminate => self.terminate(),
            Input::Tick => self.run_timers(),
        }
        self.run_policy();
        self.remove_unused_incarnations();
        std::mem::take(&mut self.outputs)
    }

    /// Returns the time of the next timer.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// Returns whether the front node is ready: it has an endpoint list and has not received SIGTERM.
    pub fn ready(&self) -> bool {
        self.has_endpoint_list && self.shutdown.requested_at().is_none()
    }

    /// Returns lines for the log that describe the policy's state.
    pub fn diagnostics(&self) -> Vec<String> {
        self.policy.describe(self.now, MAX_DIAGNOSTIC_LINES)
    }

    /// Returns the most important use of a viewer's connection.
    pub fn connection_use(&self, connection: ViewerConnection) -> ConnectionUse {
        self.connections.connection_use(connection)
    }

    /// Returns the time at which SIGTERM was received.
    pub fn shutdown_requested_at(&self) -> Option<Micros> {
        self.shutdown.requested_at()
    }

    /// Returns the number of sessions, incarnations, timers and other objects in the state machine.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts {
            incarnations: self.directory.incarnations.len(),
            servers: self.policy.known_servers(),
            queued_releases: self.connections.queued_releases(),
            timers: self.timers.len(),
            recorded: self.records.len(),
            ..Counts::default()
        };
        for session in self.sessions.values() {
            match session.phase {
                Phase::Pending { .. } => counts.pending += 1,
                Phase::Abandoned(_) => counts.abandoned += 1,
                Phase::Established(_) => counts.established += 1,
            }
        }
        counts
    }

    /// Starts the shutdown. Further calls have no effect.
    fn terminate(&mut self) {
        if self.shutdown == Shutdown::NotRequested {
            self.shutdown = Shutdown::Requested { at: self.now };
            self.timers.set(self.now + self.limits.shutdown_deadline, Timer::ShutdownDeadline);
        }
    }

    /// Fires all timers that are due.
    fn run_timers(&mut self) {
        while let Some(timer) = self.timers.pop(self.now) {
            match timer {
                Timer::Policy(token) => self.queue_event(Event::Timer(token)),
                Timer::Attempt(id, number) => self.attempt_timed_out(id, number),
                Timer::Answer(id) => self.answer_deadline_reached(id),
                Timer::HealthCheck(id, server) => self.health_check_timed_out(id, server),
                Timer::Expiry => self.expire(),
                Timer::ShutdownDeadline => self.shutdown_deadline_reached(),
            }
            self.run_policy();
        }
    }

    fn health_check_timed_out(&mut self, id: CallId, server: ServerId) {
        if self.health_checks.remove(id).is_some() {
            let report = LoadReport::default();
            self.queue_event(Event::HealthChecked { server, outcome: Outcome::Timeout, report });
        }
    }

    /// Removes expired state, and schedules the next removal.
    fn expire(&mut self) {
        self.timers.set(self.now + EXPIRY_INTERVAL, Timer::Expiry);
        self.connections.expire(self.now);
        self.records.expire(self.now);
    }

    /// Appends an event to the queue of events for the policy.
    fn queue_event(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Passes all queued events to the policy, and performs the actions that it returns.
    fn run_policy(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.policy.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
        }
    }
}
