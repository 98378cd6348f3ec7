//! Steps of sessions up and down the bitrate ladder.

use crate::api::{ClassId, Rung, ServerId, SessionId};

/// What a rung adds to the one below.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RungStep {
    /// Utility a second.
    pub utility: f64,
    /// Rate, kB a second; above zero.
    pub rate: f64,
}

/// A step down of a session, and what it loses and frees.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Downgrade {
    pub session: SessionId,
    pub server: ServerId,
    pub step: RungStep,
}

impl Downgrade {
    /// Utility lost for the rate freed.
    pub fn price(&self) -> f64 {
        self.step.utility / self.step.rate
    }
}

/// A step up that a session may take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Upgrade {
    pub session: SessionId,
    pub server: ServerId,
    pub class: ClassId,
    pub rung: Rung,
    /// Utility gained for the rate.
    pub efficiency: f64,
}

/// A server and the rung to start at.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Selection {
    pub server: ServerId,
    pub rung: Rung,
}
