//! Harness that drives the state machine and checks its invariants on every output.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

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

/// Time after SIGTERM at which all pending set-ups are answered.
pub const SHUTDOWN_DEADLINE_MS: u64 = 2_000;

/// Maximum number of sessions of the front node.
pub const MAX_SESSIONS: usize = 500;

/// Time that the set-up of a handed-over session says that its viewer waits.
const HAND_OVER_TIMEOUT_MS: u64 = 4_294_967;

/// Time after the start of a drain during which set-ups may still be sent.
const DRAIN_GRACE: Micros = Micros(1_000_000);

/// Returns the name of the media server with this index.
pub fn server_name(index: u16) -> String {
    format!("s-{index:08x}")
}

/// Returns the endpoint of the media server with this index.
pub fn endpoint(index: u16, status: Status) -> Endpoint {
    Endpoint {
        name: server_name(index),
        address: format!("127.0.{}.{}:2905", index / 200, index % 200 + 1),
        zone: "a".into(),
        server_type: "small".into(),
        cell: index % 4,
        status,
        weight: 1.0,
        started_ms: 0,
    }
}

/// Returns a message of a media server without a load report.
pub fn server_message(event: FromServer) -> ServerMessage {
    ServerMessage { event, load: None }
}

/// Returns a valid set-up.
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

/// Drives a state machine, tracks the expected state of sessions, and checks the invariants.
pub struct Harness {
    pub node: Node,
    pub now: Micros,
    /// Incarnation of each attempt that is in flight.
    pub in_flight: BTreeMap<CallId, ServerIncarnation>,
    /// Incarnation of each session that is established according to the messages to viewers and media servers.
    pub established: BTreeMap<CallId, ServerIncarnation>,
    /// Set-ups that are waiting for their answers, with the timeouts of their viewers.
    pub pending: BTreeMap<CallId, Micros>,
    /// Connection of each set-up.
    set_up_connections: BTreeMap<CallId, u64>,
    /// Sessions that their media servers have ended and whose viewers may have to receive a release.
    unreleased: BTreeSet<CallId>,
    /// Sessions that their viewers released.
    pub released_by_viewers: BTreeSet<CallId>,
    /// Sessions that a media server ended.
    pub ended_by_servers: BTreeSet<CallId>,
    /// Answers to each set-up.
    pub answers: BTreeMap<CallId, Vec<ToViewer>>,
    /// Address of each known incarnation.
    pub incarnations: BTreeMap<ServerIncarnation, SocketAddr>,
    /// Incarnation that was added last with each address, until it is removed.
    latest_incarnations: BTreeMap<SocketAddr, ServerIncarnation>,
    /// Incarnations to which a connection is kept open.
    pub connected: BTreeSet<ServerIncarnation>,
    /// Time of the latest update of the endpoint list that excluded an address from new set-ups.
    pub excluded_since: BTreeMap<SocketAddr, Micros>,
}

impl Harness {
    /// Creates a harness whose endpoint list has `servers` media servers.
    pub fn new(seed: u64, servers: u16) -> Harness {
        Harness::with_settings(SETTINGS, seed, servers)
    }

    /// Creates a harness with settings of its own.
    pub fn with_settings(settings: &str, seed: u64, servers: u16) -> Harness {
        let parsed = beechloft_settings::parse(settings.as_bytes()).expect("settings");
        let limits = NodeLimits {
            answer_margin: Micros(20_000),
            health_check_timeout: Micros(250_000),
            max_sessions: MAX_SESSIONS,
            shutdown_deadline: Micros(SHUTDOWN_DEADLINE_MS * 1000),
        };
        let mut harness = Harness {
            node: Node::new(parsed, seed, limits),
            now: Micros(1_700_000_000_000_000),
            in_flight: BTreeMap::new(),
            established: BTreeMap::new(),
            pending: BTreeMap::new(),
            set_up_connections: BTreeMap::new(),
            unreleased: BTreeSet::new(),
            released_by_viewers: BTreeSet::new(),
            ended_by_servers: BTreeSet::new(),
            answers: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            latest_incarnations: BTreeMap::new(),
            connected: BTreeSet::new(),
            excluded_since: BTreeMap::new(),
        };
        let endpoints = (0..servers).map(|index| endpoint(index, Status::Ready)).collect();
        harness.handle(Input::InitialTopologies(vec![Topology { snapshot: true, endpoints }]));
        // Waits until no media server counts as recently started any more.
        harness.advance(1_500);
        harness
    }

