//! The state machine: its state, the dispatch of inputs and timers, and the exchange of events and actions with the policy.

mod actions;
mod attempts;
mod established;
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
use crate::recent::{EndedSessions, MigratedViewers};
use crate::session::{Phase, Session};
use crate::shutdown::Shutdown;
use crate::timers::{Timer, Timers};
use crate::viewer_connections::{ConnectionUse, ViewerConnections};

/// How often what is remembered for a while is checked for its age.
const EXPIRY_INTERVAL: Micros = Micros(500_000);
/// The minimum for which an ended session is remembered, as answers may be delayed on their way.
const MIN_ENDED_RETENTION: Micros = Micros(15_000_000);
/// The maximum of lines of diagnostics.
const MAX_DIAGNOSTIC_LINES: usize = 64;

/// Limits that the event loop sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeLimits {
    /// An answer is sent so long before the viewer's timeout: time for it to arrive.
    pub answer_margin: Micros,
    /// The timeout of a health check.
    pub health_check_timeout: Micros,
    /// The maximum of sessions in any state.
    pub max_sessions: usize,
    /// All pending answers are given so long after SIGTERM.
    pub shutdown_deadline: Micros,
}

/// How many of each thing the machine holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Sessions whose viewer waits for the answer.
    pub pending: usize,
    /// Established sessions.
    pub established: usize,
    /// Sessions that are over, with an attempt still in flight.
    pub abandoned: usize,
    /// Incarnations of media servers.
    pub incarnations: usize,
    /// Media servers that the policy knows.
    pub servers: usize,
    /// Releases that wait for a viewer's connection.
    pub queued_releases: usize,
    /// Timers.
    pub timers: usize,
}

/// The front node's state machine.
#[derive(Debug)]
pub struct Node {
    limits: NodeLimits,
    settings: api::Settings,
    names: Names,
    report_fields: Vec<ReportField>,
    policy: Policy,
    now: Micros,
    directory: Directory,
    /// Incarnations that may have nothing left.
    maybe_unused: BTreeSet<ServerIncarnation>,
    sessions: BTreeMap<CallId, Session>,
    ended_sessions: EndedSessions,
    migrated_viewers: MigratedViewers,
    connections: ViewerConnections,
    health_checks: HealthChecks,
    timers: Timers,
    shutdown: Shutdown,
    /// The list of media servers is known.
    has_list: bool,
    events: VecDeque<Event>,
    outputs: Vec<Output>,
}

impl Node {
    /// A front node with its settings, before its first input.
    pub fn new(parsed: Parsed, seed: u64, limits: NodeLimits) -> Self {
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
            ended_sessions: EndedSessions::default(),
            migrated_viewers: MigratedViewers::default(),
            connections: ViewerConnections::default(),
            health_checks: HealthChecks::new(seed),
            timers: Timers::default(),
            shutdown: Shutdown::default(),
            has_list: false,
            events: VecDeque::new(),
            outputs: Vec::new(),
        }
    }

    /// The window over which the policy limits the rate to a server that started lately.
    pub fn slow_start_window(&self) -> Micros {
        self.settings.slow_start.overload_window
    }

    /// Applies one input. Timers only run with [`Input::Tick`], so that the event loop can apply all that has arrived
    /// before it lets anything time out.
    pub fn handle(&mut self, now: Micros, input: Input) -> Vec<Output> {
        self.now = now.max(self.now);
        match input {
            Input::InitialTopologies(topologies) => self.initial_topologies(&topologies),
            Input::Topology(topology) => self.topology(&topology),
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

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next_due()
    }

    /// Whether it serves and goes on serving: it knows its list, and there was no SIGTERM.
    pub fn ready(&self) -> bool {
        self.has_list && self.shutdown.requested_at().is_none()
    }

    /// Lines on what the policy assumes, for a log.
    pub fn diagnostics(&self) -> Vec<String> {
        self.policy.describe(self.now, MAX_DIAGNOSTIC_LINES)
    }

    /// What a viewer's connection is used for.
    pub fn connection_use(&self, connection: ViewerConnection) -> ConnectionUse {
        self.connections.connection_use(connection)
    }

    /// When SIGTERM came.
    pub fn terminated(&self) -> Option<Micros> {
        self.shutdown.requested_at()
    }

    /// How much it holds.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts {
            incarnations: self.directory.incarnations.len(),
            servers: self.policy.known_servers(),
            queued_releases: self.connections.queued_releases(),
            timers: self.timers.len(),
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

    fn terminate(&mut self) {
        if self.shutdown == Shutdown::NotRequested {
            self.shutdown = Shutdown::Requested { at: self.now };
            self.timers.set(self.now + self.limits.shutdown_deadline, Timer::ShutdownDeadline);
        }
    }

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

    fn expire(&mut self) {
        self.timers.set(self.now + EXPIRY_INTERVAL, Timer::Expiry);
        self.connections.expire(self.now);
        self.migrated_viewers.expire(self.now);
        // A media server may answer up to the longest deadline of all classes.
        let max_deadline = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        let retention = (max_deadline + EXPIRY_INTERVAL).max(MIN_ENDED_RETENTION);
        self.ended_sessions.expire(self.now, retention);
    }

    /// Queues an event for the policy, behind those that it has not handled yet.
    fn queue_event(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Lets the policy handle all queued events, and performs its actions.
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
