//! What a front knows about one session.

use crate::api::{Micros, Request, Rung, ServerId};

/// Phase of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Phase {
    /// The viewer still waits for an answer.
    #[default]
    AnswerPending,
    /// The viewer watches.
    Playing,
    /// The viewer has an answer or has left, but an attempt is still in flight.
    Answered,
}

/// An attempt that was sent to a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Dispatch {
    pub server: ServerId,
    pub sent_at: Micros,
}

/// A session, from its request until nothing of it is left at any server.
#[derive(Debug, Default)]
pub(crate) struct Session {
    pub request: Request,
    pub phase: Phase,
    /// Time by which the set-up should be done: the class's objective or the viewer's deadline, whichever is
    /// earlier.
    pub set_up_by: Micros,
    /// The server at which an attempt is in flight or the session plays.
    pub server: Option<ServerId>,
    pub rung: Rung,
    pub rung_changed_at: Micros,
    /// Number of steps down so far.
    pub downgrades: u32,
    /// Servers of all attempts so far, in order.
    pub attempted: Vec<ServerId>,
    /// Attempts that may have been executed.
    pub may_have_run: Vec<Dispatch>,
    /// Attempts answered with an error that does not yet count against the server.
    pub errors: Vec<Dispatch>,
}

impl Session {
    /// Returns the session with its server if it plays.
    pub fn playing_server(&self) -> Option<(ServerId, &Session)> {
        let server = self.server.filter(|_| self.is_playing())?;
        Some((server, self))
    }

    /// Records an attempt that is sent now.
    pub fn record_attempt(&mut self, server: ServerId, rung: Rung, now: Micros) {
        self.attempted.push(server);
        self.may_have_run.push(Dispatch { server, sent_at: now });
        self.server = Some(server);
        self.rung = rung;
    }

    /// Returns whether the viewer watches.
    pub fn is_playing(&self) -> bool {
        self.phase == Phase::Playing
    }
}
