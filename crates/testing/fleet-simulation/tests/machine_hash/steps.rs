//! The steps of a run: actions of viewers, media servers and the list.

use beechloft::api::SlotAssignment;
use beechloft_front_node::{AttemptFailure, Input};
use beechloft_protocol::attributes::Attributes;
use beechloft_protocol::bus::{Status, Topology};
use beechloft_protocol::server::{FromServer, Measurement};
use beechloft_protocol::viewer::{FromViewer, SetUp, SetUpError};
use beechloft_protocol::{CallId, Cause};
use rand::RngExt;

use crate::driver::{CAUSES, Driver, SERVERS, endpoint, server_number};

impl Driver {
    pub(super) fn set_up(&mut self) {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let (conn, timeout_ms) = (self.connection(), self.rng.random_range(50..5_000));
        let message = FromViewer::SetUp(id, Ok(self.set_up_of(id, timeout_ms, None)));
        self.input(Input::ViewerMessage(conn, message));
    }

    pub(super) fn set_up_of(&mut self, id: CallId, timeout_ms: u64, at: Option<String>) -> Box<SetUp> {
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

    pub(super) fn answer(&mut self) {
        let attempts = self.attempts.clone();
        let Some((id, server)) = self.pick(&attempts) else { return };
        self.attempts.remove(&id);
        self.playing.insert(id, server);
        self.server_line(server, FromServer::Accept(id, format!("answer {id}")));
        if self.rng.random_range(0..20) == 0 {
            self.server_line(server, FromServer::Accept(id, "a second copy".into()));
        }
    }

    pub(super) fn refuse(&mut self) {
        let attempts = self.attempts.clone();
        let Some((id, server)) = self.pick(&attempts) else { return };
        self.attempts.remove(&id);
        let cause = CAUSES[self.rng.random_range(0..CAUSES.len())];
        self.server_line(server, FromServer::End(id, Cause::from(cause)));
    }

    pub(super) fn break_attempt(&mut self) {
        let attempts = self.attempts.clone();
        let Some((id, server)) = self.pick(&attempts) else { return };
        self.attempts.remove(&id);
        let failures =
            [AttemptFailure::NoConnection, AttemptFailure::NotSent, AttemptFailure::ConnectionReset];
        let failure = failures[self.rng.random_range(0..failures.len())];
        self.input(Input::AttemptFailed(server_number(server), id, failure));
    }

    pub(super) fn end_session(&mut self) {
        let playing = self.playing.clone();
        let Some((id, server)) = self.pick(&playing) else { return };
        self.playing.remove(&id);
        let cause = CAUSES[self.rng.random_range(0..CAUSES.len())];
        self.server_line(server, FromServer::End(id, Cause::from(cause)));
    }

    pub(super) fn note(&mut self) {
        let playing = self.playing.clone();
        let Some((id, server)) = self.pick(&playing) else { return };
        let value = self.rng.random_range(0.0..1.5);
        let note = match self.rng.random_range(0..4) {
            0 => Measurement::DeliveredFraction(value),
            1 => Measurement::Rung(value),
            2 => Measurement::LinkUtilization(value),
            _ => Measurement::UplinkUtilization(value),
        };
        self.server_line(server, FromServer::Measurement(id, note));
    }

    pub(super) fn leave(&mut self) {
        let (conn, id) = (self.connection(), self.rng.random_range(0..self.next_call));
        self.playing.remove(&CallId(id));
        self.input(Input::ViewerMessage(conn, FromViewer::Release(CallId(id))));
        self.input(Input::ViewerMessage(conn, FromViewer::Ignored(CallId(id))));
    }

    pub(super) fn undelivered_answer(&mut self) {
        let playing = self.playing.clone();
        if let Some((id, _)) = self.pick(&playing) {
            self.input(Input::AnswerUndelivered(id));
        }
    }

    pub(super) fn malformed_set_up(&mut self) {
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

    /// Changes one endpoint: it is drained, removed, restarted, restored, or receives the address of another one.
    pub(super) fn change_list(&mut self) {
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

    pub(super) fn lose_server(&mut self) {
        let index = self.rng.random_range(0..self.servers.len().max(1));
        let Some(server) = self.servers.keys().nth(index).copied() else { return };
        self.playing.retain(|_, at| *at != server);
        self.input(Input::ServerDown(server_number(server)));
    }

    pub(super) fn answer_probe(&mut self) {
        let probes = self.probes.clone();
        let Some((id, server)) = self.pick(&probes) else { return };
        self.probes.remove(&id);
        let passed = self.rng.random_range(0..4) > 0;
        self.server_line(server, FromServer::TestResult(id, passed));
    }

    /// Sends a line about a random session from a random server.
    pub(super) fn unexpected_line(&mut self) {
        let (id, server) =
            (CallId(self.rng.random_range(0..self.next_call)), self.rng.random_range(0..SERVERS.into()));
        let message = match self.rng.random_range(0..3) {
            0 => FromServer::Accept(id, "unexpected".into()),
            1 => FromServer::End(id, Cause::Normal),
            _ => FromServer::Ignored(id),
        };
        self.server_line(server, message);
    }

    pub(super) fn renumber(&mut self) {
        let number = self.rng.random_range(0..4);
        self.input(Input::SlotAssigned(SlotAssignment { slot: number, slot_count: 3, live_fronts: 3 }));
    }

    pub(super) fn test(&mut self) {
        let conn = self.connection();
        self.input(Input::ViewerMessage(conn, FromViewer::Test(CallId(1 << 42))));
    }

    /// Presents a playing session on behalf of its viewer, at a known or an unknown server.
    pub(super) fn hand_over(&mut self) {
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
}
