//! A harness around the machine: it drives it and checks the rules on what comes out.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use beechloft::api::Micros;
use beechloft_front_node::{Input, Node, NodeLimits, Output, ServerIncarnation, ViewerConnection};
use beechloft_protocol::attributes::Attributes;
use beechloft_protocol::bus::{Endpoint, Status, Topology};
use beechloft_protocol::server::{FromServer, ServerMessage};
use beechloft_protocol::viewer::{FromViewer, SetUp, ToViewer};
use beechloft_protocol::{CallId, Cause};

pub const SETTINGS: &str = r#"{
    "caps": {"cancel": true, "max_attempts": 3, "probes": true, "retry_after": true, "max_retry_after_us": 500000,
        "dial_timeout_us": 250000, "conn_idle_us": 30000000},
    "classes": [{"name": "stall-video", "aim_us": 800000, "deadline_us": 4000000, "effect": "repeatable", "points": 1.0}],
    "discovery": "push", "group_size": 2, "my_number": 0, "kinds": ["small"], "zones": ["a", "b"],
    "family_info": {"all_links_kb": 400000.0, "link_unit_kb": 100000.0, "rack_link_kb": 200000.0,
        "floor_by_class": [0], "top_by_class": [1], "scale_by_class": [1.0], "seats": [0], "guard": 1.2,
        "kind_streams": [60], "places": 4, "shelves": 2, "rates_kb": [200.0, 400.0], "see_us": 800000,
        "worth_by_rung": [0.4, 1.0]},
    "reporting": {"how": "piggyback", "names": ["utilization", "x1"]},
    "rules": {"cold_from": 0.4, "cold_us": 1000000, "fall_multiple": 3.0, "fall_us": 2000000,
        "stop_sending_within_us": 1000000},
    "weights": "rough"
}"#;

/// So long after SIGTERM all is answered.
pub const SHUTDOWN_DEADLINE_MS: u64 = 2_000;

pub fn endpoint(n: u16, status: Status) -> Endpoint {
    Endpoint {
        name: format!("s-{n:08x}"),
        address: format!("127.0.{}.{}:2905", n / 200, n % 200 + 1),
        zone: "a".into(),
        kind: "small".into(),
        cell: n % 4,
        status,
        weight: 1.0,
        started_ms: 0,
    }
}

pub fn line(event: FromServer) -> ServerMessage {
    ServerMessage { event, load: None }
}

pub fn set_up(viewer: u64, timeout_ms: u64) -> Box<SetUp> {
    Box::new(SetUp {
        class: "stall-video".into(),
        timeout_ms,
        title: "00000000000000aa".into(),
        title_id: 0xaa,
        attributes: Attributes {
            home_cell: 0,
            copies: 4,
            max_rung: 1,
            viewer,
            is_retry: false,
            playing_at: None,
        },
        description: format!("{viewer:016x}\r\nc=IN IP4 10.4.7.9\r\n"),
    })
}

/// Drives a machine, plays the other side's part of the books, and checks the rules.
pub struct Harness {
    pub node: Node,
    pub now: Micros,
    /// Where each attempt is out.
    pub in_flight: BTreeMap<CallId, ServerIncarnation>,
    /// Sessions that stand, by what was said to viewers and media servers.
    pub established: BTreeMap<CallId, ServerIncarnation>,
    /// Set-ups that are owed an answer, and by when.
    pub pending: BTreeMap<CallId, Micros>,
    /// The connection of each set-up that is owed an answer.
    requested_on: BTreeMap<CallId, u64>,
    /// Sessions that their media servers have ended, whose viewers may have to hear of it.
    due: BTreeSet<CallId>,
    pub answers: BTreeMap<CallId, Vec<ToViewer>>,
    pub incarnations: BTreeMap<ServerIncarnation, std::net::SocketAddr>,
    pub connected: BTreeSet<ServerIncarnation>,
    /// Since when the machine has known that nothing new may go to an address.
    pub drained: BTreeMap<std::net::SocketAddr, Micros>,
    pub last: Vec<Output>,
}

