//! What media servers say, and what becomes of them.

use beechloft::api::{self as api, Event, LoadReport, Outcome, Rung, SessionId};
use beechloft_protocol::server::{FromServer, Note, ServerMessage, ToServer};
use beechloft_protocol::viewer::ToViewer;
use beechloft_protocol::{CallId, Cause};

use crate::io::{AttemptFailure, Output, ServerIncarnation, ViewerConnection};
use crate::node::Node;
use crate::session::{Attempt, Phase, Session};

impl Node {
    pub(crate) fn server(&mut self, lane: ServerIncarnation, line: ServerMessage) {
        let report = self.report(line.load.as_deref());
        match line.event {
            FromServer::Accept(id, description) => self.accepted(lane, id, description, report),
            FromServer::End(id, cause) => self.ended(lane, id, cause, report),
            FromServer::Note(id, note) => {
                self.heard(lane, report);
                self.noted(lane, id, note);
            }
            FromServer::TestResult(id, passed) => {
                if let Some(server) = self.probes.remove(&id) {
                    let outcome = if passed { Outcome::Ok } else { Outcome::Error };
                    self.feed(Event::HealthChecked { server, outcome, report });
                }
            }
            FromServer::Ignored(_) => self.heard(lane, report),
        }
    }

    /// A report that came with something that tells the module no more.
    fn heard(&mut self, lane: ServerIncarnation, report: LoadReport) {
        if report != LoadReport::default()
            && let Some(l) = self.directory.lanes.get(&lane)
        {
            self.feed(Event::HealthChecked { server: l.server, outcome: Outcome::Ok, report });
        }
    }

    fn accepted(&mut self, lane: ServerIncarnation, id: CallId, description: String, report: LoadReport) {
        let Some(session) = self.sessions.get(&id) else {
            // It was given up, or its viewer has gone, while the answer was on its way: it must not stand there.
            if self.ended_lately(lane, id) {
                self.end_at(lane, id, Cause::Normal);
            }
            return;
        };
        match &session.phase {
            Phase::Owed { gives_up, out: Some(a), .. } if a.lane == lane => {
                let attempt = *a;
                if self.now >= *gives_up {
                    return self.give_up(id, attempt, Outcome::Timeout);
                }
                self.answered(id, attempt, description, report);
            }
            Phase::Over(a) if a.lane == lane => {
                let attempt = *a;
                self.give_up(id, attempt, Outcome::Cancelled);
            }
            // A second copy of the answer.
            Phase::Standing(a) if a.lane == lane => {}
            // Another media server has the session by now.
            _ => {
                if self.ended_lately(lane, id) {
                    self.end_at(lane, id, Cause::Normal);
                }
            }
        }
    }

