//! Handling of messages from media servers.

use beechloft::api::{self, Event, Feedback, LoadReport, Outcome, ReportField, Rung, SessionId};
use beechloft_protocol::load::LoadValue;
use beechloft_protocol::server::{FromServer, Measurement, ServerMessage};
use beechloft_protocol::viewer::ToViewer;
use beechloft_protocol::{CallId, Cause, load};

use super::Node;
use super::records::SessionEnd;
use crate::io::{AttemptFailure, Output, ServerIncarnation};
use crate::session::{Attempt, Phase};

impl Node {
    /// Handles a message from a media server.
    pub(super) fn server_message(&mut self, incarnation: ServerIncarnation, message: ServerMessage) {
        let report = self.load_report(message.load.as_deref());
        match message.event {
            FromServer::Accept(id, description) => {
                self.accept_received(incarnation, id, description, report);
            }
            FromServer::End(id, cause) => self.end_received(incarnation, id, cause, report),
            FromServer::Measurement(id, measurement) => {
                self.report_load(incarnation, report);
                self.measurement_received(incarnation, id, measurement);
            }
            FromServer::TestResult(id, passed) => {
                if let Some(server) = self.health_checks.remove(id) {
                    let outcome = if passed { Outcome::Ok } else { Outcome::Error };
                    self.queue_event(Event::HealthChecked { server, outcome, report });
                }
            }
            FromServer::Ignored(_) => self.report_load(incarnation, report),
        }
    }

    /// Parses a load report. Values that the settings don't name are ignored.
    fn load_report(&self, text: Option<&str>) -> LoadReport {
        let mut report = LoadReport::default();
        for LoadValue { name, value } in load::parse(text.unwrap_or_default()) {
            let index = self.names.report_values.iter().position(|reported| reported == name);
            match index.and_then(|index| self.report_fields.get(index)) {
                Some(ReportField::Streams) => report.streams = Some(value),
                Some(ReportField::LinkUtilization) => report.link_utilization = Some(value),
                Some(ReportField::UplinkUtilization) => report.uplink_utilization = Some(value),
                Some(ReportField::Other) | None => {}
            }
        }
        report
    }

    /// Passes a load report to the policy as an event of its own. An empty report is ignored.
    fn report_load(&mut self, incarnation: ServerIncarnation, report: LoadReport) {
        if report == LoadReport::default() {
            return;
        }
        if let Some(state) = self.directory.incarnations.get(&incarnation) {
            let server = state.server;
            self.queue_event(Event::HealthChecked { server, outcome: Outcome::Ok, report });
        }
    }

    /// Handles the acceptance of a set-up.
    fn accept_received(
        &mut self,
        incarnation: ServerIncarnation,
        id: CallId,
        description: String,
        report: LoadReport,
    ) {
        match self.sessions.get(&id).map(|session| &session.phase) {
            Some(Phase::Pending { deadline, in_flight: Some(attempt), .. })
                if attempt.incarnation == incarnation =>
            {
                let (deadline, attempt) = (*deadline, *attempt);
                if self.now >= deadline {
                    self.abandon_attempt(id, attempt, Outcome::Timeout);
                } else {
                    self.answer_with_session(id, attempt, description, report);
                }
            }
            Some(Phase::Abandoned(attempt)) if attempt.incarnation == incarnation => {
                let attempt = *attempt;
                self.abandon_attempt(id, attempt, Outcome::Cancelled);
            }
            // The answer is a duplicate.
            Some(Phase::Established(attempt)) if attempt.incarnation == incarnation => {}
            // The session was abandoned or is at another media server, so it must not continue at this one.
            _ => {
                if self.records.ended_attempts.contains(&(incarnation, id)) {
                    self.release_at_server(incarnation, id, Cause::Normal);
                }
            }
        }
    }

