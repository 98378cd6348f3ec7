//! Removal of sessions from the controller's table.

use beechloft::api::{self as api, Event, LoadReport, Outcome, SessionId};

use super::SessionController;
use super::attempts::overdue_at;
use crate::io::{EndReason, IdempotencyKey, Output};
use crate::session::{PendingAnswer, Playing, SessionState};

impl SessionController {
    /// Takes the pending answer of a session, or returns `None` if no client waits.
    ///
    /// The session is removed, unless an attempt is in flight. In that case it stays until the attempt ends.
    pub(super) fn take_pending_answer(&mut self, id: SessionId) -> Option<PendingAnswer> {
        let mut session = self.sessions.remove(&id)?;
        self.forget_overdue(id, &session.state);
        match session.state {
            SessionState::AwaitingAnswer(pending, Some(attempt)) => {
                session.state = SessionState::Ending(attempt);
                self.sessions.insert(id, session);
                Some(pending)
            }
            SessionState::AwaitingAnswer(pending, None) => {
                self.forget_idempotency_key(id, session.idempotency_key);
                Some(pending)
            }
            state => {
                session.state = state;
                self.sessions.insert(id, session);
                None
            }
        }
    }

    pub(super) fn forget_overdue(&mut self, id: SessionId, state: &SessionState) {
        if let SessionState::AwaitingAnswer(_, Some(attempt)) = state {
            self.overdue.remove(&(overdue_at(attempt.deadline), id));
        }
    }

    fn forget_idempotency_key(&mut self, id: SessionId, key: Option<IdempotencyKey>) {
        if let Some(key) = key.filter(|key| self.by_idempotency_key.get(key) == Some(&id)) {
            self.by_idempotency_key.remove(&key);
        }
    }

    pub(super) fn forget(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.remove(&id) {
            self.forget_overdue(id, &session.state);
            self.forget_idempotency_key(id, session.idempotency_key);
        }
    }

    /// Ends a playing session and releases it at its media server.
    pub(super) fn end_and_release(&mut self, id: SessionId, reason: EndReason, out: &mut Vec<Output>) {
        if let Some(playing) = self.stop_playing(id, reason, Outcome::Cancelled, out) {
            self.releases.add(self.now, playing.server, playing.resource);
        }
    }

    /// Removes a playing session and notifies the policy. Returns `None` if the session does not play.
    pub(super) fn stop_playing(
        &mut self,
        id: SessionId,
        reason: EndReason,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) -> Option<Playing> {
        let session = self.sessions.remove(&id)?;
        let SessionState::Playing(playing) = session.state else {
            self.sessions.insert(id, session);
            return None;
        };
        self.forget_idempotency_key(id, session.idempotency_key);
        if let Some(at_server) = self.playing.get_mut(&playing.server) {
            at_server.remove(&playing.resource);
            if at_server.is_empty() {
                self.playing.remove(&playing.server);
            }
        }
        self.events.push_back(Event::AttemptEnded {
            session: id,
            attempt: api::Attempt(playing.attempt_number),
            server: playing.server,
            outcome,
            is_final: true,
            elapsed: self.now - playing.started_at,
            report: LoadReport::default(),
        });
        out.push(Output::SessionEnded(id, reason));
        Some(playing)
    }
}
