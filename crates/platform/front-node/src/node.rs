//! The machine's state, its inputs, and the way of the module's events and actions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use beechloft::api::{self as api, Event, LoadReport, Micros, Outcome, ReportField, ServerId, ViewerId};
use beechloft::policy::Policy;
use beechloft_protocol::CallId;
use beechloft_protocol::bus::Topology;
use beechloft_protocol::load::LoadValue;
use beechloft_protocol::viewer::ToViewer;
use beechloft_settings::{Names, Parsed};

use crate::directory::{Change, Directory};
use crate::io::{Input, Output, ServerIncarnation, ViewerConnection};
use crate::releases::{ConnectionUse, Releases};
use crate::session::{Phase, Session};
use crate::timers::{Due, Timers};

/// How often what lingers is let go.
const SWEEP: Micros = Micros(500_000);
/// An ended session is remembered for so long, as late words about it may come: for the longest deadline, within which a
/// media server may still answer, and at least so long, for answers that were late on the way.
const ENDED_FOR: Micros = Micros(15_000_000);
/// So many ended sessions are remembered at most.
const MOST_ENDED: usize = 8192;
/// A viewer that this front node moved is remembered for so long.
pub(crate) const MOVED_FOR: Micros = Micros(15_000_000);
/// So many such viewers are remembered at most.
pub(crate) const MOST_MOVED: usize = 4096;

/// What the shell bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeLimits {
    /// An answer leaves so long before the viewer gives up: time for it to arrive.
    pub answer_margin: Micros,
    /// A probe is dropped after so long.
    pub probe_timeout: Micros,
    /// Sessions held at most.
    pub max_sessions: usize,
    /// So long after SIGTERM all is answered that is still owed.
    pub shutdown_deadline: Micros,
}

/// How many of each thing the machine holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Sessions that are owed an answer.
    pub pending: usize,
    /// Sessions that stand.
    pub established: usize,
    /// Sessions that are over, with an attempt still out.
    pub abandoned: usize,
    /// Lanes to media servers.
    pub incarnations: usize,
    /// Media servers that the module has in mind.
    pub servers: usize,
    /// Releases that wait for a connection.
    pub queued_releases: usize,
    /// Timers.
    pub timers: usize,
}

/// The front node.
#[derive(Debug)]
pub struct Node {
    pub(crate) choice: Policy,
    pub(crate) settings: api::Settings,
    pub(crate) names: Names,
    fields: Vec<ReportField>,
    pub(crate) bounds: NodeLimits,
    pub(crate) now: Micros,
    pub(crate) directory: Directory,
    pub(crate) sessions: BTreeMap<CallId, Session>,
    pub(crate) releases: Releases,
    pub(crate) probes: BTreeMap<CallId, ServerId>,
    pub(crate) probes_made: u64,
    pub(crate) moved: BTreeMap<ViewerId, Micros>,
    /// Sessions that ended here lately, by lane, so that a late answer is released at its media server.
    ended: BTreeMap<(ServerIncarnation, CallId), Micros>,
    ended_order: VecDeque<(Micros, ServerIncarnation, CallId)>,
    pub(crate) timers: Timers,
    pub(crate) terminated: Option<Micros>,
    /// The last call has come: nothing new is begun.
    pub(crate) last_call: bool,
    started: bool,
    events: VecDeque<Event>,
    /// Lanes that may have nothing left.
    pub(crate) untidy: BTreeSet<ServerIncarnation>,
    pub(crate) out: Vec<Output>,
}

impl Node {
    /// A front node that knows its settings and nothing else.
    pub fn new(parsed: Parsed, seed: u64, bounds: NodeLimits) -> Self {
        let settings = parsed.settings;
        Node {
            choice: Policy::new(settings.clone(), seed),
            settings,
            names: parsed.names,
            fields: parsed.report_fields,
            bounds,
            now: Micros(0),
            directory: Directory::default(),
            sessions: BTreeMap::new(),
            releases: Releases::default(),
            probes: BTreeMap::new(),
            probes_made: seed,
            moved: BTreeMap::new(),
            ended: BTreeMap::new(),
            ended_order: VecDeque::new(),
            timers: Timers::default(),
            terminated: None,
            last_call: false,
            started: false,
            events: VecDeque::new(),
            untidy: BTreeSet::new(),
            out: Vec::new(),
        }
    }

