//! How sessions leave the table.

use beechloft::api::{self as api, *};

use super::Core;
use super::attempts::overdue;
use crate::io::*;
use crate::session::{Owed, Playing, Stage};

impl Core {
    /// Takes the duty to answer out of a session, which is over or waits for the end of its attempt.
    pub(super) fn close(&mut self, id: SessionId) -> Option<Owed> {
        let mut session = self.sessions.remove(&id)?;
        self.forget_overdue(id, &session.stage);
        match session.stage {
            Stage::Owed(owed, Some(attempt)) => {
                session.stage = Stage::Ending(attempt);
                self.sessions.insert(id, session);
                Some(owed)
            }
            Stage::Owed(owed, None) => {
                self.forget_repeat(id, session.repeat);
                Some(owed)
            }
            stage => {
                session.stage = stage;
                self.sessions.insert(id, session);
                None
            }
        }
    }

    pub(super) fn forget_overdue(&mut self, id: SessionId, stage: &Stage) {
        if let Stage::Owed(_, Some(attempt)) = stage {
            self.overdue.remove(&(overdue(attempt.until), id));
        }
    }

    fn forget_repeat(&mut self, id: SessionId, key: Option<RepeatKey>) {
        if let Some(key) = key.filter(|k| self.repeats.get(k) == Some(&id)) {
            self.repeats.remove(&key);
        }
    }

    pub(super) fn forget(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.remove(&id) {
            self.forget_overdue(id, &session.stage);
            self.forget_repeat(id, session.repeat);
        }
    }

    /// Ends a session that plays, at its box too.
    pub(super) fn take_back(&mut self, id: SessionId, why: Why, out: &mut Vec<Output>) {
        if let Some(playing) = self.stop_playing(id, why, Outcome::Cancelled, out) {
            self.releases.add(self.now, playing.server, playing.resource);
        }
    }

    /// Takes a session that plays out of the table and tells the module.
    pub(super) fn stop_playing(
        &mut self,
        id: SessionId,
        why: Why,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) -> Option<Playing> {
        let session = self.sessions.remove(&id)?;
        let Stage::Playing(playing) = session.stage else {
            self.sessions.insert(id, session);
            return None;
        };
        self.forget_repeat(id, session.repeat);
        if let Some(there) = self.playing.get_mut(&playing.server) {
            there.remove(&playing.resource);
            if there.is_empty() {
                self.playing.remove(&playing.server);
            }
        }
        self.queue.push_back(Event::AttemptEnded {
            session: id,
            attempt: api::Attempt(playing.number),
            server: playing.server,
            outcome,
            is_final: true,
            elapsed: self.now - playing.since,
            report: LoadReport::default(),
        });
        out.push(Output::Over(id, why));
        Some(playing)
    }
}
