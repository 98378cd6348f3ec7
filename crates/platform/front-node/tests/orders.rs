//! Property test: any order of inputs keeps the invariants that the harness checks on each output.

mod support;

use std::collections::BTreeMap;

use beechloft::api::Micros;
use beechloft_front_node::{AttemptFailure, Input, Output, ServerIncarnation, ViewerConnection};
use beechloft_protocol::bus::{Status, Topology};
use beechloft_protocol::server::{FromServer, Measurement, ServerMessage};
use beechloft_protocol::viewer::{FromViewer, SetUpError, ToViewer};
use beechloft_protocol::{CallId, Cause};
use proptest::prelude::*;
use support::{Harness, SHUTDOWN_DEADLINE_MS, endpoint, server_message, set_up};

/// Number of media servers that endpoint lists and adoptions may name.
const SERVERS: u16 = 6;

/// Number of connections that are open at a time.
const CONNECTION_SLOTS: u64 = 4;

/// Codes of the causes with which media servers end sessions.
const CAUSE_CODES: [u8; 5] = [34, 47, 102, 41, 16];

/// Identifier of a session that is never set up.
const UNKNOWN_SESSION: CallId = CallId(1 << 40);

/// One input or a lapse of time. An `index` selects one of the known sessions.
#[derive(Debug, Clone)]
enum Step {
    SetUp { connection: u64, timeout_ms: u64 },
    DuplicateSetUp { connection: u64, index: usize },
    MalformedSetUp { connection: u64, index: usize },
    Release { connection: u64, index: usize },
    CloseConnection { connection: u64 },
    UndeliveredAnswer { index: usize },
    Accept { index: usize },
    AcceptAnywhere { index: usize, incarnation: u32 },
    End { index: usize, cause: u8, load: bool },
    EndAnywhere { index: usize, incarnation: u32, cause: u8 },
    Measurement { index: usize, value: f64 },
    FailAttempt { index: usize, failure: u8 },
    ServerDown { incarnation: u32 },
    EndpointList { server: u16, status: u8, restart: bool, snapshot: bool },
    EmptyList,
    Terminate,
    Advance { ms: u64 },
    Adopt { connection: u64, server: u16, after_close: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let connection = || 0..CONNECTION_SLOTS;
    let index = || 0..64usize;
    prop_oneof![
        8 => (connection(), 0..4_000u64)
            .prop_map(|(connection, timeout_ms)| Step::SetUp { connection, timeout_ms }),
        1 => (connection(), index()).prop_map(|(connection, index)| Step::DuplicateSetUp { connection, index }),
        1 => (connection(), index()).prop_map(|(connection, index)| Step::MalformedSetUp { connection, index }),
        1 => (connection(), index()).prop_map(|(connection, index)| Step::Release { connection, index }),
        1 => connection().prop_map(|connection| Step::CloseConnection { connection }),
        1 => index().prop_map(|index| Step::UndeliveredAnswer { index }),
        6 => index().prop_map(|index| Step::Accept { index }),
        1 => (index(), 0..8u32).prop_map(|(index, incarnation)| Step::AcceptAnywhere { index, incarnation }),
        3 => (index(), any::<u8>(), any::<bool>())
            .prop_map(|(index, cause, load)| Step::End { index, cause, load }),
        1 => (index(), 0..8u32, any::<u8>())
            .prop_map(|(index, incarnation, cause)| Step::EndAnywhere { index, incarnation, cause }),
        1 => (index(), 0.0..3.0).prop_map(|(index, value)| Step::Measurement { index, value }),
        2 => (index(), 0..3u8).prop_map(|(index, failure)| Step::FailAttempt { index, failure }),
        1 => (0..8u32).prop_map(|incarnation| Step::ServerDown { incarnation }),
        2 => (0..SERVERS, 0..3u8, any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(server, status, restart, snapshot)| {
                Step::EndpointList { server, status, restart, snapshot }
            }),
        1 => Just(Step::EmptyList),
        1 => prop::bool::weighted(0.1)
            .prop_map(|terminates| if terminates { Step::Terminate } else { Step::Advance { ms: 1 } }),
        5 => (0..900u64).prop_map(|ms| Step::Advance { ms }),
        1 => (connection(), 0..SERVERS, prop::bool::weighted(0.3)).prop_map(|(connection, server, after_close)| {
            Step::Adopt { connection, server, after_close }
        }),
    ]
}

/// Returns the session that an index selects.
fn pick(sessions: &BTreeMap<CallId, ServerIncarnation>, index: usize) -> Option<(CallId, ServerIncarnation)> {
    let selected = sessions.iter().nth(index % sessions.len().max(1));
    selected.map(|(id, incarnation)| (*id, *incarnation))
}

/// Returns the identifier of a session that may or may not exist.
fn any_session(index: usize) -> CallId {
    CallId(1 + index as u64)
}

/// Returns the message of a media server that ends a session.
fn end_message(id: CallId, cause: Cause, load: Option<String>) -> ServerMessage {
    ServerMessage { event: FromServer::End(id, cause), load }
}

/// Applies the steps of a run.
struct Run {
    harness: Harness,
    /// Number of sessions that were set up or adopted.
    sessions: u64,
    /// Number of connections that were closed in each slot.
    generations: BTreeMap<u64, u64>,
}

impl Run {
    fn new(seed: u64) -> Run {
        Run { harness: Harness::new(seed, 4), sessions: 0, generations: BTreeMap::new() }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::SetUp { connection, timeout_ms } => {
                self.sessions += 1;
                let connection = self.connection(connection);
                self.harness.set_up(connection, self.sessions, timeout_ms);
            }
            Step::DuplicateSetUp { connection, index } => self.duplicate_set_up(connection, index),
            Step::MalformedSetUp { connection, index } => {
                let id = pick(&self.harness.in_flight, index).map_or(UNKNOWN_SESSION, |(id, _)| id);
                self.viewer_message(connection, FromViewer::SetUp(id, Err(SetUpError::Invalid(3))));
            }
            Step::Release { connection, index } => {
                self.viewer_message(connection, FromViewer::Release(any_session(index)));
            }
            Step::CloseConnection { connection } => {
                self.close_connection(connection);
            }
            Step::UndeliveredAnswer { index } => {
                self.harness.handle(Input::AnswerUndelivered(any_session(index)));
            }
            Step::EmptyList => {
                self.harness.handle(Input::Topology(Topology { snapshot: true, endpoints: Vec::new() }));
            }
            Step::EndpointList { server, status, restart, snapshot } => {
                self.apply_endpoint_list(server, status, restart, snapshot);
            }
            Step::Terminate => {
                self.harness.handle(Input::Terminate);
            }
            Step::Advance { ms } => self.harness.advance(ms),
            Step::Adopt { connection, server, after_close } => {
                self.adopt_on(connection, server, after_close);
            }
            server_step => self.apply_at_server(server_step),
        }
    }

