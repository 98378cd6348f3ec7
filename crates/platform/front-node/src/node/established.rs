//! Start, end and migration of established sessions.

use beechloft::api::{LoadReport, Outcome};
use beechloft_protocol::server::ToServer;
use beechloft_protocol::viewer::ToViewer;
use beechloft_protocol::{CallId, Cause};

use super::Node;
use super::records::SessionEnd;
use crate::io::{Output, ServerIncarnation, ViewerConnection};
use crate::session::{Attempt, Session};

/// An established session that has ended.
pub(super) struct EndedSession {
    /// State of the session at its end.
    pub session: Session,
    /// Attempt that established the session.
    pub attempt: Attempt,
}

impl Node {
    /// Records that a session that was set up on the connection is established.
    pub(super) fn session_established(
        &mut self,
        incarnation: ServerIncarnation,
        connection: ViewerConnection,
        id: CallId,
    ) {
        if !self.records.closed_connections.contains(&connection) {
            self.connections.session_established(connection, &mut self.outputs);
        }
        if let Some(state) = self.directory.incarnations.get_mut(&incarnation) {
            if state.established.is_empty() {
                self.outputs.push(Output::KeepConnected(incarnation, true));
            }
            state.established.insert(id);
        }
    }

    /// Removes an established session and reports its end to the policy.
    ///
    /// The caller notifies the media server and the viewer if necessary. Returns `None`, without an event for the
    /// policy, if the session is unknown or has no attempt.
    pub(super) fn end_established(
        &mut self,
        id: CallId,
        outcome: Outcome,
        report: LoadReport,
        end: SessionEnd,
    ) -> Option<EndedSession> {
        let session = self.sessions.remove(&id)?;
        let attempt = session.attempt()?;
        self.records.ended_attempts.insert(self.now, (attempt.incarnation, id), ());
        self.records.session_ends.insert(self.now, (attempt.server, id), end);
        self.connections.session_ended(session.connection);
        if let Some(state) = self.directory.incarnations.get_mut(&attempt.incarnation) {
            state.established.remove(&id);
            if state.established.is_empty() {
                self.outputs.push(Output::KeepConnected(attempt.incarnation, false));
            }
        }
        self.attempt_ended(id, &attempt, outcome, report);
        self.maybe_unused.insert(attempt.incarnation);
        Some(EndedSession { session, attempt })
    }

    /// Removes an established session that its media server has not ended, as [`Self::end_established`] does.
    pub(super) fn end_by_front_node(&mut self, id: CallId, outcome: Outcome) -> Option<EndedSession> {
        self.end_established(id, outcome, LoadReport::default(), SessionEnd::ByFrontNode)
    }

    /// Sends the release of an ended session to its viewer.
    pub(super) fn release_to_viewer(&mut self, ended: &EndedSession, message: ToViewer) {
        self.connections.release(self.now, ended.session.connection, message, &mut self.outputs);
    }

    /// Releases a session at a media server.
    pub(super) fn release_at_server(&mut self, incarnation: ServerIncarnation, id: CallId, cause: Cause) {
        if let Some(line) = ToServer::End(id, cause).encode() {
            self.outputs.push(Output::SendToServer(incarnation, id, line));
        }
    }

    /// Ends an established session at its media server, and requests its viewer to set it up again.
    pub(super) fn migrate(&mut self, id: CallId) {
        if !self.sessions.get(&id).is_some_and(Session::is_established) {
            return;
        }
        let Some(ended) = self.end_by_front_node(id, Outcome::Cancelled) else { return };
        self.records.migrated_viewers.insert(self.now, ended.session.viewer, ());
        self.release_to_viewer(&ended, ToViewer::Move(id));
        self.release_at_server(ended.attempt.incarnation, id, Cause::Cancelled);
    }

    /// Ends an established session whose answer was not written completely.
    ///
    /// Otherwise the session of a viewer that disconnects during the answer would occupy its media server until its
    /// end.
    pub(super) fn answer_undelivered(&mut self, id: CallId) {
        if !self.sessions.get(&id).is_some_and(Session::is_established) {
            return;
        }
        let Some(ended) = self.end_by_front_node(id, Outcome::Cancelled) else { return };
        self.release_at_server(ended.attempt.incarnation, id, Cause::Normal);
        // The session was established, so its release may be sent on any open connection.
        self.release_to_viewer(&ended, ToViewer::Release(id, Cause::TemporaryFailure));
    }
}
