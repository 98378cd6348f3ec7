//! Handling of messages from viewers, of closed viewer connections and of answer deadlines.

use beechloft::api::{
    ClassId, Event, Micros, Outcome, Request, Rung, SessionId, TenantId, TitleId, ViewerId,
};
use beechloft_protocol::server::ToServer;
use beechloft_protocol::viewer::{FromViewer, SetUp, SetUpError, ToViewer};
use beechloft_protocol::{CallId, Cause};

use super::Node;
use crate::io::{Output, ViewerConnection};
use crate::session::{Attempt, Phase, Session};
use crate::shutdown::Shutdown;
use crate::timers::Timer;

impl Node {
    /// Handles a message from a viewer.
    pub(super) fn viewer_message(&mut self, connection: ViewerConnection, message: FromViewer) {
        match message {
            FromViewer::SetUp(id, Ok(setup)) => self.set_up(connection, id, setup),
            FromViewer::SetUp(id, Err(SetUpError::Missing(_))) => {
                self.reject_set_up(connection, id, Cause::MissingElement);
            }
            FromViewer::SetUp(id, Err(_)) => self.reject_set_up(connection, id, Cause::InvalidElement),
            FromViewer::Release(id) => self.release_received(connection, id),
            FromViewer::Ignored(_) => {}
            FromViewer::Test(id) => {
                let result = ToViewer::TestResult(id, self.ready());
                self.outputs.push(Output::SendToViewer(connection, result));
            }
        }
    }

    /// Rejects a set-up that is not passed to the policy.
    ///
    /// A set-up with the identifier of a known session must neither affect that session nor cause a second answer. If
    /// it was received on another connection, that connection is closed.
    fn reject_set_up(&mut self, connection: ViewerConnection, id: CallId, cause: Cause) {
        match self.sessions.get(&id) {
            None => self.outputs.push(Output::SendToViewer(connection, ToViewer::Release(id, cause))),
            Some(known) if known.connection == connection => {}
            Some(_) => self.outputs.push(Output::CloseViewerConnection(connection)),
        }
    }

    /// Handles a valid set-up.
    fn set_up(&mut self, connection: ViewerConnection, id: CallId, setup: Box<SetUp>) {
        if self.sessions.contains_key(&id) {
            // A viewer may announce a session that is already established more than once.
            if setup.attributes.playing_at.is_none() {
                self.reject_set_up(connection, id, Cause::InvalidElement);
            }
            return;
        }
        let Some(request) = self.request(id, &setup) else {
            return self.reject_set_up(connection, id, Cause::InvalidElement);
        };
        match &setup.attributes.playing_at {
            Some(server) => self.session_handed_over(connection, id, request, server),
            None => self.accept_request(connection, id, setup, request),
        }
    }

    /// Converts a set-up to a request for the policy.
    ///
    /// Returns `None` if the class is unknown or the range of cells is not valid.
    fn request(&mut self, id: CallId, setup: &SetUp) -> Option<Request> {
        let attributes = &setup.attributes;
        let class = self.names.classes.iter().position(|name| *name == setup.class)?;
        let has_valid_cells = (1..=self.settings.cells).contains(&attributes.copies)
            && attributes.home_cell < self.settings.cells;
        if !has_valid_cells {
            return None;
        }
        let viewer_deadline = self.now + Micros(setup.timeout_ms.saturating_mul(1000));
        let viewer = ViewerId(attributes.viewer);
        Some(Request {
            session: SessionId(id.0),
            class: class_id(class),
            title: TitleId(setup.title_id),
            viewer,
            first_cell: attributes.home_cell,
            cell_count: attributes.copies,
            eligible_servers: None,
            max_rung: Rung(u8::try_from(attributes.max_rung).unwrap_or(u8::MAX)),
            deadline: viewer_deadline - self.limits.answer_margin,
            expected_duration: None,
            tenant: TenantId(0),
            migrated: self.records.migrated_viewers.remove(&viewer),
            is_retry: attributes.is_retry,
        })
    }