    /// Applies a step of a media server.
    fn apply_at_server(&mut self, step: Step) {
        match step {
            Step::Accept { index } => {
                if let Some((id, _)) = pick(&self.harness.in_flight, index) {
                    self.harness.accept(id.0);
                }
            }
            Step::AcceptAnywhere { index, incarnation } => {
                let (id, incarnation) = (any_session(index), ServerIncarnation(incarnation));
                if self.harness.in_flight.get(&id) != Some(&incarnation) {
                    let accept = server_message(FromServer::Accept(id, "x".into()));
                    self.harness.handle(Input::ServerMessage(incarnation, accept));
                }
            }
            Step::End { index, cause, load } => self.end(index, cause, load),
            Step::EndAnywhere { index, incarnation, cause } => {
                let end = end_message(any_session(index), Cause::from(cause), None);
                self.harness.handle(Input::ServerMessage(ServerIncarnation(incarnation), end));
            }
            Step::Measurement { index, value } => self.report_measurement(index, value),
            Step::FailAttempt { index, failure } => self.fail_attempt(index, failure),
            Step::ServerDown { incarnation } => {
                self.harness.handle(Input::ServerDown(ServerIncarnation(incarnation)));
            }
            other => unreachable!("{other:?} is not a step of a media server"),
        }
    }

    fn viewer_message(&mut self, slot: u64, message: FromViewer) -> Vec<Output> {
        let connection = self.connection(slot);
        self.harness.handle(Input::ViewerMessage(ViewerConnection(connection), message))
    }

    fn duplicate_set_up(&mut self, connection: u64, index: usize) {
        if let Some((id, _)) = pick(&self.harness.in_flight, index) {
            self.viewer_message(connection, FromViewer::SetUp(id, Ok(set_up(1, 900))));
        }
    }

    fn end(&mut self, index: usize, cause: u8, load: bool) {
        let sessions =
            if cause.is_multiple_of(2) { &self.harness.in_flight } else { &self.harness.established };
        if let Some((id, incarnation)) = pick(sessions, index) {
            let code = CAUSE_CODES[usize::from(cause) % CAUSE_CODES.len()];
            let load = load.then(|| "utilization:0.9;x1:0.3;y:NaN".into());
            let end = end_message(id, Cause::from(code), load);
            self.harness.handle(Input::ServerMessage(incarnation, end));
        }
    }

    fn report_measurement(&mut self, index: usize, value: f64) {
        if let Some((id, incarnation)) = pick(&self.harness.established, index) {
            let measurement = match index % 4 {
                0 => Measurement::DeliveredFraction(value),
                1 => Measurement::Rung(value),
                2 => Measurement::LinkUtilization(value),
                _ => Measurement::UplinkUtilization(value),
            };
            let message = server_message(FromServer::Measurement(id, measurement));
            self.harness.handle(Input::ServerMessage(incarnation, message));
        }
    }

    fn fail_attempt(&mut self, index: usize, failure: u8) {
        let failures =
            [AttemptFailure::NoConnection, AttemptFailure::NotSent, AttemptFailure::ConnectionReset];
        if let Some((id, incarnation)) = pick(&self.harness.in_flight, index) {
            let failure = failures[usize::from(failure)];
            self.harness.handle(Input::AttemptFailed(incarnation, id, failure));
        }
    }

