//! Drives the state machine of one front node with seeded inputs.
//!
//! Media servers answer, refuse, stop answering, disconnect, restart and drain. Viewers arrive, leave and send malformed
//! set-ups. The state machine itself restarts.

use std::collections::BTreeMap;

use beechloft::api::Micros;
use beechloft_fleet_simulation::settings::{ClusterSettings, SessionClass};
use beechloft_front_node::{Input, Node, NodeLimits, Output, ViewerConnection};
use beechloft_protocol::CallId;
use beechloft_protocol::bus::{Endpoint, Status, Topology};
use beechloft_protocol::server::{FromServer, ServerMessage};
use beechloft_protocol::viewer::FromViewer;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::canonical::{Encoder, INPUT_KINDS, OUTPUT_KINDS};

pub(super) const SERVERS: u16 = 8;
const CONNECTIONS: u64 = 5;
const STEPS: usize = 4_000;
pub(super) const CAUSES: [u8; 6] = [16, 31, 34, 41, 47, 102];
const LOADS: [&str; 4] =
    ["utilization:0.2;x1:0.1", "utilization:0.95;x1:1.1", "utilization:NaN;x1:-3;y", "utilization:0.6"];

/// The inputs and outputs of a run.
pub struct Record {
    /// FNV-1a hash of all inputs and outputs in order.
    pub hash: u64,
    /// Number of inputs of each kind.
    pub inputs: [usize; INPUT_KINDS],
    /// Number of outputs of each kind.
    pub outputs: [usize; OUTPUT_KINDS],
    /// Number of operations of each kind that were sent to media servers.
    pub operations: BTreeMap<String, usize>,
    /// Number of messages of each type that were sent to viewers.
    pub to_viewers: BTreeMap<u8, usize>,
}

pub struct Driver {
    pub(super) rng: ChaCha8Rng,
    pub(super) settings: ClusterSettings,
    pub(super) node: Node,
    pub(super) now: Micros,
    pub(super) endpoints: Vec<Endpoint>,
    /// Pending attempts at media servers, with the state machine's number of the server.
    pub(super) attempts: BTreeMap<CallId, u32>,
    /// Sessions that media servers play, with the state machine's number of the server.
    pub(super) playing: BTreeMap<CallId, u32>,
    /// Probes without an answer.
    pub(super) probes: BTreeMap<CallId, u32>,
    /// Server numbers that the state machine has announced and not dropped.
    pub(super) servers: BTreeMap<u32, String>,
    pub(super) next_call: u64,
    /// Number of the next connection. Numbers are never reused.
    next_connection: u64,
    /// Connections that are open.
    connections: Vec<ViewerConnection>,
    pub(super) record: Record,
}

impl Driver {
    pub fn new(seed: u64) -> Driver {
        let settings = ClusterSettings {
            front_nodes: 3,
            cells: 4,
            streams: 30,
            cold_period_us: 2_000_000,
            overload_window_us: 1_000_000,
            reporting: if seed.is_multiple_of(2) { "pull" } else { "piggyback" },
            classes: &[
                SessionClass { name: "stall-video", rate_scale: 1.0 },
                SessionClass { name: "banner", rate_scale: 2.0 },
            ],
            ..ClusterSettings::default()
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let node = fresh_node(&settings, &mut rng);
        let record = Record {
            hash: 0xcbf2_9ce4_8422_2325,
            inputs: [0; INPUT_KINDS],
            outputs: [0; OUTPUT_KINDS],
            operations: BTreeMap::new(),
            to_viewers: BTreeMap::new(),
        };
        Driver {
            rng,
            settings,
            node,
            now: Micros(1_700_000_000_000_000),
            endpoints: (0..SERVERS).map(endpoint).collect(),
            attempts: BTreeMap::new(),
            playing: BTreeMap::new(),
            probes: BTreeMap::new(),
            servers: BTreeMap::new(),
            next_call: 1,
            next_connection: CONNECTIONS,
            connections: (0..CONNECTIONS).map(ViewerConnection).collect(),
            record,
        }
    }

    /// Performs the run, with four SIGTERMs. A restart follows each of them after enough time for the last call.
    pub fn run(mut self) -> Record {
        self.learn_list();
        for step in 0..STEPS {
            self.step();
            if step % 1_000 == 800 {
                self.input(Input::Terminate);
            }
            if step % 1_000 == 999 {
                self.restart();
            }
        }
        self.advance(10_000);
        self.record
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..=24 => self.set_up(),
            25..=44 => self.answer(),
            45..=49 => self.refuse(),
            50..=53 => self.break_attempt(),
            54..=58 => self.end_session(),
            59..=63 => self.note(),
            64..=66 => self.leave(),
            67..=68 => self.close_connection(),
            69 => self.undelivered_answer(),
            70..=71 => self.malformed_set_up(),
            72..=77 => self.change_list(),
            78 => self.lose_server(),
            79..=80 => self.answer_probe(),
            81 => self.unexpected_line(),
            82 => self.renumber(),
            83 => self.test(),
            84 => self.hand_over(),
            85 if self.rng.random_range(0..10) == 0 => self.restart(),
            _ => {
                let ms = self.rng.random_range(0..400);
                self.advance(ms);
            }
        }
    }

