//! The end of the front node after SIGTERM.

use beechloft::api::Micros;

/// How far the shutdown is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Shutdown {
    /// There was no SIGTERM.
    #[default]
    NotRequested,
    /// SIGTERM came; set-ups are still served.
    Requested {
        /// When it came.
        at: Micros,
    },
    /// All pending answers were given, and new set-ups are rejected: the process is killed soon.
    DeadlineReached {
        /// When SIGTERM came; none if the machine was told nothing of it.
        requested_at: Option<Micros>,
    },
}

impl Shutdown {
    /// When SIGTERM came.
    pub fn requested_at(self) -> Option<Micros> {
        match self {
            Shutdown::NotRequested => None,
            Shutdown::Requested { at } => Some(at),
            Shutdown::DeadlineReached { requested_at } => requested_at,
        }
    }

    /// Whether new set-ups are rejected.
    pub fn rejects_set_ups(self) -> bool {
        matches!(self, Shutdown::DeadlineReached { .. })
    }
}
