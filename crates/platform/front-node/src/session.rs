//! State of one session.

use beechloft::api::{Micros, ServerId, ViewerId};
use beechloft_protocol::viewer::SetUp;

use crate::io::{ServerIncarnation, ViewerConnection};

/// An attempt to establish a session at a media server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    /// Ordinal of the attempt within its session, starting at 0.
    pub ordinal: u16,
    /// Incarnation that the set-up was sent to.
    pub incarnation: ServerIncarnation,
    /// Media server that the incarnation belongs to.
    pub server: ServerId,
    /// Time at which the set-up was handed to the event loop.
    pub sent_at: Micros,
}

/// Phase of a session.
#[derive(Debug)]
pub(crate) enum Phase {
    /// The viewer waits for the answer to its set-up.
    Pending {
        /// Set-up that the viewer sent.
        setup: Box<SetUp>,
        /// Time by which the answer must be sent.
        deadline: Micros,
        /// Attempt that waits for its result. `None` if there is none at the moment.
        in_flight: Option<Attempt>,
    },
    /// The set-up was answered with a release or withdrawn by the viewer, while an attempt is still in flight.
    Abandoned(Attempt),
    /// The session is established at a media server.
    Established(Attempt),
}

/// A session that is pending, established or abandoned.
#[derive(Debug)]
pub(crate) struct Session {
    /// Connection that the set-up or the adoption was received on.
    pub connection: ViewerConnection,
    /// Viewer that the session belongs to.
    pub viewer: ViewerId,
    /// Number of attempts that were started.
    pub attempts: u16,
    /// Rung that the policy chose or the media server reported last.
    pub rung: u8,
    /// Phase that the session is in.
    pub phase: Phase,
}

impl Session {
    /// Returns the attempt that is in flight.
    pub fn in_flight(&self) -> Option<Attempt> {
        match self.phase {
            Phase::Pending { in_flight, .. } => in_flight,
            Phase::Abandoned(attempt) => Some(attempt),
            Phase::Established(_) => None,
        }
    }

    /// Returns the attempt that is in flight or has established the session.
    pub fn attempt(&self) -> Option<Attempt> {
        match self.phase {
            Phase::Pending { in_flight, .. } => in_flight,
            Phase::Abandoned(attempt) | Phase::Established(attempt) => Some(attempt),
        }
    }

    pub fn is_pending(&self) -> bool {
        matches!(self.phase, Phase::Pending { .. })
    }

    pub fn is_established(&self) -> bool {
        matches!(self.phase, Phase::Established(_))
    }
}
