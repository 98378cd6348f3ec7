//! Execution of the policy's actions.

use beechloft::api::{Action, Event, LoadReport, Micros, Outcome, ServerId};
use beechloft_protocol::server::ToServer;
use beechloft_protocol::viewer::ToViewer;
use beechloft_protocol::{CallId, Cause};

use super::Node;
use crate::io::Output;
use crate::session::Phase;
use crate::timers::Timer;

impl Node {
    /// Performs one action of the policy.
    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::StartAttempt { session, server, deadline } => {
                self.start_attempt(CallId(session.0), server, deadline);
            }
            Action::SetRung { session, rung } => self.set_rung(CallId(session.0), rung.0),
            Action::Reject { session, retry_after } => self.reject(CallId(session.0), retry_after),
            Action::Fail(session) => self.fail(CallId(session.0)),
            Action::CancelAttempt { session, attempt } => self.cancel_attempt(CallId(session.0), attempt.0),
            Action::Migrate(session) => self.migrate(CallId(session.0)),
            Action::HealthCheck(server) => self.start_health_check(server),
            // The event loop subscribes to the event bus at its start.
            Action::Subscribe => {}
            Action::SetTimer { delay, token } => self.timers.set(self.now + delay, Timer::Policy(token)),
            Action::Log(text) => self.outputs.push(Output::Log(text)),
        }
    }

    /// Rejects a pending session's set-up, with the time to wait before a retry if the policy gave one.
    fn reject(&mut self, id: CallId, retry_after: Option<Micros>) {
        let max_retry_after = self.settings.capabilities.max_retry_after.unwrap_or_default();
        let retry_after_ms = retry_after.map_or(0, |delay| delay.min(max_retry_after).0 / 1000);
        let message = match retry_after_ms {
            0 => ToViewer::Release(id, Cause::NoCircuit),
            ms => ToViewer::ReleaseWithRetryAfter(id, Cause::NoCircuit, ms),
        };
        self.answer_with_release(id, message);
    }

    /// Answers a pending session's set-up with a temporary failure.
    pub(super) fn fail(&mut self, id: CallId) {
        self.answer_with_release(id, ToViewer::Release(id, Cause::TemporaryFailure));
    }

    /// Answers a pending session's set-up with a release.
    ///
    /// Has no effect on a session in another phase, because a set-up gets only one answer.
    fn answer_with_release(&mut self, id: CallId, message: ToViewer) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Phase::Pending { in_flight, .. } = session.phase else { return };
        let connection = session.connection;
        match in_flight {
            Some(attempt) => session.phase = Phase::Abandoned(attempt),
            None => {
                self.sessions.remove(&id);
            }
        }
        self.connections.remove_pending(connection, id);
        self.outputs.push(Output::SendToViewer(connection, message));
        if let Some(attempt) = in_flight {
            self.outputs.push(Output::DiscardUnsent(attempt.incarnation, id));
        }
    }

    /// Sets the rung of a session, and sends it to the media server if the session is established.
    fn set_rung(&mut self, id: CallId, rung: u8) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let previous = std::mem::replace(&mut session.rung, rung);
        let Phase::Established(attempt) = session.phase else { return };
        if previous == rung {
            return;
        }
        if let Some(line) = ToServer::SetRung(id, rung).encode() {
            self.outputs.push(Output::SendToServer(attempt.incarnation, id, line));
        }
    }

    /// Sends a probe to a media server.
    fn start_health_check(&mut self, server: ServerId) {
        let Some(incarnation) = self.directory.incarnation(server) else {
            let report = LoadReport::default();
            return self.queue_event(Event::HealthChecked {
                server,
                outcome: Outcome::ConnectFailed,
                report,
            });
        };
        let id = self.health_checks.next_id();
        if let Some(line) = ToServer::Test(id, true).encode() {
            self.health_checks.insert(id, server);
            self.timers.set(self.now + self.limits.health_check_timeout, Timer::HealthCheck(id, server));
            self.outputs.push(Output::SendToServer(incarnation, id, line));
        }
    }
}