    fn answered(&mut self, id: CallId, attempt: Attempt, description: String, report: LoadReport) {
        let message = ToViewer::Answer(id, description);
        if message.encode().is_none() {
            // It can't be passed on as it is: as good as spoilt.
            self.end_at(attempt.lane, id, Cause::Normal);
            return self.broken(attempt.lane, id, AttemptFailure::ConnectionReset);
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.phase = Phase::Standing(attempt);
        let conn = session.conn;
        self.close_request(conn, id);
        self.out.push(Output::SendToViewer(conn, message));
        self.out_no_more(attempt.lane, id);
        self.stands(attempt.lane, conn, id);
        self.feed(Event::Started {
            session: SessionId(id.0),
            attempt: api::Attempt(attempt.number),
            server: attempt.server,
            elapsed: self.now - attempt.sent,
        });
        self.heard(attempt.lane, report);
    }

    fn ended(&mut self, lane: ServerIncarnation, id: CallId, cause: Cause, report: LoadReport) {
        let phase = self.sessions.get(&id).filter(|s| s.attempt().is_some_and(|a| a.lane == lane));
        match phase.map(|s| (&s.phase, s.attempt().copied())) {
            Some((Phase::Standing(_), _)) => {
                let (outcome, said) = match cause {
                    Cause::Normal => (Outcome::Ok, Some(Cause::Normal)),
                    // Moved, or ended by its viewer, who is owed no release.
                    Cause::Cancelled => (Outcome::Cancelled, None),
                    _ => (Outcome::Reset, Some(Cause::TemporaryFailure)),
                };
                if let Some(session) = self.end_standing(id, outcome, report)
                    && let Some(cause) = said
                {
                    self.release(&session, ToViewer::Release(id, cause));
                }
            }
            Some((_, Some(attempt))) => {
                let outcome = match cause {
                    Cause::NoCircuit => Outcome::Overloaded,
                    Cause::ResourceUnavailable => Outcome::Error,
                    Cause::TimerExpiry => Outcome::NotSent,
                    _ => Outcome::Reset,
                };
                self.close_attempt(id, attempt);
                self.attempt_ended(id, attempt.number, attempt.server, outcome, report, attempt.sent);
            }
            // Told twice, or after it was given up; the report counts all the same.
            _ => self.heard(lane, report),
        }
    }

    fn noted(&mut self, lane: ServerIncarnation, id: CallId, note: Note) {
        let Some(Phase::Standing(a)) = self.sessions.get(&id).map(|s| &s.phase) else { return };
        if a.lane != lane {
            return;
        }
        let server = a.server;
        let note = match note {
            Note::DeliveredFraction(x) => api::Feedback::DeliveredFraction(x),
            Note::Rung(x) => {
                let rung = x.min(255.0) as u8;
                if usize::from(rung) >= self.settings.ladder.rates_kb.len() {
                    return;
                }
                self.sessions.entry(id).and_modify(|s| s.rung = rung);
                api::Feedback::Rung(Rung(rung))
            }
            Note::LinkUtilization(x) => api::Feedback::LinkUtilization(x),
            Note::UplinkUtilization(x) => api::Feedback::UplinkUtilization(x),
        };
        self.feed(Event::FeedbackReceived { session: SessionId(id.0), server, feedback: note });
    }

    /// The shell says that an attempt broke.
    pub(crate) fn broken(&mut self, lane: ServerIncarnation, id: CallId, how: AttemptFailure) {
        let out = self.sessions.get(&id).and_then(Session::out);
        let Some(attempt) = out.filter(|a| a.lane == lane) else { return };
        self.close_attempt(id, attempt);
        let outcome = match how {
            AttemptFailure::NoConnection => Outcome::ConnectFailed,
            AttemptFailure::NotSent => Outcome::NotSent,
            AttemptFailure::ConnectionReset => Outcome::Reset,
        };
        self.attempt_ended(id, attempt.number, attempt.server, outcome, LoadReport::default(), attempt.sent);
    }

    pub(crate) fn attempt_due(&mut self, id: CallId, number: u16) {
        let out = self.sessions.get(&id).and_then(Session::out);
        if let Some(attempt) = out.filter(|a| a.number == number) {
            self.give_up(id, attempt, Outcome::Timeout);
        }
    }

    /// Stops waiting for an attempt. Its giving-up is told first, so that no other goes out before it.
    pub(crate) fn give_up(&mut self, id: CallId, attempt: Attempt, outcome: Outcome) {
        if let Some(line) = ToServer::End(id, Cause::Normal).encode() {
            let silent = outcome == Outcome::Timeout;
            self.out.push(Output::AbandonAttempt { incarnation: attempt.lane, id, line, timed_out: silent });
        }
        self.close_attempt(id, attempt);
        self.attempt_ended(id, attempt.number, attempt.server, outcome, LoadReport::default(), attempt.sent);
    }

    /// An attempt is out no more; the session goes too if it is over.
    fn close_attempt(&mut self, id: CallId, attempt: Attempt) {
        self.out_no_more(attempt.lane, id);
        self.remember_ended(attempt.lane, id);
        match self.sessions.get_mut(&id).map(|s| &mut s.phase) {
            Some(Phase::Owed { out, .. }) => *out = None,
            Some(Phase::Over(_)) => {
                self.sessions.remove(&id);
            }
            Some(Phase::Standing(_)) | None => {}
        }
    }

    /// A session stands no more: it is forgotten here and told to the module. Who else must hear is the caller's.
    pub(crate) fn end_standing(
        &mut self,
        id: CallId,
        outcome: Outcome,
        report: LoadReport,
    ) -> Option<Session> {
        let session = self.sessions.remove(&id)?;
        let attempt = *session.attempt()?;
        self.remember_ended(attempt.lane, id);
        self.releases.ended(session.conn);
        if let Some(lane) = self.directory.lanes.get_mut(&attempt.lane) {
            lane.standing.remove(&id);
            if lane.standing.is_empty() {
                self.out.push(Output::KeepConnected(attempt.lane, false));
            }
        }
        self.attempt_ended(id, attempt.number, attempt.server, outcome, report, attempt.sent);
        self.tidy(attempt.lane);
        Some(session)
    }

    pub(crate) fn stands(&mut self, lane: ServerIncarnation, conn: ViewerConnection, id: CallId) {
        self.releases.stands(conn, &mut self.out);
        if let Some(l) = self.directory.lanes.get_mut(&lane) {
            if l.standing.is_empty() {
                self.out.push(Output::KeepConnected(lane, true));
            }
            l.standing.insert(id);
        }
    }

    fn out_no_more(&mut self, lane: ServerIncarnation, id: CallId) {
        if let Some(l) = self.directory.lanes.get_mut(&lane) {
            l.out.remove(&id);
        }
        self.tidy(lane);
    }

    /// Ends a session at a media server.
    pub(crate) fn end_at(&mut self, lane: ServerIncarnation, id: CallId, cause: Cause) {
        if let Some(line) = ToServer::End(id, cause).encode() {
            self.out.push(Output::SendToServer(lane, id, line));
        }
    }

    /// Lets go of lanes that are off the list and have nothing left, after all that is still said there.
    pub(crate) fn tidy_all(&mut self) {
        for lane in std::mem::take(&mut self.untidy) {
            if self.directory.forget(lane) {
                self.out.push(Output::RemoveIncarnation(lane));
            }
        }
    }

    fn tidy(&mut self, lane: ServerIncarnation) {
        self.untidy.insert(lane);
    }

    /// The list has it no more. What stands there may play on, so it is looked at first.
    pub(crate) fn lane_gone(&mut self, lane: ServerIncarnation) {
        self.out.push(Output::CheckReachability(lane));
        self.tidy(lane);
    }

    /// Its process has ended: what stood there is cut, and its viewers come again.
    pub(crate) fn lane_dead(&mut self, lane: ServerIncarnation) {
        let standing = self.directory.lanes.get(&lane).map(|l| l.standing.clone()).unwrap_or_default();
        for id in standing {
            if let Some(session) = self.end_standing(id, Outcome::Reset, LoadReport::default()) {
                self.release(&session, ToViewer::Release(id, Cause::TemporaryFailure));
            }
        }
        self.tidy(lane);
    }
}
