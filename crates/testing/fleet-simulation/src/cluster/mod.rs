//! The simulated cluster: its clock, its event queue, and the requests of viewers.

mod faults;
mod front_node;
mod network;
mod set_up;

use std::collections::BTreeMap;

use beechloft::api::Micros;
use beechloft_front_node::{Input, Node, NodeLimits, ViewerConnection};
use beechloft_protocol::bus::{Status, Topology};
use beechloft_protocol::server::FromServer;
use beechloft_protocol::viewer::FromViewer;
use beechloft_protocol::{CallId, Cause};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::media_server::MediaServer;
use crate::settings::ClusterSettings;
use front_node::FrontNode;

/// Network delay in one direction.
const NETWORK_DELAY: Micros = Micros(500);
/// Simulated time at the start.
const START: Micros = Micros(1_700_000_000_000_000);
/// Connection that all viewers of a front node share.
const VIEWERS: ViewerConnection = ViewerConnection(1);

/// An event of the simulation.
enum Event {
    /// An input reaches a front node. It is dropped if the front node has restarted since it was sent.
    Input { front_node: usize, restarts: u32, input: Input },
    /// A timer of a front node may be due. It is dropped if the front node has restarted since it was set.
    Timer { front_node: usize, restarts: u32 },
    /// A viewer requests a session with a duration at a front node.
    Request { front_node: usize, length: Micros },
    /// A session ends at its media server.
    SessionEnd { server: usize, id: CallId },
}

/// The results of all viewers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Totals {
    /// Number of requested sessions.
    pub requested: usize,
    /// Number of established sessions.
    pub established: usize,
    /// Number of refused requests.
    pub refused: usize,
    /// Number of failed requests.
    pub failed: usize,
    /// Number of sessions that ended with the process of their media server.
    pub interrupted: usize,
}

/// A simulated cluster of front nodes and media servers.
pub struct Cluster {
    /// Settings of all front nodes.
    pub settings: ClusterSettings,
    /// Media servers.
    pub servers: Vec<MediaServer>,
    /// Results of all viewers so far.
    pub totals: Totals,
    front_nodes: Vec<FrontNode>,
    now: Micros,
    /// Queued events by time, and by the order of queueing within the same instant.
    events: BTreeMap<(Micros, u64), Event>,
    last_sequence: u64,
    last_call: u64,
    /// Requests without an answer, with the duration of the session.
    pending: BTreeMap<CallId, Micros>,
    rng: ChaCha8Rng,
}

impl Cluster {
    /// Starts all front nodes at the same instant, with a list of media servers that have completed their cold period.
    pub fn start(settings: ClusterSettings, servers: u16, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            settings,
            servers: (0..servers).map(MediaServer::warm).collect(),
            totals: Totals::default(),
            front_nodes: Vec::new(),
            now: START,
            events: BTreeMap::new(),
            last_sequence: 0,
            last_call: 0,
            pending: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for number in 0..settings.front_nodes {
            let node = cluster.new_node(number);
            cluster.front_nodes.push(FrontNode::new(node));
        }
        for front_node in 0..cluster.front_nodes.len() {
            cluster.give_initial_list(front_node);
        }
        cluster
    }

    fn new_node(&mut self, number: u32) -> Node {
        let json = self.settings.settings_json(number);
        let parsed = beechloft_settings::parse(json.as_bytes()).expect("the simulation's own settings");
        let limits = NodeLimits {
            answer_margin: Micros(20_000),
            health_check_timeout: Micros(250_000),
            max_sessions: 8192,
            shutdown_deadline: Micros(3_450_000),
        };
        Node::new(parsed, self.rng.random(), limits)
    }