    /// Adds a pending session, and passes its request to the policy.
    fn accept_request(
        &mut self,
        connection: ViewerConnection,
        id: CallId,
        setup: Box<SetUp>,
        request: Request,
    ) {
        // A set-up that is too long for the media servers' protocol is not passed to the policy.
        let longest_offer = ToServer::Offer { id, setup: &setup, timeout_ms: u64::MAX, rung: u8::MAX };
        if longest_offer.encode().is_none() {
            return self.reject_set_up(connection, id, Cause::InvalidElement);
        }
        // The number of sessions is limited to bound memory. After the shutdown deadline the process is killed soon and
        // could not answer.
        if self.sessions.len() >= self.limits.max_sessions || self.shutdown.rejects_set_ups() {
            return self.reject_set_up(connection, id, Cause::Congestion);
        }
        self.connections.add_pending(connection, id);
        self.timers.set(request.deadline, Timer::Answer(id));
        let phase = Phase::Pending { setup, deadline: request.deadline, in_flight: None };
        let session = Session { connection, viewer: request.viewer, attempts: 0, rung: 0, phase };
        self.sessions.insert(id, session);
        self.queue_event(Event::Request(request));
    }

    /// Handles a release, by which a viewer withdraws a set-up or ends its session.
    fn release_received(&mut self, connection: ViewerConnection, id: CallId) {
        self.outputs.push(Output::SendToViewer(connection, ToViewer::ReleaseComplete(id)));
        self.records.viewer_releases.insert(self.now, id, ());
        match self.sessions.get(&id).map(|session| &session.phase) {
            Some(Phase::Pending { .. }) => self.withdraw(id),
            Some(Phase::Established(_)) => {
                if let Some(ended) = self.end_by_front_node(id, Outcome::Cancelled) {
                    self.release_at_server(ended.attempt.incarnation, id, Cause::Normal);
                }
            }
            Some(Phase::Abandoned(_)) | None => {}
        }
    }

    /// Withdraws a pending session, whose viewer no longer waits for the answer.
    fn withdraw(&mut self, id: CallId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        self.connections.remove_pending(session.connection, id);
        match session.in_flight() {
            Some(attempt) => {
                session.phase = Phase::Abandoned(attempt);
                self.outputs.push(Output::DiscardUnsent(attempt.incarnation, id));
            }
            None => {
                self.sessions.remove(&id);
            }
        }
        self.queue_event(Event::Withdrawn(SessionId(id.0)));
    }

    /// Withdraws the set-ups that were waiting on a closed connection. Established sessions are not bound to a
    /// connection.
    pub(super) fn viewer_connection_closed(&mut self, connection: ViewerConnection) {
        self.records.closed_connections.insert(self.now, connection, ());
        for id in self.connections.remove(connection) {
            self.withdraw(id);
        }
    }

    /// Answers all pending set-ups, because the process is killed soon.
    ///
    /// Their own deadlines may be too late, as the deadline of a class may exceed the time between SIGTERM and SIGKILL.
    pub(super) fn shutdown_deadline_reached(&mut self) {
        self.shutdown = Shutdown::DeadlineReached { requested_at: self.shutdown.requested_at() };
        let pending: Vec<(CallId, Option<Attempt>)> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.is_pending())
            .map(|(id, session)| (*id, session.in_flight()))
            .collect();
        for (id, in_flight) in pending {
            self.fail(id);
            self.queue_event(Event::Withdrawn(SessionId(id.0)));
            if let Some(attempt) = in_flight {
                self.abandon_attempt(id, attempt, Outcome::Cancelled);
            }
        }
    }

    /// Ends a pending session at its answer's deadline, if the end of its attempt was lost or the policy did not
    /// answer.
    pub(super) fn answer_deadline_reached(&mut self, id: CallId) {
        let Some(session) = self.sessions.get(&id) else { return };
        let Phase::Pending { deadline, in_flight, .. } = session.phase else { return };
        if self.now < deadline {
            return;
        }
        if let Some(attempt) = in_flight {
            self.abandon_attempt(id, attempt, Outcome::Timeout);
        } else {
            self.fail(id);
            self.queue_event(Event::Withdrawn(SessionId(id.0)));
        }
    }
}

/// Returns the identifier of the class at an index of the settings.
#[expect(
    clippy::cast_possible_truncation,
    reason = "settings define fewer classes than the integer type can count"
)]
fn class_id(index: usize) -> ClassId {
    ClassId(index as u16)
}
