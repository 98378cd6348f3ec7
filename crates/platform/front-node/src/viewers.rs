//! What viewers say.

use beechloft::api::{
    ClassId, Event, LoadReport, Micros, Outcome, Request, Rung, SessionId, TenantId, TitleId, ViewerId,
};
use beechloft_protocol::server::ToServer;
use beechloft_protocol::viewer::{FromViewer, SetUp, ToViewer};
use beechloft_protocol::{CallId, Cause};

use crate::io::{Output, ViewerConnection};
use crate::node::Node;
use crate::session::{Attempt, Phase, Session};
use crate::timers::Due;

impl Node {
    pub(crate) fn viewer(&mut self, conn: ViewerConnection, message: FromViewer) {
        match message {
            FromViewer::SetUp(id, Ok(setup)) => self.set_up(conn, id, setup),
            FromViewer::SetUp(id, Err(error)) => {
                let missing = matches!(error, beechloft_protocol::viewer::SetUpError::Missing(_));
                let cause = if missing { Cause::MissingElement } else { Cause::InvalidElement };
                self.turn_away(conn, id, cause);
            }
            FromViewer::Release(id) => self.released(conn, id),
            FromViewer::Ignored(_) => {}
            FromViewer::Test(id) => {
                let passed = self.ready();
                self.out.push(Output::SendToViewer(conn, ToViewer::TestResult(id, passed)));
            }
        }
    }

    /// Answers a set-up that the module never sees. One that names a session which is known already must not
    /// disturb it, nor bring a second answer for its id: on another connection it costs that connection.
    fn turn_away(&mut self, conn: ViewerConnection, id: CallId, cause: Cause) {
        match self.sessions.get(&id) {
            None => self.out.push(Output::SendToViewer(conn, ToViewer::Release(id, cause))),
            Some(s) if s.conn == conn => {}
            Some(_) => self.out.push(Output::CloseViewerConnection(conn)),
        }
    }

    fn set_up(&mut self, conn: ViewerConnection, id: CallId, setup: Box<SetUp>) {
        if self.sessions.contains_key(&id) {
            // One that plays already may be named again; any other is turned away.
            if setup.attributes.playing_at.is_none() {
                self.turn_away(conn, id, Cause::InvalidElement);
            }
            return;
        }
        let attributes = &setup.attributes;
        let class = self.names.classes.iter().position(|name| *name == setup.class);
        let sound = attributes.copies >= 1
            && attributes.copies <= self.settings.cells
            && attributes.home_cell < self.settings.cells;
        let Some(class) = class.filter(|_| sound) else {
            return self.turn_away(conn, id, Cause::InvalidElement);
        };
        let gives_up = self.now + Micros(setup.timeout_ms.saturating_mul(1000));
        let request = Request {
            session: SessionId(id.0),
            class: ClassId(class as u16),
            title: TitleId(setup.title_id),
            viewer: ViewerId(attributes.viewer),
            first_cell: attributes.home_cell,
            cell_count: attributes.copies,
            eligible_servers: None,
            max_rung: Rung(attributes.max_rung.min(u8::MAX.into()) as u8),
            deadline: gives_up - self.bounds.answer_margin,
            expected_duration: None,
            tenant: TenantId(0),
            migrated: self.moved.remove(&ViewerId(attributes.viewer)).is_some(),
            is_retry: attributes.is_retry,
        };
        if let Some(at) = &attributes.playing_at {
            return self.handed_over(conn, id, request, at);
        }
        // What can't be put as a message to a media server is never sent on: it would cost the connection there.
        let fits =
            ToServer::Offer { id, setup: &setup, timeout_ms: u64::MAX, rung: u8::MAX }.encode().is_some();
        if !fits {
            return self.turn_away(conn, id, Cause::InvalidElement);
        }
        // Past this, what comes is refused before the module sees it: memory is bounded, and a process that is about to be
        // killed could not answer it any more.
        if self.sessions.len() >= self.bounds.max_sessions || self.last_call {
            return self.turn_away(conn, id, Cause::Congestion);
        }
        self.releases.conns.entry(conn).or_default().open.insert(id);
        self.timers.set(request.deadline, Due::Answer(id));
        let phase = Phase::Owed { setup, gives_up: request.deadline, out: None };
        self.sessions.insert(id, Session { conn, viewer: request.viewer, attempts: 0, rung: 0, phase });
        self.feed(Event::Request(request));
    }

