//! The states of a session, as types that allow a pending answer to be given only once and an attempt to end only once.

use std::sync::Arc;

use beechloft::api::{ClassId, Micros, Rung, ServerId};

use crate::io::{Answer, AttemptId, IdempotencyKey, MediaServerReply, Output, Protocol, RequestId, Secret};

/// Longest time that a cancelled attempt may take to end before it counts as ended.
///
/// Cancelling closes the sending side of the connection, which tells the media server to abandon the set-up. A healthy
/// media server closes its own side at once, unless its answer was already on the way; that answer is then undone. A
/// media server that hangs does neither, so the connection is closed after this time. The next attempt of the session
/// starts only then.
pub const GRACE: Micros = Micros(100_000);

/// Longest time that the report of an attempt's end may be late before the client is answered without it.
pub const OVERDUE_MARGIN: Micros = Micros(250_000);

/// How long the answer to an offer is retained in case the same offer is repeated.
pub const REPLY_RETENTION: Micros = Micros(10_000_000);

/// The obligation to answer a client.
///
/// It is created with the request, consumed by the answer and can't be copied.
#[derive(Debug)]
#[must_use]
pub struct PendingAnswer(RequestId);

impl PendingAnswer {
    /// Creates the obligation to answer `request`.
    pub(crate) fn new(request: RequestId) -> Self {
        PendingAnswer(request)
    }

    /// Returns the request that waits for the answer.
    pub fn request(&self) -> RequestId {
        self.0
    }

    /// Ends the obligation without an answer, as the client has disconnected.
    pub(crate) fn discard(self) {}

    /// Fulfils the obligation and returns the reply to be sent.
    #[must_use]
    pub(crate) fn answer(self, answer: Answer) -> Output {
        Output::Reply(self.0, answer)
    }
}

/// An attempt in flight, which is consumed when it ends and can't be copied.
#[derive(Debug)]
pub struct Attempt {
    /// Identifies the attempt.
    pub id: AttemptId,
    /// The media server that the attempt was sent to.
    pub server: ServerId,
    /// When the attempt is cancelled.
    pub deadline: Micros,
}

/// The state of a playing session.
#[derive(Debug)]
pub struct Playing {
    /// The media server that runs the session.
    pub server: ServerId,
    /// Path of the session at the media server.
    pub resource: String,
    /// Path at the media server that selects the session's layers, if the media server supports it.
    pub layers: Option<Box<str>>,
    /// Number of the attempt that set the session up.
    pub attempt_number: u16,
    /// When the session started to play.
    pub started_at: Micros,
    /// The media server's answer, retained for [`REPLY_RETENTION`] if the offer can be repeated.
    pub reply: Option<Arc<MediaServerReply>>,
}

/// The state of a session.
#[derive(Debug)]
pub enum SessionState {
    /// The client waits for its answer, and at most one attempt is in flight.
    AwaitingAnswer(PendingAnswer, Option<Attempt>),
    /// The client was answered or has disconnected, but an attempt is still in flight.
    Ending(Attempt),
    /// The session plays.
    Playing(Playing),
}

/// A session in the controller's table.
#[derive(Debug)]
pub struct Session {
    /// The part of the session's URL that only the client knows.
    pub secret: Secret,
    /// Protocol of the client.
    pub protocol: Protocol,
    /// State of the session.
    pub state: SessionState,
    /// Class of the session.
    pub class: ClassId,
    /// The current rung, or the rung of the next attempt while the client waits.
    pub rung: Rung,
    /// Number of attempts made so far.
    pub attempts_made: u16,
    /// Identifies the client's offer.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Name of the title, present only until the session plays.
    pub title: Option<Arc<str>>,
}

impl Session {
    /// Returns the attempt in flight, or `None` if there is none.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.state {
            SessionState::AwaitingAnswer(_, attempt) => attempt.as_ref(),
            SessionState::Ending(attempt) => Some(attempt),
            SessionState::Playing(_) => None,
        }
    }

    /// Returns whether the attempt `id` is in flight.
    pub fn is_in_flight(&self, id: AttemptId) -> bool {
        self.attempt().is_some_and(|attempt| attempt.id == id)
    }
}