    fn give_initial_list(&mut self, front_node: usize) {
        let listed = self.servers.iter().filter(|server| server.status != Status::Gone);
        let endpoints = listed.map(|server| server.endpoint(&self.settings)).collect();
        let topology = Topology { snapshot: true, endpoints };
        self.handle(front_node, Input::InitialTopologies(vec![topology]));
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Returns the number of front nodes.
    pub fn front_node_count(&self) -> usize {
        self.front_nodes.len()
    }

    /// Returns the number of sessions that are established according to the front nodes.
    pub fn established_sessions(&self) -> usize {
        self.front_nodes.iter().map(|front_node| front_node.node.counts().established).sum()
    }

    /// Schedules session requests of viewers during the next `duration_us` microseconds, at a rate over the whole cluster.
    /// Front nodes and times are random.
    pub fn request_sessions(&mut self, per_second: f64, duration_us: u64, length: Micros) {
        self.request_sessions_weighted(per_second, duration_us, length, |_| 1);
    }

    /// Schedules session requests as [`Self::request_sessions`] does, with a weight for each front node.
    pub fn request_sessions_weighted(
        &mut self,
        per_second: f64,
        duration_us: u64,
        length: Micros,
        weight: impl Fn(usize) -> usize,
    ) {
        let choices: Vec<usize> = (0..self.front_nodes.len())
            .flat_map(|front_node| std::iter::repeat_n(front_node, weight(front_node)))
            .collect();
        for _ in 0..request_count(per_second, duration_us) {
            let choice = self.rng.random_range(0..choices.len());
            let delay = Micros(self.rng.random_range(0..duration_us));
            self.schedule(delay, Event::Request { front_node: choices[choice], length });
        }
    }

    /// Runs the simulation for a duration in microseconds.
    pub fn run_for(&mut self, duration_us: u64) {
        let end = self.now + Micros(duration_us);
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.process(event);
        }
        self.now = end;
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Input { front_node, restarts, input } => {
                if self.front_nodes[front_node].restarts == restarts {
                    self.handle(front_node, input);
                }
            }
            Event::Timer { front_node, restarts } => {
                let target = &self.front_nodes[front_node];
                let is_due = target.node.next_due().is_some_and(|due| due <= self.now);
                if target.restarts == restarts && is_due {
                    self.handle(front_node, Input::Tick);
                }
            }
            Event::Request { front_node, length } => self.request_session(front_node, length),
            Event::SessionEnd { server, id } => {
                if let Some(front_node) = self.servers[server].sessions.remove(&id) {
                    self.send_to_front_node(
                        front_node,
                        server,
                        FromServer::End(id, Cause::Normal),
                        NETWORK_DELAY,
                    );
                }
            }
        }
    }

    fn request_session(&mut self, front_node: usize, length: Micros) {
        self.last_call += 1;
        self.totals.requested += 1;
        let id = CallId(self.last_call);
        self.pending.insert(id, length);
        let message = FromViewer::SetUp(id, Ok(set_up::new_session(id, &self.settings)));
        self.handle(front_node, Input::ViewerMessage(VIEWERS, message));
    }

    /// Passes an input to a front node and executes the outputs.
    fn handle(&mut self, front_node: usize, input: Input) {
        let outputs = self.front_nodes[front_node].node.handle(self.now, input);
        for output in outputs {
            self.carry_out(front_node, output);
        }
        let target = &self.front_nodes[front_node];
        if let Some(due) = target.node.next_due() {
            // If a timer is scheduled twice, nothing is due the second time.
            let restarts = target.restarts;
            self.schedule(due - self.now, Event::Timer { front_node, restarts });
        }
    }

    fn schedule(&mut self, delay: Micros, event: Event) {
        self.last_sequence += 1;
        self.events.insert((self.now + delay, self.last_sequence), event);
    }

    /// Schedules an input for the present process of a front node.
    fn schedule_input(&mut self, delay: Micros, front_node: usize, input: Input) {
        let restarts = self.front_nodes[front_node].restarts;
        self.schedule(delay, Event::Input { front_node, restarts, input });
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "rates and durations of a simulation are small and positive; a fraction is to be dropped"
)]
fn request_count(per_second: f64, duration_us: u64) -> usize {
    (per_second * duration_us as f64 / 1e6) as usize
}
