//! A byte encoding of inputs and outputs that does not depend on type names, so that renames do not change the hash.

use beechloft_front_node::{AttemptFailure, Input, Output};
use beechloft_protocol::bus::{Status, Topology};
use beechloft_protocol::server::{FromServer, Measurement, ServerMessage};
use beechloft_protocol::viewer::{FromViewer, SetUp, SetUpError};

/// Number of input kinds. Their tags are `0..INPUT_KINDS`.
pub const INPUT_KINDS: usize = 11;
/// Number of output kinds. Their tags are `0..OUTPUT_KINDS`.
pub const OUTPUT_KINDS: usize = 11;

/// Encoder of one value.
#[derive(Default)]
pub struct Encoder {
    pub bytes: Vec<u8>,
}

impl Encoder {
    pub fn tag(&mut self, tag: u8) {
        self.bytes.push(tag);
    }

    pub fn number(&mut self, number: u64) {
        self.bytes.extend_from_slice(&number.to_le_bytes());
    }

    fn float(&mut self, value: f64) {
        self.number(value.to_bits());
    }

    fn block(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.bytes.extend_from_slice(bytes);
    }

    fn text(&mut self, text: &str) {
        self.block(text.as_bytes());
    }

    fn optional_text(&mut self, text: Option<&str>) {
        self.tag(u8::from(text.is_some()));
        self.text(text.unwrap_or_default());
    }

    /// Encodes an input as its tag and its fields. Returns the tag.
    pub fn input(&mut self, input: &Input) -> u8 {
        let tag = input_tag(input);
        self.tag(tag);
        match input {
            Input::InitialTopologies(topologies) => topologies.iter().for_each(|t| self.topology(t)),
            Input::Topology(topology) => self.topology(topology),
            Input::ViewerMessage(conn, message) => {
                self.number(conn.0);
                self.viewer_message(message);
            }
            Input::ViewerConnectionClosed(conn) => self.number(conn.0),
            Input::AnswerUndelivered(id) => self.number(id.0),
            Input::ServerMessage(server, line) => {
                self.number(server.0.into());
                self.line(line);
            }
            Input::AttemptFailed(server, id, failure) => {
                self.number(server.0.into());
                self.number(id.0);
                self.tag(match failure {
                    AttemptFailure::NoConnection => 0,
                    AttemptFailure::NotSent => 1,
                    AttemptFailure::ConnectionReset => 2,
                });
            }
            Input::ServerDown(server) => self.number(server.0.into()),
            Input::SlotAssigned(place) => {
                self.number(place.slot.into());
                self.number(place.slot_count.into());
                self.number(place.live_fronts.into());
            }
            Input::Terminate | Input::Tick => {}
        }
        tag
    }

    /// Encodes an output as its tag and its fields, or for messages to viewers the bytes on the wire. Returns the tag.
    pub fn output(&mut self, output: &Output) -> u8 {
        let tag = output_tag(output);
        self.tag(tag);
        match output {
            Output::SendToViewer(conn, message) => {
                self.number(conn.0);
                self.block(&message.encode().unwrap_or_default());
            }
            Output::CloseViewerConnection(conn) => self.number(conn.0),
            Output::AddIncarnation(server, address) => {
                self.number(server.0.into());
                self.text(&address.to_string());
            }
            Output::RemoveIncarnation(server) | Output::CheckReachability(server) => {
                self.number(server.0.into())
            }
            Output::KeepConnected(server, hold) => {
                self.number(server.0.into());
                self.tag(u8::from(*hold));
            }
            Output::SendSetUp { incarnation: lane, id, connection: conn, line, send_by } => {
                self.number(lane.0.into());
                self.number(id.0);
                self.number(conn.0);
                self.block(line);
                self.number(send_by.0);
            }
            Output::DiscardUnsent(server, id) => {
                self.number(server.0.into());
                self.number(id.0);
            }
            Output::AbandonAttempt { incarnation: lane, id, line, timed_out: silent } => {
                self.number(lane.0.into());
                self.number(id.0);
                self.block(line);
                self.tag(u8::from(*silent));
            }
            Output::SendToServer(server, id, line) => {
                self.number(server.0.into());
                self.number(id.0);
                self.block(line);
            }
            // The text of a log line is not part of the recorded behavior.
            Output::Log(_) => {}
        }
        tag
    }