    /// Establishes a session, and sends the answer to its viewer.
    fn answer_with_session(&mut self, id: CallId, attempt: Attempt, description: String, report: LoadReport) {
        let message = ToViewer::Answer(id, description);
        if message.encode().is_none() {
            // An answer that is too long for the viewer's protocol is treated as a connection reset.
            self.release_at_server(attempt.incarnation, id, Cause::Normal);
            return self.attempt_failed(attempt.incarnation, id, AttemptFailure::ConnectionReset);
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.phase = Phase::Established(attempt);
        let connection = session.connection;
        self.connections.remove_pending(connection, id);
        self.outputs.push(Output::SendToViewer(connection, message));
        self.remove_in_flight(attempt.incarnation, id);
        self.session_established(attempt.incarnation, connection, id);
        self.queue_event(Event::Started {
            session: SessionId(id.0),
            attempt: api::Attempt(attempt.ordinal),
            server: attempt.server,
            elapsed: self.now - attempt.sent_at,
        });
        self.report_load(attempt.incarnation, report);
    }

    /// Handles a refusal of a set-up or the end of a session.
    fn end_received(&mut self, incarnation: ServerIncarnation, id: CallId, cause: Cause, report: LoadReport) {
        let session = self.sessions.get(&id);
        let attempt = session.and_then(|session| session.attempt());
        let is_established = session.is_some_and(|session| session.is_established());
        match attempt.filter(|attempt| attempt.incarnation == incarnation) {
            Some(_) if is_established => self.established_session_ended(id, cause, report),
            Some(attempt) => {
                self.close_attempt(id, &attempt);
                self.attempt_ended(id, &attempt, refusal_outcome(cause), report);
            }
            // The message is a duplicate, ends an abandoned session, or ends a session that is not handed over yet. Its
            // load report is still valid.
            None => {
                self.record_end_by_server(incarnation, id, cause);
                self.report_load(incarnation, report);
            }
        }
    }

    /// Ends an established session that its media server has ended.
    fn established_session_ended(&mut self, id: CallId, cause: Cause, report: LoadReport) {
        let (outcome, release) = match cause {
            Cause::Normal => (Outcome::Ok, Some(Cause::Normal)),
            // The session was migrated or released by its viewer, so the viewer needs no release.
            Cause::Cancelled => (Outcome::Cancelled, None),
            _ => (Outcome::Reset, Some(Cause::TemporaryFailure)),
        };
        if let Some(ended) = self.end_established(id, outcome, report, SessionEnd::ByServer(cause))
            && let Some(release_cause) = release
        {
            self.release_to_viewer(&ended, ToViewer::Release(id, release_cause));
        }
    }

    /// Passes a measurement of an established session to the policy.
    fn measurement_received(&mut self, incarnation: ServerIncarnation, id: CallId, measurement: Measurement) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Phase::Established(attempt) = session.phase else { return };
        if attempt.incarnation != incarnation {
            return;
        }
        let feedback = match measurement {
            Measurement::DeliveredFraction(fraction) => Feedback::DeliveredFraction(fraction),
            Measurement::Rung(value) => {
                let rung = rung_from_measurement(value);
                if usize::from(rung) >= self.settings.ladder.rates_kb.len() {
                    return;
                }
                session.rung = rung;
                Feedback::Rung(Rung(rung))
            }
            Measurement::LinkUtilization(utilization) => Feedback::LinkUtilization(utilization),
            Measurement::UplinkUtilization(utilization) => Feedback::UplinkUtilization(utilization),
        };
        let server = attempt.server;
        self.queue_event(Event::FeedbackReceived { session: SessionId(id.0), server, feedback });
    }
}

/// Returns the outcome of an attempt that a media server refused.
fn refusal_outcome(cause: Cause) -> Outcome {
    match cause {
        Cause::NoCircuit => Outcome::Overloaded,
        Cause::ResourceUnavailable => Outcome::Error,
        Cause::TimerExpiry => Outcome::NotSent,
        _ => Outcome::Reset,
    }
}

/// Converts a measured rung to an integer.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the protocol rejects negative numbers, larger ones are limited, and a fraction is truncated"
)]
fn rung_from_measurement(value: f64) -> u8 {
    value.min(f64::from(u8::MAX)) as u8
}