    /// The span over which the module paces cold servers.
    pub fn slow_start_window(&self) -> Micros {
        self.settings.slow_start.overload_window
    }

    /// Takes one input; what is due by now comes after it, so that what has arrived counts before time-outs do.
    pub fn handle(&mut self, now: Micros, input: Input) -> Vec<Output> {
        self.now = now.max(self.now);
        match input {
            Input::InitialTopologies(all) => self.known(&all),
            Input::Topology(topology) => self.topology(&topology),
            Input::ViewerMessage(conn, message) => self.viewer(conn, message),
            Input::ViewerConnectionClosed(conn) => self.viewer_closed(conn),
            Input::AnswerUndelivered(id) => self.unsaid(id),
            Input::ServerMessage(lane, line) => self.server(lane, line),
            Input::AttemptFailed(lane, id, how) => self.broken(lane, id, how),
            Input::ServerDown(lane) => self.lane_dead(lane),
            Input::SlotAssigned(numbered) => self.feed(Event::SlotAssigned(numbered)),
            Input::Terminate => {
                if self.terminated.is_none() {
                    self.terminated = Some(self.now);
                    self.timers.set(self.now + self.bounds.shutdown_deadline, Due::LastCall);
                }
            }
            Input::Tick => self.due(),
        }
        self.decide();
        self.tidy_all();
        std::mem::take(&mut self.out)
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Whether it can decide: it knows its list, and is not about to end.
    pub fn ready(&self) -> bool {
        self.started && self.terminated.is_none()
    }

    /// What the module believes, some lines.
    pub fn diagnostics(&self) -> Vec<String> {
        const MOST: usize = 64;
        self.choice.describe(self.now, MOST)
    }

    /// What a viewers' connection is of use for.
    pub fn connection_use(&self, conn: ViewerConnection) -> ConnectionUse {
        self.releases.use_of(conn)
    }

    /// When SIGTERM came.
    pub fn terminated(&self) -> Option<Micros> {
        self.terminated
    }

    /// How much it holds.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts {
            incarnations: self.directory.lanes.len(),
            servers: self.choice.known_servers(),
            queued_releases: self.releases.owed(),
            timers: self.timers.len(),
            ..Counts::default()
        };
        for s in self.sessions.values() {
            match s.phase {
                Phase::Owed { .. } => counts.pending += 1,
                Phase::Over(_) => counts.abandoned += 1,
                Phase::Standing(_) => counts.established += 1,
            }
        }
        counts
    }

    fn due(&mut self) {
        while let Some(due) = self.timers.pop(self.now) {
            match due {
                Due::Module(token) => self.feed(Event::Timer(token)),
                Due::Attempt(id, number) => self.attempt_due(id, number),
                Due::Answer(id) => self.answer_due(id),
                Due::Probe(id, server) => {
                    if self.probes.remove(&id).is_some() {
                        let report = LoadReport::default();
                        self.feed(Event::HealthChecked { server, outcome: Outcome::Timeout, report });
                    }
                }
                Due::Sweep => self.sweep(),
                Due::LastCall => self.answer_all(),
            }
            self.decide();
        }
    }

    fn sweep(&mut self) {
        self.timers.set(self.now + SWEEP, Due::Sweep);
        self.releases.sweep(self.now);
        let now = self.now;
        self.moved.retain(|_, at| now - *at <= MOVED_FOR);
        let longest = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let ended_for = (longest + SWEEP).max(ENDED_FOR);
        while self.ended_order.front().is_some_and(|e| now - e.0 > ended_for) {
            self.forget_oldest_ended();
        }
    }

    fn forget_oldest_ended(&mut self) {
        if let Some((at, lane, id)) = self.ended_order.pop_front()
            && self.ended.get(&(lane, id)) == Some(&at)
        {
            self.ended.remove(&(lane, id));
        }
    }

    /// Remembers that a session ended at a lane.
    pub(crate) fn remember_ended(&mut self, lane: ServerIncarnation, id: CallId) {
        if self.ended.len() >= MOST_ENDED {
            self.forget_oldest_ended();
        }
        self.ended.insert((lane, id), self.now);
        self.ended_order.push_back((self.now, lane, id));
    }

    pub(crate) fn ended_lately(&self, lane: ServerIncarnation, id: CallId) -> bool {
        self.ended.contains_key(&(lane, id))
    }

    /// The list at the start is that of the events before it; perhaps it is stale.
    fn known(&mut self, all: &[Topology]) {
        let mut entries: Vec<api::Endpoint> = Vec::new();
        for topology in all {
            let lines = self.lines(topology);
            if topology.snapshot && !lines.is_empty() {
                self.leave_out(|server| lines.iter().all(|l| l.server != server));
            }
            entries.retain(|x| lines.iter().all(|l| l.server != x.server));
            entries.extend(lines);
        }
        let listed = self.directory.listed();
        entries.retain(|e| listed.contains(&e.server));
        self.feed(Event::EndpointsUpdated { kind: api::UpdateKind::Cached, endpoints: entries });
        if !std::mem::replace(&mut self.started, true) {
            self.timers.set(self.now + SWEEP, Due::Sweep);
        }
    }

    fn topology(&mut self, topology: &Topology) {
        let entries = self.lines(topology);
        let form = if topology.snapshot { api::UpdateKind::Full } else { api::UpdateKind::Delta };
        self.feed(Event::EndpointsUpdated { kind: form, endpoints: entries });
        self.started = true;
        if topology.snapshot {
            // What a whole list leaves out is gone if the module believes it; one that names nobody it does not.
            self.decide();
            let believed: Vec<_> =
                self.directory.listed().into_iter().filter(|s| self.choice.lists(*s)).collect();
            self.leave_out(|server| !believed.contains(&server));
        }
    }

    /// Servers that the list has no more, without having said so by name.
    fn leave_out(&mut self, out: impl Fn(api::ServerId) -> bool) {
        for server in self.directory.listed().into_iter().filter(|s| out(*s)) {
            if let Some(lane) = self.directory.lane(server) {
                self.directory.lanes.entry(lane).and_modify(|l| l.gone = true);
                self.lane_gone(lane);
            }
        }
    }

    /// Takes the lines of a list, and ends what has lost its media server by them.
    fn lines(&mut self, topology: &Topology) -> Vec<api::Endpoint> {
        let mut entries = Vec::with_capacity(topology.endpoints.len());
        for e in &topology.endpoints {
            let Some((entry, change)) = self.directory.take(e, &self.names) else { continue };
            entries.push(entry);
            let Change { begins, replaced, gone } = change;
            if let Some((lane, addr)) = begins {
                // Whoever had this address before has gone, whether the list has told it or not.
                let before: Vec<ServerIncarnation> = self.directory.at(addr).filter(|l| *l != lane).collect();
                for lane in before {
                    self.lane_dead(lane);
                }
                self.out.push(Output::AddIncarnation(lane, addr));
            }
            if let Some(lane) = replaced {
                self.lane_dead(lane);
            }
            if let Some(lane) = gone {
                self.lane_gone(lane);
            }
        }
        entries
    }

    /// The figures of a load report, as the module knows them.
    pub(crate) fn report(&self, text: Option<&str>) -> LoadReport {
        let mut report = LoadReport::default();
        let Some(text) = text else { return report };
        for LoadValue { name, value } in beechloft_protocol::load::parse(text) {
            let Some(at) = self.names.report_values.iter().position(|n| n == name) else { continue };
            match self.fields.get(at) {
                Some(ReportField::Streams) => report.streams = Some(value),
                Some(ReportField::LinkUtilization) => report.link_utilization = Some(value),
                Some(ReportField::UplinkUtilization) => report.uplink_utilization = Some(value),
                Some(ReportField::Other) | None => {}
            }
        }
        report
    }

    /// Has the module hear something, after what it is hearing now.
    pub(crate) fn feed(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Lets the module hear all there is, and does what it says.
    fn decide(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.choice.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    /// Says something to a viewer whose session stood.
    pub(crate) fn release(&mut self, session: &Session, message: ToViewer) {
        self.releases.say(self.now, session.conn, message, &mut self.out);
    }
}