    /// Passes an input to the state machine, and checks the outputs.
    pub fn handle(&mut self, input: Input) -> Vec<Output> {
        match &input {
            Input::ViewerMessage(_, FromViewer::Release(id)) => {
                self.released_by_viewers.insert(*id);
                self.pending.remove(id);
                self.established.remove(id);
            }
            Input::ServerMessage(incarnation, ServerMessage { event: FromServer::End(id, _), .. }) => {
                self.ended_by_servers.insert(*id);
                if self.in_flight.get(id) == Some(incarnation) {
                    self.in_flight.remove(id);
                }
                if self.established.get(id) == Some(incarnation) {
                    self.established.remove(id);
                    self.unreleased.insert(*id);
                }
            }
            Input::ViewerConnectionClosed(connection) => {
                let connections = &self.set_up_connections;
                self.pending.retain(|id, _| connections.get(id) != Some(&connection.0));
            }
            Input::AttemptFailed(incarnation, id, _) if self.in_flight.get(id) == Some(incarnation) => {
                self.in_flight.remove(id);
            }
            Input::Topology(topology) => {
                for endpoint in &topology.endpoints {
                    let address = endpoint.address.parse().expect("a valid address");
                    match endpoint.status {
                        Status::Ready => self.excluded_since.remove(&address),
                        _ => self.excluded_since.insert(address, self.now),
                    };
                }
            }
            _ => {}
        }
        let outputs = self.node.handle(self.now, input);
        for output in &outputs {
            self.check(output);
        }
        outputs
    }

