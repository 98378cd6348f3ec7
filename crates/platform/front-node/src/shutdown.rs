//! State of the shutdown that SIGTERM starts.

use beechloft::api::Micros;

/// Progress of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Shutdown {
    /// SIGTERM was not received.
    #[default]
    NotRequested,
    /// SIGTERM was received. Set-ups are still served.
    Requested {
        /// Time at which SIGTERM was received.
        at: Micros,
    },
    /// All pending set-ups were answered and new ones are rejected, because the process is killed soon.
    DeadlineReached {
        /// Time at which SIGTERM was received. `None` if the deadline was reached without it.
        requested_at: Option<Micros>,
    },
}

impl Shutdown {
    /// Returns the time at which SIGTERM was received.
    pub fn requested_at(self) -> Option<Micros> {
        match self {
            Shutdown::NotRequested => None,
            Shutdown::Requested { at } => Some(at),
            Shutdown::DeadlineReached { requested_at } => requested_at,
        }
    }

    /// Returns whether new set-ups are rejected.
    pub fn rejects_set_ups(self) -> bool {
        matches!(self, Shutdown::DeadlineReached { .. })
    }
}
