//! Established sessions: their start, their end and their migration.

use beechloft::api::{LoadReport, Outcome};
use beechloft_protocol::server::ToServer;
use beechloft_protocol::viewer::ToViewer;
use beechloft_protocol::{CallId, Cause};

use super::Node;
use crate::io::{Output, ServerIncarnation, ViewerConnection};
use crate::session::{Attempt, Session};

/// An established session that has ended.
pub(super) struct EndedSession {
    pub session: Session,
    pub attempt: Attempt,
}

impl Node {
    /// A session is established that was set up on the connection.
    pub(super) fn session_established(
        &mut self,
        incarnation: ServerIncarnation,
        connection: ViewerConnection,
        id: CallId,
    ) {
        self.connections.session_established(connection, &mut self.outputs);
        if let Some(state) = self.directory.incarnations.get_mut(&incarnation) {
            if state.established.is_empty() {
                self.outputs.push(Output::KeepConnected(incarnation, true));
            }
            state.established.insert(id);
        }
    }

    /// Ends an established session here and reports it to the policy. The caller tells the media server and the viewer
    /// where they need it. None, and without effect on the policy, if it is not established.
    pub(super) fn end_established(
        &mut self,
        id: CallId,
        outcome: Outcome,
        report: LoadReport,
    ) -> Option<EndedSession> {
        let session = self.sessions.remove(&id)?;
        let attempt = session.attempt()?;
        self.ended_sessions.insert(self.now, attempt.incarnation, id);
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

    /// Sends the end of an established session to its viewer.
    pub(super) fn release_to_viewer(&mut self, ended: &EndedSession, message: ToViewer) {
        self.connections.release(self.now, ended.session.connection, message, &mut self.outputs);
    }

    /// Ends a session at a media server.
    pub(super) fn release_at_server(&mut self, incarnation: ServerIncarnation, id: CallId, cause: Cause) {
        if let Some(line) = ToServer::End(id, cause).encode() {
            self.outputs.push(Output::SendToServer(incarnation, id, line));
        }
    }

    /// Takes a session off its server; the viewer sets it up again.
    pub(super) fn migrate(&mut self, id: CallId) {
        if !self.sessions.get(&id).is_some_and(Session::is_established) {
            return;
        }
        let Some(ended) = self.end_established(id, Outcome::Cancelled, LoadReport::default()) else { return };
        self.migrated_viewers.insert(self.now, ended.session.viewer);
        self.release_to_viewer(&ended, ToViewer::Move(id));
        self.release_at_server(ended.attempt.incarnation, id, Cause::Cancelled);
    }

    /// The answer of a session was not written whole, so nobody watches it: it ends at its media server at once. Without
    /// this the session of a viewer that disconnects during the answer would play until its own end.
    pub(super) fn answer_undelivered(&mut self, id: CallId) {
        if !self.sessions.get(&id).is_some_and(Session::is_established) {
            return;
        }
        let Some(ended) = self.end_established(id, Outcome::Cancelled, LoadReport::default()) else { return };
        self.release_at_server(ended.attempt.incarnation, id, Cause::Normal);
        // It was established, so its viewer gets the end of it on any connection there is.
        self.release_to_viewer(&ended, ToViewer::Release(id, Cause::TemporaryFailure));
    }
}
