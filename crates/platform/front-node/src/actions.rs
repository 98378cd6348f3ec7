//! What the module says, done.

use beechloft::api::{Action, Attempt as Number, Event, LoadReport, Micros, Outcome, ServerId, SessionId};
use beechloft_protocol::server::ToServer;
use beechloft_protocol::viewer::ToViewer;
use beechloft_protocol::{CallId, Cause};

use crate::io::Output;
use crate::node::{MOST_MOVED, Node};
use crate::session::{Attempt, Phase, Session};
use crate::timers::Due;

impl Node {
    pub(crate) fn act(&mut self, action: Action) {
        match action {
            Action::StartAttempt { session: s, server, deadline: until } => {
                self.send(CallId(s.0), server, until)
            }
            Action::SetRung { session: s, rung } => self.set_rung(CallId(s.0), rung.0),
            Action::Reject { session: s, retry_after: wait } => {
                let id = CallId(s.0);
                // The settings cap the time to come back; a wait of nothing is none.
                let most = self.settings.capabilities.max_retry_after.unwrap_or_default();
                let ms = wait.map_or(0, |w| w.min(most).0 / 1000);
                self.answer(
                    id,
                    match ms {
                        0 => ToViewer::Release(id, Cause::NoCircuit),
                        ms => ToViewer::ReleaseWithRetryAfter(id, Cause::NoCircuit, ms),
                    },
                );
            }
            Action::Fail(s) => {
                let id = CallId(s.0);
                self.answer(id, ToViewer::Release(id, Cause::TemporaryFailure));
            }
            Action::CancelAttempt { session: s, attempt: number } => self.cancel(CallId(s.0), number),
            Action::Migrate(s) => self.move_away(CallId(s.0)),
            Action::HealthCheck(server) => self.probe(server),
            // The event bus is read all the time.
            Action::Subscribe => {}
            Action::SetTimer { delay, token } => self.timers.set(self.now + delay, Due::Module(token)),
            Action::Log(text) => self.out.push(Output::Log(text)),
        }
    }

    fn send(&mut self, id: CallId, server: ServerId, until: Micros) {
        let lane = self.directory.lane(server);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let number = session.attempts;
        session.attempts = session.attempts.saturating_add(1);
        let rung = session.rung;
        let (now, conn) = (self.now, session.conn);
        let sent = match &mut session.phase {
            // Never two attempts out for one session, whatever is asked for.
            Phase::Owed { setup, gives_up, out: out @ None } => lane.and_then(|lane| {
                let until = until.min(*gives_up);
                let timeout_ms = (until - now).0 / 1000;
                let line = ToServer::Offer { id, setup, timeout_ms, rung }.encode()?;
                *out = Some(Attempt { number, lane, server, sent: now });
                Some((lane, until, line))
            }),
            _ => None,
        };
        match sent {
            Some((lane, until, line)) => {
                self.directory.lanes.entry(lane).and_modify(|l| {
                    l.out.insert(id);
                });
                self.timers.set(until, Due::Attempt(id, number));
                self.out.push(Output::SendSetUp {
                    incarnation: lane,
                    id,
                    connection: conn,
                    line,
                    send_by: until,
                });
            }
            None => self.attempt_ended(id, number, server, Outcome::NotSent, LoadReport::default(), now),
        }
    }

    /// Tells the module how an attempt ended that the session no longer has.
    pub(crate) fn attempt_ended(
        &mut self,
        id: CallId,
        number: u16,
        server: ServerId,
        outcome: Outcome,
        report: LoadReport,
        sent: Micros,
    ) {
        let closed = !self.sessions.get(&id).is_some_and(|s| matches!(s.phase, Phase::Owed { .. }));
        self.feed(Event::AttemptEnded {
            session: SessionId(id.0),
            attempt: Number(number),
            server,
            outcome,
            is_final: closed,
            elapsed: self.now - sent,
            report,
        });
    }

    fn set_rung(&mut self, id: CallId, rung: u8) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let changed = std::mem::replace(&mut session.rung, rung) != rung;
        if let Phase::Standing(attempt) = &session.phase
            && changed
            && let Some(line) = ToServer::SetRung(id, rung).encode()
        {
            self.out.push(Output::SendToServer(attempt.lane, id, line));
        }
    }

    /// The one final answer, other than that the session stands.
    fn answer(&mut self, id: CallId, message: ToViewer) {
        let Some(mut session) = self.sessions.remove(&id) else { return };
        match session.phase {
            Phase::Owed { out, .. } => {
                self.close_request(session.conn, id);
                self.out.push(Output::SendToViewer(session.conn, message));
                if let Some(attempt) = out {
                    self.out.push(Output::DiscardUnsent(attempt.lane, id));
                    session.phase = Phase::Over(attempt);
                    self.sessions.insert(id, session);
                }
            }
            // Answered already: there is never a second answer.
            Phase::Over(_) | Phase::Standing(_) => {
                self.sessions.insert(id, session);
            }
        }
    }

    fn cancel(&mut self, id: CallId, number: Number) {
        let out = self.sessions.get(&id).and_then(Session::out);
        if let Some(attempt) = out.filter(|a| a.number == number.0) {
            self.give_up(id, attempt, Outcome::Cancelled);
        }
    }

    fn move_away(&mut self, id: CallId) {
        if !matches!(self.sessions.get(&id), Some(s) if matches!(s.phase, Phase::Standing(_))) {
            return;
        }
        let Some(session) = self.end_standing(id, Outcome::Cancelled, LoadReport::default()) else { return };
        if self.moved.len() >= MOST_MOVED {
            self.moved.pop_first();
        }
        self.moved.insert(session.viewer, self.now);
        self.release(&session, ToViewer::Move(id));
        if let Some(attempt) = session.attempt() {
            self.end_at(attempt.lane, id, Cause::Cancelled);
        }
    }

    fn probe(&mut self, server: ServerId) {
        let Some(lane) = self.directory.lane(server) else {
            let report = LoadReport::default();
            return self.feed(Event::HealthChecked { server, outcome: Outcome::ConnectFailed, report });
        };
        self.probes_made = self.probes_made.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let id = CallId(self.probes_made);
        if let Some(line) = ToServer::Test(id, true).encode() {
            self.probes.insert(id, server);
            self.timers.set(self.now + self.bounds.probe_timeout, Due::Probe(id, server));
            self.out.push(Output::SendToServer(lane, id, line));
        }
    }
}
