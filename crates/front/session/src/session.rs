//! A session's life as types: an answer that is pending can be given once, an attempt ends once.

use std::sync::Arc;

use beechloft::api::{ClassId, Micros, Rung, ServerId};

use crate::io::{Answer, AttemptId, IdempotencyKey, MediaServerReply, Output, Protocol, RequestId, Secret};

/// How long an attempt may take to end after it was dropped, before it counts as over.
///
/// Dropping closes the sending side of the connection, which tells the media server to give the set-up up. A healthy one
/// closes its own side at once, or its answer was on the way and is then undone; one that hangs does neither, and after
/// this long the connection is closed hard. No further attempt goes out before.
pub const GRACE: Micros = Micros(100_000);

/// How far past its end an attempt may go unreported before the client gets its answer anyway.
pub const OVERDUE_MARGIN: Micros = Micros(250_000);

/// How long the answer to an offer is retained for the same offer sent again.
pub const REPLY_RETENTION: Micros = Micros(10_000_000);

/// The obligation to answer a client. Made with the request, consumed by the answer; it can't be copied.
#[derive(Debug)]
#[must_use]
pub struct PendingAnswer(RequestId);

impl PendingAnswer {
    /// The obligation that comes with a request.
    pub(crate) fn new(request: RequestId) -> Self {
        PendingAnswer(request)
    }

    /// The request that waits for the answer.
    pub fn request(&self) -> RequestId {
        self.0
    }

    /// Ends the obligation without an answer: the client has left.
    pub(crate) fn discard(self) {}

    /// Gives the answer.
    #[must_use]
    pub(crate) fn answer(self, answer: Answer) -> Output {
        Output::Reply(self.0, answer)
    }
}

/// An attempt that is in flight. Consumed by its end; it can't be copied.
#[derive(Debug)]
pub struct Attempt {
    /// Its id.
    pub id: AttemptId,
    /// The media server it went to.
    pub server: ServerId,
    /// When it is dropped.
    pub deadline: Micros,
}

/// A session that plays.
#[derive(Debug)]
pub struct Playing {
    /// The media server.
    pub server: ServerId,
    /// Its path there.
    pub resource: String,
    /// Path there at which its rung is set, if the media server lets it be set.
    pub layers: Option<Box<str>>,
    /// The number of the attempt that set it up.
    pub attempt_number: u16,
    /// Since when it plays.
    pub started_at: Micros,
    /// What the media server answered, while the offer may be repeated.
    pub reply: Option<Arc<MediaServerReply>>,
}

/// Where a session is in its life.
#[derive(Debug)]
pub enum SessionState {
    /// Its client waits for an answer; at most one attempt is in flight.
    AwaitingAnswer(PendingAnswer, Option<Attempt>),
    /// Its client has an answer or has left, but an attempt is still in flight.
    Ending(Attempt),
    /// It plays.
    Playing(Playing),
}

/// A session in the table.
#[derive(Debug)]
pub struct Session {
    /// The part of its address that only its client knows.
    pub secret: Secret,
    /// What its client speaks.
    pub protocol: Protocol,
    /// Where it is in its life.
    pub state: SessionState,
    /// Its class.
    pub class: ClassId,
    /// The rung in force, or that of the next attempt.
    pub rung: Rung,
    /// Attempts made so far.
    pub attempts_made: u16,
    /// Identifies the offer it came with.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Its title, while its client waits.
    pub title: Option<Arc<str>>,
}

impl Session {
    /// The attempt that is in flight.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.state {
            SessionState::AwaitingAnswer(_, attempt) => attempt.as_ref(),
            SessionState::Ending(attempt) => Some(attempt),
            SessionState::Playing(_) => None,
        }
    }

    /// Whether the attempt of this id is the one in flight.
    pub fn is_in_flight(&self, id: AttemptId) -> bool {
        self.attempt().is_some_and(|attempt| attempt.id == id)
    }
}
