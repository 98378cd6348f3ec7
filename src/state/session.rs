//! What a front knows of one session.

use crate::api::{Micros, Request, Rung, ServerId};

/// How far a session has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Phase {
    /// An answer is owed.
    #[default]
    AnswerOwed,
    /// The viewer watches.
    Playing,
    /// Answered, but an attempt is still in flight.
    Answered,
}

/// An attempt that was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Dispatch {
    pub server: ServerId,
    pub sent_at: Micros,
}

/// A session, from its request until nothing of it is left at a server.
#[derive(Debug, Default)]
pub(crate) struct Session {
    pub request: Request,
    pub phase: Phase,
    /// When its set-up is to be done: the class's objective or the viewer's deadline.
    pub set_up_by: Micros,
    /// Where an attempt is in flight, or where it plays.
    pub server: Option<ServerId>,
    pub rung: Rung,
    pub rung_changed_at: Micros,
    /// How often it was stepped down.
    pub downgrades: u32,
    /// Where each attempt so far went.
    pub attempted: Vec<ServerId>,
    /// Attempts that may have been executed.
    pub may_have_run: Vec<Dispatch>,
    /// Attempts answered with an error that is not yet held against the server.
    pub errors: Vec<Dispatch>,
}

impl Session {
    /// Where it plays, if it does.
    pub fn plays_at(&self) -> Option<(ServerId, &Session)> {
        Some((self.server.filter(|_| self.is_playing())?, self))
    }

    /// Notes an attempt that is sent.
    pub fn dispatch(&mut self, server: ServerId, rung: Rung, now: Micros) {
        self.attempted.push(server);
        self.may_have_run.push(Dispatch { server, sent_at: now });
        (self.server, self.rung) = (Some(server), rung);
    }

    /// Whether it plays.
    pub fn is_playing(&self) -> bool {
        self.phase == Phase::Playing
    }
}