    /// A session that plays already.
    fn handed_over(&mut self, conn: ViewerConnection, id: CallId, request: Request, at: &str) {
        let found = self.directory.server(at).and_then(|s| Some((s, self.directory.lane(s)?)));
        let Some((server, lane)) = found.filter(|_| self.sessions.len() < self.bounds.max_sessions) else {
            // Nobody knows that media server: the session can't be looked after, so its viewer is to come again.
            let message = ToViewer::Release(id, Cause::TemporaryFailure);
            return self.out.push(Output::SendToViewer(conn, message));
        };
        let attempt = Attempt { number: 0, lane, server, sent: self.now };
        let phase = Phase::Standing(attempt);
        self.sessions.insert(id, Session { conn, viewer: request.viewer, attempts: 1, rung: 0, phase });
        self.stands(lane, conn, id);
        self.feed(Event::SessionAdopted { request, server });
    }

    /// A viewer gives a set-up up, or leaves.
    fn released(&mut self, conn: ViewerConnection, id: CallId) {
        self.out.push(Output::SendToViewer(conn, ToViewer::ReleaseComplete(id)));
        match self.sessions.get(&id).map(|s| &s.phase) {
            Some(Phase::Owed { .. }) => self.withdrawn(id),
            Some(Phase::Standing(_)) => {
                let Some(session) = self.end_standing(id, Outcome::Cancelled, LoadReport::default()) else {
                    return;
                };
                if let Some(attempt) = session.attempt() {
                    self.end_at(attempt.lane, id, Cause::Normal);
                }
            }
            Some(Phase::Over(_)) | None => {}
        }
    }

    fn withdrawn(&mut self, id: CallId) {
        let Some(mut session) = self.sessions.remove(&id) else { return };
        self.close_request(session.conn, id);
        if let Phase::Owed { out: Some(attempt), .. } = session.phase {
            self.out.push(Output::DiscardUnsent(attempt.lane, id));
            session.phase = Phase::Over(attempt);
            self.sessions.insert(id, session);
        }
        self.feed(Event::Withdrawn(SessionId(id.0)));
    }

    /// The connection of a set-up has none of it open any more.
    pub(crate) fn close_request(&mut self, conn: ViewerConnection, id: CallId) {
        self.releases.conns.entry(conn).and_modify(|c| {
            c.open.remove(&id);
        });
    }

    /// Nobody is left to hear the answers of what was open on a connection; what stands belongs to none.
    pub(crate) fn viewer_closed(&mut self, conn: ViewerConnection) {
        for id in self.releases.conns.remove(&conn).into_iter().flat_map(|c| c.open) {
            self.withdrawn(id);
        }
    }

    /// The answer of a session never left whole, so nobody watches: it ends at its media server at once. Guards against
    /// a viewer that vanishes while it is being answered, whose session would stand there until it ends by itself.
    pub(crate) fn unsaid(&mut self, id: CallId) {
        if !matches!(self.sessions.get(&id), Some(s) if matches!(s.phase, Phase::Standing(_))) {
            return;
        }
        let Some(session) = self.end_standing(id, Outcome::Cancelled, LoadReport::default()) else { return };
        if let Some(attempt) = session.attempt() {
            self.end_at(attempt.lane, id, Cause::Normal);
        }
        // It has stood, so its client is owed the end of it, on whatever connection there is.
        self.release(&session, ToViewer::Release(id, Cause::TemporaryFailure));
    }

    /// This process will be killed soon: all that is owed is answered now. Guards against a class whose deadline is longer
    /// than the time between SIGTERM and SIGKILL.
    pub(crate) fn answer_all(&mut self) {
        self.last_call = true;
        let owed = self.sessions.iter().filter(|(_, s)| matches!(s.phase, Phase::Owed { .. }));
        for (id, out) in owed.map(|(id, s)| (*id, s.out())).collect::<Vec<_>>() {
            self.act(beechloft::api::Action::Fail(SessionId(id.0)));
            self.feed(Event::Withdrawn(SessionId(id.0)));
            if let Some(attempt) = out {
                self.give_up(id, attempt, Outcome::Cancelled);
            }
        }
    }

    /// An answer is owed by now. Guards against an attempt whose end got lost, or a module that forgot it.
    pub(crate) fn answer_due(&mut self, id: CallId) {
        let Some(session) = self.sessions.get(&id) else { return };
        let Phase::Owed { gives_up, out, .. } = &session.phase else { return };
        if self.now < *gives_up {
            return;
        }
        if let Some(attempt) = *out {
            self.give_up(id, attempt, Outcome::Timeout);
        } else {
            self.act(beechloft::api::Action::Fail(SessionId(id.0)));
            self.feed(Event::Withdrawn(SessionId(id.0)));
        }
    }
}
