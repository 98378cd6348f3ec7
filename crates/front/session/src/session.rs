//! A session's life as types: an answer that is owed can be given once, an attempt ends once.

use std::sync::Arc;

use beechloft::api::{ClassId, Micros, Rung, ServerId, SessionId};

use crate::io::{Answer, AttemptId, BoxReply, Output, Protocol, RepeatKey, RequestId, Secret};

/// How long an attempt may take to end after it was dropped, before it counts as over.
///
/// Dropping closes the sending side of the connection, which tells the box to give the set-up up. A sound box closes
/// its own side at once, or its answer was on the way and is then undone; a box that stands still does neither, and
/// after this long the connection is closed hard. No further attempt goes out before.
pub const GRACE: Micros = Micros(100_000);

/// How far past its end an attempt may go unreported before the client gets its answer anyway.
pub const OVERDUE: Micros = Micros(250_000);

/// How long the answer to an offer is kept for the same offer sent again.
pub const REPLAY_FOR: Micros = Micros(10_000_000);

/// The duty to answer a client. Made with the request, consumed by the answer; it can't be copied.
#[derive(Debug)]
#[must_use]
pub struct Owed(RequestId);

impl Owed {
    /// The duty that comes with a request.
    pub(crate) fn new(request: RequestId) -> Self {
        Owed(request)
    }
    /// Who waits.
    pub fn request(&self) -> RequestId {
        self.0
    }
    /// Ends the duty without an answer: the client has left, and nobody is there to hear one.
    pub(crate) fn void(self) {}

    /// Gives the answer.
    #[must_use]
    pub(crate) fn settle(self, answer: Answer) -> Output {
        Output::Reply(self.0, answer)
    }
}

/// An attempt that is out. Consumed by its end; it can't be copied.
#[derive(Debug)]
pub struct Attempt {
    /// Its name.
    pub id: AttemptId,
    /// Where it went.
    pub server: ServerId,
    /// When it is dropped.
    pub until: Micros,
}

/// A session that plays.
#[derive(Debug)]
pub struct Playing {
    /// Where.
    pub server: ServerId,
    /// Its path there.
    pub resource: String,
    /// Path there at which its rung is set, if the box lets it be set.
    pub layers: Option<Box<str>>,
    /// The attempt that brought it there.
    pub number: u16,
    /// Since when.
    pub since: Micros,
    /// What the box answered, while the offer may come again.
    pub reply: Option<Arc<BoxReply>>,
}

/// Where a session is in its life.
#[derive(Debug)]
pub enum Stage {
    /// Its client waits; at most one attempt is out.
    Owed(Owed, Option<Attempt>),
    /// Its client has an answer or has left, but an attempt is still out.
    Ending(Attempt),
    /// It plays.
    Playing(Playing),
}

/// A session in the table.
#[derive(Debug)]
pub struct Session {
    /// For its address.
    pub secret: Secret,
    /// What its client speaks.
    pub protocol: Protocol,
    /// Where it is in its life.
    pub stage: Stage,
    /// Its class.
    pub class: ClassId,
    /// The rung in force, or that of the attempt to come.
    pub rung: Rung,
    /// Attempts made.
    pub made: u16,
    /// The offer it came with.
    pub repeat: Option<RepeatKey>,
    /// Its title, while its client waits.
    pub title: Option<Arc<str>>,
}

impl Session {
    /// The attempt that is out.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.stage {
            Stage::Owed(_, attempt) => attempt.as_ref(),
            Stage::Ending(attempt) => Some(attempt),
            Stage::Playing(_) => None,
        }
    }

    /// The attempt of this name, if it is the one that is out.
    pub fn is_out(&self, id: AttemptId) -> bool {
        self.attempt().is_some_and(|a| a.id == id)
    }
}

/// Builds the name of an attempt.
pub(crate) fn attempt_id(session: SessionId, number: u16) -> AttemptId {
    AttemptId { session, number }
}
