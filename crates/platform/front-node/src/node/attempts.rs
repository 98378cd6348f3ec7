//! Start, timeout, failure and end of attempts.

use beechloft::api::{Attempt as AttemptOrdinal, Event, LoadReport, Micros, Outcome, ServerId, SessionId};
use beechloft_protocol::server::ToServer;
use beechloft_protocol::{CallId, Cause};

use super::Node;
use crate::io::{AttemptFailure, Output, ServerIncarnation};
use crate::session::{Attempt, Phase, Session};
use crate::timers::Timer;

/// A set-up that is ready to be sent.
struct PreparedSetUp {
    incarnation: ServerIncarnation,
    line: Vec<u8>,
    /// Timeout of the attempt.
    deadline: Micros,
}

impl Node {
    /// Sends a pending session's set-up to a media server. The attempt times out at `until` or at the answer's
    /// deadline.
    pub(super) fn start_attempt(&mut self, id: CallId, server: ServerId, until: Micros) {
        let target_incarnation = self.directory.incarnation(server);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let ordinal = session.attempts;
        session.attempts = session.attempts.saturating_add(1);
        let connection = session.connection;
        let prepared = target_incarnation
            .and_then(|incarnation| prepare_set_up(session, id, incarnation, self.now, until));
        let Some(PreparedSetUp { incarnation, line, deadline }) = prepared else {
            self.queue_attempt_ended(id, ordinal, server, self.now, Outcome::NotSent, LoadReport::default());
            return;
        };
        if let Phase::Pending { in_flight, .. } = &mut session.phase {
            *in_flight = Some(Attempt { ordinal, incarnation, server, sent_at: self.now });
        }
        if let Some(state) = self.directory.incarnations.get_mut(&incarnation) {
            state.in_flight.insert(id);
        }
        self.timers.set(deadline, Timer::Attempt(id, ordinal));
        self.outputs.push(Output::SendSetUp { incarnation, id, connection, line, send_by: deadline });
    }

    /// Cancels an attempt that the policy no longer needs.
    pub(super) fn cancel_attempt(&mut self, id: CallId, ordinal: u16) {
        let in_flight = self.sessions.get(&id).and_then(Session::in_flight);
        if let Some(attempt) = in_flight.filter(|attempt| attempt.ordinal == ordinal) {
            self.abandon_attempt(id, attempt, Outcome::Cancelled);
        }
    }

    /// Abandons an attempt whose timeout has expired.
    pub(super) fn attempt_timed_out(&mut self, id: CallId, ordinal: u16) {
        let in_flight = self.sessions.get(&id).and_then(Session::in_flight);
        if let Some(attempt) = in_flight.filter(|attempt| attempt.ordinal == ordinal) {
            self.abandon_attempt(id, attempt, Outcome::Timeout);
        }
    }

    /// Handles an attempt that failed without an answer from the media server.
    pub(super) fn attempt_failed(
        &mut self,
        incarnation: ServerIncarnation,
        id: CallId,
        failure: AttemptFailure,
    ) {
        let in_flight = self.sessions.get(&id).and_then(Session::in_flight);
        let Some(attempt) = in_flight.filter(|attempt| attempt.incarnation == incarnation) else { return };
        self.close_attempt(id, &attempt);
        let outcome = match failure {
            AttemptFailure::NoConnection => Outcome::ConnectFailed,
            AttemptFailure::NotSent => Outcome::NotSent,
            AttemptFailure::ConnectionReset => Outcome::Reset,
        };
        self.attempt_ended(id, &attempt, outcome, LoadReport::default());
    }

    /// Stops waiting for the result of an attempt.
    ///
    /// The release for the media server comes first in the outputs, so that no other attempt is sent before it.
    pub(super) fn abandon_attempt(&mut self, id: CallId, attempt: Attempt, outcome: Outcome) {
        if let Some(line) = ToServer::End(id, Cause::Normal).encode() {
            let timed_out = outcome == Outcome::Timeout;
            let incarnation = attempt.incarnation;
            self.outputs.push(Output::AbandonAttempt { incarnation, id, line, timed_out });
        }
        self.close_attempt(id, &attempt);
        self.attempt_ended(id, &attempt, outcome, LoadReport::default());
    }

    /// Records that an attempt is no longer in flight. An abandoned session is removed with its attempt.
    pub(super) fn close_attempt(&mut self, id: CallId, attempt: &Attempt) {
        self.remove_in_flight(attempt.incarnation, id);
        self.records.ended_attempts.insert(self.now, (attempt.incarnation, id), ());
        match self.sessions.get_mut(&id).map(|session| &mut session.phase) {
            Some(Phase::Pending { in_flight, .. }) => *in_flight = None,
            Some(Phase::Abandoned(_)) => {
                self.sessions.remove(&id);
            }
            Some(Phase::Established(_)) | None => {}
        }
    }

    /// Removes an attempt from those that are in flight to an incarnation.
    pub(super) fn remove_in_flight(&mut self, incarnation: ServerIncarnation, id: CallId) {
        if let Some(state) = self.directory.incarnations.get_mut(&incarnation) {
            state.in_flight.remove(&id);
        }
        self.maybe_unused.insert(incarnation);
    }

    /// Reports the end of an attempt to the policy.
    pub(super) fn attempt_ended(
        &mut self,
        id: CallId,
        attempt: &Attempt,
        outcome: Outcome,
        report: LoadReport,
    ) {
        self.queue_attempt_ended(id, attempt.ordinal, attempt.server, attempt.sent_at, outcome, report);
    }

    fn queue_attempt_ended(
        &mut self,
        id: CallId,
        ordinal: u16,
        server: ServerId,
        sent_at: Micros,
        outcome: Outcome,
        report: LoadReport,
    ) {
        let is_pending = self.sessions.get(&id).is_some_and(Session::is_pending);
        self.queue_event(Event::AttemptEnded {
            session: SessionId(id.0),
            attempt: AttemptOrdinal(ordinal),
            server,
            outcome,
            is_final: !is_pending,
            elapsed: self.now - sent_at,
            report,
        });
    }
}

/// Encodes the set-up of a pending session for a media server.
///
/// Returns `None` if the session is not pending or has an attempt in flight already, or if the set-up is too long.
fn prepare_set_up(
    session: &Session,
    id: CallId,
    incarnation: ServerIncarnation,
    now: Micros,
    until: Micros,
) -> Option<PreparedSetUp> {
    let Phase::Pending { setup, deadline, in_flight: None } = &session.phase else { return None };
    let attempt_deadline = until.min(*deadline);
    let timeout_ms = (attempt_deadline - now).0 / 1000;
    let line = ToServer::Offer { id, setup, timeout_ms, rung: session.rung }.encode()?;
    Some(PreparedSetUp { incarnation, line, deadline: attempt_deadline })
}
