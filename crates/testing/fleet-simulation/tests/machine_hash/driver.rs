//! Drives one front node's machine by a seed: media servers that answer, refuse, fall silent, break off, restart and
//! drain; viewers that come, leave and send malformed set-ups; restarts of the machine itself.

use std::collections::BTreeMap;

use beechloft::api::{Micros, SlotAssignment};
use beechloft_fleet_simulation::settings::{ClusterSettings, SessionClass};
use beechloft_front_node::{AttemptFailure, Input, Node, NodeLimits, Output, ViewerConnection};
use beechloft_protocol::attributes::Attributes;
use beechloft_protocol::bus::{Endpoint, Status, Topology};
use beechloft_protocol::server::{FromServer, Note, ServerMessage};
use beechloft_protocol::viewer::{FromViewer, SetUp, SetUpError};
use beechloft_protocol::{CallId, Cause};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::canonical::{Encoder, INPUT_KINDS, OUTPUT_KINDS};

const SERVERS: u16 = 8;
const CONNECTIONS: u64 = 5;
const STEPS: usize = 4_000;
const CAUSES: [u8; 6] = [16, 31, 34, 41, 47, 102];
const LOADS: [&str; 4] =
    ["utilization:0.2;x1:0.1", "utilization:0.95;x1:1.1", "utilization:NaN;x1:-3;y", "utilization:0.6"];

/// What a run has fed to the machine and has got from it.
pub struct Record {
    /// FNV-1a over all inputs and outputs, in order.
    pub hash: u64,
    /// How often each kind of input was given.
    pub inputs: [usize; INPUT_KINDS],
    /// How often each kind of output came.
    pub outputs: [usize; OUTPUT_KINDS],
    /// How often each operation was written to media servers.
    pub operations: BTreeMap<String, usize>,
    /// How often each message type was sent to viewers.
    pub to_viewers: BTreeMap<u8, usize>,
}