    fn topology(&mut self, topology: &Topology) {
        self.tag(u8::from(topology.snapshot));
        self.number(topology.endpoints.len() as u64);
        for endpoint in &topology.endpoints {
            self.text(&endpoint.name);
            self.text(&endpoint.address);
            self.text(&endpoint.zone);
            self.text(&endpoint.server_type);
            self.number(endpoint.cell.into());
            self.tag(match endpoint.status {
                Status::Ready => 0,
                Status::Terminating => 1,
                Status::Gone => 2,
            });
            self.float(endpoint.weight);
            self.number(endpoint.started_ms);
        }
    }

    fn viewer_message(&mut self, message: &FromViewer) {
        match message {
            FromViewer::SetUp(id, Ok(setup)) => {
                self.tag(0);
                self.number(id.0);
                self.set_up(setup);
            }
            FromViewer::SetUp(id, Err(error)) => {
                self.tag(1);
                self.number(id.0);
                self.tag(u8::from(matches!(error, SetUpError::Missing(_))));
            }
            FromViewer::Release(id) => {
                self.tag(2);
                self.number(id.0);
            }
            FromViewer::Ignored(id) => {
                self.tag(3);
                self.number(id.0);
            }
            FromViewer::Test(id) => {
                self.tag(4);
                self.number(id.0);
            }
        }
    }

    fn set_up(&mut self, setup: &SetUp) {
        self.text(&setup.class);
        self.number(setup.timeout_ms);
        self.text(&setup.title);
        self.number(setup.title_id);
        self.number(setup.attributes.home_cell.into());
        self.number(setup.attributes.copies.into());
        self.number(setup.attributes.max_rung.into());
        self.number(setup.attributes.viewer);
        self.tag(u8::from(setup.attributes.is_retry));
        self.optional_text(setup.attributes.playing_at.as_deref());
        self.text(&setup.description);
    }

    fn line(&mut self, line: &ServerMessage) {
        match &line.event {
            FromServer::Accept(id, description) => {
                self.tag(0);
                self.number(id.0);
                self.text(description);
            }
            FromServer::End(id, cause) => {
                self.tag(1);
                self.number(id.0);
                self.tag(cause.code());
            }
            FromServer::Measurement(id, note) => {
                self.tag(2);
                self.number(id.0);
                let (kind, value) = match note {
                    Measurement::DeliveredFraction(value) => (0, value),
                    Measurement::Rung(value) => (1, value),
                    Measurement::LinkUtilization(value) => (2, value),
                    Measurement::UplinkUtilization(value) => (3, value),
                };
                self.tag(kind);
                self.float(*value);
            }
            FromServer::TestResult(id, passed) => {
                self.tag(3);
                self.number(id.0);
                self.tag(u8::from(*passed));
            }
            FromServer::Ignored(id) => {
                self.tag(4);
                self.number(id.0);
            }
        }
        self.optional_text(line.load.as_deref());
    }
}

fn input_tag(input: &Input) -> u8 {
    match input {
        Input::InitialTopologies(_) => 0,
        Input::Topology(_) => 1,
        Input::ViewerMessage(..) => 2,
        Input::ViewerConnectionClosed(_) => 3,
        Input::AnswerUndelivered(_) => 4,
        Input::ServerMessage(..) => 5,
        Input::AttemptFailed(..) => 6,
        Input::ServerDown(_) => 7,
        Input::SlotAssigned(_) => 8,
        Input::Terminate => 9,
        Input::Tick => 10,
    }
}

fn output_tag(output: &Output) -> u8 {
    match output {
        Output::SendToViewer(..) => 0,
        Output::CloseViewerConnection(_) => 1,
        Output::AddIncarnation(..) => 2,
        Output::RemoveIncarnation(_) => 3,
        Output::KeepConnected(..) => 4,
        Output::CheckReachability(_) => 5,
        Output::SendSetUp { .. } => 6,
        Output::DiscardUnsent(..) => 7,
        Output::AbandonAttempt { .. } => 8,
        Output::SendToServer(..) => 9,
        Output::Log(_) => 10,
    }
}