    /// Checks the invariants on one output, and updates the expected state.
    fn check(&mut self, output: &Output) {
        match output {
            Output::AddIncarnation(incarnation, address) => {
                let previous = self.incarnations.insert(*incarnation, *address);
                assert!(previous.is_none(), "an incarnation is added twice");
                self.latest_incarnations.insert(*address, *incarnation);
            }
            Output::RemoveIncarnation(incarnation) => self.check_removed(*incarnation),
            Output::KeepConnected(incarnation, true) => {
                self.connected.insert(*incarnation);
            }
            Output::KeepConnected(incarnation, false) => {
                self.connected.remove(incarnation);
            }
            Output::SendSetUp { incarnation, id, line: bytes, .. } => {
                assert!(bytes.ends_with(b"\n") && bytes.len() <= beechloft_protocol::MAX_MESSAGE_BYTES);
                let address = self.incarnations.get(incarnation).expect("a known incarnation");
                assert!(
                    self.in_flight.insert(*id, *incarnation).is_none(),
                    "two attempts are in flight for {id}"
                );
                assert!(self.pending.contains_key(id), "an attempt for {id}, which is not pending");
                let within_grace = |since: &Micros| self.now - *since <= DRAIN_GRACE;
                assert!(
                    self.excluded_since.get(address).is_none_or(within_grace),
                    "a set-up to a draining media server after the grace period"
                );
            }
            Output::AbandonAttempt { incarnation, id, .. } => {
                assert_eq!(
                    self.in_flight.remove(id),
                    Some(*incarnation),
                    "the abandoned attempt is not in flight"
                );
            }
            Output::SendToViewer(_, message) => match message {
                ToViewer::Answer(id, _) => {
                    self.check_answer(*id, message);
                    let incarnation = self.in_flight.remove(id).expect("the answer of an attempt in flight");
                    self.established.insert(*id, incarnation);
                }
                ToViewer::Release(id, _) | ToViewer::ReleaseWithRetryAfter(id, ..)
                    if self.pending.contains_key(id) =>
                {
                    self.check_answer(*id, message);
                }
                ToViewer::Release(id, _) | ToViewer::Move(id) => {
                    let is_unreleased = self.established.remove(id).is_some() || self.unreleased.remove(id);
                    assert!(is_unreleased || !self.answers.contains_key(id), "{id} is released twice");
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

    /// Checks that no session or attempt belongs to a removed incarnation. Its sessions were released, or their
    /// releases wait for a connection.
    fn check_removed(&mut self, incarnation: ServerIncarnation) {
        let address = self.incarnations.remove(&incarnation).expect("a known incarnation");
        if self.latest_incarnations.get(&address) == Some(&incarnation) {
            self.latest_incarnations.remove(&address);
        }
        let remaining: Vec<CallId> = self
            .established
            .iter()
            .filter(|(_, location)| **location == incarnation)
            .map(|(id, _)| *id)
            .collect();
        assert!(
            remaining.len() <= self.node.counts().queued_releases,
            "an unreleased session belongs to a removed incarnation"
        );
        for id in remaining {
            self.established.remove(&id);
            self.unreleased.insert(id);
        }
        assert!(
            !self.in_flight.values().any(|location| *location == incarnation),
            "an attempt is in flight to a removed incarnation"
        );
    }

    /// Checks that a set-up gets one answer within its viewer's timeout.
    fn check_answer(&mut self, id: CallId, message: &ToViewer) {
        let viewer_timeout = self.pending.remove(&id).expect("a pending set-up");
        assert!(self.now <= viewer_timeout, "{id} is answered after its viewer's timeout");
        let answers = self.answers.entry(id).or_default();
        answers.push(message.clone());
        assert_eq!(answers.len(), 1, "{id} is answered twice");
    }

    /// Sends a valid set-up on a connection.
    pub fn set_up(&mut self, connection: u64, id: u64, timeout_ms: u64) -> Vec<Output> {
        let id = CallId(id);
        self.pending.insert(id, self.now + Micros(timeout_ms * 1000));
        self.set_up_connections.insert(id, connection);
        self.handle(Input::ViewerMessage(
            ViewerConnection(connection),
            FromViewer::SetUp(id, Ok(set_up(id.0, timeout_ms))),
        ))
    }

    /// Accepts the attempt that is in flight for a session.
    pub fn accept(&mut self, id: u64) -> Vec<Output> {
        let id = CallId(id);
        let incarnation = self.in_flight[&id];
        self.handle(Input::ServerMessage(
            incarnation,
            server_message(FromServer::Accept(id, format!("answer {id}"))),
        ))
    }

    /// Hands over a session that plays at the media server with this index.
    pub fn hand_over(&mut self, connection: u64, id: u64, index: u16) -> Vec<Output> {
        let mut setup = set_up(id, HAND_OVER_TIMEOUT_MS);
        setup.attributes.playing_at = Some(server_name(index));
        let message = FromViewer::SetUp(CallId(id), Ok(setup));
        self.handle(Input::ViewerMessage(ViewerConnection(connection), message))
    }

    /// Returns whether the front node knows the media server with this index. It forgets a removed server with its latest
    /// incarnation, even if attempts at an earlier one are still in flight.
    pub fn is_known(&self, index: u16) -> bool {
        let address: SocketAddr = endpoint(index, Status::Ready).address.parse().expect("a valid address");
        self.latest_incarnations.contains_key(&address)
    }

    /// Returns the latest incarnation of the media server with this index.
    pub fn latest_incarnation(&self, index: u16) -> ServerIncarnation {
        let address: SocketAddr = endpoint(index, Status::Ready).address.parse().expect("a valid address");
        let latest = self.incarnations.iter().rfind(|(_, known_address)| **known_address == address);
        *latest.expect("a known incarnation").0
    }

    /// Records that a session was adopted at the media server with this index.
    pub fn add_adopted(&mut self, id: CallId, index: u16) {
        let latest = self.latest_incarnation(index);
        self.established.insert(id, latest);
    }

    /// Ends a session, or refuses its set-up, at a media server.
    pub fn end(&mut self, incarnation: ServerIncarnation, id: u64, cause: Cause) -> Vec<Output> {
        self.handle(Input::ServerMessage(incarnation, server_message(FromServer::End(CallId(id), cause))))
    }

    /// Applies an update to the endpoint list.
    pub fn update_endpoints(&mut self, endpoints: Vec<Endpoint>) -> Vec<Output> {
        self.handle(Input::Topology(Topology { snapshot: false, endpoints }))
    }

    /// Advances the time, and fires each timer when it is due.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + Micros(ms * 1000);
        while let Some(due) = self.node.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.handle(Input::Tick);
            assert!(
                self.pending.values().all(|viewer_timeout| self.now <= *viewer_timeout),
                "a set-up is not answered within its viewer's timeout"
            );
        }
        self.now = end;
    }
}