impl Harness {
    pub fn new(seed: u64, servers: u16) -> Harness {
        Harness::with(SETTINGS, seed, servers)
    }

    pub fn with(settings: &str, seed: u64, servers: u16) -> Harness {
        let parsed = beechloft_settings::parse(settings.as_bytes()).expect("settings");
        let bounds = NodeLimits {
            answer_margin: Micros(20_000),
            health_check_timeout: Micros(250_000),
            max_sessions: 500,
            shutdown_deadline: Micros(SHUTDOWN_DEADLINE_MS * 1000),
        };
        let mut harness = Harness {
            node: Node::new(parsed, seed, bounds),
            now: Micros(1_700_000_000_000_000),
            in_flight: BTreeMap::new(),
            established: BTreeMap::new(),
            pending: BTreeMap::new(),
            requested_on: BTreeMap::new(),
            due: BTreeSet::new(),
            answers: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            connected: BTreeSet::new(),
            drained: BTreeMap::new(),
            last: Vec::new(),
        };
        let endpoints = (0..servers).map(|n| endpoint(n, Status::Ready)).collect();
        harness.handle(Input::InitialTopologies(vec![Topology { snapshot: true, endpoints }]));
        // Past the time in which each may be cold from a start before this one.
        harness.advance(1_500);
        harness
    }

    pub fn handle(&mut self, input: Input) -> Vec<Output> {
        match &input {
            Input::ViewerMessage(_, FromViewer::Release(id)) => {
                self.pending.remove(id);
                self.established.remove(id);
            }
            Input::ServerMessage(incarnation, ServerMessage { event: FromServer::End(id, _), .. }) => {
                if self.in_flight.get(id) == Some(incarnation) {
                    self.in_flight.remove(id);
                }
                if self.established.get(id) == Some(incarnation) {
                    self.established.remove(id);
                    self.due.insert(*id);
                }
            }
            Input::ViewerConnectionClosed(conn) => {
                let on = &self.requested_on;
                self.pending.retain(|id, _| on.get(id) != Some(&conn.0));
            }
            Input::AttemptFailed(incarnation, id, _) if self.in_flight.get(id) == Some(incarnation) => {
                self.in_flight.remove(id);
            }
            Input::Topology(topology) => {
                for e in &topology.endpoints {
                    let addr = e.address.parse().expect("an address");
                    match e.status {
                        Status::Ready => self.drained.remove(&addr),
                        _ => self.drained.insert(addr, self.now),
                    };
                }
            }
            _ => {}
        }
        let outputs = self.node.handle(self.now, input);
        for output in &outputs {
            self.check(output);
        }
        self.last = outputs.clone();
        outputs
    }

