//! Steps of sessions up and down the bitrate ladder.

use crate::api::{ClassId, Rung, ServerId, SessionId};

/// Utility and rate that a rung adds to the one below.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RungStep {
    /// Utility per second.
    pub utility: f64,
    /// Rate in kB per second, above zero.
    pub rate: f64,
}

/// A step down of a session, with the utility that it loses and the rate that it frees.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Downgrade {
    pub session: SessionId,
    pub server: ServerId,
    pub step: RungStep,
}

impl Downgrade {
    /// Returns the utility lost for each kB per second freed.
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
    /// The rung after the step.
    pub rung: Rung,
    /// Utility gained for each kB per second.
    pub efficiency: f64,
}

/// A server for a session, and the rung to start at.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Selection {
    pub server: ServerId,
    pub rung: Rung,
}