    pub(super) fn input(&mut self, input: Input) {
        let mut encoder = Encoder::default();
        encoder.number(self.now.0);
        let input_tag = encoder.input(&input);
        self.record.inputs[usize::from(input_tag)] += 1;
        let outputs = self.node.handle(self.now, input);
        encoder.number(outputs.len() as u64);
        for output in &outputs {
            let output_tag = encoder.output(output);
            self.record.outputs[usize::from(output_tag)] += 1;
            self.apply_output(output);
        }
        encoder.number(self.node.next_due().map_or(0, |due| due.0));
        for byte in encoder.bytes {
            self.record.hash = (self.record.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// Updates the state of media servers and viewers after an output.
    fn apply_output(&mut self, output: &Output) {
        match output {
            Output::AddIncarnation(server, address) => {
                let address = address.to_string();
                let named = self.endpoints.iter().find(|e| e.address == address);
                self.servers.insert(server.0, named.map_or(String::new(), |e| e.name.clone()));
            }
            Output::RemoveIncarnation(server) => {
                self.servers.remove(&server.0);
                self.attempts.retain(|_, at| *at != server.0);
                self.playing.retain(|_, at| *at != server.0);
            }
            Output::SendSetUp { incarnation: lane, id, line, .. } => {
                self.attempts.insert(*id, lane.0);
                self.count_operation(line);
            }
            Output::AbandonAttempt { id, line, .. } => {
                self.attempts.remove(id);
                self.count_operation(line);
            }
            Output::SendToServer(server, id, line) => match self.count_operation(line).as_str() {
                "test" => {
                    self.probes.insert(*id, server.0);
                }
                "end" => {
                    self.playing.remove(id);
                }
                _ => {}
            },
            Output::SendToViewer(_, message) => {
                let bytes = message.encode().expect("a message within its bound");
                *self.record.to_viewers.entry(bytes[2]).or_default() += 1;
            }
            Output::CloseViewerConnection(_)
            | Output::KeepConnected(..)
            | Output::CheckReachability(_)
            | Output::DiscardUnsent(..)
            | Output::Log(_) => {}
        }
    }

    fn count_operation(&mut self, line: &[u8]) -> String {
        let line: serde_json::Value = serde_json::from_slice(line).expect("a line of JSON");
        let operation = line["op"].as_str().expect("an operation").to_owned();
        *self.record.operations.entry(operation.clone()).or_default() += 1;
        operation
    }

    pub(super) fn pick(&mut self, all: &BTreeMap<CallId, u32>) -> Option<(CallId, u32)> {
        let index = self.rng.random_range(0..all.len().max(1));
        all.iter().nth(index).map(|(id, server)| (*id, *server))
    }

    pub(super) fn connection(&mut self) -> ViewerConnection {
        let index = self.rng.random_range(0..self.connections.len());
        self.connections[index]
    }

    /// Closes a connection, and opens the next one in its place.
    pub(super) fn close_connection(&mut self) {
        let closed = self.connection();
        let next = ViewerConnection(self.next_connection);
        self.next_connection += 1;
        self.connections.iter_mut().filter(|open| **open == closed).for_each(|open| *open = next);
        self.input(Input::ViewerConnectionClosed(closed));
    }

    fn load(&mut self) -> Option<String> {
        let index = self.rng.random_range(0..2 * LOADS.len());
        LOADS.get(index).map(|text| (*text).to_owned())
    }

    pub(super) fn server_line(&mut self, server: u32, event: FromServer) {
        let load = self.load();
        self.input(Input::ServerMessage(server_number(server), ServerMessage { event, load }));
    }

    fn learn_list(&mut self) {
        let snapshot = Topology { snapshot: true, endpoints: self.endpoints.clone() };
        let change = Topology { snapshot: false, endpoints: vec![self.endpoints[0].clone()] };
        self.input(Input::InitialTopologies(vec![snapshot, change]));
    }

    /// Restarts the front node with a new state machine, to which viewers present the playing sessions.
    fn restart(&mut self) {
        self.node = fresh_node(&self.settings, &mut self.rng);
        let playing = std::mem::take(&mut self.playing);
        let names = std::mem::take(&mut self.servers);
        self.attempts.clear();
        self.probes.clear();
        self.learn_list();
        for (id, server) in playing {
            let Some(name) = names.get(&server).filter(|name| !name.is_empty()).cloned() else { continue };
            let setup = self.set_up_of(id, 4_294_967, Some(name.clone()));
            let conn = self.connection();
            self.input(Input::ViewerMessage(conn, FromViewer::SetUp(id, Ok(setup))));
            let current = self.servers.iter().rfind(|(_, n)| **n == name).map(|(number, _)| *number);
            if let Some(number) = current {
                self.playing.insert(id, number);
            }
        }
    }

    /// Advances the time, and runs timers when they are due.
    fn advance(&mut self, ms: u64) {
        let end = self.now + Micros(ms * 1_000);
        while let Some(due) = self.node.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.input(Input::Tick);
        }
        self.now = end;
    }
}

fn fresh_node(settings: &ClusterSettings, rng: &mut ChaCha8Rng) -> Node {
    let settings = beechloft_settings::parse(settings.settings_json(1).as_bytes()).expect("settings");
    let bounds = NodeLimits {
        answer_margin: Micros(20_000),
        health_check_timeout: Micros(250_000),
        max_sessions: 60,
        shutdown_deadline: Micros(2_000_000),
    };
    Node::new(settings, rng.random(), bounds)
}

pub(super) fn endpoint(number: u16) -> Endpoint {
    Endpoint {
        name: format!("s-{number:08x}"),
        address: format!("127.0.0.{}:2905", number + 1),
        zone: ["a", "b"][usize::from(number) % 2].into(),
        server_type: "small".into(),
        cell: number % 4,
        status: Status::Ready,
        weight: 1.0,
        started_ms: 0,
    }
}

pub(super) fn server_number(number: u32) -> beechloft_front_node::ServerIncarnation {
    beechloft_front_node::ServerIncarnation(number)
}