pub struct Driver {
    rng: ChaCha8Rng,
    settings: ClusterSettings,
    node: Node,
    now: Micros,
    endpoints: Vec<Endpoint>,
    /// Attempts sent to media servers and not over, with the machine's number of the server.
    attempts: BTreeMap<CallId, u32>,
    /// Sessions that media servers play, with the machine's number of the server.
    playing: BTreeMap<CallId, u32>,
    /// Probes that wait for an answer.
    probes: BTreeMap<CallId, u32>,
    /// Server numbers that the machine has stated, and not dropped.
    servers: BTreeMap<u32, String>,
    next_call: u64,
    record: Record,
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
            record,
        }
    }

    /// The whole run: SIGTERM four times, each long enough before a restart that the last call comes.
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
        self.pass(10_000);
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
                self.pass(ms);
            }
        }
    }

    fn input(&mut self, input: Input) {
        let mut encoder = Encoder::default();
        encoder.number(self.now.0);
        let input_tag = encoder.input(&input);
        self.record.inputs[usize::from(input_tag)] += 1;
        let outputs = self.node.handle(self.now, input);
        encoder.number(outputs.len() as u64);
        for output in &outputs {
            let output_tag = encoder.output(output);
            self.record.outputs[usize::from(output_tag)] += 1;
            self.follow(output);
        }
        encoder.number(self.node.next_due().map_or(0, |due| due.0));
        for byte in encoder.bytes {
            self.record.hash = (self.record.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// Keeps the media servers' and viewers' side of what the machine puts out.
    fn follow(&mut self, output: &Output) {
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

    fn pick(&mut self, all: &BTreeMap<CallId, u32>) -> Option<(CallId, u32)> {
        let index = self.rng.random_range(0..all.len().max(1));
        all.iter().nth(index).map(|(id, server)| (*id, *server))
    }

    fn connection(&mut self) -> ViewerConnection {
        ViewerConnection(self.rng.random_range(0..CONNECTIONS))
    }

    fn load(&mut self) -> Option<String> {
        let index = self.rng.random_range(0..2 * LOADS.len());
        LOADS.get(index).map(|text| (*text).to_owned())
    }

    fn server_line(&mut self, server: u32, event: FromServer) {
        let load = self.load();
        self.input(Input::ServerMessage(server_number(server), ServerMessage { event, load }));
    }

    fn learn_list(&mut self) {
        let whole = Topology { snapshot: true, endpoints: self.endpoints.clone() };
        let change = Topology { snapshot: false, endpoints: vec![self.endpoints[0].clone()] };
        self.input(Input::InitialTopologies(vec![whole, change]));
    }

    fn set_up(&mut self) {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let (conn, timeout_ms) = (self.connection(), self.rng.random_range(50..5_000));
        let message = FromViewer::SetUp(id, Ok(self.set_up_of(id, timeout_ms, None)));
        self.input(Input::ViewerMessage(conn, message));
    }

    fn set_up_of(&mut self, id: CallId, timeout_ms: u64, at: Option<String>) -> Box<SetUp> {
        let title = self.rng.random_range(0..40u64);
        Box::new(SetUp {
            class: ["stall-video", "banner"][usize::from(id.0.is_multiple_of(2))].into(),
            timeout_ms,
            title: format!("{title:016x}"),
            title_id: title,
            attributes: Attributes {
                home_cell: self.rng.random_range(0..4),
                copies: self.rng.random_range(1..=4),
                max_rung: self.rng.random_range(0..3),
                viewer: self.rng.random_range(0..200),
                is_retry: self.rng.random_range(0..10) == 0,
                playing_at: at,
            },
            description: format!("{id}\r\nc=IN IP4 10.4.7.9\r\n"),
        })
    }

    fn answer(&mut self) {
        let attempts = self.attempts.clone();
        let Some((id, server)) = self.pick(&attempts) else { return };
        self.attempts.remove(&id);
        self.playing.insert(id, server);
        self.server_line(server, FromServer::Accept(id, format!("answer {id}")));
        if self.rng.random_range(0..20) == 0 {
            self.server_line(server, FromServer::Accept(id, "a second copy".into()));
        }
    }

    fn refuse(&mut self) {
        let attempts = self.attempts.clone();
        let Some((id, server)) = self.pick(&attempts) else { return };
        self.attempts.remove(&id);
        let cause = CAUSES[self.rng.random_range(0..CAUSES.len())];
        self.server_line(server, FromServer::End(id, Cause::from(cause)));
    }

    fn break_attempt(&mut self) {
        let attempts = self.attempts.clone();
        let Some((id, server)) = self.pick(&attempts) else { return };
        self.attempts.remove(&id);
        let failures =
            [AttemptFailure::NoConnection, AttemptFailure::NotSent, AttemptFailure::ConnectionReset];
        let failure = failures[self.rng.random_range(0..failures.len())];
        self.input(Input::AttemptFailed(server_number(server), id, failure));
    }

    fn end_session(&mut self) {
        let playing = self.playing.clone();
        let Some((id, server)) = self.pick(&playing) else { return };
        self.playing.remove(&id);
        let cause = CAUSES[self.rng.random_range(0..CAUSES.len())];
        self.server_line(server, FromServer::End(id, Cause::from(cause)));
    }

    fn note(&mut self) {
        let playing = self.playing.clone();
        let Some((id, server)) = self.pick(&playing) else { return };
        let value = self.rng.random_range(0.0..1.5);
        let note = match self.rng.random_range(0..4) {
            0 => Note::DeliveredFraction(value),
            1 => Note::Rung(value),
            2 => Note::LinkUtilization(value),
            _ => Note::UplinkUtilization(value),
        };
        self.server_line(server, FromServer::Note(id, note));
    }

    fn leave(&mut self) {
        let (conn, id) = (self.connection(), self.rng.random_range(0..self.next_call));
        self.playing.remove(&CallId(id));
        self.input(Input::ViewerMessage(conn, FromViewer::Release(CallId(id))));
        self.input(Input::ViewerMessage(conn, FromViewer::Ignored(CallId(id))));
    }

    fn close_connection(&mut self) {
        let conn = self.connection();
        self.input(Input::ViewerConnectionClosed(conn));
    }

    fn undelivered_answer(&mut self) {
        let playing = self.playing.clone();
        if let Some((id, _)) = self.pick(&playing) {
            self.input(Input::AnswerUndelivered(id));
        }
    }

    fn malformed_set_up(&mut self) {
        let conn = self.connection();
        let open = self.attempts.clone();
        let id = match self.rng.random_range(0..3) {
            0 => self.pick(&open).map_or(CallId(1 << 40), |attempt| attempt.0),
            _ => CallId(1 << 41),
        };
        let setup = match self.rng.random_range(0..5) {
            0 => Err(SetUpError::Missing(1)),
            1 => Err(SetUpError::Invalid(3)),
            2 => Ok(self.set_up_of(id, 900, None)),
            3 => {
                let mut setup = self.set_up_of(id, 900, None);
                setup.attributes.home_cell = 99;
                Ok(setup)
            }
            _ => {
                let mut setup = self.set_up_of(id, 900, None);
                setup.class = "unknown".into();
                Ok(setup)
            }
        };
        self.input(Input::ViewerMessage(conn, FromViewer::SetUp(id, setup)));
    }

    /// Changes one endpoint: drained, removed, restarted, back, or with the address of another.
    fn change_list(&mut self) {
        let index = self.rng.random_range(0..self.endpoints.len());
        let now_ms = self.now.0 / 1_000;
        match self.rng.random_range(0..8) {
            0..=1 => self.endpoints[index].status = Status::Terminating,
            2 => self.endpoints[index].status = Status::Gone,
            3 => self.endpoints[index].started_ms = now_ms,
            4 => {
                let address = self.endpoints[(index + 1) % self.endpoints.len()].address.clone();
                self.endpoints[index].address = address;
            }
            5 => self.endpoints[index] = endpoint(index as u16),
            _ => self.endpoints[index].status = Status::Ready,
        }
        let topology = match self.rng.random_range(0..6) {
            0 => {
                let listed = self.endpoints.iter().filter(|e| e.status != Status::Gone).cloned();
                Topology { snapshot: true, endpoints: listed.collect() }
            }
            1 => Topology { snapshot: true, endpoints: Vec::new() },
            _ => Topology { snapshot: false, endpoints: vec![self.endpoints[index].clone()] },
        };
        self.input(Input::Topology(topology));
    }

    fn lose_server(&mut self) {
        let index = self.rng.random_range(0..self.servers.len().max(1));
        let Some(server) = self.servers.keys().nth(index).copied() else { return };
        self.playing.retain(|_, at| *at != server);
        self.input(Input::ServerDown(server_number(server)));
    }

    fn answer_probe(&mut self) {
        let probes = self.probes.clone();
        let Some((id, server)) = self.pick(&probes) else { return };
        self.probes.remove(&id);
        let passed = self.rng.random_range(0..4) > 0;
        self.server_line(server, FromServer::TestResult(id, passed));
    }

    /// A line about any session from any server.
    fn unexpected_line(&mut self) {
        let (id, server) =
            (CallId(self.rng.random_range(0..self.next_call)), self.rng.random_range(0..SERVERS.into()));
        let message = match self.rng.random_range(0..3) {
            0 => FromServer::Accept(id, "unexpected".into()),
            1 => FromServer::End(id, Cause::Normal),
            _ => FromServer::Ignored(id),
        };
        self.server_line(server, message);
    }

    fn renumber(&mut self) {
        let number = self.rng.random_range(0..4);
        self.input(Input::SlotAssigned(SlotAssignment { slot: number, slot_count: 3, live_fronts: 3 }));
    }

    fn test(&mut self) {
        let conn = self.connection();
        self.input(Input::ViewerMessage(conn, FromViewer::Test(CallId(1 << 42))));
    }

    /// A session that plays is named by its viewer, at a server that is known or not.
    fn hand_over(&mut self) {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let at = format!("s-{:08x}", self.rng.random_range(0..SERVERS + 1));
        let server = self.servers.iter().rfind(|(_, name)| **name == at).map(|(number, _)| *number);
        let (conn, setup) = (self.connection(), self.set_up_of(id, 4_294_967, Some(at)));
        self.input(Input::ViewerMessage(conn, FromViewer::SetUp(id, Ok(setup))));
        if let Some(server) = server {
            self.playing.insert(id, server);
        }
    }

    /// The front node starts again: a new machine, to which viewers name the sessions that play.
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

    /// Time passes; what is due comes when it is due.
    fn pass(&mut self, ms: u64) {
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

fn endpoint(number: u16) -> Endpoint {
    Endpoint {
        name: format!("s-{number:08x}"),
        address: format!("127.0.0.{}:2905", number + 1),
        zone: ["a", "b"][usize::from(number) % 2].into(),
        kind: "small".into(),
        cell: number % 4,
        status: Status::Ready,
        weight: 1.0,
        started_ms: 0,
    }
}

fn server_number(number: u32) -> beechloft_front_node::ServerIncarnation {
    beechloft_front_node::ServerIncarnation(number)
}
