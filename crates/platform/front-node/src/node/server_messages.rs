//! Messages of media servers.

use beechloft::api::{self, Event, Feedback, LoadReport, Outcome, ReportField, Rung, SessionId};
use beechloft_protocol::load::LoadValue;
use beechloft_protocol::server::{FromServer, Note, ServerMessage};
use beechloft_protocol::viewer::ToViewer;
use beechloft_protocol::{CallId, Cause, load};

use super::Node;
use crate::io::{AttemptFailure, Output, ServerIncarnation};
use crate::session::{Attempt, Phase};

impl Node {
    pub(super) fn server_message(&mut self, incarnation: ServerIncarnation, message: ServerMessage) {
        let report = self.load_report(message.load.as_deref());
        match message.event {
            FromServer::Accept(id, description) => {
                self.accept_received(incarnation, id, description, report);
            }
            FromServer::End(id, cause) => self.end_received(incarnation, id, cause, report),
            FromServer::Note(id, note) => {
                self.report_load(incarnation, report);
                self.note_received(incarnation, id, note);
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

    /// The values of a load report that the settings name.
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

    /// Passes a load report to the policy that came with a message of no other meaning to it.
    fn report_load(&mut self, incarnation: ServerIncarnation, report: LoadReport) {
        if report == LoadReport::default() {
            return;
        }
        if let Some(state) = self.directory.incarnations.get(&incarnation) {
            let server = state.server;
            self.queue_event(Event::HealthChecked { server, outcome: Outcome::Ok, report });
        }
    }

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
            // A duplicate of the answer.
            Some(Phase::Established(attempt)) if attempt.incarnation == incarnation => {}
            // The session was abandoned, or is with another media server by now: it must not play here.
            _ => {
                if self.ended_sessions.contains(incarnation, id) {
                    self.release_at_server(incarnation, id, Cause::Normal);
                }
            }
        }
    }

    /// The session is established: its viewer gets the answer.
    fn answer_with_session(&mut self, id: CallId, attempt: Attempt, description: String, report: LoadReport) {
        let message = ToViewer::Answer(id, description);
        if message.encode().is_none() {
            // An answer that can't be passed on counts as one that broke off.
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
            attempt: api::Attempt(attempt.number),
            server: attempt.server,
            elapsed: self.now - attempt.sent_at,
        });
        self.report_load(attempt.incarnation, report);
    }

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
            // A duplicate, or the end of an abandoned session; the report counts all the same.
            None => self.report_load(incarnation, report),
        }
    }

    fn established_session_ended(&mut self, id: CallId, cause: Cause, report: LoadReport) {
        let (outcome, release) = match cause {
            Cause::Normal => (Outcome::Ok, Some(Cause::Normal)),
            // It was moved, or released by its viewer, who needs no release.
            Cause::Cancelled => (Outcome::Cancelled, None),
            _ => (Outcome::Reset, Some(Cause::TemporaryFailure)),
        };
        if let Some(ended) = self.end_established(id, outcome, report)
            && let Some(release_cause) = release
        {
            self.release_to_viewer(&ended, ToViewer::Release(id, release_cause));
        }
    }

    fn note_received(&mut self, incarnation: ServerIncarnation, id: CallId, note: Note) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Phase::Established(attempt) = session.phase else { return };
        if attempt.incarnation != incarnation {
            return;
        }
        let feedback = match note {
            Note::DeliveredFraction(fraction) => Feedback::DeliveredFraction(fraction),
            Note::Rung(number) => {
                let rung = rung_of(number);
                if usize::from(rung) >= self.settings.ladder.rates_kb.len() {
                    return;
                }
                session.rung = rung;
                Feedback::Rung(Rung(rung))
            }
            Note::LinkUtilization(utilization) => Feedback::LinkUtilization(utilization),
            Note::UplinkUtilization(utilization) => Feedback::UplinkUtilization(utilization),
        };
        let server = attempt.server;
        self.queue_event(Event::FeedbackReceived { session: SessionId(id.0), server, feedback });
    }
}

/// How an attempt ended that a media server refused.
fn refusal_outcome(cause: Cause) -> Outcome {
    match cause {
        Cause::NoCircuit => Outcome::Overloaded,
        Cause::ResourceUnavailable => Outcome::Error,
        Cause::TimerExpiry => Outcome::NotSent,
        _ => Outcome::Reset,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the protocol gives no negative number, and larger ones are limited; a fraction is to be dropped"
)]
fn rung_of(number: f64) -> u8 {
    number.min(f64::from(u8::MAX)) as u8
}
