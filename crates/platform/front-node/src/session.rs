//! A session in the state machine.

use beechloft::api::{Micros, ServerId, ViewerId};
use beechloft_protocol::viewer::SetUp;

use crate::io::{ServerIncarnation, ViewerConnection};

/// An attempt to set a session up at a media server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    /// Its number within the session, from 0.
    pub number: u16,
    /// The process that it was sent to.
    pub incarnation: ServerIncarnation,
    /// That process's server.
    pub server: ServerId,
    /// When it was sent.
    pub sent_at: Micros,
}

/// The state of a session.
#[derive(Debug)]
pub(crate) enum Phase {
    /// The viewer waits for the answer.
    Pending {
        /// The viewer's set-up.
        setup: Box<SetUp>,
        /// When the answer has to be sent.
        deadline: Micros,
        /// The attempt that is in flight.
        in_flight: Option<Attempt>,
    },
    /// Answered, or withdrawn by the viewer, while an attempt is still in flight.
    Abandoned(Attempt),
    /// It plays.
    Established(Attempt),
}

#[derive(Debug)]
pub(crate) struct Session {
    /// The connection of its set-up.
    pub connection: ViewerConnection,
    pub viewer: ViewerId,
    /// How many attempts were started.
    pub attempts: u16,
    /// The rung that the policy wants.
    pub rung: u8,
    pub phase: Phase,
}

impl Session {
    /// The attempt that is in flight.
    pub fn in_flight(&self) -> Option<Attempt> {
        match self.phase {
            Phase::Pending { in_flight, .. } => in_flight,
            Phase::Abandoned(attempt) => Some(attempt),
            Phase::Established(_) => None,
        }
    }

    /// The attempt that is in flight or established.
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
