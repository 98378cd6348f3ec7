//! A byte form of inputs and outputs that depends on no name of a type, so that renames leave the hash alone.

use beechloft_front_node::{Broken, Input, Output};
use beechloft_protocol::bus::{Status, Topology};
use beechloft_protocol::server::{FromServer, Line, Note};
use beechloft_protocol::viewer::{FromViewer, SetUp, SetUpError};

/// Number of input kinds; their tags are `0..INPUT_KINDS`.
pub const INPUT_KINDS: usize = 11;
/// Number of output kinds; their tags are `0..OUTPUT_KINDS`.
pub const OUTPUT_KINDS: usize = 11;

/// Collects the bytes of one value.
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

    /// An input: its tag, then its fields. Returns the tag.
    pub fn input(&mut self, input: &Input) -> u8 {
        let tag = input_tag(input);
        self.tag(tag);
        match input {
            Input::Known(topologies) => topologies.iter().for_each(|t| self.topology(t)),
            Input::Bus(topology) => self.topology(topology),
            Input::Viewer(conn, message) => {
                self.number(conn.0);
                self.viewer_message(message);
            }
            Input::ViewerClosed(conn) => self.number(conn.0),
            Input::Unsaid(id) => self.number(id.0),
            Input::Server(server, line) => {
                self.number(server.0.into());
                self.line(line);
            }
            Input::Broken(server, id, failure) => {
                self.number(server.0.into());
                self.number(id.0);
                self.tag(match failure {
                    Broken::NoConnection => 0,
                    Broken::Unsent => 1,
                    Broken::Reset => 2,
                });
            }
            Input::Lost(server) => self.number(server.0.into()),
            Input::Numbered(place) => {
                self.number(place.number.into());
                self.number(place.of.into());
                self.number(place.fronts.into());
            }
            Input::Terminate | Input::Tick => {}
        }
        tag
    }

    /// An output: its tag, then its fields; for messages to viewers the bytes on the wire. Returns the tag.
    pub fn output(&mut self, output: &Output) -> u8 {
        let tag = output_tag(output);
        self.tag(tag);
        match output {
            Output::ToViewer(conn, message) => {
                self.number(conn.0);
                self.block(&message.encode().unwrap_or_default());
            }
            Output::CloseViewer(conn) => self.number(conn.0),
            Output::Lane(server, address) => {
                self.number(server.0.into());
                self.text(&address.to_string());
            }
            Output::Forget(server) | Output::Check(server) => self.number(server.0.into()),
            Output::Hold(server, hold) => {
                self.number(server.0.into());
                self.tag(u8::from(*hold));
            }
            Output::SetUp { lane, id, conn, line, leave_by } => {
                self.number(lane.0.into());
                self.number(id.0);
                self.number(conn.0);
                self.block(line);
                self.number(leave_by.0);
            }
            Output::Unwanted(server, id) => {
                self.number(server.0.into());
                self.number(id.0);
            }
            Output::GiveUp { lane, id, line, silent } => {
                self.number(lane.0.into());
                self.number(id.0);
                self.block(line);
                self.tag(u8::from(*silent));
            }
            Output::Send(server, id, line) => {
                self.number(server.0.into());
                self.number(id.0);
                self.block(line);
            }
            // The text of a log line is free to change.
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
            self.text(&endpoint.kind);
            self.number(endpoint.group.into());
            self.tag(match endpoint.status {
                Status::Ready => 0,
                Status::Terminating => 1,
                Status::Gone => 2,
            });
            self.float(endpoint.weight);
            self.number(endpoint.since_ms);
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
            FromViewer::Heard(id) => {
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
        self.number(setup.left_ms);
        self.text(&setup.title);
        self.number(setup.title_id);
        self.number(setup.figures.home.into());
        self.number(setup.figures.copies.into());
        self.number(setup.figures.top.into());
        self.number(setup.figures.viewer);
        self.tag(u8::from(setup.figures.again));
        self.optional_text(setup.figures.at.as_deref());
        self.text(&setup.description);
    }

    fn line(&mut self, line: &Line) {
        match &line.message {
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
            FromServer::Info(id, note) => {
                self.tag(2);
                self.number(id.0);
                let (kind, value) = match note {
                    Note::KeptUp(value) => (0, value),
                    Note::Tier(value) => (1, value),
                    Note::Wire(value) => (2, value),
                    Note::Trunk(value) => (3, value),
                };
                self.tag(kind);
                self.float(*value);
            }
            FromServer::Tested(id, passed) => {
                self.tag(3);
                self.number(id.0);
                self.tag(u8::from(*passed));
            }
            FromServer::Nothing(id) => {
                self.tag(4);
                self.number(id.0);
            }
        }
        self.optional_text(line.load.as_deref());
    }
}

fn input_tag(input: &Input) -> u8 {
    match input {
        Input::Known(_) => 0,
        Input::Bus(_) => 1,
        Input::Viewer(..) => 2,
        Input::ViewerClosed(_) => 3,
        Input::Unsaid(_) => 4,
        Input::Server(..) => 5,
        Input::Broken(..) => 6,
        Input::Lost(_) => 7,
        Input::Numbered(_) => 8,
        Input::Terminate => 9,
        Input::Tick => 10,
    }
}

fn output_tag(output: &Output) -> u8 {
    match output {
        Output::ToViewer(..) => 0,
        Output::CloseViewer(_) => 1,
        Output::Lane(..) => 2,
        Output::Forget(_) => 3,
        Output::Hold(..) => 4,
        Output::Check(_) => 5,
        Output::SetUp { .. } => 6,
        Output::Unwanted(..) => 7,
        Output::GiveUp { .. } => 8,
        Output::Send(..) => 9,
        Output::Log(_) => 10,
    }
}