    fn apply_endpoint_list(&mut self, server: u16, status: u8, restart: bool, snapshot: bool) {
        let status = [Status::Ready, Status::Terminating, Status::Gone][usize::from(status)];
        let mut changed = endpoint(server, status);
        if restart {
            changed.started_ms = self.harness.now.0 / 1000;
        }
        let mut endpoints = vec![changed];
        if snapshot {
            let others = (0..SERVERS).filter(|other| *other != server);
            endpoints.extend(others.map(|other| endpoint(other, Status::Ready)));
        }
        self.harness.handle(Input::Topology(Topology { snapshot, endpoints }));
    }

    fn adopt(&mut self, connection: u64, server: u16) {
        self.sessions += 1;
        let id = CallId(self.sessions);
        let released_by_viewer = self.harness.released_by_viewers.contains(&id);
        let is_over = released_by_viewer || self.harness.ended_by_servers.contains(&id);
        let is_unknown = !self.harness.is_known(server);
        let established = self.harness.node.counts().established;
        let outputs = self.harness.hand_over(connection, id.0, server);
        if self.harness.node.counts().established > established {
            assert!(!released_by_viewer, "{id} is established after its viewer has released it");
            self.harness.add_adopted(id, server);
            return;
        }
        assert!(is_over || is_unknown, "the hand-over of {id} is refused without a reason");
        let concerns_session = |output: &Output| match output {
            Output::SendToViewer(_, ToViewer::Release(ended, _)) => *ended == id,
            Output::SendToServer(_, ended, _) => *ended == id,
            _ => false,
        };
        let is_closed = connection != self.connection(connection % CONNECTION_SLOTS);
        let is_queued = is_closed && self.harness.node.counts().queued_releases > 0;
        assert!(is_queued || outputs.iter().any(concerns_session), "nobody learns that {id} is over");
    }

    /// Returns the number of the open connection in a slot. Numbers are never reused.
    fn connection(&self, slot: u64) -> u64 {
        slot + CONNECTION_SLOTS * self.generations.get(&slot).unwrap_or(&0)
    }

    /// Closes the connection in a slot, and opens the next one.
    fn close_connection(&mut self, slot: u64) {
        let connection = self.connection(slot);
        self.harness.handle(Input::ViewerConnectionClosed(ViewerConnection(connection)));
        *self.generations.entry(slot).or_default() += 1;
    }

    /// Hands over a session on the connection of a slot, or on the one that was closed there last.
    fn adopt_on(&mut self, slot: u64, server: u16, after_close: bool) {
        let connection = self.connection(slot);
        let closed = connection.checked_sub(CONNECTION_SLOTS).filter(|_| after_close);
        self.adopt(closed.unwrap_or(connection), server);
    }

    /// Reports all media servers as removed and down.
    fn remove_all_servers(&mut self) {
        for index in 0..SERVERS {
            self.harness.update_endpoints(vec![endpoint(index, Status::Gone)]);
        }
        let incarnations: Vec<ServerIncarnation> = self.harness.incarnations.keys().copied().collect();
        for incarnation in incarnations {
            self.harness.handle(Input::ServerDown(incarnation));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]
    #[test]
    fn any_input_order_keeps_invariants(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut run = Run::new(seed);
        for step in steps {
            run.apply(step);
            let counts = run.harness.node.counts();
            let expected_established = run.harness.established.len();
            prop_assert_eq!(counts.pending, run.harness.pending.len());
            // A session that has ended without its release counts as established until the release is sent.
            let unreleased = expected_established.saturating_sub(counts.established);
            prop_assert!(unreleased <= counts.queued_releases && counts.established <= expected_established);
        }
        // After SIGTERM, all set-ups are answered by the shutdown deadline, and later ones are not served.
        if let Some(terminated_at) = run.harness.node.shutdown_requested_at() {
            let deadline = terminated_at + Micros(SHUTDOWN_DEADLINE_MS * 1000);
            run.harness.advance((deadline - run.harness.now).0.div_ceil(1000));
            let pending = run.harness.node.counts().pending;
            prop_assert!(
                run.harness.pending.is_empty() && pending == 0,
                "pending after the shutdown deadline: {:?}", run.harness.pending
            );
            run.harness.set_up(0, 1 << 50, 3_000);
            prop_assert!(
                run.harness.pending.is_empty() && run.harness.in_flight.is_empty(),
                "a set-up was served after the shutdown deadline"
            );
        }
        // All set-ups are answered in time, and all sessions end with their media servers.
        run.harness.advance(5_000);
        prop_assert!(
            run.harness.pending.is_empty() && run.harness.in_flight.is_empty(),
            "{:?} {:?}", run.harness.pending, run.harness.in_flight
        );
        run.remove_all_servers();
        let counts = run.harness.node.counts();
        let remaining = (counts.pending, counts.established, counts.abandoned, counts.incarnations);
        prop_assert_eq!(remaining, (0, 0, 0, 0));
    }
}
