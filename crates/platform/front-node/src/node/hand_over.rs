//! Hand-over of sessions that are already established at a media server.
//!
//! After the restart of a front node, or the failure of another one, the platform announces the sessions that viewers
//! still hold. The end of such a session may arrive before its hand-over, from the media server as well as from the
//! viewer, and either message may be repeated. A session that is over is therefore remembered for some time, and is not
//! established again.

use beechloft::api::{Event, Request, ServerId};
use beechloft_protocol::viewer::ToViewer;
use beechloft_protocol::{CallId, Cause};

use super::Node;
use super::records::SessionEnd;
use crate::io::{Output, ServerIncarnation, ViewerConnection};
use crate::session::{Attempt, Phase, Session};

impl Node {
    /// Handles the hand-over of a session that this front node does not track.
    pub(super) fn session_handed_over(
        &mut self,
        connection: ViewerConnection,
        id: CallId,
        request: Request,
        server_name: &str,
    ) {
        let Some((server, incarnation)) = self.known_server(server_name) else {
            // A session without a known media server can't be managed, so its viewer has to set it up again.
            return self.release_handed_over(connection, id, Cause::TemporaryFailure);
        };
        if self.records.viewer_releases.contains(&id) {
            return self.release_at_server(incarnation, id, Cause::Normal);
        }
        match self.records.session_ends.get(&(server, id)) {
            Some(SessionEnd::ByServer(Cause::Normal | Cause::Cancelled)) => {
                self.release_handed_over(connection, id, Cause::Normal);
            }
            Some(SessionEnd::ByServer(_)) => {
                self.release_handed_over(connection, id, Cause::TemporaryFailure);
            }
            Some(SessionEnd::ByFrontNode) => {
                // The release may have been lost on its way to the media server.
                self.release_at_server(incarnation, id, Cause::Normal);
                self.release_handed_over(connection, id, Cause::TemporaryFailure);
            }
            None if !self.has_capacity_for_hand_over(connection) => {
                self.release_handed_over(connection, id, Cause::TemporaryFailure);
            }
            None => self.adopt(connection, id, request, server, incarnation),
        }
    }

    /// Returns whether a further session may be adopted on a connection.
    ///
    /// A connection may have as many established sessions as there is capacity left, so that hand-overs on one connection
    /// use half of the capacity at most, and set-ups are still served.
    fn has_capacity_for_hand_over(&self, connection: ViewerConnection) -> bool {
        let free = self.limits.max_sessions.saturating_sub(self.sessions.len());
        self.connections.established_on(connection) < free
    }

    /// Adopts a session that is established at a media server.
    fn adopt(
        &mut self,
        connection: ViewerConnection,
        id: CallId,
        request: Request,
        server: ServerId,
        incarnation: ServerIncarnation,
    ) {
        let attempt = Attempt { ordinal: 0, incarnation, server, sent_at: self.now };
        let phase = Phase::Established(attempt);
        let session = Session { connection, viewer: request.viewer, attempts: 1, rung: 0, phase };
        self.sessions.insert(id, session);
        self.session_established(incarnation, connection, id);
        self.queue_event(Event::SessionAdopted { request, server });
    }

    /// Answers a hand-over with the release of its session.
    fn release_handed_over(&mut self, connection: ViewerConnection, id: CallId, cause: Cause) {
        let message = ToViewer::Release(id, cause);
        if self.records.closed_connections.contains(&connection) {
            self.connections.release(self.now, connection, message, &mut self.outputs);
        } else {
            self.outputs.push(Output::SendToViewer(connection, message));
        }
    }

    /// Records the end of a session at a media server, in case its hand-over arrives later.
    pub(super) fn record_end_by_server(&mut self, incarnation: ServerIncarnation, id: CallId, cause: Cause) {
        if let Some(state) = self.directory.incarnations.get(&incarnation) {
            let key = (state.server, id);
            self.records.session_ends.insert(self.now, key, SessionEnd::ByServer(cause));
        }
    }

    /// Returns a known media server with its latest incarnation.
    fn known_server(&self, name: &str) -> Option<(ServerId, ServerIncarnation)> {
        let server = self.directory.server(name)?;
        let incarnation = self.directory.incarnation(server)?;
        Some((server, incarnation))
    }
}
