//! A session as the machine knows it.

use beechloft::api::{Micros, ServerId, ViewerId};
use beechloft_protocol::viewer::SetUp;

use crate::io::{ServerIncarnation, ViewerConnection};

/// An attempt that is out.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    /// Its number, 0 the first.
    pub number: u16,
    /// Where it went.
    pub lane: ServerIncarnation,
    /// The module's name for that.
    pub server: ServerId,
    /// When it went out.
    pub sent: Micros,
}

/// Where a session stands.
#[derive(Debug)]
pub(crate) enum Phase {
    /// An answer is owed by the time given; perhaps an attempt is out.
    Owed {
        /// What the viewer stated.
        setup: Box<SetUp>,
        /// When the viewer gives up.
        gives_up: Micros,
        /// The attempt that is out.
        out: Option<Attempt>,
    },
    /// Answered, or given up by the viewer, while an attempt is still out.
    Over(Attempt),
    /// It stands.
    Standing(Attempt),
}

#[derive(Debug)]
pub(crate) struct Session {
    /// The connection of its set-up.
    pub conn: ViewerConnection,
    /// Its viewer.
    pub viewer: ViewerId,
    /// How many attempts went out.
    pub attempts: u16,
    /// The rung that the module wants.
    pub rung: u8,
    pub phase: Phase,
}

impl Session {
    /// The attempt that is out and does not stand.
    pub fn out(&self) -> Option<Attempt> {
        match self.phase {
            Phase::Owed { out, .. } => out,
            Phase::Over(a) => Some(a),
            Phase::Standing(_) => None,
        }
    }

    /// The attempt that is out or stands.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.phase {
            Phase::Owed { out, .. } => out.as_ref(),
            Phase::Over(a) | Phase::Standing(a) => Some(a),
        }
    }
}