    fn check(&mut self, output: &Output) {
        match output {
            Output::AddIncarnation(incarnation, addr) => {
                assert!(self.incarnations.insert(*incarnation, *addr).is_none(), "incarnations are new");
            }
            Output::RemoveIncarnation(incarnation) => {
                assert!(self.incarnations.remove(incarnation).is_some());
                // What stood there has been released, or its release waits for a connection that is fit for it.
                let left: Vec<CallId> =
                    self.established.iter().filter(|(_, l)| *l == incarnation).map(|(id, _)| *id).collect();
                assert!(
                    left.len() <= self.node.counts().queued_releases,
                    "something stands on a incarnation that is forgotten"
                );
                for id in left {
                    self.established.remove(&id);
                    self.due.insert(id);
                }
                assert!(
                    !self.in_flight.values().any(|l| l == incarnation),
                    "something is out on a incarnation that is forgotten"
                );
            }
            Output::KeepConnected(incarnation, true) => {
                self.connected.insert(*incarnation);
            }
            Output::KeepConnected(incarnation, false) => {
                self.connected.remove(incarnation);
            }
            Output::SendSetUp { incarnation, id, line: bytes, .. } => {
                assert!(bytes.ends_with(b"\n") && bytes.len() <= beechloft_protocol::MAX_MESSAGE);
                let addr = self.incarnations.get(incarnation).expect("a known incarnation");
                assert!(self.in_flight.insert(*id, *incarnation).is_none(), "two attempts out for {id}");
                assert!(self.pending.contains_key(id), "an attempt for {id}, to which nothing is owed");
                let grace = |since: &Micros| self.now - *since <= Micros(1_000_000);
                assert!(self.drained.get(addr).is_none_or(grace), "a set-up past the grace of a drain");
            }
            Output::AbandonAttempt { incarnation, id, .. } => {
                assert_eq!(self.in_flight.remove(id), Some(*incarnation), "given up where it is not out");
            }
            Output::SendToViewer(_, message) => match message {
                ToViewer::Answer(id, _) => {
                    self.answered(*id, message);
                    let incarnation =
                        self.in_flight.remove(id).expect("the answer of an attempt that is out");
                    self.established.insert(*id, incarnation);
                }
                ToViewer::Release(id, _) | ToViewer::ReleaseWithRetryAfter(id, ..)
                    if self.pending.contains_key(id) =>
                {
                    self.answered(*id, message);
                }
                ToViewer::Release(id, _) | ToViewer::Move(id) => {
                    let stood = self.established.remove(id).is_some() || self.due.remove(id);
                    assert!(stood || !self.answers.contains_key(id), "{id} is over and released again");
                }
                _ => {}
            },
            Output::SendToServer(..)
            | Output::DiscardUnsent(..)
            | Output::CheckReachability(_)
            | Output::CloseViewerConnection(_)
            | Output::Log(_) => {}
        }
    }

    fn answered(&mut self, id: CallId, message: &ToViewer) {
        let by = self.pending.remove(&id).expect("an answer that is owed");
        assert!(self.now <= by, "{id} is answered after its viewer gave up");
        let all = self.answers.entry(id).or_default();
        all.push(message.clone());
        assert_eq!(all.len(), 1, "{id} is answered twice");
    }

    /// A good set-up on a connection.
    pub fn set_up(&mut self, conn: u64, id: u64, timeout_ms: u64) -> Vec<Output> {
        let id = CallId(id);
        self.pending.insert(id, self.now + Micros(timeout_ms * 1000));
        self.requested_on.insert(id, conn);
        self.handle(Input::ViewerMessage(
            ViewerConnection(conn),
            FromViewer::SetUp(id, Ok(set_up(id.0, timeout_ms))),
        ))
    }

    /// The media server that has an attempt accepts it.
    pub fn accept(&mut self, id: u64) -> Vec<Output> {
        let id = CallId(id);
        let incarnation = self.in_flight[&id];
        self.handle(Input::ServerMessage(incarnation, line(FromServer::Accept(id, format!("answer {id}")))))
    }

    /// A session was handed over that plays at this server.
    pub fn add_adopted(&mut self, id: CallId, n: u16) {
        let addr = endpoint(n, Status::Ready).address.parse().expect("an address");
        let incarnation = self.incarnations.iter().filter(|(_, a)| **a == addr).map(|(l, _)| *l).next_back();
        self.established.insert(id, incarnation.expect("a incarnation"));
    }

    pub fn end(&mut self, incarnation: ServerIncarnation, id: u64, cause: Cause) -> Vec<Output> {
        self.handle(Input::ServerMessage(incarnation, line(FromServer::End(CallId(id), cause))))
    }

    pub fn bus(&mut self, endpoints: Vec<Endpoint>) -> Vec<Output> {
        self.handle(Input::Topology(Topology { snapshot: false, endpoints }))
    }

    /// Time passes; what is due comes when it is due.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + Micros(ms * 1000);
        while let Some(due) = self.node.next_due().filter(|d| *d <= end) {
            self.now = self.now.max(due);
            self.handle(Input::Tick);
            assert!(self.pending.values().all(|by| self.now <= *by), "an answer is late");
        }
        self.now = end;
    }
}
